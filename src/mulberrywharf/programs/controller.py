"""``mulberry-controller``: applies the operators' rules to a zone's engines.

In each availability zone, the controller that holds the zone's lease is
active and the others are on standby. A controller that loses its lease returns
to standby. If a process was suspended past the end of its lease, a kernel
timer kills it before it runs any further instruction.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import signal
import sys
from typing import NamedTuple

import gevent
import gevent.event

from mulberrywharf import _wsgi, settings
from mulberrywharf import clock as clocks
from mulberrywharf.authority import lease_watchdog, record_store
from mulberrywharf.operators import audit, server, status
from mulberrywharf.platform_service import (
    config_follower,
    key_value,
    vm_list,
    weight_store,
)
from mulberrywharf.programs import (
    _controller_config,
    _controller_lease,
    _controller_observer,
    _controller_options,
    _controller_rates,
    _controller_records,
    _controller_sending,
    _controller_status,
    _controller_weights,
    _controller_zone,
    _startup,
)

_CLOSE_TIMEOUT_S = 20.0


class Mechanisms(NamedTuple):
    """Mechanisms that keep two controllers from ordering the same engines.

    Tests turn one mechanism off to show which failure it prevents.

    Attributes:
        fuse: The kernel kills a process that was suspended past its lease.
        guard: Each write of order records is conditional on the lease key.
        quiet: A new lease holder sends no order until none of its
            predecessor's can arrive any more.
    """

    fuse: bool = True
    guard: bool = True
    quiet: bool = True


class ControllerProgram:
    """The controller of one entry VM.

    Attributes:
        stopping: Event that is set to stop the process.
    """

    def __init__(
        self,
        config: settings.Settings,
        clock: clocks.Clock,
        mechanisms: Mechanisms,
    ):
        self._config = config
        self._clock = clock
        self.stopping = gevent.event.Event()
        self._audit = audit.AuditLog(clock)
        self._key_value = key_value.KeyValueClient.from_config(config)
        self._configuration = config_follower.ConfigFollower.from_config(
            config, self._key_value
        )
        self._vm_list = vm_list.VmListReader.from_config(config)
        self._load_permissions = _controller_weights.LoadPermissions(
            weight_store.WeightStoreClient.from_config(config)
        )
        watchdog = lease_watchdog.LeaseWatchdog(
            clock,
            margin_s=_controller_options.clock_margin_s(config),
            user_timeout_s=_controller_options.user_timeout_s(config),
            enabled=mechanisms.fuse,
        )
        self._operators = server.OperatorsServer.from_config(
            config, self._status, self.stopping.set, audit=self._audit
        )
        self._lease_keeper = _controller_lease.LeaseKeeper.from_config(
            config,
            self._key_value,
            watchdog,
            clock,
            self._audit,
            operators_port=self._operators.port,
        )
        self._rates = _controller_rates.ZoneRates.from_config(
            config, self._vm_list.vms, clock
        )
        sender = _controller_sending.OrderSender(
            watchdog, user_timeout_s=_controller_options.user_timeout_s(config)
        )
        self._lease_keeper.on_step_down = sender.cancel_all
        self._zone = self._make_zone(sender, mechanisms)

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        mechanisms: Mechanisms | None = None,
    ) -> "ControllerProgram":
        """Binds the admin listener; no work begins before ``start``."""
        return cls(config, clocks.SystemClock(), mechanisms or Mechanisms())

    def start(self) -> None:
        """Starts all parts and competes for the lease."""
        self._key_value.start()
        self._configuration.start()
        self._vm_list.start()
        self._load_permissions.start()
        self._rates.start()
        self._operators.start()
        self._lease_keeper.start()
        self._zone.start()
        self._operators.set_ready(True)
        _wsgi.announce_ready(
            program="controller", operators=self._operators.port
        )

    def close(self) -> None:
        """Finishes orders or leaves them to the next holder; ends the lease."""
        self._operators.set_ready(False)
        self._zone.close(_CLOSE_TIMEOUT_S)
        self._lease_keeper.close()
        self._rates.close()
        self._load_permissions.close()
        self._vm_list.close()
        self._configuration.close()
        self._key_value.close()
        self._operators.close()

    def _make_zone(
        self,
        sender: _controller_sending.OrderSender,
        mechanisms: Mechanisms,
    ) -> _controller_zone.ZoneController:
        deployment = self._config["deployment"]
        zone = self._config["availability_zone"]
        options = _controller_options.ZoneOptions.from_config(
            self._config, self._lease_keeper.ttl_s
        )
        if not mechanisms.quiet:
            options = options._replace(
                delay_after_takeover=options.delay_after_takeover._replace(
                    is_disabled=True
                )
            )
        store = record_store.RecordStore(
            self._key_value,
            f"/mulberry/{deployment}/orders/{zone}",
            guarded=mechanisms.guard,
        )
        vm_source = _controller_observer.VmSource(
            self._vm_list.vms, self._vm_list.age_s
        )
        return _controller_zone.ZoneController(
            options,
            self._clock,
            keeper=self._lease_keeper,
            config_refresh=_controller_config.ConfigRefresh(
                self._key_value, self._configuration, self._clock, deployment
            ),
            observer=_controller_observer.ZoneObserver(
                options,
                self._clock,
                vm_source,
                self._configuration.current,
                self._rates,
            ),
            records=_controller_records.ZoneRecords(
                options, store, self._clock, self._audit
            ),
            sender=sender,
            load_permissions=self._load_permissions,
        )

    def _status(self) -> status.StatusReport:
        return _controller_status.build(
            self._config,
            self._zone.view,
            self._lease_keeper.held,
            config_version=self._configuration.version(),
            ready=self._operators.ready,
            key_value_age_s=self._key_value.age_s(),
            vm_list_age_s=self._vm_list.age_s(),
            now_unix_s=self._clock.unix_s(),
        )


def run(config: settings.Settings, mechanisms: Mechanisms) -> None:
    """Runs a controller until SIGTERM or SIGINT."""
    _startup.configure_logs(config, "controller")
    lease_watchdog.restore_default_alarm()
    program = ControllerProgram.from_config(config, mechanisms)
    gevent.signal_handler(signal.SIGTERM, program.stopping.set)
    gevent.signal_handler(signal.SIGINT, program.stopping.set)
    program.start()
    program.stopping.wait()
    program.close()


def main() -> int:
    """Runs ``mulberry-controller``."""
    config = _startup.read_settings(
        prog="mulberry-controller",
        description="Applies the operators' rules to a zone's engines.",
        load=settings.load,
    )
    if isinstance(config, int):
        return config
    return _startup.run_until_stopped(lambda: run(config, Mechanisms()))


if __name__ == "__main__":
    sys.exit(main())

"""Acquires, renews and releases the zone's controller lease."""

import ipaddress
import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
import gevent.event
from result import Err

from mulberrywharf import clock as clocks
from mulberrywharf import errors, fleet, metrics, settings, supervised_task
from mulberrywharf.authority import lease_watchdog, record_store
from mulberrywharf.operators import audit
from mulberrywharf.platform_service import key_value, lease, watch

_PURPOSE = "lease"
_CHECK_INTERVAL_TTL_SHARE = 0.02
_JITTER_TTL_SHARE = 0.1

_transitions = metrics.counter(
    "mulberry_controller_lease_transitions_total",
    "Changes between standby and active, by the new state.",
)
_held_gauge = metrics.gauge(
    "mulberry_controller_lease_held", "1 while this controller is active."
)


class HeldLease(NamedTuple):
    """The lease under which this process may send orders to engines.

    Attributes:
        holder: Renews the lease.
        fencing_number: Increases with every change of holder.
        key: The zone's controller key.
        acquired_s: Monotonic time at which the lease was known to be held.
    """

    holder: lease.LeaseHolder
    fencing_number: int
    key: str
    acquired_s: float

    def lease_key(self) -> record_store.LeaseKey:
        """Returns the lease key that conditional writes compare."""
        return record_store.LeaseKey(self.key, self.fencing_number)


def controller_key(config: settings.Settings) -> str:
    """Returns the key that the zone's active controller holds."""
    deployment = config["deployment"]
    return f"/mulberry/{deployment}/controllers/{config['availability_zone']}"


def _operators_address(
    config: settings.Settings, port: int
) -> fleet.Address | None:
    ip = config["operators"]["listen"]["ip"]
    # A wildcard address such as 0.0.0.0 is valid for listening only.
    if ipaddress.ip_address(ip).is_unspecified:
        return None
    return fleet.Address(ip, port)


def _do_nothing() -> None:
    """Default of ``LeaseKeeper.on_step_down``."""


class LeaseKeeper:
    """Competes for the lease, renews it and steps down when it ends.

    Attributes:
        held: The lease while this process is active, else None.
        changed: Event that is set whenever ``held`` changes.
        on_step_down: Called when this process steps down, before any other
            greenlet runs; cancels the orders that are being sent.
    """

    def __init__(
        self,
        key_value_client: key_value.KeyValueClient,
        watchdog: lease_watchdog.LeaseWatchdog,
        clock: clocks.Clock,
        audit_log: audit.AuditLog,
        *,
        vm_id: str,
        key: str,
        ttl_s: float,
        operators_address: fleet.Address | None = None,
    ):
        self._key_value = key_value_client
        self._watchdog = watchdog
        self._clock = clock
        self._audit = audit_log
        self._vm_id = vm_id
        self._key = key
        self._operators_address = operators_address
        # The key-value service counts leases in whole seconds. Rounding up
        # would make this process assume a longer lease than it was granted.
        self._ttl_s = float(max(1, int(ttl_s)))
        self._key_changed = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._watch: watch.Watch | None = None
        self.held: HeldLease | None = None
        self.changed = gevent.event.Event()
        self.on_step_down: Callable[[], None] = _do_nothing

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        key_value_client: key_value.KeyValueClient,
        watchdog: lease_watchdog.LeaseWatchdog,
        clock: clocks.Clock,
        audit_log: audit.AuditLog,
        *,
        operators_port: int,
    ) -> "LeaseKeeper":
        """Makes the keeper for the zone that the settings name.

        Args:
            config: Settings of the process.
            key_value_client: Client of the service that stores the lease.
            watchdog: Timer that kills the process before the lease ends.
            clock: Monotonic and wall clock.
            audit_log: Receives an entry for each lease acquired or lost.
            operators_port: TCP port of the admin listener, which the settings
                may leave to the kernel.
        """
        controller = config.get("controller", {})
        return cls(
            key_value_client,
            watchdog,
            clock,
            audit_log,
            vm_id=config["vm_id"],
            key=controller_key(config),
            ttl_s=controller.get("lease_ttl_s", settings.DEFAULT_LEASE_TTL_S),
            operators_address=_operators_address(config, operators_port),
        )

    @property
    def ttl_s(self) -> float:
        """Length of the lease in seconds, as the service counts it."""
        return self._ttl_s

    def start(self) -> None:
        """Starts to compete for the lease."""
        self._watch = self._key_value.watch(
            self._key, self._on_key_change, purpose=_PURPOSE
        )
        self._greenlet = supervised_task.spawn(
            "controller-lease",
            self._run,
            on_failure=lambda: self.step_down("an exception"),
        )

    def close(self) -> None:
        """Stops competing and releases the lease if it is held."""
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._watch is not None:
            self._watch.close()
        held = self.held
        if held is not None:
            self._become_standby(held, "stopping")
            held.holder.close()

    def step_down(self, why: str) -> None:
        """Gives up the lease; no order is sent after this call."""
        held = self.held
        if held is None:
            return
        self._become_standby(held, why)
        # Uses a separate greenlet because the call waits for the service and
        # kills the lease's greenlets, one of which may be the current one.
        gevent.spawn(held.holder.close)

    def _become_standby(self, held: HeldLease, why: str) -> None:
        self._watchdog.step_down()
        self.held = None
        self.on_step_down()
        self._audit.record(audit.LeaseLost(self._key, held.fencing_number, why))
        _held_gauge.set({}, 0)
        _transitions.inc({"to": "standby"})
        self.changed.set()

    def _on_key_change(self, event: key_value.WatchEvent) -> None:
        self._key_changed.set()
        held = self.held
        if held is None or event.key_value.key != self._key:
            return
        # An operator may delete the key to revoke the lease. Without this
        # step the holder would continue until its next write is refused.
        # The watch may lag, so events older than the lease are ignored.
        if event.key_value.mod_revision <= held.fencing_number:
            return
        self.step_down("the lease key was deleted or replaced")

    def _run(self) -> None:
        while True:
            holder = lease.LeaseHolder(
                self._key_value,
                ttl_s=self._ttl_s,
                purpose=_PURPOSE,
                on_renewed=self._on_renewed,
                on_lost=self._on_lost,
            )
            try:
                is_acquired = self._acquire(holder)
            except Exception:
                # A lease that is renewed and not held would keep others out.
                holder.close()
                raise
            if not is_acquired:
                holder.close()
                self._wait_for_change()
                continue
            self._step_down_before_expiry()
            # Lets the standbys compete first. Otherwise a holder with a poor
            # connection could acquire the lease again and lose it again.
            gevent.sleep(self._ttl_s * random.uniform(0.5, 1.0))

    def _wait_for_change(self) -> None:
        """Waits until the key may be free, with jitter."""
        self._key_changed.wait(timeout=self._ttl_s * random.uniform(1.0, 2.0))
        self._key_changed.clear()
        # Jitter, because all standbys see the deletion at the same time.
        gevent.sleep(random.uniform(0.0, _JITTER_TTL_SHARE * self._ttl_s))

    def _acquire(self, holder: lease.LeaseHolder) -> bool:
        found = self._key_value.get(self._key, purpose=_PURPOSE)
        if isinstance(found, Err) or found.ok_value is not None:
            return False
        granted = holder.start()
        if isinstance(granted, Err):
            return False
        created = holder.create_key(self._key, self._value(granted.ok_value))
        if isinstance(created, Err):
            return False
        if not self._watchdog.on_renewed(holder.valid_until_monotonic_s):
            self._watchdog.step_down()
            return False
        self.held = HeldLease(
            holder,
            created.ok_value.create_revision,
            self._key,
            self._clock.monotonic_s(),
        )
        self._audit.record(
            audit.LeaseAcquired(self._key, self.held.fencing_number)
        )
        _held_gauge.set({}, 1)
        _transitions.inc({"to": "active"})
        self.changed.set()
        return True

    def _value(self, lease_id: int) -> bytes:
        """Returns the key's value: the holder and its admin address.

        The VM list contains one admin listener per VM, the router's. Without
        the address in this value, ``mulberryctl`` would only find controllers
        that are named on its command line.
        """
        value: dict[str, Any] = {"vm_id": self._vm_id, "lease_id": lease_id}
        address = self._operators_address
        if address is not None:
            value["operators_ip"] = address.ip
            value["operators_port"] = address.port
        return json.dumps(value).encode()

    def _on_renewed(self, valid_until_monotonic_s: float) -> None:
        if self.held is None:
            return
        if not self._watchdog.on_renewed(valid_until_monotonic_s):
            self.step_down("the response to the lease renewal arrived too late")

    def _on_lost(self, error: errors.AuthorityLostError) -> None:
        self.step_down(error.message)

    def _step_down_before_expiry(self) -> None:
        """Waits while the lease is held; steps down before it expires.

        While the service is unavailable, a renewal may block for longer than
        the lease lasts. The kernel timer would then kill the process, although
        it only has to return to standby.
        """
        while self.held is not None:
            if not self._watchdog.may_order():
                self.step_down("the lease could not be renewed in time")
                return
            gevent.sleep(self._ttl_s * _CHECK_INTERVAL_TTL_SHARE)

"""Polls the zone's routers for the request rates that the rules refer to.

Only an active controller polls, and only while a rule names a customer or a
model.
"""

import random
from collections.abc import Callable

import gevent.pool
from result import Ok

from mulberrywharf import clock as clocks
from mulberrywharf import fleet, settings
from mulberrywharf.nodes import links, rates
from mulberrywharf.programs import _interval_task
from mulberrywharf.rules import Document, Situation

_MIN_POLL_INTERVAL_S = 3.0
_MAX_POLL_INTERVAL_S = 10.0
_POLL_INTERVAL_PER_ROUTER_S = 0.25
_RETRY_S = 2.0
_TICK_S = 0.25
_POLL_TIMEOUT_S = 2.0
_IDLE_AFTER_S = 10.0
_CONCURRENT_POLLS_COUNT = 64


def poll_interval_s(routers_count: int) -> float:
    """Returns the time between two polls of one router, in seconds.

    The interval grows with the number of routers, so that a controller sends
    no more than four polls per second. Its maximum leaves time to repeat a
    lost poll before the previous answer is too old.
    """
    wanted_s = _POLL_INTERVAL_PER_ROUTER_S * routers_count
    return min(_MAX_POLL_INTERVAL_S, max(_MIN_POLL_INTERVAL_S, wanted_s))


def wanted_rates(document: Document) -> rates.WantedRates:
    """Returns the customers and models that the rules' conditions name.

    Contains at most ``NAMES_LIMIT_COUNT`` of each, in the order of the rules:
    the first rule that matches applies, so earlier rules matter more.
    """
    conditions = [rule["when"] for rule in document["rules"]]
    customers = [when["customer"] for when in conditions if "customer" in when]
    models = [when["model"] for when in conditions if "model" in when]
    return rates.WantedRates(
        tuple(dict.fromkeys(customers))[: rates.NAMES_LIMIT_COUNT],
        tuple(dict.fromkeys(models))[: rates.NAMES_LIMIT_COUNT],
    )


class ZoneRates:
    """Request rates of one zone, polled only while they are being read."""

    def __init__(
        self,
        availability_zone: str,
        *,
        node_links: links.Links,
        vms: Callable[[], list[fleet.VmRecord]],
        clock: clocks.Clock,
        give_up_s: float = rates.GIVE_UP_S,
    ):
        self._zone = availability_zone
        self._links = node_links
        self._vms = vms
        self._clock = clock
        self._router_rates = rates.RouterRates(give_up_s)
        self._wanted = rates.WantedRates()
        self._read_s = float("-inf")
        self._next_poll_s: dict[str, float] = {}
        self._polls = gevent.pool.Pool(_CONCURRENT_POLLS_COUNT)
        self._task = _interval_task.IntervalTask(
            (self._poll_due_routers,),
            interval_s=_TICK_S,
            failure_message="polling the routers for rates failed",
        )

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        vms: Callable[[], list[fleet.VmRecord]],
        clock: clocks.Clock,
    ) -> "ZoneRates":
        """Makes the poller for the zone that the settings name."""
        return cls(
            config["availability_zone"],
            node_links=links.Links.from_config(config),
            vms=vms,
            clock=clock,
        )

    def start(self) -> None:
        """Starts polling; nothing is sent before ``add_to`` is called."""
        self._task.start()

    def close(self) -> None:
        """Cancels all polls and closes the connections."""
        self._task.close()
        self._polls.kill()
        self._links.close()

    def add_to(self, situation: Situation, document: Document) -> Situation:
        """Adds the known rates that a configuration names to a situation.

        Args:
            situation: The other measurements that the rules are evaluated on.
            document: The configuration in force.
        """
        seen = self._read(document)
        return situation._replace(
            customer_requests_per_s=seen.customers,
            model_requests_per_s=seen.models,
            absent_requests_per_s=None,
            rates_age_s=seen.age_s,
            rates_given_up=seen.given_up,
        )

    def _read(self, document: Document) -> rates.SeenRates:
        now_s = self._clock.monotonic_s()
        wanted = wanted_rates(document)
        self._read_s = now_s
        if wanted != self._wanted:
            self._wanted = wanted
            self._next_poll_s.clear()
        vm_ids = {vm.vm_id for vm in self._routers()}
        return self._router_rates.read(wanted, vm_ids, now_s)

    def _routers(self) -> list[fleet.VmRecord]:
        return [
            vm
            for vm in self._vms()
            if vm.kind == "entry"
            and vm.state == "live"
            and vm.availability_zone == self._zone
        ]

    def _poll_due_routers(self) -> None:
        now_s = self._clock.monotonic_s()
        is_in_use = now_s - self._read_s <= _IDLE_AFTER_S
        if not is_in_use or not any(self._wanted):
            self._next_poll_s.clear()
            self._links.keep_only(set())
            return
        routers = self._routers()
        self._links.keep_only({vm.address for vm in routers})
        listed = {vm.vm_id for vm in routers}
        self._next_poll_s = {
            v: s for v, s in self._next_poll_s.items() if v in listed
        }
        interval_s = poll_interval_s(len(routers))
        for vm in routers:
            if self._next_poll_s.get(vm.vm_id, 0.0) <= now_s:
                # Without jitter all routers would keep answering at the same
                # time.
                delay_s = interval_s * random.uniform(0.8, 1.0)
                self._next_poll_s[vm.vm_id] = now_s + delay_s
                self._polls.spawn(self._poll, vm, self._wanted, now_s)

    def _poll(
        self, vm: fleet.VmRecord, wanted: rates.WantedRates, now_s: float
    ) -> None:
        router = self._links.to(vm.address)
        answered = rates.ask(router, wanted, _POLL_TIMEOUT_S)
        if isinstance(answered, Ok):
            self._router_rates.note(vm.vm_id, wanted, answered.ok_value, now_s)
        elif vm.vm_id in self._next_poll_s:
            self._next_poll_s[vm.vm_id] = self._clock.monotonic_s() + _RETRY_S

"""Asks the routers of the zone for the rates that the rules in force name.

Nothing is asked while no rule names a customer or a model, nor by a
controller that waits for the lease.
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

_SHORTEST_CYCLE_S = 3.0
_LONGEST_CYCLE_S = 10.0
_CYCLE_PER_ROUTER_S = 0.25
_RETRY_S = 2.0
_TICK_S = 0.25
_ANSWER_TIMEOUT_S = 2.0
_IDLE_AFTER_S = 10.0
_ASKED_AT_ONCE_COUNT = 64


def cycle_s(routers_count: int) -> float:
    """Returns the time between two questions to one router.

    It grows with the zone, so that a controller sends no more than four
    questions a second; the longest leaves a lost answer time to be asked for
    again before the one before it is too old.
    """
    wanted_s = _CYCLE_PER_ROUTER_S * routers_count
    return min(_LONGEST_CYCLE_S, max(_SHORTEST_CYCLE_S, wanted_s))


def wanted_rates(document: Document) -> rates.WantedRates:
    """Returns the customers and models that the rules' conditions name.

    At most ``NAMES_LIMIT_COUNT`` of either, in the order of the rules: the
    first rule that matches counts, so those in front matter most.
    """
    conditions = [rule["when"] for rule in document["rules"]]
    customers = [when["customer"] for when in conditions if "customer" in when]
    models = [when["model"] for when in conditions if "model" in when]
    return rates.WantedRates(
        tuple(dict.fromkeys(customers))[: rates.NAMES_LIMIT_COUNT],
        tuple(dict.fromkeys(models))[: rates.NAMES_LIMIT_COUNT],
    )


class ZoneRates:
    """Keeps the rates of one zone as long as somebody reads them."""

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
        self._due_s: dict[str, float] = {}
        self._questions = gevent.pool.Pool(_ASKED_AT_ONCE_COUNT)
        self._task = _interval_task.IntervalTask(
            (self._ask_due,),
            interval_s=_TICK_S,
            failure_message="an interval of asking for rates failed",
        )

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        vms: Callable[[], list[fleet.VmRecord]],
        clock: clocks.Clock,
    ) -> "ZoneRates":
        """Makes it for the zone that the settings name."""
        return cls(
            config["availability_zone"],
            node_links=links.Links.from_config(config),
            vms=vms,
            clock=clock,
        )

    def start(self) -> None:
        """Begins to ask, once ``add_to`` has said what is wanted."""
        self._task.start()

    def close(self) -> None:
        """Ends all questions and connections."""
        self._task.close()
        self._questions.kill()
        self._links.close()

    def add_to(self, situation: Situation, document: Document) -> Situation:
        """Adds what is known of the rates that a configuration names.

        Args:
            situation: What else the rules are evaluated on.
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
            self._due_s.clear()
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

    def _ask_due(self) -> None:
        now_s = self._clock.monotonic_s()
        is_read = now_s - self._read_s <= _IDLE_AFTER_S
        if not is_read or not any(self._wanted):
            self._due_s.clear()
            self._links.keep_only(set())
            return
        routers = self._routers()
        self._links.keep_only({vm.address for vm in routers})
        listed = {vm.vm_id for vm in routers}
        self._due_s = {v: s for v, s in self._due_s.items() if v in listed}
        between_s = cycle_s(len(routers))
        for vm in routers:
            if self._due_s.get(vm.vm_id, 0.0) <= now_s:
                # Without jitter all would answer in the same instant for ever.
                spread_s = between_s * random.uniform(0.8, 1.0)
                self._due_s[vm.vm_id] = now_s + spread_s
                self._questions.spawn(self._ask, vm, self._wanted, now_s)

    def _ask(
        self, vm: fleet.VmRecord, wanted: rates.WantedRates, now_s: float
    ) -> None:
        router = self._links.to(vm.address)
        answered = rates.ask(router, wanted, _ANSWER_TIMEOUT_S)
        if isinstance(answered, Ok):
            self._router_rates.note(vm.vm_id, wanted, answered.ok_value, now_s)
        elif vm.vm_id in self._due_s:
            self._due_s[vm.vm_id] = self._clock.monotonic_s() + _RETRY_S

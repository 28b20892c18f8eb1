"""Builders of fleets whose engines a test orders in virtual time."""

import collections
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.authority import duty_holder
from mulberrywharf.duties import capacity_orders, client
from mulberrywharf.platform_service import key_value
from mulberrywharf.policy import capacity_plan
from tests import builders_routes as build

SERVICE = "engines"
BOOT_S = 4.0
BOUNDS = capacity_plan.CapacityBounds(
    0, 12, BOOT_S, 0.22, {"zone-a": 1.0, "zone-b": 1.0}
)
Targets = dict[tuple[str, bool], int]


class FakeTask:
    """A holder's task that tests control; several can share one record."""

    def __init__(self, shared: dict[str, Any], number: int):
        self.shared = shared
        self.number: int | None = number
        self.fails = False
        self.recorded_count = 0

    @property
    def last_record(self) -> bytes | None:
        value = self.shared.get("record")
        assert value is None or isinstance(value, bytes)
        return value

    def authority(
        self,
    ) -> Result[duty_holder.Authority, errors.AuthorityLostError]:
        if self.number is None:
            return Err(errors.AuthorityLostError("not here"))
        return Ok(
            duty_holder.Authority(self.number, key_value.Guard("holder", 1))
        )

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        if self.fails:
            self.number = None
            return Err(errors.RevisionConflictError("holder"))
        self.recorded_count += 1
        self.shared["record"] = value
        return Ok(None)


class Call(NamedTuple):
    """A received order.

    Attributes:
        at_s: When it was received.
        order: The order.
        number: Its fencing number.
        record: The record when it was received.
    """

    at_s: float
    order: client.ServiceOrder
    number: int
    record: bytes | None


class FakePlatform:
    """Boots and stops engines as ordered, in virtual time.

    Attributes:
        calls: All received orders.
        unavailable: Kinds by zone of which there are no engines.
        modes: What happens to the next orders: "lose" ignores one without an
            answer, "late" carries it out when ``carry_out_late`` is called,
            "busy" answers 429, "kill" ends the sender.
        before_send: Called before an order is received.
    """

    def __init__(self, clock: build.ManualClock, shared: dict[str, Any]):
        self._clock = clock
        self._shared = shared
        self._highest: dict[tuple[str, str], int] = {}
        self._late: list[tuple[client.ServiceOrder, int]] = []
        self._ready_s: dict[tuple[str, bool], list[float]] = (
            collections.defaultdict(list)
        )
        self._leaving: collections.Counter[tuple[str, bool]] = (
            collections.Counter()
        )
        self.calls: list[Call] = []
        self.unavailable: set[tuple[str, bool]] = set()
        self.modes: list[str] = []
        self.before_send: Callable[[], None] = lambda: None

    def order_engines(
        self, order: client.ServiceOrder, identity: client.HolderIdentity
    ) -> Result[None, errors.MulberryError]:
        self.before_send()
        mode = self.modes.pop(0) if self.modes else ""
        if mode == "kill":
            raise KilledError
        self.calls.append(
            Call(
                self._clock.now_s,
                order,
                identity.number,
                self._shared.get("record"),
            )
        )
        if mode == "busy":
            return Err(errors.TooManyCallsError("429"))
        if mode in ("lose", "late"):
            if mode == "late":
                self._late.append((order, identity.number))
            return Err(errors.OrderOutcomeUnknownError("no answer"))
        if self._carry_out(order, identity.number):
            return Ok(None)
        return Err(errors.ConflictingOrderError("409"))

    def carry_out_late(self) -> list[bool]:
        """Carries out late orders; returns which were accepted."""
        late, self._late = self._late, []
        return [self._carry_out(*one) for one in late]

    def _carry_out(self, order: client.ServiceOrder, number: int) -> bool:
        subject = order.service, order.availability_zone
        if number < self._highest.get(subject, 0):
            return False
        self._highest[subject] = number
        kind = order.availability_zone, order.is_reclaimable
        known = self._ready_s[kind]
        if order.desired_count > len(known) and kind in self.unavailable:
            return False
        del known[order.desired_count :]
        while len(known) < order.desired_count:
            known.append(self._clock.now_s + BOOT_S)
        return True

    def add(self, zone: str, is_reclaimable: bool, count: int) -> None:
        """Adds engines that serve already."""
        self._ready_s[zone, is_reclaimable] += [0.0] * count

    def take_back(self, zone: str) -> None:
        """Takes back all reclaimable engines of a zone, none are left."""
        kind = zone, True
        self._leaving[kind] = len(self._ready_s.pop(kind, []))
        self.unavailable.add(kind)

    def counts(self) -> Targets:
        """Returns the engines that boot or serve."""
        return {
            kind: len(ready_s)
            for kind, ready_s in self._ready_s.items()
            if ready_s
        }

    def engines(self) -> list[fleet.Server]:
        """Returns the engines that serve or leave."""
        found = []
        for kind, ready_s in self._ready_s.items():
            serving_count = sum(at_s <= self._clock.now_s for at_s in ready_s)
            found += [_engine(*kind, n) for n in range(serving_count)]
        for kind, count in self._leaving.items():
            found += [
                _engine(*kind, 100 + n)._replace(
                    is_draining=True, leaves_in_s=2.0
                )
                for n in range(count)
            ]
        return found


class KilledError(BaseException):
    """Ends a holder like SIGKILL."""


class FakeFleet:
    """What a gateway knows of the fleet of a platform.

    Attributes:
        scaled: Bounds of the services.
        reason: Why the view may be stale.
        demands: Demand by service.
    """

    def __init__(self, platform: FakePlatform):
        self._platform = platform
        self.scaled: dict[str, capacity_plan.CapacityBounds] = {SERVICE: BOUNDS}
        self.reason: str | None = None
        self.is_empty = False
        self.demands: dict[str, capacity_plan.CapacityDemand] = {}

    def scaled_services(self) -> Mapping[str, capacity_plan.CapacityBounds]:
        return self.scaled

    def engines(self, service: str) -> Sequence[fleet.Server]:
        return [] if self.is_empty else self._platform.engines()

    def demand(self, service: str) -> capacity_plan.CapacityDemand | None:
        return self.demands.get(service)

    def stale_reason(self) -> str | None:
        return self.reason


class TargetPlan:
    """Orders fixed numbers of engines, and regular ones in place of others.

    Attributes:
        targets: Wanted engines by zone and kind.
        seen: What each call was given.
    """

    def __init__(self, targets: Targets):
        self.targets = targets
        self.seen: list[
            tuple[
                dict[str, capacity_plan.ZoneEngines],
                frozenset[capacity_plan.Unavailable],
            ]
        ] = []

    def decide(
        self,
        bounds: capacity_plan.CapacityBounds,
        zones: Sequence[capacity_plan.ZoneEngines],
        demand: capacity_plan.CapacityDemand | None,
        unavailable: frozenset[capacity_plan.Unavailable],
        now_s: float,
    ) -> list[capacity_plan.CapacityOrder]:
        by_zone = {one.availability_zone: one for one in zones}
        self.seen.append((by_zone, unavailable))
        orders = []
        for zone, found in by_zone.items():
            reclaimable = self.targets.get((zone, True), 0)
            regular = self.targets.get((zone, False), 0)
            if capacity_plan.Unavailable(zone, True) in unavailable:
                regular += reclaimable - found.reclaimable_count
                reclaimable = found.reclaimable_count
            for kind, wanted, present, ordered in (
                (
                    False,
                    regular,
                    found.regular_count,
                    found.regular_ordered_count,
                ),
                (
                    True,
                    reclaimable,
                    found.reclaimable_count,
                    found.reclaimable_ordered_count,
                ),
            ):
                if wanted != (present if ordered is None else ordered):
                    orders.append(
                        capacity_plan.CapacityOrder(zone, kind, wanted, "test")
                    )
        return orders


def holder(
    task: FakeTask,
    known_fleet: FakeFleet,
    platform: FakePlatform,
    clock: build.ManualClock,
    plan: TargetPlan,
) -> capacity_orders.CapacityOrders:
    return capacity_orders.CapacityOrders(
        task,
        known_fleet,
        platform,
        f"vm-{task.number}",
        clock,
        make_plan=lambda: plan,
    )


def _engine(zone: str, is_reclaimable: bool, number: int) -> fleet.Server:
    return build.server(
        f"{zone}-{is_reclaimable}-{number}",
        service=SERVICE,
        availability_zone=zone,
        role="decode",
        is_reclaimable=is_reclaimable,
    )

"""Plans how many engines of a service each availability zone has.

Engines are paid for by the second, by zone and kind. Preemptible engines,
called reclaimable here, cost less, and the platform may take back all of a
zone's at once. ``capacity_totals`` decides how many engines a zone has; this
module decides of which kind they are and when orders are sent.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mulberrywharf.policy import capacity_arrivals, capacity_totals

REGULAR_FLOOR = 2
"""Regular engines that each zone keeps where it has that many: one may drain or
be replaced while the zone is partitioned from the others. With one, a service
of five engines in three zones lost two of them in a row, and 5 in 100 callers
were refused."""

FOUND_AFTER_S = 2.0
"""The engines that a plan starts with are known when their number has not
changed for this long; while engines register, the first few are not all."""

IDLE_RELEASE_PAUSE_S = 2.0
"""Time between two releases before traffic. All prefill engines may be among
those that go, and engines change their roles one a second. When all zones
released at once and work began at that time, 2 to 3 in 100 long prompts were
late (bench.capacity_play, 4 to 7 s before traffic), at 3% less cost."""

RELEASE_PAUSE_S = 5.0
"""Time between two releases under load. Prompts whose cached parts went with an
engine are read again elsewhere, which takes engines some seconds."""

RAISE_HOLD_S = 20.0
"""Time after an order of more regular engines within which none are given back,
so that scarce reclaimable engines don't cause orders back and forth."""

MAX_RELEASED_SHARE = 0.17
"""Share of the engines that are given back at once, all of one zone being
allowed: as many as the plan is prepared to lose."""

LOST_WAIT_S = 8.0
"""Time after a zone's reclaimable engines were taken back until new ones are
ordered there, if enough engines are left."""

UNKNOWN_LOSS_SHARE = 0.5
"""Share of the engines found that the loss of one zone's reclaimable engines
must leave while the work is unknown. It matters with one or two zones only."""


class CapacityBounds(NamedTuple):
    """Engines that a service may have, and what they cost.

    Attributes:
        min_count: Minimum number of engines in each zone, both kinds together.
        max_count: Maximum number of engines in each zone, both kinds together.
        boot_s: Time from an order until a new engine serves.
        reclaimable_price: Price of a reclaimable engine relative to a regular
            one, None if there are no reclaimable engines.
        zone_prices: Price of an engine-second by zone.
    """

    min_count: int
    max_count: int
    boot_s: float
    reclaimable_price: float | None
    zone_prices: Mapping[str, float]


class ZoneEngines(NamedTuple):
    """The engines of a service in one zone.

    Attributes:
        availability_zone: The zone.
        regular_count: Regular engines that serve.
        reclaimable_count: Reclaimable engines that serve.
        leaving_count: Engines of both kinds that are leaving.
        regular_ordered_count: Number of regular engines last ordered, None if
            nothing was ordered.
        reclaimable_ordered_count: The same for reclaimable engines.
    """

    availability_zone: str
    regular_count: int
    reclaimable_count: int
    leaving_count: int = 0
    regular_ordered_count: int | None = None
    reclaimable_ordered_count: int | None = None


class CapacityDemand(NamedTuple):
    """Engines that callers' work keeps busy, over all zones.

    Attributes:
        prefill_engines: Engines that prefill work keeps busy, with fractions.
        decode_engines: Engines whose slots generation keeps in use, with
            fractions.
    """

    prefill_engines: float
    decode_engines: float


class Unavailable(NamedTuple):
    """The platform has no engines of a kind in a zone at the moment.

    Attributes:
        availability_zone: The zone.
        is_reclaimable: The kind.
    """

    availability_zone: str
    is_reclaimable: bool


class CapacityOrder(NamedTuple):
    """How many engines of one kind a zone is to have.

    Attributes:
        availability_zone: The zone.
        is_reclaimable: The kind.
        desired_count: Their number; absolute, so that repeating is harmless.
        reason: Reason, for the log.
    """

    availability_zone: str
    is_reclaimable: bool
    desired_count: int
    reason: str


class _ZonePlan(NamedTuple):
    """Engines that a zone is to have once all that is ordered serves."""

    regular_count: int
    reclaimable_count: int


class _Round(NamedTuple):
    """What a decision is based on."""

    bounds: CapacityBounds
    zones: Sequence[ZoneEngines]
    unavailable: frozenset[Unavailable]
    now_s: float


class CapacityPlan:
    """Plans the engines of one service from one round to the next."""

    def __init__(self, *, may_grow: bool = True) -> None:
        """Creates a plan that knows no engines yet.

        Args:
            may_grow: Whether more engines are planned than the service had when
                its work became known.
        """
        self._totals = capacity_totals.ZoneTotals(may_grow=may_grow)
        self._floors: dict[str, int] = {}
        self._found: list[tuple[int, int]] = []
        self._found_at_s = 0.0
        self._arrivals = capacity_arrivals.CapacityArrivals()
        self._released_at_s = -math.inf
        self._raised_at_s = -math.inf

    def decide(
        self,
        bounds: CapacityBounds,
        zones: Sequence[ZoneEngines],
        demand: CapacityDemand | None,
        unavailable: frozenset[Unavailable],
        now_s: float,
    ) -> list[CapacityOrder]:
        """Returns the orders to send now.

        An order with the number that was last ordered repeats it, because the
        engines have not come or were taken back.

        Args:
            bounds: Engines that the service may have.
            zones: Its engines in each zone.
            demand: Engines that callers' work keeps busy, None if unknown.
            unavailable: What the platform recently refused.
            now_s: The current time.
        """
        seen = _Round(bounds, zones, unavailable, now_s)
        self._note_arrivals(seen)
        if not self._note_found(seen):
            return []
        self._note_floors(seen)
        if demand is not None:
            self._totals.note_demand(*demand, now_s)
        self._totals.grow(
            bounds.max_count,
            bounds.zone_prices,
            {one.availability_zone for one in unavailable},
        )
        if demand is not None and self._may_release(seen):
            floors = {
                name: max(bounds.min_count, floor)
                for name, floor in self._floors.items()
            }
            self._totals.cut(floors, bounds.zone_prices, now_s)
        plans = self._plans(seen)
        orders: list[CapacityOrder] = []
        for zone in zones:
            orders += self._raises(seen, zone, plans[zone.availability_zone])
        return orders + self._releases(seen, plans)

    def _note_arrivals(self, seen: _Round) -> None:
        for zone in seen.zones:
            for is_reclaimable in (False, True):
                kind = Unavailable(zone.availability_zone, is_reclaimable)
                self._arrivals.note(
                    kind,
                    _present_count(zone, is_reclaimable),
                    _ordered_count(zone, is_reclaimable),
                    seen.now_s,
                )
                if kind in seen.unavailable:
                    self._arrivals.note_unavailable(kind)

    def _note_found(self, seen: _Round) -> bool:
        """Notes the engines to start from; returns whether they are known."""
        by_zone = self._totals.by_zone
        if not by_zone:
            found = [
                (zone.regular_count, zone.reclaimable_count)
                for zone in seen.zones
            ]
            if found != self._found:
                self._found = found
                self._found_at_s = seen.now_s
            is_settled = seen.now_s - self._found_at_s >= FOUND_AFTER_S
            if not any(map(sum, found)) or not is_settled:
                return False
        for zone in seen.zones:
            name = zone.availability_zone
            if name in by_zone and (
                self._totals.is_demand_known
                or zone.regular_ordered_count is not None
            ):
                continue
            found_count = min(
                max(_found_count(zone), seen.bounds.min_count),
                seen.bounds.max_count,
            )
            if name not in by_zone or zone.regular_count > by_zone[name]:
                by_zone[name] = found_count
        return True

    def _note_floors(self, seen: _Round) -> None:
        """Notes the regular engines that each zone keeps.

        A zone may have had none when the plan began, as it was cut off.
        """
        for zone in seen.zones:
            name = zone.availability_zone
            had_count = max(zone.regular_count, _desired_count(zone, False))
            self._floors[name] = min(
                REGULAR_FLOOR, max(self._floors.get(name, 0), had_count)
            )

    def _plans(self, seen: _Round) -> dict[str, _ZonePlan]:
        plans = {
            zone.availability_zone: self._zone_plan(seen, zone)
            for zone in seen.zones
        }
        self._fill_with_regular(seen, plans)
        return plans

    def _zone_plan(self, seen: _Round, zone: ZoneEngines) -> _ZonePlan:
        count = self._totals.by_zone[zone.availability_zone]
        price = seen.bounds.reclaimable_price
        if price is None or price >= 1:
            kept_count = min(zone.reclaimable_count, count)
            return _ZonePlan(count - kept_count, kept_count)
        elsewhere_count = self._totals.total - count
        regular_count = min(
            count,
            max(
                self._floors[zone.availability_zone],
                self._loss_need() - elsewhere_count,
            ),
        )
        reclaimable_count = count - regular_count
        if not self._is_scarce(seen, zone.availability_zone):
            return _ZonePlan(regular_count, reclaimable_count)
        reclaimable_count = min(
            reclaimable_count,
            zone.reclaimable_count + self._starting_count(seen, zone, True),
        )
        # Regular engines that are there stay in place of the missing ones.
        kept_count = min(
            _serving_count(zone, False)
            + self._starting_count(seen, zone, False),
            count - reclaimable_count,
        )
        return _ZonePlan(max(regular_count, kept_count), reclaimable_count)

    def _loss_need(self) -> int:
        """Engines that the loss of a zone's reclaimable ones must leave."""
        if self._totals.is_demand_known:
            return math.ceil(self._totals.mean_need)
        return math.ceil(UNKNOWN_LOSS_SHARE * self._totals.total)

    def _is_scarce(self, seen: _Round, name: str) -> bool:
        """Tells whether no reclaimable engines should be ordered in a zone.

        Before traffic they are ordered again at once: only a refusal shows that
        there are none, and no callers wait for the outcome.
        """
        kind = Unavailable(name, True)
        if kind in seen.unavailable:
            return True
        is_recent = seen.now_s - self._arrivals.lost_at_s(kind) < LOST_WAIT_S
        return is_recent and self._totals.is_demand_known

    def _fill_with_regular(
        self, seen: _Round, plans: dict[str, _ZonePlan]
    ) -> None:
        """Adds the regular engines without which callers are not served.

        A zone whose engines are all gone may be cut off, so that engines which
        it is to have count for nothing, and others come first.
        """
        gone_zones = {
            zone.availability_zone
            for zone in seen.zones
            if self._is_gone(seen, zone)
        }
        live_zones = plans.keys() - gone_zones
        required = self._totals.required(live_zones)
        while sum(sum(plans[name]) for name in live_zones) < required:
            names = [
                name
                for name in live_zones
                if sum(plans[name]) < seen.bounds.max_count
                and Unavailable(name, False) not in seen.unavailable
            ]
            if not names:
                return
            chosen = min(
                names,
                key=lambda name: (
                    sum(plans[name]),
                    seen.bounds.zone_prices.get(name, 1.0),
                    name,
                ),
            )
            plan = plans[chosen]
            plans[chosen] = plan._replace(regular_count=plan.regular_count + 1)

    def _is_gone(self, seen: _Round, zone: ZoneEngines) -> bool:
        return not any(
            _present_count(zone, is_reclaimable)
            or self._starting_count(seen, zone, is_reclaimable)
            for is_reclaimable in (False, True)
        )

    def _raises(
        self, seen: _Round, zone: ZoneEngines, plan: _ZonePlan
    ) -> list[CapacityOrder]:
        orders = []
        name, max_count = zone.availability_zone, seen.bounds.max_count
        regular_count = _desired_count(zone, False)
        reclaimable_count = _desired_count(zone, True)
        if plan.regular_count > regular_count:
            # What was ordered in vain makes room for regular engines.
            room_count = max(
                max_count - plan.regular_count, zone.reclaimable_count
            )
            if reclaimable_count > room_count:
                reclaimable_count = room_count
                orders.append(
                    CapacityOrder(name, True, room_count, "makes room")
                )
            wanted_count = min(
                plan.regular_count, max_count - reclaimable_count
            )
            if wanted_count > regular_count:
                regular_count = wanted_count
                self._raised_at_s = seen.now_s
                orders.append(
                    CapacityOrder(name, False, wanted_count, "too few engines")
                )
        elif plan.regular_count > zone.regular_count and self._is_repeat_due(
            seen, zone, False
        ):
            orders.append(self._repeat(seen, zone, False))
        wanted_count = min(plan.reclaimable_count, max_count - regular_count)
        if wanted_count > reclaimable_count:
            orders.append(
                CapacityOrder(name, True, wanted_count, "more at less cost")
            )
        elif wanted_count > zone.reclaimable_count and self._is_repeat_due(
            seen, zone, True
        ):
            orders.append(self._repeat(seen, zone, True))
        return orders

    def _repeat(
        self, seen: _Round, zone: ZoneEngines, is_reclaimable: bool
    ) -> CapacityOrder:
        kind = Unavailable(zone.availability_zone, is_reclaimable)
        self._arrivals.note_repeated(kind, seen.now_s)
        count = _desired_count(zone, is_reclaimable)
        return CapacityOrder(*kind, count, "engines are missing")

    def _releases(
        self, seen: _Round, plans: Mapping[str, _ZonePlan]
    ) -> list[CapacityOrder]:
        """Returns orders that give engines back.

        Those of one zone, or a part of all, at a time, because their caches and
        roles go with them.
        """
        if self._totals.is_demand_known:
            may_release = self._may_release(seen)
        else:
            since_s = seen.now_s - self._released_at_s
            may_release = since_s >= IDLE_RELEASE_PAUSE_S
        if not may_release:
            return []
        spare_count = sum(map(_all_serving_count, seen.zones))
        spare_count -= self._totals.required(
            {zone.availability_zone for zone in seen.zones}
        )
        limit_count = max(1, int(MAX_RELEASED_SHARE * self._totals.total))
        orders: list[CapacityOrder] = []
        for zone in sorted(
            seen.zones,
            key=lambda zone: (
                -seen.bounds.zone_prices.get(zone.availability_zone, 1.0)
            ),
        ):
            released = self._zone_release(
                zone, plans[zone.availability_zone], spare_count
            )
            if released is None or (orders and released[1] > limit_count):
                continue
            orders.append(released[0])
            spare_count -= released[1]
            limit_count -= released[1]
        if orders:
            self._released_at_s = seen.now_s
        return orders

    def _zone_release(
        self, zone: ZoneEngines, plan: _ZonePlan, spare_count: int
    ) -> tuple[CapacityOrder, int] | None:
        """Returns the order for a zone's engines to spare and their number."""
        name = zone.availability_zone
        spare_count = min(
            spare_count, _all_serving_count(zone) - self._totals.by_zone[name]
        )
        regular_count = _desired_count(zone, False)
        count = min(spare_count, regular_count - plan.regular_count)
        if count > 0:
            order = CapacityOrder(
                name,
                False,
                regular_count - count,
                "others serve in their place",
            )
            return order, count
        count = min(
            spare_count, zone.reclaimable_count - plan.reclaimable_count
        )
        if count <= 0:
            return None
        order = CapacityOrder(
            name, True, zone.reclaimable_count - count, "little work"
        )
        return order, count

    def _may_release(self, seen: _Round) -> bool:
        """Tells whether engines may be given back under load."""
        since_raise_s = seen.now_s - self._raised_at_s
        return (
            seen.now_s - self._released_at_s >= RELEASE_PAUSE_S
            and since_raise_s >= RAISE_HOLD_S
            and not any(zone.leaving_count for zone in seen.zones)
            and not any(
                self._starting_count(seen, zone, is_reclaimable)
                for zone in seen.zones
                for is_reclaimable in (False, True)
            )
        )

    def _starting_count(
        self, seen: _Round, zone: ZoneEngines, is_reclaimable: bool
    ) -> int:
        """Returns the number of engines that are ordered and may be coming."""
        kind = Unavailable(zone.availability_zone, is_reclaimable)
        if not self._arrivals.is_awaited(kind, seen.bounds.boot_s, seen.now_s):
            return 0
        present_count = _present_count(zone, is_reclaimable)
        return max(0, _desired_count(zone, is_reclaimable) - present_count)

    def _is_repeat_due(
        self, seen: _Round, zone: ZoneEngines, is_reclaimable: bool
    ) -> bool:
        kind = Unavailable(zone.availability_zone, is_reclaimable)
        return kind not in seen.unavailable and self._arrivals.is_repeat_due(
            kind, seen.bounds.boot_s, seen.now_s
        )


def _present_count(zone: ZoneEngines, is_reclaimable: bool) -> int:
    return zone.reclaimable_count if is_reclaimable else zone.regular_count


def _ordered_count(zone: ZoneEngines, is_reclaimable: bool) -> int | None:
    if is_reclaimable:
        return zone.reclaimable_ordered_count
    return zone.regular_ordered_count


def _desired_count(zone: ZoneEngines, is_reclaimable: bool) -> int:
    ordered = _ordered_count(zone, is_reclaimable)
    return _present_count(zone, is_reclaimable) if ordered is None else ordered


def _serving_count(zone: ZoneEngines, is_reclaimable: bool) -> int:
    """Returns the engines of a kind that serve and were not given back."""
    return min(
        _present_count(zone, is_reclaimable),
        _desired_count(zone, is_reclaimable),
    )


def _all_serving_count(zone: ZoneEngines) -> int:
    return _serving_count(zone, False) + _serving_count(zone, True)


def _found_count(zone: ZoneEngines) -> int:
    """Returns the engines that a zone had before the first order.

    After a change of the duty's holder, a replacement may be half done; engines
    that are being replaced don't count twice.
    """
    if zone.regular_ordered_count is not None:
        return zone.regular_ordered_count + _desired_count(zone, True)
    if zone.reclaimable_ordered_count is not None:
        return max(
            zone.regular_count,
            min(REGULAR_FLOOR, zone.regular_count)
            + zone.reclaimable_ordered_count,
        )
    return zone.regular_count + zone.reclaimable_count

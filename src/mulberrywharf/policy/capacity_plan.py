"""Plans how many engines of a service each availability zone has.

Engines are paid for by the second, by zone and kind. Preemptible engines, called
reclaimable here, cost less, and the platform may take back all of a zone's at
once.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple


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


class CapacityPlan:
    """Plans the engines of one service from one round to the next."""

    def decide(
        self,
        bounds: CapacityBounds,
        zones: Sequence[ZoneEngines],
        demand: CapacityDemand | None,
        unavailable: frozenset[Unavailable],
        now_s: float,
    ) -> list[CapacityOrder]:
        """Returns the orders to send now.

        Args:
            bounds: Engines that the service may have.
            zones: Its engines in each zone.
            demand: Engines that callers' work keeps busy, None if unknown.
            unavailable: What the platform recently refused.
            now_s: The current time.
        """
        raise NotImplementedError

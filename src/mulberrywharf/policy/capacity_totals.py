"""Decides how many engines of a service each zone has, of whichever kind.

The load that this answers: work that swings within some 10 s and bursts for 3
to 10 s, while a new engine serves only after several seconds. Capacity for a
burst has to be there before it.
"""

import collections
import math
from collections.abc import Container, Iterable, Mapping, Sequence
from typing import NamedTuple

BURST_FACTOR = 1.9
"""Highest burst over the mean work for which engines are ready. Bursts of 1.7
to 1.9 last for 3 to 10 s, and an engine that is ordered when one begins serves
at its end."""

RISE_FACTOR = 1.2
"""Room above the work of the moment, which may be in a burst already: it still
rises a little until engines that are ordered now serve. With the whole burst
factor on top of a burst, engines were ordered and given back soon after."""

PREFILL_SHARE = 0.4
"""Utilization of the prefill engines in a burst. With random arrivals, nine in
ten prompts at an engine then wait for less than the prefill of one other; at
0.6 it is seven in ten, and a long prompt that waits for two is late."""

DECODE_SHARE = 0.75
"""Share of the decode engines' slots in use in a burst; the bound above which
``role_split`` adds a decode engine."""

LOW_FOR_S = 30.0
"""Time over which the mean of the work is taken, and for which fewer engines
must have sufficed before some are given back; longer than two swings of it.
With 20 s, 16 in place of 6 orders were undone by the next burst in ten runs of
bench.capacity_play, at 1% less cost."""

MIN_CUT_SHARE = 0.1
"""Minimum share of the engines to be given up at once. Cached parts are lost
with an engine, and the estimate of the work varies by about as much."""


MIN_KEPT_SHARE = 0.5
"""Share of the engines that a service had when its work became known which it
keeps. Shared parts of prompts are cached in so many engines; work that is low
now says nothing about how many parts there are."""


class _Need(NamedTuple):
    """Engines needed at a time, without and with room for a burst."""

    at_s: float
    engines: float
    burst_engines: int


class ZoneTotals:
    """The number of engines that each zone is to have.

    Attributes:
        by_zone: Number of engines by zone, both kinds together.
        mean_need: Number of engines for the mean of the work; 0 while it is
            unknown.
    """

    def __init__(self, *, may_grow: bool = True) -> None:
        """Creates it without any zones.

        Args:
            may_grow: Whether more engines are planned than the service had when
                its work became known.
        """
        self._may_grow = may_grow
        self._found_count = 0
        self.by_zone: dict[str, int] = {}
        self.mean_need = 0.0
        self._recent: collections.deque[_Need] = collections.deque()
        self._first_need_s: float | None = None
        self._kept_count = 0

    @property
    def is_demand_known(self) -> bool:
        """Whether the work of callers has been known at any time."""
        return self._first_need_s is not None

    @property
    def total(self) -> int:
        """Number of engines in all zones."""
        return sum(self.by_zone.values())

    def required(self, zones: Iterable[str]) -> int:
        """Returns the engines without which callers would not be served.

        Args:
            zones: Zones that have engines. While the work is unknown, the
                engines that these had are required.
        """
        if not self.is_demand_known:
            return sum(self.by_zone[name] for name in zones)
        return min(self.total, self._recent[-1].burst_engines)

    def note_demand(
        self, prefill_engines: float, decode_engines: float, now_s: float
    ) -> None:
        """Notes how many engines the work keeps busy."""
        if self._first_need_s is None:
            self._first_need_s = now_s
            self._found_count = self.total
            self._kept_count = math.ceil(MIN_KEPT_SHARE * self.total)
        need = prefill_engines / PREFILL_SHARE + decode_engines / DECODE_SHARE
        while self._recent and now_s - self._recent[0].at_s > LOW_FOR_S:
            self._recent.popleft()
        needs = [one.engines for one in self._recent]
        needs.append(need)
        self.mean_need = sum(needs) / len(needs)
        burst_need = math.ceil(
            max(BURST_FACTOR * self.mean_need, RISE_FACTOR * need)
        )
        self._recent.append(_Need(now_s, need, burst_need))

    def grow(
        self,
        max_count: int,
        zone_prices: Mapping[str, float],
        scarce_zones: Container[str],
    ) -> None:
        """Adds engines until a burst or the loss of a zone leaves enough.

        Args:
            max_count: Maximum number of engines in a zone.
            zone_prices: Price by zone.
            scarce_zones: Zones where no engines are available now, which come
                last.
        """
        while self.is_demand_known and self._is_short():
            if not self._may_grow and self.total >= self._found_count:
                return
            names = [name for name, n in self.by_zone.items() if n < max_count]
            if not names:
                return
            chosen = min(
                names,
                key=lambda name: (
                    name in scarce_zones,
                    self.by_zone[name],
                    zone_prices.get(name, 1.0),
                    name,
                ),
            )
            self.by_zone[chosen] += 1

    def cut(
        self,
        min_counts: Mapping[str, int],
        zone_prices: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Gives up at most one engine for each zone if all can be spared.

        Args:
            min_counts: Minimum number of engines by zone.
            zone_prices: Price by zone.
            now_s: The current time.
        """
        if (
            self._first_need_s is None
            or now_s - self._first_need_s < LOW_FOR_S
            or self.total - self._highest_need()
            < max(1.0, MIN_CUT_SHARE * self.total)
        ):
            return
        for _ in range(len(self.by_zone)):
            names = [
                name for name, n in self.by_zone.items() if n > min_counts[name]
            ]
            if not names or self.total <= self._kept_count:
                return
            chosen = max(
                names,
                key=lambda name: (
                    self.by_zone[name],
                    zone_prices.get(name, 1.0),
                    name,
                ),
            )
            self.by_zone[chosen] -= 1
            if self._is_short():
                self.by_zone[chosen] += 1
                return

    def _highest_need(self) -> int:
        return max((one.burst_engines for one in self._recent), default=0)

    def _is_short(self) -> bool:
        counts: Sequence[int] = list(self.by_zone.values())
        if sum(counts) < self._highest_need():
            return True
        return len(counts) > 1 and sum(counts) - max(counts) < self.mean_need

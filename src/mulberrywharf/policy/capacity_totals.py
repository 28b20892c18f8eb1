"""Decides how many engines of a service each zone has, of whichever kind.

The load that this answers: work that swings within some 10 s and bursts for 3
to 10 s, while a new engine serves only after several seconds. Capacity for a
burst has to be there before it.
"""

import collections
import math
from collections.abc import Container, Mapping, Sequence

BURST_FACTOR = 1.9
"""Highest burst over the mean work for which engines are ready. Bursts of 1.7
to 1.9 last for 3 to 10 s, and an engine that is ordered when one begins serves
at its end."""

PREFILL_SHARE = 0.4
"""Utilization of the prefill engines in a burst. With random arrivals, nine in
ten prompts at an engine then wait for less than the prefill of one other; at
0.6 it is seven in ten, and a long prompt that waits for two is late."""

DECODE_SHARE = 0.75
"""Share of the decode engines' slots in use in a burst; the bound above which
``role_split`` adds a decode engine."""

LOW_FOR_S = 20.0
"""Fewer engines are planned only after they would have sufficed for this long.
It is longer than a swing of the work, and bounds reversals to one in this
time."""

MIN_CUT_SHARE = 0.1
"""Minimum share of the engines to be given up at once. Cached parts are lost
with an engine, and the estimate of the work varies by about as much."""


class ZoneTotals:
    """The number of engines that each zone is to have.

    Attributes:
        by_zone: Number of engines by zone, both kinds together.
        mean_need: Number of engines for the current work without a burst; 0
            while it is unknown.
    """

    def __init__(self) -> None:
        self.by_zone: dict[str, int] = {}
        self.mean_need = 0.0
        self._needs: collections.deque[tuple[float, int]] = collections.deque()
        self._first_need_s: float | None = None

    @property
    def is_demand_known(self) -> bool:
        """Whether the work of callers has been known at any time."""
        return self._first_need_s is not None

    @property
    def total(self) -> int:
        """Number of engines in all zones."""
        return sum(self.by_zone.values())

    @property
    def required(self) -> int:
        """Number of engines without which callers would not be served.

        While the work is unknown, those that the service had.
        """
        if not self.is_demand_known:
            return self.total
        return min(self.total, self._burst_need())

    def note_demand(
        self, prefill_engines: float, decode_engines: float, now_s: float
    ) -> None:
        """Notes how many engines the work keeps busy."""
        if self._first_need_s is None:
            self._first_need_s = now_s
        self.mean_need = (
            prefill_engines / PREFILL_SHARE + decode_engines / DECODE_SHARE
        )
        self._needs.append((now_s, self._burst_need()))
        while now_s - self._needs[0][0] > LOW_FOR_S:
            self._needs.popleft()

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
        self, min_count: int, zone_prices: Mapping[str, float], now_s: float
    ) -> None:
        """Gives up at most one engine for each zone if all can be spared.

        Args:
            min_count: Minimum number of engines in a zone.
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
            names = [name for name, n in self.by_zone.items() if n > min_count]
            if not names:
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

    def _burst_need(self) -> int:
        return math.ceil(BURST_FACTOR * self.mean_need)

    def _highest_need(self) -> int:
        return max((need for _, need in self._needs), default=0)

    def _is_short(self) -> bool:
        counts: Sequence[int] = list(self.by_zone.values())
        if sum(counts) < self._highest_need():
            return True
        return len(counts) > 1 and sum(counts) - max(counts) < self.mean_need

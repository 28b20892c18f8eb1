"""Counts started requests per customer and time window."""

from collections.abc import Mapping
from typing import Protocol

from mulberrywharf import clock

KEPT_WINDOWS_COUNT = 12
"""Windows to retain, so that a new collector can get the counts that the
previous one had not reported."""


class WallClock(Protocol):
    """A source of wall-clock time."""

    def unix_s(self) -> float:
        """Returns seconds since the Unix epoch."""
        ...


class MonotonicWallClock:
    """Wall-clock time read at startup and advanced by a monotonic clock.

    Adjustments of the system time would shift requests into other windows.
    """

    def __init__(self, system_clock: clock.Clock | None = None):
        self._clock = system_clock or clock.BootClock()
        self._offset_s = self._clock.unix_s() - self._clock.monotonic_s()

    def unix_s(self) -> float:
        """Returns seconds since the Unix epoch."""
        return self._clock.monotonic_s() + self._offset_s


class UsageCounts:
    """Request counts of this gateway.

    Each count is the total of its window so far, not an increment, and never
    decreases. A collector replaces a gateway's earlier count by its latest one,
    so it counts no request twice.
    """

    def __init__(self, window_s: float, wall_clock: WallClock):
        """Creates empty counts.

        Args:
            window_s: Length of a window; window 0 starts at the Unix epoch.
            wall_clock: Determines the current window.
        """
        self._window_s = window_s
        self._wall_clock = wall_clock
        self._by_window: dict[int, dict[str, int]] = {}

    def count_request(self, customer: str) -> None:
        """Counts a request in the current window."""
        window = int(self._wall_clock.unix_s() // self._window_s)
        counts = self._by_window.get(window)
        if counts is None:
            counts = self._by_window[window] = {}
            while len(self._by_window) > KEPT_WINDOWS_COUNT:
                del self._by_window[min(self._by_window)]
        counts[customer] = counts.get(customer, 0) + 1

    def counts_after(self, window: int) -> Mapping[int, Mapping[str, int]]:
        """Returns the counts of each window after the given one."""
        return {
            number: counts
            for number, counts in self._by_window.items()
            if number > window
        }

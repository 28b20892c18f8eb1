"""Budget of the requests that a node may repeat at a second server.

All nodes share one budget per service: in any window, repeats may be a fraction
of the requests for the service, plus a fixed allowance. Nodes need no messages
to keep within it. Each node spends only the fraction of the requests that it
sees itself and its equal part of the allowance, so the sum is within the
budget.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

WINDOW_BUCKETS_COUNT = 10
"""Number of buckets of the sliding window. More buckets cost memory and gain at
most a tenth of the budget."""

USABLE_SHARE = 0.8
"""Fraction of ``ratio`` that is spent. The operators count at the servers, in a
sliding window, and requests arrive there slightly later than they are counted
here. Without this margin, repeats could exceed the budget by a few."""


class RepeatBudgetSettings(NamedTuple):
    """Limits on repeats.

    Attributes:
        ratio: Maximum repeats per request, over all nodes.
        window_s: Length of the sliding window for both counts.
        allowance_count: Additional repeats in each window, over all nodes.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance_count: float = 0.0


class _Window:
    """Counts of one service, by bucket of the sliding window."""

    def __init__(self) -> None:
        self.requests: collections.Counter[int] = collections.Counter()
        self.repeats: collections.Counter[int] = collections.Counter()

    def drop_before(self, bucket: int) -> None:
        for counts in (self.requests, self.repeats):
            for old in [key for key in counts if key < bucket]:
                del counts[old]


class RepeatBudget:
    """Budget of one node's repeats, by service."""

    def __init__(
        self, settings: RepeatBudgetSettings, nodes_count: Callable[[], int]
    ):
        """Makes a budget of which nothing is spent.

        Args:
            settings: Limits on repeats.
            nodes_count: Returns how many nodes share the allowance.
        """
        self._settings = settings
        self._nodes_count = nodes_count
        self._bucket_s = settings.window_s / WINDOW_BUCKETS_COUNT
        self._windows: dict[str, _Window] = {}

    def configure(self, settings: RepeatBudgetSettings) -> None:
        """Changes the limits; a new window length resets the counts."""
        if settings.window_s != self._settings.window_s:
            self._windows.clear()
        self._settings = settings
        self._bucket_s = settings.window_s / WINDOW_BUCKETS_COUNT

    def note_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request for the service."""
        window, bucket = self._window(service, now_s)
        window.requests[bucket] += 1

    def take(self, service: str, now_s: float) -> bool:
        """Takes one repeat; returns False if the window's budget is spent."""
        window, bucket = self._window(service, now_s)
        settings = self._settings
        allowed = (
            USABLE_SHARE * settings.ratio * window.requests.total()
            + settings.allowance_count / max(1, self._nodes_count())
        )
        if window.repeats.total() + 1 > allowed:
            return False
        window.repeats[bucket] += 1
        return True

    def _window(self, service: str, now_s: float) -> tuple[_Window, int]:
        window = self._windows.setdefault(service, _Window())
        bucket = int(now_s / self._bucket_s)
        window.drop_before(bucket - WINDOW_BUCKETS_COUNT + 1)
        return window, bucket

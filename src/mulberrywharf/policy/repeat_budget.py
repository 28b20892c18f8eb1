"""How many requests a node may send to a second server of a service.

All nodes share one budget: in any window, repeats of a service may be a share
of the requests for it, and some more. No message is needed to keep it: each
node spends the share of what it sees itself, so the sum keeps the whole, and
its part of the fixed allowance.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

WINDOW_BUCKETS_COUNT = 10
"""Parts of the window that are counted apart; a finer count costs memory and
gains at most a tenth of the budget."""

USABLE_SHARE = 0.8
"""Part of the share that is spent. The operators' window slides and counts at
the servers; requests that arrive there a moment later than here would else
exceed it by a few."""


class RepeatBudgetSettings(NamedTuple):
    """Bounds on repeats.

    Attributes:
        ratio: Repeats for each request, over all nodes.
        window_s: Length of the window in which both are counted.
        allowance_count: Repeats beyond that in each window, over all nodes.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance_count: float = 0.0


class _Window:
    """Counts of one service in the parts of the sliding window."""

    def __init__(self) -> None:
        self.requests: collections.Counter[int] = collections.Counter()
        self.repeats: collections.Counter[int] = collections.Counter()

    def drop_before(self, bucket: int) -> None:
        for counts in (self.requests, self.repeats):
            for old in [key for key in counts if key < bucket]:
                del counts[old]


class RepeatBudget:
    """The repeats that one node may still send, by service."""

    def __init__(
        self, settings: RepeatBudgetSettings, nodes_count: Callable[[], int]
    ):
        """Makes a budget that is not spent.

        Args:
            settings: Its bounds.
            nodes_count: Returns how many nodes share the allowance.
        """
        self._settings = settings
        self._nodes_count = nodes_count
        self._bucket_s = settings.window_s / WINDOW_BUCKETS_COUNT
        self._windows: dict[str, _Window] = {}

    def configure(self, settings: RepeatBudgetSettings) -> None:
        """Changes the bounds; what was counted stays where the window does."""
        if settings.window_s != self._settings.window_s:
            self._windows.clear()
        self._settings = settings
        self._bucket_s = settings.window_s / WINDOW_BUCKETS_COUNT

    def note_request(self, service: str, now_s: float) -> None:
        """Counts a request of a caller for the service."""
        window, bucket = self._window(service, now_s)
        window.requests[bucket] += 1

    def take(self, service: str, now_s: float) -> bool:
        """Takes one repeat; False if the budget of the window is spent."""
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

"""Budget of the requests that a gateway may retry at a second server.

All gateways share one budget per service: in any window, retries may be a
fraction of the requests for the service, plus a fixed allowance. Gateways need
no messages to keep within it. Each gateway spends only the fraction of the
requests that it sees itself and its equal part of the allowance, so the sum is
within the budget. ``retry_budget`` has the rules for routers.
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
here. Without this margin, retries could exceed the budget by a few."""


class RepeatBudgetSettings(NamedTuple):
    """Limits on retries.

    Attributes:
        ratio: Maximum retries per request, over all gateways.
        window_s: Length of the sliding window for both counts.
        allowance_count: Additional retries in each window, over all gateways.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance_count: float = 0.0


class Decision(NamedTuple):
    """Whether one retry may be sent, and why.

    Attributes:
        is_allowed: Whether it was charged and may be sent.
        window_s: Length of the window that decided; less than that of the
            settings, as the current bucket is not over.
        requests_count: Requests in that window.
        retries_count: Retries in that window, this one excluded.
        gateways_count: Number of gateways among which the allowance was
            divided.
    """

    is_allowed: bool
    window_s: float
    requests_count: int
    retries_count: int
    gateways_count: int


class _Window:
    """Counts of one service, by bucket of the sliding window."""

    def __init__(self) -> None:
        self.requests: collections.Counter[int] = collections.Counter()
        self.retries: collections.Counter[int] = collections.Counter()

    def drop_before(self, bucket: int) -> None:
        for counts in (self.requests, self.retries):
            for old in [key for key in counts if key < bucket]:
                del counts[old]


class RepeatBudget:
    """Budget of one gateway's retries, by service."""

    def __init__(
        self, settings: RepeatBudgetSettings, gateways_count: Callable[[], int]
    ):
        """Makes a budget of which nothing is spent.

        Args:
            settings: Limits on retries.
            gateways_count: Returns how many gateways share the allowance.
        """
        self._settings = settings
        self._gateways_count = gateways_count
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

    def decide(self, service: str, now_s: float) -> Decision:
        """Charges one retry, unless the window's budget is spent."""
        window, bucket = self._window(service, now_s)
        settings = self._settings
        gateways_count = max(1, self._gateways_count())
        requests_count = window.requests.total()
        retries_count = window.retries.total()
        allowed = (
            USABLE_SHARE * settings.ratio * requests_count
            + settings.allowance_count / gateways_count
        )
        is_allowed = retries_count + 1 <= allowed
        if is_allowed:
            window.retries[bucket] += 1
        window_from_s = (bucket - WINDOW_BUCKETS_COUNT + 1) * self._bucket_s
        return Decision(
            is_allowed,
            now_s - window_from_s,
            requests_count,
            retries_count,
            gateways_count,
        )

    def _window(self, service: str, now_s: float) -> tuple[_Window, int]:
        window = self._windows.setdefault(service, _Window())
        bucket = int(now_s / self._bucket_s)
        window.drop_before(bucket - WINDOW_BUCKETS_COUNT + 1)
        return window, bucket

"""Budgets of calls to the platform, one token bucket for each purpose.

The service bills each call and limits its rate for the whole deployment. A
fault in one part of a process, such as a loop that retries at once, must not
use up the calls that renew a lease: each purpose has a bucket of its own.
"""

from collections.abc import Mapping
from typing import NamedTuple


class CallBudget(NamedTuple):
    """How many calls one process may send for one purpose.

    Attributes:
        per_s: Long-run rate.
        burst_count: Calls that may be sent at once after a quiet time.
    """

    per_s: float
    burst_count: int


DEFAULT_BUDGET = CallBudget(per_s=20.0, burst_count=40)
"""For a purpose that names none."""


class TokenBucket:
    """Counts the calls that may still be sent."""

    def __init__(self, budget: CallBudget, now_s: float):
        self._budget = budget
        self._tokens = float(budget.burst_count)
        self._filled_s = now_s

    def take(self, now_s: float) -> bool:
        """Takes one call out of the bucket; False if none is left."""
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        self._tokens = min(
            float(self._budget.burst_count),
            self._tokens + elapsed_s * self._budget.per_s,
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PurposeBudgets:
    """The buckets of one process."""

    def __init__(self, budgets: Mapping[str, CallBudget] | None = None):
        self._budgets = dict(budgets or {})
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, purpose: str, now_s: float) -> bool:
        """Takes one call for the purpose; False if its budget is spent."""
        bucket = self._buckets.get(purpose)
        if bucket is None:
            budget = self._budgets.get(purpose, DEFAULT_BUDGET)
            bucket = self._buckets[purpose] = TokenBucket(budget, now_s)
        return bucket.take(now_s)

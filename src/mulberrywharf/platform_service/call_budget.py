"""Budgets of calls to the platform, with one token bucket for each purpose.

The service bills each call and limits the call rate of the whole deployment. A
fault in one part of a process, such as a loop that retries without a delay,
must not use up the calls that renew a lease. So each purpose has its own
bucket.
"""

from collections.abc import Mapping
from typing import NamedTuple


class CallBudget(NamedTuple):
    """Rate limit of one process's calls for one purpose.

    Attributes:
        per_s: Sustained rate in calls per second.
        burst_count: Capacity of the bucket: the number of calls that may be
            sent at once when it is full.
    """

    per_s: float
    burst_count: int


DEFAULT_BUDGET = CallBudget(per_s=20.0, burst_count=40)
"""Budget of a purpose that has none of its own."""


class TokenBucket:
    """Token bucket in which each token allows one call."""

    def __init__(self, budget: CallBudget, now_s: float):
        self._budget = budget
        self._tokens = float(budget.burst_count)
        self._filled_s = now_s

    def take(self, now_s: float) -> bool:
        """Takes one token; returns False if the bucket is empty."""
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
    """Token buckets of one process, by purpose."""

    def __init__(self, budgets: Mapping[str, CallBudget] | None = None):
        self._budgets = dict(budgets or {})
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, purpose: str, now_s: float) -> bool:
        """Takes one token; returns False if the purpose's budget is spent."""
        bucket = self._buckets.get(purpose)
        if bucket is None:
            budget = self._budgets.get(purpose, DEFAULT_BUDGET)
            bucket = self._buckets[purpose] = TokenBucket(budget, now_s)
        return bucket.take(now_s)

"""Decides whether a failed request is tried again, and when.

When a part of the fleet fails, retries multiply the load on what is left.
Every first attempt therefore earns a small part of a retry for its customer
and for the whole node; a retry must be paid from both. A small floor lets
retries happen at low load. Waits are drawn at random from zero to a bound
that doubles (full jitter), so that callers do not come back in step.
"""

import collections
import random
from typing import NamedTuple

from mulberrywharf import errors
from mulberrywharf.policy import outcome, token_bucket


class RetrySettings(NamedTuple):
    """Bounds of retries.

    Attributes:
        retry_share: Retries earned by each first attempt.
        floor_per_s: Retries that the whole node earns each second besides.
        customer_floor_per_s: The same for each customer.
        burst_count: Most retries saved up by the whole node.
        customer_burst_count: Most retries saved up by a customer.
        attempts_limit_count: Most attempts of one request.
        initial_backoff_s: Bound of the first wait.
        backoff_limit_s: Bound of any wait.
        customers_limit_count: Customers remembered; the one not seen for
            longest goes first.
    """

    retry_share: float = 0.1
    floor_per_s: float = 1.0
    customer_floor_per_s: float = 0.2
    burst_count: float = 20.0
    customer_burst_count: float = 5.0
    attempts_limit_count: int = 3
    initial_backoff_s: float = 0.05
    backoff_limit_s: float = 2.0
    customers_limit_count: int = 2_000


class FailedAttempt(NamedTuple):
    """A request whose last attempt failed.

    Attributes:
        customer: Whose request it is.
        attempt_count: Attempts made so far, at least 1.
        progress: How far the last attempt went.
        is_idempotent: Whether running it twice is harmless.
        time_left_s: Until the caller's deadline.
        expected_s: What another attempt would take at least.
        outcome: Outcome of all attempts before the last.
        retry_after_s: Wait that the back end asked for, or 0.
    """

    customer: str
    attempt_count: int
    progress: outcome.Progress
    is_idempotent: bool
    time_left_s: float
    expected_s: float = 0.0
    outcome: errors.Outcome = "not-run"
    retry_after_s: float = 0.0


class Retry(NamedTuple):
    """Try again after a wait.

    Attributes:
        after_s: How long to wait first.
        is_resume: Whether to go on from the tokens already delivered.
    """

    after_s: float
    is_resume: bool = False


class GiveUp(NamedTuple):
    """Answer the caller now.

    Attributes:
        error: What to answer.
    """

    error: errors.RequestError


class RetryBudget:
    """The retry budgets of one node."""

    def __init__(self, settings: RetrySettings, now_s: float):
        self._settings = settings
        self._node_bucket = token_bucket.TokenBucket(
            settings.floor_per_s, settings.burst_count, now_s
        )
        self._customer_buckets: collections.OrderedDict[
            str, token_bucket.TokenBucket
        ] = collections.OrderedDict()

    @classmethod
    def from_config(
        cls, now_s: float, settings: RetrySettings | None = None
    ) -> "RetryBudget":
        """Makes full budgets, with the default bounds when none given."""
        return cls(settings or RetrySettings(), now_s)

    @property
    def customers_count(self) -> int:
        """Customers whose budget is remembered."""
        return len(self._customer_buckets)

    def on_first_attempt(self, customer: str, now_s: float) -> None:
        """Earns for a request that is tried for the first time."""
        earned = self._settings.retry_share
        for bucket in (
            self._node_bucket,
            self._customer_bucket(customer, now_s),
        ):
            bucket.fill(now_s)
            bucket.take(-earned)

    def decide(
        self, attempt: FailedAttempt, rng: random.Random, now_s: float
    ) -> Retry | GiveUp:
        """Decides what follows a failed attempt; a retry is paid at once."""
        verdict = outcome.judge(
            attempt.progress, is_idempotent=attempt.is_idempotent
        )
        outcome_so_far = outcome.combine(attempt.outcome, verdict.outcome)
        if not (verdict.may_retry or verdict.may_resume):
            return GiveUp(
                errors.BackEndLostError(
                    "the back end failed and the request may have run",
                    outcome=outcome_so_far,
                )
            )
        if attempt.attempt_count >= self._settings.attempts_limit_count:
            return GiveUp(
                _budget_spent_error(
                    "every allowed attempt failed", outcome_so_far
                )
            )
        after_s = self._backoff_s(attempt, rng)
        if after_s + attempt.expected_s >= attempt.time_left_s:
            return GiveUp(
                errors.DeadlineExceededError(
                    "no attempt fits before the deadline",
                    outcome=outcome_so_far,
                )
            )
        if not self._spend_retry(attempt.customer, now_s):
            return GiveUp(
                _budget_spent_error("the retry budget is spent", outcome_so_far)
            )
        return Retry(after_s, is_resume=verdict.may_resume)

    def _backoff_s(self, attempt: FailedAttempt, rng: random.Random) -> float:
        settings = self._settings
        doublings = min(attempt.attempt_count - 1, 16)
        bound_s = settings.initial_backoff_s * 2**doublings
        jitter_s = rng.uniform(0.0, min(bound_s, settings.backoff_limit_s))
        return attempt.retry_after_s + jitter_s

    def _spend_retry(self, customer: str, now_s: float) -> bool:
        buckets = (self._node_bucket, self._customer_bucket(customer, now_s))
        if any(bucket.wait_s(1.0, now_s) > 0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.take(1.0)
        return True

    def _customer_bucket(
        self, customer: str, now_s: float
    ) -> token_bucket.TokenBucket:
        bucket = self._customer_buckets.get(customer)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._settings.customer_floor_per_s,
                self._settings.customer_burst_count,
                now_s,
            )
            self._customer_buckets[customer] = bucket
            if (
                len(self._customer_buckets)
                > self._settings.customers_limit_count
            ):
                self._customer_buckets.popitem(last=False)
        self._customer_buckets.move_to_end(customer)
        return bucket


def _budget_spent_error(
    message: str, outcome_so_far: errors.Outcome
) -> errors.RetryBudgetSpentError:
    return errors.RetryBudgetSpentError(
        message, outcome=outcome_so_far, retry_after_s=1.0
    )

"""Decides whether and when a failed request is retried.

When a part of the fleet fails, retries multiply the load on the rest. Each
first attempt therefore adds a fraction of a retry to the budget of its customer
and to the budget of the router, and a retry is taken from both. A small
additional rate allows retries at low load. Backoff delays are random between
zero and an exponentially growing bound (full jitter), so that requests that
failed together are not retried at the same time.
"""

import collections
import random
from typing import NamedTuple

from mulberrywharf import errors
from mulberrywharf.policy import outcome, token_bucket


class RetrySettings(NamedTuple):
    """Limits on retries.

    Attributes:
        retry_share: Retries that each first attempt adds to the budgets.
        min_retries_per_s: Retries per second that the router's budget gains
            in any case.
        customer_min_retries_per_s: The same for the budget of each customer.
        burst_count: Maximum retries in the router's budget.
        customer_burst_count: Maximum retries in a customer's budget.
        attempts_limit_count: Maximum attempts of one request.
        initial_backoff_s: Upper bound of the first backoff delay.
        backoff_limit_s: Upper bound of any backoff delay.
        customers_limit_count: Maximum customers whose budget is kept; the
            least recently used one is evicted.
    """

    retry_share: float = 0.1
    min_retries_per_s: float = 1.0
    customer_min_retries_per_s: float = 0.2
    burst_count: float = 20.0
    customer_burst_count: float = 5.0
    attempts_limit_count: int = 3
    initial_backoff_s: float = 0.05
    backoff_limit_s: float = 2.0
    customers_limit_count: int = 2_000


class FailedAttempt(NamedTuple):
    """A request whose last attempt failed.

    Attributes:
        customer: Customer that sent the request.
        attempt_count: Attempts made so far, at least 1.
        progress: How far the last attempt got.
        is_idempotent: Whether the request may safely run twice.
        time_left_s: Time until the caller's deadline.
        expected_s: Minimum duration of another attempt.
        outcome: Combined outcome of all attempts before the last.
        retry_after_s: Delay that the engine or server asked for, or 0.
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
    """The request should be retried after a delay.

    Attributes:
        delay_s: Delay before the retry.
        is_resume: Whether to continue after the tokens already delivered.
    """

    delay_s: float
    is_resume: bool = False


class GiveUp(NamedTuple):
    """The request should fail now.

    Attributes:
        error: Error returned to the caller.
    """

    error: errors.RequestError


class RetryBudget:
    """The retry budgets of one router and of its customers."""

    def __init__(self, settings: RetrySettings, now_s: float):
        self._settings = settings
        self._node_bucket = token_bucket.TokenBucket(
            settings.min_retries_per_s, settings.burst_count, now_s
        )
        self._customer_buckets: collections.OrderedDict[
            str, token_bucket.TokenBucket
        ] = collections.OrderedDict()

    @classmethod
    def from_config(
        cls, now_s: float, settings: RetrySettings | None = None
    ) -> "RetryBudget":
        """Makes full budgets; uses default settings when None."""
        return cls(settings or RetrySettings(), now_s)

    @property
    def customers_count(self) -> int:
        """Number of customers whose budget is kept."""
        return len(self._customer_buckets)

    def on_first_attempt(self, customer: str, now_s: float) -> None:
        """Adds the retries that a request's first attempt earns."""
        earned = self._settings.retry_share
        for bucket in (
            self._node_bucket,
            self._customer_bucket(customer, now_s),
        ):
            bucket.refill(now_s)
            bucket.take(-earned)

    def decide(
        self, attempt: FailedAttempt, rng: random.Random, now_s: float
    ) -> Retry | GiveUp:
        """Decides what follows a failed attempt.

        A retry is taken from the budgets immediately.
        """
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
        delay_s = self._backoff_s(attempt, rng)
        if delay_s + attempt.expected_s >= attempt.time_left_s:
            return GiveUp(
                errors.DeadlineExceededError(
                    "another attempt would not finish before the deadline",
                    outcome=outcome_so_far,
                )
            )
        if not self._spend_retry(attempt.customer, now_s):
            return GiveUp(
                _budget_spent_error("the retry budget is spent", outcome_so_far)
            )
        return Retry(delay_s, is_resume=verdict.may_resume)

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
                self._settings.customer_min_retries_per_s,
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

"""Tests of whether and when a failed request is retried."""

import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf import errors
from mulberrywharf.policy import retry_budget


def _attempt(**fields: Any) -> retry_budget.FailedAttempt:
    values: dict[str, Any] = {
        "customer": "prairie",
        "attempt_count": 1,
        "progress": "sent",
        "is_idempotent": True,
        "time_left_s": 30.0,
    }
    return retry_budget.FailedAttempt(**(values | fields))


def _budget(**fields: Any) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget.from_config(
        0.0, retry_budget.RetrySettings(**fields)
    )


def _decide(
    budget: retry_budget.RetryBudget,
    attempt: retry_budget.FailedAttempt,
    now_s: float = 0.0,
) -> retry_budget.Retry | retry_budget.GiveUp:
    return budget.decide(attempt, random.Random(1), now_s)


class DecideTest(unittest.TestCase):
    def test_idempotent_request_is_retried(self):
        decision = _decide(_budget(), _attempt())
        self.assertIsInstance(decision, retry_budget.Retry)

    def test_partial_answer_is_resumed(self):
        decision = _decide(_budget(), _attempt(progress="answer-began"))
        self.assertTrue(decision.is_resume)

    def test_request_fails_without_retry(self):
        cases = {
            "may have run": (
                {"is_idempotent": False},
                errors.BackEndLostError,
                "unknown",
            ),
            "attempts spent, refused": (
                {"attempt_count": 3, "progress": "refused"},
                errors.RetryBudgetSpentError,
                "not-run",
            ),
            "an earlier attempt may have run": (
                {
                    "attempt_count": 3,
                    "progress": "refused",
                    "outcome": "unknown",
                },
                errors.RetryBudgetSpentError,
                "unknown",
            ),
            "deadline": (
                {"time_left_s": 0.2, "expected_s": 0.3, "progress": "refused"},
                errors.DeadlineExceededError,
                "not-run",
            ),
            "back end asks for a longer wait": (
                {"time_left_s": 2.0, "retry_after_s": 5.0},
                errors.DeadlineExceededError,
                "unknown",
            ),
        }
        for name, (fields, error_type, outcome) in cases.items():
            with self.subTest(name):
                decision = _decide(_budget(), _attempt(**fields))
                self.assertIsInstance(decision.error, error_type)
                self.assertEqual(decision.error.outcome, outcome)

    def test_non_idempotent_request_is_retried_if_it_did_not_run(self):
        for progress in ("nothing-sent", "refused"):
            with self.subTest(progress):
                attempt = _attempt(progress=progress, is_idempotent=False)
                self.assertIsInstance(
                    _decide(_budget(), attempt), retry_budget.Retry
                )

    def test_backoff_is_jittered_within_a_doubling_bound(self):
        settings_ = retry_budget.RetrySettings(attempts_limit_count=20)
        rng = random.Random(1)
        for attempt_count, bound_s in ((1, 0.05), (2, 0.1), (4, 0.4), (9, 2)):
            budget = retry_budget.RetryBudget(
                settings_._replace(customer_burst_count=100, burst_count=100),
                0.0,
            )
            attempt = _attempt(attempt_count=attempt_count)
            waits = [budget.decide(attempt, rng, 0.0) for _ in range(50)]
            with self.subTest(attempt_count=attempt_count):
                self.assertLessEqual(max(w.delay_s for w in waits), bound_s)
                self.assertLess(min(w.delay_s for w in waits), bound_s / 2)


class BudgetTest(unittest.TestCase):
    def test_retries_do_not_multiply_the_load_during_an_outage(self):
        """Guards against retries multiplying the load during an outage.

        Every attempt fails, and each failed request could be sent again
        several times. The budget limits retries to a tenth of the first
        attempts plus the burst.
        """
        budget = _budget(min_retries_per_s=0.0, customer_min_retries_per_s=0.0)
        retries = 0
        for _ in range(1_000):
            budget.on_first_attempt("prairie", 0.0)
            decision = _decide(budget, _attempt())
            retries += isinstance(decision, retry_budget.Retry)
        self.assertLessEqual(retries, 100 + 20)
        self.assertGreaterEqual(retries, 90)

    def test_one_customer_cannot_spend_the_retries_of_others(self):
        budget = _budget()
        for _ in range(50):
            _decide(budget, _attempt(customer="flooding"))
        decision = _decide(budget, _attempt(customer="other"))
        self.assertIsInstance(decision, retry_budget.Retry)

    def test_spent_budget_refills_without_first_attempts(self):
        budget = _budget()
        for _ in range(10):
            spent = _decide(budget, _attempt())
        self.assertIsInstance(spent, retry_budget.GiveUp)
        decision = _decide(budget, _attempt(), now_s=10.0)
        self.assertIsInstance(decision, retry_budget.Retry)

    def test_customers_in_memory_are_bounded(self):
        budget = _budget(customers_limit_count=10)
        for number in range(100):
            budget.on_first_attempt(f"customer-{number}", 0.0)
        self.assertEqual(budget.customers_count, 10)

    @given(st.lists(st.booleans(), max_size=300))
    @settings(derandomize=True, deadline=None)
    def test_retries_never_exceed_the_earned_share_and_the_burst(self, fails):
        budget = _budget(min_retries_per_s=0.0, customer_min_retries_per_s=0.0)
        retries = 0
        for count, fail in enumerate(fails, start=1):
            budget.on_first_attempt("prairie", 0.0)
            if fail:
                decision = _decide(budget, _attempt())
                retries += isinstance(decision, retry_budget.Retry)
            self.assertLessEqual(retries, 0.1 * count + 5 + 1e-6)


if __name__ == "__main__":
    unittest.main()

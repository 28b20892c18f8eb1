"""Tests that requests are admitted, queued or refused correctly."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf import errors
from mulberrywharf.policy import admission


def _requirements(**fields: Any) -> admission.RequestRequirements:
    values: dict[str, Any] = {
        "time_left_s": 30.0,
        "priority": 0,
        "first_token_target_s": 1.3,
    }
    return admission.RequestRequirements(**(values | fields))


def _estimate(**fields: Any) -> admission.AdmissionEstimate:
    values: dict[str, Any] = {"first_token_s": 0.2, "total_s": 3.0}
    return admission.AdmissionEstimate(**(values | fields))


class DecideTest(unittest.TestCase):
    def test_request_is_admitted_when_the_engine_has_a_slot(self):
        decision = admission.decide(_requirements(), _estimate())
        self.assertIsInstance(decision, admission.Admit)

    def test_request_is_refused_at_once_when_it_would_be_too_late(self):
        cases = {
            "deadline": (_requirements(time_left_s=2.0), _estimate()),
            "first token": (_requirements(), _estimate(first_token_s=2.0)),
            "queue": (
                _requirements(),
                _estimate(queue_wait_s=2.0, has_slot=False, queued_count=3),
            ),
        }
        for name, (requirements, estimate) in cases.items():
            with self.subTest(name):
                decision = admission.decide(requirements, estimate)
                self.assertIsInstance(decision, admission.Shed)
                self.assertIsInstance(decision.error, errors.OverloadedError)
                self.assertEqual(decision.error.outcome, "not-run")
                self.assertGreater(decision.retry_after_s, 0)

    def test_passed_deadline_gives_deadline_exceeded_error(self):
        decision = admission.decide(_requirements(time_left_s=0.0), _estimate())
        self.assertIsInstance(decision.error, errors.DeadlineExceededError)

    def test_request_without_first_token_target_needs_only_its_deadline(self):
        requirements = _requirements(first_token_target_s=None)
        decision = admission.decide(requirements, _estimate(first_token_s=2.5))
        self.assertIsInstance(decision, admission.Admit)

    def test_wait_limit_leaves_time_to_answer_before_the_deadline(self):
        estimate = _estimate(has_slot=False, queue_wait_s=0.3, queued_count=2)
        decision = admission.decide(_requirements(time_left_s=3.5), estimate)
        self.assertIsInstance(decision, admission.Wait)
        self.assertAlmostEqual(decision.limit_s, 0.5)

    def test_low_priority_is_refused_first(self):
        late = _estimate(first_token_s=1.3)
        full = _estimate(has_slot=False, queued_count=100)
        for name, estimate, taken in (
            ("late", late, admission.Admit),
            ("full", full, admission.Wait),
        ):
            with self.subTest(name):
                first = admission.decide(_requirements(priority=0), estimate)
                last = admission.decide(_requirements(priority=9), estimate)
                self.assertIsInstance(first, taken)
                self.assertIsInstance(last, admission.Shed)

    def test_queue_is_bounded_for_the_highest_priority_too(self):
        estimate = _estimate(has_slot=False, queued_count=256)
        decision = admission.decide(_requirements(priority=0), estimate)
        self.assertIsInstance(decision, admission.Shed)


class AdmissionPropertyTest(unittest.TestCase):
    @given(
        st.floats(-1, 60),
        st.integers(0, 9),
        st.floats(0, 10),
        st.floats(0, 10),
        st.floats(0, 10),
        st.integers(0, 500),
        st.booleans(),
    )
    @settings(derandomize=True, deadline=None)
    def test_request_that_cannot_meet_its_deadline_is_refused(
        self, left_s, priority, first_s, after_s, wait_s, queued, has_slot
    ):
        requirements = _requirements(time_left_s=left_s, priority=priority)
        total_s = first_s + after_s
        estimate = _estimate(
            first_token_s=first_s,
            total_s=total_s,
            queue_wait_s=wait_s,
            queued_count=queued,
            has_slot=has_slot,
        )
        decision = admission.decide(requirements, estimate)
        if isinstance(decision, admission.Shed):
            return
        self.assertLessEqual(total_s, left_s)
        if isinstance(decision, admission.Wait):
            self.assertLessEqual(decision.limit_s + total_s, left_s + 1e-9)
            self.assertGreaterEqual(decision.limit_s, 0)


if __name__ == "__main__":
    unittest.main()

"""Tests of what may follow a failed exchange."""

import itertools
import typing
import unittest

from mulberrywharf.policy import outcome

# (progress, idempotent) -> (may retry, may resume, outcome)
_EXPECTED = {
    ("nothing-sent", True): (True, False, "not-run"),
    ("nothing-sent", False): (True, False, "not-run"),
    ("refused", True): (True, False, "not-run"),
    ("refused", False): (True, False, "not-run"),
    ("sent", True): (True, False, "unknown"),
    ("sent", False): (False, False, "unknown"),
    ("answer-began", True): (False, True, "unknown"),
    ("answer-began", False): (False, False, "unknown"),
}


class JudgeTest(unittest.TestCase):
    def test_every_progress_with_and_without_idempotency(self):
        cases = itertools.product(
            typing.get_args(outcome.Progress), (True, False)
        )
        for progress, is_idempotent in cases:
            with self.subTest(progress=progress, idempotent=is_idempotent):
                verdict = outcome.judge(progress, is_idempotent=is_idempotent)
                self.assertEqual(verdict, _EXPECTED[progress, is_idempotent])

    def test_combined_outcome_is_not_run_only_if_neither_attempt_ran(self):
        cases = {
            ("not-run", "not-run"): "not-run",
            ("not-run", "unknown"): "unknown",
            ("unknown", "not-run"): "unknown",
            ("unknown", "unknown"): "unknown",
        }
        for (earlier, later), expected in cases.items():
            with self.subTest(earlier=earlier, later=later):
                self.assertEqual(outcome.combine(earlier, later), expected)


if __name__ == "__main__":
    unittest.main()

"""Tests the measurement of an engine's time between tokens."""

import unittest
from typing import Any

from mulberrywharf.requests import answer_pace


def _reported_paces(
    count: int, step_s: float, *, held_up_s: float = 0.0, together: int = 1
) -> list[float]:
    """Returns the reported paces of an answer with evenly spaced tokens.

    The caller takes ``held_up_s`` to accept each group of tokens.
    """
    pace = answer_pace.AnswerPace()
    reported = []
    now_s = 100.0
    for _ in range(count // together):
        reported.append(pace.on_tokens(together, now_s))
        pace.on_delivered(now_s, now_s + held_up_s)
        now_s += max(step_s * together, held_up_s)
    reported.append(pace.finish())
    return [pace_s for pace_s in reported if pace_s is not None]


class AnswerPaceTest(unittest.TestCase):
    def test_pace_is_reported_once(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "long answer, reported early": {"count": 200},
            "short answer, reported at its end": {"count": 10},
            "tokens that arrive together": {"count": 200, "together": 4},
            "caller that reads at once": {"count": 200, "held_up_s": 5e-4},
        }
        for name, case in cases.items():
            with self.subTest(name):
                reported = _reported_paces(step_s=0.01, **case)
                self.assertEqual(len(reported), 1)
                self.assertAlmostEqual(reported[0], 0.01)

    def test_pace_is_reported_before_the_answer_ends(self) -> None:
        pace = answer_pace.AnswerPace()
        self.assertIsNone(pace.on_tokens(1, 0.0))
        self.assertIsNone(pace.on_tokens(4, 0.2))
        reported = pace.on_tokens(6, 0.4)
        self.assertAlmostEqual(reported or 0.0, 0.04)
        self.assertIsNone(pace.on_tokens(1, 0.5))
        self.assertIsNone(pace.finish())

    def test_slow_caller_suppresses_report(self) -> None:
        """Guards against avoiding a fast engine because its caller is slow.

        A caller reads each token late, so the next tokens wait in buffers. If
        the time between reads were taken for the engine's time between
        tokens, a good engine would get few requests.
        """
        self.assertEqual(_reported_paces(200, 0.01, held_up_s=0.1), [])

    def test_short_answer_is_not_reported(self) -> None:
        for count in (0, 1, 4):
            with self.subTest(count=count):
                self.assertEqual(_reported_paces(count, 0.01), [])


if __name__ == "__main__":
    unittest.main()

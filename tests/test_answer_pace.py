"""How fast an engine makes an answer, whoever reads it."""

import unittest
from typing import Any

from mulberrywharf.requests import answer_pace


def _play(
    count: int, step_s: float, *, held_up_s: float = 0.0, together: int = 1
) -> list[float]:
    """Returns the paces told for an answer of regular tokens."""
    made = answer_pace.AnswerPace()
    told = []
    now_s = 100.0
    for _ in range(count // together):
        told.append(made.on_tokens(together, now_s))
        made.on_passed_on(now_s, now_s + held_up_s)
        now_s += max(step_s * together, held_up_s)
    told.append(made.at_end())
    return [pace_s for pace_s in told if pace_s is not None]


class AnswerPaceTest(unittest.TestCase):
    def test_told_once(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "a long answer, early": {"count": 200},
            "a short answer, at its end": {"count": 10},
            "tokens that arrive together": {"count": 200, "together": 4},
            "a caller that reads at once": {"count": 200, "held_up_s": 5e-4},
        }
        for name, case in cases.items():
            with self.subTest(name):
                told = _play(step_s=0.01, **case)
                self.assertEqual(len(told), 1)
                self.assertAlmostEqual(told[0], 0.01)

    def test_is_early(self) -> None:
        made = answer_pace.AnswerPace()
        self.assertIsNone(made.on_tokens(1, 0.0))
        self.assertIsNone(made.on_tokens(4, 0.2))
        told = made.on_tokens(6, 0.4)
        self.assertAlmostEqual(told or 0.0, 0.04)
        self.assertIsNone(made.on_tokens(1, 0.5))
        self.assertIsNone(made.at_end())

    def test_slow_caller_tells_nothing(self) -> None:
        """An engine is avoided because a phone reads slowly.

        Symptom: a good engine gets little work.
        Sequence: a caller takes each token late; the next ones wait in
        buffers meanwhile.
        Cause: the time between reads was taken for the engine's.
        """
        self.assertEqual(_play(200, 0.01, held_up_s=0.1), [])

    def test_too_short_to_tell(self) -> None:
        for count in (0, 1, 4):
            with self.subTest(count=count):
                self.assertEqual(_play(count, 0.01), [])


if __name__ == "__main__":
    unittest.main()

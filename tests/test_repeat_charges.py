"""Tests of which repeats are charged, and of what is told of them."""

import unittest
import unittest.mock

from mulberrywharf import clock, errors
from mulberrywharf.forwarding import repeats
from mulberrywharf.policy import repeat_budget


class CountersTest(unittest.TestCase):
    def test_charged_and_refused_repeats_are_counted(self) -> None:
        counted = self.enterContext(
            unittest.mock.patch.object(repeats._repeats_total, "inc")
        )
        charging = repeats.Repeats(
            repeat_budget.RepeatBudget(
                repeat_budget.RepeatBudgetSettings(allowance_count=1.0)
            ),
            clock.SystemClock(),
        )
        self.assertTrue(charging.charge("s", "id", "run"))
        self.assertFalse(charging.charge("s", "id", "prefill"))
        self.assertEqual(
            [call.args[0] for call in counted.call_args_list],
            [
                {"service": "s", "result": "charged", "part": "run"},
                {"service": "s", "result": "refused", "part": "prefill"},
            ],
        )

    def test_only_attempts_that_no_server_received_need_no_charge(self) -> None:
        for error, reason in (
            (errors.EngineUnreachableError("x"), "unreachable"),
            (errors.EngineRefusedError("x"), None),
            (errors.AnswerLostError("x"), None),
        ):
            with self.subTest(error=error.code):
                self.assertEqual(repeats.uncharged_reason(error), reason)


if __name__ == "__main__":
    unittest.main()

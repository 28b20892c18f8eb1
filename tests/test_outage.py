"""When the last outage of the key-value service ended."""

import math
import unittest

from mulberrywharf.platform_service import outage


class LastOutageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outage = outage.LastOutage()

    def test_there_was_none(self) -> None:
        self.outage.record_answer(5.0)
        self.assertEqual(self.outage.age_s(9.0), math.inf)

    def test_it_lasts_until_an_answer(self) -> None:
        self.outage.record_failure(5.0)
        self.assertEqual(self.outage.age_s(5.5), 0.0)
        self.outage.record_answer(5.5)
        self.assertEqual(self.outage.age_s(7.5), 2.0)

    def test_later_answers_do_not_prolong_it(self) -> None:
        self.outage.record_failure(5.0)
        self.outage.record_answer(5.5)
        self.outage.record_answer(9.0)
        self.assertEqual(self.outage.age_s(9.5), 4.0)

    def test_a_late_failure_is_old_news(self) -> None:
        """A call of before the return that times out behind it."""
        self.outage.record_failure(4.0)
        self.outage.record_answer(5.5)
        self.outage.record_failure(5.4)
        self.assertEqual(self.outage.age_s(6.5), 1.0)

    def test_a_call_that_was_sent_later_and_failed_is_a_new_one(self) -> None:
        self.outage.record_failure(4.0)
        self.outage.record_answer(5.5)
        self.outage.record_failure(6.0)
        self.assertEqual(self.outage.age_s(6.2), 0.0)

    def test_without_an_answer_it_ends_a_while_behind_the_last_call(
        self,
    ) -> None:
        """A pause between calls says nothing of the service."""
        self.outage.record_failure(5.0)
        late_s = 5.0 + outage.OUTAGE_EXPIRY_S + 1.0
        self.assertEqual(self.outage.age_s(late_s), 1.0)
        self.outage.record_answer(late_s)
        self.assertEqual(self.outage.age_s(late_s), 1.0)


if __name__ == "__main__":
    unittest.main()

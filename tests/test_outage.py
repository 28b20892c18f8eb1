"""Tests the estimated end of the last outage of the key-value service."""

import math
import unittest

from mulberrywharf.platform_service import outage


class LastOutageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outage = outage.LastOutage()

    def test_age_is_infinite_without_an_outage(self) -> None:
        self.outage.record_answer(5.0)
        self.assertEqual(self.outage.age_s(9.0), math.inf)

    def test_outage_ends_with_the_first_response(self) -> None:
        self.outage.record_failure(5.0)
        self.assertEqual(self.outage.age_s(5.5), 0.0)
        self.outage.record_answer(5.5)
        self.assertEqual(self.outage.age_s(7.5), 2.0)

    def test_later_responses_do_not_extend_the_outage(self) -> None:
        self.outage.record_failure(5.0)
        self.outage.record_answer(5.5)
        self.outage.record_answer(9.0)
        self.assertEqual(self.outage.age_s(9.5), 4.0)

    def test_late_failure_belongs_to_the_ended_outage(self) -> None:
        """A call sent during the outage times out after its end."""
        self.outage.record_failure(4.0)
        self.outage.record_answer(5.5)
        self.outage.record_failure(5.4)
        self.assertEqual(self.outage.age_s(6.5), 1.0)

    def test_failed_call_sent_after_a_response_is_a_new_outage(self) -> None:
        self.outage.record_failure(4.0)
        self.outage.record_answer(5.5)
        self.outage.record_failure(6.0)
        self.assertEqual(self.outage.age_s(6.2), 0.0)

    def test_cut_of_a_waiting_call_begins_no_outage(self) -> None:
        """Guards against servers kept for a watch that the service cuts."""
        self.outage.record_answer(4.0)
        self.outage.record_cut(5.0)
        self.assertEqual(self.outage.age_s(5.5), math.inf)

    def test_cut_of_a_waiting_call_prolongs_an_outage(self) -> None:
        """Guards against an outage that ends while only watches are sent."""
        self.outage.record_failure(5.0)
        self.outage.record_cut(6.0)
        self.assertEqual(self.outage.age_s(6.5), 0.0)

    def test_outage_expires_without_a_response(self) -> None:
        """A period without calls must not extend the outage."""
        self.outage.record_failure(5.0)
        late_s = 5.0 + outage.OUTAGE_EXPIRY_S + 1.0
        self.assertEqual(self.outage.age_s(late_s), 1.0)
        self.outage.record_answer(late_s)
        self.assertEqual(self.outage.age_s(late_s), 1.0)


if __name__ == "__main__":
    unittest.main()

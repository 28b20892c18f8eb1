"""Tests the prefill queue of an engine that one gateway keeps for all."""

import unittest

from mulberrywharf.policy import prefill_queue

URGENT, NORMAL = 0, 2


class ReadingQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = prefill_queue.PrefillQueue(0.0)

    def add(
        self,
        number: int,
        work_s: float,
        priority: int = NORMAL,
        at_s: float = 0,
    ) -> None:
        self.queue.add((1, number), work_s, priority, at_s)

    def assert_waits(
        self, expected_s: float, priority: int = NORMAL, at_s: float = 0.0
    ) -> None:
        self.assertAlmostEqual(self.queue.wait_s(priority, at_s), expected_s)

    def test_idle_engine_has_no_wait(self) -> None:
        self.assert_waits(0.0)

    def test_prompt_waits_for_earlier_prompts(self) -> None:
        self.add(1, 0.2)
        self.add(2, 0.1)
        self.assert_waits(0.3)
        self.assert_waits(0.25, at_s=0.05)

    def test_urgent_prompt_waits_for_the_running_prefill(
        self,
    ) -> None:
        """Short urgent prompts come 0.1 s later than estimated.

        A running prefill is finished whatever the priority of later prompts;
        only among waiting prompts are urgent ones first.
        """
        self.add(1, 0.2)
        self.add(2, 0.4)
        self.add(3, 0.03, URGENT)
        self.assert_waits(0.23, URGENT)
        self.assert_waits(0.63)
        self.queue.finish((1, 1), 0.2)
        self.assert_waits(0.03, URGENT, at_s=0.2)
        self.queue.finish((1, 3), 0.23)
        self.assert_waits(0.4, URGENT, at_s=0.23)

    def test_too_short_estimate_does_not_empty_the_queue(self) -> None:
        """Gateways send to an engine that prefills at half the estimated speed.

        Three prompts of 0.2 s are placed, and each takes 0.4 s. A queue that
        only drains with time is empty after 0.6 s, when two prompts still have
        to be prefilled.
        """
        for number in (1, 2, 3):
            self.add(number, 0.2)
        self.assert_waits(0.4, at_s=0.4)
        self.queue.finish((1, 1), 0.4)
        self.assert_waits(0.4, at_s=0.4)
        self.queue.finish((1, 2), 0.8)
        self.assert_waits(0.2, at_s=0.8)

    def test_too_long_estimate_is_corrected_by_the_report(self) -> None:
        self.add(1, 0.5)
        self.add(2, 0.5)
        self.queue.finish((1, 1), 0.1)
        self.assert_waits(0.5, at_s=0.1)

    def test_lost_report_is_made_up_for_by_the_next(self) -> None:
        for number in (1, 2, 3):
            self.add(number, 0.2)
        self.queue.finish((1, 2), 0.4)
        self.assert_waits(0.2, at_s=0.4)

    def test_withdrawn_prompt_is_removed(self) -> None:
        self.add(1, 0.2)
        self.add(2, 0.3)
        self.queue.withdraw((1, 1), 0.0)
        self.assert_waits(0.3)
        self.queue.withdraw((1, 2), 0.0)
        self.assert_waits(0.0)
        self.queue.withdraw((1, 9), 0.0)
        self.assert_waits(0.0)

    def test_prompts_of_a_dead_gateway_expire(self) -> None:
        """An engine gets no work although it is idle.

        A gateway places a prompt and is killed, and nobody reports the end of
        the prefill. Without an expiry the prompt would count forever.
        """
        self.add(1, 0.2)
        self.add(2, 0.2)
        self.assert_waits(0.2, at_s=0.4)
        self.assert_waits(0.0, at_s=0.4 + prefill_queue.OVERDUE_S)

    def test_work_and_length_of_a_queue_are_bounded(self) -> None:
        self.add(1, 4000.0)
        self.assert_waits(prefill_queue.MAX_WORK_S)
        for number in range(2, 2 * prefill_queue.MAX_PROMPTS_PER_PRIORITY):
            self.add(number, 0.0)

    def test_known_and_idle_times(self) -> None:
        self.add(1, 0.2, at_s=3.0)
        self.assertEqual(self.queue.counted_s(5.0), 5.0)
        self.assertEqual(self.queue.idle_s(5.0), 2.0)


if __name__ == "__main__":
    unittest.main()

"""The queue of an engine, as the gateway keeps it that all others ask."""

import unittest

from mulberrywharf.policy import reading_queue

URGENT, USUAL = 0, 2


class ReadingQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = reading_queue.ReadingQueue(0.0)

    def add(
        self, number: int, work_s: float, priority: int = USUAL, at_s: float = 0
    ) -> None:
        self.queue.add((1, number), work_s, priority, at_s)

    def assert_waits(
        self, expected_s: float, priority: int = USUAL, at_s: float = 0.0
    ) -> None:
        self.assertAlmostEqual(self.queue.wait_s(priority, at_s), expected_s)

    def test_nothing_waits_at_an_idle_engine(self) -> None:
        self.assert_waits(0.0)

    def test_a_prompt_waits_for_those_before_it(self) -> None:
        self.add(1, 0.2)
        self.add(2, 0.1)
        self.assert_waits(0.3)
        self.assert_waits(0.25, at_s=0.05)

    def test_an_urgent_prompt_waits_for_the_one_that_is_being_read(
        self,
    ) -> None:
        """Short urgent prompts come 0.1 s later than estimated.

        Cause: a prompt that is being read is read to its end, however urgent
        what comes meanwhile; only among those that wait the urgent go first.
        """
        self.add(1, 0.2)
        self.add(2, 0.4)
        self.add(3, 0.03, URGENT)
        self.assert_waits(0.23, URGENT)
        self.assert_waits(0.63)
        self.queue.read((1, 1), 0.2)
        self.assert_waits(0.03, URGENT, at_s=0.2)
        self.queue.read((1, 3), 0.23)
        self.assert_waits(0.4, URGENT, at_s=0.23)

    def test_an_estimate_that_is_too_short_empties_no_queue(self) -> None:
        """Gateways send to an engine that reads twice as long as estimated.

        Sequence: three prompts of 0.2 s are placed, each takes 0.4 s. Cause:
        a queue that drains by the clock alone is empty after 0.6 s, with two
        prompts to read.
        """
        for number in (1, 2, 3):
            self.add(number, 0.2)
        self.assert_waits(0.4, at_s=0.4)
        self.queue.read((1, 1), 0.4)
        self.assert_waits(0.4, at_s=0.4)
        self.queue.read((1, 2), 0.8)
        self.assert_waits(0.2, at_s=0.8)

    def test_an_estimate_that_is_too_long_is_corrected(self) -> None:
        self.add(1, 0.5)
        self.add(2, 0.5)
        self.queue.read((1, 1), 0.1)
        self.assert_waits(0.5, at_s=0.1)

    def test_a_lost_word_is_made_up_for_by_the_next(self) -> None:
        for number in (1, 2, 3):
            self.add(number, 0.2)
        self.queue.read((1, 2), 0.4)
        self.assert_waits(0.2, at_s=0.4)

    def test_a_prompt_that_is_withdrawn_waits_no_longer(self) -> None:
        self.add(1, 0.2)
        self.add(2, 0.3)
        self.queue.withdraw((1, 1), 0.0)
        self.assert_waits(0.3)
        self.queue.withdraw((1, 2), 0.0)
        self.assert_waits(0.0)
        self.queue.withdraw((1, 9), 0.0)
        self.assert_waits(0.0)

    def test_prompts_of_a_gateway_that_is_gone_are_dropped(self) -> None:
        """An engine gets no work although it is idle.

        Sequence: a gateway places a prompt and is killed; nobody tells that
        the prompt was read. Cause: it would count for ever.
        """
        self.add(1, 0.2)
        self.add(2, 0.2)
        self.assert_waits(0.2, at_s=0.4)
        self.assert_waits(0.0, at_s=0.4 + reading_queue.OVERDUE_S)

    def test_no_estimate_closes_an_engine(self) -> None:
        self.add(1, 4000.0)
        self.assert_waits(reading_queue.WORK_LIMIT_S)
        for number in range(2, 2 * reading_queue.PROMPTS_LIMIT_COUNT):
            self.add(number, 0.0)

    def test_it_says_for_how_long_it_counted(self) -> None:
        self.add(1, 0.2, at_s=3.0)
        self.assertEqual(self.queue.known_s(5.0), 5.0)
        self.assertEqual(self.queue.idle_s(5.0), 2.0)


if __name__ == "__main__":
    unittest.main()

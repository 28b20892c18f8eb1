"""Tests how long requests may wait for a server's request limit."""

import unittest

from mulberrywharf.policy import limit_waits


class LongestWaitTest(unittest.TestCase):
    def test_the_answer_can_still_be_in_time(self) -> None:
        self.assertAlmostEqual(limit_waits.longest_wait_s(5.0, 0.25), 0.1)

    def test_time_is_left_for_the_answer_before_the_deadline(self) -> None:
        self.assertAlmostEqual(limit_waits.longest_wait_s(0.2, 0.25), 0.06)
        self.assertAlmostEqual(limit_waits.longest_wait_s(2.0), 0.6)


if __name__ == "__main__":
    unittest.main()

"""Tests of what is known of servers whose records vanish."""

import unittest

from mulberrywharf import fleet
from mulberrywharf.policy import recent_starts

FIRST = fleet.ServerStart("first")
SECOND = fleet.ServerStart("second")


class RecentStartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recent = recent_starts.RecentStarts()
        self.recent.update([FIRST, SECOND], 0.0)

    def test_a_start_is_recent_for_a_while(self) -> None:
        self.assertEqual(self.recent.update([FIRST], 1.0), {FIRST, SECOND})
        end_s = 1.0 + recent_starts.KEPT_S
        self.assertEqual(self.recent.update([FIRST], end_s), {FIRST, SECOND})
        self.assertEqual(self.recent.update([FIRST], end_s + 0.1), {FIRST})

    def test_the_time_begins_anew_if_it_is_listed_again(self) -> None:
        self.recent.update([FIRST], 1.0)
        self.recent.update([FIRST, SECOND], 50.0)
        self.recent.update([FIRST], 60.0)
        self.assertEqual(self.recent.update([FIRST], 110.0), {FIRST, SECOND})


if __name__ == "__main__":
    unittest.main()

"""Tests how ranks share the priority levels of engines."""

import unittest

import hypothesis
from hypothesis import strategies

from mulberrywharf.policy import priority_levels


class AssignTest(unittest.TestCase):
    def assert_levels(self, ranks: list[int], levels: list[int]) -> None:
        found = priority_levels.assign(ranks)
        self.assertEqual([found[rank] for rank in ranks], levels)

    def test_ranks_that_are_levels_keep_their_number(self) -> None:
        self.assert_levels([0, 2, 5, 9], [0, 2, 5, 9])
        self.assert_levels(list(range(10)), list(range(10)))
        self.assert_levels([], [])

    def test_higher_ranks_stay_in_order(self) -> None:
        """Guards against ranks above 9 that overtake each other."""
        self.assert_levels([3, 10], [3, 9])
        self.assert_levels([1, 9, 10, 400], [1, 7, 8, 9])
        self.assert_levels([10, 11, 12], [7, 8, 9])

    def test_least_urgent_of_many_ranks_share_a_level(self) -> None:
        ranks = list(range(0, 130, 10))
        self.assert_levels(ranks, [*range(9), 9, 9, 9, 9])

    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 30), min_size=1, max_size=14)
    )
    def test_any_ranks_keep_their_order(self, ranks: list[int]) -> None:
        found = priority_levels.assign(ranks)
        in_order = [found[rank] for rank in sorted(set(ranks))]
        self.assertEqual(in_order, sorted(in_order))
        self.assertTrue(all(0 <= level <= 9 for level in in_order))
        if len(in_order) <= 10:
            self.assertEqual(len(set(in_order)), len(in_order))


if __name__ == "__main__":
    unittest.main()

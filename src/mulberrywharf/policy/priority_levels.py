"""Maps the ranks of operators' routes and customers to priority levels.

Operators may state any rank. Engines accept ten levels, so higher ranks have to
share them without overtaking each other.
"""

from collections.abc import Iterable, Mapping

LOWEST_LEVEL = 9
"""Levels range from 0 (served first) to this value."""


def assign(ranks: Iterable[int]) -> Mapping[int, int]:
    """Returns the level of each rank.

    A rank keeps its own number if it can. Ranks above the lowest level take the
    last levels, and the ranks before them move up as far as needed to stay
    before them. Beyond ten distinct ranks, the least urgent share a level.

    Args:
        ranks: All ranks in use, 0 or more each; 0 is served first.
    """
    distinct = sorted(set(ranks))
    last = len(distinct) - 1
    return {
        rank: min(
            LOWEST_LEVEL, max(index, min(rank, LOWEST_LEVEL - last + index))
        )
        for index, rank in enumerate(distinct)
    }

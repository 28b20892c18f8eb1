"""Starts of servers that are over, so that late news is known as such."""

import collections

from mulberrywharf import fleet

ENDED_STARTS_COUNT = 4
"""Earlier starts of a server that are remembered. News of one is late by some
seconds, in which a server starts again once or twice."""


class EndedStarts:
    """Remembers which starts of a server another one has followed.

    Starts have no order by themselves, as the clocks that they are told by may
    be stepped back: only that one was followed by another tells which is older.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, collections.deque[fleet.ServerStart]] = {}

    def note(self, start: fleet.ServerStart) -> None:
        """Notes that a start is over."""
        ended = self._by_id.setdefault(
            start.server_id, collections.deque(maxlen=ENDED_STARTS_COUNT)
        )
        ended.append(start)

    def has(self, start: fleet.ServerStart) -> bool:
        """Tells whether a start is known to be over."""
        return start in self._by_id.get(start.server_id, ())

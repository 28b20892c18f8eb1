"""Remembers ended starts of servers, to detect late messages from them."""

import collections

from mulberrywharf import fleet

ENDED_STARTS_COUNT = 4
"""Ended starts that are remembered of each server. Messages from an ended start
are late by a few seconds, in which a server restarts once or twice."""


class EndedStarts:
    """Remembers the starts of each server that a later start replaced.

    Start times don't order the starts, because a server's clock may be stepped
    back. A start is known to be older only because another one replaced it.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, collections.deque[fleet.ServerStart]] = {}

    def note(self, start: fleet.ServerStart) -> None:
        """Records that a start has ended."""
        ended = self._by_id.setdefault(
            start.server_id, collections.deque(maxlen=ENDED_STARTS_COUNT)
        )
        ended.append(start)

    def has(self, start: fleet.ServerStart) -> bool:
        """Tells whether a start is known to have ended."""
        return start in self._by_id.get(start.server_id, ())

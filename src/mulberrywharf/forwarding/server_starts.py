"""Remembers ended server processes, to detect late messages from them.

A ``ServerStart`` identifies one run of a server's process.
"""

import collections

from mulberrywharf import fleet

ENDED_STARTS_COUNT = 4
"""Number of ended processes that are remembered for each server. Messages from
an ended process are late by a few seconds, in which a server restarts once or
twice."""


class EndedStarts:
    """Remembers the processes of each server that a later one replaced.

    Start times don't order the processes, because a server's clock may be
    stepped back. A process is known to be older only because another one
    replaced it.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, collections.deque[fleet.ServerStart]] = {}

    def note(self, start: fleet.ServerStart) -> None:
        """Records that a server process has ended."""
        ended = self._by_id.setdefault(
            start.server_id, collections.deque(maxlen=ENDED_STARTS_COUNT)
        )
        ended.append(start)

    def has(self, start: fleet.ServerStart) -> bool:
        """Tells whether a server process is known to have ended."""
        return start in self._by_id.get(start.server_id, ())

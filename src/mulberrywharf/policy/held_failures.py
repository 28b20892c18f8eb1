"""Tells failures of a server from those of a gateway's path to it.

A connection that breaks off may be the server's failure or the network's. The
failure is the server's if the gateway reaches it soon afterwards; until then it
is held back. Otherwise a gateway that has lost its path would report failures
of all servers that it had connections to.
"""

import collections
from collections.abc import Iterable

from mulberrywharf import fleet

HELD_S = 1.0
"""How long a failure is held. A server that fails some of its requests answers
others, or accepts a connection, within this time."""

HELD_LIMIT_COUNT = 100
"""Maximum number of failures held for one server."""


class HeldFailures:
    """Failures of which it is not known yet who caused them."""

    def __init__(self) -> None:
        self._held_s: dict[fleet.ServerStart, collections.deque[float]] = {}

    def note(self, start: fleet.ServerStart, now_s: float) -> None:
        """Holds a failure."""
        held_s = self._held_s.setdefault(
            start, collections.deque(maxlen=HELD_LIMIT_COUNT)
        )
        held_s.append(now_s)

    def take(self, start: fleet.ServerStart, now_s: float) -> int:
        """Takes the failures of a server that was just reached.

        Returns:
            How many of them were the server's.
        """
        held_s = self._held_s.pop(start, None)
        if held_s is None:
            return 0
        return sum(now_s - at_s <= HELD_S for at_s in held_s)

    def keep_only(self, starts: Iterable[fleet.ServerStart]) -> None:
        """Drops the failures of servers that have ended."""
        kept = frozenset(starts)
        self._held_s = {
            start: held_s
            for start, held_s in self._held_s.items()
            if start in kept
        }

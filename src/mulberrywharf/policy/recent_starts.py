"""Remembers the servers that were listed until a moment ago.

The record of a running server may be gone or unreadable for a while, for
example because another program wrote it. What its answers have stated must
still hold once it is listed again.
"""

from collections.abc import Iterable

from mulberrywharf import fleet

KEPT_S = 60.0
"""How long a server counts as recent after it was listed last."""


class RecentStarts:
    """The starts of servers that are listed or were so recently."""

    def __init__(self) -> None:
        self._listed: frozenset[fleet.ServerStart] = frozenset()
        self._vanished_s: dict[fleet.ServerStart, float] = {}

    def update(
        self, listed: Iterable[fleet.ServerStart], now_s: float
    ) -> frozenset[fleet.ServerStart]:
        """Sets the listed starts; returns these and the recent ones."""
        before, self._listed = self._listed, frozenset(listed)
        for start in before - self._listed:
            self._vanished_s[start] = now_s
        self._vanished_s = {
            start: vanished_s
            for start, vanished_s in self._vanished_s.items()
            if start not in self._listed and now_s - vanished_s <= KEPT_S
        }
        return self._listed | self._vanished_s.keys()

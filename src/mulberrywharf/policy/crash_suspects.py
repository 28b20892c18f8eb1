"""Which requests are suspected of ending the servers that run them.

A request may end each server that runs it, such as a prompt that an engine
can't take. Repeated by its caller, it takes one server after the other away
from everybody else. From outside it looks like any request that happened to be
there: all that a server was working on breaks off together.

What tells it apart is that it is there each time. A request that ever ended
whole is none. One without any output is more likely the cause than one whose
answer was under way.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

ENDS_LIMIT_COUNT = 3
"""Servers that may end under a request before it is blocked, whatever else
they were working on."""

SURE_ENDS_COUNT = 2
"""The same for a request that had no output at either and is the only one that
was at both."""

KEPT_S = 600.0
"""A request is suspected for so long behind the last end: a new version of its
service may take it."""

COMPLETED_KEPT_S = 10.0
"""A request that ended whole is not suspected for so long. Without it, one
that many callers send would be blocked when all servers of a service end
together."""

RECENT_END_S = 8.0
"""How long after a server ended without output the request it was running is
not sent to the last server of a kind. Servers usually restart within
seconds."""

SUSPECTS_LIMIT_COUNT = 1_024
COMPLETED_LIMIT_COUNT = 2_048
_ENDS_PER_REQUEST_LIMIT_COUNT = 4


class End(NamedTuple):
    """The end of a server under a request.

    Attributes:
        server_key: Names the start of the server that ended.
        made_output: Whether any of the answer had come.
        at_s: Monotonic instant of it.
    """

    server_key: int
    made_output: bool
    at_s: float


class CrashSuspects:
    """Remembers under which requests servers ended.

    Requests are named by their fingerprints. What is noted twice counts once,
    and the order does not matter, so gateways that tell each other what they
    saw come to the same verdict.
    """

    def __init__(self) -> None:
        self._ends: collections.OrderedDict[int, dict[int, End]] = (
            collections.OrderedDict()
        )
        self._completed_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def note_end(self, fingerprint: int, end: End) -> bool:
        """Takes in that a server ended under a request.

        Returns:
            Whether that was not known before.
        """
        self._drop_expired(end.at_s)
        if fingerprint in self._completed_s:
            return False
        ends = self._ends.setdefault(fingerprint, {})
        known = ends.get(end.server_key)
        if known is not None and (known.made_output or not end.made_output):
            return False
        ends[end.server_key] = end
        while len(ends) > _ENDS_PER_REQUEST_LIMIT_COUNT:
            del ends[next(iter(ends))]
        self._ends.move_to_end(fingerprint)
        if len(self._ends) > SUSPECTS_LIMIT_COUNT:
            self._ends.popitem(last=False)
        return True

    def note_whole(self, fingerprint: int, now_s: float) -> bool:
        """Takes in that a request ended whole, which clears it.

        Returns:
            Whether it was suspected.
        """
        self._completed_s[fingerprint] = now_s
        self._completed_s.move_to_end(fingerprint)
        if len(self._completed_s) > COMPLETED_LIMIT_COUNT:
            self._completed_s.popitem(last=False)
        return self._ends.pop(fingerprint, None) is not None

    def ends(self, fingerprint: int, now_s: float) -> tuple[End, ...]:
        """Returns the ends of servers under a request, the first one first."""
        self._drop_expired(now_s)
        return tuple(self._ends.get(fingerprint, {}).values())

    def has_end(self, fingerprint: int, server_key: int) -> bool:
        """Tells whether the end of a server under a request is known."""
        return server_key in self._ends.get(fingerprint, {})

    def is_recent_suspect(self, fingerprint: int, now_s: float) -> bool:
        """Tells whether a server ended under a request without any output.

        Ends that are ``RECENT_END_S`` old or older do not count.
        """
        return any(
            not end.made_output and now_s - end.at_s < RECENT_END_S
            for end in self.ends(fingerprint, now_s)
        )

    def ended_servers(self) -> frozenset[int]:
        """Returns the keys of servers that ended under suspected requests."""
        return frozenset(
            server_key for ends in self._ends.values() for server_key in ends
        )

    def is_blocked(self, fingerprint: int, now_s: float) -> bool:
        """Tells whether a request must not be sent to any server."""
        ends = self.ends(fingerprint, now_s)
        if len(ends) >= ENDS_LIMIT_COUNT:
            return True
        bare = _ended_without_output(ends)
        return len(bare) >= SURE_ENDS_COUNT and self._is_only_common_request(
            fingerprint, bare
        )

    def blocked_for_s(self, fingerprint: int, now_s: float) -> float:
        """Returns for how long a blocked request stays blocked."""
        ends = self.ends(fingerprint, now_s)
        last_s = max((end.at_s for end in ends), default=now_s - KEPT_S)
        return last_s + KEPT_S - now_s

    def blocked(self, now_s: float) -> list[int]:
        """Returns the fingerprints of all blocked requests."""
        self._drop_expired(now_s)
        return [one for one in self._ends if self.is_blocked(one, now_s)]

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._ends

    def _is_only_common_request(
        self, fingerprint: int, server_keys: frozenset[int]
    ) -> bool:
        return not any(
            len(_ended_without_output(ends.values()) & server_keys)
            >= SURE_ENDS_COUNT
            for other, ends in self._ends.items()
            if other != fingerprint
        )

    def _drop_expired(self, now_s: float) -> None:
        """Drops what is too old; both tables are about in order of time."""
        while self._ends:
            oldest = next(iter(self._ends))
            last_s = max(end.at_s for end in self._ends[oldest].values())
            if now_s - last_s < KEPT_S:
                break
            del self._ends[oldest]
        while self._completed_s:
            oldest = next(iter(self._completed_s))
            if now_s - self._completed_s[oldest] < COMPLETED_KEPT_S:
                break
            del self._completed_s[oldest]


def _ended_without_output(ends: Iterable[End]) -> frozenset[int]:
    """Returns the servers that ended before they made any output."""
    return frozenset(end.server_key for end in ends if not end.made_output)

"""Tracks which requests are suspected of crashing the servers that run them.

A request may crash every server that runs it, such as a prompt that an engine
cannot process. If its caller repeats it, one server after another becomes
unavailable to all other requests. A single crash does not show which request
caused it, because all requests in progress on the server fail together.
Gateways see a crash as the end of the server's process.

The cause is identified by being in progress at every crash. A request that
completed is not the cause. A request without any output is a more likely cause
than one that was already producing its answer.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

BLOCK_ENDS_COUNT = 3
"""A request is blocked once this many servers ended while they ran it, whatever
else they were running."""

BLOCK_ENDS_WITHOUT_OUTPUT_COUNT = 2
"""A request is also blocked once this many servers ended before it had produced
any output on them, if they have no other such request in common."""

SUSPECT_KEPT_S = 600.0
"""A request stays suspected for this long after the last server ended that ran
it. The suspicion expires because a new version of the service may be able to
run the request."""

COMPLETED_KEPT_S = 10.0
"""Time after its completion for which a request is not suspected. Without this,
a request that many callers send would be blocked when all servers of a service
end together."""

RECENT_END_S = 8.0
"""For this long after a server ended before any output of a request, the
request is not sent to the only server left that could run it. Servers usually
restart within seconds."""

SUSPECTS_LIMIT_COUNT = 1_024
COMPLETED_LIMIT_COUNT = 2_048
_ENDS_PER_REQUEST_LIMIT_COUNT = 4


class ServerEnd(NamedTuple):
    """The end of a server while it ran a request.

    Attributes:
        server_key: Identifies the run of the server's process that ended (a
            hash of its ``fleet.ServerStart``).
        made_output: Whether any part of the answer had arrived.
        at_s: Monotonic time of the end.
    """

    server_key: int
    made_output: bool
    at_s: float


class CrashSuspects:
    """Records which requests were running when servers ended.

    Requests are identified by their fingerprints. Recording is idempotent and
    independent of the order, so gateways that exchange their observations
    block the same requests.
    """

    def __init__(self) -> None:
        self._ends: collections.OrderedDict[int, dict[int, ServerEnd]] = (
            collections.OrderedDict()
        )
        self._completed_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record_server_end(self, fingerprint: int, end: ServerEnd) -> bool:
        """Records that a server ended while it ran a request.

        Returns:
            Whether this is new information; False also for a request that
            completed recently.
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

    def record_completed(self, fingerprint: int, now_s: float) -> bool:
        """Records that a request completed, which clears the suspicion.

        Returns:
            Whether the request was suspected.
        """
        self._completed_s[fingerprint] = now_s
        self._completed_s.move_to_end(fingerprint)
        if len(self._completed_s) > COMPLETED_LIMIT_COUNT:
            self._completed_s.popitem(last=False)
        return self._ends.pop(fingerprint, None) is not None

    def ends(self, fingerprint: int, now_s: float) -> tuple[ServerEnd, ...]:
        """Returns the server ends of a request, in the order first recorded."""
        self._drop_expired(now_s)
        return tuple(self._ends.get(fingerprint, {}).values())

    def has_server_end(self, fingerprint: int, server_key: int) -> bool:
        """Returns whether the end of a server is recorded for a request."""
        return server_key in self._ends.get(fingerprint, {})

    def is_recent_suspect(self, fingerprint: int, now_s: float) -> bool:
        """Returns whether a server recently ended before the request's output.

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
        """Returns whether a request must not be sent to any server."""
        ends = self.ends(fingerprint, now_s)
        if len(ends) >= BLOCK_ENDS_COUNT:
            return True
        server_keys = _ended_without_output(ends)
        return len(
            server_keys
        ) >= BLOCK_ENDS_WITHOUT_OUTPUT_COUNT and self._is_sole_suspect(
            fingerprint, server_keys
        )

    def blocked_for_s(self, fingerprint: int, now_s: float) -> float:
        """Returns the remaining time for which a request stays blocked."""
        ends = self.ends(fingerprint, now_s)
        last_s = max((end.at_s for end in ends), default=now_s - SUSPECT_KEPT_S)
        return last_s + SUSPECT_KEPT_S - now_s

    def blocked(self, now_s: float) -> list[int]:
        """Returns the fingerprints of all blocked requests."""
        self._drop_expired(now_s)
        return [
            fingerprint
            for fingerprint in self._ends
            if self.is_blocked(fingerprint, now_s)
        ]

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._ends

    def _is_sole_suspect(
        self, fingerprint: int, server_keys: frozenset[int]
    ) -> bool:
        """Returns whether no other request is as suspect on these servers."""
        return not any(
            len(_ended_without_output(ends.values()) & server_keys)
            >= BLOCK_ENDS_WITHOUT_OUTPUT_COUNT
            for other, ends in self._ends.items()
            if other != fingerprint
        )

    def _drop_expired(self, now_s: float) -> None:
        """Drops expired entries; both tables are roughly ordered by time."""
        while self._ends:
            oldest = next(iter(self._ends))
            last_s = max(end.at_s for end in self._ends[oldest].values())
            if now_s - last_s < SUSPECT_KEPT_S:
                break
            del self._ends[oldest]
        while self._completed_s:
            oldest = next(iter(self._completed_s))
            if now_s - self._completed_s[oldest] < COMPLETED_KEPT_S:
                break
            del self._completed_s[oldest]


def _ended_without_output(ends: Iterable[ServerEnd]) -> frozenset[int]:
    """Returns the keys of servers that ended before any output."""
    return frozenset(end.server_key for end in ends if not end.made_output)

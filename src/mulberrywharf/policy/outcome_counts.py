"""Counts the recent answers and failures of each server at one gateway."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

WINDOW_S = 4.0
"""How long an outcome counts. A gateway of a large fleet sends an engine one
request in several seconds, and the callers of a failing engine give up within
three to five seconds."""

RECENT_S = 1.0
"""How long an outcome counts as recent. A server that began to fail a moment
ago has answered many requests well within ``WINDOW_S``."""

_BUCKET_S = 0.25

FAILING_COUNT = 3
FAILING_SHARE = 0.5
"""A server with this many failures and this share of them is left out of those
that another server is compared with. When two servers fail at the same time,
each of them would otherwise look no worse than the others, because failing
servers answer most requests."""

LEFT_OUT_SHARE = 0.25
"""Largest share of the other servers that is left out. If more of them fail,
the cause is probably not in the servers."""


class Outcomes(NamedTuple):
    """Answers of a server or of several servers.

    Attributes:
        answers_count: All answers, failures included.
        failures_count: Answers that were faults of a server.
    """

    answers_count: int = 0
    failures_count: int = 0

    @property
    def share(self) -> float:
        """Share of failures, 0 without any answer."""
        return self.failures_count / max(1, self.answers_count)

    def plus(self, other: "Outcomes") -> "Outcomes":
        """Returns the sum of both."""
        return Outcomes(
            self.answers_count + other.answers_count,
            self.failures_count + other.failures_count,
        )

    def minus(self, other: "Outcomes") -> "Outcomes":
        """Returns the difference of both."""
        return Outcomes(
            self.answers_count - other.answers_count,
            self.failures_count - other.failures_count,
        )


class Compared(NamedTuple):
    """The outcomes of a server, and of the others of its service and role."""

    own: Outcomes = Outcomes()
    others: Outcomes = Outcomes()

    def plus(self, other: "Compared") -> "Compared":
        """Returns the sum of both."""
        return Compared(
            self.own.plus(other.own), self.others.plus(other.others)
        )

    def minus(self, other: "Compared") -> "Compared":
        """Returns the difference of both."""
        return Compared(
            self.own.minus(other.own), self.others.minus(other.others)
        )


class Windows(NamedTuple):
    """The outcomes of a server over two windows.

    Attributes:
        recent: Over the last ``RECENT_S``.
        whole: Over the last ``WINDOW_S``.
    """

    recent: Compared = Compared()
    whole: Compared = Compared()


class OutcomeCounts:
    """Outcomes of all servers over a sliding window."""

    def __init__(self) -> None:
        self._buckets: dict[
            fleet.ServerStart, collections.deque[tuple[int, Outcomes]]
        ] = {}

    def note(
        self, start: fleet.ServerStart, now_s: float, *, is_failure: bool
    ) -> None:
        """Counts one answer."""
        buckets = self._buckets.setdefault(start, collections.deque())
        index = int(now_s // _BUCKET_S)
        counted = Outcomes(1, int(is_failure))
        if buckets and buckets[-1][0] == index:
            counted = counted.plus(buckets.pop()[1])
        buckets.append((index, counted))
        while _ended_s(buckets[0]) <= now_s - WINDOW_S:
            buckets.popleft()

    def forget(self, start: fleet.ServerStart) -> None:
        """Forgets the outcomes of a server."""
        self._buckets.pop(start, None)

    def keep_only(self, starts: frozenset[fleet.ServerStart]) -> None:
        """Forgets the outcomes of all servers except the given ones."""
        self._buckets = {
            start: buckets
            for start, buckets in self._buckets.items()
            if start in starts
        }

    def windows(
        self,
        start: fleet.ServerStart,
        group: Sequence[fleet.ServerStart],
        now_s: float,
    ) -> Windows:
        """Returns the outcomes of a server and of the others of its group.

        Args:
            start: The server.
            group: The servers of its service and role.
            now_s: The current time.
        """
        return Windows(
            self._compared(start, group, now_s - RECENT_S),
            self._compared(start, group, now_s - WINDOW_S),
        )

    def _since(self, start: fleet.ServerStart, since_s: float) -> Outcomes:
        found = Outcomes()
        for bucket in self._buckets.get(start, ()):
            if _ended_s(bucket) > since_s:
                found = found.plus(bucket[1])
        return found

    def _compared(
        self,
        start: fleet.ServerStart,
        group: Sequence[fleet.ServerStart],
        since_s: float,
    ) -> Compared:
        others = sorted(
            (self._since(other, since_s) for other in group if other != start),
            key=lambda counted: counted.failures_count,
            reverse=True,
        )
        most_left_out_count = int(LEFT_OUT_SHARE * len(others))
        kept = Outcomes()
        for index, counted in enumerate(others):
            is_failing = (
                counted.failures_count >= FAILING_COUNT
                and counted.share >= FAILING_SHARE
            )
            if not (is_failing and index < most_left_out_count):
                kept = kept.plus(counted)
        return Compared(self._since(start, since_s), kept)


def _ended_s(bucket: tuple[int, Outcomes]) -> float:
    return (bucket[0] + 1) * _BUCKET_S

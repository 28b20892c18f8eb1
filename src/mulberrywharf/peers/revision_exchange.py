"""Exchanges the latest key-value service revisions between gateways.

The key-value service may silently drop a waiting watch, or answer it without a
change. A gateway that has seen a change therefore notifies its peers, which
reopen a watch that has not reported it. This saves them up to 1.5 s, the time
in which each gateway finds the change by itself: correctness depends on no
notice, see ``routes.freshness`` and ``platform_service.watch_audit``.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
from loguru import logger

from mulberrywharf import metrics
from mulberrywharf.peers import notice_codec

REOPEN_DELAY_S = 0.3
"""Delay from a peer's notice of a change until a watch that has not delivered
it is reopened. A working watch starts to deliver a change within a few ms of
the peers' watches. A watch that is still receiving changes is not
interrupted."""

MIN_REOPEN_INTERVAL_S = 2.0
"""Minimum time between two reopenings of a watch because of a peer's notice. It
leaves a new call time to be answered: on a saturated 5 Mbit/s link, the answer
may start late."""

NOTICE_DELAY_RANGE_S = (0.05, 0.25)
"""Range of the random delay after which a gateway notifies its peers of a
change, unless enough others have done so by then."""

SUFFICIENT_NOTICES_COUNT = 2
"""Number of notices of a change, sent by peers, that make this gateway's own
unnecessary. It tolerates the loss of one datagram."""


_SMALL_MATTERS = frozenset({"routes_revision"})
"""Matters that are read again on suspicion. The records of 850 servers take
three calls: while the key-value service is slow, the watches of 340 gateways
are late without having lost anything."""

_read_again = metrics.counter(
    "mulberry_watches_read_again_total",
    "Readings of all keys because peers know of a change that the watch did"
    " not bring, by matter.",
)


class WatchState(Protocol):
    """State of a watch, and a way to reopen it."""

    @property
    def changed_revision(self) -> int:
        """Revision of the latest change that the watch delivered."""
        ...

    @property
    def seen_revision(self) -> int:
        """Revision up to which the watch delivered every change."""
        ...

    @property
    def proven_revision(self) -> int:
        """Revision up to which changes were reported or all keys were read."""
        ...

    def reopen_if_waiting(self) -> None:
        """Reopens the watch if it waits for a change."""
        ...

    def read_again_if_waiting(self) -> None:
        """Reads all keys again if the watch waits for a change."""
        ...


class Notices(Protocol):
    """Exchanges notices with other gateways."""

    def set_seen_callbacks(
        self,
        seen: Callable[[], notice_codec.SeenRevisions],
        on_seen: Callable[[notice_codec.SeenRevisions], None],
    ) -> None:
        """Sets the callbacks for what is sent and what is received."""
        ...

    def send_now(self) -> None:
        """Sends a notice."""
        ...


class RevisionExchange:
    """Compares this gateway's watches with the revisions that peers have seen.

    A watch that stays behind is reopened. If the service named it a revision
    without the change up to there, all its keys are read again; those of the
    routes also if reopening the watch brought nothing.
    """

    def __init__(
        self,
        notices: Notices,
        watches: Callable[[], Mapping[str, WatchState]],
        era: Callable[[], int] = lambda: 0,
    ):
        """Creates it and registers its callbacks with the notices.

        Args:
            notices: Exchanges notices with other gateways.
            watches: Returns the watches, keyed by the
                ``notice_codec.SeenRevisions`` field that holds their revision.
            era: Returns the newest era of the key-value service that was seen.
        """
        self._notices = notices
        self._watches = watches
        self._era = era
        self._notice_counts: dict[tuple[str, int, int], int] = {}
        self._pending: set[str] = set()
        self._reopened_at_s: dict[str, float] = {}
        self._reopened_for: dict[str, tuple[int, int]] = {}
        notices.set_seen_callbacks(self.seen, self.on_seen)

    def seen(self) -> notice_codec.SeenRevisions:
        """Returns the latest changes that this gateway has seen."""
        watches = self._watches()
        return notice_codec.SeenRevisions(
            **{name: watches[name].changed_revision for name in watches},
            era=self._era(),
        )

    def on_seen(self, seen: notice_codec.SeenRevisions) -> None:
        """Processes the latest changes that a peer has seen.

        Revisions of different eras are not comparable. A peer in an older era
        has not yet noticed that the key-value service was restored from an
        older copy. A peer in a newer era does not prove a restore; only an
        answer of the service proves it, so the watches are reopened.
        """
        if seen.era < self._era():
            return
        for name, watch_state in self._watches().items():
            revision = getattr(seen, name)
            if seen.era > self._era():
                self._reopen(name, watch_state, revision, seen.era)
                continue
            if revision >= watch_state.changed_revision:
                key = (name, seen.era, revision)
                self._notice_counts[key] = self._notice_counts.get(key, 0) + 1
            if revision > watch_state.proven_revision:
                self._schedule_reopening(
                    REOPEN_DELAY_S, name, revision, seen.era
                )

    def on_change(self) -> None:
        """Notifies peers of a change unless enough others do so first."""
        gevent.spawn_later(
            random.uniform(*NOTICE_DELAY_RANGE_S), self._send_if_needed
        )

    def _schedule_reopening(
        self, delay_s: float, name: str, revision: int, era: int
    ) -> None:
        if name not in self._pending:
            self._pending.add(name)
            gevent.spawn_later(
                delay_s, self._reopen_if_behind, name, revision, era
            )

    def _reopen_if_behind(self, name: str, revision: int, era: int) -> None:
        self._pending.discard(name)
        watch_state = self._watches().get(name)
        if watch_state is None or era < self._era():
            return
        if era > self._era() or revision > watch_state.proven_revision:
            self._reopen(name, watch_state, revision, era)

    def _reopen(
        self, name: str, watch_state: WatchState, revision: int, era: int
    ) -> None:
        now_s = time.monotonic()
        last_s = self._reopened_at_s.get(name, float("-inf"))
        left_s = last_s + MIN_REOPEN_INTERVAL_S - now_s
        if left_s > 0:
            self._schedule_reopening(left_s, name, revision, era)
            return
        self._reopened_at_s[name] = now_s
        reads_again = era == self._era() and (
            watch_state.seen_revision >= revision
            or self._was_reopened_in_vain(name, watch_state)
        )
        self._reopened_for[name] = (era, revision)
        logger.bind(
            matter=name,
            heard=revision,
            heard_era=era,
            seen=watch_state.seen_revision,
            proven=watch_state.proven_revision,
            seen_era=self._era(),
            reads_again=reads_again,
        ).warning("peers know of a change that the watch did not bring")
        if reads_again:
            _read_again.inc({"matter": name})
            watch_state.read_again_if_waiting()
        else:
            watch_state.reopen_if_waiting()

    def _was_reopened_in_vain(self, name: str, watch_state: WatchState) -> bool:
        era, revision = self._reopened_for.get(name, (0, 0))
        return (
            name in _SMALL_MATTERS
            and era == self._era()
            and revision > watch_state.proven_revision
        )

    def _send_if_needed(self) -> None:
        current = self._watches()
        if any(
            self._notice_counts.get(
                (name, self._era(), watch_state.changed_revision), 0
            )
            < SUFFICIENT_NOTICES_COUNT
            for name, watch_state in current.items()
        ):
            self._notices.send_now()
        self._notice_counts = {
            (name, era, revision): count
            for (name, era, revision), count in self._notice_counts.items()
            if name in current
            and era == self._era()
            and revision >= current[name].changed_revision
        }

"""Exchanges the latest key-value service revisions between gateways.

The key-value service may silently drop a waiting watch, which then delivers no
change until it is reopened. If each gateway reopens its two watches every two
seconds, this takes three quarters of what a fleet pays for calls. Therefore
only a few gateways, the readers, reopen theirs that often. They send the others
the revisions that they have seen, and heartbeats that they are still reading.
The other gateways let their watches wait as long as the service allows. A
reader's notice shows them that a watch was dropped, and they reopen it at once.

Correctness never depends on a reader. A gateway that hears from no active
reader, because the readers have stopped, hang, are partitioned or are rejected
by the service, reads as often as a reader until it hears from one again.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
from loguru import logger

from mulberrywharf import metrics, supervised_task
from mulberrywharf.peers import notice_codec
from mulberrywharf.platform_service import watch

LONG_TIMEOUTS = watch.SHORT_TIMEOUTS._replace(silence_timeout_s=30.0)
"""Used while a gateway hears from a reader. Calls wait as long as the service
allows. The pause after a failure stays short, because a gateway that the
service rejects also loses its key, so its peers no longer notify it."""

READING_AGE_S = 3.0
"""A gateway is reading if both of its watches were answered within this time.
They are reopened every 2 s, and an answer takes up to 0.4 s even if the service
is slow."""

HEARTBEAT_INTERVAL_S = 1.5
"""Interval at which a reader notifies its peers that it is reading, unless
another notice has done so. With 40 peers and about 70 bytes each, this takes
1,900 of the 2,000 bytes/s that a gateway may send."""

READER_TIMEOUT_S = 4.0
"""Time after its last notice for which a reader is assumed to be active. With
two readers, one lost datagram has no effect. If both have stopped, a change
that a watch missed arrives when the watch is reopened, at most half a second
after this time."""

CHECK_INTERVAL_S = 0.5
"""Interval between checks whether a reader is active and a heartbeat is due."""

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

_waiting_long_gauge = metrics.gauge(
    "mulberry_watches_waiting_long",
    "1 while watches use long timeouts because a reader is active, else 0.",
)


_read_again = metrics.counter(
    "mulberry_watches_read_again_total",
    "Readings of all keys because peers know of a change that the watch did"
    " not bring, by matter.",
)


class WatchState(Protocol):
    """State of a watch, and a way to reopen it."""

    @property
    def age_s(self) -> float:
        """Seconds since the key-value service last answered the watch."""
        ...

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

    @property
    def last_sent_s(self) -> float:
        """Monotonic time of the last notice to the own zone, in seconds."""
        ...

    @property
    def is_registered(self) -> bool:
        """Whether this gateway's registration is visible to the others."""
        ...

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the key-value service for others."""
        ...

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
        self._reader_heard_at_s = float("-inf")
        self._waits_long = False
        self._began_s = time.monotonic()
        self._task: gevent.Greenlet | None = None
        notices.set_seen_callbacks(self.seen, self.on_seen)

    def start(self) -> None:
        """Starts the task that checks the readers and sends heartbeats."""
        self._task = supervised_task.spawn("revision-exchange", self._run)

    def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.kill()

    @property
    def relies_on_reader(self) -> bool:
        """Whether a reader is active, or is still awaited after the start."""
        is_new = time.monotonic() - self._began_s < READER_TIMEOUT_S
        return self._waits_long or (is_new and not self._notices.is_reader)

    def watch_timeouts(self) -> watch.WatchTimeouts:
        """Returns how long the watches may currently wait."""
        return LONG_TIMEOUTS if self._waits_long else watch.SHORT_TIMEOUTS

    def routes_watch_timeouts(self) -> watch.WatchTimeouts:
        """Returns how long the watch of the routes may currently wait.

        Operators are promised that changed routes are in force within 3 s after
        the key-value service drops its watches, see
        ``watch.SHORT_SILENCE_TIMEOUT_S``, also on gateways that learn of the
        change from a reader. A gateway that does not wait long therefore
        reopens this watch sooner than its others.
        """
        return LONG_TIMEOUTS if self._waits_long else watch.SHORTEST_TIMEOUTS

    def seen(self) -> notice_codec.SeenRevisions:
        """Returns the latest changes that this gateway has seen."""
        watches = self._watches()
        return notice_codec.SeenRevisions(
            **{name: watches[name].changed_revision for name in watches},
            is_reading=self._is_reading(watches),
            era=self._era(),
        )

    def _is_reading(self, watches: Mapping[str, WatchState]) -> bool:
        # A gateway that relies on a reader may just have received an answer,
        # but its next one may take long, so others must not rely on it.
        ages_s = [watch_state.age_s for watch_state in watches.values()]
        is_fresh = bool(ages_s) and max(ages_s) <= READING_AGE_S
        return is_fresh and not self._waits_long

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self._check_readers()

    def _check_readers(self) -> None:
        """Updates whether watches wait long; sends a due heartbeat."""
        now_s = time.monotonic()
        is_reader = self._notices.is_reader
        waits_long = (
            self._notices.is_registered
            and not is_reader
            and now_s - self._reader_heard_at_s <= READER_TIMEOUT_S
        )
        if waits_long != self._waits_long:
            self._set_waits_long(waits_long)
        is_due = now_s - self._notices.last_sent_s >= HEARTBEAT_INTERVAL_S
        if is_due and is_reader and self.seen().is_reading:
            self._notices.send_now()

    def _set_waits_long(self, waits_long: bool) -> None:
        self._waits_long = waits_long
        _waiting_long_gauge.set({}, int(waits_long))
        logger.bind(
            waits_long=waits_long,
            is_reader=self._notices.is_reader,
            heard_age_s=round(time.monotonic() - self._reader_heard_at_s, 3),
        ).info("watches wait long" if waits_long else "watches wait briefly")
        if waits_long:
            return
        # The calls may still wait for up to half a minute, and the service may
        # have silently dropped the watches in the meantime.
        for watch_state in self._watches().values():
            watch_state.reopen_if_waiting()

    def on_seen(self, seen: notice_codec.SeenRevisions) -> None:
        """Processes the latest changes that a peer has seen.

        Revisions of different eras are not comparable. A peer in an older era
        has not yet noticed that the key-value service was restored from an
        older copy; a gateway that relied on it as a reader would wait for
        outdated changes. A peer in a newer era does not prove a restore; only
        an answer of the service proves it, so the watches are reopened.
        """
        if seen.era < self._era():
            return
        if seen.era > self._era():
            for name, watch_state in self._watches().items():
                self._reopen(name, watch_state, getattr(seen, name), seen.era)
            return
        if seen.is_reading:
            self._reader_heard_at_s = time.monotonic()
        for name, watch_state in self._watches().items():
            revision = getattr(seen, name)
            if revision >= watch_state.changed_revision:
                key = (name, seen.era, revision)
                self._notice_counts[key] = self._notice_counts.get(key, 0) + 1
            if (
                revision > watch_state.proven_revision
                and name not in self._pending
            ):
                self._pending.add(name)
                gevent.spawn_later(
                    REOPEN_DELAY_S, self._reopen_if_behind, name, revision
                )

    def on_change(self) -> None:
        """Notifies peers of a change unless enough others do so first."""
        gevent.spawn_later(
            random.uniform(*NOTICE_DELAY_RANGE_S), self._send_if_needed
        )

    def _reopen_if_behind(self, name: str, revision: int) -> None:
        self._pending.discard(name)
        watch_state = self._watches().get(name)
        if watch_state is None or watch_state.proven_revision >= revision:
            return
        self._reopen(name, watch_state, revision, self._era())

    def _reopen(
        self, name: str, watch_state: WatchState, revision: int, era: int
    ) -> None:
        now_s = time.monotonic()
        last_s = self._reopened_at_s.get(name, float("-inf"))
        if now_s - last_s < MIN_REOPEN_INTERVAL_S:
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

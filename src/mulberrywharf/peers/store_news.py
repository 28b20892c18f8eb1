"""Gateways tell each other how far they have seen the key-value service.

A watch that the service leaves without a word brings no change until it is
opened again. Opened every two seconds by each gateway, two watches cost three
quarters of all that a fleet pays for calls. Here a few gateways, the readers,
open theirs so often, and tell the others what they have seen and that they go
on reading. The others let theirs wait as long as the service allows: a reader's
notice shows them that theirs were left, and they open them again at once.

Nothing that must hold depends on a reader. Whoever hears from none that reads,
because they are gone, frozen, cut off or turned away by the service, is as good
as a reader itself until it does.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
from loguru import logger

from mulberrywharf import metrics
from mulberrywharf.peers import codec
from mulberrywharf.platform_service import watch

LONG = watch.BRIEF._replace(silence_s=30.0)
"""For a gateway that hears from a reader: as long as the service keeps a call
waiting. A pause behind a failure stays brief: whom the service turns away loses
its key too, so its peers no longer tell it of anything."""

READING_AGE_S = 3.0
"""A gateway whose watches were both answered within it is reading: they are
opened every 2 s, and an answer comes within 0.4 s even where the service is
slow."""

HEARTBEAT_INTERVAL_S = 1.5
"""A reader tells its peers that it reads so often, unless a notice of other
matters did: with 40 of them some 70 bytes each, 1,900 bytes a second of the
2,000 that a node may send."""

READER_TIMEOUT_S = 4.0
"""A reader is believed so long after its last word: one lost datagram of two
readers' isn't noticed. When both are gone, a change that a watch has missed
comes with its next opening, half a second later at the most."""

CHECK_INTERVAL_S = 0.5
"""Between two looks at whether a reader is heard and a heartbeat is due."""

PATIENCE_S = 0.3
"""From a peer's news until a watch that has not brought it is opened again. A
sound watch begins to bring a change within some ms of its peers'; one that
collects changes is left alone."""

MIN_REOPEN_INTERVAL_S = 2.0
"""Between two openings for want of a change. A call that was just sent is given
time: on a link of 5 Mbit/s that is full its answer may begin late."""

NOTICE_DELAY_RANGE_S = (0.05, 0.25)
"""How long after a change a gateway tells it, if few others have by then."""

SUFFICIENT_NOTICES_COUNT = 2
"""Peers that told a change, so that this gateway need not: one datagram may
be lost."""


_waiting_long_gauge = metrics.gauge(
    "mulberry_watches_waiting_long",
    "1 while this node's watches wait long, as it hears from a reader.",
)


class Watched(Protocol):
    """A watch as it matters here."""

    @property
    def age_s(self) -> float:
        """How long ago the service last answered it."""
        ...

    @property
    def changed_revision(self) -> int:
        """Revision of the last change that it brought."""
        ...

    @property
    def seen_revision(self) -> int:
        """Revision up to which it brought every change."""
        ...

    def hurry(self) -> None:
        """Opens it again."""
        ...


class Notices(Protocol):
    """Carries the news."""

    @property
    def told_at_s(self) -> float:
        """When the gateways of the own zone were last told anything."""
        ...

    @property
    def is_registered(self) -> bool:
        """Whether the others can know of this gateway."""
        ...

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the service for its neighbours."""
        ...

    def tell_seen(
        self,
        seen: Callable[[], codec.Seen],
        on_seen: Callable[[codec.Seen], None],
    ) -> None:
        """Sets what is told and who takes in what is heard."""
        ...

    def tell_now(self) -> None:
        """Sends a notice."""
        ...


class StoreNews:
    """Compares this gateway's watches with what peers have seen."""

    def __init__(
        self,
        notices: Notices,
        watches: Callable[[], Mapping[str, Watched]],
        era: Callable[[], int] = lambda: 0,
    ):
        """Makes it and hooks it to the notices.

        Args:
            notices: Carries the news.
            watches: Returns the watches by the names of ``codec.Seen``.
            era: Returns the newest era of the service that was seen.
        """
        self._notices = notices
        self._watches = watches
        self._era = era
        self._notice_counts: dict[tuple[str, int, int], int] = {}
        self._pending: set[str] = set()
        self._reopened_at_s: dict[str, float] = {}
        self._reader_heard_at_s = float("-inf")
        self._waits_long = False
        self._task: gevent.Greenlet | None = None
        notices.tell_seen(self.seen, self.on_seen)

    def start(self) -> None:
        """Begins to look for readers, and to send heartbeats as one."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Ends both."""
        if self._task is not None:
            self._task.kill()

    def patience(self) -> watch.Patience:
        """Returns how long the watches may wait now."""
        return LONG if self._waits_long else watch.BRIEF

    def patience_for_routes(self) -> watch.Patience:
        """Returns the same for the routes.

        Operators are promised them within 3 s of a moment at which the
        service leaves its watches, also at gateways that a reader has to tell
        of the change.
        """
        return LONG if self._waits_long else watch.PROMPT

    def seen(self) -> codec.Seen:
        """Returns what this gateway has seen."""
        found = self._watches()
        return codec.Seen(
            **{name: found[name].changed_revision for name in found},
            is_reading=self._is_reading(found),
            era=self._era(),
        )

    def _is_reading(self, found: Mapping[str, Watched]) -> bool:
        # A gateway that counts on a reader may have had an answer just now,
        # but nobody may count on its next one.
        ages_s = [watched.age_s for watched in found.values()]
        is_fresh = bool(ages_s) and max(ages_s) <= READING_AGE_S
        return is_fresh and not self._waits_long

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self._look()

    def _look(self) -> None:
        """Takes in whether a reader is heard; sends a heartbeat as one."""
        now_s = time.monotonic()
        is_reader = self._notices.is_reader
        waits_long = (
            self._notices.is_registered
            and not is_reader
            and now_s - self._reader_heard_at_s <= READER_TIMEOUT_S
        )
        if waits_long != self._waits_long:
            self._set_waits_long(waits_long)
        is_due = now_s - self._notices.told_at_s >= HEARTBEAT_INTERVAL_S
        if is_due and is_reader and self.seen().is_reading:
            self._notices.tell_now()

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
        # They may wait for half a minute by now, and the service may have
        # left them meanwhile without a word.
        for watched in self._watches().values():
            watched.hurry()

    def on_seen(self, seen: codec.Seen) -> None:
        """Takes in what a peer has seen.

        Revisions of another era say nothing of this one's. A peer of an older
        era has not noticed yet that the service is back from an older copy:
        whoever counted on it as a reader would wait for news of the past. One
        of a newer era is no proof by itself; the service's own answer is.
        """
        if seen.era < self._era():
            return
        if seen.era > self._era():
            for name, watched in self._watches().items():
                self._reopen(name, watched, getattr(seen, name), seen.era)
            return
        if seen.is_reading:
            self._reader_heard_at_s = time.monotonic()
        for name, watched in self._watches().items():
            revision = getattr(seen, name)
            if revision >= watched.changed_revision:
                key = (name, seen.era, revision)
                self._notice_counts[key] = self._notice_counts.get(key, 0) + 1
            if revision > watched.seen_revision and name not in self._pending:
                self._pending.add(name)
                gevent.spawn_later(
                    PATIENCE_S, self._reopen_if_behind, name, revision
                )

    def on_change(self) -> None:
        """Tells peers of a change, unless enough of them do."""
        gevent.spawn_later(
            random.uniform(*NOTICE_DELAY_RANGE_S), self._send_if_needed
        )

    def _reopen_if_behind(self, name: str, revision: int) -> None:
        self._pending.discard(name)
        watched = self._watches().get(name)
        if watched is None or watched.seen_revision >= revision:
            return
        self._reopen(name, watched, revision, self._era())

    def _reopen(
        self, name: str, watched: Watched, revision: int, era: int
    ) -> None:
        now_s = time.monotonic()
        last_s = self._reopened_at_s.get(name, float("-inf"))
        if now_s - last_s < MIN_REOPEN_INTERVAL_S:
            return
        self._reopened_at_s[name] = now_s
        logger.bind(
            matter=name,
            heard=revision,
            heard_era=era,
            seen=watched.seen_revision,
            seen_era=self._era(),
        ).warning("peers know of a change that the watch did not bring")
        watched.hurry()

    def _send_if_needed(self) -> None:
        current = self._watches()
        if any(
            self._notice_counts.get(
                (name, self._era(), watched.changed_revision), 0
            )
            < SUFFICIENT_NOTICES_COUNT
            for name, watched in current.items()
        ):
            self._notices.tell_now()
        self._notice_counts = {
            (name, era, revision): count
            for (name, era, revision), count in self._notice_counts.items()
            if name in current
            and era == self._era()
            and revision >= current[name].changed_revision
        }

"""Gateways tell each other how far they have seen the key-value service.

A watch that the service leaves without a word brings no change until it is
opened again. Opened every two seconds by each of 80 gateways, two watches cost
half of all calls to the service. Here few calls serve all: each notice tells
the revisions that its sender has seen, so one watch that was opened in time
shows the others that theirs were left, and they open them again at once.
"""

import random
import time
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
from loguru import logger

from mulberrywharf.peers import codec
from mulberrywharf.platform_service import watch

OPENINGS_INTERVAL_S = 0.25
"""Mean time between two openings of a watch among the gateways that tell each
other. With 27 of them that open theirs at random every 5 to 7 s, the chance
that none does in 2 s is below 1 in 10,000."""

REOPEN_LIMIT_S = 8.0
"""For a gateway that the others' notices don't reach, unknown to itself."""

PATIENCE_S = 0.8
"""From a peer's news until a watch that has not brought it is opened again. A
sound watch begins to bring a change within some ms of its peers', or 0.5 s
later while it collects changes."""

HURRY_INTERVAL_S = 2.0
"""Between two openings for want of a change. A call that was just sent is given
time: on a link of 5 Mbit/s that is full its answer may begin late."""

TELL_WITHIN_S = (0.05, 0.25)
"""How long after a change a gateway tells it, if few others have by then."""

ENOUGH_COUNT = 2
"""Peers that told a change, so that this gateway need not: one datagram may
be lost."""


class Watched(Protocol):
    """A watch as it matters here."""

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
    def told_count(self) -> int:
        """Gateways that tell each other, this one included."""
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


def patience(told_count: int) -> watch.Patience:
    """Returns how long a watch may wait where so many tell each other."""
    shared_s = min(REOPEN_LIMIT_S, told_count * OPENINGS_INTERVAL_S)
    # A pause behind a failure stays brief: whom the service turns away loses
    # its key in it too, so its peers no longer tell it of anything.
    return watch.BRIEF._replace(silence_s=max(watch.BRIEF.silence_s, shared_s))


class StoreNews:
    """Compares this gateway's watches with what peers have seen."""

    def __init__(
        self,
        notices: Notices,
        watches: Callable[[], Mapping[str, Watched]],
    ):
        """Makes it and hooks it to the notices.

        Args:
            notices: Carries the news.
            watches: Returns the watches by the names of ``codec.Seen``.
        """
        self._notices = notices
        self._watches = watches
        self._told_counts: dict[tuple[str, int], int] = {}
        self._pending: set[str] = set()
        self._hurried_at_s: dict[str, float] = {}
        notices.tell_seen(self.seen, self.on_seen)

    def patience(self) -> watch.Patience:
        """Returns how long the watches may wait now."""
        return patience(self._notices.told_count)

    def seen(self) -> codec.Seen:
        """Returns what this gateway has seen."""
        found = self._watches()
        return codec.Seen(
            **{name: found[name].changed_revision for name in found}
        )

    def on_seen(self, seen: codec.Seen) -> None:
        """Takes in what a peer has seen."""
        for name, watched in self._watches().items():
            revision = getattr(seen, name)
            if revision >= watched.changed_revision:
                key = (name, revision)
                self._told_counts[key] = self._told_counts.get(key, 0) + 1
            if revision > watched.seen_revision and name not in self._pending:
                self._pending.add(name)
                gevent.spawn_later(PATIENCE_S, self._check, name, revision)

    def on_change(self) -> None:
        """Tells peers of a change, unless enough of them do."""
        gevent.spawn_later(random.uniform(*TELL_WITHIN_S), self._tell)

    def _check(self, name: str, revision: int) -> None:
        self._pending.discard(name)
        watched = self._watches().get(name)
        if watched is None or watched.seen_revision >= revision:
            return
        now_s = time.monotonic()
        last_s = self._hurried_at_s.get(name, float("-inf"))
        if now_s - last_s < HURRY_INTERVAL_S:
            return
        self._hurried_at_s[name] = now_s
        logger.bind(
            matter=name, heard=revision, seen=watched.seen_revision
        ).warning("peers know of a change that the watch did not bring")
        watched.hurry()

    def _tell(self) -> None:
        current = self._watches()
        if any(
            self._told_counts.get((name, watched.changed_revision), 0)
            < ENOUGH_COUNT
            for name, watched in current.items()
        ):
            self._notices.tell_now()
        self._told_counts = {
            (name, revision): count
            for (name, revision), count in self._told_counts.items()
            if name in current and revision >= current[name].changed_revision
        }

"""One long watch on the keys under a prefix.

A waiting watch is one call however long it waits, so a node that watches
costs the service nothing while nothing changes.
"""

import contextlib
import random
import time
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

import gevent
from geventhttpclient import response
from loguru import logger
from result import Err

from mulberrywharf.platform_service import dialect, http_calls
from mulberrywharf.platform_service.key_value_types import (
    KeyValue,
    ServiceState,
    WatchEvent,
)

if TYPE_CHECKING:
    from mulberrywharf.platform_service.key_value import KeyValueClient

REOPEN_S = 60.0
"""A watch that has been silent so long is opened again.

A service that hangs, or a middlebox that keeps the connection while the
service is gone, looks like a quiet time. One would notice only that changes
no longer arrive; reopening bounds how long that lasts.
"""

_REOPEN_SHARE = (0.75, 1.0)
"""Part of the longest silence that a watch is given, drawn for each one."""

BRIEF_REOPEN_S = 2.0
"""For what must be in force within seconds. A service that drops its history
may leave a watch that waits without a word, and a change made in that moment
then comes with the next opening: with 10 s, routes were seen 7 s late.
Operators are promised 2 s, counted from 3 s after such a moment: with 0.4 s
for the answer and a first pause of up to 0.5 s a change comes within 2.9 s. A
node that hears of changes from others may wait longer, see ``hurry``."""

PROMPT_REOPEN_S = 1.2
"""The same for what one node hears for many: with 0.4 s for the answer and a
first pause of up to 0.5 s a change comes within 2.1 s, which leaves the time to
tell it to nodes that wait longer."""

_BACKOFF_BASE_S = 0.25
_BACKOFF_LIMIT_S = 1.0
"""With the wait for an answer it bounds how long after the return of the
service a node learns of a change; operators are promised 2 s, counted from 3 s
after the return. The two watches of 340 nodes that try every second or so stay
under the service's 2,000 reads/s."""


RESTORED_SPREAD_S = 0.5
"""When the service is back from an older copy all nodes read anew. Spread over
this time, the two readings of 340 nodes stay under its 2,000 reads/s."""


class Patience(NamedTuple):
    """How long a watch waits.

    Attributes:
        silence_s: Longest silence that is believed.
        pause_s: Bound of the pause behind a failure.
    """

    silence_s: float = REOPEN_S
    pause_s: float = _BACKOFF_LIMIT_S


BRIEF = Patience(BRIEF_REOPEN_S)
"""For what must be in force within seconds."""

PROMPT = Patience(PROMPT_REOPEN_S)
"""For what must be in force within seconds also where it is heard of others."""


class _Hurried(gevent.GreenletExit):
    """The watch is to be opened again at once."""


class Watch:
    """Reports each key under a prefix, first as it is, then as it changes.

    Each change is reported at least once and in the order of revisions;
    changes that follow closely may be seen as the last of them only, after
    a cut. When the service has dropped the history that the watch missed, or
    comes back behind what it already reported, the prefix is read again and
    the differences are reported; see ``WatchEvent.is_restored``.
    """

    def __init__(
        self,
        client: "KeyValueClient",
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        *,
        purpose: str,
        patience: Callable[[], Patience] = Patience,
    ):
        self._client = client
        self._prefix = prefix
        self._on_change = on_change
        self._purpose = purpose
        self._patience = patience
        self._known: dict[str, KeyValue] = {}
        self._state: ServiceState | None = None
        self._is_stale = False
        self._failures_count = 0
        self._opened_count = 0
        self._changed_revision = 0
        self._answered_s = float("-inf")
        self._is_waiting = False
        self._stream: dialect.WatchStream | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to watch."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Ends the watch; no callback runs afterwards."""
        self._client.forget_watch(self)
        if self._greenlet is not None:
            self._greenlet.kill()

    @property
    def changed_revision(self) -> int:
        """Revision of the last change that was reported, 0 before that."""
        return self._changed_revision

    @property
    def seen_revision(self) -> int:
        """Revision up to which every change has been reported."""
        revision = self._state.revision if self._state else 0
        return max(revision, self._changed_revision)

    @property
    def age_s(self) -> float:
        """How long ago the service last answered it, inf before."""
        return time.monotonic() - self._answered_s

    def hurry(self) -> None:
        """Opens the watch again if it waits for a change.

        For a node that knows of a change which this watch should have
        brought: the service has left it without a word. A message that has
        begun to come is awaited: a large document takes a second on a slow
        link, and would be sent from its beginning again. So is a call that is
        about to leave.
        """
        if self._stream is None or not self._stream.is_busy:
            self._open_again()

    def _open_again(self) -> None:
        if self._is_waiting and self._greenlet is not None:
            self._greenlet.kill(_Hurried, block=False)

    def start_anew(self) -> None:
        """Reads the present again: the service is back from an older copy.

        Its revisions may have caught up with what was seen before the watch
        asks again. It would then go on in a history that it never saw, and
        miss every change up to there.
        """
        self._is_stale = True
        self._open_again()

    def _run(self) -> None:
        while True:
            try:
                if not self._follow():
                    self._failures_count += 1
                with self._waiting():
                    gevent.sleep(self._pause_s())
            except _Hurried:
                logger.bind(prefix=self._prefix).info("watch opened anew")

    @contextlib.contextmanager
    def _waiting(self) -> Iterator[None]:
        # Only these waits may be broken off: a callback would be left half
        # done.
        self._is_waiting = True
        try:
            yield
        finally:
            self._is_waiting = False

    def _pause_s(self) -> float:
        return http_calls.full_jitter_s(
            self._failures_count,
            base_s=_BACKOFF_BASE_S,
            limit_s=self._patience().pause_s,
        )

    def _follow(self) -> bool:
        """Reads if need be, then follows one stream until it ends."""
        if self._is_stale:
            gevent.sleep(random.uniform(0.0, RESTORED_SPREAD_S))
            self._state = None
        if self._state is None and not self._read():
            return False
        known = self._state or ServiceState(0, "")
        # Drawn once, so that watches don't fall into step.
        share = random.uniform(*_REOPEN_SHARE)
        opened = self._client.open_watch(
            dialect.WatchRequest(
                self._prefix,
                known.revision,
                known.cluster_id,
                attempt=self._opened_count,
                silence_s=lambda: self._patience().silence_s * share,
                purpose=self._purpose,
                after_failure=self._failures_count > 0,
            )
        )
        self._opened_count += 1
        if isinstance(opened, Err):
            return False
        stream = opened.ok_value
        self._stream = stream
        try:
            return self._consume(stream)
        except (OSError, ValueError, response.HTTPParseError) as error:
            logger.bind(
                prefix=self._prefix, age_s=round(self._client.age_s(), 3)
            ).info("watch was cut: {}", error)
            return False
        finally:
            self._stream = None
            stream.close()

    def _read(self) -> bool:
        is_restored, self._is_stale = self._is_stale, False
        read = self._client.read_for_watch(self._prefix, purpose=self._purpose)
        if isinstance(read, Err) or self._is_stale:
            # Restored while it was read: pages may be of two histories.
            self._is_stale = self._is_stale or is_restored
            return False
        found, state = read.ok_value
        if is_restored:
            logger.bind(
                prefix=self._prefix,
                before_revision=self.seen_revision,
                revision=state.revision,
            ).info("the present is read from the older copy")
            # Revisions are counted anew.
            self._changed_revision = 0
        self._report_differences(found, is_restored=is_restored)
        self._state = state
        return True

    def _report_differences(
        self, found: Iterable[KeyValue], *, is_restored: bool
    ) -> None:
        present = {kv.key: kv for kv in found}
        for key in sorted(self._known.keys() - present.keys()):
            gone = self._known[key]._replace(value=b"")
            self._report(WatchEvent("delete", gone, is_restored))
        for kv in sorted(present.values(), key=lambda kv: kv.mod_revision):
            if self._known.get(kv.key) != kv:
                self._report(WatchEvent("put", kv, is_restored))

    def _consume(self, stream: dialect.WatchStream) -> bool:
        """Reports what the stream brings; False if it brought nothing."""
        brought_any = False
        while True:
            with self._waiting():
                message = stream.read()
            if message is None or self._is_stale:
                return brought_any
            if not self._is_continuous(message):
                logger.bind(
                    prefix=self._prefix,
                    seen=self.seen_revision,
                    age_s=round(self._client.age_s(), 3),
                ).info("history was dropped: the present is read instead")
                # The service answered, so the next call need not wait for
                # the long pause behind failures: with it the present was read
                # up to a second later, and a server that had left used so
                # long. With the short one it is read within 0.25 s.
                self._note_regained()
                self._state = None
                return True
            self._note_regained()
            self._answered_s = time.monotonic()
            brought_any = True
            self._client.note_watch_message()
            self._take_events(message)

    def _note_regained(self) -> None:
        if self._failures_count:
            logger.bind(
                prefix=self._prefix, failures_count=self._failures_count
            ).info("watch regained")
        self._failures_count = 0

    def _is_continuous(self, message: dialect.WatchMessage) -> bool:
        """Tells whether the stream goes on where this watch stopped.

        It does not when the history in between was dropped. Another
        cluster id or a lower revision means that the service came back with
        older data: resumed as if nothing had happened, the watch would stay
        silent until the service had caught up, and miss every change on the
        way.
        """
        if message.is_canceled:
            return False
        state = message.state
        held = self._state
        return held is None or (
            state.cluster_id == held.cluster_id
            and state.revision >= held.revision
        )

    def _take_events(self, message: dialect.WatchMessage) -> None:
        for event in message.events:
            self._report(event)
        # The first message shows where the service stands, not what it has
        # sent: taken as progress it would skip the changes in between.
        if not message.is_start:
            self._state = message.state

    def _report(self, event: WatchEvent) -> None:
        self._changed_revision = max(
            self._changed_revision, event.key_value.mod_revision
        )
        if event.kind == "put":
            self._known[event.key_value.key] = event.key_value
        else:
            self._known.pop(event.key_value.key, None)
        try:
            self._on_change(event)
        except Exception:
            # A callback that fails must not end the watch: the node would
            # go on with its last configuration and nobody would notice.
            logger.exception("a watch callback failed on {}", self._prefix)

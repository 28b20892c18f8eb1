"""A long-running watch on the keys with a prefix.

A waiting watch is a single call, however long it waits. So it costs the service
nothing while no key changes.
"""

import collections
import contextlib
import random
import time
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

import gevent
from geventhttpclient import response
from loguru import logger
from result import Err

from mulberrywharf import supervised_task
from mulberrywharf.platform_service import dialect, http_calls
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    ServiceState,
    WatchEvent,
)

if TYPE_CHECKING:
    from mulberrywharf.platform_service.key_value import KeyValueClient

DEFAULT_SILENCE_TIMEOUT_S = 60.0
"""Default time without data after which a watch is reopened.

If the service hangs, or a middlebox keeps the connection open after the service
is gone, the watch looks as if no key changed. Reopening it limits how long
changes are missed.
"""

_SILENCE_SHARE_RANGE = (0.75, 1.0)
"""Range of the random factor by which each stream's silence timeout is
multiplied, so that watches are not reopened in step."""

SHORT_SILENCE_TIMEOUT_S = 2.0
"""Silence timeout for changes that must take effect within seconds.

A service that drops its history may stop serving a waiting watch without an
error. A change at that moment then arrives only when the watch is reopened:
with 10 s, routes arrived 7 s late. Operators are promised changes within 2 s,
counted from 3 s after such a moment. With 0.4 s for the response and a first
backoff of up to 0.5 s, a change arrives within 2.9 s.
"""

LONG_SILENCE_TIMEOUT_S = 30.0
"""Silence timeout of a watch whose keys are also compared with the service."""

_BACKOFF_BASE_S = 0.25
_BACKOFF_LIMIT_S = 1.0
"""Together with the response timeout, this limits the delay from the end of an
outage until a node learns of a change. Operators are promised changes within
2 s, counted from 3 s after the outage. The two watches of each of 340 nodes,
retried about once a second, stay under the service's limit of 2,000 reads/s."""


RESTORE_JITTER_S = 0.5
"""After a restore of the service, all nodes read their keys again. Spread over
this time, the two reads of each of 340 nodes stay under the service's limit of
2,000 reads/s."""


_DELETED_LIMIT_COUNT = 1_000
"""Most deleted keys whose last revision is kept."""


class WatchTimeouts(NamedTuple):
    """Timeouts of a watch.

    Attributes:
        silence_timeout_s: Time in seconds without data after which it is
            reopened.
        backoff_limit_s: Upper bound in seconds of the backoff after a failure.
    """

    silence_timeout_s: float = DEFAULT_SILENCE_TIMEOUT_S
    backoff_limit_s: float = _BACKOFF_LIMIT_S


SHORT_TIMEOUTS = WatchTimeouts(SHORT_SILENCE_TIMEOUT_S)
"""Timeouts for changes that must take effect within seconds."""

LONG_TIMEOUTS = WatchTimeouts(LONG_SILENCE_TIMEOUT_S)
"""See ``LONG_SILENCE_TIMEOUT_S``. The pause after a failure stays short."""


class _ReopenRequested(gevent.GreenletExit):
    """Interrupts a waiting watch so that it is reopened at once."""


class Watch:
    """Reports all keys with a prefix, then each change to them.

    Each change is reported at least once, ordered by revision. After an
    interruption, several changes to one key may be reported as one, with the
    latest value. If the service no longer has the changes that the watch
    missed, or was restored to an older state than already reported, the keys
    are read again and the differences are reported; see
    ``WatchEvent.is_restored``.
    """

    def __init__(
        self,
        client: "KeyValueClient",
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        *,
        purpose: str,
        timeouts: Callable[[], WatchTimeouts] = WatchTimeouts,
        on_reported: Callable[[], None] = lambda: None,
    ):
        self._client = client
        self._prefix = prefix
        self._on_change = on_change
        self._on_reported = on_reported
        self._purpose = purpose
        self._timeouts = timeouts
        self._reported: dict[str, KeyValue] = {}
        self._deleted_revisions: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._position: ServiceState | None = None
        self._needs_resync = False
        self._failures_count = 0
        self._opened_count = 0
        self._changed_revision = 0
        self._read_revision = 0
        self._readings_count = 0
        self._answered_s = float("-inf")
        self._is_interruptible = False
        self._stream: dialect.WatchStream | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the watch."""
        self._greenlet = supervised_task.spawn("watch", self._run)

    def close(self) -> None:
        """Stops the watch; no callback runs afterwards."""
        self._client.remove_watch(self)
        if self._greenlet is not None:
            self._greenlet.kill()

    @property
    def changed_revision(self) -> int:
        """Revision of the last reported change, 0 before the first."""
        return self._changed_revision

    @property
    def seen_revision(self) -> int:
        """Revision up to which every change has been reported."""
        return max(self.continues_at_revision, self._changed_revision)

    @property
    def continues_at_revision(self) -> int:
        """Revision behind which the next message of the watch begins.

        Lower than ``seen_revision`` if a later page of a reading held a record
        that changed behind the first page.
        """
        return self._position.revision if self._position else 0

    @property
    def proven_revision(self) -> int:
        """Revision up to which changes were reported or all keys were read.

        Lower than ``seen_revision`` if the service named a later revision
        without a change.
        """
        return max(self._changed_revision, self._read_revision)

    @property
    def prefix(self) -> str:
        """Prefix of the keys."""
        return self._prefix

    @property
    def read_revision(self) -> int:
        """Revision at which all keys were last read, 0 before that."""
        return self._read_revision

    def reported_keys(self) -> list[str]:
        """Returns the keys that exist as far as was reported."""
        return list(self._reported)

    @property
    def has_read_all(self) -> bool:
        """Whether all present keys were read and changes are followed since.

        False before the first reading and while the keys must be read again.
        """
        return self._position is not None and not self._needs_resync

    @property
    def readings_count(self) -> int:
        """How often all present keys were read."""
        return self._readings_count

    @property
    def age_s(self) -> float:
        """Seconds since the last message of the watch, or inf."""
        return time.monotonic() - self._answered_s

    def reopen_if_waiting(self) -> None:
        """Reopens the watch at once if it is waiting for a change.

        A node calls this if it knows of a change that the watch should have
        reported: the service may have stopped serving the watch without an
        error. A message that is being received is not interrupted: a large
        document takes 1 s on a slow link and would be sent again from the
        start. Nor is a call that is about to be sent.
        """
        if self._stream is None or not self._stream.is_busy:
            self._reopen()

    def _reopen(self) -> None:
        if self._is_interruptible and self._greenlet is not None:
            self._greenlet.kill(_ReopenRequested, block=False)

    def resync(self) -> None:
        """Reads all keys again, after a restore of the service.

        By the time the watch is reopened, the restored service may have
        reached the last seen revision again. Resuming there would miss all
        changes up to that revision.
        """
        self._needs_resync = True
        self._reopen()

    def has_reported(self, found: Iterable[KeyValue]) -> bool:
        """Returns whether keys were reported as they were read, or newer.

        The service may answer a watch without some of the changes up to the
        revision that it names, so the revision alone doesn't show it.
        """
        return all(
            self.reported_revision(one.key) >= one.mod_revision for one in found
        )

    def reported_revision(self, key: str) -> int:
        """Returns the revision of a key's last reported change, 0 if none."""
        reported = self._reported.get(key)
        if reported is not None:
            return reported.mod_revision
        return self._deleted_revisions.get(key, 0)

    def take_read(self, found: KeyValue) -> bool:
        """Reports a key that was read elsewhere, if that shows a change.

        Returns:
            Whether the watch is known to have skipped the change: it goes on
            behind its revision.
        """
        is_skipped = self.continues_at_revision >= found.mod_revision
        return self.take_event(WatchEvent("put", found)) and is_skipped

    def take_event(self, event: WatchEvent) -> bool:
        """Reports a change that was found elsewhere; returns if it was news."""
        changed = event.key_value
        if self.has_reported([changed]):
            return False
        self._report(event)
        self._run_callback(self._on_reported)
        if self.continues_at_revision < changed.mod_revision:
            self.reopen_if_waiting()
        return True

    def take_compared(self, expected: Guard, found: KeyValue | None) -> bool:
        """Reports what a comparison of a key with the service found.

        Args:
            expected: The key, and its reported revision when it was compared.
            found: What the service held then, None for a deleted key.

        Returns:
            Whether the change had not been reported meanwhile.
        """
        if found is not None:
            return self.take_event(WatchEvent("put", found))
        reported = self._reported.get(expected.key)
        if reported is None or reported.mod_revision != expected.mod_revision:
            return False
        self._report(WatchEvent("delete", reported._replace(value=b"")))
        self._run_callback(self._on_reported)
        self.reopen_if_waiting()
        return True

    def read_again_if_waiting(self) -> None:
        """Reads all keys again, unless a message is being received."""
        if self._stream is None or not self._stream.is_busy:
            self.read_again()

    def read_again(self) -> None:
        """Reads all keys again, because a change was not reported."""
        self._position = None
        self._reopen()

    def _run(self) -> None:
        while True:
            try:
                if not self._watch_once():
                    self._failures_count += 1
                with self._interruptible():
                    gevent.sleep(self._pause_s())
            except _ReopenRequested:
                logger.bind(prefix=self._prefix).info("watch opened anew")

    @contextlib.contextmanager
    def _interruptible(self) -> Iterator[None]:
        # ``_reopen`` interrupts the greenlet only in these waits. Elsewhere it
        # could interrupt a callback halfway.
        self._is_interruptible = True
        try:
            yield
        finally:
            self._is_interruptible = False

    def _pause_s(self) -> float:
        return http_calls.full_jitter_s(
            self._failures_count,
            base_s=_BACKOFF_BASE_S,
            limit_s=self._timeouts().backoff_limit_s,
        )

    def _watch_once(self) -> bool:
        """Reads the keys if necessary, then watches one stream to its end.

        Returns:
            Whether the attempt succeeded; if not, the next delay is longer.
        """
        if self._needs_resync:
            gevent.sleep(random.uniform(0.0, RESTORE_JITTER_S))
            self._position = None
        if self._position is None and not self._read_present():
            return False
        known = self._position or ServiceState(0, "")
        # Drawn once per stream, so that watches are not reopened in step.
        share = random.uniform(*_SILENCE_SHARE_RANGE)
        opened = self._client.open_watch(
            dialect.WatchRequest(
                self._prefix,
                known.revision,
                known.cluster_id,
                attempt=self._opened_count,
                silence_timeout_s=lambda: (
                    self._timeouts().silence_timeout_s * share
                ),
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

    def _read_present(self) -> bool:
        is_restored, self._needs_resync = self._needs_resync, False
        read = self._client.read_for_watch(self._prefix, purpose=self._purpose)
        if isinstance(read, Err) or self._needs_resync:
            # If the service was restored during the read, the pages may mix
            # states from before and after the restore.
            self._needs_resync = self._needs_resync or is_restored
            return False
        found, state = read.ok_value
        if is_restored:
            logger.bind(
                prefix=self._prefix,
                before_revision=self.seen_revision,
                revision=state.revision,
            ).info("the present is read from the older copy")
        self._report_differences(found, is_restored=is_restored)
        if is_restored:
            # The restored service may assign lower revisions. What the copy
            # lacks was reported with those of the history that was lost.
            self._deleted_revisions.clear()
            self._changed_revision = max(
                (kv.mod_revision for kv in found), default=0
            )
        self._readings_count += 1
        self._read_revision = state.revision
        self._position = state
        return True

    def _report_differences(
        self, found: Iterable[KeyValue], *, is_restored: bool
    ) -> None:
        present = {kv.key: kv for kv in found}
        for key in sorted(self._reported.keys() - present.keys()):
            deleted = self._reported[key]._replace(value=b"")
            self._report(WatchEvent("delete", deleted, is_restored))
        for kv in sorted(present.values(), key=lambda kv: kv.mod_revision):
            if self._reported.get(kv.key) != kv:
                self._report(WatchEvent("put", kv, is_restored))
        self._run_callback(self._on_reported)

    def _consume(self, stream: dialect.WatchStream) -> bool:
        """Reports the stream's events; returns False if no message came."""
        has_messages = False
        while True:
            with self._interruptible():
                message = stream.read()
            if message is None or self._needs_resync:
                return has_messages
            if not self._is_continuous(message):
                logger.bind(
                    prefix=self._prefix,
                    seen=self.seen_revision,
                    age_s=round(self._client.age_s(), 3),
                ).info("history was dropped: reading the current keys instead")
                # The service responded, so the backoff is reset and the keys
                # are read within 0.25 s. With the backoff of earlier failures
                # they were read up to 1 s later, and a server that had left
                # stayed in use that long.
                self._clear_failures()
                self._position = None
                return True
            self._clear_failures()
            self._answered_s = time.monotonic()
            has_messages = True
            self._client.record_watch_message()
            self._handle_events(message)

    def _clear_failures(self) -> None:
        if self._failures_count:
            logger.bind(
                prefix=self._prefix, failures_count=self._failures_count
            ).info("watch regained")
        self._failures_count = 0

    def _is_continuous(self, message: dialect.WatchMessage) -> bool:
        """Returns whether the stream continues where this watch stopped.

        It does not if the service no longer has the changes in between, or if
        it was restored: then its cluster id has changed or its revision is
        lower. A watch resumed after a restore would miss all changes until
        the service reached the old revision again.
        """
        if message.is_canceled:
            return False
        state = message.state
        position = self._position
        return position is None or (
            state.cluster_id == position.cluster_id
            and state.revision >= position.revision
        )

    def _handle_events(self, message: dialect.WatchMessage) -> None:
        for event in message.events:
            self._report(event)
        if message.events:
            self._run_callback(self._on_reported)
        # A confirmation contains the service's current revision, but changes
        # before it may not have been sent yet. Resuming there would skip them.
        if not message.is_confirmation:
            self._position = message.state

    def _report(self, event: WatchEvent) -> None:
        self._changed_revision = max(
            self._changed_revision, event.key_value.mod_revision
        )
        if event.kind == "put":
            self._reported[event.key_value.key] = event.key_value
        else:
            self._reported.pop(event.key_value.key, None)
            self._note_deleted(event.key_value)
        self._run_callback(self._on_change, event)

    def _note_deleted(self, deleted: KeyValue) -> None:
        self._deleted_revisions[deleted.key] = deleted.mod_revision
        if len(self._deleted_revisions) > _DELETED_LIMIT_COUNT:
            self._deleted_revisions.popitem(last=False)

    def _run_callback(
        self, callback: Callable[..., None], *arguments: WatchEvent
    ) -> None:
        try:
            callback(*arguments)
        except Exception:
            # A failing callback must not end the watch. Otherwise the node
            # would keep its last configuration and nobody would notice.
            logger.exception("watch callback failed on {}", self._prefix)

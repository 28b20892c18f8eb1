"""Appends records to one shard's log, one guarded write for a whole batch."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.nodes import claims
from mulberrywharf.platform_service import key_value

PURPOSE_COMMIT = "claim-commit"
PURPOSE_READ = "claim-read"

_RETRY_DELAY_S = 0.05
_LONGEST_RETRY_DELAY_S = 1.0


class KeyValue(Protocol):
    """The calls of ``KeyValueClient`` that claims need."""

    def get(
        self, key: str, *, purpose: str
    ) -> Result[key_value.KeyValue | None, errors.PlatformError]:
        """Reads one key."""
        ...

    def get_prefix(
        self, prefix: str, *, purpose: str
    ) -> Result[list[key_value.KeyValue], errors.PlatformError]:
        """Reads all keys of a prefix."""
        ...

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: int = 0,
        guards: Sequence[key_value.Guard] = (),
        purpose: str,
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        """Writes a key that nobody else has changed."""
        ...

    def delete(
        self,
        key: str,
        *,
        purpose: str,
        expected_revision: int | None = None,
    ) -> Result[int, errors.PlatformError]:
        """Deletes a key."""
        ...

    def grant_lease(
        self, ttl_s: float, *, purpose: str
    ) -> Result[int, errors.PlatformError]:
        """Asks for a lease."""
        ...

    def keep_alive(
        self, lease_id: int, *, purpose: str
    ) -> Result[float, errors.PlatformError]:
        """Renews a lease."""
        ...

    def revoke(
        self, lease_id: int, *, purpose: str
    ) -> Result[None, errors.PlatformError]:
        """Ends a lease."""
        ...


class Ownership(NamedTuple):
    """What proves that this process owns a shard.

    Attributes:
        key: The ownership key.
        mod_revision: Its revision when this process became the owner.
    """

    key: str
    mod_revision: int


class _Segment(NamedTuple):
    key: str
    number: int
    value: bytes
    mod_revision: int


class _OldSegment(NamedTuple):
    key: str
    closed_unix_s: float


class ClaimLog:
    """The log of one shard, written under its ownership."""

    def __init__(
        self,
        store: KeyValue,
        deployment: str,
        shard: int,
        ownership: Ownership,
    ):
        self._store = store
        self._deployment = deployment
        self._shard = shard
        self._ownership = ownership
        self._segment = self._empty_segment(0)
        self._old: list[_OldSegment] = []

    def replay(
        self, table: claims.Table, now_unix_s: float
    ) -> Result[None, errors.PlatformError]:
        """Reads the whole log into the table; appends go behind it.

        Called once, after the ownership was won: from then on every write of
        an earlier owner fails its guard, so nothing can appear behind what
        is read here.
        """
        prefix = claims.segments_prefix(self._deployment, self._shard)
        found = self._store.get_prefix(prefix, purpose=PURPOSE_READ)
        if isinstance(found, Err):
            return found
        number = 0
        for segment in sorted(found.ok_value, key=lambda kv: kv.key):
            newest_unix_s = 0.0
            for record in claims.decode_segment(segment.value):
                table.apply(record)
                if isinstance(record, claims.Claimed):
                    newest_unix_s = record.entry.claimed_unix_s
            self._old.append(
                _OldSegment(segment.key, newest_unix_s or now_unix_s)
            )
            number = int(segment.key.removeprefix(prefix)) + 1
        self._segment = self._empty_segment(number)
        return Ok(None)

    def append(
        self, records: list[claims.Record], now_unix_s: float, give_up_s: float
    ) -> Result[None, errors.PlatformError]:
        """Commits the records in one write.

        Args:
            records: At least one.
            now_unix_s: The wall clock.
            give_up_s: How long to try while nothing can have been written.

        Returns:
            ``AuthorityLostError`` if another owner took over;
            ``PlatformUnavailableError`` if certainly nothing was written.
            While a write may have taken effect it neither returns nor gives
            up: to answer "not run" then could be false.
        """
        self._rotate(now_unix_s)
        lines = b"".join(claims.encode_record(record) for record in records)
        wanted = self._segment._replace(value=self._segment.value + lines)
        written = self._write(wanted, give_up_s)
        if isinstance(written, Err):
            return written
        self._segment = wanted._replace(mod_revision=written.ok_value)
        return Ok(None)

    def delete_expired(self, now_unix_s: float, keep_s: float) -> None:
        """Deletes segments all of whose claims have expired."""
        while self._old and self._old[0].closed_unix_s + keep_s < now_unix_s:
            deleted = self._store.delete(
                self._old[0].key, purpose=PURPOSE_COMMIT
            )
            if isinstance(deleted, Err):
                return
            self._old.pop(0)

    def _rotate(self, now_unix_s: float) -> None:
        if len(self._segment.value) < claims.SEGMENT_LIMIT_BYTES:
            return
        self._old.append(_OldSegment(self._segment.key, now_unix_s))
        self._segment = self._empty_segment(self._segment.number + 1)

    def _empty_segment(self, number: int) -> _Segment:
        key = claims.segment_key(self._deployment, self._shard, number)
        return _Segment(key, number, b"", 0)

    def _write(
        self, wanted: _Segment, give_up_s: float
    ) -> Result[int, errors.PlatformError]:
        may_be_written = False
        delay_s = _RETRY_DELAY_S
        waited_s = 0.0
        while True:
            written = self._write_once(wanted)
            if isinstance(written, Ok):
                return Ok(written.ok_value.mod_revision)
            failure = written.err_value
            if isinstance(failure, errors.RevisionConflictError):
                return self._after_conflict(wanted)
            if isinstance(failure, errors.WriteOutcomeUnknownError):
                # The write may still take effect at any moment, even after a
                # reading that does not show it. Sending the same write again
                # settles it: only one of the two can find the old revision.
                may_be_written = True
                read_back = self._read_back(wanted)
                if read_back is not None:
                    return Ok(read_back)
            if not may_be_written and waited_s >= give_up_s:
                return Err(failure)
            gevent.sleep(delay_s)
            waited_s += delay_s
            delay_s = min(2 * delay_s, _LONGEST_RETRY_DELAY_S)

    def _write_once(
        self, wanted: _Segment
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        guard = key_value.Guard(
            self._ownership.key, self._ownership.mod_revision
        )
        return self._store.compare_and_swap(
            wanted.key,
            wanted.value,
            expected_revision=wanted.mod_revision,
            guards=(guard,),
            purpose=PURPOSE_COMMIT,
        )

    def _after_conflict(
        self, wanted: _Segment
    ) -> Result[int, errors.PlatformError]:
        """Tells a lost ownership from an earlier write whose answer was lost.

        Only this owner writes the segment, so a conflict on it means that an
        attempt took effect; the bytes tell. A changed ownership key with the
        segment unwritten means that a new owner reads the log without them.
        """
        delay_s = _RETRY_DELAY_S
        while True:
            found = self._store.get(wanted.key, purpose=PURPOSE_READ)
            if isinstance(found, Ok):
                stored = found.ok_value
                if stored is not None and stored.value == wanted.value:
                    return Ok(stored.mod_revision)
                logger.info("lost the ownership of claim shard {}", self._shard)
                return Err(
                    errors.AuthorityLostError(
                        f"claim shard {self._shard} has another owner"
                    )
                )
            gevent.sleep(delay_s)
            delay_s = min(2 * delay_s, _LONGEST_RETRY_DELAY_S)

    def _read_back(self, wanted: _Segment) -> int | None:
        found = self._store.get(wanted.key, purpose=PURPOSE_READ)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        if found.ok_value.value != wanted.value:
            return None
        return found.ok_value.mod_revision

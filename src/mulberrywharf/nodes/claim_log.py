"""The log of one claim shard; commits each batch of records in one write.

Every write is guarded by the ownership key, so only the shard's owner can
append.
"""

import re
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

_SEGMENT_NUMBER = re.compile(r"[0-9]{10}")
_RETRY_DELAY_S = 0.05
_LONGEST_RETRY_DELAY_S = 1.0


class KeyValue(Protocol):
    """The methods of ``KeyValueClient`` that claims use."""

    def get(
        self, key: str, *, purpose: str
    ) -> Result[key_value.KeyValue | None, errors.PlatformError]:
        """Reads one key."""
        ...

    def get_prefix(
        self, prefix: str, *, purpose: str
    ) -> Result[list[key_value.KeyValue], errors.PlatformError]:
        """Reads all keys with a prefix."""
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
        """Writes a key if its revision is the expected one."""
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
        """Creates a lease."""
        ...

    def keep_alive(
        self, lease_id: int, *, purpose: str
    ) -> Result[float, errors.PlatformError]:
        """Renews a lease."""
        ...

    def revoke(
        self, lease_id: int, *, purpose: str
    ) -> Result[None, errors.PlatformError]:
        """Revokes a lease."""
        ...


class Ownership(NamedTuple):
    """Guard that a write must pass to prove ownership of a shard.

    Attributes:
        key: The ownership key.
        mod_revision: Revision of the key when this process became the owner.
    """

    key: str
    mod_revision: int


class _Segment(NamedTuple):
    key: str
    number: int
    value: bytes
    mod_revision: int


class _ClosedSegment(NamedTuple):
    key: str
    closed_unix_s: float


class ClaimLog:
    """The log of one shard, written by the shard's owner."""

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
        self._closed: list[_ClosedSegment] = []

    def replay(
        self, table: claims.Table, now_unix_s: float
    ) -> Result[None, errors.PlatformError]:
        """Reads the whole log into the table and prepares for appending.

        Called once, after this process became the owner. From then on every
        write of an earlier owner fails its guard, so no record can be added
        behind those read here.
        """
        prefix = claims.segments_prefix(self._deployment, self._shard)
        found = self._store.get_prefix(prefix, purpose=PURPOSE_READ)
        if isinstance(found, Err):
            return found
        next_number = 0
        for segment in sorted(found.ok_value, key=lambda kv: kv.key):
            number = segment.key.removeprefix(prefix)
            if not _SEGMENT_NUMBER.fullmatch(number):
                logger.warning("{} is no segment of this log", segment.key)
                continue
            newest_unix_s = 0.0
            decoded = claims.decode_segment(segment.value)
            if isinstance(decoded, Err):
                # Its claims are unknown, so a request might run twice.
                return Err(
                    errors.PlatformError(
                        f"{segment.key}: {decoded.err_value.message}"
                    )
                )
            for record in decoded.ok_value:
                table.apply(record)
                if isinstance(record, claims.Claimed):
                    newest_unix_s = record.entry.claimed_unix_s
            self._closed.append(
                _ClosedSegment(segment.key, newest_unix_s or now_unix_s)
            )
            next_number = int(number) + 1
        self._segment = self._empty_segment(next_number)
        return Ok(None)

    def append(
        self,
        records: list[claims.Record],
        now_unix_s: float,
        retry_timeout_s: float,
    ) -> Result[None, errors.PlatformError]:
        """Commits the records in one write.

        Args:
            records: At least one record.
            now_unix_s: Wall-clock time.
            retry_timeout_s: How long to retry as long as no write can have
                taken effect.

        Returns:
            ``AuthorityLostError`` if another process became the owner;
            ``PlatformUnavailableError`` if certainly nothing was written.
            While a write may have taken effect, the method retries without a
            time limit, because a reply that says "not run" could be false.
        """
        self._rotate(now_unix_s)
        lines = b"".join(claims.encode_record(record) for record in records)
        updated = self._segment._replace(value=self._segment.value + lines)
        written = self._write(updated, retry_timeout_s)
        if isinstance(written, Err):
            return written
        self._segment = updated._replace(mod_revision=written.ok_value)
        return Ok(None)

    def delete_expired(self, now_unix_s: float, keep_s: float) -> None:
        """Deletes closed segments that are older than ``keep_s``.

        All claims of such a segment have expired.
        """
        while (
            self._closed and self._closed[0].closed_unix_s + keep_s < now_unix_s
        ):
            deleted = self._store.delete(
                self._closed[0].key, purpose=PURPOSE_COMMIT
            )
            if isinstance(deleted, Err):
                return
            self._closed.pop(0)

    def _rotate(self, now_unix_s: float) -> None:
        if len(self._segment.value) < claims.SEGMENT_LIMIT_BYTES:
            return
        self._closed.append(_ClosedSegment(self._segment.key, now_unix_s))
        self._segment = self._empty_segment(self._segment.number + 1)

    def _empty_segment(self, number: int) -> _Segment:
        key = claims.segment_key(self._deployment, self._shard, number)
        return _Segment(key, number, b"", 0)

    def _write(
        self, updated: _Segment, retry_timeout_s: float
    ) -> Result[int, errors.PlatformError]:
        may_be_written = False
        delay_s = _RETRY_DELAY_S
        waited_s = 0.0
        while True:
            written = self._write_once(updated)
            if isinstance(written, Ok):
                return Ok(written.ok_value.mod_revision)
            failure = written.err_value
            if isinstance(failure, errors.RevisionConflictError):
                return self._after_conflict(updated)
            if isinstance(failure, errors.WriteOutcomeUnknownError):
                # The write may still take effect after a read that does not
                # show it. Repeating the same write resolves this: only one of
                # the two can match the expected revision.
                may_be_written = True
                read_back = self._read_back(updated)
                if read_back is not None:
                    return Ok(read_back)
            if not may_be_written and waited_s >= retry_timeout_s:
                return Err(failure)
            gevent.sleep(delay_s)
            waited_s += delay_s
            delay_s = min(2 * delay_s, _LONGEST_RETRY_DELAY_S)

    def _write_once(
        self, updated: _Segment
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        guard = key_value.Guard(
            self._ownership.key, self._ownership.mod_revision
        )
        return self._store.compare_and_swap(
            updated.key,
            updated.value,
            expected_revision=updated.mod_revision,
            guards=(guard,),
            purpose=PURPOSE_COMMIT,
        )

    def _after_conflict(
        self, updated: _Segment
    ) -> Result[int, errors.PlatformError]:
        """Distinguishes lost ownership from a write whose response was lost.

        Only this owner writes the segment. If the stored bytes equal the
        update, an earlier attempt took effect. Otherwise the ownership key has
        changed, and the new owner reads the log without these records.
        """
        delay_s = _RETRY_DELAY_S
        while True:
            found = self._store.get(updated.key, purpose=PURPOSE_READ)
            if isinstance(found, Ok):
                stored = found.ok_value
                if stored is not None and stored.value == updated.value:
                    return Ok(stored.mod_revision)
                logger.info("lost the ownership of claim shard {}", self._shard)
                return Err(
                    errors.AuthorityLostError(
                        f"claim shard {self._shard} has another owner"
                    )
                )
            gevent.sleep(delay_s)
            delay_s = min(2 * delay_s, _LONGEST_RETRY_DELAY_S)

    def _read_back(self, updated: _Segment) -> int | None:
        found = self._store.get(updated.key, purpose=PURPOSE_READ)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        if found.ok_value.value != updated.value:
            return None
        return found.ok_value.mod_revision

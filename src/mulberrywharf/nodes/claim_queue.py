"""Queue of the records of one claim shard that are to be committed."""

import gevent.event

from mulberrywharf.nodes import claims

_BATCH_LIMIT_BYTES = 256 * 1024
_QUEUE_LIMIT_COUNT = 4096


class QueuedRecord:
    """A record that is queued or being written.

    Attributes:
        record: The record.
        committed: Set to True once the record is in the log, to False once it
            is certain that it will not be written.
        is_abandoned: Whether the sender was sent ``unavailable`` or released
            the claim before the record was committed.
    """

    def __init__(self, record: claims.Record):
        self.record = record
        self.committed = gevent.event.AsyncResult()
        self.is_abandoned = False

    @property
    def token(self) -> int:
        """The attempt that the record belongs to."""
        record = self.record
        return (
            record.entry.token
            if isinstance(record, claims.Claimed)
            else record.token
        )

    def wait(self, timeout_s: float) -> bool:
        """Waits for the commit; returns whether the record is in the log."""
        self.committed.wait(max(0.0, timeout_s))
        # Reads the value again, as the record may have been committed between
        # the timeout and the time at which this greenlet resumed.
        return bool(self.committed.value)


class CommitQueue:
    """Records in the order in which they are to be committed.

    Claims and releases can be looked up by claim id from ``add`` until they
    are committed or have failed, also while they are being written.

    Attributes:
        has_records: Set while records wait to be taken into a batch.
        idle: Set while no record waits or is being written.
    """

    def __init__(self) -> None:
        self.has_records = gevent.event.Event()
        self.idle = gevent.event.Event()
        self.idle.set()
        self._records: list[QueuedRecord] = []
        self._claims: dict[bytes, QueuedRecord] = {}
        self._releases: dict[bytes, QueuedRecord] = {}

    @property
    def is_full(self) -> bool:
        """Whether further claims should be refused."""
        return len(self._records) >= _QUEUE_LIMIT_COUNT

    def queued_claim(self, claim_id: bytes) -> QueuedRecord | None:
        """Returns the uncommitted claim record of a claim, or None."""
        return self._claims.get(claim_id)

    def queued_release(self, claim_id: bytes) -> QueuedRecord | None:
        """Returns the uncommitted release record of a claim, or None."""
        return self._releases.get(claim_id)

    def add(self, record: claims.Record) -> QueuedRecord:
        """Queues a record."""
        queued = QueuedRecord(record)
        if isinstance(record, claims.Claimed):
            self._claims[record.entry.claim_id] = queued
        elif isinstance(record, claims.Released):
            self._releases[record.claim_id] = queued
        self._records.append(queued)
        self.idle.clear()
        self.has_records.set()
        return queued

    def take_batch(self) -> list[QueuedRecord]:
        """Removes and returns as many records as one write may hold."""
        batch: list[QueuedRecord] = []
        size_bytes = 0
        while self._records and size_bytes < _BATCH_LIMIT_BYTES:
            queued = self._records.pop(0)
            # No request waits for this claim, so it need not be written.
            if queued.is_abandoned:
                self._fail(queued)
                continue
            batch.append(queued)
            size_bytes += len(claims.encode_record(queued.record))
        if not self._records:
            self.has_records.clear()
        if not batch:
            self.update_idle()
        return batch

    def fail_claims_and_requeue(self, batch: list[QueuedRecord]) -> None:
        """Fails the claims of an unwritten batch and requeues the rest."""
        kept = [q for q in batch if not isinstance(q.record, claims.Claimed)]
        for queued in batch:
            if isinstance(queued.record, claims.Claimed):
                self._fail(queued)
        self.requeue(kept)
        if self._records:
            self.has_records.set()
        self.update_idle()

    def requeue(self, batch: list[QueuedRecord]) -> None:
        """Puts a batch back in front, so that ``fail_all`` includes it."""
        self._records[:0] = batch

    def fail_all(self) -> None:
        """Marks all queued records as not committed."""
        for queued in list(self._records):
            self._fail(queued)

    def mark_committed(self, queued: QueuedRecord) -> None:
        """Marks a record as committed."""
        self._remove(queued)
        queued.committed.set(True)

    def update_idle(self) -> None:
        """Sets ``idle`` after a write if no record waits."""
        if not self._records:
            self.idle.set()

    def _fail(self, queued: QueuedRecord) -> None:
        self._remove(queued)
        queued.committed.set(False)

    def _remove(self, queued: QueuedRecord) -> None:
        record = queued.record
        if isinstance(record, claims.Claimed):
            self._claims.pop(record.entry.claim_id, None)
        elif isinstance(record, claims.Released):
            self._releases.pop(record.claim_id, None)

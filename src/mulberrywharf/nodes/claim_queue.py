"""The records of one claim shard that wait to be committed."""

import gevent.event

from mulberrywharf.nodes import claims

_BATCH_LIMIT_BYTES = 256 * 1024
_QUEUE_LIMIT_COUNT = 4096


class QueuedRecord:
    """A record on its way into the log.

    Attributes:
        record: The record.
        committed: Set to True once it is in the log, False if it never will.
        is_abandoned: Whoever asked was told ``unavailable`` meanwhile.
    """

    def __init__(self, record: claims.Record):
        self.record = record
        self.committed = gevent.event.AsyncResult()
        self.is_abandoned = False

    @property
    def token(self) -> int:
        """The attempt that the record is about."""
        record = self.record
        return (
            record.entry.token
            if isinstance(record, claims.Claimed)
            else record.token
        )

    def wait(self, timeout_s: float) -> bool:
        """Waits for the record; True once it is in the log."""
        self.committed.wait(max(0.0, timeout_s))
        # Read afresh: the record may have been settled between the end of the
        # timeout and the moment this greenlet ran again.
        return bool(self.committed.value)


class CommitQueue:
    """Records in the order in which they are to be committed.

    A record stays known by its claim from ``add`` until it is settled or has
    failed, also while it is being written.

    Attributes:
        filled: Set while something waits to be cut into a batch.
        idle: Set while nothing waits and nothing is being written.
    """

    def __init__(self) -> None:
        self.filled = gevent.event.Event()
        self.idle = gevent.event.Event()
        self.idle.set()
        self._records: list[QueuedRecord] = []
        self._claims: dict[bytes, QueuedRecord] = {}
        self._releases: dict[bytes, QueuedRecord] = {}

    @property
    def is_full(self) -> bool:
        """Whether no further claim should be taken in."""
        return len(self._records) >= _QUEUE_LIMIT_COUNT

    def queued_claim(self, claim_id: bytes) -> QueuedRecord | None:
        """Returns the claim's record on its way, if there is one."""
        return self._claims.get(claim_id)

    def queued_release(self, claim_id: bytes) -> QueuedRecord | None:
        """Returns the release's record on its way, if there is one."""
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
        self.filled.set()
        return queued

    def cut_batch(self) -> list[QueuedRecord]:
        """Takes the next records off, as many as one write may hold."""
        batch: list[QueuedRecord] = []
        size_bytes = 0
        while self._records and size_bytes < _BATCH_LIMIT_BYTES:
            queued = self._records.pop(0)
            # A claim that nobody waits for any more need not be written.
            if queued.is_abandoned:
                self._fail(queued)
                continue
            batch.append(queued)
            size_bytes += len(claims.encode_record(queued.record))
        if not self._records:
            self.filled.clear()
        if not batch:
            self.note_idle()
        return batch

    def put_back(self, batch: list[QueuedRecord]) -> None:
        """Fails claims that were surely not written; keeps the rest."""
        kept = [q for q in batch if not isinstance(q.record, claims.Claimed)]
        for queued in batch:
            if isinstance(queued.record, claims.Claimed):
                self._fail(queued)
        self.put_all_back(kept)
        if self._records:
            self.filled.set()
        self.note_idle()

    def put_all_back(self, batch: list[QueuedRecord]) -> None:
        """Puts a batch in front again, to fail with the rest."""
        self._records[:0] = batch

    def fail_all(self) -> None:
        """Tells everybody who waits that their record is not committed."""
        for queued in list(self._records):
            self._fail(queued)

    def settle(self, queued: QueuedRecord) -> None:
        """Tells who waits that the record is in the log."""
        self._forget(queued)
        queued.committed.set(True)

    def note_idle(self) -> None:
        """Notes the end of a write."""
        if not self._records:
            self.idle.set()

    def _fail(self, queued: QueuedRecord) -> None:
        self._forget(queued)
        queued.committed.set(False)

    def _forget(self, queued: QueuedRecord) -> None:
        record = queued.record
        if isinstance(record, claims.Claimed):
            self._claims.pop(record.entry.claim_id, None)
        elif isinstance(record, claims.Released):
            self._releases.pop(record.claim_id, None)

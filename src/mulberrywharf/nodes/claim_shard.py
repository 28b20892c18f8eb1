"""One claim shard at its owner: replies to claims, commits them in batches."""

from typing import NamedTuple

import gevent
import gevent.event
from result import Err, Ok, Result

from mulberrywharf import clock, errors, supervised_task
from mulberrywharf.nodes import claim_log, claim_queue, claims, messages

BATCH_DELAY_S = 0.003
"""How long the first record of a batch waits for further records."""

COMMIT_INTERVAL_S = 0.1
"""Minimum time between two commits; limits the write rate of a shard."""

REPLY_TIMEOUT_S = 2.0
"""The reply is ``unavailable`` if the commit takes longer."""

ENTRIES_LIMIT_COUNT = 20_000
"""Claims that a shard can store; requests beyond are refused as not run."""

_EXPIRY_MARGIN_S = 60.0
_RELEASED_TOKENS_LIMIT_COUNT = 4096
_EXPIRE_INTERVAL_S = 5.0
_WAIT_LIMIT_S = 60.0

_NOT_OWNER = messages.ClaimReply("not-owner")
_UNAVAILABLE = messages.ClaimReply("unavailable")
_ACCEPTED = messages.ClaimReply("accepted")
_NOT_FOUND = messages.ClaimReply("not-found")


class ShardStatistics(NamedTuple):
    """Counts since this process became the owner.

    Attributes:
        records_count: Committed records.
        commits_count: Writes that committed them.
    """

    records_count: int
    commits_count: int


class ClaimShard:
    """The owner's side of one shard; a single greenlet commits the records."""

    def __init__(
        self,
        log: claim_log.ClaimLog,
        system_clock: clock.Clock,
        *,
        window_s: float = claims.WINDOW_S,
    ):
        self._log = log
        self._clock = system_clock
        self._window_s = window_s
        self._table = claims.Table(window_s)
        self._queue = claim_queue.CommitQueue()
        self._released_tokens: dict[int, None] = {}
        self._waiters: dict[bytes, gevent.event.Event] = {}
        self._task: gevent.Greenlet | None = None
        self._next_expiry_s = 0.0
        self._records_count = 0
        self._commits_count = 0
        self.is_owner = False

    @property
    def statistics(self) -> ShardStatistics:
        """Counts since this process became the owner."""
        return ShardStatistics(self._records_count, self._commits_count)

    def start(self) -> Result[None, errors.PlatformError]:
        """Reads the log and starts to serve the shard."""
        replayed = self._log.replay(self._table, self._clock.unix_s())
        if isinstance(replayed, Err):
            return replayed
        self.is_owner = True
        # A shard that failed is closed; its owner reads its log anew.
        self._task = supervised_task.spawn(
            "claim-shard", self._run, on_failure=self.close
        )
        return Ok(None)

    def close(self) -> None:
        """Stops at once; waiting calls get the reply ``not-owner``."""
        self.is_owner = False
        if self._task is not None and self._task is not gevent.getcurrent():
            self._task.kill()
        self._task = None
        self._queue.fail_all()
        for event in self._waiters.values():
            event.set()

    def finish(self, timeout_s: float) -> None:
        """Refuses new messages, commits the queued records and stops."""
        self.is_owner = False
        self._queue.idle.wait(timeout_s)
        self.close()

    def claim(
        self, sender_vm_id: str, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Replies once the claim is committed or an earlier one is found."""
        deadline_s = self._clock.monotonic_s() + REPLY_TIMEOUT_S
        while self.is_owner:
            # This request may have been delayed, in the network or while it
            # waited here for the commit, until after its own attempt was
            # released. If the claim were granted now, nobody would run it.
            if request.token in self._released_tokens:
                return _UNAVAILABLE
            left_s = deadline_s - self._clock.monotonic_s()
            # A claim whose release is not committed yet is neither held nor
            # free. If it were granted again now, the release would free the
            # new holder's claim, and a third request could run concurrently.
            release_record = self._queue.queued_release(request.claim_id)
            if release_record is not None:
                if not release_record.wait(left_s):
                    return _UNAVAILABLE
                continue
            entry = self._table.get(request.claim_id)
            if entry is not None:
                return self._reply_to_duplicate(entry, request)
            reply = self._queue_claim(sender_vm_id, request, left_s)
            if reply is not None:
                return reply
        return _NOT_OWNER

    def complete(self, request: messages.ClaimComplete) -> messages.ClaimReply:
        """Records the answer of a run."""
        if not self.is_owner:
            return _NOT_OWNER
        entry = self._table.get(request.claim_id)
        if entry is None or entry.token != request.token:
            return _NOT_FOUND
        if entry.is_done:
            return _ACCEPTED
        record = claims.Completed(
            request.claim_id,
            request.token,
            request.status,
            request.answer_digest,
            request.answer,
        )
        return self._commit_and_reply(record)

    def release(self, request: messages.ClaimRelease) -> messages.ClaimReply:
        """Releases a claim whose request was not run."""
        if not self.is_owner:
            return _NOT_OWNER
        self._record_released_token(request.token)
        queued = self._queue.queued_claim(request.claim_id)
        if queued is not None and queued.token == request.token:
            queued.is_abandoned = True
            # Waits for the claim's write: if the release were accepted before
            # and this owner then exited, the release would be lost while the
            # write might still take effect.
            queued.committed.wait(REPLY_TIMEOUT_S)
            if not queued.committed.ready():
                return _UNAVAILABLE
            if not self.is_owner:
                return _NOT_OWNER
        entry = self._table.get(request.claim_id)
        if entry is None or entry.token != request.token or entry.is_done:
            return _NOT_FOUND
        release_record = self._queue.queued_release(request.claim_id)
        if release_record is None:
            release_record = self._queue.add(
                claims.Released(request.claim_id, request.token)
            )
        if release_record.wait(REPLY_TIMEOUT_S):
            return _ACCEPTED
        return _UNAVAILABLE if self.is_owner else _NOT_OWNER

    def wait(self, request: messages.ClaimWait) -> messages.ClaimReply:
        """Waits until the run is no longer in progress or the wait is over."""
        deadline_s = self._clock.monotonic_s() + min(
            request.wait_s, _WAIT_LIMIT_S
        )
        while self.is_owner:
            entry = self._table.get(request.claim_id)
            if entry is None:
                return _NOT_FOUND
            now_unix_s = self._clock.unix_s()
            left_s = deadline_s - self._clock.monotonic_s()
            if entry.state(now_unix_s) != "in-progress" or left_s <= 0:
                return _reply_of(entry, now_unix_s)
            run_left_s = entry.run_until_unix_s - now_unix_s
            event = self._waiters.setdefault(
                request.claim_id, gevent.event.Event()
            )
            event.wait(max(0.01, min(left_s, run_left_s)))
        return _NOT_OWNER

    def _record_released_token(self, token: int) -> None:
        self._released_tokens[token] = None
        if len(self._released_tokens) > _RELEASED_TOKENS_LIMIT_COUNT:
            del self._released_tokens[next(iter(self._released_tokens))]

    def _reply_to_duplicate(
        self, entry: claims.Entry, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        if entry.body_digest != request.body_digest:
            return messages.ClaimReply("key-reused")
        reply = _reply_of(entry, self._clock.unix_s())
        # The same attempt repeats its request because the first reply was
        # lost, for instance when the owner that committed the claim exited.
        if entry.token == request.token and reply.kind == "in-progress":
            return reply._replace(kind="granted")
        return reply

    def _queue_claim(
        self, sender_vm_id: str, request: messages.ClaimRequest, left_s: float
    ) -> messages.ClaimReply | None:
        """Queues the claim and waits; None means check the table again."""
        queued = self._queue.queued_claim(request.claim_id)
        if queued is None:
            if self._is_full():
                return _UNAVAILABLE
            queued = self._queue.add(
                self._claimed_record(sender_vm_id, request)
            )
        is_own = queued.token == request.token
        if is_own:
            queued.is_abandoned = False
        if queued.wait(left_s):
            return None
        if queued.committed.ready():
            # The record was not written. If it is another attempt's record,
            # its failure says nothing about this attempt.
            surely_failed = is_own and self.is_owner
            return _UNAVAILABLE if surely_failed else None
        if is_own:
            queued.is_abandoned = True
        return _UNAVAILABLE

    def _claimed_record(
        self, sender_vm_id: str, request: messages.ClaimRequest
    ) -> claims.Claimed:
        now_unix_s = self._clock.unix_s()
        run_bound_s = request.run_bound_s
        if not 0 < run_bound_s <= self._window_s:
            run_bound_s = self._window_s
        return claims.Claimed(
            claims.Entry(
                request.claim_id,
                request.body_digest,
                request.request_id,
                request.token,
                sender_vm_id,
                request.runner_ip,
                request.runner_port,
                now_unix_s,
                now_unix_s + run_bound_s,
            )
        )

    def _is_full(self) -> bool:
        return self._queue.is_full or len(self._table) >= ENTRIES_LIMIT_COUNT

    def _commit_and_reply(self, record: claims.Record) -> messages.ClaimReply:
        queued = self._queue.add(record)
        if queued.wait(REPLY_TIMEOUT_S):
            return _ACCEPTED
        return _UNAVAILABLE if self.is_owner else _NOT_OWNER

    def _run(self) -> None:
        # ``finish`` ends the ownership and waits for what is queued.
        while self.is_owner or self._queue.has_records.is_set():
            if self._queue.has_records.wait(_EXPIRE_INTERVAL_S):
                gevent.sleep(BATCH_DELAY_S)
                if not self._commit_batch():
                    self.close()
                    return
                gevent.sleep(COMMIT_INTERVAL_S)
            self._expire()

    def _commit_batch(self) -> bool:
        """Commits one batch; returns False if the ownership is lost."""
        batch = self._queue.take_batch()
        if not batch:
            return True
        appended = self._log.append(
            [queued.record for queued in batch],
            self._clock.unix_s(),
            REPLY_TIMEOUT_S,
        )
        if isinstance(appended, Err):
            if isinstance(appended.err_value, errors.AuthorityLostError):
                self._queue.requeue(batch)
                return False
            self._queue.fail_claims_and_requeue(batch)
            return True
        self._commits_count += 1
        self._records_count += len(batch)
        for queued in batch:
            self._apply_committed(queued)
        self._queue.update_idle()
        return True

    def _apply_committed(self, queued: claim_queue.QueuedRecord) -> None:
        record = queued.record
        self._table.apply(record)
        self._queue.mark_committed(queued)
        if isinstance(record, claims.Claimed):
            # The caller was told that its request did not run. The committed
            # claim is released, as it would block the caller's next attempt.
            if queued.is_abandoned:
                self._queue.add(
                    claims.Released(record.entry.claim_id, record.entry.token)
                )
            return
        event = self._waiters.pop(record.claim_id, None)
        if event is not None:
            event.set()

    def _expire(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + _EXPIRE_INTERVAL_S
        now_unix_s = self._clock.unix_s()
        self._table.expire(now_unix_s)
        for claim in list(self._waiters):
            if self._table.get(claim) is None:
                self._waiters.pop(claim).set()
        self._log.delete_expired(now_unix_s, self._window_s + _EXPIRY_MARGIN_S)


def _reply_of(entry: claims.Entry, now_unix_s: float) -> messages.ClaimReply:
    return messages.ClaimReply(
        entry.state(now_unix_s),
        entry.runner_vm_id,
        entry.runner_ip,
        entry.runner_port,
        entry.status,
        entry.answer_digest,
        entry.answer,
        entry.request_id,
    )

"""One claim shard at its owner: answers claims, commits them in groups."""

from typing import NamedTuple

import gevent
import gevent.event
from result import Err, Ok, Result

from mulberrywharf import clock, errors
from mulberrywharf.nodes import claim_log, claim_queue, claims, messages

GATHER_S = 0.003
"""The first claim of a group waits so long for others."""

COMMIT_INTERVAL_S = 0.1
"""Least time between two commits, which bounds the writes of a shard."""

ANSWER_WITHIN_S = 2.0
"""A claim that is not committed by then is answered ``unavailable``."""

ENTRIES_LIMIT_COUNT = 20_000
"""Claims that a shard remembers; more are refused as not run."""

_EXPIRY_MARGIN_S = 60.0
_GIVEN_UP_LIMIT_COUNT = 4096
_EXPIRE_INTERVAL_S = 5.0
_WAIT_LIMIT_S = 60.0

_NOT_OWNER = messages.ClaimReply("not-owner")
_UNAVAILABLE = messages.ClaimReply("unavailable")
_ACCEPTED = messages.ClaimReply("accepted")
_NOT_FOUND = messages.ClaimReply("not-found")


class ShardStatistics(NamedTuple):
    """Counts since the ownership began.

    Attributes:
        records_count: Records committed.
        commits_count: Writes that committed them.
    """

    records_count: int
    commits_count: int


class ClaimShard:
    """The owner's side of one shard; one task commits."""

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
        self._given_up_tokens: dict[int, None] = {}
        self._waiters: dict[bytes, gevent.event.Event] = {}
        self._task: gevent.Greenlet | None = None
        self._next_expiry_s = 0.0
        self._records_count = 0
        self._commits_count = 0
        self.is_owner = False

    @property
    def statistics(self) -> ShardStatistics:
        """Counts since the ownership began."""
        return ShardStatistics(self._records_count, self._commits_count)

    def start(self) -> Result[None, errors.PlatformError]:
        """Reads the log and begins to answer."""
        replayed = self._log.replay(self._table, self._clock.unix_s())
        if isinstance(replayed, Err):
            return replayed
        self.is_owner = True
        self._task = gevent.spawn(self._run)
        return Ok(None)

    def close(self) -> None:
        """Stops at once; whoever waits is sent to the next owner."""
        self.is_owner = False
        if self._task is not None and self._task is not gevent.getcurrent():
            self._task.kill()
        self._task = None
        self._queue.fail_all()
        for event in self._waiters.values():
            event.set()

    def finish(self, timeout_s: float) -> None:
        """Commits what is queued, takes nothing new, then stops."""
        self.is_owner = False
        self._queue.idle.wait(timeout_s)
        self.close()

    def claim(
        self, sender_vm_id: str, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Answers a claim once it is known to be committed or met."""
        deadline_s = self._clock.monotonic_s() + ANSWER_WITHIN_S
        while self.is_owner:
            # The question may be older than the release of the same attempt:
            # held up in the network, or waiting here for the very commit that
            # the release undid. Granted now, it would be run by nobody.
            if request.token in self._given_up_tokens:
                return _UNAVAILABLE
            left_s = deadline_s - self._clock.monotonic_s()
            # A claim that is being released is neither held nor free: to
            # grant it again now would let the release free it under its
            # new holder, and a third request would run beside it.
            leaving = self._queue.queued_release(request.claim_id)
            if leaving is not None:
                if not leaving.wait(left_s):
                    return _UNAVAILABLE
                continue
            entry = self._table.get(request.claim_id)
            if entry is not None:
                return self._met(entry, request)
            reply = self._take(sender_vm_id, request, left_s)
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
        """Frees a claim whose request was not run."""
        if not self.is_owner:
            return _NOT_OWNER
        self._note_given_up(request.token)
        queued = self._queue.queued_claim(request.claim_id)
        if queued is not None and queued.token == request.token:
            queued.is_abandoned = True
            # Accepted any earlier, the release would be forgotten with this
            # owner while the claim's write, still under way, might survive.
            queued.committed.wait(ANSWER_WITHIN_S)
            if not queued.committed.ready():
                return _UNAVAILABLE
            if not self.is_owner:
                return _NOT_OWNER
        entry = self._table.get(request.claim_id)
        if entry is None or entry.token != request.token or entry.is_done:
            return _NOT_FOUND
        leaving = self._queue.queued_release(request.claim_id)
        if leaving is None:
            leaving = self._queue.add(
                claims.Released(request.claim_id, request.token)
            )
        if leaving.wait(ANSWER_WITHIN_S):
            return _ACCEPTED
        return _UNAVAILABLE if self.is_owner else _NOT_OWNER

    def wait(self, request: messages.ClaimWait) -> messages.ClaimReply:
        """Waits until the run in progress has ended one way or another."""
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

    def _note_given_up(self, token: int) -> None:
        self._given_up_tokens[token] = None
        if len(self._given_up_tokens) > _GIVEN_UP_LIMIT_COUNT:
            del self._given_up_tokens[next(iter(self._given_up_tokens))]

    def _met(
        self, entry: claims.Entry, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        if entry.body_digest != request.body_digest:
            return messages.ClaimReply("key-reused")
        reply = _reply_of(entry, self._clock.unix_s())
        # The same attempt asks again because the answer to its first question
        # was lost, for instance with the owner that committed it.
        if entry.token == request.token and reply.kind == "in-progress":
            return reply._replace(kind="granted")
        return reply

    def _take(
        self, sender_vm_id: str, request: messages.ClaimRequest, left_s: float
    ) -> messages.ClaimReply | None:
        """Queues the claim and waits; None means look at the table again."""
        queued = self._queue.queued_claim(request.claim_id)
        if queued is None:
            if self._is_full():
                return _UNAVAILABLE
            queued = self._queue.add(self._claimed(sender_vm_id, request))
        is_own = queued.token == request.token
        if is_own:
            queued.is_abandoned = False
        if queued.wait(left_s):
            return None
        if queued.committed.ready():
            # Not written. Another attempt's failure is not this one's.
            surely_failed = is_own and self.is_owner
            return _UNAVAILABLE if surely_failed else None
        if is_own:
            queued.is_abandoned = True
        return _UNAVAILABLE

    def _claimed(
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
        if queued.wait(ANSWER_WITHIN_S):
            return _ACCEPTED
        return _UNAVAILABLE if self.is_owner else _NOT_OWNER

    def _run(self) -> None:
        while True:
            if self._queue.filled.wait(_EXPIRE_INTERVAL_S):
                gevent.sleep(GATHER_S)
                if not self._commit_batch():
                    self.close()
                    return
                gevent.sleep(COMMIT_INTERVAL_S)
            self._expire()

    def _commit_batch(self) -> bool:
        """Commits part of the queue; False if the ownership is lost."""
        batch = self._queue.cut_batch()
        if not batch:
            return True
        appended = self._log.append(
            [queued.record for queued in batch],
            self._clock.unix_s(),
            ANSWER_WITHIN_S,
        )
        if isinstance(appended, Err):
            if isinstance(appended.err_value, errors.AuthorityLostError):
                self._queue.put_all_back(batch)
                return False
            self._queue.put_back(batch)
            return True
        self._commits_count += 1
        self._records_count += len(batch)
        for queued in batch:
            self._settle(queued)
        self._queue.note_idle()
        return True

    def _settle(self, queued: claim_queue.QueuedRecord) -> None:
        record = queued.record
        self._table.apply(record)
        self._queue.settle(queued)
        if isinstance(record, claims.Claimed):
            # The asker was told that nothing runs, so the key must be free
            # for his next try; committed all the same, it would block him.
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

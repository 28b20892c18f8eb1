"""Tracks which requests are suspected of crashing the servers that run them.

If the caller of a request that crashes servers repeats it, or requests with
such a part in their prompts keep coming, one server after another becomes
unavailable to all other requests. Gateways see a crash as the end of the
server's process.

Evidence is what each server was running when it ended, and what went well
since. A request that completed is not the cause. A part is not the cause if an
answer to a request with it began. A request without any output is a more likely
cause than one that was already producing its answer.
"""

import collections
from collections.abc import Collection, Iterable
from typing import NamedTuple

from mulberrywharf.policy import crash_blocks

SUSPECT_KEPT_S = 600.0
"""A request stays blocked for this long after the last server ended that ran
it. After that, single requests are let through as trials, because servers may
have been repaired in the meantime."""

TRIAL_RESULT_S = 10.0
"""Time after the start of a trial until the next one may start. The result of a
trial is usually known earlier."""

TRIAL_KEPT_S = 3_600.0
"""Evidence of a block expires this long after the block would have ended, if no
request came for a trial."""

TRIAL_SPREAD_S = 20.0
"""Gateways begin with trials at random times within this range, so that they
hear of the first one before they start their own."""

COMPLETED_KEPT_S = 10.0
"""Time after its completion for which a request is not suspected. Without this,
a request that many callers send would be blocked when all servers of a service
end together."""

ANSWERED_KEPT_S = 2.0
ANSWERED_KEPT_COUNT = 16
"""A part is not suspected if an answer to a request with it began less than
``ANSWERED_KEPT_S`` before the server ended, or if fewer than
``ANSWERED_KEPT_COUNT`` answers of its service began since. During an outage of
a service there are no answers, also to requests with harmless parts."""

RECENT_END_S = 8.0
"""For this long after a server ended before any output of a request, the
request is not sent to the only server left that could run it. Servers usually
restart within seconds."""

SUSPECT_PART_ENDS_COUNT = 2
"""From this many ended servers on, requests with a part are sent one at a time
and not to the only server left."""

PART_TRIAL_RESULT_S = 0.5
"""Time after which the next request with a suspected part is sent, if the
result of the one before is still unknown."""

PART_TRIAL_LIMIT_S = 2.0
"""Longest time between two trials of a suspected part. Servers that ended are
back after some seconds, and callers wait about as long."""

SUSPECTS_LIMIT_COUNT = 1_024
COMPLETED_LIMIT_COUNT = 2_048
ANSWERED_LIMIT_COUNT = 8_192
_ENDS_PER_REQUEST_LIMIT_COUNT = 4
_TRIALS_LIMIT_COUNT = 256
_EXPIRY_INTERVAL_S = 1.0


class ServerEnd(NamedTuple):
    """The end of a server while it ran a request.

    Attributes:
        server_key: Identifies the run of the server's process that ended (a
            hash of its ``fleet.ServerStart``).
        made_output: Whether any part of the answer had arrived.
        at_s: Monotonic time of the end.
    """

    server_key: int
    made_output: bool
    at_s: float


class Answered(NamedTuple):
    """The last answer to a request with a part.

    Attributes:
        customer: The customer of the request.
        at_s: Monotonic time at which the answer began.
        service: Service that answered, empty if another gateway reports it.
        service_count: Number of this gateway's answers of the service then.
    """

    customer: int
    at_s: float
    service: str = ""
    service_count: int = 0


class CrashSuspects:
    """Records what was running when servers ended, and what succeeded.

    Recording is idempotent and independent of the order, so gateways that
    exchange their observations block the same requests.
    """

    def __init__(self, trial_delay_s: float = 0.0) -> None:
        """Creates it without evidence.

        Args:
            trial_delay_s: Delay of this gateway's trials, see
                ``TRIAL_SPREAD_S``.
        """
        self._trial_delay_s = trial_delay_s
        self._runs: collections.OrderedDict[
            int, dict[int, crash_blocks.LostRun]
        ] = collections.OrderedDict()
        self._completed_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._answered: collections.OrderedDict[
            crash_blocks.PartTrait, Answered
        ] = collections.OrderedDict()
        self._answers_counts: collections.Counter[str] = collections.Counter()
        self._answers_count = 0
        self._last_answers_s: collections.deque[float] = collections.deque(
            maxlen=crash_blocks.OTHER_ANSWERS_COUNT
        )
        self._awaited_answers_count = 0
        self._trials_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._blocks: list[crash_blocks.Block] = []
        self._by_part: dict[
            crash_blocks.PartTrait, list[crash_blocks.LostRun]
        ] = {}
        self._is_changed = False
        self._expire_from_s = float("-inf")

    def record_server_end(
        self,
        traits: crash_blocks.Traits,
        end: ServerEnd,
        *,
        is_accepted: bool = False,
    ) -> bool:
        """Records that a server ended while it ran a request.

        Args:
            traits: What the request has in common with others.
            end: The end.
            is_accepted: Whether it is the reason of a block elsewhere.

        Returns:
            Whether this is new information; False also for a request that
            completed recently.
        """
        self._drop_expired(end.at_s)
        fingerprint = traits.fingerprint
        if fingerprint in self._completed_s:
            return False
        runs = self._runs.setdefault(fingerprint, {})
        known = runs.get(end.server_key)
        if known is not None and (known.made_output or not end.made_output):
            return False
        answers_count = None if is_accepted else self._answers_before(end.at_s)
        runs[end.server_key] = self._lost_run(traits, end, answers_count)
        while len(runs) > _ENDS_PER_REQUEST_LIMIT_COUNT:
            del runs[next(iter(runs))]
        self._runs.move_to_end(fingerprint)
        self._is_changed = True
        self._awaited_answers_count = (
            self._answers_count + crash_blocks.OTHER_ANSWERS_COUNT
        )
        if len(self._runs) > SUSPECTS_LIMIT_COUNT:
            self._evict_oldest()
        return True

    def record_completed(self, fingerprint: int, now_s: float) -> bool:
        """Records that a request completed, which clears the suspicion.

        Returns:
            Whether the request was suspected.
        """
        self._completed_s[fingerprint] = now_s
        self._completed_s.move_to_end(fingerprint)
        if len(self._completed_s) > COMPLETED_LIMIT_COUNT:
            self._completed_s.popitem(last=False)
        if self._runs.pop(fingerprint, None) is None:
            return False
        self._is_changed = True
        return True

    def record_answer_began(
        self, customer: int, parts: Collection[int], service: str, now_s: float
    ) -> frozenset[int]:
        """Records the first output for a request with parts.

        Returns:
            The parts that this clears of suspicion.
        """
        self._answers_counts[service] += 1
        self._answers_count += 1
        self._last_answers_s.append(now_s)
        if self._answers_count <= self._awaited_answers_count:
            self._is_changed = True
        answered = Answered(
            customer, now_s, service, self._answers_counts[service]
        )
        cleared = self._suspected_of(parts, customer)
        for part in parts:
            self._note_answered(part, answered)
        if cleared:
            self._clear_parts(cleared, answered)
        return cleared

    def record_part_cleared(self, part: int, answered: Answered) -> None:
        """Records that another gateway saw an answer to a request with a part.

        Args:
            part: Key of the part.
            answered: The answer.
        """
        known = self._answered.get(
            crash_blocks.PartTrait(part, answered.customer)
        )
        if known is None or known.at_s < answered.at_s:
            self._note_answered(part, answered)
        self._clear_parts(frozenset({part}), answered)

    def unsuspected_parts(
        self, traits: crash_blocks.Traits, end: ServerEnd
    ) -> dict[int, Answered]:
        """Returns the parts that are no cause of an end, with their answers.

        Those are only answers by which other gateways clear a part, too.
        """
        found = {}
        for part in traits.parts:
            for customer in (traits.customer, None):
                answered = self._answered.get(
                    crash_blocks.PartTrait(part, customer)
                )
                if answered and answered.at_s > end.at_s - ANSWERED_KEPT_S:
                    found[part] = answered
                    break
        return found

    def ends(self, fingerprint: int, now_s: float) -> tuple[ServerEnd, ...]:
        """Returns the server ends of a request, in the order first recorded."""
        return tuple(
            ServerEnd(run.server_key, run.made_output, run.at_s)
            for run in self.runs(fingerprint, now_s)
        )

    def has_ended_server_since(
        self, fingerprint: int, since_s: float, now_s: float
    ) -> bool:
        """Returns whether a server ended before any output of a request.

        Args:
            fingerprint: The request.
            since_s: Earlier ends don't count.
            now_s: Monotonic time.
        """
        return any(
            run.at_s >= since_s and not run.made_output
            for run in self.runs(fingerprint, now_s)
        )

    def runs(
        self, fingerprint: int, now_s: float
    ) -> tuple[crash_blocks.LostRun, ...]:
        """Returns the lost runs of a request, in the order first recorded."""
        self._drop_expired(now_s)
        return tuple(self._runs.get(fingerprint, {}).values())

    def is_repeated(self, fingerprint: int) -> bool:
        """Returns whether servers ended more often under what a request has.

        That is the whole request or one of its suspected parts.
        """
        runs = self._runs.get(fingerprint, {})
        if len(runs) > 1:
            return True
        parts = frozenset().union(*(run.parts for run in runs.values()))
        return any(
            run.fingerprint != fingerprint and not parts.isdisjoint(run.parts)
            for run in self._all_runs()
        )

    def has_server_end(self, fingerprint: int, server_key: int) -> bool:
        """Returns whether the end of a server is recorded for a request."""
        return server_key in self._runs.get(fingerprint, {})

    def is_recent_suspect(
        self, traits: crash_blocks.Traits, now_s: float
    ) -> bool:
        """Returns whether a server recently ended before the request's output.

        That is also so if ``SUSPECT_PART_ENDS_COUNT`` servers ended under
        requests with the same suspected part. Ends that are ``RECENT_END_S``
        old or older do not count.
        """
        self._drop_expired(now_s)
        runs = self._runs.get(traits.fingerprint, {}).values()
        return any(
            not run.made_output and now_s - run.at_s < RECENT_END_S
            for run in runs
        ) or bool(self.suspected_parts(traits, now_s))

    def suspected_parts(
        self, traits: crash_blocks.Traits, now_s: float
    ) -> frozenset[int]:
        """Returns the parts of a request under which servers recently ended.

        Those are only parts under which ``SUSPECT_PART_ENDS_COUNT`` ended.
        """
        self._drop_expired(now_s)
        self._decide()
        return frozenset(
            part
            for part in traits.parts
            if any(
                self._recent_ends_count(part, customer, now_s)
                >= SUSPECT_PART_ENDS_COUNT
                for customer in (traits.customer, None)
            )
        )

    def _recent_ends_count(
        self, part: int, customer: int | None, now_s: float
    ) -> int:
        runs = self._by_part.get(crash_blocks.PartTrait(part, customer), ())
        return len(
            crash_blocks.servers_of(
                run for run in runs if now_s - run.at_s < RECENT_END_S
            )
        )

    def trial_delay_s_of(
        self, parts: Iterable[int], customer: int, now_s: float
    ) -> float:
        """Returns the time until a request with suspected parts may be sent.

        Requests with such parts are sent one at a time, so that the first one
        decides on the part before the next one ends another server. Each trial
        that ended one doubles the time, in which answers to other requests
        show whether the part is the cause.

        Args:
            parts: The suspected parts.
            customer: Identifies the customer.
            now_s: Monotonic time.
        """
        self._decide()
        return max(
            (
                self._trials_s[part]
                + self._trial_interval_s(part, customer, now_s)
                - now_s
                for part in parts
                if part in self._trials_s
            ),
            default=0.0,
        )

    def _trial_interval_s(
        self, part: int, customer: int, now_s: float
    ) -> float:
        ends_count = max(
            self._recent_ends_count(part, one, now_s)
            for one in (customer, None)
        )
        doublings_count = max(0, ends_count - SUSPECT_PART_ENDS_COUNT)
        return min(
            PART_TRIAL_LIMIT_S, PART_TRIAL_RESULT_S * 2.0**doublings_count
        )

    def ended_servers(self) -> frozenset[int]:
        """Returns the keys of servers that ended under suspected requests."""
        return crash_blocks.servers_of(self._all_runs())

    def block_of(
        self, traits: crash_blocks.Traits, now_s: float
    ) -> crash_blocks.Block | None:
        """Returns why a request must not be sent to any server, if it must not.

        One that may be tried is included; see ``may_try``.
        """
        for block in self.blocks(now_s):
            if block.covers(traits):
                return block
        return None

    def is_blocked(self, traits: crash_blocks.Traits, now_s: float) -> bool:
        """Returns whether a request must not be sent to any server."""
        return self.block_of(traits, now_s) is not None

    def retry_after_s(self, block: crash_blocks.Block, now_s: float) -> float:
        """Returns the time until a blocked request may be sent."""
        return max(0.0, self._trial_from_s(block) - now_s)

    def kept_for_s(self, block: crash_blocks.Block, now_s: float) -> float:
        """Returns the time until the evidence of a block expires."""
        return block.last_end_s + SUSPECT_KEPT_S + TRIAL_KEPT_S - now_s

    def may_try(self, block: crash_blocks.Block, now_s: float) -> bool:
        """Returns whether one blocked request may be sent as a trial."""
        return now_s >= self._trial_from_s(block)

    def record_trial(self, key: int, now_s: float) -> None:
        """Records that a gateway sends one request to learn its outcome.

        Args:
            key: Key of a block that may be tried, or a suspected part.
            now_s: Monotonic time.
        """
        self._trials_s[key] = now_s
        self._trials_s.move_to_end(key)
        if len(self._trials_s) > _TRIALS_LIMIT_COUNT:
            self._trials_s.popitem(last=False)

    def blocks(self, now_s: float) -> list[crash_blocks.Block]:
        """Returns what is blocked."""
        self._drop_expired(now_s)
        return self._decide()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._runs

    def _lost_run(
        self,
        traits: crash_blocks.Traits,
        end: ServerEnd,
        answers_count: int | None,
    ) -> crash_blocks.LostRun:
        parts: frozenset[int] = frozenset()
        shared_parts: frozenset[int] = frozenset()
        if not end.made_output:
            parts = frozenset(
                part
                for part in traits.parts
                if self._answer_about(part, traits.customer, end.at_s) is None
            )
            shared_parts = frozenset(
                part
                for part in parts
                if self._answer_about(part, None, end.at_s) is None
            )
        return crash_blocks.LostRun(
            traits.fingerprint,
            traits.customer,
            end.server_key,
            end.made_output,
            end.at_s,
            parts,
            shared_parts,
            answers_count,
        )

    def _answers_before(self, end_s: float) -> int:
        """Returns how many answers had begun shortly before an end."""
        from_s = end_s - ANSWERED_KEPT_S
        return self._answers_count - sum(
            at_s > from_s for at_s in self._last_answers_s
        )

    def _answer_about(
        self, part: int, customer: int | None, end_s: float
    ) -> Answered | None:
        """Returns the answer that clears a part of an end, if there is one."""
        answered = self._answered.get(crash_blocks.PartTrait(part, customer))
        if answered is None:
            return None
        answers_since = (
            self._answers_counts[answered.service] - answered.service_count
        )
        is_usual = bool(answered.service) and (
            answers_since < ANSWERED_KEPT_COUNT
        )
        if is_usual or answered.at_s > end_s - ANSWERED_KEPT_S:
            return answered
        return None

    def _note_answered(self, part: int, answered: Answered) -> None:
        for customer in (answered.customer, None):
            trait = crash_blocks.PartTrait(part, customer)
            self._answered[trait] = answered
            self._answered.move_to_end(trait)
        while len(self._answered) > ANSWERED_LIMIT_COUNT:
            self._answered.popitem(last=False)

    def _clear_parts(self, cleared: frozenset[int], answered: Answered) -> None:
        """Takes parts from the runs that ended before an answer with them."""
        until_s = answered.at_s + ANSWERED_KEPT_S
        for runs in self._runs.values():
            for server_key, run in runs.items():
                suspected = _parts_seen_by(run, answered.customer)
                if run.at_s >= until_s or cleared.isdisjoint(suspected):
                    continue
                self._is_changed = True
                parts = run.parts
                if run.customer == answered.customer:
                    parts = parts - cleared
                runs[server_key] = run._replace(
                    parts=parts, shared_parts=run.shared_parts - cleared
                )

    def _suspected_of(
        self, parts: Iterable[int], customer: int
    ) -> frozenset[int]:
        """Returns those of the parts that an answer to a customer clears."""
        found = frozenset(parts)
        return frozenset().union(
            *(found & _parts_seen_by(run, customer) for run in self._all_runs())
        )

    def _all_runs(self) -> Iterable[crash_blocks.LostRun]:
        return (run for runs in self._runs.values() for run in runs.values())

    def _runs_by_part(
        self,
    ) -> dict[crash_blocks.PartTrait, list[crash_blocks.LostRun]]:
        by_part: dict[crash_blocks.PartTrait, list[crash_blocks.LostRun]] = (
            collections.defaultdict(list)
        )
        for run in self._all_runs():
            for part in run.parts:
                trait = crash_blocks.PartTrait(part, run.customer)
                by_part[trait].append(run)
            for part in run.shared_parts:
                by_part[crash_blocks.PartTrait(part, None)].append(run)
        return by_part

    def _trial_from_s(self, block: crash_blocks.Block) -> float:
        from_s = block.last_end_s + SUSPECT_KEPT_S + self._trial_delay_s
        tried_s = self._trials_s.get(block.key)
        if tried_s is not None:
            from_s = max(from_s, tried_s + TRIAL_RESULT_S)
        return from_s

    def _decide(self) -> list[crash_blocks.Block]:
        if self._is_changed:
            self._is_changed = False
            self._by_part = self._runs_by_part()
            self._blocks = crash_blocks.decide(
                self._runs, self._by_part, self._answers_count
            )
        return self._blocks

    def _evict_oldest(self) -> None:
        """Drops the oldest request that no block was based on recently."""
        kept = {run.fingerprint for block in self._blocks for run in block.runs}
        oldest = next(
            (one for one in self._runs if one not in kept),
            next(iter(self._runs)),
        )
        del self._runs[oldest]

    def _drop_expired(self, now_s: float) -> None:
        """Drops expired entries; both tables are roughly ordered by time."""
        while self._completed_s:
            oldest = next(iter(self._completed_s))
            if now_s - self._completed_s[oldest] < COMPLETED_KEPT_S:
                break
            del self._completed_s[oldest]
        if now_s >= self._expire_from_s:
            self._expire_from_s = now_s + _EXPIRY_INTERVAL_S
            self._drop_expired_runs(now_s)

    def _drop_expired_runs(self, now_s: float) -> None:
        expired = []
        for fingerprint, runs in self._runs.items():
            last_s = max(run.at_s for run in runs.values())
            if now_s - last_s < SUSPECT_KEPT_S:
                break
            expired.append(fingerprint)
        if not expired:
            return
        kept = {
            run.fingerprint
            for block in self._decide()
            if self.kept_for_s(block, now_s) > 0
            for run in block.runs
        }
        for fingerprint in expired:
            if fingerprint not in kept:
                del self._runs[fingerprint]
                self._is_changed = True


def _parts_seen_by(run: crash_blocks.LostRun, customer: int) -> frozenset[int]:
    """Returns the parts of a run that a customer's answers may clear."""
    return run.parts if run.customer == customer else run.shared_parts

"""Estimates the load, queues and caches of engines.

The data are this gateway's own and those that the other gateways, its peers,
report.
"""

import collections
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.forwarding import (
    engine_loads,
    prompt_demand,
    prompt_parts,
    queue_owner_client,
    request,
    server_tracker,
)
from mulberrywharf.peers import notice_codec, queue_owners
from mulberrywharf.policy import (
    background_work,
    engine_queues,
    engine_speeds,
    home_hit_rate,
    observed_waits,
    part_caches,
    part_homes,
    priority_levels,
    prompt_placement,
    slot_waits,
)
from mulberrywharf.routes import table

_estimate_ratio = metrics.histogram(
    "mulberry_estimate_ratio",
    "Actual time to an engine's answer divided by the estimated time, by"
    " matter: read (prefill) or start (decode of a prefilled prompt).",
)


MAX_LEARNING_WAIT_SHARE = 0.1
"""Longest reported wait, as a share of a prompt's prefill time, with which the
answer still updates the prefill speed."""

_MIN_USUAL_S = 1e-4
MIN_SPEED_WORK_S = 0.05
"""Shortest prefill that tells an engine's lasting slowdown. A busy gateway and
the network add up to 10 ms to each."""

MAX_SPEED_RUNNING_SHARE = 0.5
"""Share of a decode engine's slots in use up to which a prefill there tells the
engine's lasting slowdown: prefills slow down as a batch fills."""

LEAST_PRIORITY = priority_levels.LOWEST_LEVEL
"""Lowest priority that engines accept for a request; 0 is served first."""


class Notices(Protocol):
    """Sends notices of this gateway's placements to the other gateways."""

    @property
    def gateways_count(self) -> int:
        """Number of gateways, this one included."""
        ...

    def receives_notices_for(self, server: fleet.Server) -> bool:
        """Tells whether this gateway gets notices of all work at an engine."""
        ...

    def add_placement(
        self,
        server: fleet.Server,
        work_s: float,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Queues the notice of one placement.

        Args:
            server: The engine that prefills the prompt.
            work_s: Engine time that the prefill takes.
            parts: Long shared parts of the prompt, in order.
            own_tokens: Tokens of the rest of the prompt.
        """
        ...


class Placed(NamedTuple):
    """A plan that was chosen and recorded.

    Attributes:
        plan: The plan.
        ticket: The prompt's position in this gateway's estimate of the prefill
            queue.
        may_correct_queue: Whether the prompt's answer may correct that
            estimate, because the engine prefills the prompt after everything
            that was queued before it. True only if the peers get a notice of
            the prompt's work.
        owner_placement_id: The prompt's entry at the owner of the prefill
            queue, None where queues have no owners.
    """

    plan: prompt_placement.Plan
    ticket: engine_queues.Ticket
    may_correct_queue: bool
    owner_placement_id: queue_owners.PlacementId | None = None


class EngineEstimates:
    """Estimates of the queues, caches, batches and waits of all engines.

    Attributes:
        loads: Load of the engines.
        demand: Prefill work that callers' prompts ask for.
    """

    def __init__(
        self,
        tracker: server_tracker.ServerTracker,
        system_clock: clock.Clock,
        notices: Notices,
        memory_tokens: Callable[[str], int],
        queues: queue_owner_client.QueueOwnerClient | None = None,
    ):
        """Initializes the estimates; no engine is known.

        Args:
            tracker: This gateway's request counts and observations per server.
            system_clock: Source of monotonic time.
            notices: Sends placements to the other gateways.
            memory_tokens: Returns the KV cache capacity, in tokens, of an
                engine of the given service.
            queues: Queue owners, for fleets where not every gateway receives
                notices of all placements; None if every gateway does.
        """
        self._tracker = tracker
        self._queue_owners = queues or queue_owner_client.NullQueueOwnerClient()
        self._clock = system_clock
        self._queues = engine_queues.EngineQueues()
        self.loads = engine_loads.EngineLoads(
            tracker, self._queues, notices, system_clock
        )
        self._observed_waits = observed_waits.ObservedWaits()
        self._slot_waits = slot_waits.SlotWaits()
        self._caches = part_caches.PartCaches()
        self._background_work: dict[
            fleet.Role, background_work.BackgroundWork
        ] = {
            "prefill": background_work.BackgroundWork(),
            "decode": background_work.BackgroundWork(),
        }
        self._home_hit_rate = home_hit_rate.HomeHitRate()
        self._speeds: dict[str, engine_speeds.EngineSpeeds] = (
            collections.defaultdict(engine_speeds.EngineSpeeds)
        )
        self.demand = prompt_demand.PromptDemand(
            system_clock, self.speeds, lambda: notices.gateways_count
        )
        self._notices = notices
        self._memory_tokens = memory_tokens
        self._server_by_key: dict[int, fleet.Server] = {}
        self._decode_engines_by_service: dict[str, list[fleet.Server]] = {}

    def set_engines(self, known: tuple[fleet.Server, ...]) -> None:
        """Updates the engines; drops the state of those that ended.

        An engine that restarted has an empty cache and runs nothing. Its
        learned speed is kept, because it depends on the machine.
        """
        self._queue_owners.set_engines(known)
        starts = frozenset(server.start for server in known)
        self._queues.keep_only(starts)
        self._observed_waits.keep_only(starts)
        self._slot_waits.keep_only(starts)
        self._caches.keep_only(starts)
        server_ids = frozenset(server.server_id for server in known)
        for learned in self._speeds.values():
            learned.keep_only(server_ids)
        before = {one.start: one.role for one in self._server_by_key.values()}
        for server in known:
            if before.get(server.start, server.role) != server.role:
                self._tracker.role_change_seen(server.start)
        self._server_by_key = {
            notice_codec.hash_server_start(server.start): server
            for server in known
        }
        self.loads.set_engines(self._server_by_key)
        self._decode_engines_by_service = {}
        for server in known:
            if server.role == "decode" and not server.is_draining:
                of_service = self._decode_engines_by_service.setdefault(
                    server.service, []
                )
                of_service.append(server)

    def speeds(self, service: str) -> engine_speeds.Speeds:
        """Returns the learned speeds of a service's engines."""
        return self._speeds[service].speeds

    def background_slowdown(
        self, role: fleet.Role, engines: list[fleet.Server]
    ) -> float:
        """Returns the factor by which short prompts slow down prefill.

        Gateways don't report short prompts, so this one extrapolates from
        its own. Queue owners count them, and the factor is 1 then.
        """
        if self._queue_owners.is_used:
            return 1.0
        taken_share = self._background_work[role].share(
            self._notices.gateways_count,
            len(engines),
            self._clock.monotonic_s(),
        )
        return 1.0 / (1.0 - taken_share)

    def view(
        self,
        server: fleet.Server,
        parts: tuple[part_caches.ChainPart, ...],
        slowdown: float,
        *,
        is_home: bool = False,
    ) -> prompt_placement.EngineView:
        """Returns the estimated state of an engine for one prompt.

        Args:
            server: The engine.
            parts: The prompt's parts, see ``part_caches.chain``.
            slowdown: Slowdown by short prompts, see ``background_slowdown``.
            is_home: Whether it is the first home of the shared part.
        """
        now_s = self._clock.monotonic_s()
        start = server.start
        pace = self._tracker.paces.expected(server, now_s).pace
        lasting_slowdown = self._queue_owners.slowdown(server)
        learned_slowdown = lasting_slowdown or self._speeds[
            server.service
        ].pace(server.server_id, now_s)
        slowdown *= learned_slowdown
        (candidate,) = self._tracker.candidates([server], now_s)
        load = self.loads.load(candidate, now_s)
        running_count = load.running_share * server.slots_count
        slot_wait_s = max(
            self._slot_waits.wait_s(start, running_count, server.slots_count),
            self._observed_waits.wait_s(start, "start", now_s),
        )
        return prompt_placement.EngineView(
            server=server,
            wait_s=max(
                load.queue_s + slot_wait_s,
                self._observed_waits.wait_s(start, "read", now_s),
            ),
            slot_wait_s=slot_wait_s,
            running_share=load.running_share,
            cached_tokens=self._cached_tokens(server, parts, is_home),
            slowdown=slowdown * pace,
            learned_slowdown=learned_slowdown,
            lasting_slowdown=lasting_slowdown or 1.0,
            is_suspected=candidate.is_suspected,
            fault_share=self._tracker.fault_share(start, now_s),
            is_same_zone=candidate.is_same_zone,
            is_home=is_home,
            pace=pace,
        )

    def _cached_tokens(
        self,
        server: fleet.Server,
        parts: tuple[part_caches.ChainPart, ...],
        is_home: bool,
    ) -> int:
        """Returns the leading prompt tokens an engine probably has cached.

        All gateways send prompts with a shared part to the part's home engine.
        So for a home without notices of all placements, the hit rate of homes
        with such notices is assumed. Without this assumption, each zone would
        prefill each part at an engine of its own choice: of 22.4 million prompt
        tokens prefilled in 34 s on 28 engines, 7.9 million were of parts that
        another engine held. With it, 1.2 of 14.5 million were.
        """
        held_tokens = self._caches.cached_tokens(server.start, parts)
        if not is_home or self._notices.receives_notices_for(server):
            return held_tokens
        home_part = prompt_parts.home_part_of(parts)
        if home_part is None:
            return held_tokens
        likely_tokens = int(self._home_hit_rate.rate * home_part.end_tokens)
        return max(held_tokens, likely_tokens)

    def receives_notices_for(self, server: fleet.Server) -> bool:
        """Tells whether this gateway gets notices of all work at an engine."""
        return self._notices.receives_notices_for(server)

    @property
    def max_asked_owners_count(self) -> int:
        """Number of owners that may be asked for one prompt; 0 without any."""
        return (
            self._queue_owners.max_asked_owners_count
            if self._queue_owners.is_used
            else 0
        )

    def queue_owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns the other gateway that owns an engine's queue.

        Returns:
            None if this gateway owns it, or if queues have no owners.
        """
        return self._queue_owners.queue_owner(server)

    def sample(
        self,
        home_engines: list[fleet.Server],
        candidates: list[fleet.Server],
        rng: random.Random,
    ) -> list[fleet.Server]:
        """Returns the engines of one role to consider for a prompt.

        Prefers engines whose queues have the same owner as a home's queue,
        because one query to the owner covers all of them. Suspected engines
        come last: a sample of them alone would leave out all sound ones.

        Args:
            home_engines: Home engines of the shared part, the first home first;
                always included.
            candidates: All engines of the role.
            rng: Samples the other engines.
        """
        now_s = self._clock.monotonic_s()
        owners: set[fleet.Address | None] = set()
        if self._queue_owners.is_used:
            owners = {self.queue_owner(home) for home in home_engines}
        return part_homes.sample(
            home_engines,
            candidates,
            rng,
            is_preferred=lambda one: (
                bool(owners) and self.queue_owner(one) in owners
            ),
            is_suspected=lambda one: self._tracker.is_suspected(
                one.start, now_s
            ),
        )

    def query_waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...],
    ) -> Mapping[fleet.ServerStart, queue_owners.ReportedWait]:
        """Asks queue owners for waits, and updates this gateway's estimates.

        Args:
            engines: The engines.
            priority: Priority of the prompt, 0 is served first.
            part_keys: Keys of its long shared parts, in order.

        Returns:
            The answers that came in time, by engine.
        """
        reported_waits = self._queue_owners.waits(engines, priority, part_keys)
        now_s = self._clock.monotonic_s()
        for start, wait in reported_waits.items():
            if wait.is_complete:
                self._queues.set_wait(start, wait.wait_s, now_s)
        return reported_waits

    def record_placement(
        self,
        routed_request: request.RoutedRequest,
        service: table.Service,
        plan: prompt_placement.Plan,
        priority: int = LEAST_PRIORITY,
    ) -> Placed:
        """Records a plan and reports it to the peers or to the queue's owner.

        Args:
            routed_request: The request.
            service: The service whose engines serve it.
            plan: The chosen plan.
            priority: Priority of the request, 0 is served first.
        """
        prefill_start = plan.prefill_engine.server.start
        work_s = plan.prefill_work_s
        now_s = self._clock.monotonic_s()
        ticket = self._queues.add(prefill_start, work_s, now_s)
        if service.engine is None or routed_request.prompt is None:
            return Placed(plan, ticket, may_correct_queue=False)
        if self._queue_owners.is_used:
            reported_parts = prompt_parts.reported_parts(
                prompt_parts.chain_of(routed_request.prompt)
            )
            owner_placement_id = self._queue_owners.report_placed(
                plan.prefill_engine.server,
                work_s,
                min(priority, LEAST_PRIORITY),
                reported_parts,
                routed_request.prompt.tokens
                - sum(part.tokens for part in reported_parts),
            )
            # Peers only need the cached parts. The work is reported as 0: in a
            # large fleet notices arrive seconds late, when it is done.
            self._note_prompt(
                routed_request.prompt,
                plan.prefill_engine.server,
                0.0,
                service.engine.kv_tokens,
            )
            return Placed(
                plan,
                ticket,
                may_correct_queue=False,
                owner_placement_id=owner_placement_id,
            )
        is_reported = self._note_prompt(
            routed_request.prompt,
            plan.prefill_engine.server,
            work_s,
            service.engine.kv_tokens,
        )
        if is_reported:
            return Placed(plan, ticket, may_correct_queue=True)
        role: fleet.Role = "prefill" if plan.prefill else "decode"
        self._background_work[role].add(
            work_s / plan.prefill_engine.slowdown, now_s
        )
        return Placed(plan, ticket, may_correct_queue=False)

    def record_takeover(
        self,
        routed_request: request.RoutedRequest,
        service: table.Service,
        plan: prompt_placement.Plan,
    ) -> Placed:
        """Records that an engine decodes an already prefilled prompt."""
        engine = plan.decode.server
        if service.engine is not None and routed_request.prompt is not None:
            self._note_prompt(
                routed_request.prompt, engine, 0.0, service.engine.kv_tokens
            )
        now_s = self._clock.monotonic_s()
        ticket = self._queues.add(engine.start, 0.0, now_s)
        return Placed(plan, ticket, may_correct_queue=False)

    def prefill_sent(self, placed: Placed) -> observed_waits.PendingPrompt:
        """Records that the prompt was sent to the engine that prefills it."""
        plan = placed.plan
        return self._track_answer(
            plan.prefill_engine.server,
            "read",
            plan.copy_s + plan.prefill_time.total_s,
        )

    def decode_sent(self, placed: Placed) -> observed_waits.PendingPrompt:
        """Records that a prefilled prompt was sent to the decode engine."""
        plan = placed.plan
        return self._track_answer(
            plan.decode.server,
            "start",
            plan.first_token_s - plan.decode.slot_wait_s,
        )

    def expected_s(
        self, placed: Placed, awaited: observed_waits.PendingPrompt
    ) -> float:
        """Returns the estimated time from sending to the engine's answer."""
        plan = placed.plan
        if awaited.kind == "read":
            return plan.prefill_engine.wait_s + awaited.unloaded_s
        return plan.decode.slot_wait_s + awaited.unloaded_s

    def answer_began(
        self, placed: Placed, awaited: observed_waits.PendingPrompt
    ) -> None:
        """Records that an engine's answer has begun.

        Args:
            placed: The recorded plan of the prompt.
            awaited: The result of ``prefill_sent`` or ``decode_sent``.
        """
        now_s = self._clock.monotonic_s()
        pace = self._pace_of_work(placed, awaited, now_s)
        slowdown = pace / _awaited_engine(placed.plan, awaited).pace
        self._observed_waits.answered(awaited, now_s, slowdown)
        if awaited.kind == "read" and placed.may_correct_queue:
            self._queues.finished(placed.ticket, now_s)
        if awaited.kind == "read" and placed.owner_placement_id is not None:
            self._queue_owners.report_prefilled(
                placed.owner_placement_id,
                _measured_slowdown(placed.plan, now_s - awaited.sent_s, pace),
            )
        self._update_speeds(placed, awaited, now_s, pace)

    def _update_speeds(
        self,
        placed: Placed,
        awaited: observed_waits.PendingPrompt,
        now_s: float,
        pace: float,
    ) -> None:
        """Updates the learned speeds by the time an answer took.

        Durations are corrected by the pace at which the engine worked, because
        it also counts where engines are chosen.
        """
        plan = placed.plan
        took_s = now_s - awaited.sent_s
        expected_s = self.expected_s(placed, awaited)
        if expected_s > 0:
            _estimate_ratio.observe(
                {"matter": awaited.kind}, took_s / expected_s
            )
        learned = self._speeds[plan.decode.server.service]
        if awaited.kind == "read":
            if (
                self._queue_owners.is_used
                and not _was_prefilled_without_queueing(plan)
            ):
                return
            learned.learn_prefill(
                plan.prefill_engine.server,
                plan.prefill_time.slowed(pace / plan.prefill_engine.pace),
                plan.prefill_engine.wait_s + plan.copy_s,
                took_s,
                now_s,
            )
        else:
            longer_s = (pace - 1.0) * learned.speeds.takeover_s
            learned.learn_takeover(
                plan.copy_s, plan.decode.slot_wait_s, took_s - longer_s
            )

    def _pace_of_work(
        self,
        placed: Placed,
        awaited: observed_waits.PendingPrompt,
        now_s: float,
    ) -> float:
        """Returns the pace at which an engine worked on an answered prompt."""
        engine = _awaited_engine(placed.plan, awaited)
        longer_s = awaited.unloaded_s * (1.0 - 1.0 / engine.pace)
        usual_s = self.expected_s(placed, awaited) - longer_s
        return self._tracker.paces.note_duration(
            engine.server,
            (now_s - awaited.sent_s) / max(usual_s, _MIN_USUAL_S),
            awaited.sent_s,
            now_s,
        )

    def failed(
        self, placed: Placed, awaited: observed_waits.PendingPrompt
    ) -> None:
        """Records that an engine will not answer.

        Args:
            placed: The recorded plan of the prompt.
            awaited: The result of ``prefill_sent`` or ``decode_sent``.
        """
        self._observed_waits.failed(awaited)
        if awaited.kind == "read" and placed.owner_placement_id is not None:
            self._queue_owners.report_withdrawn(placed.owner_placement_id)

    def ended(self, server: fleet.Server, run_s: float) -> None:
        """Records that an engine has finished a stream.

        Args:
            server: The engine.
            run_s: Time from the response head to the end of the stream.
        """
        self._slot_waits.note_run(server.start, run_s)

    def on_notice(self, notice: notice_codec.Notice) -> None:
        """Applies another gateway's placements, demand and load reports."""
        now_s = self._clock.monotonic_s()
        self.loads.on_notice(notice)
        for engine_key in notice.changing:
            server = self._server_by_key.get(engine_key)
            if server is not None:
                self._tracker.role_change_ordered(server.start, now_s)
        self.demand.on_notice(notice)
        for placement in notice.placements:
            server = self._server_by_key.get(placement.engine_key)
            if server is None or self._owns_queue_of(server):
                continue
            if placement.work_s > 0:
                self._queues.add(server.start, placement.work_s, now_s)
            memory_tokens = self._memory_tokens(server.service)
            if placement.own_tokens:
                self._caches.record_unshared(
                    server.start, placement.own_tokens, memory_tokens
                )
            if placement.parts:
                self._record_home_hit(server, placement.parts)
                self._caches.record_cached(
                    server.start, placement.parts, memory_tokens
                )

    def _owns_queue_of(self, server: fleet.Server) -> bool:
        """Tells whether this gateway owns an engine's queue."""
        return (
            self._queue_owners.is_used
            and self._queue_owners.queue_owner(server) is None
        )

    def record_remote_prompt(
        self,
        engine_key: int,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Records what another gateway's prompt adds to an engine's cache.

        Args:
            engine_key: The engine, see ``notice_codec.hash_server_start``.
            parts: Long shared parts of the prompt, in order.
            own_tokens: Tokens of the rest of the prompt.
        """
        server = self._server_by_key.get(engine_key)
        if server is None:
            return
        memory_tokens = self._memory_tokens(server.service)
        self._caches.record_unshared(server.start, own_tokens, memory_tokens)
        self._caches.record_cached(server.start, parts, memory_tokens)

    def held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        """Returns how many leading parts of a prompt an engine probably holds.

        Args:
            engine_key: The engine, see ``notice_codec.hash_server_start``.
            part_keys: Keys of the parts, in order. An engine that holds a part
                also holds all parts before it.
        """
        server = self._server_by_key.get(engine_key)
        if server is None:
            return 0
        for count in range(len(part_keys), 0, -1):
            if self._caches.holds(server.start, part_keys[count - 1]):
                return count
        return 0

    def _track_answer(
        self,
        server: fleet.Server,
        kind: observed_waits.WorkKind,
        unloaded_s: float,
    ) -> observed_waits.PendingPrompt:
        """Records that an engine's answer is outstanding.

        Args:
            server: The engine.
            kind: What the engine does first.
            unloaded_s: Estimated time to the answer of an idle engine.
        """
        awaited = observed_waits.PendingPrompt(
            server.start, kind, self._clock.monotonic_s(), unloaded_s
        )
        self._observed_waits.sent(awaited)
        return awaited

    def _note_prompt(
        self,
        prompt: request.Prompt,
        engine: fleet.Server,
        work_s: float,
        memory_tokens: int,
    ) -> bool:
        """Records what a prompt adds to an engine's cache.

        Args:
            prompt: The prompt.
            engine: The engine that receives it.
            work_s: Engine time of the prefill that is reported to the peers.
            memory_tokens: KV cache capacity of the engine.

        Returns:
            Whether the prompt was reported to the peers.
        """
        parts = prompt_parts.chain_of(prompt)
        held = tuple(part.held for part in parts)
        reported_parts = prompt_parts.reported_parts(parts)
        if not reported_parts:
            self._caches.record_cached(engine.start, held, memory_tokens)
            if self._queue_owners.is_used:
                return False
            # Short prompts are numerous and spread evenly over the gateways.
            # Instead of reporting them, each gateway extrapolates the others'
            # from its own.
            others_in_flight_count = self._notices.gateways_count - 1
            self._caches.record_unshared(
                engine.start,
                prompt.tokens * others_in_flight_count,
                memory_tokens,
            )
            return False
        self._record_home_hit(engine, reported_parts)
        self._caches.record_cached(engine.start, held, memory_tokens)
        own_tokens = prompt.tokens - sum(part.tokens for part in reported_parts)
        self._notices.add_placement(engine, work_s, reported_parts, own_tokens)
        return True

    def _record_home_hit(
        self,
        server: fleet.Server,
        reported_parts: tuple[part_caches.HeldPart, ...],
    ) -> None:
        """Records a cache hit or miss if the engine is the prompt's home.

        Only shared parts count. The unshared rest of a prompt is always a miss:
        if it counted, every home would look empty, and parts that homes in
        other zones hold would be prefilled again.
        """
        home_part = max(reported_parts, key=lambda part: part.tokens)
        if self._is_home_with_full_notices(server, home_part.key):
            is_held = self._caches.holds(server.start, home_part.key)
            self._home_hit_rate.note(is_held=is_held)

    def _is_home_with_full_notices(
        self, server: fleet.Server, part_key: int
    ) -> bool:
        """Tells whether an engine is the first home, and has full notices.

        See ``EngineLoads`` for full notices.
        """
        # Prefill engines are left out: they copy missing parts from other
        # engines, so their hits say nothing about homes.
        if server.role == "prefill" or not self._notices.receives_notices_for(
            server
        ):
            return False
        decodes = self._decode_engines_by_service.get(server.service, ())
        return server in part_homes.home_engines_of(part_key, decodes, count=1)


def _awaited_engine(
    plan: prompt_placement.Plan, awaited: observed_waits.PendingPrompt
) -> prompt_placement.EngineView:
    return plan.prefill_engine if awaited.kind == "read" else plan.decode


def _was_prefilled_without_queueing(plan: prompt_placement.Plan) -> bool:
    """Tells whether the queue owner reported next to no wait for a prompt.

    Where queues have owners, only such answers update the prefill speed. Errors
    in an owner's count only ever lengthen the wait. If they were attributed to
    slow prefill, engines would look half as fast as they are.
    """
    reported_wait_s = plan.prefill_engine.reported_wait_s
    if reported_wait_s is None:
        return False
    return reported_wait_s <= MAX_LEARNING_WAIT_SHARE * plan.prefill_time.work_s


def _measured_slowdown(
    plan: prompt_placement.Plan, took_s: float, pace: float
) -> float | None:
    """Returns the prefilling engine's slowdown by one prompt's duration.

    The ratio is relative to an estimate that includes every slowdown that the
    gateway assumed, corrected by the pace at which the engine worked, so it is
    multiplied by the learned slowdown only. Prompts that
    waited, needed a copy of cached parts, were prefilled for a short time
    compared to fixed overheads, or were prefilled between the tokens of many
    streams say nothing about the engine's speed.
    """
    engine = plan.prefill_engine
    estimate = plan.prefill_time.slowed(pace / engine.pace)
    is_busy_decoding = (
        plan.prefill is None and engine.running_share > MAX_SPEED_RUNNING_SHARE
    )
    if (
        is_busy_decoding
        or plan.copy_s > 0
        or estimate.work_s < max(MIN_SPEED_WORK_S, estimate.overhead_s)
        or engine.wait_s > MAX_LEARNING_WAIT_SHARE * estimate.work_s
        or not _was_prefilled_without_queueing(plan)
    ):
        return None
    expected_s = engine.wait_s + estimate.total_s
    return engine.learned_slowdown * took_s / expected_s

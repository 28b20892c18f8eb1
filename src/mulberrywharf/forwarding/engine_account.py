"""What this node knows of engines and their work, and what peers tell of it."""

import collections
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.forwarding import (
    engine_loads,
    prompt_demand,
    prompt_parts,
    queue_accounts,
    request,
    server_book,
)
from mulberrywharf.peers import codec, queue_owners
from mulberrywharf.policy import (
    background_work,
    engine_queues,
    engine_speeds,
    home_hits,
    observed_waits,
    part_caches,
    part_homes,
    prompt_placement,
    slot_waits,
)
from mulberrywharf.routes import table

_estimate_ratio = metrics.histogram(
    "mulberry_estimate_ratio",
    "What an engine took to answer over what was estimated, by matter.",
)


LEARNING_WAIT_SHARE = 0.1
"""Of its reading that a prompt may have waited to teach how long reading
takes."""

LEAST_PRIORITY = 9
"""Of engines; 0 is served first."""


class Notices(Protocol):
    """Tells other gateways what this one places."""

    @property
    def gateways_count(self) -> int:
        """All gateways, this one included."""
        ...

    def hears_of(self, server: fleet.Server) -> bool:
        """Tells whether this gateway hears of all work at an engine."""
        ...

    def add(
        self,
        server: fleet.Server,
        work_s: float,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Takes in one placement."""
        ...


class Placed(NamedTuple):
    """A plan that was chosen and counted.

    Attributes:
        plan: The plan.
        ticket: The prompt's place in the reader's queue.
        is_in_order: Whether the reader reads it after all that came before.
        counted: The prompt's place in an account of the reader's queue, None
            where there is none.
    """

    plan: prompt_placement.Plan
    ticket: engine_queues.Ticket
    is_in_order: bool
    counted: queue_owners.Ticket | None = None


class EngineAccount:
    """Queues, caches, batches and waits of all engines.

    Attributes:
        loads: How busy the engines are.
        demand: What callers' prompts want of the engines.
    """

    def __init__(
        self,
        book: server_book.ServerBook,
        system_clock: clock.Clock,
        notices: Notices,
        memory_tokens: Callable[[str], int],
        queues: queue_accounts.QueueAccounts | None = None,
    ):
        """Makes an empty account.

        Args:
            book: What this node knows of servers.
            system_clock: Measures queues.
            notices: Tells other gateways what is placed.
            memory_tokens: Returns what the memory of an engine of a service
                holds.
            queues: Counts all prompts at an engine where not all gateways are
                told of all of them; None where they always are.
        """
        self._book = book
        self._counted = queues or queue_accounts.NoQueueAccounts()
        self._clock = system_clock
        self._queues = engine_queues.EngineQueues()
        self.loads = engine_loads.EngineLoads(
            book, self._queues, notices, system_clock
        )
        self._observed = observed_waits.ObservedWaits()
        self._slots = slot_waits.SlotWaits()
        self._caches = part_caches.PartCaches()
        self._background: dict[fleet.Role, background_work.BackgroundWork] = {
            "prefill": background_work.BackgroundWork(),
            "decode": background_work.BackgroundWork(),
        }
        self._home_hits = home_hits.HomeHits()
        self._speeds: dict[str, engine_speeds.EngineSpeeds] = (
            collections.defaultdict(engine_speeds.EngineSpeeds)
        )
        self.demand = prompt_demand.PromptDemand(
            system_clock, self.speeds, lambda: notices.gateways_count
        )
        self._notices = notices
        self._memory_tokens = memory_tokens
        self._server_by_key: dict[int, fleet.Server] = {}
        self._decodes_by_service: dict[str, list[fleet.Server]] = {}

    def follow(self, known: tuple[fleet.Server, ...]) -> None:
        """Takes in the server list; forgets starts of engines that ended.

        An engine that starts again holds no part and runs nothing. Its speed
        stays known: that is its machine's.
        """
        self._counted.follow(known)
        starts = frozenset(server.start for server in known)
        self._queues.keep_only(starts)
        self._observed.keep_only(starts)
        self._slots.keep_only(starts)
        self._caches.keep_only(starts)
        server_ids = frozenset(server.server_id for server in known)
        for learned in self._speeds.values():
            learned.keep_only(server_ids)
        before = {one.start: one.role for one in self._server_by_key.values()}
        for server in known:
            if before.get(server.start, server.role) != server.role:
                self._book.changed(server.start)
        self._server_by_key = {
            codec.key_of_server(server.start): server for server in known
        }
        self.loads.follow(self._server_by_key)
        self._decodes_by_service = {}
        for server in known:
            if server.role == "decode" and not server.is_draining:
                of_service = self._decodes_by_service.setdefault(
                    server.service, []
                )
                of_service.append(server)

    def speeds(self, service: str) -> engine_speeds.Speeds:
        """Returns what is known of the speed of a service's engines."""
        return self._speeds[service].speeds

    def pace(self, role: fleet.Role, engines: list[fleet.Server]) -> float:
        """Returns how much longer reading takes beside short prompts.

        Where all prompts of an engine are counted these are among them.
        """
        if self._counted.is_used:
            return 1.0
        taken_share = self._background[role].share(
            self._notices.gateways_count,
            len(engines),
            self._clock.monotonic_s(),
        )
        return 1.0 / (1.0 - taken_share)

    def view(
        self,
        server: fleet.Server,
        parts: tuple[part_caches.ChainPart, ...],
        pace: float,
        *,
        is_home: bool = False,
    ) -> prompt_placement.EngineView:
        """Returns an engine as one prompt meets it.

        Args:
            server: The engine.
            parts: The prompt's parts, see ``part_caches.chain``.
            pace: See ``pace``.
            is_home: Whether it is the first home of the shared part.
        """
        now_s = self._clock.monotonic_s()
        start = server.start
        pace *= self._speeds[server.service].pace(server.server_id, now_s)
        (candidate,) = self._book.candidates([server], now_s)
        load = self.loads.load(candidate, now_s)
        running_count = load.running_share * server.slots_count
        slot_wait_s = max(
            self._slots.wait_s(start, running_count, server.slots_count),
            self._observed.wait_s(start, "start", now_s),
        )
        return prompt_placement.EngineView(
            server=server,
            wait_s=max(
                load.queue_s + slot_wait_s,
                self._observed.wait_s(start, "read", now_s),
            ),
            slot_wait_s=slot_wait_s,
            running_share=load.running_share,
            cached_tokens=self._cached_tokens(server, parts, is_home),
            pace=pace,
            is_suspected=candidate.is_suspected,
            is_near=candidate.is_near,
            is_home=is_home,
        )

    def _cached_tokens(
        self,
        server: fleet.Server,
        parts: tuple[part_caches.ChainPart, ...],
        is_home: bool,
    ) -> int:
        """Returns the leading tokens that an engine is believed to hold.

        Where this node doesn't hear of every placement, the home of a part is
        believed to hold as much as homes that it hears of hold on the mean:
        every node sends the part's prompts there. By its own
        knowledge alone each zone read each part at an engine of its own
        choice: of 22.4 million prompt tokens read in 34 s on 28 engines 7.9
        million were of parts that another engine held, and 1.2 of 14.5
        million with homes believed in.
        """
        held_tokens = self._caches.cached_tokens(server.start, parts)
        if not is_home or self._notices.hears_of(server):
            return held_tokens
        home_part = prompt_parts.part_of_home(parts)
        if home_part is None:
            return held_tokens
        likely_tokens = int(self._home_hits.share * home_part.end_tokens)
        return max(held_tokens, likely_tokens)

    def hears_of(self, server: fleet.Server) -> bool:
        """Tells whether this node hears of all work at an engine."""
        return self._notices.hears_of(server)

    @property
    def asked_count(self) -> int:
        """Owners of queues that may be asked for a prompt; 0 without any."""
        return self._counted.asked_count if self._counted.is_used else 0

    def owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns who keeps an engine's queue, None for this node."""
        return self._counted.owner(server)

    def sample(
        self,
        homes_first: list[fleet.Server],
        among: list[fleet.Server],
        rng: random.Random,
    ) -> list[fleet.Server]:
        """Returns the engines of one role that are looked at for a prompt.

        Those whose queues are kept together with a home's are preferred: one
        question tells of all of them.
        """
        if not self._counted.is_used:
            return part_homes.sample(homes_first, among, rng)
        owners = {self.owner(home) for home in homes_first}
        return part_homes.sample(
            homes_first,
            among,
            rng,
            is_preferred=lambda one: self.owner(one) in owners,
        )

    def told_waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...],
    ) -> Mapping[fleet.ServerStart, queue_owners.ToldWait]:
        """Asks how long a prompt would wait at engines, and believes it.

        Args:
            engines: The engines.
            priority: Of the prompt, 0 is read first.
            part_keys: Of its long shared parts, in order.
        """
        told = self._counted.waits(engines, priority, part_keys)
        now_s = self._clock.monotonic_s()
        for start, wait in told.items():
            if wait.is_whole:
                self._queues.told(start, wait.wait_s, now_s)
        return told

    def count_in(
        self,
        wanted: request.RoutedRequest,
        service: table.Service,
        plan: prompt_placement.Plan,
        priority: int = LEAST_PRIORITY,
    ) -> Placed:
        """Counts a plan in and tells who has to know of the prompt.

        Args:
            wanted: The request.
            service: Whose engines serve it.
            plan: What was chosen.
            priority: Of the request, 0 is served first.
        """
        reader = plan.reader.server.start
        work_s = plan.prefill_work_s
        now_s = self._clock.monotonic_s()
        ticket = self._queues.add(reader, work_s, now_s)
        if service.engine is None or wanted.prompt is None:
            return Placed(plan, ticket, is_in_order=False)
        if self._counted.is_used:
            told = prompt_parts.told(prompt_parts.chain_of(wanted.prompt))
            counted = self._counted.placed(
                plan.reader.server,
                work_s,
                min(priority, LEAST_PRIORITY),
                told,
                wanted.prompt.tokens - sum(part.tokens for part in told),
            )
            # Peers are told of the parts; notices are late by seconds in a
            # large fleet, when the work is done.
            self._note_prompt(
                wanted.prompt,
                plan.reader.server,
                0.0,
                service.engine.kv_tokens,
            )
            return Placed(plan, ticket, is_in_order=False, counted=counted)
        is_told = self._note_prompt(
            wanted.prompt,
            plan.reader.server,
            work_s,
            service.engine.kv_tokens,
        )
        if is_told:
            return Placed(plan, ticket, is_in_order=True)
        role: fleet.Role = "prefill" if plan.prefill else "decode"
        self._background[role].add(work_s / plan.reader.pace, now_s)
        return Placed(plan, ticket, is_in_order=False)

    def count_in_takeover(
        self,
        wanted: request.RoutedRequest,
        service: table.Service,
        plan: prompt_placement.Plan,
    ) -> Placed:
        """Counts in that an engine goes on from a prefilled prompt."""
        engine = plan.decode.server
        if service.engine is not None and wanted.prompt is not None:
            self._note_prompt(
                wanted.prompt, engine, 0.0, service.engine.kv_tokens
            )
        now_s = self._clock.monotonic_s()
        ticket = self._queues.add(engine.start, 0.0, now_s)
        return Placed(plan, ticket, is_in_order=False)

    def reading(self, placed: Placed) -> observed_waits.Awaited:
        """Notes that the reader was sent the prompt."""
        plan = placed.plan
        return self._sent(
            plan.reader.server, "read", plan.copy_s + plan.reading.total_s
        )

    def starting(self, placed: Placed) -> observed_waits.Awaited:
        """Notes that the decode engine was sent a prompt read elsewhere."""
        plan = placed.plan
        return self._sent(
            plan.decode.server,
            "start",
            plan.first_token_s - plan.decode.slot_wait_s,
        )

    def expected_s(
        self, placed: Placed, awaited: observed_waits.Awaited
    ) -> float:
        """Returns when an engine was to answer what it was sent."""
        plan = placed.plan
        if awaited.matter == "read":
            return plan.reader.wait_s + awaited.unqueued_s
        return plan.decode.slot_wait_s + awaited.unqueued_s

    def began(self, placed: Placed, awaited: observed_waits.Awaited) -> None:
        """Notes that an engine has answered what it was sent.

        Args:
            placed: The prompt's plan.
            awaited: From ``reading`` or ``starting``.
        """
        now_s = self._clock.monotonic_s()
        self._observed.answered(awaited, now_s)
        if awaited.matter == "read" and placed.is_in_order:
            self._queues.finished(placed.ticket, now_s)
        if awaited.matter == "read" and placed.counted is not None:
            self._counted.read(placed.counted)
        self._learn(placed, awaited, now_s)

    def _learn(
        self, placed: Placed, awaited: observed_waits.Awaited, now_s: float
    ) -> None:
        plan = placed.plan
        took_s = now_s - awaited.sent_s
        expected_s = self.expected_s(placed, awaited)
        if expected_s > 0:
            _estimate_ratio.observe(
                {"matter": awaited.matter}, took_s / expected_s
            )
        learned = self._speeds[plan.decode.server.service]
        if awaited.matter == "read":
            if self._counted.is_used and not _was_read_at_once(plan):
                return
            learned.learn_reading(
                plan.reader.server,
                plan.reading,
                plan.reader.wait_s + plan.copy_s,
                took_s,
                now_s,
            )
        else:
            learned.learn_takeover(plan.copy_s, plan.decode.slot_wait_s, took_s)

    def failed(self, placed: Placed, awaited: observed_waits.Awaited) -> None:
        """Notes that an engine will not answer what it was sent.

        Args:
            placed: The prompt's plan.
            awaited: From ``reading`` or ``starting``.
        """
        self._observed.failed(awaited)
        if awaited.matter == "read" and placed.counted is not None:
            self._counted.withdrawn(placed.counted)

    def ended(self, server: fleet.Server, run_s: float) -> None:
        """Notes that an engine has finished a stream.

        Args:
            server: The engine.
            run_s: From the stream's head to its end.
        """
        self._slots.note_run(server.start, run_s)

    def on_notice(self, notice: codec.Notice) -> None:
        """Takes in what another gateway placed and what engines told it."""
        now_s = self._clock.monotonic_s()
        self.loads.on_notice(notice)
        for engine_key in notice.changing:
            server = self._server_by_key.get(engine_key)
            if server is not None:
                self._book.changing(server.start, now_s)
        self.demand.on_notice(notice)
        for placement in notice.placements:
            server = self._server_by_key.get(placement.engine_key)
            if server is None or self._keeps(server):
                continue
            if placement.work_s > 0:
                self._queues.add(server.start, placement.work_s, now_s)
            memory_tokens = self._memory_tokens(server.service)
            if placement.own_tokens:
                self._caches.note_own(
                    server.start, placement.own_tokens, memory_tokens
                )
            if placement.parts:
                self._note_home(server, placement.parts)
                self._caches.note_read(
                    server.start, placement.parts, memory_tokens
                )

    def _keeps(self, server: fleet.Server) -> bool:
        """Tells whether this node is told of each prompt at an engine."""
        return self._counted.is_used and self._counted.owner(server) is None

    def note_counted(
        self,
        engine_key: int,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Takes in what another gateway's prompt leaves at an engine.

        Args:
            engine_key: See ``codec.key_of_server``.
            parts: Its long shared parts, in order.
            own_tokens: Its other tokens.
        """
        server = self._server_by_key.get(engine_key)
        if server is None:
            return
        memory_tokens = self._memory_tokens(server.service)
        self._caches.note_own(server.start, own_tokens, memory_tokens)
        self._caches.note_read(server.start, parts, memory_tokens)

    def held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        """Returns how many of a prompt's parts an engine holds.

        Args:
            engine_key: See ``codec.key_of_server``.
            part_keys: Of the parts, in order; who holds one holds all before.
        """
        server = self._server_by_key.get(engine_key)
        if server is None:
            return 0
        for count in range(len(part_keys), 0, -1):
            if self._caches.holds(server.start, part_keys[count - 1]):
                return count
        return 0

    def _sent(
        self,
        server: fleet.Server,
        matter: observed_waits.Matter,
        unqueued_s: float,
    ) -> observed_waits.Awaited:
        awaited = observed_waits.Awaited(
            server.start, matter, self._clock.monotonic_s(), unqueued_s
        )
        self._observed.sent(awaited)
        return awaited

    def _note_prompt(
        self,
        prompt: request.Prompt,
        engine: fleet.Server,
        work_s: float,
        memory_tokens: int,
    ) -> bool:
        """Notes what an engine will hold of a prompt.

        Returns:
            Whether peers are told of it.
        """
        parts = prompt_parts.chain_of(prompt)
        held = tuple(part.held for part in parts)
        told = prompt_parts.told(parts)
        if not told:
            self._caches.note_read(engine.start, held, memory_tokens)
            if self._counted.is_used:
                return False
            # Short prompts are many and spread evenly over the gateways, so
            # each counts its own for all instead of telling them.
            others_count = self._notices.gateways_count - 1
            self._caches.note_own(
                engine.start, prompt.tokens * others_count, memory_tokens
            )
            return False
        self._note_home(engine, told)
        self._caches.note_read(engine.start, held, memory_tokens)
        own_tokens = prompt.tokens - sum(part.tokens for part in told)
        self._notices.add(engine, work_s, told, own_tokens)
        return True

    def _note_home(
        self, server: fleet.Server, told: tuple[part_caches.HeldPart, ...]
    ) -> None:
        """Notes whether an engine that gets a prompt as its home held it.

        Only shared parts have a home. What a prompt shares with nobody is new
        each time: taken for the part with a home it made every home look
        empty, and parts that homes in other zones hold were read anew.
        """
        home_part = max(told, key=lambda part: part.tokens)
        if self._is_heard_home(server, home_part.key):
            is_held = self._caches.holds(server.start, home_part.key)
            self._home_hits.note(is_held=is_held)

    def _is_heard_home(self, server: fleet.Server, part_key: int) -> bool:
        # Prefill engines say nothing of homes: they copy what they lack.
        if server.role == "prefill" or not self._notices.hears_of(server):
            return False
        decodes = self._decodes_by_service.get(server.service, ())
        return server in part_homes.homes(part_key, decodes, count=1)


def _was_read_at_once(plan: prompt_placement.Plan) -> bool:
    """Tells whether a prompt met an engine that was known to have no queue.

    Only such answers teach the speed of reading where queues are counted: the
    errors of a count only ever add to a wait, and taken for slow reading they
    made engines look half as fast as they are.
    """
    told_wait_s = plan.reader.told_wait_s
    if told_wait_s is None:
        return False
    return told_wait_s <= LEARNING_WAIT_SHARE * plan.reading.work_s

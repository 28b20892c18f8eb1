"""Tracks each engine's queue at one gateway, called the owner of the queue.

The other gateways ask the owner how long a prompt would wait at the engine.

Sending each placement to every gateway costs bytes in proportion to the square
of their number. With more than about 20 gateways, notices wait a second or more
for the byte budget, and queues of a few tenths of a second have been processed
before others learn of them. Gateways then send to engines that look idle but
are not, and half of all long prompts are answered late. Here, a placement is
reported only to the owner of the engine's queue, and a gateway that has a
prompt asks the owners of the best engines. The cost of this does not depend on
the number of gateways.

Owners are chosen by rendezvous hashing over the gateways of the engine's
availability zone, without an election. Correctness never depends on them. If an
owner does not reply within a few milliseconds because it has stopped, hangs or
is partitioned, the asking gateway uses its own estimate. A new owner reports
for how long it has been counting. If two gateways are both taken for the owner,
each knows a part of the queue.
"""

import collections
import itertools
import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import (
    datagrams,
    notice_codec,
    queue_codec,
    queue_speeds,
)
from mulberrywharf.policy import part_caches, prefill_queue

REPLY_TIMEOUT_S = 0.02
"""Maximum time to wait for replies. A round trip between availability zones
takes about 2 ms, and a busy gateway a few ms more. Callers wait on the order of
100 ms for their first token."""

QUEUE_COMPLETE_AFTER_S = 1.0
"""Time for which an owner must have counted before the wait that it reports
includes all work. A wait from an owner that has counted for less is used only
if it exceeds the asking gateway's own estimate. Queues longer than this are
rare, because callers are refused then."""

PARTS_COMPLETE_AFTER_S = 10.0
"""Time for which an owner must have counted before it is assumed to know all
parts that an engine holds: older parts have been used since, or will be evicted
soon."""

IDLE_QUEUE_TIMEOUT_S = 10.0
"""Time without new work after which an engine's queue is assumed to be empty.
The queue is then dropped, and counting starts again."""

ENGINES_PER_OWNER_COUNT = 3
"""Average number of engines whose queues one gateway owns. A question about a
few engines costs about the same as one about a single engine. With three owners
asked, a prompt's waits are known for about nine engines. The best of eight
known engines is far better than the best of three."""

MAX_ASKED_OWNERS_COUNT = 3
"""Maximum number of owners that are asked for one prompt within the byte
budget."""

MAX_ASKED_OWNERS_OVER_BUDGET_COUNT = 1
"""The same while the byte budget is exhausted. One owner is still asked,
because the best engine's queue may be long."""

QUEUES_LIMIT_COUNT = 1_000
"""Maximum number of queues in memory, more than any fleet has engines. It
prevents a gateway that asks about nonexistent engines from filling the memory
of this one."""

_NUMBERS_COUNT = 2**32

_asked_total = metrics.counter(
    "mulberry_queue_asks_total",
    "Rounds of questions to queue owners, by whether all replied in time.",
)


class ReportedWait(NamedTuple):
    """The wait that the owner of an engine's queue reported for a prompt.

    Attributes:
        wait_s: Time until the engine starts its prefill, in seconds.
        is_complete: Whether the owner has counted all work that may still wait.
        held_count: Number of the prompt's leading parts that the engine holds.
        knows_parts: Whether the owner has counted for long enough to know all
            parts that the engine still holds.
    """

    wait_s: float
    is_complete: bool
    held_count: int = 0
    knows_parts: bool = False


class PlacementId(NamedTuple):
    """Identifies a prompt that was reported to the owner of its engine's queue.

    Attributes:
        server: The engine.
        number: Number that this gateway gave the prompt.
    """

    server: fleet.Server
    number: int


class HeldParts(Protocol):
    """Long shared parts that engines hold, as far as this gateway knows."""

    def record_remote_prompt(
        self,
        engine_key: int,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Records what an engine holds after another gateway's prompt.

        Args:
            engine_key: Key of the engine.
            parts: The long shared parts of the prompt.
            own_tokens: Number of prompt tokens outside these parts.
        """
        ...

    def held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        """Returns how many of a prompt's leading parts an engine holds."""
        ...


class Peers(Protocol):
    """The other gateways."""

    @property
    def is_full_mesh(self) -> bool:
        """Whether all work is reported to all gateways (a full mesh)."""
        ...

    def queue_owner(
        self,
        engine_key: int,
        availability_zone: str,
        owners_count: int,
        role: str,
    ) -> fleet.Address | None:
        """Returns the owner of an engine's queue, None for this gateway."""
        ...


class _PendingQuestion:
    """A question that still waits for replies."""

    def __init__(self, owners: frozenset[fleet.Address]):
        self.owners = set(owners)
        self.waits: list[queue_codec.EngineWait] = []
        self.is_complete = gevent.event.Event()


class QueueOwners:
    """Asks the owners of queues, reports to them, and is an owner itself."""

    def __init__(
        self,
        peers: Peers,
        socket: datagrams.PeerSocket,
        sender: int,
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the socket.

        Args:
            peers: The other gateways.
            socket: Carries the messages; the caller starts it.
            sender: Identifies this run of the process.
            system_clock: Measures the queues.
        """
        self._peers = peers
        self._socket = socket
        self._sender = sender
        self._clock = system_clock
        self._queues: dict[int, prefill_queue.PrefillQueue] = {}
        self._parts: HeldParts | None = None
        self._questions: dict[int, _PendingQuestion] = {}
        self._owners_counts: dict[tuple[str, fleet.Role | None], int] = {}
        self._speeds = queue_speeds.QueueSpeeds()
        self._numbers = itertools.count(1)
        socket.set_handler(b"q", self._on_datagram)

    def set_parts(self, parts: HeldParts) -> None:
        """Sets the record of the parts that engines hold."""
        self._parts = parts

    @property
    def is_used(self) -> bool:
        """Whether the fleet is so large that owners track the queues."""
        return not self._peers.is_full_mesh

    def set_engines(self, engines: Sequence[fleet.Server]) -> None:
        """Replaces the engines whose queues have owners.

        Owners are chosen per zone and role, so that one question covers engines
        that are alternatives for the same prompt.
        """
        counts = collections.Counter(
            (server.availability_zone, server.role)
            for server in engines
            if server.role is not None
        )
        self._owners_counts = {
            zone_and_role: math.ceil(count / ENGINES_PER_OWNER_COUNT)
            for zone_and_role, count in counts.items()
        }
        self._speeds.set_engines(engines)

    def slowdown(self, server: fleet.Server) -> float | None:
        """Returns an engine's lasting slowdown, None if no owner told it.

        It is relative to the mean of the engines of its service and role.
        """
        if not self.is_used:
            return None
        return self._speeds.relative_slowdown(server, self._clock.monotonic_s())

    def queue_owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns the owner of an engine's queue, None for this gateway."""
        zone_and_role = server.availability_zone, server.role
        return self._peers.queue_owner(
            notice_codec.hash_server_start(server.start),
            server.availability_zone,
            self._owners_counts.get(zone_and_role, 1),
            server.role or "",
        )

    @property
    def max_asked_owners_count(self) -> int:
        """Maximum number of owners that may be asked for one prompt now."""
        has_bytes = self._socket.budget.level > 0
        return (
            MAX_ASKED_OWNERS_COUNT
            if has_bytes
            else MAX_ASKED_OWNERS_OVER_BUDGET_COUNT
        )

    def waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...] = (),
    ) -> Mapping[fleet.ServerStart, ReportedWait]:
        """Asks how long a prompt would wait at engines, and what they hold.

        Args:
            engines: The engines.
            priority: Priority of the prompt; 0 is the most urgent.
            part_keys: Keys of its long shared parts, in order.

        Returns:
            The waits that arrived in time. Engines are missing if their owner
            did not reply.
        """
        start_by_key = {
            notice_codec.hash_server_start(engine.start): engine.start
            for engine in engines
        }
        keys_by_owner = self._keys_by_owner(engines)
        found = self._local_waits(
            keys_by_owner.pop(None, []), priority, part_keys
        )
        found += self._ask(keys_by_owner, priority, part_keys)
        self._speeds.note_waits(found, self._clock.monotonic_s())
        return {
            start_by_key[wait.engine_key]: ReportedWait(
                wait.wait_s,
                wait.counted_s >= QUEUE_COMPLETE_AFTER_S,
                wait.held_count,
                wait.counted_s >= PARTS_COMPLETE_AFTER_S,
            )
            for wait in found
            if wait.engine_key in start_by_key
        }

    def report_placed(
        self,
        server: fleet.Server,
        work_s: float,
        priority: int,
        parts: tuple[part_caches.HeldPart, ...] = (),
        own_tokens: int = 0,
    ) -> PlacementId:
        """Reports that a prompt was sent to an engine.

        Args:
            server: The engine.
            work_s: Duration of the prompt's prefill in seconds.
            priority: Priority of the prompt; 0 is the most urgent.
            parts: Its long shared parts, in order.
            own_tokens: Number of its tokens outside these parts.
        """
        number = next(self._numbers) % _NUMBERS_COUNT
        placement_id = PlacementId(server, number)
        work = self._new_work(placement_id, "placed")
        self._report(
            placement_id,
            work._replace(
                priority=priority,
                work_s=work_s,
                parts=parts,
                own_tokens=own_tokens,
                slowdown=self._speeds.known_slowdown(
                    work.engine_key, self._clock.monotonic_s()
                ),
            ),
        )
        return placement_id

    def report_prefilled(
        self, placement_id: PlacementId, slowdown: float | None = None
    ) -> None:
        """Reports that an engine has completed a prompt's prefill.

        Args:
            placement_id: The prompt.
            slowdown: Slowdown of the engine by this prompt's duration, None if
                the duration is unfit to learn from.
        """
        work = self._new_work(placement_id, "read")
        self._report(placement_id, work._replace(slowdown=slowdown))

    def report_withdrawn(self, placement_id: PlacementId) -> None:
        """Reports that an engine will not complete a prompt's prefill."""
        self._report(placement_id, self._new_work(placement_id, "withdrawn"))

    def _keys_by_owner(
        self, engines: Sequence[fleet.Server]
    ) -> dict[fleet.Address | None, list[int]]:
        found: dict[fleet.Address | None, list[int]] = collections.defaultdict(
            list
        )
        for engine in engines:
            key = notice_codec.hash_server_start(engine.start)
            found[self.queue_owner(engine)].append(key)
        return found

    def _ask(
        self,
        keys_by_owner: Mapping[fleet.Address | None, list[int]],
        priority: int,
        part_keys: tuple[int, ...],
    ) -> list[queue_codec.EngineWait]:
        owners = frozenset(one for one in keys_by_owner if one is not None)
        if not owners:
            return []
        number = next(self._numbers) % _NUMBERS_COUNT
        question = self._questions[number] = _PendingQuestion(owners)
        for owner, keys in keys_by_owner.items():
            if owner is not None:
                ask = queue_codec.WaitQuery(
                    number, priority, tuple(keys), part_keys
                )
                self._socket.send(b"q", queue_codec.encode(ask), (owner,))
        try:
            is_complete = question.is_complete.wait(REPLY_TIMEOUT_S)
        finally:
            del self._questions[number]
        result = "answered" if is_complete else "silent"
        _asked_total.inc({"result": result})
        return question.waits

    def _new_work(
        self, placement_id: PlacementId, event: queue_codec.PromptEvent
    ) -> queue_codec.PromptUpdate:
        key = notice_codec.hash_server_start(placement_id.server.start)
        return queue_codec.PromptUpdate(
            key, self._sender, placement_id.number, event
        )

    def _report(
        self, placement_id: PlacementId, work: queue_codec.PromptUpdate
    ) -> None:
        owner = self.queue_owner(placement_id.server)
        if owner is None:
            self._record(work)
        else:
            self._socket.send(b"q", queue_codec.encode(work), (owner,))

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = queue_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        match decoded.ok_value:
            case queue_codec.WaitQuery() as ask:
                self._reply(ask, source)
            case queue_codec.Waits() as waits:
                self._on_waits(waits, source)
            case queue_codec.PromptUpdate() as work:
                self._record(work)
        return True

    def _reply(self, ask: queue_codec.WaitQuery, source: fleet.Address) -> None:
        waits = self._local_waits(ask.engine_keys, ask.priority, ask.part_keys)
        reply = queue_codec.Waits(ask.number, tuple(waits))
        self._socket.send(b"q", queue_codec.encode(reply), (source,))

    def _local_waits(
        self,
        engine_keys: Sequence[int],
        priority: int,
        part_keys: Sequence[int],
    ) -> list[queue_codec.EngineWait]:
        now_s = self._clock.monotonic_s()
        found = []
        for key in engine_keys:
            # The asking gateway takes this one for the owner and will report
            # its placements here, so all work is counted from now on.
            queue = self._get_or_create_queue(key, now_s)
            found.append(
                queue_codec.EngineWait(
                    key,
                    queue.wait_s(priority, now_s),
                    queue.counted_s(now_s),
                    self._held_count(key, part_keys),
                    self._speeds.owned_slowdown(key, now_s),
                )
            )
        return found

    def _held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        if self._parts is None or not part_keys:
            return 0
        return self._parts.held_count(engine_key, part_keys)

    def _on_waits(
        self, waits: queue_codec.Waits, source: fleet.Address
    ) -> None:
        question = self._questions.get(waits.number)
        # The question is missing if the reply arrived too late.
        if question is None or source not in question.owners:
            return
        question.owners.discard(source)
        question.waits += waits.waits
        if not question.owners:
            question.is_complete.set()

    def _record(self, work: queue_codec.PromptUpdate) -> None:
        now_s = self._clock.monotonic_s()
        queue = self._get_or_create_queue(work.engine_key, now_s)
        placement_id = work.sender, work.number
        self._speeds.record(work, now_s)
        match work.event:
            case "placed":
                queue.add(placement_id, work.work_s, work.priority, now_s)
                if self._parts is not None and work.sender != self._sender:
                    self._parts.record_remote_prompt(
                        work.engine_key, work.parts, work.own_tokens
                    )
            case "read":
                queue.finish(placement_id, now_s)
            case "withdrawn":
                queue.withdraw(placement_id, now_s)

    def _get_or_create_queue(
        self, key: int, now_s: float
    ) -> prefill_queue.PrefillQueue:
        queue = self._queues.get(key)
        if queue is None:
            self._drop_idle_queues(now_s)
            queue = self._queues[key] = prefill_queue.PrefillQueue(now_s)
        return queue

    def _drop_idle_queues(self, now_s: float) -> None:
        kept = sorted(
            (queue.idle_s(now_s), key)
            for key, queue in self._queues.items()
            if queue.idle_s(now_s) < IDLE_QUEUE_TIMEOUT_S
        )
        self._queues = {
            key: self._queues[key] for _, key in kept[: QUEUES_LIMIT_COUNT - 1]
        }

"""One gateway keeps the queue of an engine; the others ask it.

Telling every gateway of every placement costs bytes with the square of their
number. Beyond some twenty of them notices wait for their bytes, a second and
more, and queues of a few tenths of a second are known when they are over:
gateways send to engines that look idle and are not, and half of all long
prompts come late. Here a placement is told to one gateway, the owner of the
engine's queue, and who has a prompt asks the owners of the best engines. That
costs the same whatever the number of gateways.

Owners are found by rendezvous hashing over the gateways of the engine's
availability zone, without an election. Nothing that must hold depends on them.
An owner that doesn't answer within some milliseconds, because it is gone,
frozen or cut off, leaves the asker with what it believes by itself; one that
has just become it says for how long it has counted. Two gateways that are both
taken for the owner know a part of the queue each.
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
from mulberrywharf.peers import codec, datagrams, queue_codec
from mulberrywharf.policy import part_caches, reading_queue

REPLY_TIMEOUT_S = 0.02
"""How long an answer is awaited. A way between availability zones and back
takes some 2 ms, and a gateway that is busy some ms more; callers wait some
hundred for their first token."""

QUEUE_COMPLETE_AFTER_S = 1.0
"""An owner that has counted for less is believed only where it knows of more
than the asker: longer queues are seldom, as callers are refused then."""

PARTS_COMPLETE_AFTER_S = 10.0
"""An owner that has counted for so long is believed to know of all parts that
an engine holds: those of before were used since, or make room soon."""

IDLE_QUEUE_TIMEOUT_S = 10.0
"""An engine that got no work for so long has no queue: what is kept of it is
dropped, and counted anew."""

ENGINES_PER_OWNER_COUNT = 3
"""Engines whose queues one gateway keeps, on the mean. A question costs about
the same for one engine or for a few, and the best of eight engines that are
known is far better than the best of three."""

ASKED_COUNT = 3
"""Owners that are asked for one prompt while there are bytes for it."""

ASKED_IN_DEBT_COUNT = 1
"""The same while no bytes are left: the best engine's queue may be long."""

QUEUES_LIMIT_COUNT = 1_000
"""Queues that are kept at the most, more than any fleet has engines: a gateway
that asks for engines that don't exist must not fill this one's memory."""

_NUMBERS_COUNT = 2**32

_asked_total = metrics.counter(
    "mulberry_queue_asks_total",
    "Questions for an engine's queue, by whether an answer came in time.",
)


class ToldWait(NamedTuple):
    """How long a prompt would wait at an engine, by what its owner says.

    Attributes:
        wait_s: Until the engine reads it.
        is_whole: Whether the owner has counted all that may still wait there.
        held_count: How many of the prompt's parts the engine holds, from the
            first one on.
        knows_parts: Whether the owner has counted for so long that it knows
            of all parts that are still held.
    """

    wait_s: float
    is_whole: bool
    held_count: int = 0
    knows_parts: bool = False


class Ticket(NamedTuple):
    """A prompt as it was told to the owner of its engine's queue.

    Attributes:
        server: The engine.
        number: This gateway's for the prompt.
    """

    server: fleet.Server
    number: int


class Parts(Protocol):
    """What this gateway knows of the parts that engines hold."""

    def note_counted(
        self,
        engine_key: int,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Takes in what another gateway's prompt leaves at an engine."""
        ...

    def held_count(self, engine_key: int, part_keys: Sequence[int]) -> int:
        """Returns how many of a prompt's parts an engine holds."""
        ...


class Directory(Protocol):
    """The other gateways."""

    @property
    def tells_all(self) -> bool:
        """Whether all gateways are told of all work."""
        ...

    def owner(
        self,
        engine_key: int,
        availability_zone: str,
        owners_count: int,
        kind: str,
    ) -> fleet.Address | None:
        """Returns who keeps an engine's queue, None for this gateway."""
        ...


class _PendingQuestion:
    """A question that is under way."""

    def __init__(self, owners: frozenset[fleet.Address]):
        self.owners = set(owners)
        self.waits: list[queue_codec.EngineWait] = []
        self.is_answered = gevent.event.Event()


class QueueOwners:
    """Asks and tells owners of queues, and is one of them."""

    def __init__(
        self,
        directory: Directory,
        socket: datagrams.PeerSocket,
        sender: int,
        system_clock: clock.Clock,
    ):
        """Makes it; hooks it to the socket, whose owner starts it.

        Args:
            directory: The other gateways.
            socket: Carries the messages.
            sender: Names this start of the process.
            system_clock: Measures queues.
        """
        self._directory = directory
        self._socket = socket
        self._sender = sender
        self._clock = system_clock
        self._queues: dict[int, reading_queue.ReadingQueue] = {}
        self._parts: Parts | None = None
        self._questions: dict[int, _PendingQuestion] = {}
        self._owners_counts: dict[tuple[str, fleet.Role | None], int] = {}
        self._numbers = itertools.count(1)
        socket.on_datagram(b"q", self._on_datagram)

    def keep_parts(self, parts: Parts) -> None:
        """Sets who knows of the parts that engines hold."""
        self._parts = parts

    @property
    def is_used(self) -> bool:
        """Whether the fleet is so large that owners keep the queues."""
        return not self._directory.tells_all

    def follow(self, known: Sequence[fleet.Server]) -> None:
        """Takes in the engines; owners share those of a zone and a role.

        One question tells of engines of one role, between which most prompts
        choose.
        """
        counts = collections.Counter(
            (server.availability_zone, server.role)
            for server in known
            if server.role is not None
        )
        self._owners_counts = {
            kind: math.ceil(count / ENGINES_PER_OWNER_COUNT)
            for kind, count in counts.items()
        }

    def owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns who keeps an engine's queue, None for this gateway."""
        kind = server.availability_zone, server.role
        return self._directory.owner(
            codec.key_of_server(server.start),
            server.availability_zone,
            self._owners_counts.get(kind, 1),
            server.role or "",
        )

    @property
    def asked_count(self) -> int:
        """Owners that may be asked for one prompt now."""
        has_bytes = self._socket.budget.level > 0
        return ASKED_COUNT if has_bytes else ASKED_IN_DEBT_COUNT

    def waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...] = (),
    ) -> Mapping[fleet.ServerStart, ToldWait]:
        """Asks how long a prompt would wait at engines, and what they hold.

        Args:
            engines: The engines.
            priority: Of the prompt, 0 is read first.
            part_keys: Of its long shared parts, in order.

        Returns:
            What came in time; other engines' owners did not answer.
        """
        start_by_key = {
            codec.key_of_server(engine.start): engine.start
            for engine in engines
        }
        keys_by_owner = self._keys_by_owner(engines)
        found = self._local_waits(
            keys_by_owner.pop(None, []), priority, part_keys
        )
        found += self._ask(keys_by_owner, priority, part_keys)
        return {
            start_by_key[wait.engine_key]: ToldWait(
                wait.wait_s,
                wait.known_s >= QUEUE_COMPLETE_AFTER_S,
                wait.held_count,
                wait.known_s >= PARTS_COMPLETE_AFTER_S,
            )
            for wait in found
            if wait.engine_key in start_by_key
        }

    def placed(
        self,
        server: fleet.Server,
        work_s: float,
        priority: int,
        parts: tuple[part_caches.HeldPart, ...] = (),
        own_tokens: int = 0,
    ) -> Ticket:
        """Tells that a prompt was sent to an engine.

        Args:
            server: The engine.
            work_s: What reading the prompt takes.
            priority: 0 is read first.
            parts: Its long shared parts, in order.
            own_tokens: Its other tokens.
        """
        number = next(self._numbers) % _NUMBERS_COUNT
        ticket = Ticket(server, number)
        work = self._new_work(ticket, "placed")
        self._report(
            ticket,
            work._replace(
                priority=priority,
                work_s=work_s,
                parts=parts,
                own_tokens=own_tokens,
            ),
        )
        return ticket

    def read(self, ticket: Ticket) -> None:
        """Tells that an engine has read a prompt."""
        self._report(ticket, self._new_work(ticket, "read"))

    def withdrawn(self, ticket: Ticket) -> None:
        """Tells that an engine will not read a prompt."""
        self._report(ticket, self._new_work(ticket, "withdrawn"))

    def _keys_by_owner(
        self, engines: Sequence[fleet.Server]
    ) -> dict[fleet.Address | None, list[int]]:
        found: dict[fleet.Address | None, list[int]] = collections.defaultdict(
            list
        )
        for engine in engines:
            key = codec.key_of_server(engine.start)
            found[self.owner(engine)].append(key)
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
                ask = queue_codec.Ask(number, priority, tuple(keys), part_keys)
                self._socket.send(b"q", queue_codec.encode(ask), (owner,))
        try:
            is_answered = question.is_answered.wait(REPLY_TIMEOUT_S)
        finally:
            del self._questions[number]
        result = "answered" if is_answered else "silent"
        _asked_total.inc({"result": result})
        return question.waits

    def _new_work(
        self, ticket: Ticket, matter: queue_codec.WorkMatter
    ) -> queue_codec.Work:
        key = codec.key_of_server(ticket.server.start)
        return queue_codec.Work(key, self._sender, ticket.number, matter)

    def _report(self, ticket: Ticket, work: queue_codec.Work) -> None:
        owner = self.owner(ticket.server)
        if owner is None:
            self._record(work)
        else:
            self._socket.send(b"q", queue_codec.encode(work), (owner,))

    def _on_datagram(self, datagram: bytes, source: fleet.Address) -> bool:
        decoded = queue_codec.decode(datagram)
        if isinstance(decoded, Err):
            logger.warning("message dropped: {}", decoded.err_value.message)
            return False
        match decoded.ok_value:
            case queue_codec.Ask() as ask:
                self._answer(ask, source)
            case queue_codec.Waits() as waits:
                self._on_waits(waits, source)
            case queue_codec.Work() as work:
                self._record(work)
        return True

    def _answer(self, ask: queue_codec.Ask, source: fleet.Address) -> None:
        waits = self._local_waits(ask.engine_keys, ask.priority, ask.part_keys)
        answer = queue_codec.Waits(ask.number, tuple(waits))
        self._socket.send(b"q", queue_codec.encode(answer), (source,))

    def _local_waits(
        self,
        engine_keys: Sequence[int],
        priority: int,
        part_keys: Sequence[int],
    ) -> list[queue_codec.EngineWait]:
        now_s = self._clock.monotonic_s()
        found = []
        for key in engine_keys:
            # Whoever asks takes this gateway for the owner, and will tell it
            # of what is placed: from now on all is counted here.
            queue = self._get_or_create_queue(key, now_s)
            found.append(
                queue_codec.EngineWait(
                    key,
                    queue.wait_s(priority, now_s),
                    queue.known_s(now_s),
                    self._held_count(key, part_keys),
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
        # An answer that nobody waits for came too late.
        if question is None or source not in question.owners:
            return
        question.owners.discard(source)
        question.waits += waits.waits
        if not question.owners:
            question.is_answered.set()

    def _record(self, work: queue_codec.Work) -> None:
        now_s = self._clock.monotonic_s()
        queue = self._get_or_create_queue(work.engine_key, now_s)
        placement = work.sender, work.number
        match work.matter:
            case "placed":
                queue.add(placement, work.work_s, work.priority, now_s)
                if self._parts is not None and work.sender != self._sender:
                    self._parts.note_counted(
                        work.engine_key, work.parts, work.own_tokens
                    )
            case "read":
                queue.read(placement, now_s)
            case "withdrawn":
                queue.withdraw(placement, now_s)

    def _get_or_create_queue(
        self, key: int, now_s: float
    ) -> reading_queue.ReadingQueue:
        queue = self._queues.get(key)
        if queue is None:
            self._drop_idle_queues(now_s)
            queue = self._queues[key] = reading_queue.ReadingQueue(now_s)
        return queue

    def _drop_idle_queues(self, now_s: float) -> None:
        kept = sorted(
            (one.idle_s(now_s), key)
            for key, one in self._queues.items()
            if one.idle_s(now_s) < IDLE_QUEUE_TIMEOUT_S
        )
        self._queues = {
            key: self._queues[key] for _, key in kept[: QUEUES_LIMIT_COUNT - 1]
        }

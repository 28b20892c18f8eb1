"""Tells other gateways what this one places, and hears what they place.

Without it each gateway sees only its own part of an engine's queue. In a burst
all of them then send to the same engines until answers come late, and none
refuses a caller in time.
"""

from collections.abc import Callable
from typing import Protocol

import gevent
import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import codec, datagrams
from mulberrywharf.policy import part_caches

COLLECTING_S = 0.002
"""Placements of the same moment leave in one datagram; a burst gains by it and
a queue of 30 ms and more is not misjudged for want of 2 ms."""

ZONE_LOADS_INTERVAL_S = 1.0
"""Between two tellings of how busy the engines of the own zone are, each to one
gateway of each other zone; so each hears of each other zone about once a second
where zones have as many gateways. Some 80 bytes a zone, 560 a second with eight
zones; the mix swings within three seconds."""

LATE_S = 0.1
"""A notice that waited for longer is logged: queues of a few tenths of a second
have changed by then."""

_waited_s = metrics.histogram(
    "mulberry_notice_wait_seconds",
    "From the first placement of a notice until it left.",
)


_PendingKey = tuple[int, tuple[part_caches.HeldPart, ...]]
"""Placements of the same parts at the same engine are told as one."""


class Peers(Protocol):
    """The other gateways."""

    @property
    def gateways_count(self) -> int:
        """All gateways, this one included."""
        ...

    @property
    def is_registered(self) -> bool:
        """Whether the others can know of this gateway."""
        ...

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the store for its neighbours."""
        ...

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        """Returns where the gateways take notices of a zone's engines."""
        ...

    def one_of_each_other_zone(self) -> tuple[fleet.Address, ...]:
        """Returns one gateway of each zone that hears nothing of this one's."""
        ...

    def hears_of(self, availability_zone: str) -> bool:
        """Tells whether this gateway hears of all work at a zone's engines."""
        ...

    def knows(self, ip: str) -> bool:
        """Tells whether a gateway has this address."""
        ...


class WorkNotices:
    """Sends and receives notices.

    Attributes:
        socket: Carries them, and messages of others.
    """

    def __init__(
        self,
        listen: fleet.Address,
        peers: Peers,
        sender: int,
        availability_zone: str,
        system_clock: clock.Clock,
    ):
        """Makes it; nothing is sent before ``start``.

        Args:
            listen: Where notices are taken.
            peers: The other gateways.
            sender: Names this start of the process.
            availability_zone: Where this gateway stands.
            system_clock: Measures what is spent.
        """
        self._availability_zone = availability_zone
        self._peers = peers
        self._sender = sender
        self._clock = system_clock
        self._sequence = 0
        self._told_at_s = float("-inf")
        self._pending: dict[str, dict[_PendingKey, codec.Placement]] = {}
        self._has_pending = gevent.event.Event()
        self._pending_since_s: float | None = None
        self._on_notice: Callable[[codec.Notice], None] = lambda _: None
        self._loads: Callable[[str], tuple[codec.Load, ...]] = lambda _: ()
        self._demands: Callable[[], tuple[codec.Demand, ...]] = lambda: ()
        self._role_loads: Callable[[], tuple[codec.RoleLoad, ...]] = tuple
        self._changing: list[int] = []
        self._seen: Callable[[], codec.Seen] = codec.Seen
        self._on_seen: Callable[[codec.Seen], None] = lambda _: None
        self.socket = datagrams.PeerSocket(listen, peers, system_clock)
        self.socket.on_datagram(b"n", self._take)
        self._tasks: list[gevent.Greenlet] = []

    def on_notice(
        self,
        on_notice: Callable[[codec.Notice], None],
        loads: Callable[[str], tuple[codec.Load, ...]] = lambda _: (),
        demands: Callable[[], tuple[codec.Demand, ...]] = tuple,
        role_loads: Callable[[], tuple[codec.RoleLoad, ...]] = tuple,
    ) -> None:
        """Sets who takes in what others tell, and what engines told.

        Args:
            on_notice: Takes in each notice.
            loads: Returns what engines of an availability zone told this
                gateway of their load.
            demands: Returns what this gateway's callers ask for.
            role_loads: Returns how busy the engines of its zone are.
        """
        self._on_notice = on_notice
        self._loads = loads
        self._demands = demands
        self._role_loads = role_loads

    def tell_seen(
        self,
        seen: Callable[[], codec.Seen],
        on_seen: Callable[[codec.Seen], None],
    ) -> None:
        """Sets what is told of the key-value service with each notice.

        Args:
            seen: Returns what this gateway has seen.
            on_seen: Takes in what another gateway has seen.
        """
        self._seen = seen
        self._on_seen = on_seen

    def tell_now(self) -> None:
        """Sends a notice though nothing was placed."""
        self._pending.setdefault(self._availability_zone, {})
        self._has_pending.set()

    def tell_changing(self, server: fleet.Server) -> None:
        """Tells that an engine was ordered to change its role."""
        self._changing.append(codec.key_of_server(server.start))
        self._pending.setdefault(server.availability_zone, {})
        self.tell_now()

    @property
    def told_at_s(self) -> float:
        """When the gateways of the own zone were last told anything."""
        return self._told_at_s

    @property
    def is_registered(self) -> bool:
        """Whether the others can know of this gateway."""
        return self._peers.is_registered

    @property
    def is_reader(self) -> bool:
        """Whether this gateway reads the store for its neighbours."""
        return self._peers.is_reader

    @property
    def gateways_count(self) -> int:
        """All gateways, this one included."""
        return self._peers.gateways_count

    def hears_of(self, server: fleet.Server) -> bool:
        """Tells whether this gateway hears of all work at an engine."""
        return self._peers.hears_of(server.availability_zone)

    def start(self) -> None:
        """Begins to send and to receive."""
        self.socket.start()
        self._tasks = [
            gevent.spawn(self._send),
            gevent.spawn(self._tell_zones),
        ]

    def close(self) -> None:
        """Stops both."""
        gevent.killall(self._tasks)
        self.socket.close()

    def add(
        self,
        server: fleet.Server,
        work_s: float,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Takes in one placement; it is told at once.

        Args:
            server: The engine.
            work_s: Engine time that the placement takes.
            parts: Long parts that the engine holds now, in order.
            own_tokens: Other tokens that it holds now.
        """
        if self._pending_since_s is None:
            self._pending_since_s = self._clock.monotonic_s()
        key = codec.key_of_server(server.start), parts
        pending = self._pending.setdefault(server.availability_zone, {})
        before = pending.get(key)
        pending[key] = codec.Placement(
            key[0],
            work_s + (before.work_s if before else 0.0),
            parts,
            own_tokens + (before.own_tokens if before else 0),
        )
        self._has_pending.set()

    def _send(self) -> None:
        while True:
            self._has_pending.wait()
            gevent.sleep(COLLECTING_S)
            pending, self._pending = self._pending, {}
            changing, self._changing = tuple(self._changing), []
            since_s, self._pending_since_s = self._pending_since_s, None
            self._has_pending.clear()
            for zone, by_key in pending.items():
                self._tell(zone, codec.fitting(by_key.values()), changing)
                if since_s is not None:
                    self._note_wait(since_s)

    def _note_wait(self, since_s: float) -> None:
        waited_s = self._clock.monotonic_s() - since_s
        _waited_s.observe({}, waited_s)
        if waited_s > LATE_S:
            # At most as many lines as the budget lets notices leave.
            logger.bind(
                waited_s=round(waited_s, 3),
                budget_bytes=round(self.socket.budget.level),
            ).info("a notice left late: its bytes were not to be had before")

    def _tell(
        self,
        zone: str,
        placements: tuple[codec.Placement, ...],
        changing: tuple[int, ...],
    ) -> None:
        self._sequence += 1
        datagram = codec.encode(
            codec.Notice(
                self._sender,
                self._sequence,
                placements,
                self._seen(),
                self._loads(zone)[: codec.LOADS_LIMIT_COUNT],
                self._demands(),
                changing,
            )
        )
        self._send_to(self._peers.addresses(zone), datagram)
        if zone == self._availability_zone:
            self._told_at_s = self._clock.monotonic_s()

    def _tell_zones(self) -> None:
        """Tells other zones how busy the engines of this one are."""
        while True:
            gevent.sleep(ZONE_LOADS_INTERVAL_S)
            whom = self._peers.one_of_each_other_zone()
            told = self._role_loads()
            if not whom or not told:
                continue
            self._sequence += 1
            notice = codec.Notice(
                self._sender,
                self._sequence,
                (),
                zone_key=codec.key_of(self._availability_zone),
                role_loads=told,
            )
            self._send_to(whom, codec.encode(notice))

    def _send_to(
        self, peers: tuple[fleet.Address, ...], datagram: bytes
    ) -> None:
        wait_s = self.socket.wait_s(datagram, len(peers))
        if wait_s > 0:
            gevent.sleep(wait_s)
        self.socket.send(b"n", datagram, peers)

    def _take(self, datagram: bytes, source: fleet.Address) -> bool:
        decoded = codec.decode(datagram)
        if isinstance(decoded, Err):
            logger.warning("notice dropped: {}", decoded.err_value.message)
            return False
        self._on_notice(decoded.ok_value)
        self._on_seen(decoded.ok_value.seen)
        return True

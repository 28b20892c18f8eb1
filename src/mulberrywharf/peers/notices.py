"""Sends notices about this gateway's placements and receives those of others.

Without notices, each gateway would know only its own part of an engine's queue.
In a burst, all gateways would then send to the same engines until answers came
late, and none would refuse callers in time.
"""

from collections.abc import Callable
from typing import Protocol

import gevent
import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics, supervised_task
from mulberrywharf.peers import datagrams, notice_codec
from mulberrywharf.policy import part_caches

BATCH_DELAY_S = 0.002
"""Delay before pending placements are sent together in one notice. It saves
datagrams in a burst, and a delay of 2 ms does not distort the estimate of a
queue of 30 ms or more."""

ZONE_LOADS_INTERVAL_S = 1.0
"""Interval at which a gateway sends role loads, the mean loads of its own
zone's engines by role, to one gateway of each other zone. If all zones have the
same number of gateways, each gateway hears from each other zone about once per
second. A notice takes about 80 bytes per zone, or 560 bytes/s with eight zones.
The mix of requests shifts within three seconds, so older reports are of little
use."""

LATE_S = 0.1
"""Notices that waited longer than this are logged, because queues of a few
tenths of a second have changed by then."""

_wait_histogram = metrics.histogram(
    "mulberry_notice_wait_seconds",
    "Time from the first placement in a notice until the notice is sent.",
)


_PendingKey = tuple[int, tuple[part_caches.HeldPart, ...]]
"""Engine key and prompt parts; placements that share both are merged."""


class Peers(Protocol):
    """The other gateways."""

    @property
    def gateways_count(self) -> int:
        """Number of all gateways, including this one."""
        ...

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        """Returns the gateways that receive notices about a zone's engines."""
        ...

    def pick_gateway_per_other_zone(self) -> tuple[fleet.Address, ...]:
        """Returns one gateway of each other zone, none in a full mesh."""
        ...

    def receives_notices_for(self, availability_zone: str) -> bool:
        """Returns whether all work at a zone's engines is reported here."""
        ...

    def knows(self, ip: str) -> bool:
        """Returns whether a gateway has this address."""
        ...


class NoticeExchange:
    """Sends and receives notices.

    Attributes:
        socket: The socket for notices, also used for other kinds of datagrams.
    """

    def __init__(
        self,
        listen: fleet.Address,
        peers: Peers,
        sender: int,
        availability_zone: str,
        system_clock: clock.Clock,
    ):
        """Creates the socket; nothing is sent before ``start``.

        Args:
            listen: Address on which notices are received.
            peers: The other gateways.
            sender: Identifies this run of the process.
            availability_zone: Zone of this gateway.
            system_clock: Measures waiting times and the byte budget.
        """
        self._availability_zone = availability_zone
        self._peers = peers
        self._sender = sender
        self._clock = system_clock
        self._sequence = 0
        self._pending: dict[str, dict[_PendingKey, notice_codec.Placement]] = {}
        self._has_pending = gevent.event.Event()
        self._pending_since_s: float | None = None
        self._on_notice: Callable[[notice_codec.Notice], None] = lambda _: None
        self._loads: Callable[[str], tuple[notice_codec.Load, ...]] = (
            lambda _: ()
        )  # fmt: skip
        self._demands: Callable[[], tuple[notice_codec.Demand, ...]] = (
            lambda: ()
        )  # fmt: skip
        self._role_loads: Callable[[], tuple[notice_codec.RoleLoad, ...]] = (
            tuple
        )
        self._changing: list[int] = []
        self._seen: Callable[[], notice_codec.SeenRevisions] = (
            notice_codec.SeenRevisions
        )
        self._on_seen: Callable[[notice_codec.SeenRevisions], None] = (
            lambda _: None
        )  # fmt: skip
        self.socket = datagrams.PeerSocket(listen, peers, system_clock)
        self.socket.set_handler(b"n", self._on_datagram)
        self._tasks: list[gevent.Greenlet] = []

    def set_sources(
        self,
        on_notice: Callable[[notice_codec.Notice], None],
        loads: Callable[[str], tuple[notice_codec.Load, ...]] = lambda _: (),
        demands: Callable[[], tuple[notice_codec.Demand, ...]] = tuple,
        role_loads: Callable[[], tuple[notice_codec.RoleLoad, ...]] = tuple,
    ) -> None:
        """Sets the callback for received notices and what this gateway sends.

        Args:
            on_notice: Called with each received notice.
            loads: Returns the loads that engines of an availability zone
                reported to this gateway.
            demands: Returns the prefill work that its callers request.
            role_loads: Returns the mean loads of the engines in its zone.
        """
        self._on_notice = on_notice
        self._loads = loads
        self._demands = demands
        self._role_loads = role_loads

    def set_seen_callbacks(
        self,
        seen: Callable[[], notice_codec.SeenRevisions],
        on_seen: Callable[[notice_codec.SeenRevisions], None],
    ) -> None:
        """Sets the callbacks for the key-value service revisions in notices.

        Args:
            seen: Returns the latest changes that this gateway has seen.
            on_seen: Called with those that another gateway has seen.
        """
        self._seen = seen
        self._on_seen = on_seen

    def send_now(self) -> None:
        """Sends a notice even if nothing was placed."""
        self._pending.setdefault(self._availability_zone, {})
        self._has_pending.set()

    def report_role_change(self, server: fleet.Server) -> None:
        """Reports that an engine was ordered to change its role."""
        self._changing.append(notice_codec.hash_server_start(server.start))
        self._pending.setdefault(server.availability_zone, {})
        self.send_now()

    @property
    def gateways_count(self) -> int:
        """Number of all gateways, including this one."""
        return self._peers.gateways_count

    def receives_notices_for(self, server: fleet.Server) -> bool:
        """Returns whether all work at an engine is reported to this gateway."""
        return self._peers.receives_notices_for(server.availability_zone)

    def start(self) -> None:
        """Starts sending and receiving."""
        self.socket.start()
        self._tasks = [
            supervised_task.spawn("notices", self._send_pending),
            supervised_task.spawn("role-loads", self._send_role_loads),
        ]

    def close(self) -> None:
        """Stops sending and receiving."""
        gevent.killall(self._tasks)
        self.socket.close()

    def add_placement(
        self,
        server: fleet.Server,
        work_s: float,
        parts: tuple[part_caches.HeldPart, ...],
        own_tokens: int,
    ) -> None:
        """Adds one placement to the notice that is sent next.

        Args:
            server: The engine.
            work_s: Engine time that the placement takes, in seconds.
            parts: Long shared parts of the prompt, in order, which the engine
                now holds.
            own_tokens: Number of prompt tokens outside these parts, which it
                now holds as well.
        """
        if self._pending_since_s is None:
            self._pending_since_s = self._clock.monotonic_s()
        key = notice_codec.hash_server_start(server.start), parts
        pending = self._pending.setdefault(server.availability_zone, {})
        earlier = pending.get(key)
        pending[key] = notice_codec.Placement(
            key[0],
            work_s + (earlier.work_s if earlier else 0.0),
            parts,
            own_tokens + (earlier.own_tokens if earlier else 0),
        )
        self._has_pending.set()

    def _send_pending(self) -> None:
        while True:
            self._has_pending.wait()
            gevent.sleep(BATCH_DELAY_S)
            pending, self._pending = self._pending, {}
            changing, self._changing = tuple(self._changing), []
            since_s, self._pending_since_s = self._pending_since_s, None
            self._has_pending.clear()
            for zone, by_key in pending.items():
                self._send_notice(
                    zone, notice_codec.fit_datagram(by_key.values()), changing
                )
                if since_s is not None:
                    self._record_wait(since_s)

    def _record_wait(self, since_s: float) -> None:
        waited_s = self._clock.monotonic_s() - since_s
        _wait_histogram.observe({}, waited_s)
        if waited_s > LATE_S:
            # The byte budget limits notices and thereby these log lines.
            logger.bind(
                waited_s=round(waited_s, 3),
                budget_bytes=round(self.socket.budget.level),
            ).info("a notice left late: the byte budget was exhausted")

    def _send_notice(
        self,
        zone: str,
        placements: tuple[notice_codec.Placement, ...],
        changing: tuple[int, ...],
    ) -> None:
        self._sequence += 1
        body = notice_codec.encode(
            notice_codec.Notice(
                self._sender,
                self._sequence,
                placements,
                self._seen(),
                self._loads(zone)[: notice_codec.LOADS_LIMIT_COUNT],
                self._demands(),
                changing,
            )
        )
        self._send_to(self._peers.addresses(zone), body)

    def _send_role_loads(self) -> None:
        """Sends the role loads of this zone to other zones."""
        while True:
            gevent.sleep(ZONE_LOADS_INTERVAL_S)
            receivers = self._peers.pick_gateway_per_other_zone()
            role_loads = self._role_loads()
            if not receivers or not role_loads:
                continue
            self._sequence += 1
            notice = notice_codec.Notice(
                self._sender,
                self._sequence,
                (),
                zone_key=notice_codec.hash_name(self._availability_zone),
                role_loads=role_loads,
            )
            self._send_to(receivers, notice_codec.encode(notice))

    def _send_to(self, peers: tuple[fleet.Address, ...], body: bytes) -> None:
        wait_s = self.socket.wait_s(body, len(peers))
        if wait_s > 0:
            gevent.sleep(wait_s)
        self.socket.send(b"n", body, peers)

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = notice_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        self._on_notice(decoded.ok_value)
        self._on_seen(decoded.ok_value.seen)
        return True

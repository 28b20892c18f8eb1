"""Plays many gateways and failing servers in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from mulberrywharf import fleet
from mulberrywharf.peers import (
    datagrams,
    directory,
    ejection_exchange,
    notice_codec,
)
from mulberrywharf.policy import gateway_ranks
from tests import builders_routes as build

LATENCY_S = 0.0015


class Fault(NamedTuple):
    """A server whose answers fail with a probability from some time on."""

    server_id: str
    begins_s: float = 0.0
    ends_s: float = float("inf")
    share: float = 1.0


class Node:
    """One gateway, as its exchange sees the others."""

    def __init__(self, play: "Play", number: int):
        self.play, self.zone = play, f"zone-{number % play.zones_count}"
        self.address = fleet.Address("127.0.0.1", 1_000 + number)
        self.handlers: dict[bytes, Any] = {}
        self.sent_bytes, self.messages = 0, []
        self.is_alive = True
        self.exchange = ejection_exchange.EjectionExchange(
            self,
            self,
            lambda service: play.servers,
            play,
            play.rng,
            play.call_later,
        )
        self.exchange.set_servers(tuple(play.servers))

    @property
    def gateways_count(self) -> int:
        return len(self.play.nodes)

    def addresses(self, availability_zone: str) -> tuple[fleet.Address, ...]:
        return tuple(
            one.address
            for one in self.play.nodes
            if one is not self and one.zone == availability_zone
        )

    def receives_notices_for(self, availability_zone: str) -> bool:
        return self.zone == availability_zone

    def recent_addresses(self) -> tuple[fleet.Address, ...]:
        return tuple(n.address for n in self.play.nodes if n is not self)

    def ranked_gateways(
        self, matter: str, key: int, availability_zone: str
    ) -> tuple[directory.RankedGateway, ...]:
        ranked = self.play.ranked(matter, key, availability_zone)
        return tuple(
            directory.RankedGateway(
                rank, None if one is self else one.address, True
            )
            for rank, one in enumerate(ranked)
        )

    def register(self, topic: bytes, handler: Any) -> None:
        self.handlers[topic] = handler

    def send(
        self, topic: bytes, body: bytes, addresses: Any, *, is_urgent: bool
    ) -> bool:
        for address in addresses:
            size = len(body) + datagrams.DATAGRAM_OVERHEAD_BYTES + 1
            self.sent_bytes += size
            self.messages.append(topic + body[:1])
            target = self.play.by_address[address]
            if self.play.delivers(self, target, topic + body):
                self.play.call_later(
                    LATENCY_S, target.receive, topic, body, self.address
                )
        return True

    def receive(self, topic: bytes, body: bytes, source: Any) -> None:
        if self.is_alive:
            assert self.handlers[topic](body, source)


class Play:
    """The gateways, the servers and the time.

    Attributes:
        requests_per_s: Requests of each gateway to servers of its own zone.
        attraction: How much more often than another server one that fails is
            chosen, as its queue is empty.
    """

    def __init__(
        self,
        *faults: Fault,
        gateways_count: int = 68,
        zones_count: int = 4,
        servers_count: int = 24,
        everywhere_share: float = 0.0,
        delivers: Callable[..., bool] = lambda *_: True,
        requests_per_s: float = 3.5,
        seed: int = 1,
    ):
        self.now_s, self.rng = 100.0, random.Random(seed)
        self.zones_count, self.faults = zones_count, faults
        self.everywhere_share, self.delivers = everywhere_share, delivers
        self.requests_per_s, self.attraction = requests_per_s, 8.0
        self.failed_count = self.at_most_once_failed_count = 0
        self._queue: list[Any] = []
        self._order = itertools.count()
        self._ranks = gateway_ranks.GatewayRanks()
        self.servers = [
            build.server(
                f"s{number}",
                availability_zone=f"zone-{number % zones_count}",
                role="decode",
            )
            for number in range(servers_count)
        ]
        self.nodes: list[Node] = []
        for number in range(gateways_count):
            self.nodes.append(Node(self, number))
        self.by_address = {one.address: one for one in self.nodes}
        self._ranks.note_listed(
            {str(one.address): one.zone for one in self.nodes}, self.now_s
        )
        for node in self.nodes:
            self.call_later(self._gap_s(), self._request, node)

    def monotonic_s(self) -> float:
        return self.now_s

    def unix_s(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, call: Any, *args: Any) -> None:
        entry = (self.now_s + delay_s, next(self._order), call, args)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.now_s = until_s

    def run_until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Runs until a condition holds; returns the time that took."""
        began_s = self.now_s
        while not holds() and self.now_s < began_s + limit_s:
            self.run(0.01)
        return self.now_s - began_s

    def ranked(self, matter: str, key: int, zone: str) -> list[Node]:
        by_name = {str(one.address): one for one in self.nodes}
        ranked = self._ranks.ranked(
            gateway_ranks.matter_key(matter, key), zone, self.now_s
        )
        return [by_name[name] for name in ranked]

    def aggregators(self, server_id: str) -> list[Node]:
        server = self.server(server_id)
        key = notice_codec.hash_server_start(server.start)
        return self.ranked("outcomes", key, server.availability_zone)

    def server(self, server_id: str) -> fleet.Server:
        return next(one for one in self.servers if one.server_id == server_id)

    def ejecting(self, server_id: str) -> int:
        """Returns how many running gateways don't use a server."""
        start = self.server(server_id).start
        return sum(
            one.exchange.is_ejected(start) for one in self.nodes if one.is_alive
        )

    def ejections_count(self) -> int:
        return sum(
            one.exchange.is_ejected(server.start)
            for one in self.nodes
            for server in self.servers
        )

    def replace_server(self, old: fleet.Server, new: fleet.Server) -> None:
        self.servers[self.servers.index(old)] = new
        for node in self.nodes:
            node.exchange.set_servers(tuple(self.servers))

    def _gap_s(self) -> float:
        return self.rng.expovariate(self.requests_per_s)

    def _failure_share(self, server: fleet.Server) -> float:
        return max(
            (
                fault.share
                for fault in self.faults
                if fault.server_id == server.server_id
                and server.start.started_unix_ms is None
                and fault.begins_s <= self.now_s - 100.0 < fault.ends_s
            ),
            default=self.everywhere_share,
        )

    def _request(self, node: Node) -> None:
        if not node.is_alive:
            return
        self.call_later(self._gap_s(), self._request, node)
        near = [
            one for one in self.servers if one.availability_zone == node.zone
        ]
        may_repeat = self.rng.random() < 0.8
        allowed = node.exchange.allowed(near, may_repeat=may_repeat)
        weights = [
            1 + self.attraction * (self._failure_share(one) > 0.9)
            for one in allowed
        ]
        (server,) = self.rng.choices(allowed, weights)
        is_failure = self.rng.random() < self._failure_share(server)
        self.failed_count += is_failure
        on_trial = node.exchange.is_ejected(server.start)
        self.at_most_once_failed_count += (
            is_failure and on_trial and not may_repeat
        )
        node.exchange.note_outcome(server.start, is_failure)

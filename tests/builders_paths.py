"""Gateways with a fault proxy between each of them and each server.

Datagrams between gateways can be led through relays.
"""

import functools
import itertools
import json
import time
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, NamedTuple

import gevent
from gevent import socket

from mulberrywharf.peers import directory
from mulberrywharf.platform import documents
from standins import datagram_relay, fault_proxy
from tests import (
    builders_addresses,
    builders_gateways,
    builders_platform,
    processes,
    test_gateway,
)
from tests import builders_routes as build

SHORT_PROMPT_FIELDS = (
    "x-mulberrywharf-model: m\r\n"
    "x-mulberrywharf-token-usage: 300,5\r\n"
    "x-mulberrywharf-prompt-prefix: cc:300\r\n"
)
LONG_PROMPT_FIELDS = test_gateway.PROMPT_FIELDS
KNOWN_S = 2.0
"""Time within which gateways that start together know each other."""

_NODES_PORT = 7663
_CALLERS_COUNT = 4
_RELAYS_HOST = 100
_NODES_LIMIT_COUNT = 10


class Tried(NamedTuple):
    """The first and only try of one request.

    Attributes:
        path: The path called.
        status: HTTP status, 0 for a closed connection.
        took_s: Time until the end of the answer.
        body: Body of the answer.
        request_id: Its id.
        headers: Header fields of the answer.
    """

    path: str
    status: int
    took_s: float
    body: bytes
    request_id: str
    headers: dict[str, str]


class StoreView:
    """What one gateway reads in the store.

    Attributes:
        is_held: Whether it reads the routes as they were when this was set.
    """

    def __init__(
        self,
        address_of: Callable[[str, str], str],
        peer_address_of: Callable[[str], str] = str,
    ):
        """Creates it.

        Args:
            address_of: Returns the address at which the gateway finds a
                server, given the server's id and address.
            peer_address_of: Returns the address at which it finds another
                gateway, given that gateway's address.
        """
        self.is_held = False
        self._address_of = address_of
        self._peer_address_of = peer_address_of
        self._routes = b""

    def __call__(self, key: str, value: bytes) -> bytes:
        """Returns the value that the gateway reads under a key."""
        if key == documents.ROUTES_KEY:
            if not self.is_held:
                self._routes = value
            return self._routes
        if key.startswith(directory.KEY_PREFIX):
            address, mark, zone = value.decode().partition("/")
            return f"{self._peer_address_of(address)}{mark}{zone}".encode()
        if not key.startswith(documents.SERVERS_PREFIX):
            return value
        record = json.loads(value)
        server_id = key.removeprefix(documents.SERVERS_PREFIX)
        record["address"] = self._address_of(server_id, record["address"])
        return json.dumps(record).encode()


class PeerPath:
    """The path between two gateways, for datagrams and connections."""

    def __init__(self, ends: tuple[str, str], net: str, hosts: tuple[int, int]):
        """Creates it.

        Args:
            ends: Addresses of the gateways.
            net: First three numbers of the addresses of this path.
            hosts: Last number of the address by which the other gateway knows
                each of them.
        """
        self.seen_as = tuple(f"{net}.{host}:{_NODES_PORT}" for host in hosts)
        first, second = map(_pair, ends)
        first_seen, second_seen = map(_pair, self.seen_as)
        self._relay = datagram_relay.DatagramRelay(
            (first, second), (first_seen, second_seen)
        )
        self._proxies = [
            fault_proxy.FaultProxy(end, ip=seen[0])
            for end, seen in ((first, first_seen), (second, second_seen))
        ]

    def start(self) -> None:
        """Begins to carry."""
        self._relay.start()
        for proxy in self._proxies:
            proxy.start(_NODES_PORT)

    def close(self) -> None:
        """Stops."""
        self._relay.close()
        for proxy in self._proxies:
            proxy.close()

    def lose(self, ways: Collection[datagram_relay.Way]) -> None:
        """Loses all that goes these ways; no way heals the path."""
        self._relay.lost_ways = frozenset(ways)
        for to_way, from_way, proxy in zip(
            datagram_relay.WAYS,
            reversed(datagram_relay.WAYS),
            self._proxies,
            strict=True,
        ):
            mode = "pass"
            if {to_way, from_way} <= set(ways):
                mode = "silent"
            elif to_way in ways:
                mode = "half-open-up"
            elif from_way in ways:
                mode = "half-open-down"
            proxy.set_faults(mode=mode)


class PathCase(test_gateway.GatewayCase):
    """Gateways whose paths to the servers can be cut one by one.

    Attributes:
        tenants: Customers in the routes; without any, no request needs a key.
        relayed_number: The gateway whose paths to the others can be cut, None
            for none.
        proxied_numbers: The gateways with a fault proxy before each server,
            None for all.
    """

    tenants: Sequence[dict[str, Any]] = ()
    relayed_number: int | None = None
    proxied_numbers: Collection[int] | None = None

    def setUp(self) -> None:
        super().setUp()
        self.gateways: list[processes.Process] = []
        self.node_addresses: list[str] = []
        self.paths: list[dict[str, fault_proxy.FaultProxy]] = []
        self.views: list[StoreView] = []
        self.view_ports: list[int] = []
        self.peer_paths: dict[int, PeerPath] = {}
        self._numbers = itertools.count()

    def write_routes(self, version: int = 1) -> None:
        """Writes a route of each kind of request."""
        document = build.routes_document(version)
        if self.tenants:
            document["tenants"] = list(self.tenants)
        safe, stream = document["routes"]
        stream = {**stream, "service": "engines"}
        del stream["traffic-split"]
        unsafe = {**safe, "name": "r-unsafe", "prefix": "/unsafe/"}
        unsafe["kind"] = "unsafe"
        once = {**stream, "name": "r-once", "prefix": "/once/"}
        once["resumable"] = False
        document["routes"] = [safe, unsafe, stream, once]
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def start_gateways(
        self, count: int, zones: Sequence[str] = ("zone-a",), **settings: Any
    ) -> None:
        """Starts gateways, in the given zones by turns."""
        self.write_routes()
        net = builders_addresses.claim_net(self)
        starting = []
        if self.relayed_number is not None:
            self._start_peer_paths(net, count)
        for number in range(count):
            self.paths.append({})
            self.views.append(self._view_of(number))
            self.node_addresses.append(f"{net}.{number + 1}:{_NODES_PORT}")
            store_port = self.store.add_view(self.views[-1])
            self.view_ports.append(store_port)
            starting.append(
                gevent.spawn(
                    self.start,
                    f"entry-{number}",
                    nodes_listen=self.node_addresses[-1],
                    availability_zone=zones[number % len(zones)],
                    store=f"127.0.0.1:{store_port}",
                    **settings,
                )
            )
        self.gateways = [one.get() for one in starting]
        for gateway in self.gateways:
            self.gateway = gateway
            self.wait_ready()
        gevent.sleep(KNOWN_S)
        self.assertTrue(builders_gateways.know_each_other(self.gateways))

    def cut(
        self,
        numbers: Iterable[int],
        mode: str,
        server_ids: Sequence[str] | None = None,
        delay_ms: float = 0.0,
    ) -> None:
        """Cuts gateways off from servers.

        Args:
            numbers: The gateways.
            mode: A mode of ``FaultProxy``; ``pass`` heals.
            server_ids: The servers, None for all.
            delay_ms: Delay of ``FaultProxy``.
        """
        for number in numbers:
            for server_id, path in self.paths[number].items():
                if server_ids is None or server_id in server_ids:
                    path.set_faults(mode=mode, delay_ms=delay_ms)

    def reset(self, numbers: Iterable[int]) -> None:
        """Resets connections to all servers and refuses new ones."""
        for number in numbers:
            for path in self.paths[number].values():
                path.set_faults(mode="refuse")
                path.reset_all()

    def cut_peers(self, ways: Collection[datagram_relay.Way]) -> None:
        """Cuts the relayed gateway off from the others.

        Args:
            ways: What is lost; ``to-first`` is what goes to that gateway. No
                way heals the paths.
        """
        for path in self.peer_paths.values():
            path.lose(ways)

    def call(self, number: int, path: str, fields: str = "") -> Tried:
        """Sends one request to a gateway and returns what became of it."""
        request_id = f"call-{next(self._numbers)}"
        address = ("127.0.0.1", self.gateways[number].ready["callers"])
        sent = test_gateway.request(path, fields=fields)
        began_s = time.monotonic()
        raw = b""
        with socket.create_connection(address) as sock:
            sock.settimeout(15)
            sock.sendall(sent.replace(b"id-1", request_id.encode()))
            try:
                while some := sock.recv(65536):
                    raw += some
            except OSError:
                raw = b""
        took_s = time.monotonic() - began_s
        if not raw:
            return Tried(path, 0, took_s, b"", request_id, {})
        answer = test_gateway.Answer(raw)
        return Tried(
            path,
            answer.status,
            took_s,
            answer.body,
            request_id,
            answer.headers,
        )

    def call_all(
        self,
        numbers: Iterable[int],
        paths: Sequence[str],
        rounds_count: int,
    ) -> dict[int, list[Tried]]:
        """Calls each path at each of the gateways, a few at a time."""
        tried: dict[int, list[Tried]] = {number: [] for number in numbers}
        work = [
            (number, path)
            for _ in range(rounds_count)
            for path in paths
            for number in tried
        ]

        def run() -> None:
            while work:
                number, path = work.pop(0)
                tried[number].append(
                    self.call(number, path, prompt_fields(path))
                )

        gevent.joinall(
            [gevent.spawn(run) for _ in range(_CALLERS_COUNT)],
            raise_error=True,
        )
        return tried

    def metric(self, number: int, name: str) -> float:
        """Returns the sum of a gateway's metric over its labels."""
        return builders_gateways.metric(self.gateways[number], name)

    def wait_metric(self, number: int, name: str, least: float = 1.0) -> bool:
        """Waits until a gateway's metric has reached a value."""
        return builders_platform.wait_until(
            lambda: self.metric(number, name) >= least
        )

    def _view_of(self, number: int) -> StoreView:
        def address_of(server_id: str, address: str) -> str:
            proxied = self.proxied_numbers
            if proxied is not None and number not in proxied:
                return address
            return f"127.0.0.1:{self._path(number, server_id, address).port}"

        return StoreView(
            address_of, functools.partial(self._peer_address, number)
        )

    def _start_peer_paths(self, net: str, count: int) -> None:
        relayed = self.relayed_number
        for other in range(count):
            if relayed is None or other == relayed:
                continue
            host = _RELAYS_HOST + _NODES_LIMIT_COUNT * other
            path = PeerPath(
                (
                    f"{net}.{relayed + 1}:{_NODES_PORT}",
                    f"{net}.{other + 1}:{_NODES_PORT}",
                ),
                net,
                (host, host + 1),
            )
            path.start()
            self.addCleanup(path.close)
            self.peer_paths[other] = path

    def _peer_address(self, number: int, address: str) -> str:
        """Returns where a gateway finds the one with an address."""
        if address not in self.node_addresses:
            return address
        found = self.node_addresses.index(address)
        if number == self.relayed_number and found in self.peer_paths:
            return self.peer_paths[found].seen_as[1]
        if found == self.relayed_number and number in self.peer_paths:
            return self.peer_paths[number].seen_as[0]
        return address

    def _path(
        self, number: int, server_id: str, address: str
    ) -> fault_proxy.FaultProxy:
        paths = self.paths[number]
        if server_id not in paths:
            paths[server_id] = fault_proxy.FaultProxy(_pair(address))
            paths[server_id].start()
            self.addCleanup(paths[server_id].close)
        return paths[server_id]


def prompt_fields(path: str) -> str:
    """Returns the header fields that a path's route needs."""
    is_stream = path.startswith(("/stream/", "/once/"))
    return SHORT_PROMPT_FIELDS if is_stream else ""


def _pair(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def served_share(tried: Iterable[Tried]) -> float:
    """Returns the share of requests that ended with a server's whole answer."""
    statuses = [one.status for one in tried]
    return statuses.count(200) / len(statuses)

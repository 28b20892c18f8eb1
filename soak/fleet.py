"""The processes of one seed, and a fault proxy on every way between them."""

import itertools
import json
import pathlib
import random
import tempfile
import time
from collections.abc import Iterator
from typing import Any

import gevent

from mulberrywharf.platform import documents
from proofs import routes_in_force, stream_order_fleet
from soak import stream_server
from standins import fault_proxy, held_port, platform_server
from tests import builders_routes as build
from tests import processes

LOOPBACK = "127.0.0.1"
GATEWAYS_COUNT = 2
GRACE_S = 4
"""Time to stop that the gateways' settings name."""

_NOTICES_PORT = 7661
CULPRIT = "ends whoever runs it"
"""Body of the request that ends each server."""

STATIC_KEY_CUSTOMER = "steady"
STATIC_KEY = "key-of-steady"
"""Valid for the whole run."""

ROTATING_KEY_CUSTOMER = "changing"
"""The customer whose key is rotated during the run."""

REPEATS = {"ratio": 0.2, "window_s": 4.0, "allowance_count": 16}
"""Budget of repeats, as set in the gateways' settings."""

REVOCATION_BOUND_S = 2.0
"""How long gateways may accept a revoked key, as set in their settings."""

HEARTBEAT_S = 1.0
"""How often a server writes its record."""

AWAY_S = 0.5
"""How long a server is away behind its end, until it begins again."""

_SERVERS = (
    ("plain-1", "plain", ""),
    ("plain-2", "plain", ""),
    ("pre-1", "engines", "prefill"),
    ("dec-1", "engines", "decode"),
    ("dec-2", "engines", "decode"),
    ("dec-3", "engines", "decode"),
)


_JOINED = "joined-"
JOINED_SERVICE = "engines"
"""Service of the servers that join."""

_VERSIONS = ("v1", "v1", "v1", "v1.1", "v1.1")
"""Software versions of servers in the order of their starts; five, so that each
engine gets another one in time."""


def service_of(server_name: str) -> str:
    """Returns the service of a server by its first id, or "" if unknown."""
    services = {name: service for name, service, _ in _SERVERS}
    default = JOINED_SERVICE if server_name.startswith(_JOINED) else ""
    return services.get(server_name, default)


class ServerWay:
    """The ways of all gateways to one server.

    Attributes:
        paths: One fault proxy for each gateway.
    """

    def __init__(self, port: int):
        self.paths = [
            fault_proxy.FaultProxy((LOOPBACK, port))
            for _ in range(GATEWAYS_COUNT)
        ]

    def start(self) -> None:
        """Starts to listen."""
        for path in self.paths:
            path.start()

    def close(self) -> None:
        """Stops listening and resets every connection."""
        for path in self.paths:
            path.close()

    def set_faults(self, **fields: Any) -> None:
        """Harms or heals the ways of all gateways."""
        for path in self.paths:
            path.set_faults(**fields)

    def reset_all(self) -> None:
        """Resets every connection."""
        for path in self.paths:
            path.reset_all()


class Fleet:
    """Gateways as processes; store and servers beside them.

    Attributes:
        store: The store.
        servers: The servers by the id that they had first.
        joined: Those of newer software versions that joined later, likewise.
        run_ends: How each run at a server ended, by request id, by time; those
            of streams with shapes only.
        ways: The fault proxies by name; those to a server are one for each
            gateway.
        server_ways: The ways to each server by the port that it listens on.
        gateways: The gateways' processes, None while one is started anew.
        kills: Index of a gateway that was killed, and when.
        harms: Name of a way that was harmed, from when until when.
        upsets: Index of a gateway that was started, stopped or paused, or None
            for the store and with it for all, from when until when.
        route_writes: Versions of the added paths, see ``routes_in_force``.
        store_outages: From when until when the store did not answer as it
            should, to any gateway.
        gateway_outages: Index of a gateway that was started, ended or paused,
            from when until when.
        rotating_key: Current key of ``ROTATING_KEY_CUSTOMER``.
        revoked_at_s: Monotonic time at which each of its previous keys was
            revoked, infinite while the revocation is being written.
        starts: Index of a gateway that was started, from when until when.
        restores: From when until when the store was being restored from an
            older copy: from taking the copy until the routes are written again.
        is_over: Set once callers are to end.
    """

    def __init__(self, timeout_ms: int | None = None) -> None:
        """Makes a fleet.

        Args:
            timeout_ms: Timeout of all routes, None for the usual ones.
        """
        self._timeout_ms = timeout_ms
        self.store = stream_order_fleet.LaggingStore()
        self.servers: dict[str, platform_server.PlatformServerStandin] = {}
        self.joined: dict[str, platform_server.PlatformServerStandin] = {}
        self.run_ends: dict[str, list[str]] = {}
        self.ways: dict[str, fault_proxy.FaultProxy | ServerWay] = {}
        self.server_ways: dict[int, ServerWay] = {}
        self.gateways: list[processes.Process | None] = []
        self._logged: list[processes.LoggedProcess] = []
        self.kills: list[tuple[int, float]] = []
        self.harms: list[tuple[str, float, float]] = []
        self.upsets: list[tuple[int | None, float, float]] = []
        self._ids: dict[str, str] = {}
        self._versions = itertools.cycle(_VERSIONS)
        self._away: set[str] = set()
        self._parted: set[str] = set()
        self._records_count = 0
        self._heart: gevent.Greenlet | None = None
        self.route_writes: list[routes_in_force.Write] = []
        self.store_outages: list[tuple[float, float]] = []
        self.gateway_outages: list[tuple[int, float, float]] = []
        self.rotating_key = "key-of-changing-0"
        self.revoked_at_s: dict[str, float] = {}
        self.starts: list[tuple[int, float, float]] = []
        self.restores: list[tuple[float, float]] = []
        self.is_over = False
        self._fields: dict[str, dict[str, str]] = {}
        self._views: list[Any] = []
        self._view_ports: list[int] = []
        # A caller's way leads there also while the gateway is started anew.
        self._callers_ports = [
            held_port.HeldPort(LOOPBACK) for _ in range(GATEWAYS_COUNT)
        ]
        self._folder = tempfile.TemporaryDirectory()
        # Two soaks at once must not hear each other's notices.
        pick = random.SystemRandom()
        self._notices_net = f"127.{pick.randint(1, 254)}.{pick.randint(1, 254)}"

    @property
    def all_servers(
        self,
    ) -> dict[str, platform_server.PlatformServerStandin]:
        """All servers by the id that they had first."""
        return {**self.servers, **self.joined}

    def start(self) -> None:
        """Starts the store, the servers and the gateways."""
        self.store.start()
        for server_id, service, role in _SERVERS:
            self._start_server(server_id, service, role)
        self.store.era = 1
        self.change_routes()
        for index in range(GATEWAYS_COUNT):
            self._views.append(
                lambda key, value, index=index: self._seen(index, key, value)
            )
            self._view_ports.append(self.store.add_view(self._views[-1]))
            self._open_way(f"store-{index}", self._view_ports[-1])
            self.gateways.append(None)
            self.launch(index)
        self._heart = gevent.spawn(self._beat)

    def close(self) -> None:
        """Ends every process and listener."""
        if self._heart is not None:
            self._heart.kill()
        for gateway in self._logged:
            gateway.close()
        for way in (*self.ways.values(), *self.server_ways.values()):
            way.close()
        for server in self.all_servers.values():
            server.close()
        for held in self._callers_ports:
            held.close()
        self.store.close()
        self._folder.cleanup()

    def launch(self, index: int) -> None:
        """Starts a gateway; its callers' way leads to it each time."""
        began_s = time.monotonic()
        path = pathlib.Path(self._folder.name) / f"gateway-{index}.json"
        path.write_text(json.dumps(self._settings(index)))
        gateway: processes.LoggedProcess = gevent.get_hub().threadpool.apply(
            processes.LoggedProcess,
            ("mulberrywharf.programs.gateway", "--settings", str(path)),
        )
        if f"callers-{index}" not in self.ways:
            self._open_way(f"callers-{index}", gateway.ready["callers"])
        self.gateways[index] = gateway
        self._logged.append(gateway)
        self.starts.append((index, began_s, time.monotonic()))
        self.gateway_outages.append((index, began_s, time.monotonic()))
        self.note_upset(index, began_s)

    def callers_port(self, index: int) -> int:
        """Returns where callers of a gateway connect."""
        return self._proxy(f"callers-{index}").port

    def reached(self, index: int, port: int) -> bool:
        """Tells whether a caller's connection got through to its gateway.

        Args:
            index: The gateway.
            port: The caller's own port of the connection.
        """
        return port not in self._proxy(f"callers-{index}").unreached_ports

    def set_path_faults(self, index: int, **fields: Any) -> None:
        """Harms or heals a gateway's ways to all servers."""
        for way in self.server_ways.values():
            way.paths[index].set_faults(**fields)

    def log_lines(self) -> Iterator[str]:
        """Yields what all gateways have logged, also those that ended."""
        for gateway in self._logged:
            yield from gateway.log_lines

    def sender_of(self, arrival: platform_server.Arrival) -> int | None:
        """Returns the gateway that sent a request to a server."""
        for way in self.server_ways.values():
            for index, path in enumerate(way.paths):
                if arrival.sender_port in path.upstream_ports:
                    return index
        return None

    def heal(self) -> None:
        """Takes back whatever servers, store and ways still suffer from."""
        for server in self.all_servers.values():
            server.faults = {}
        self.store.faults = {}
        self.store.behind.clear()
        for way in (*self.ways.values(), *self.server_ways.values()):
            way.set_faults(**fault_proxy.Faults()._asdict())

    def write_routes(self) -> None:
        """Writes the routes as the operators do."""
        document = _routes()
        for route in document["routes"]:
            route["timeout-ms"] = self._timeout_ms or route["timeout-ms"]
        newest = len(self.route_writes)
        document["version"] = newest + len(self.revoked_at_s)
        oldest = max(1, newest - routes_in_force.KEPT_COUNT + 1)
        document["routes"] += [
            {**document["routes"][0], "name": f"v{added}"}
            | {"prefix": f"/v{added}/"}
            for added in range(oldest, newest + 1)
        ]
        document["tenants"] = [
            {"name": STATIC_KEY_CUSTOMER, "api-keys": [STATIC_KEY]},
            {"name": ROTATING_KEY_CUSTOMER, "api-keys": [self.rotating_key]},
        ]
        self.store.put("op/config", json.dumps(document).encode())

    def change_routes(self) -> None:
        """Adds the path of the next version."""
        began_s = time.monotonic()
        version = len(self.route_writes) + 1
        write = routes_in_force.Write(version, began_s, float("inf"))
        self.route_writes.append(write)
        self.write_routes()
        self.route_writes[-1] = write._replace(acked_s=time.monotonic())

    def view_port(self, index: int) -> int:
        """Returns the port of the store at which a gateway reads."""
        return self._view_ports[index]

    def boots_count(self, index: int) -> int:
        """Returns how often a gateway was started."""
        return sum(started == index for started, _, _ in self.starts)

    def outages(self, index: int) -> Iterator[tuple[float, float]]:
        """Yields when a gateway was out of touch with the store or callers."""
        yield from self.store_outages
        ways = (f"store-{index}", f"callers-{index}")
        for where, began_s, ended_s in self.gateway_outages:
            if where == index:
                yield began_s, ended_s
        for name, began_s, ended_s in self.harms:
            if name in ways:
                yield began_s, ended_s

    def rotate_key(self) -> None:
        """Revokes the rotating key and issues a new one."""
        previous = self.rotating_key
        self.rotating_key = f"key-of-changing-{len(self.revoked_at_s) + 1}"
        self.revoked_at_s[previous] = float("inf")
        self.write_routes()
        self.revoked_at_s[previous] = time.monotonic()

    def register(self, server_id: str) -> None:
        """Writes the record of a server as the server itself does."""
        self._records_count += 1
        server = self.all_servers[server_id]
        record = build.server_value(
            sequence=self._records_count,
            address=f"{LOOPBACK}:{server.port}",
            born=server.born,
            version=server.software_version,
            **self._fields[server_id],
        )
        self.store.put(f"servers/{self._ids[server_id]}", record)

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            for server_id in set(self.all_servers) - self._away:
                self.register(server_id)

    def begin_again(self, server_id: str) -> None:
        """Lets a server that has ended begin again, under another id."""
        self._away.discard(server_id)
        self.store.delete(f"servers/{self._ids[server_id]}")
        server = self.all_servers[server_id]
        self._ids[server_id] = f"{server_id}-{server.born}"
        server.faults = {}
        if server_id in self.servers:
            server.software_version = next(self._versions)
        server.restart(self._ids[server_id])
        self.server_ways[server.port].set_faults(
            **fault_proxy.Faults()._asdict()
        )
        self.register(server_id)

    def note_upset(self, index: int | None, began_s: float) -> None:
        """Notes that gateways were upset from a moment until now.

        Args:
            index: The gateway, None for all.
            began_s: When it began.
        """
        self.upsets.append((index, began_s, time.monotonic()))

    def is_away(self, server_id: str) -> bool:
        """Tells whether a server has ended and not begun again."""
        return server_id in self._away

    def id_of(self, server_id: str) -> str:
        """Returns what a server calls itself now, by its first id."""
        return self._ids[server_id]

    def end(self, server_id: str) -> None:
        """Lets nobody reach a server any more."""
        self._away.add(server_id)
        way = self.server_ways[self.all_servers[server_id].port]
        way.set_faults(mode="refuse")
        way.reset_all()

    def join(self, server_id: str, version: str) -> None:
        """Lets an engine of a newer software version join.

        Args:
            server_id: Its name; it gets an id of its own.
            version: Its software version.
        """
        name = f"{_JOINED}{server_id}"
        self.joined[name] = self._make_server(name, version)
        self._fields[name] = {"service": JOINED_SERVICE, "stage": "decode"}
        self.register(name)

    def part(self, server_id: str) -> None:
        """Lets an engine that joined leave for good."""
        name = f"{_JOINED}{server_id}"
        self._parted.add(name)
        self.end(name)
        self.store.delete(f"servers/{self._ids[name]}")
        self.joined[name].close()

    def set_watch_behind(self, index: int, *, is_behind: bool) -> None:
        """Lets a gateway's watch of the servers tell of no change, or heals."""
        if is_behind:
            self.store.behind.add(self._views[index])
        else:
            self.store.behind.discard(self._views[index])

    def _crashed(self, server_id: str) -> None:
        self.note_harm(f"server-{server_id}", time.monotonic())
        gevent.sleep(AWAY_S)
        if server_id not in self._parted:
            self.begin_again(server_id)

    def note_kill(self, index: int) -> None:
        """Notes that a gateway is being killed."""
        self.kills.append((index, time.monotonic()))

    def note_harm(self, name: str, began_s: float) -> None:
        """Notes that a way was harmed from a moment until now."""
        self.harms.append((name, began_s, time.monotonic()))

    def _start_server(self, server_id: str, service: str, role: str) -> None:
        made = self._make_server(server_id, next(self._versions))
        self.servers[server_id] = made
        self.ways[f"server-{server_id}"] = self.server_ways[made.port]
        self._fields[server_id] = {
            "service": service,
            **({"stage": role} if role else {}),
        }
        self.register(server_id)

    def _make_server(
        self, server_id: str, version: str
    ) -> platform_server.PlatformServerStandin:
        server = stream_server.StreamServer(server_id, self.run_ends)
        server.software_version = version
        server.crash_on = CULPRIT
        server.on_end = lambda: self.end(server_id)
        server.on_crash = lambda _: self._crashed(server_id)
        server.start()
        self._ids[server_id] = server_id
        way = ServerWay(server.port)
        way.start()
        self.server_ways[server.port] = way
        return server

    def _open_way(self, name: str, port: int) -> None:
        way = fault_proxy.FaultProxy((LOOPBACK, port))
        way.start()
        self.ways[name] = way

    def _proxy(self, name: str) -> fault_proxy.FaultProxy:
        way = self.ways[name]
        assert isinstance(way, fault_proxy.FaultProxy)
        return way

    def _seen(self, index: int, key: str, value: bytes) -> bytes:
        """Returns what a gateway reads: its own way as a server's address."""
        if not key.startswith(documents.SERVERS_PREFIX):
            return value
        try:
            record = json.loads(value)
            port = int(record["address"].rpartition(":")[2])
            way = self.server_ways[port]
        except (KeyError, RecursionError, TypeError, ValueError):
            # Another program wrote it.
            return value
        record["address"] = f"{LOOPBACK}:{way.paths[index].port}"
        return json.dumps(record).encode()

    def _settings(self, index: int) -> dict[str, Any]:
        return {
            "vm_id": f"entry-{index}",
            "availability_zone": "zone-a",
            "callers_listen": f"{LOOPBACK}:{self._callers_ports[index].port}",
            "operators_listen": f"{LOOPBACK}:0",
            "nodes_listen": f"{self._notices_net}.{index + 1}:{_NOTICES_PORT}",
            "store": f"{LOOPBACK}:{self._proxy(f'store-{index}').port}",
            "repeats": REPEATS,
            "grace_s": GRACE_S,
            "revocation": {"bound_ms": REVOCATION_BOUND_S * 1000},
            "log_level": "INFO",
        }


def _routes() -> dict[str, Any]:
    document = build.routes_document()
    safe, stream = document["routes"]
    stream = {**stream, "service": "engines"}
    del stream["traffic-split"]
    unsafe = {**safe, "name": "r-unsafe", "prefix": "/unsafe/"}
    unsafe["kind"] = "unsafe"
    document["routes"] = [safe, unsafe, stream]
    return document

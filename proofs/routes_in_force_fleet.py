"""Gateways as processes whose routes and servers change, and their callers."""

import contextlib
import itertools
import json
import pathlib
import tempfile
import time
from collections.abc import Callable
from typing import Any

import gevent

from mulberrywharf import fleet
from mulberrywharf.peers import directory
from mulberrywharf.platform import documents
from proofs import routes_in_force
from standins import fault_proxy, platform_server, platform_store
from tests import builders_addresses, builders_gateways, processes
from tests import builders_routes as build
from tests.test_gateway import Answer, read_to_end, request

GATEWAYS_COUNT = 6
_ZONES = ("zone-a", "zone-b")
_SERVERS_PER_SERVICE = 3
_NODES_PORT = 7664
_NOWHERE_HOST = 250
_HEARTBEAT_S = 1.2
_POLL_S = 0.04
_ANSWER_TIMEOUT_S = 3.0
_READY_LIMIT_S = 20.0


class Fleet:
    """Gateways before a stand-in store, servers, an operator and callers.

    Attributes:
        store: The store.
        gateways: The processes, None while one is away.
        views: Port of the store for each gateway.
        paths: The ways of the gateways to the store.
        writes: Versions of the routes that were acknowledged or begun.
        seen: What callers saw.
        left: When a server's leaving was acknowledged, by name.
        deaf: Gateways that reach no other by datagrams.
        heartbeats: Whether servers write their records again.
    """

    def __init__(self, cleanup: contextlib.ExitStack):
        self.store = platform_store.PlatformStoreStandin()
        self.gateways: list[processes.LoggedProcess | None] = []
        self.views: list[int] = []
        self.paths: list[fault_proxy.FaultProxy] = []
        self.writes: list[routes_in_force.Write] = []
        self.seen: list[routes_in_force.Seen] = []
        self.servers: dict[str, platform_server.PlatformServerStandin] = {}
        self.left: dict[str, float] = {}
        self.deaf: set[int] = set()
        self.heartbeats = True
        self.extra_routes_count = 0
        self.grace_s = 3
        self.troubles: list[tuple[float, str]] = []
        self._out: list[list[tuple[float, float]]] = []
        self._boots = [0] * GATEWAYS_COUNT
        self._cleanup = cleanup
        self._numbers = itertools.count(1)
        self._states: dict[str, str] = {}
        self._document = b""
        self._folder = cleanup.enter_context(tempfile.TemporaryDirectory())
        self.began_s = time.monotonic()

    def addCleanup(self, function: Callable[[], object]) -> None:  # noqa: N802
        """Takes a clean-up as a test does."""
        self._cleanup.callback(function)

    def start(self) -> None:
        """Starts everything, and waits until gateways know each other."""
        self._net = builders_addresses.claim_net(self)  # type: ignore[arg-type]
        self.store.start()
        self.addCleanup(self.store.close)
        for service in range(routes_in_force.SERVICES_COUNT):
            for number in range(_SERVERS_PER_SERVICE):
                self._make_server(f"s{service}-{number}")
        self.change_routes()
        for index in range(GATEWAYS_COUNT):
            self.gateways.append(None)
            self._out.append([])
            port = self.store.add_view(
                lambda key, value, index=index: self._seen_by(index, key, value)
            )
            self.views.append(port)
            path = fault_proxy.FaultProxy(("127.0.0.1", port))
            path.start()
            self.addCleanup(path.close)
            self.paths.append(path)
        for index in range(GATEWAYS_COUNT):
            self.launch(index)
        running = [one for one in self.gateways if one is not None]
        if not builders_gateways.know_each_other(running):
            raise AssertionError("the gateways don't know each other")
        tasks = [gevent.spawn(self._beat)]
        tasks += [
            gevent.spawn(self._caller, index) for index in range(GATEWAYS_COUNT)
        ]
        self.addCleanup(lambda: gevent.killall(tasks))
        gevent.sleep(routes_in_force.CONTACT_S)
        self.began_s = time.monotonic()

    def launch(self, index: int) -> None:
        """Starts a gateway; it is in touch some seconds behind that."""
        path = pathlib.Path(self._folder) / f"{index}.json"
        path.write_text(
            json.dumps(
                {
                    "vm_id": f"entry-{index}",
                    "availability_zone": _ZONES[index % len(_ZONES)],
                    "callers_listen": "127.0.0.1:0",
                    "operators_listen": "127.0.0.1:0",
                    "nodes_listen": f"{self._net}.{index + 1}:{_NODES_PORT}",
                    "store": f"127.0.0.1:{self.paths[index].port}",
                    "repeats": {
                        "ratio": 0.2,
                        "window_s": 10,
                        "allowance_count": 200,
                    },
                    "grace_s": self.grace_s,
                }
            )
        )
        made: processes.LoggedProcess = gevent.get_hub().threadpool.apply(
            processes.LoggedProcess,
            ("mulberrywharf.programs.gateway", "--settings", str(path)),
        )
        self.addCleanup(made.close)
        self._boots[index] += 1
        self.gateways[index] = made

    def trouble(self, name: str, index: int | None = None) -> None:
        """Notes a trouble that begins, at a gateway or at the store."""
        at_s = time.monotonic() - self.began_s
        where = "" if index is None else f" at {index}"
        self.troubles.append((at_s, f"{name}{where}"))

    @contextlib.contextmanager
    def out_of_touch(self, index: int) -> Any:
        """Counts a gateway as out of touch, and until it is in touch again."""
        began_s = time.monotonic()
        self._out[index].append((began_s, float("inf")))
        at = len(self._out[index]) - 1
        try:
            yield
        finally:
            ended_s = time.monotonic() + routes_in_force.CONTACT_S
            self._out[index][at] = (began_s, ended_s)

    def is_in_touch(self, index: int, at_s: float) -> bool:
        """Returns whether a gateway was in touch at a time."""
        return not any(
            began_s <= at_s <= ended_s for began_s, ended_s in self._out[index]
        )

    def change_routes(self) -> int:
        """Writes the next version of the routes and returns its number."""
        version = len(self.writes) + 1
        document = build.routes_document(version)
        safe = document["routes"][0]
        first = max(1, version - routes_in_force.KEPT_COUNT + 1)
        document["routes"] = [
            {**safe, "name": "moved", "prefix": "/moved/"}
            | {"service": f"s{version % routes_in_force.SERVICES_COUNT}"},
            *(
                {**safe, "name": f"v{number}", "prefix": f"/v{number}/"}
                | {"service": "s0"}
                for number in range(first, version + 1)
            ),
            *(
                {**safe, "name": f"x{number}", "prefix": f"/x{number}/"}
                | {"service": "s0"}
                for number in range(self.extra_routes_count)
            ),
        ]
        document["services"] = [
            {**document["services"][1], "name": f"s{number}"}
            for number in range(routes_in_force.SERVICES_COUNT)
        ]
        self._document = json.dumps(document).encode()
        began_s = time.monotonic()
        self.store.put(documents.ROUTES_KEY, self._document)
        self.writes.append(
            routes_in_force.Write(version, began_s, time.monotonic())
        )
        return version

    def write_invalid_routes(self) -> None:
        """Writes what no gateway may take, and the valid version again."""
        document = json.loads(self._document)
        document["version"] += 1
        document["routes"] = [{"name": "moved", "host": build.HOST}]
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        gevent.sleep(0.3)
        self.store.put(documents.ROUTES_KEY, self._document)

    def leave(self, name: str, *, says_so: bool) -> None:
        """Lets a server leave: it says so once, or its record goes."""
        self._states.pop(name)
        if says_so:
            self._write_record(name, "draining")
        else:
            self.store.delete(documents.SERVERS_PREFIX + name)
        self.left[name] = time.monotonic()

    def staying(self) -> list[str]:
        """Returns servers of which another one of their service stays."""
        counts = [0] * routes_in_force.SERVICES_COUNT
        for name in self._states:
            counts[int(name[1])] += 1
        return [name for name in sorted(self._states) if counts[int(name[1])]]

    def replace(self, name: str) -> None:
        """Adds a server in place of one that has left."""
        service = name.partition("-")[0]
        self._make_server(f"{service}-{len(self.servers)}")

    def late_arrivals(self) -> list[routes_in_force.Case]:
        """Returns requests that reached a server that had left for long."""
        cases = []
        for name, left_s in self.left.items():
            for arrival in self.servers[name].arrivals:
                _, _, place = arrival.request_id.partition("g")
                if not place:
                    continue
                index = int(place)
                late_s = arrival.at_s - left_s
                if late_s <= routes_in_force.DRAIN_S:
                    continue
                if not self.is_in_touch(index, arrival.at_s):
                    continue
                text = f"{name} got {arrival.request_id}"
                cases.append(
                    routes_in_force.Case(
                        "leaving", index, arrival.at_s, late_s, text
                    )
                )
        return cases

    def _make_server(self, name: str) -> None:
        made = platform_server.PlatformServerStandin(name)
        made.start()
        self.addCleanup(made.close)
        self.servers[name] = made
        self._write_record(name, "ready")
        self._states[name] = "ready"

    def _write_record(self, name: str, state: str) -> None:
        record = build.server_value(
            service=name.partition("-")[0],
            address=f"127.0.0.1:{self.servers[name].port}",
            state=state,
            sequence=next(self._numbers),
        )
        self.store.put(documents.SERVERS_PREFIX + name, record)

    def _beat(self) -> None:
        while True:
            gevent.sleep(_HEARTBEAT_S)
            for name, state in list(self._states.items()):
                if self.heartbeats:
                    self._write_record(name, state)

    def _caller(self, index: int) -> None:
        """Asks a gateway for the newest paths, and for the one that moves."""
        paths_count = routes_in_force.KEPT_COUNT - 1
        for number in itertools.count():
            gevent.sleep(_POLL_S)
            gateway = self.gateways[index]
            if gateway is None:
                continue
            behind = number % (paths_count + 1)
            added = max(1, len(self.writes) - behind)
            if behind == paths_count:
                added = None
            gevent.spawn(self._ask, index, gateway.ready["callers"], added)

    def _ask(self, index: int, port: int, added: int | None) -> None:
        boot = self._boots[index]
        path = "/moved/x" if added is None else f"/v{added}/x"
        request_id = f"{next(self._numbers)}g{index}"
        sent_s = time.monotonic()
        with contextlib.suppress(OSError, gevent.Timeout, ValueError):
            with gevent.Timeout(_ANSWER_TIMEOUT_S):
                raw = _exchange(port, path, request_id)
            answer = Answer(raw)
            service = answer.headers.get("x-mulberrywharf-response-signature")
            if answer.status not in (200, 404) or (
                answer.status == 200 and not service
            ):
                return
            self.seen.append(
                routes_in_force.Seen(
                    index,
                    boot,
                    sent_s,
                    time.monotonic(),
                    added,
                    int(service[1]) if service else None,
                )
            )

    def _seen_by(self, index: int, key: str, value: bytes) -> bytes:
        if index not in self.deaf or not key.startswith(directory.KEY_PREFIX):
            return value
        if value.startswith(f"{self._net}.{index + 1}:".encode()):
            return value
        _, _, zone = value.partition(b"/")
        nowhere = fleet.Address(f"{self._net}.{_NOWHERE_HOST}", _NODES_PORT)
        return f"{nowhere}/".encode() + zone


def _exchange(port: int, path: str, request_id: str) -> bytes:
    with contextlib.closing(
        gevent.socket.create_connection(("127.0.0.1", port))
    ) as sock:
        sock.sendall(
            request(path).replace(b": id-1", f": {request_id}".encode())
        )
        return read_to_end(sock)

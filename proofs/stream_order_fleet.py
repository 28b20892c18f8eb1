"""Gateways as processes before engines whose streams end anywhere.

The store, the ways to it and to the engines can be troubled.
"""

import contextlib
import errno
import itertools
import json
import pathlib
import random
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import gevent
from gevent import lock

from mulberrywharf import _connections
from mulberrywharf.platform import documents
from mulberrywharf.policy import stream_version
from proofs import stream_order, stream_order_callers
from standins import (
    _http,
    fault_proxy,
    http_control,
    platform_server,
    platform_store,
)
from tests import builders_addresses, processes
from tests import builders_routes as build

GATEWAYS_COUNT = 4
VERSIONS = ("v1", "v1.1")
_SERVERS_PER_VERSION = 4
_NODES_PORT = 7663
_FIRST_SERVER_HOST = 100
_PROXIES_HOST = 200
_KNOWN_S = stream_version.LEAST_HOLD_S + 1.0
"""Until gateways have seen their servers for long enough to know what began
any stream."""

_AT_OUT_OF_STEP_CHANCE = 0.7
_HEARTBEAT_S = 1.0
_PAUSE_S = (0.02, 0.12)
_BREAK_CHANCE = 0.3
_FRAMINGS = ("chunks", "chunks", "chunks", "length", "none", "http/1.0")
_ENDS = (*["close"] * 5, *["reset"] * 4, "silent")
_BIND_LIMIT_S = 2.0
_BIND_PAUSE_S = 0.005
_WATCH_STEP_MS = 20


class LaggingStore(platform_store.PlatformStoreStandin):
    """A store some of whose readers' watches of the servers are behind.

    Attributes:
        behind: Views whose watches of the servers are told of no change.
    """

    def __init__(self) -> None:
        super().__init__()
        self.behind: set[Any] = set()

    def _watch(
        self, query: dict[str, str], environ: dict[str, Any]
    ) -> _http.Reply:
        view = environ.get(platform_store._VIEW_KEY)
        if not query["prefix"].startswith(documents.SERVERS_PREFIX):
            return super()._watch(query, environ)
        ends_s = time.monotonic() + int(query["wait-ms"]) / 1000
        # Asks in steps, so that a watch that waits is behind at once, too.
        step = {**query, "wait-ms": str(_WATCH_STEP_MS)}
        body = {"events": [], "store-revision": int(query["after"])}
        reply = _http.Reply(200, body)
        while True:
            if view in self.behind:
                gevent.sleep(_WATCH_STEP_MS / 1000)
            else:
                reply = super()._watch(step, environ)
                if reply.status != 200 or reply.body["events"]:
                    return reply
            if time.monotonic() >= ends_s:
                return reply


class Server(platform_server.PlatformServerStandin):
    """An engine whose streams end anywhere, in any framing.

    Attributes:
        ends: How each run at any server ended, by request id, by time.
    """

    def __init__(
        self,
        server_id: str,
        ip: str,
        seed: int,
        ends: dict[str, list[str]],
    ):
        super().__init__(server_id, ip)
        self.ip = ip
        self.ends = ends
        self._seed = seed
        self._starting = lock.BoundedSemaphore()

    def _run(
        self,
        environ: dict[str, Any],
        start_response: Any,
        limits: tuple[str, ...],
    ) -> Iterable[bytes]:
        del start_response, limits
        shape = stream_order.Shape.find(environ["wsgi.input"].read().decode())
        assert shape is not None
        request_id = self._header(environ, "REQUEST_ID")
        after = environ.get("HTTP_LAST_EVENT_ID", "")
        ends = self.ends.setdefault(request_id, [])
        ends.append("running")
        at = len(ends) - 1
        rng = random.Random(f"{self._seed} {request_id} {at}")
        framing = rng.choice(_FRAMINGS)
        self.runs.append(
            {
                "id": request_id,
                "after": after,
                "version": self.software_version,
                "at_s": f"{time.monotonic():.6f}",
            }
        )
        run = f"{self._server_id}/{len(self.runs)}"
        environ[_http.IS_ANSWERED_KEY] = True
        made = shape.events(after, self._server_id, self.software_version, run)
        head = self._head(request_id, framing, made)
        try:
            ends[at] = self._send(environ, head, made, framing, rng)
        except OSError:
            ends[at] = "peer-gone"
        except gevent.GreenletExit:
            ends[at] = _closed(framing)
            raise
        raise BrokenPipeError(errno.EPIPE, "the answer has ended")

    def _send(
        self,
        environ: dict[str, Any],
        head: bytes,
        made: list[bytes],
        framing: str,
        rng: random.Random,
    ) -> str:
        """Writes an answer and returns how it ended."""
        sock = environ[_http.SOCKET_KEY]
        cut_in = rng.randrange(len(made)) if made else None
        if rng.random() > _BREAK_CHANCE:
            cut_in = None
        end = rng.choice(_ENDS)
        sock.sendall(head)
        for number, written in enumerate(made):
            wire = _in_chunks(written, rng) if framing == "chunks" else written
            if number == cut_in:
                # Further events may come along with the one that is cut.
                sock.sendall(wire[: rng.randrange(len(wire) + 1)])
                return self._break_off(environ, framing, end)
            at = rng.randrange(len(wire))
            sock.sendall(wire[:at])
            gevent.sleep(rng.choice((0.0, 0.0, 0.01)))
            sock.sendall(wire[at:])
            gevent.sleep(rng.choice((0.0, rng.uniform(*_PAUSE_S))))
        if framing == "chunks":
            sock.sendall(b"0\r\n\r\n")
        return "whole"

    def _head(self, request_id: str, framing: str, made: list[bytes]) -> bytes:
        lines = [
            f"HTTP/{'1.0' if framing == 'http/1.0' else '1.1'} 200 OK",
            f"x-mulberrywharf-request-id: {request_id}",
            f"x-mulberrywharf-response-signature: {self._server_id}",
            "x-mulberrywharf-instance-load: 1,0,6",
            "content-type: text/event-stream",
        ]
        if framing == "chunks":
            lines.append("transfer-encoding: chunked")
        if framing == "length":
            lines.append(f"content-length: {sum(map(len, made))}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _break_off(
        self, environ: dict[str, Any], framing: str, end: str
    ) -> str:
        if end == "silent":
            _http.wait_until_peer_is_gone(environ)
        elif end == "reset":
            _connections.reset_on_close(environ[_http.SOCKET_KEY])
        else:
            return _closed(framing)
        return end

    def begin_again(self, server_id: str, version: str, away_s: float) -> None:
        """Ends in the middle of everything and starts again in place."""
        with self._starting:
            http_control.stop_server(self._server)
            gevent.sleep(away_s)
            self.software_version = version
            _try_again(lambda: self.restart(server_id))


class Path(fault_proxy.FaultProxy):
    """A fault proxy whose port a process that is being started may hold."""

    def _bind(self) -> None:
        _try_again(super()._bind)


def _try_again(bind: Callable[[], object]) -> None:
    """Binds once no fork of this process holds the port's last listener."""
    ends_s = time.monotonic() + _BIND_LIMIT_S
    while True:
        try:
            bind()
        except OSError as error:
            is_late = time.monotonic() > ends_s
            if is_late or error.errno != errno.EADDRINUSE:
                raise
            time.sleep(_BIND_PAUSE_S)
        else:
            return


def _closed(framing: str) -> str:
    return "unmarked" if framing in ("none", "http/1.0") else "close"


def _in_chunks(event: bytes, rng: random.Random) -> bytes:
    at = rng.choice((0, rng.randrange(len(event))))
    parts = [one for one in (event[:at], event[at:]) if one]
    return b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in parts)


class Wharf:
    """Gateways as processes; the store, servers and ways between them.

    Attributes:
        forms: Forms of events.
        gateways: The processes, None while one is started anew.
        out_of_step: Gateway that is out of step in a release, if any.
        troubles: Names of the troubles that took place, with their times.
        ends: How each run ended, by request id, by time.
    """

    def __init__(
        self, seed: int, forms: Sequence[str], cleanup: contextlib.ExitStack
    ):
        self.seed = seed
        self.forms = forms
        self.store = LaggingStore()
        self.gateways: list[processes.LoggedProcess | None] = []
        self.logged: list[processes.LoggedProcess] = []
        self.servers: dict[str, Server] = {}
        self.ids: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self.paths: list[dict[str, fault_proxy.FaultProxy]] = []
        self.store_paths: list[fault_proxy.FaultProxy] = []
        self.views: list[Any] = []
        self.troubles: list[tuple[float, str]] = []
        self.ends: dict[str, list[str]] = {}
        self.out_of_step: int | None = None
        self.pieces_count = (4, 14)
        self.fields = ""
        self.named_share = stream_order_callers.draw_named_share(seed)
        self.began_s = time.monotonic()
        self.is_over = False
        self._cleanup = cleanup
        self._sequence = itertools.count(1)
        self._folder = cleanup.enter_context(tempfile.TemporaryDirectory())

    def addCleanup(self, function: Callable[[], object]) -> None:  # noqa: N802
        """Takes a clean-up as a test does."""
        self._cleanup.callback(function)

    def start(self) -> None:
        """Starts the store, servers of the first version and gateways."""
        self._net = builders_addresses.claim_net(self)  # type: ignore[arg-type]
        self.store.era = 1
        self.store.start()
        self.addCleanup(self.store.close)
        document = build.routes_document(1)
        stream = {**document["routes"][1], "service": "engines"}
        del stream["traffic-split"]
        document["routes"] = [stream]
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        for version in VERSIONS:
            for number in range(_SERVERS_PER_VERSION):
                self._make_server(f"e{number}-{version}", version)
        for name in self.servers:
            if name.endswith(f"-{VERSIONS[0]}"):
                self.register(name)
        for index in range(GATEWAYS_COUNT):
            self.paths.append({})
            self.gateways.append(None)
            self.views.append(
                lambda key, value, index=index: self._seen(index, key, value)
            )
            port = self.store.add_view(self.views[-1])
            self.store_paths.append(self._proxy("127.0.0.1", port))
        starting = [
            gevent.spawn(self.launch, index) for index in range(GATEWAYS_COUNT)
        ]
        gevent.joinall(starting, raise_error=True)
        heart = gevent.spawn(self._beat)
        self.addCleanup(heart.kill)
        gevent.sleep(_KNOWN_S)
        self.began_s = time.monotonic()

    def launch(self, index: int) -> None:
        """Starts a gateway."""
        path = pathlib.Path(self._folder) / f"{index}.json"
        path.write_text(
            json.dumps(
                {
                    "vm_id": f"entry-{index}",
                    "availability_zone": "zone-a",
                    "callers_listen": "127.0.0.1:0",
                    "operators_listen": "127.0.0.1:0",
                    "nodes_listen": f"{self._net}.{index + 1}:{_NODES_PORT}",
                    "store": self._address(self.store_paths[index]),
                    "repeats": {
                        "ratio": 0.2,
                        "window_s": 10,
                        "allowance_count": 200,
                    },
                    "grace_s": 4,
                }
            )
        )
        made: processes.LoggedProcess = gevent.get_hub().threadpool.apply(
            processes.LoggedProcess,
            ("mulberrywharf.programs.gateway", "--settings", str(path)),
        )
        self.addCleanup(made.close)
        self.logged.append(made)
        self.gateways[index] = made

    def choose(self, rng: random.Random, *, takes_up: bool) -> int | None:
        """Returns a gateway for a request."""
        is_drawn = rng.random() < _AT_OUT_OF_STEP_CHANCE
        running = [
            index
            for index, gateway in enumerate(self.gateways)
            if gateway is not None
        ]
        if takes_up and is_drawn and self.out_of_step in running:
            return self.out_of_step
        return rng.choice(running) if running else None

    def note(self, trouble: str) -> None:
        """Notes that a trouble begins."""
        self.troubles.append((time.monotonic() - self.began_s, trouble))

    def register(self, name: str, state: str = "ready") -> None:
        """Writes a server's record."""
        self.states[name] = state
        server = self.servers[name]
        record = build.server_value(
            service="engines",
            stage="decode",
            address=f"{server.ip}:{server.port}",
            version=server.software_version,
            state=state,
            sequence=next(self._sequence),
            born=server.born,
        )
        self.store.put(documents.SERVERS_PREFIX + self.ids[name], record)

    def leave(self, name: str) -> None:
        """Removes a server's record."""
        self.states.pop(name, None)
        self.store.delete(documents.SERVERS_PREFIX + self.ids[name])

    def names_of(self, version: str) -> list[str]:
        """Returns the servers that began with a version."""
        return [one for one in self.servers if one.endswith(f"-{version}")]

    def _make_server(self, name: str, version: str) -> None:
        # Ports are bound again, so no other socket may get them meanwhile.
        ip = f"{self._net}.{_FIRST_SERVER_HOST + len(self.servers)}"
        server = Server(name, ip, self.seed, self.ends)
        server.software_version = version
        server.start()
        self.addCleanup(server.close)
        self.servers[name] = server
        self.ids[name] = name

    def _beat(self) -> None:
        while True:
            gevent.sleep(_HEARTBEAT_S)
            for name, state in list(self.states.items()):
                self.register(name, state)

    def _proxy(self, ip: str, port: int) -> fault_proxy.FaultProxy:
        made = Path((ip, port), ip=f"{self._net}.{_PROXIES_HOST}")
        made.start()
        self.addCleanup(made.close)
        return made

    def _address(self, path: fault_proxy.FaultProxy) -> str:
        return f"{self._net}.{_PROXIES_HOST}:{path.port}"

    def _seen(self, index: int, key: str, value: bytes) -> bytes:
        if not key.startswith(documents.SERVERS_PREFIX):
            return value
        record = json.loads(value)
        address = record["address"]
        if address not in self.paths[index]:
            ip, _, port = address.rpartition(":")
            self.paths[index][address] = self._proxy(ip, int(port))
        record["address"] = self._address(self.paths[index][address])
        return json.dumps(record).encode()

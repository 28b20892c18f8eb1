"""Real gateways through troubles of a day, with a judge at their callers.

Run as ``python -m proofs.stream_order_runs --seeds 1-6``; ``--source`` names
another checkout whose gateways are run. The harness is always this build's.
"""

import argparse
import collections
import contextlib
import errno
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple, Protocol

import gevent
from gevent import event, lock, socket

from mulberrywharf import _connections
from mulberrywharf.platform import documents
from mulberrywharf.policy import stream_version
from proofs import stream_order
from standins import _http, fault_proxy, platform_server, platform_store
from tests import builders_addresses, processes
from tests import builders_routes as build

GATEWAYS_COUNT = 4
LENGTH_S = 25.0
VERSIONS = ("v1", "v1.1")
_SERVERS_PER_VERSION = 4
_CALLERS_COUNT = 18
_NODES_PORT = 7663
_FIRST_SERVER_HOST = 100
_PROXIES_HOST = 200
_KNOWN_S = stream_version.LEAST_HOLD_S + 1.0
"""Until gateways have seen their servers for long enough to know what began
any stream."""

_LOSES_OTHERS_CHANCE = 0.3
_AT_OUT_OF_STEP_CHANCE = 0.7
_HEARTBEAT_S = 1.0
_PAUSE_S = (0.02, 0.12)
_BREAK_CHANCE = 0.3
_FRAMINGS = ("chunks", "chunks", "chunks", "length", "none", "http/1.0")
_ENDS = (*["close"] * 5, *["reset"] * 4, "silent")
_ATTEMPTS_LIMIT_COUNT = 8
_ANSWER_TIMEOUT_S = 6.0
_LOG_LINES_LIMIT_COUNT = 30
_UPSET_COUNT = 3
_BIND_LIMIT_S = 2.0
_BIND_PAUSE_S = 0.005
_WATCH_STEP_MS = 20
_REFUSALS_LIMIT_COUNT = 6
_FIELDS = (
    "x-mulberrywharf-model: m\r\n"
    "x-mulberrywharf-token-usage: 300,5\r\n"
    "x-mulberrywharf-prompt-prefix: cc:300\r\n"
    "x-mulberrywharf-deadline-ms: 5000\r\n"
)


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
            self.close()
            with contextlib.ExitStack() as held:
                _try_again(
                    lambda: held.enter_context(
                        platform_server._held_port(self._ip, self.port)
                    )
                )
                gevent.sleep(away_s)
                self.software_version = version
                self.restart(server_id)


class Path(fault_proxy.FaultProxy):
    """A fault proxy whose port a process that is being started may hold."""

    def _bind(self, port: int) -> None:
        _try_again(lambda: super(Path, self)._bind(port))


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
        self.named_share = draw_named_share(seed)
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


class Troubles:
    """Plays the troubles of one seed."""

    def __init__(self, wharf: Wharf):
        self._wharf = wharf
        self._rng = random.Random(f"troubles {wharf.seed}")
        self._upset: set[int] = set()
        self._has_joined = event.Event()

    def play(self, length_s: float) -> None:
        """Plays releases, and begins troubles beside them for a time."""
        releases = gevent.spawn(
            self._release, random.Random(f"releases {self._wharf.seed}")
        )
        plays = {
            self._stop: 3,
            self._kill: 2,
            self._end: 1,
            self._cut_path: 3,
            self._cut_store: 2,
            self._delay_watch: 2,
            self._drop_history: 1,
            self._restart_server: 3,
        }
        # What upsets gateways before it lets none of them infer a version.
        self._has_joined.wait()
        ends_s = time.monotonic() + length_s
        running = []
        while time.monotonic() < ends_s:
            gevent.sleep(self._rng.uniform(0.2, 1.2))
            (play,) = self._rng.choices(list(plays), list(plays.values()))
            lasts_s = self._rng.uniform(0.3, 3.5)
            index = self._rng.randrange(GATEWAYS_COUNT)
            running.append(gevent.spawn(play, index, lasts_s))
        gevent.joinall([*running, releases], raise_error=True)

    def _release(self, rng: random.Random) -> None:
        """Lets a newer version join beside a gateway that is out of step."""
        wharf = self._wharf
        newer = VERSIONS[1]
        gevent.sleep(rng.uniform(0.5, 2.0))
        index = rng.randrange(GATEWAYS_COUNT)
        play = rng.choice((self._stop, self._delay_watch, self._cut_store))
        loses_others = rng.random() < _LOSES_OTHERS_CHANCE
        length_s = rng.uniform(1.5, 3.5)
        wharf.out_of_step = index
        aside = [gevent.spawn(play, index, length_s)]
        gevent.sleep(0.2)
        wharf.note(f"{newer} joins")
        for name in wharf.names_of(newer):
            wharf.register(name)
        gevent.sleep(length_s / 2)
        self._has_joined.set()
        if loses_others:
            aside += [
                gevent.spawn(self._kill, other, length_s)
                for other in range(GATEWAYS_COUNT)
                if other != index
            ]
        gevent.joinall(aside, raise_error=True)
        gevent.sleep(rng.uniform(0.0, 2.0))
        wharf.out_of_step = None
        self._end_release(rng)

    def _end_release(self, rng: random.Random) -> None:
        """Lets either version leave, or keeps both."""
        wharf = self._wharf
        leaving = rng.choice((None, *VERSIONS, VERSIONS[0]))
        if leaving is None:
            return
        (staying,) = set(VERSIONS) - {leaving}
        wharf.note(f"{leaving} leaves")
        first, again, *others = rng.sample(wharf.names_of(leaving), 4)
        wharf.leave(first)
        self._begin_again(again, staying, rng.uniform(0.05, 0.5))
        gevent.sleep(rng.uniform(0.5, 2.0))
        for name in others:
            wharf.leave(name)

    def _begin_again(self, name: str, version: str, away_s: float) -> None:
        wharf = self._wharf
        wharf.leave(name)
        server = wharf.servers[name]
        wharf.ids[name] = f"{name}-{server.born + 1}"
        server.begin_again(wharf.ids[name], version, away_s)
        wharf.register(name)

    def _restart_server(self, index: int, length_s: float) -> None:
        del index
        wharf = self._wharf
        name = self._rng.choice(sorted(wharf.states))
        wharf.note(f"{name} restarts")
        server = wharf.servers[name]
        if self._rng.random() < 0.5:
            self._begin_again(name, server.software_version, length_s / 5)
            return
        server.begin_again(
            wharf.ids[name], server.software_version, length_s / 5
        )

    def _stop(self, index: int, length_s: float) -> None:
        gateway = self._take(index)
        if gateway is None:
            return
        self._wharf.note(f"{index} stands still {length_s:.1f} s")
        gateway.signal(signal.SIGSTOP)
        gevent.sleep(length_s)
        gateway.signal(signal.SIGCONT)
        self._upset.discard(index)

    def _kill(self, index: int, length_s: float) -> None:
        self._restart(index, signal.SIGKILL, length_s)

    def _end(self, index: int, length_s: float) -> None:
        self._restart(index, signal.SIGTERM, length_s)

    def _restart(self, index: int, number: signal.Signals, s: float) -> None:
        gateway = self._take(index)
        if gateway is None:
            return
        self._wharf.note(f"{index} gets {number.name}")
        self._wharf.gateways[index] = None
        gateway.signal(number)
        gevent.get_hub().threadpool.apply(gateway.wait)
        gevent.sleep(s / 5)
        self._wharf.launch(index)
        self._upset.discard(index)

    def _take(self, index: int) -> processes.LoggedProcess | None:
        """Returns a gateway, unless too many are away."""
        gateway = self._wharf.gateways[index]
        is_free = index not in self._upset and len(self._upset) < _UPSET_COUNT
        if gateway is None or not is_free or gateway.poll() is not None:
            return None
        self._upset.add(index)
        return gateway

    def _cut_path(self, index: int, length_s: float) -> None:
        mode = self._rng.choice(("cut", "refuse", "silent", "freeze", "reset"))
        self._wharf.note(f"{index} loses servers: {mode} {length_s:.1f} s")
        paths = list(self._wharf.paths[index].values())
        if mode == "reset":
            for path in paths:
                path.reset_all()
            return
        for path in paths:
            path.set_faults(mode=mode)
        gevent.sleep(length_s)
        for path in paths:
            path.set_faults(mode="pass")

    def _cut_store(self, index: int, length_s: float) -> None:
        mode = self._rng.choice(("cut", "silent", "freeze", "half-open-down"))
        self._wharf.note(f"{index} loses the store: {mode} {length_s:.1f} s")
        path = self._wharf.store_paths[index]
        path.set_faults(mode=mode)
        gevent.sleep(length_s)
        path.set_faults(mode="pass")

    def _delay_watch(self, index: int, length_s: float) -> None:
        self._wharf.note(f"{index} has a watch behind {length_s:.1f} s")
        view = self._wharf.views[index]
        self._wharf.store.behind.add(view)
        gevent.sleep(length_s)
        self._wharf.store.behind.discard(view)

    def _drop_history(self, index: int, length_s: float) -> None:
        del index, length_s
        self._wharf.note("the store drops its history")
        self._wharf.store.hang_watches()
        self._wharf.store.store.compact()


class Stream(NamedTuple):
    """A stream as its caller saw it.

    Attributes:
        shape: What it was to be.
        caller: Who asked for it.
        attempts: Its attempts.
        at_s: When each began, behind the beginning of the run.
        took_up_early: Whether it was taken up while its first answer ran.
    """

    shape: stream_order.Shape
    caller: str
    attempts: list[stream_order.Attempt]
    at_s: list[float]
    took_up_early: bool = False


def draw_named_share(seed: int) -> float:
    """Returns the share of callers that name streams in the runs of a seed.

    A gateway learns versions from callers that do, so some runs have none.
    """
    return random.Random(f"named {seed}").choice((0.0, 0.5, 1.0))


class Calls(Protocol):
    """What callers of streams share.

    Attributes:
        seed: Decides what they ask.
        forms: Forms of events.
        pieces_count: Least and most pieces of a stream.
        fields: Header fields of every request.
        named_share: Share of callers that name the stream that they take up.
        began_s: Monotonic time from which attempts are dated.
        is_over: Set once they are to end.
        ends: How each run at a server ended, by request id, by time.
        gateways: The gateways' processes, None for one that is started anew.
    """

    seed: int
    forms: Sequence[str]
    pieces_count: tuple[int, int]
    fields: str
    named_share: float
    began_s: float
    is_over: bool
    ends: dict[str, list[str]]
    gateways: list[processes.LoggedProcess | None]

    def choose(self, rng: random.Random, *, takes_up: bool) -> int | None:
        """Returns the gateway for a request, None while there is none."""


class Caller:
    """A caller that reads streams, and takes them up behind a break.

    Attributes:
        streams: What it has read.
        refused_count: Attempts to take one up that got no stream.
    """

    def __init__(self, calls: Calls, number: int):
        self.streams: list[Stream] = []
        self.refused_count = 0
        self._calls = calls
        self._number = number
        self._rng = random.Random(f"caller {number} {calls.seed}")
        naming_rng = random.Random(f"names {number} {calls.seed}")
        self._names_stream = naming_rng.random() < calls.named_share
        self._is_slow = number % 6 == 1
        self._is_early = number % 6 == 2
        self._kept: tuple[int, Any, Any] | None = None
        self._so_far: dict[str, bytes] = {}

    @property
    def name(self) -> str:
        """What kind of caller it is."""
        words = ["Resumes" if self._names_stream else "Last-Event-Id alone"]
        words += ["slow"] * self._is_slow + ["early"] * self._is_early
        return f"caller {self._number} ({', '.join(words)})"

    def run(self) -> None:
        """Reads streams until the run is over."""
        while not self._calls.is_over:
            self._read_stream()
            gevent.sleep(self._rng.uniform(0.0, 0.2))

    def _read_stream(self) -> None:
        rng = self._rng
        shape = stream_order.Shape(
            f"s{self._number}-{len(self.streams)}",
            rng.randint(*self._calls.pieces_count),
            rng.choice((1, 1, 2, 7)),
            rng.choice(self._calls.forms),
        )
        stream = Stream(shape, self.name, [], [], self._is_early)
        self.streams.append(stream)
        began_id, last_id, refusals_count = "", "", 0
        for number in range(_ATTEMPTS_LIMIT_COUNT):
            request_id = f"{shape.name}.{number}"
            leave_after = rng.choice((None, rng.randint(1, 6)))
            if self._is_early and leave_after is not None and not last_id:
                self._ask_twice(stream, request_id, leave_after)
                return
            attempt = self._ask(
                stream, request_id, began_id, last_id, leave_after
            )
            stream.attempts.append(attempt)
            pieces = attempt.pieces
            if pieces:
                began_id = began_id or request_id
                last_id = pieces[-1].event_id
            if pieces and pieces[-1].number == shape.count:
                return
            if attempt.end == "marked" and pieces:
                return
            if last_id and not pieces:
                self.refused_count += 1
                refusals_count += 1
            if refusals_count > 2 or self._calls.is_over:
                return
            gevent.sleep(rng.choice((0.0, rng.uniform(0.0, 0.8))))

    def _ask_twice(
        self, stream: Stream, request_id: str, pieces_count: int
    ) -> None:
        """Takes a stream up while its first answer goes on."""
        first = gevent.spawn(self._ask, stream, request_id, "", "", None)
        gevent.sleep(0.05 * pieces_count)
        so_far = stream_order.Attempt(
            request_id, "", "", self._so_far.get(request_id, b"")
        ).pieces
        attempts = []
        if so_far:
            last_id = so_far[-1].event_id
            next_id = f"{request_id}+"
            attempts.append(self._ask(stream, next_id, request_id, last_id))
        stream.attempts.extend([first.get(), *attempts])

    def _ask(
        self,
        stream: Stream,
        request_id: str,
        began_id: str,
        last_id: str,
        leave_after: int | None = None,
    ) -> stream_order.Attempt:
        fields = _FIELDS + self._calls.fields
        if last_id:
            fields += f"last-event-id: {last_id}\r\n"
            if self._names_stream:
                fields += f"resumes: {began_id}\r\n"
        body = stream.shape.body
        sent = (
            f"POST /stream/x HTTP/1.1\r\nhost: {build.HOST}\r\n"
            f"x-mulberrywharf-request-id: {request_id}\r\n{fields}"
            f"content-length: {len(body)}\r\n\r\n{body}"
        ).encode()
        stream.at_s.append(time.monotonic() - self._calls.began_s)
        index, raw, how = self._exchange(
            sent, request_id, leave_after, takes_up=bool(last_id)
        )
        return stream_order.Attempt(
            request_id,
            str(index),
            last_id,
            raw,
            was_reset=how != "closed",
            has_left=how == "left",
            had_unmarked_end=self._calls.ends.get(request_id, [""])[-1]
            == "unmarked",
        )

    def _exchange(
        self,
        sent: bytes,
        request_id: str,
        leave_after: int | None,
        *,
        takes_up: bool,
    ) -> tuple[int, bytes, str]:
        """Sends a request; returns the gateway, the answer and its end."""
        index = self._calls.choose(self._rng, takes_up=takes_up)
        if index is None:
            gevent.sleep(0.1)
            return -1, b"", "refused"
        gateway = self._calls.gateways[index]
        assert gateway is not None
        kept, self._kept = self._kept, None
        if kept is not None and kept[1] is gateway:
            sock = kept[2]
        else:
            try:
                sock = socket.create_connection(
                    ("127.0.0.1", gateway.ready["callers"]), 1.0
                )
            except OSError:
                return index, b"", "refused"
        sock.settimeout(_ANSWER_TIMEOUT_S)
        raw, how = b"", "closed"
        try:
            sock.sendall(sent)
            while some := sock.recv(600 if self._is_slow else 65_536):
                raw += some
                self._so_far[request_id] = raw
                answer = stream_order.read_answer(raw)
                if answer.is_complete:
                    self._kept = (index, gateway, sock)
                    return index, raw, how
                if self._is_slow:
                    gevent.sleep(0.03)
                if (
                    leave_after is not None
                    and raw.count(b"data:") >= leave_after
                ):
                    how = "left"
                    break
        except TimeoutError:
            how = "timeout"
        except OSError:
            how = "reset"
        sock.close()
        return index, raw, how


class Played(NamedTuple):
    """What one run came to.

    Attributes:
        streams: Every stream.
        cases: Streams that broke the rule, and how.
        refused_count: Attempts to take a stream up that got none.
        wharf: What they went through.
    """

    streams: list[Stream]
    cases: list[tuple[Stream, stream_order.Case]]
    refused_count: int
    wharf: Wharf


def play(
    seed: int,
    forms: Sequence[str] = stream_order.USUAL_FORMS,
    length_s: float = LENGTH_S,
) -> Played:
    """Plays one seed.

    Args:
        seed: Decides troubles and streams; the machine interleaves them.
        forms: How events are written.
        length_s: How long troubles are begun.
    """
    with contextlib.ExitStack() as cleanup:
        wharf = Wharf(seed, forms, cleanup)
        wharf.start()
        callers = [Caller(wharf, number) for number in range(_CALLERS_COUNT)]
        running = [gevent.spawn(caller.run) for caller in callers]
        Troubles(wharf).play(length_s)
        wharf.is_over = True
        gevent.joinall(running, timeout=3 * _ANSWER_TIMEOUT_S)
        streams = list(itertools.chain(*(one.streams for one in callers)))
        cases = [
            (stream, case)
            for stream in streams
            for case in stream_order.judge(
                stream.shape.name, stream.shape.count, stream.attempts
            )
        ]
        refused_count = sum(caller.refused_count for caller in callers)
        return Played(streams, cases, refused_count, wharf)


def _refusal(attempt: stream_order.Attempt) -> str:
    answer = stream_order.read_answer(attempt.raw)
    if not answer.is_complete or answer.status == 200:
        return f"{answer.status} {attempt.end}"
    return f"{answer.status} {json.loads(answer.body)['detail'][:70]}"


def _lines(played: Played) -> Iterator[str]:
    taken_up = [
        attempt
        for stream in played.streams
        for attempt in stream.attempts
        if attempt.last_event_id
    ]
    went_on_count = sum(bool(attempt.pieces) for attempt in taken_up)
    forms = collections.Counter(
        case.form + (" (early)" if stream.took_up_early else "")
        for stream, case in played.cases
    )
    yield (
        f"seed {played.wharf.seed}: {len(played.streams)} streams,"
        f" {len(taken_up)} taken up, {went_on_count} went on,"
        f" {played.refused_count} refused, {len(played.wharf.troubles)}"
        f" troubles, {len(played.cases)} cases {dict(forms)}"
    )
    refusals = collections.Counter(
        _refusal(attempt) for attempt in taken_up if not attempt.pieces
    )
    for reason, count in refusals.most_common(_REFUSALS_LIMIT_COUNT):
        yield f"  refused {count}: {reason}"
    for stream, case in played.cases:
        yield f"  {case.form}: {case.text}"
        yield from evidence(stream)


def evidence(stream: Stream) -> Iterator[str]:
    """Yields what a caller asked for a stream, and what it got."""
    yield f"    {stream.caller}, {stream.shape.body}"
    for at_s, attempt in zip(stream.at_s, stream.attempts, strict=True):
        answer = stream_order.read_answer(attempt.raw)
        made = " ".join(
            f"{one.number}@{one.server}/{one.version}#{one.event_id}"
            for one in attempt.pieces
        )
        yield (
            f"    {at_s:.2f} s {attempt.request_id} at {attempt.gateway}"
            f" behind {attempt.last_event_id or '-'}: {answer.status}"
            f" {attempt.end} {made or answer.body[-200:]!r}"
        )


def _details(played: Played) -> Iterator[str]:
    """Yields the troubles, and what gateways logged of the streams."""
    for at_s, trouble in played.wharf.troubles:
        yield f"  {at_s:.2f} s {trouble}"
    names = {f'"{stream.shape.name}.' for stream, _ in played.cases}
    for index, gateway in enumerate(played.wharf.logged):
        found = [
            line.rstrip()
            for line in gateway.log_lines
            if any(name in line for name in names)
        ]
        for line in found[:_LOG_LINES_LIMIT_COUNT]:
            yield f"  process {index}: {line}"


def _range(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays the seeds; returns 1 if a stream broke the rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_range, default=_range("1-6"))
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument("--source", type=pathlib.Path, help="a checkout")
    parser.add_argument("--length-s", type=float, default=LENGTH_S)
    parser.add_argument("--details", action="store_true")
    parser.add_argument(
        "--forms",
        type=lambda text: text.split(","),
        default=stream_order.USUAL_FORMS,
    )
    arguments = parser.parse_args()
    sys.executable = arguments.python
    if arguments.source is not None:
        os.environ["PYTHONPATH"] = str(arguments.source.resolve() / "src")
    cases_count = 0
    for seed in arguments.seeds:
        played = play(seed, arguments.forms, arguments.length_s)
        cases_count += len(played.cases)
        for line in _lines(played):
            print(line, flush=True)
        if arguments.details:
            for line in _details(played):
                print(line, flush=True)
    return 1 if cases_count else 0


if __name__ == "__main__":
    sys.exit(main())

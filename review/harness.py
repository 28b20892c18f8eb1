"""Stand-ins of the platform and a runner of the project's gateways.

Everything here uses the standard library alone. The stand-ins follow the
platform's pages: a store with leases and watches, servers of a plain service,
and clients that keep their channels open.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "callers.example"
GRACE_S = 8.0
HEARTBEAT_S = 1.2
HELD = 0
BROKEN = 1
NOT_RUN = 2
_START_LIMIT_S = 20.0
_PORTS = (20_000, 30_000)
_PLAY_LIMIT_S = 116.0
_PREFIX = "x-mulberrywharf-"
_PLACEHOLDER = re.compile(r"\{\{([^}|]+?)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line with the time since the start."""
        now_s = time.monotonic() - self._began_s
        words = [f"{name}={value}" for name, value in fields.items()]
        line = " ".join([f"{now_s:9.4f}", event, *words])
        self._file.write(line + "\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Message(NamedTuple):
    """An HTTP request or answer.

    Attributes:
        start: Its first line.
        fields: Header fields by their names in lower case.
        body: The whole body.
        is_whole: Whether its end was marked and reached.
    """

    start: str
    fields: dict[str, str]
    body: bytes
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


class ChannelEndedError(Exception):
    """The channel ended before a whole message had come."""


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Reads the first line and the fields of a message.

    Raises:
        ChannelEndedError: The channel ended before.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ChannelEndedError(repr(error)) from error
    start, *lines = head.decode("latin-1").strip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a whole message.

    Raises:
        ChannelEndedError: The channel ended before its end.
    """
    start, fields = await read_head(reader)
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            return Message(start, fields, await _read_chunks(reader))
        if "content-length" in fields:
            length = int(fields["content-length"])
            return Message(start, fields, await reader.readexactly(length))
        if start.startswith("HTTP/"):
            return Message(start, fields, await reader.read(), is_whole=False)
        return Message(start, fields, b"")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ChannelEndedError(repr(error)) from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.strip().split(b";")[0], 16)
        block = await reader.readexactly(size + 2)
        if not size:
            return body
        body += block[:-2]


def encode(start: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a message with a length."""
    fields = {**fields, "Content-Length": str(len(body))}
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Answer = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]
"""Returns the answer to a request, None if the channel is to be closed."""


class HttpServer:
    """Listens on a loopback address and answers one request at a time."""

    def __init__(self, answer: Answer, ip: str = LOOPBACK):
        self.ip = ip
        self.port = 0
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and closes all channels."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                answer = await self._answer(request, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ChannelEndedError, OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int
    lease: int


class Copy(NamedTuple):
    """What the store held at one moment."""

    items: dict[str, _Item]
    revision: int


class Store:
    """The platform's store, as PROTOCOL.md describes it.

    Attributes:
        era: Told in each answer in ``Store-Era``; None: not told.
        stale_s: How old stale reads are.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.stale_s = 0.0
        self._is_away = False
        self._versions: list[tuple[float, dict[str, _Item]]] = []
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, _Item | None]] = []
        self._revision = 1
        self._first_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_count = 0
        self._changed = asyncio.Event()
        self.http = HttpServer(self._answer)
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen and to expire leases."""
        await self.http.start()
        self._expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stops."""
        if self._expiry is not None:
            self._expiry.cancel()
        await self.http.close()

    def put(self, key: str, value: Any) -> None:
        """Writes a key as the operator or a server does."""
        self._change([(key, json.dumps(value).encode(), 0)], [])

    def delete(self, key: str) -> None:
        """Removes a key."""
        self._change([], [key])

    def copy(self) -> Copy:
        """Returns a copy to come back from."""
        return Copy(dict(self._items), self._revision)

    async def restore(self, copy: Copy, away_s: float) -> None:
        """Is away for a moment, then comes back from an older copy.

        What came later is gone, leases too, and revisions are given out again.
        """
        self._is_away = True
        self._wake()
        await asyncio.sleep(away_s)
        self._items = {
            key: item for key, item in copy.items.items() if not item.lease
        }
        self._revision = copy.revision
        self._history.clear()
        self._first_revision = copy.revision
        self._leases.clear()
        self._versions.clear()
        self.era = (self.era or 0) + 1
        self._is_away = False

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _change(
        self, puts: list[tuple[str, bytes, int]], deletes: list[str]
    ) -> None:
        self._revision += 1
        for key, value, lease in puts:
            known = self._items.get(key)
            created = known.created if known else self._revision
            item = _Item(value, self._revision, created, lease)
            self._items[key] = item
            self._history.append((self._revision, key, item))
        for key in deletes:
            if self._items.pop(key, None) is not None:
                self._history.append((self._revision, key, None))
        self._versions.append((time.monotonic(), dict(self._items)))
        self._wake()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (ends_s, _) in list(self._leases.items()):
                if now_s >= ends_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        gone = [key for key, one in self._items.items() if one.lease == lease]
        if gone:
            self._change([], gone)

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        if self._is_away:
            return None
        method, target, _ = request.start.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        body = json.loads(request.body) if request.body else {}
        name, _, number = path.strip("/").partition("/")
        status, result = 404, {}
        if (method, name) == ("GET", "kv-key"):
            status, result = self._read_key(query["key"])
        elif (method, name) == ("GET", "kv-range"):
            status, result = 200, self._read_range(query)
        elif (method, name) == ("GET", "kv-watch"):
            status, result = await self._watch(query)
        elif (method, name) == ("POST", "kv-txn"):
            status, result = self._write(body)
        elif (method, name) == ("POST", "kv-lease"):
            self._lease_count += 1
            ttl_s = body["ttl-ms"] / 1000
            ends_s = time.monotonic() + ttl_s
            self._leases[self._lease_count] = (ends_s, ttl_s)
            status = 200
            result = {"lease": self._lease_count, "ttl-ms": body["ttl-ms"]}
        elif number and int(number) in self._leases:
            lease = int(number)
            ttl_s = self._leases[lease][1]
            if method == "DELETE":
                self._end_lease(lease)
            else:
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            status, result = 200, {"ttl-ms": int(ttl_s * 1000)}
        if self._is_away:
            return None
        fields = {"Content-Type": "application/json"}
        if self.era is not None:
            fields["Store-Era"] = str(self.era)
        return encode(
            f"HTTP/1.1 {status} Said", fields, json.dumps(result).encode()
        )

    def _shown(self, key: str, item: _Item) -> dict[str, Any]:
        value = base64.b64encode(item.value).decode()
        return {"key": key, **item._asdict(), "value": value}

    def _read_key(self, key: str) -> tuple[int, dict[str, Any]]:
        if key not in self._items:
            return 404, {}
        shown = self._shown(key, self._items[key])
        return 200, {**shown, "store-revision": self._revision}

    def _read_range(self, query: dict[str, str]) -> dict[str, Any]:
        items = self._items
        if query.get("allow-stale"):
            items = self._stale_items()
        found = [
            self._shown(key, item)
            for key, item in sorted(items.items())
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {
            "items": found,
            "has-more": False,
            "store-revision": self._revision,
        }

    def _stale_items(self) -> dict[str, _Item]:
        before_s = time.monotonic() - self.stale_s
        old = [items for at_s, items in self._versions if at_s <= before_s]
        if old:
            return old[-1]
        return self._versions[0][1] if self._versions else self._items

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        era = self.era
        ends_s = time.monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        while True:
            if self._is_away or era != self.era:
                raise ChannelEndedError("the store is away")
            if not self._first_revision <= after <= self._revision:
                return 410, {}
            events = [
                self._shown(key, item)
                if item is not None
                else {"key": key, "revision": revision, "removed": True}
                for revision, key, item in self._history
                if revision > after and key.startswith(query["prefix"])
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    "events": events,
                    "store-revision": self._revision,
                }
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected", []):
            known = self._items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                shown = [
                    self._shown(one["key"], self._items[one["key"]])
                    for one in body["expected"]
                    if one["key"] in self._items
                ]
                return 412, {"items": shown}
        puts = [
            (
                row["key"],
                base64.b64decode(row["value"]),
                int(row.get("lease", 0)),
            )
            for row in body.get("puts", [])
        ]
        if any(lease and lease not in self._leases for _, _, lease in puts):
            return 404, {}
        self._change(puts, body.get("deletes", []))
        return 200, {"revision": self._revision}


class Stream(NamedTuple):
    """How a server answers with events.

    Attributes:
        events_count: Number of events.
        pause_s: Time before each event.
        unframed_every: Each answer of this number has no length and ends with
            its channel; 0 for none. The others are sent in chunks.
    """

    events_count: int
    pause_s: float
    unframed_every: int = 0


class Server:
    """A server of a plain service, or an engine that decodes.

    Attributes:
        runs: Each request that it ran: its id and how the run ended.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        server_id: str,
        service: str,
        *,
        slots: int,
        work_s: float,
        stream: Stream | None = None,
    ):
        self._stream = stream
        self._streams_count = 0
        self.runs: list[tuple[str, str]] = []
        self.server_id = server_id
        self._store = store
        self._record = record
        self._service = service
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._work_s = work_s
        self._count = 0
        self.http = HttpServer(self._answer)
        self._heart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen, then registers."""
        await self.http.start()
        self._heart = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Stops."""
        if self._heart is not None:
            self._heart.cancel()
        await self.http.close()

    async def _beat(self) -> None:
        while True:
            self._count += 1
            self._store.put(
                f"servers/{self.server_id}",
                {
                    "service": self._service,
                    "address": f"{self.http.ip}:{self.http.port}",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": self._slots,
                    "state": "ready",
                    "cold-remaining-ms": 0,
                    "sequence": self._count,
                    **({"stage": "decode"} if self._stream else {}),
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        request_id = request.fields.get(_PREFIX + "request-id", "")
        expected = request.fields.get(_PREFIX + "expected-instance")
        load = f"{self._running},{self._waiting},{self._slots}"
        fields = {
            "X-Mulberrywharf-Request-Id": request_id,
            "X-Mulberrywharf-Instance-Id": self.server_id,
            "X-Mulberrywharf-Instance-Load": load,
        }
        if " /report " in request.start:
            return self._report()
        if not request_id:
            return encode("HTTP/1.1 200 OK", fields)
        if expected not in (None, self.server_id):
            return encode("HTTP/1.1 421 Misdirected Request", fields)
        if self._waiting >= 2 * self._slots:
            fields["X-Mulberrywharf-Not-Executed"] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", fields)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        fields["X-Mulberrywharf-Response-Signature"] = f"{self.server_id}.sign"
        try:
            if self._stream is not None:
                end = await self._send_events(request, fields, writer)
            else:
                end = await self._work(writer)
        finally:
            self._running -= 1
            self._free.release()
        self.runs.append((request_id, end))
        self._record.write(
            "ran", request=request_id, server=self.server_id, end=end
        )
        if end != "whole" or self._stream is not None:
            return None
        body = f"{request_id} by {self.server_id}".encode()
        return encode("HTTP/1.1 200 OK", fields, body)

    def _report(self) -> bytes:
        report = {
            "stage": "decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": self._waiting,
            "running": self._running,
            "kv-used": 1000 * self._running,
            "kv-total": 545_579,
            "kv-handles": 0,
        }
        fields = {"Content-Type": "application/json"}
        return encode("HTTP/1.1 200 OK", fields, json.dumps(report).encode())

    async def _send_events(
        self,
        request: Message,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> str:
        """Sends numbered events; the answer ends with its channel."""
        assert self._stream is not None
        self._streams_count += 1
        every = self._stream.unframed_every
        is_framed = not every or self._streams_count % every != 0
        fields = {**fields, "Content-Type": "text/event-stream"}
        if is_framed:
            fields["Transfer-Encoding"] = "chunked"
        fields["Connection"] = "close"
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        head = "HTTP/1.1 200 OK\r\n" + "".join(lines) + "\r\n"
        first = int(request.fields.get("last-event-id", "0")) + 1
        writer.write(head.encode())
        for number in range(first, self._stream.events_count + 1):
            await asyncio.sleep(self._stream.pause_s)
            if writer.is_closing() or _is_closed(writer):
                return "cut"
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            if is_framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return "whole"

    async def _work(self, writer: asyncio.StreamWriter) -> str:
        """Works for the usual time; drops the request if its channel closes."""
        ends_s = time.monotonic() + self._work_s
        while (left_s := ends_s - time.monotonic()) > 0:
            if writer.is_closing() or _is_closed(writer):
                return "cut"
            await asyncio.sleep(min(0.002, left_s))
        return "whole"


def _is_closed(writer: asyncio.StreamWriter) -> bool:
    """Returns whether the peer has closed a channel."""
    sock = writer.get_extra_info("socket")
    try:
        fileno = sock.fileno()
        peek = socket.socket(fileno=os.dup(fileno))
    except (OSError, ValueError):
        return True
    with peek:
        peek.setblocking(False)
        try:
            return not peek.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True


def free_port(ip: str = LOOPBACK) -> int:
    """Returns a port that is free now and that no outgoing channel takes.

    A gateway needs it again at each start.
    """
    while True:
        port = random.randrange(*_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port


class Gateway:
    """One of the project's gateways, started by the deploy file's command."""

    def __init__(self, name: str, settings: dict[str, Any], folder: str):
        self.name = name
        self.front = _endpoint(settings["listen.front"])
        self.ready = _endpoint(settings["listen.ready"])
        self._path = pathlib.Path(folder) / f"{name}.conf"
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        template = (ROOT / "deploy/gateway.json").read_text(encoding="utf-8")
        self._path.write_text(_rendered(template, settings), encoding="utf-8")
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        deps = ROOT / "target/deps"
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/launch.py",
                "--settings",
                str(self._path),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(deps)},
                stdout=log,
                stderr=log,
            )
        ends_s = time.monotonic() + _START_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > ends_s or self.has_ended:
                raise RuntimeError(f"{self.name} did not start: {self.log()}")
            await asyncio.sleep(0.1)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    def log(self) -> str:
        """Returns what the process wrote."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    async def is_ready(self) -> bool:
        """Returns whether it answers the platform's question with 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer.status == 200
        except (TimeoutError, ChannelEndedError, OSError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self._process is not None and not self.has_ended:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Stops as the platform does: SIGTERM, and SIGKILL behind grace-s."""
        self.signal(signal.SIGTERM)
        await self.wait(GRACE_S)

    async def wait(self, limit_s: float) -> None:
        """Waits for the end; kills the process at the limit."""
        if self._process is None:
            return
        try:
            await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()


def _endpoint(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def _rendered(template: str, settings: dict[str, Any]) -> str:
    """Fills in the deploy file's template as the platform does."""

    def section(match: re.Match[str]) -> str:
        value = settings.get(match[1])
        if value is None or value is False:
            return ""
        inner = _SECTION.sub(section, match[2])
        inner = inner.replace("{{.|json}}", json.dumps(value))
        return inner.replace("{{.}}", str(value))

    def placeholder(match: re.Match[str]) -> str:
        value = settings.get(match[1])
        return json.dumps(value) if match[2] else str(value)

    template = _SECTION.sub(section, template)
    return _PLACEHOLDER.sub(placeholder, template)


def settings_of(
    name: str, store: Store, ip: str = LOOPBACK, **more: Any
) -> dict[str, Any]:
    """Returns the fields that the platform fills into the template."""
    return {
        "node-name": name,
        "zone": "zone-a",
        "ip": ip,
        "listen.front": f"{ip}:{free_port(ip)}",
        "listen.ready": f"{ip}:{free_port(ip)}",
        "internal-ports.0": free_port(ip),
        "platform.address": f"{store.http.ip}:{store.http.port}",
        "bounds.retry-budget-ratio": 0.2,
        "bounds.budget-window-s": 10,
        "bounds.retry-budget-slack": 58,
        "bounds.lease-ms": 3000,
        "bounds.grace-s": int(GRACE_S),
        **more,
    }


def route_of(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1000,
        "target-latency-ms": 125,
        "service": service,
        "max-attempts": 1 if kind == "unsafe" else 2,
        "priority": 2,
        **more,
    }


def config_of(
    version: int, routes: list[dict[str, Any]], **more: Any
) -> dict[str, Any]:
    """Returns a config of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "plain",
                "health-path": "/health",
                "max-connections": 110,
            },
            {
                "name": "engines",
                "health-path": "/health",
                "max-connections": 310,
                "engine": {
                    "slots": 48,
                    "kv-tokens": 545_579,
                    "kv-token-bytes": 18_432,
                    "link-mbps": 370_000.0,
                    "most": 12,
                    "handle-ttl-s": 5.0,
                },
            },
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        **more,
    }


def request_bytes(
    request_id: str, path: str, *, deadline_ms: int = 1000, **fields: str
) -> bytes:
    """Returns a client's POST request."""
    named = {name.replace("_", "-"): one for name, one in fields.items()}
    return encode(
        f"POST {path} HTTP/1.1",
        {
            "Host": HOST,
            "X-Mulberrywharf-Request-Id": request_id,
            "X-Mulberrywharf-Deadline-Ms": str(deadline_ms),
            **named,
        },
        b"payload of " + request_id.encode(),
    )


@contextlib.asynccontextmanager
async def running(*parts: Any) -> AsyncIterator[None]:
    """Starts parts in order, and closes or stops them in the end."""
    started: list[Any] = []
    try:
        for part in parts:
            started.append(part)
            await part.start()
        yield
    finally:
        for part in reversed(started):
            if isinstance(part, Gateway):
                part.signal(signal.SIGKILL)
                await part.wait(5.0)
            else:
                await part.close()


async def _bounded(playing: Awaitable[int]) -> int:
    """Ends a play, and so its processes, at its limit or at a SIGTERM."""
    task = asyncio.ensure_future(playing)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, _PLAY_LIMIT_S)


def run(folder: pathlib.Path, play: Any, *, is_harmed: bool) -> int:
    """Plays a case and returns the exit code of its script.

    Args:
        folder: Folder of the case, for its record.
        play: Coroutine function that gets the record, a temporary folder and
            whether the disruption takes place; returns the exit code.
        is_harmed: Whether the disruption takes place.
    """
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            return int(
                asyncio.run(_bounded(play(record, temporary, is_harmed)))
            )
    except (Exception, asyncio.CancelledError) as error:
        record.write("could not run", error=repr(error))
        return NOT_RUN
    finally:
        record.close()

"""Stand-ins, proxies and processes for the scripts of the second review.

Everything but the gateways runs in one asyncio loop. The gateways are separate
processes, started with the command of the deploy file. All addresses are
loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
PREFIX = "x-mulberrywharf-"
HEARTBEAT_S = 1.2
HOST = "callers.example"

_HEAD_LIMIT_BYTES = 262_144
_READY_LIMIT_S = 30.0
_WATCH_LIMIT_S = 30.0


class HttpRequest(NamedTuple):
    """A request as a stand-in reads it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text))


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Reads one request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0") or 0)
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpRequest(method, target, fields, body)


def encode_head(
    status: int, fields: Iterable[tuple[str, str]], reason: str = "OK"
) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(
    status: int, body: bytes, fields: Iterable[tuple[str, str]] = ()
) -> bytes:
    """Returns a whole response with its length."""
    all_fields = [*fields, ("content-length", str(len(body)))]
    return encode_head(status, all_fields) + body


class Listener:
    """A TCP listener whose connections are handled by one coroutine each."""

    def __init__(
        self,
        handle: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
        ip: str = LOOPBACK,
    ):
        self._handle = handle
        self._ip = ip
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self._ip}:{self.port}"

    async def start(self) -> None:
        """Begins to listen, at the same port as before."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self.port, limit=_HEAD_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self) -> None:
        """Resets every connection."""
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self._handle(reader, writer)
        except (ConnectionError, asyncio.CancelledError, TimeoutError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Item(NamedTuple):
    """A key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


View = Callable[[str, bytes], bytes]
"""Changes a value on its way to one gateway, such as an address in it."""


class Store:
    """The platform's store.

    Attributes:
        revision: Rises with each change.
        cut_watches_after_s: How long a watch waits until its channel is
            closed without an answer; None for never.
        watches_cut_count: Watches that were cut.
        era: Told in each answer; rises by one with each restore.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.cut_watches_after_s: float | None = None
        self.watches_cut_count = 0
        self.era = 1
        self._oldest_revision = 0
        self._items: dict[str, Item] = {}
        self._events: list[tuple[str, Item | None, int]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 7000
        self._changed = asyncio.Condition()
        self._listeners: list[Listener] = []
        self._expiry: asyncio.Task[None] | None = None

    async def add_view(self, view: View | None = None) -> Listener:
        """Listens on another port for one gateway."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while (request := await read_request(reader)) is not None:
                status, answer = await self._answer(request, view)
                body = json.dumps(answer).encode()
                fields = [
                    ("content-type", "application/json"),
                    ("Store-Era", str(self.era)),
                ]
                writer.write(encode_response(status, body, fields))
                await writer.drain()

        listener = Listener(handle)
        await listener.start()
        self._listeners.append(listener)
        if self._expiry is None:
            self._expiry = asyncio.create_task(self._expire())
        return listener

    async def close(self) -> None:
        """Stops."""
        if self._expiry is not None:
            self._expiry.cancel()
        for listener in self._listeners:
            await listener.close()

    def copy(self) -> dict[str, Item]:
        """Returns a copy of the keys without a lease, to come back from."""
        return {
            key: item for key, item in self._items.items() if not item.lease
        }

    async def go_away(self) -> None:
        """Refuses all calls and breaks off those that wait."""
        for listener in self._listeners:
            await listener.close()

    async def come_back(self, copy: dict[str, Item], revision: int) -> None:
        """Answers again, from a copy: what came later and all leases are gone.

        Args:
            copy: What ``copy`` returned.
            revision: The revision then.
        """
        self._items = dict(copy)
        self._events.clear()
        self._leases.clear()
        self.revision = self._oldest_revision = revision
        self.era += 1
        for listener in self._listeners:
            await listener.start()

    async def put(self, key: str, value: Any) -> float:
        """Writes a key as operators and servers do.

        Returns:
            The monotonic time of the acknowledgement.
        """
        self._write([(key, json.dumps(value).encode(), 0)], [])
        await self._notify()
        return time.monotonic()

    async def delete(self, key: str) -> float:
        """Deletes a key; returns the time of the acknowledgement."""
        self._write([], [key])
        await self._notify()
        return time.monotonic()

    def _write(
        self, puts: list[tuple[str, bytes, int]], deletes: list[str]
    ) -> None:
        self.revision += 1
        for key, value, lease in puts:
            known = self._items.get(key)
            created = known.created if known else self.revision
            item = Item(value, self.revision, created, lease)
            self._items[key] = item
            self._events.append((key, item, self.revision))
        for key in deletes:
            if self._items.pop(key, None) is not None:
                self._events.append((key, None, self.revision))

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            ended = [
                lease
                for lease, (until_s, _) in self._leases.items()
                if until_s < now_s
            ]
            for lease in ended:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, one in self._items.items() if one.lease == lease]
        if keys:
            self._write([], keys)
            await self._notify()

    async def _answer(
        self, request: HttpRequest, view: View | None
    ) -> tuple[int, dict[str, Any]]:
        query = request.query
        if request.path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            told = _told(query["key"], item, view)
            return 200, {**told, "store-revision": self.revision}
        if request.path == "/kv-range":
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            )
            items = [_told(key, self._items[key], view) for key in keys[:500]]
            return 200, {
                "items": items,
                "has-more": len(keys) > 500,
                "store-revision": self.revision,
            }
        if request.path == "/kv-watch":
            if (
                not self._oldest_revision
                <= int(query["after"])
                <= self.revision
            ):
                return 410, {"store-revision": self.revision}
            return 200, await self._watch(query, view)
        if request.path == "/kv-txn":
            return await self._txn(json.loads(request.body))
        if request.path == "/kv-lease":
            ttl_ms = json.loads(request.body)["ttl-ms"]
            self._next_lease += 1
            ttl_s = ttl_ms / 1000
            self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._next_lease, "ttl-ms": ttl_ms}
        if request.path.startswith("/kv-keep/"):
            lease = int(request.path.rsplit("/", 1)[1])
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl-ms": int(ttl_s * 1000)}
        if request.path.startswith("/kv-lease-end/"):
            await self._end_lease(int(request.path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def _watch(
        self, query: dict[str, str], view: View | None
    ) -> dict[str, Any]:
        prefix, after = query["prefix"], int(query["after"])
        began_s = time.monotonic()
        until_s = began_s + min(_WATCH_LIMIT_S, int(query["wait-ms"]) / 1000)
        while True:
            events = [
                _told(key, item, view)
                if item is not None
                else {"key": key, "revision": revision, "removed": True}
                for key, item, revision in self._events
                if revision > after and key.startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store-revision": self.revision}
            if self.cut_watches_after_s is not None:
                cut_s = began_s + self.cut_watches_after_s
                left_s = min(left_s, cut_s - time.monotonic())
                if left_s <= 0:
                    self.watches_cut_count += 1
                    raise ConnectionError("the watch is cut")
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)

    async def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get("expected", [])
        for row in expected:
            known = self._items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                found = [
                    _told(one["key"], self._items[one["key"]], None)
                    for one in expected
                    if one["key"] in self._items
                ]
                return 412, {"items": found}
        puts = []
        for row in body.get("puts", []):
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            puts.append((row["key"], base64.b64decode(row["value"]), lease))
        deletes = body.get("deletes", [])
        if puts or deletes:
            self._write(puts, deletes)
            await self._notify()
        return 200, {"revision": self.revision}


def _told(key: str, item: Item, view: View | None) -> dict[str, Any]:
    value = view(key, item.value) if view is not None else item.value
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


class Run(NamedTuple):
    """A request that a runner began to work on."""

    request_id: str
    runner_id: str
    at_s: float
    request: HttpRequest


Behaviour = Callable[
    ["Runner", HttpRequest, asyncio.StreamWriter], Awaitable[None]
]
"""Works on a request and writes its answer."""


class Runner:
    """A server of a service.

    Attributes:
        runner_id: Its id in the store.
        runs: Every request that it ran.
        running: Ids of the requests that it works on.
        sequence: How often it has written its record.
        state: What its record says of it.
        ended: When its work on a request ended.
    """

    def __init__(
        self,
        store: Store,
        runner_id: str,
        service: str,
        behaviour: Behaviour,
        *,
        zone: str = "zone-a",
        slots: int = 48,
        stage: str | None = None,
        sequence: int = 0,
    ):
        self.runner_id = runner_id
        self.runs: list[Run] = []
        self.running: dict[str, float] = {}
        self.ended: list[tuple[str, float]] = []
        self._store = store
        self._service = service
        self._behaviour = behaviour
        self._zone = zone
        self._slots = slots
        self._stage = stage
        self.sequence = sequence
        self.state = "ready"
        self.listener = Listener(self._handle)
        self._heart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen and to write its record."""
        await self.listener.start()
        await self.register()
        self._heart = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Ends; its record stays."""
        if self._heart is not None:
            self._heart.cancel()
        await self.listener.close()

    async def register(self) -> float:
        """Writes its record; returns the time of the acknowledgement."""
        self.sequence += 1
        record = {
            "service": self._service,
            "address": self.listener.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        if self._stage is not None:
            models = [{"name": "m", "version": 1, "adapters": []}]
            record |= {"stage": self._stage, "models": models}
        return await self._store.put(f"servers/{self.runner_id}", record)

    async def leave(self) -> float:
        """Ends its record without notice, and serves on.

        Returns:
            The time of the acknowledgement.
        """
        if self._heart is not None:
            self._heart.cancel()
        return await self._store.delete(f"servers/{self.runner_id}")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def answer_fields(self, request: HttpRequest) -> list[tuple[str, str]]:
        """Returns the header fields of an answer."""
        running = min(self._slots, len(self.running))
        return [
            (
                "X-Mulberrywharf-Request-Id",
                request.fields.get(PREFIX + "request-id", ""),
            ),
            ("X-Mulberrywharf-Response-Signature", f"{self.runner_id}.signed"),
            (
                "X-Mulberrywharf-Instance-Load",
                f"{running},0,{self._slots}",
            ),
        ]

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            if request.path == "/report":
                report = {
                    "stage": self._stage or "decode",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False,
                    "sequence": 0,
                    "waiting": 0,
                    "running": len(self.running),
                    "kv-used": 0,
                    "kv-total": 500_000,
                    "kv-handles": 0,
                }
                body = json.dumps(report).encode()
                writer.write(encode_response(200, body))
                continue
            if request.method == "DELETE":
                writer.write(encode_response(200, b"{}"))
                continue
            expected = request.fields.get(PREFIX + "expected-instance")
            if expected not in (None, self.runner_id):
                fields = [("X-Mulberrywharf-Instance-Id", self.runner_id)]
                writer.write(encode_response(421, b"", fields))
                continue
            if len(self.running) >= self._slots:
                fields = [
                    ("X-Mulberrywharf-Not-Executed", "1"),
                    self.answer_fields(request)[0],
                ]
                writer.write(encode_response(503, b"", fields))
                continue
            await self._run(request, reader, writer)

    async def _run(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.fields.get(PREFIX + "request-id", "")
        now_s = time.monotonic()
        self.runs.append(Run(request_id, self.runner_id, now_s, request))
        self.running[request_id] = now_s
        work = asyncio.create_task(self._behaviour(self, request, writer))
        closed = asyncio.create_task(_wait_closed(reader))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
                raise ConnectionResetError("the caller has left")
            work.result()
            await writer.drain()
        finally:
            closed.cancel()
            work.cancel()
            self.running.pop(request_id, None)
            self.ended.append((request_id, time.monotonic()))


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Proxy:
    """Passes connections on to an address, until it is cut.

    A cut proxy refuses new connections and has reset the open ones, as a cut
    with ``refuse`` does, or holds them back, as a silent one does.
    """

    def __init__(self, upstream: str):
        ip, _, port = upstream.rpartition(":")
        self._upstream = (ip, int(port))
        self._passes = asyncio.Event()
        self._passes.set()
        self.listener = Listener(self._handle)

    @property
    def address(self) -> str:
        """Where it listens."""
        return self.listener.address

    async def start(self) -> None:
        """Begins to listen."""
        await self.listener.start()

    async def close(self) -> None:
        """Refuses all connections from now on."""
        await self.listener.close()

    def freeze(self) -> None:
        """Holds all bytes back."""
        self._passes.clear()

    def thaw(self) -> None:
        """Passes all bytes on again."""
        self._passes.set()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        try:
            await asyncio.gather(
                self._carry(reader, up_writer), self._carry(up_reader, writer)
            )
        finally:
            with contextlib.suppress(Exception):
                up_writer.transport.abort()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            await self._passes.wait()
            writer.write(data)
            await writer.drain()
        await self._passes.wait()
        writer.close()


class Gateway:
    """A gateway process, started with the command of the deploy file.

    Attributes:
        callers: Address for callers.
        log_path: What it writes.
    """

    def __init__(
        self,
        index: int,
        store_address: str,
        folder: pathlib.Path,
        net: str,
        **settings: Any,
    ):
        ip = f"{net}.{index + 1}"
        self.callers = f"{ip}:{_free_port(ip)}"
        self.ready = f"{ip}:{_free_port(ip)}"
        self.log_path = folder / f"gateway-{index}.log"
        self._settings_path = folder / f"gateway-{index}.json"
        self._folder = folder
        document = {
            "vm_id": f"front-zone-a-{index + 1}",
            "availability_zone": "zone-a",
            "callers_listen": self.callers,
            "operators_listen": self.ready,
            "nodes_listen": f"{ip}:{_free_port(ip)}",
            "store": store_address,
            "repeats": {"ratio": 0.2, "window_s": 10, "allowance_count": 58},
            "roles": {"turn_ms": 3000},
            "grace_s": 8,
            **settings,
        }
        self._settings_path.write_text(json.dumps(document))
        self._process: asyncio.subprocess.Process | None = None
        self._log: Any = None

    async def start(self) -> None:
        """Starts the process."""
        self._log = self.log_path.open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self._process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/launch.py",
            "--settings",
            str(self._settings_path),
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process."""
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._log is not None:
            self._log.close()

    async def wait_ready(self) -> None:
        """Waits until it says that it is ready.

        Raises:
            TimeoutError: It does not become ready.
        """
        until_s = time.monotonic() + _READY_LIMIT_S
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                answer = await call(self.ready, "GET", "/ready", {}, wait_s=1.0)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.ready} is not ready")


def _free_port(ip: str) -> int:
    # Bound for TCP and UDP, as gateways use one number for both.
    while True:
        with (
            socket.socket(type=socket.SOCK_STREAM) as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind((ip, 0))
            with contextlib.suppress(OSError):
                datagrams.bind((ip, stream.getsockname()[1]))
                return int(stream.getsockname()[1])


class Answer(NamedTuple):
    """What a client got.

    Attributes:
        status: The status, 0 without a head.
        fields: The header fields.
        body: What was read of the body.
        is_whole: Whether the answer ended as it should.
    """

    status: int
    fields: dict[str, str]
    body: bytes
    is_whole: bool


class Channel:
    """A client's connection, on which it sends one request after another."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Connects."""
        ip, _, port = address.rpartition(":")
        opened = await asyncio.open_connection(
            ip, int(port), limit=_HEAD_LIMIT_BYTES
        )
        return cls(*opened)

    async def send(
        self, method: str, target: str, fields: dict[str, str], body: bytes
    ) -> None:
        """Sends a request."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.writer.write(head.encode("latin-1") + body)
        await self.writer.drain()

    async def receive(self) -> Answer:
        """Reads an answer; one that breaks off is returned as far as read."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.strip().lower()] = value.strip()
        body, is_whole = await self._body(fields)
        return Answer(status, fields, body, is_whole)

    async def _body(self, fields: dict[str, str]) -> tuple[bytes, bool]:
        body = bytearray()
        try:
            if "chunked" in fields.get("transfer-encoding", ""):
                while True:
                    line = await self.reader.readuntil(b"\r\n")
                    size = int(line.split(b";")[0], 16)
                    block = await self.reader.readexactly(size + 2)
                    body += block[:-2]
                    if size == 0:
                        return bytes(body), True
            if "content-length" in fields:
                size = int(fields["content-length"])
                body += await self.reader.readexactly(size)
                return bytes(body), True
            while block := await self.reader.read(65_536):
                body += block
            return bytes(body), True
        except asyncio.IncompleteReadError as error:
            return bytes(body) + error.partial, False
        except (ConnectionError, ValueError):
            return bytes(body), False

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    *,
    wait_s: float,
) -> Answer:
    """Sends one request on a new connection and reads its answer.

    Raises:
        OSError: The connection could not be opened.
        TimeoutError: There was no answer in time.
    """
    async with asyncio.timeout(wait_s):
        channel = await Channel.open(address)
        try:
            await channel.send(method, target, fields, body)
            return await channel.receive()
        finally:
            channel.close()


def new_request_id() -> str:
    """Returns the id of one client attempt."""
    return f"{random.getrandbits(64):016x}"


def config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    **more: Any,
) -> dict[str, Any]:
    """Returns the operator's config."""
    limits = {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        **more,
    }


def route(name: str, service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route, whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 1000,
        "target-latency-ms": 125,
        "priority": 2,
        "service": service,
        "max-attempts": 1,
        **more,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Returns a service whose servers are no engines."""
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": 310,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str) -> dict[str, Any]:
    """Returns a service of engines."""
    engine = {
        "slots": 48,
        "kv-tokens": 545_579,
        "kv-token-bytes": 18_432,
        "link-mbps": 370_000.0,
        "handle-ttl-s": 5.0,
        "stage-switch-s": 3.0,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "engine": engine}


class Record:
    """What a script sent, saw and ran, written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path):
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._began_s = time.monotonic()

    def note(self, text: str, at_s: float | None = None) -> None:
        """Adds a line with its time."""
        now_s = time.monotonic() if at_s is None else at_s
        self._lines.append(f"{now_s - self._began_s:9.3f} {text}")

    def close(self) -> None:
        """Writes the file, in the order of the times."""
        lines = sorted(self._lines, key=lambda line: float(line[:9]))
        self._path.write_text("\n".join(lines) + "\n")


def has_trouble() -> bool:
    """Returns whether the script is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def net() -> str:
    """Returns a loopback network that other runs hardly use."""
    return f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"


def main(
    play: Callable[[pathlib.Path, Record], Awaitable[int]],
    folder: pathlib.Path,
    limit_s: float = 110.0,
) -> None:
    """Runs a script; exits with 0, 1 or, if it could not run, 2."""
    record = Record(folder)

    async def limited() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(limit_s):
                return await play(pathlib.Path(temporary), record)

    loop = asyncio.new_event_loop()
    try:
        code = loop.run_until_complete(limited())
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    record.close()
    sys.stderr.flush()
    sys.stdout.flush()
    # The stand-ins' tasks need no end of their own: the gateways have ended.
    os._exit(code)

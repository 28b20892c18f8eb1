"""A randomized soak of real gateways with faults from outside them.

Run as ``python -m bench.gateway_soak --seeds 1-50``. Each seed starts two
gateways as processes, a store and five servers, and plays callers while the
gateways are killed, stopped, paused and reloaded, the store goes away, and
servers refuse, lose, delay and break off. What callers and servers saw is then
held against the promises:

* an answer of success is the request's own, vouched for, and whole;
* a request that may run once ran at most once;
* a request that was refused as not run did not run;
* a stream's events are its own and follow each other without a gap;
* a request ends without an answer only while its gateway is killed.

A seed that ever failed is kept in ``FAILED_SEEDS`` with a line on its cause.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import random
import re
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import gevent
from gevent import socket

from standins.platform_server import PlatformServerStandin
from standins.platform_store import PlatformStoreStandin
from tests import builders_routes as build
from tests import processes

FAILED_SEEDS: dict[int, str] = {}
"""Seeds that failed once and what the cause was; run again each time."""

GATEWAYS_COUNT = 2
CALLERS_COUNT = 12
DEFAULT_LENGTH_S = 5.0
_CALL_TIMEOUT_S = 6.0
_SETTLE_S = 0.5
_DEADLINE_MS = 2_000
_KILL_GRACE_S = 0.3
_TASKS_LIMIT_S = 60.0
_PROMISES_NOT_RUN = frozenset({429, 503})
_EXPECTED = frozenset({200, 500, 502, 503, 504})
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)\n\n")
_SERVERS = (
    ("plain-1", "plain", ""),
    ("plain-2", "plain", ""),
    ("pre-1", "engines", "prefill"),
    ("dec-1", "engines", "decode"),
    ("dec-2", "engines", "decode"),
)
_SERVER_FAULTS: tuple[dict[str, Any], ...] = (
    {"refuse": 1},
    {"lose": 1},
    {"foreign": 1},
    {"delay_s": 0.6},
    {"delay_s": 3.0},
    {"break_after": 2},
)
_STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"down": True},
    {"status": 503},
    {"status": 429},
    {"silent": 2.0},
)


class Call(NamedTuple):
    """One request as its caller saw it.

    Attributes:
        request_id: Its id.
        kind: ``safe``, ``unsafe`` or ``stream``.
        status: HTTP status, 0 for no answer.
        head: The answer's head.
        body: What came of the body, chunks joined.
        is_whole: Whether the body ended as it should.
        gateway: Index of the gateway.
        began_s: Monotonic time of the call.
        ended_s: Monotonic time of its end.
    """

    request_id: str
    kind: str
    status: int
    head: str
    body: bytes
    is_whole: bool
    gateway: int
    began_s: float
    ended_s: float


class Soak:
    """One seed."""

    def __init__(self, seed: int, length_s: float):
        self._rng = random.Random(seed)
        self._length_s = length_s
        self._folder = tempfile.TemporaryDirectory()
        self.store = PlatformStoreStandin()
        self.servers: dict[str, PlatformServerStandin] = {}
        self.gateways: list[processes.Process | None] = []
        self.calls: list[Call] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self._ended_s: list[tuple[int, float]] = []
        self._tasks: list[gevent.Greenlet] = []
        self._is_over = False

    def run(self) -> list[str]:
        """Plays the seed and returns the promises that were broken."""
        try:
            self._start()
            callers = [gevent.spawn(self._call) for _ in range(CALLERS_COUNT)]
            self._play_faults()
            self._is_over = True
            gevent.joinall(callers, timeout=2 * _CALL_TIMEOUT_S)
            gevent.sleep(_SETTLE_S)
            return list(self._broken())
        finally:
            self._close()

    def _start(self) -> None:
        self.store.start()
        for server_id, service, stage in _SERVERS:
            server = PlatformServerStandin(server_id)
            server.start()
            self.servers[server_id] = server
            record = build.server_value(
                service=service,
                address=f"127.0.0.1:{server.port}",
                **({"stage": stage} if stage else {}),
            )
            self.store.put(f"servers/{server_id}", record)
        self.store.put("op/config", json.dumps(_routes()).encode())
        for index in range(GATEWAYS_COUNT):
            self.gateways.append(None)
            self._launch(index)

    def _launch(self, index: int) -> None:
        path = pathlib.Path(self._folder.name) / f"gateway-{index}.json"
        path.write_text(json.dumps(_settings(index, self.store.port)))
        self.gateways[index] = gevent.get_hub().threadpool.apply(
            processes.Process,
            ("mulberrywharf.programs.gateway", "--settings", str(path)),
        )

    def _close(self) -> None:
        for gateway in self.gateways:
            if gateway is not None:
                gateway.close()
        for server in self.servers.values():
            server.close()
        self.store.close()
        self._folder.cleanup()

    def _play_faults(self) -> None:
        ends_s = time.monotonic() + self._length_s
        while time.monotonic() < ends_s:
            gevent.sleep(self._rng.uniform(0.1, 0.6))
            fault = self._rng.choice(
                [self._harm_server] * 4
                + [self._harm_store, self._signal, self._signal]
            )
            self._tasks.append(gevent.spawn(fault))
        # A gateway that is still being started would outlive the soak.
        gevent.joinall(self._tasks, timeout=_TASKS_LIMIT_S)
        for server in self.servers.values():
            server.faults = {}
        self.store.faults = {}

    def _harm_server(self) -> None:
        server = self._rng.choice(list(self.servers.values()))
        server.faults = self._rng.choice(_SERVER_FAULTS)
        self.faults[f"server {next(iter(server.faults))}"] += 1
        gevent.sleep(self._rng.uniform(0.2, 1.0))
        server.faults = {}

    def _harm_store(self) -> None:
        self.store.faults = self._rng.choice(_STORE_FAULTS)
        self.faults[f"store {next(iter(self.store.faults))}"] += 1
        gevent.sleep(self._rng.uniform(0.2, 1.5))
        self.store.faults = {}

    def _signal(self) -> None:
        index = self._rng.randrange(GATEWAYS_COUNT)
        gateway = self.gateways[index]
        if gateway is None or gateway.poll() is not None:
            return
        number = self._rng.choice(
            (signal.SIGHUP, signal.SIGSTOP, signal.SIGTERM, signal.SIGKILL)
        )
        self.faults[number.name] += 1
        with contextlib.suppress(ProcessLookupError):
            gateway.signal(number)
            if number == signal.SIGSTOP:
                gevent.sleep(self._rng.uniform(0.1, 0.8))
                gateway.signal(signal.SIGCONT)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.gateways[index] = None
            if number == signal.SIGKILL:
                self._ended_s.append((index, time.monotonic()))
            gevent.get_hub().threadpool.apply(gateway.wait)
            gateway.close()
            self._launch(index)

    def _call(self) -> None:
        while not self._is_over:
            index = self._rng.randrange(GATEWAYS_COUNT)
            gateway = self.gateways[index]
            if gateway is None:
                gevent.sleep(0.05)
                continue
            kind = self._rng.choice(("safe", "unsafe", "stream"))
            request_id = f"{self._rng.getrandbits(48):012x}"
            began_s = time.monotonic()
            raw = _exchange(gateway.ready["callers"], kind, request_id)
            if raw is None:
                continue
            status, head, body, is_whole = _read(raw)
            self.calls.append(
                Call(
                    request_id,
                    kind,
                    status,
                    head,
                    body,
                    is_whole,
                    index,
                    began_s,
                    time.monotonic(),
                )
            )
            gevent.sleep(self._rng.uniform(0.0, 0.05))

    def _broken(self) -> Iterator[str]:
        runs: collections.Counter[str] = collections.Counter()
        for server in self.servers.values():
            runs.update(run["id"] for run in server.runs)
        for call in self.calls:
            for reason in self._broken_by(call, runs[call.request_id]):
                yield f"{call.kind} {call.request_id}: {reason}"

    def _broken_by(self, call: Call, runs_count: int) -> Iterator[str]:
        if call.kind == "unsafe" and runs_count > 1:
            yield f"ran {runs_count} times"
        if call.status in _PROMISES_NOT_RUN and runs_count:
            yield f"refused with {call.status} and ran"
        if call.status == 0 and not self._was_killed(call):
            yield "no answer though its gateway was not killed"
        elif call.status and call.status not in _EXPECTED:
            yield f"answered {call.status}"
        if call.status == 200:
            yield from _wrong_answer(call)
            if not call.is_whole and call.kind != "stream":
                yield "cut"

    def _was_killed(self, call: Call) -> bool:
        return any(
            index == call.gateway
            and call.began_s - _KILL_GRACE_S
            <= at_s
            <= call.ended_s + _KILL_GRACE_S
            for index, at_s in self._ended_s
        )


def _wrong_answer(call: Call) -> Iterator[str]:
    if "x-mulberrywharf-response-signature" not in call.head.lower():
        yield "no receipt"
    if call.kind != "stream":
        if call.is_whole and call.request_id.encode() not in call.body:
            yield "the answer of another request"
        return
    events = _EVENT.findall(call.body)
    numbers = [int(number) for number, _, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"events {numbers}"
    if any(owner != call.request_id.encode() for _, owner, _ in events):
        yield "events of another request"
    if call.is_whole and len(numbers) != 5:
        yield f"ended as whole after {len(numbers)} events"


def _exchange(port: int, kind: str, request_id: str) -> bytes | None:
    """Sends one request; None if no connection stood."""
    data = b""
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
    except OSError:
        return None
    with sock:
        sock.settimeout(_CALL_TIMEOUT_S)
        try:
            sock.sendall(_request(kind, request_id))
            while some := sock.recv(65536):
                data += some
        except OSError:
            pass
    return data


def _request(kind: str, request_id: str) -> bytes:
    prompt = (
        "x-mulberrywharf-model: m\r\n"
        "x-mulberrywharf-token-usage: 16000,50\r\n"
        f"x-mulberrywharf-prompt-prefix: aa:13000,{request_id}:3000\r\n"
        if kind == "stream"
        else ""
    )
    return (
        f"POST /{kind}/x HTTP/1.1\r\nhost: {build.HOST}\r\n"
        f"x-mulberrywharf-request-id: {request_id}\r\n"
        f"x-mulberrywharf-deadline-ms: {_DEADLINE_MS}\r\n{prompt}"
        f"connection: close\r\ncontent-length: {len(request_id)}\r\n\r\n"
        f"{request_id}"
    ).encode()


def _read(raw: bytes) -> tuple[int, str, bytes, bool]:
    head, separator, body = raw.partition(b"\r\n\r\n")
    if not separator:
        return 0, "", b"", False
    text = head.decode("latin-1")
    status = int(text.split(" ")[1])
    if "transfer-encoding: chunked" in text.lower():
        joined, is_whole = _join_chunks(body)
        return status, text, joined, is_whole
    length = re.search(r"content-length: (\d+)", text, re.IGNORECASE)
    is_whole = length is not None and len(body) == int(length.group(1))
    return status, text, body, is_whole


def _join_chunks(body: bytes) -> tuple[bytes, bool]:
    joined = b""
    while True:
        line, separator, rest = body.partition(b"\r\n")
        if not separator:
            return joined, False
        size = int(line, 16)
        if size == 0:
            return joined, True
        joined += rest[:size]
        if len(rest) < size + 2:
            return joined, False
        body = rest[size + 2 :]


def _routes() -> dict[str, Any]:
    document = build.routes_document()
    safe, stream = document["routes"]
    stream = {**stream, "service": "engines"}
    del stream["traffic-split"]
    unsafe = {**safe, "name": "r-unsafe", "prefix": "/unsafe/"}
    unsafe["kind"] = "unsafe"
    document["routes"] = [safe, unsafe, stream]
    return document


def _settings(index: int, store_port: int) -> dict[str, Any]:
    return {
        "vm_id": f"entry-{index}",
        "availability_zone": "zone-a",
        "callers_listen": "127.0.0.1:0",
        "operators_listen": "127.0.0.1:0",
        "nodes_listen": "127.0.0.1:0",
        "store": f"127.0.0.1:{store_port}",
        "repeats": {"ratio": 0.2, "window_s": 10, "allowance_count": 58},
        "grace_s": 4,
        "log_level": "WARNING",
    }


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Runs the seeds; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-50"))
    parser.add_argument("--length-s", type=float, default=DEFAULT_LENGTH_S)
    arguments = parser.parse_args()
    failed = 0
    for seed in [*FAILED_SEEDS, *arguments.seeds]:
        soak = Soak(seed, arguments.length_s)
        broken = soak.run()
        failed += bool(broken)
        statuses = collections.Counter(call.status for call in soak.calls)
        print(f"seed {seed}: {len(soak.calls)} calls {dict(statuses)}")
        for reason in broken[:10]:
            print(f"  broken: {reason}")
    print(f"{failed} seeds broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

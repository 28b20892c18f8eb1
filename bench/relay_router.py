"""What a router as a whole spends on relaying paced streams.

The router is a process of a small cluster, and its processor time is the
kernel's count: besides the relay it holds the caller's side, the reports of
loads, heartbeats and metrics. Callers wait until every stream flows, so that
no part of the figure is the admission of new requests.
"""

import json
import os
import pathlib
import time
from typing import Any, NamedTuple

import gevent
from gevent import socket

from tests import callers_fixture, cluster, processes

# A router's limit on the requests at one engine starts at four and grows only
# slowly; 100 streams need many engines, so each process plays several.
_SOURCES_COUNT = 6
_ENGINES_PER_SOURCE = 5
_BETWEEN_S = 0.02
_LOAD_INTERVAL_S = 1.0
_WARM_UP_TOKENS = 20
_MEASURED_TOKENS = 300
_MEASURED_S = 3.0
_AGAIN_S = 0.05
_READ_BYTES = 64 * 1024
_TOKEN_MARK = b'"token_index"'
_END_MARK = b"data: [DONE]\n\n"
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Relayed(NamedTuple):
    """What a router relayed while it was measured.

    Attributes:
        tokens_per_s: By the wall clock.
        tokens_per_cpu_s: By the router's processor time.
    """

    tokens_per_s: float
    tokens_per_cpu_s: float


class Callers:
    """Callers that each read one answer, again and again if refused."""

    def __init__(self, port: int, count: int):
        self._port = port
        self._count = count
        self.token_count = 0
        self.flowing_count = 0

    def run(self, tokens: int) -> list[Any]:
        """Starts one answer for each caller; returns their greenlets."""
        self.token_count = 0
        self.flowing_count = 0
        return [
            gevent.spawn(self._read_whole, number, tokens)
            for number in range(self._count)
        ]

    def _read_whole(self, number: int, tokens: int) -> None:
        while not self._read(number, tokens):
            gevent.sleep(_AGAIN_S)

    def _read(self, number: int, tokens: int) -> bool:
        """Reads one answer; returns False for a refusal."""
        with socket.create_connection((cluster.LOOPBACK, self._port)) as sock:
            sock.sendall(_request(number, tokens))
            if not sock.recv(_READ_BYTES).startswith(b"HTTP/1.1 200"):
                return False
            self.flowing_count += 1
            self._read_events(sock)
            self.flowing_count -= 1
        return True

    def _read_events(self, sock: Any) -> None:
        tail = b""
        while some := sock.recv(_READ_BYTES):
            self.token_count += some.count(_TOKEN_MARK)
            tail = (tail + some)[-64:]
        if _END_MARK not in tail:
            raise RuntimeError("an answer broke off")


class _SourcesCluster(cluster.Cluster):
    """A cluster whose engines are sources of paced events.

    The stand-in engine decodes in steps, so that its first tokens come late
    enough to hold the router's limits on concurrent requests low.
    """

    def _start_engines(self) -> list[cluster.Member]:
        started = self._each(self._start_source, range(_SOURCES_COUNT))
        return [member for members in started for member in members]

    def _start_source(self, number: int) -> list[cluster.Member]:
        names = [f"engine-{number}-{n}" for n in range(_ENGINES_PER_SOURCE)]
        process = processes.Process(
            "bench.relay_processes",
            "source",
            "--between-s",
            str(_BETWEEN_S),
            "--engine-ids",
            *names,
        )
        zone = self.shape.zones[0]
        return [
            cluster.Member(name, "engine", zone, process, port)
            for name, port in zip(names, process.ready["ports"], strict=True)
        ]


def measure(streams_count: int) -> Relayed:
    """Starts a cluster and measures its router under paced streams.

    Raises:
        RuntimeError: An answer was not whole or ended too early.
    """
    shape = cluster.Shape(engines={"load_interval_s": _LOAD_INTERVAL_S})
    fleet = _SourcesCluster(shape)
    try:
        router = fleet.start().routers[0].process
        callers = Callers(router.ready["callers"], streams_count)
        gevent.joinall(callers.run(_WARM_UP_TOKENS), raise_error=True)
        answers = callers.run(_MEASURED_TOKENS)
        cluster.wait_until(
            lambda: callers.flowing_count == streams_count,
            f"{streams_count} streams flow",
        )
        relayed = _measure(callers, router.pid)
        if callers.flowing_count != streams_count:
            raise RuntimeError("an answer ended while it was measured")
        gevent.joinall(answers, raise_error=True)
        return relayed
    finally:
        fleet.close()


def processor_time_s(pid: int) -> float:
    """Returns the processor time that a process has used so far."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _measure(callers: Callers, pid: int) -> Relayed:
    begun_count = callers.token_count
    begun_cpu_s = processor_time_s(pid)
    begun_s = time.monotonic()
    gevent.sleep(_MEASURED_S)
    token_count = callers.token_count - begun_count
    used_cpu_s = processor_time_s(pid) - begun_cpu_s
    took_s = time.monotonic() - begun_s
    return Relayed(token_count / took_s, token_count / used_cpu_s)


def _request(number: int, tokens: int) -> bytes:
    body = json.dumps(
        {
            "model": cluster.MODEL,
            "prompt": f"caller {number}",
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: bench\r\n"
        f"authorization: Bearer {callers_fixture.CUSTOMER_KEY}\r\n"
        f"connection: close\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body

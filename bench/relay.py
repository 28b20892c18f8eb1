"""What relaying a stream costs: tokens a second, first token, fairness.

``python -m bench.relay`` prints a table and one JSON object. The relay runs on
one core with one listener and one ``EngineStream`` for each request; source,
busy reader and this process are others. ``router_100`` is a router as it is
deployed, in a cluster of its own. Tokens per CPU second come from the
processor time of relay or router, so that a busy machine changes them little.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import contextlib
import json
import time
from typing import NamedTuple

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

from bench import relay_processes, relay_router
from mulberrywharf import fleet
from tests import processes

_STREAM_COUNTS = (1, 20, 100)
_TOKENS_OF_A_RUN = 60_000
_PACED_STREAMS = 100
_PACED_BETWEEN_S = 0.02
_PACED_TOKENS = 150
_PROBES_COUNT = 400
_PROBE_TOKENS = 4
_HIGHEST_US = 60_000_000
_US_PER_S = 1_000_000


class Throughput(NamedTuple):
    """What a number of concurrent streams came to.

    Attributes:
        name: Of the run.
        tokens_per_s: By the wall clock.
        tokens_per_cpu_s: By the relay's processor time.
    """

    name: str
    tokens_per_s: float
    tokens_per_cpu_s: float


class Delays(NamedTuple):
    """Times from request to first token, in milliseconds."""

    name: str
    p50_ms: float
    p99_ms: float
    max_ms: float


class Bench:
    """The processes and the measurements on them."""

    def __init__(self, stack: contextlib.ExitStack):
        self._stack = stack
        self._busy_source = self._start("source")
        self._source = self._start("source")
        self._relay = self._start("relay", "--peer-port", self._source_port)

    @property
    def _source_port(self) -> str:
        return str(self._source.ready["port"])

    @property
    def _direct(self) -> fleet.Address:
        return fleet.Address("127.0.0.1", self._source.ready["port"])

    @property
    def _relayed(self) -> fleet.Address:
        return fleet.Address("127.0.0.1", self._relay.ready["port"])

    def _start(self, kind: str, *arguments: str) -> processes.Process:
        process = processes.Process("bench.relay_processes", kind, *arguments)
        self._stack.callback(process.close)
        return process

    def busy(self, streams_count: int) -> Throughput:
        """Streams that always have data."""
        tokens = _TOKENS_OF_A_RUN // streams_count
        return self._throughput(f"busy_{streams_count}", streams_count, tokens)

    def paced(self) -> Throughput:
        """Streams whose tokens come one by one."""
        return self._throughput(
            f"paced_{_PACED_STREAMS}",
            _PACED_STREAMS,
            _PACED_TOKENS,
            _PACED_BETWEEN_S,
        )

    def _throughput(
        self, name: str, count: int, tokens: int, between_s: float = 0.0
    ) -> Throughput:
        begun_cpu_s = relay_router.processor_time_s(self._relay.pid)
        begun_s = time.monotonic()
        readers = [
            gevent.spawn(
                relay_processes.read_stream,
                self._relayed,
                tokens=tokens,
                between_s=between_s,
            )
            for _ in range(count)
        ]
        gevent.joinall(readers, raise_error=True)
        took_s = time.monotonic() - begun_s
        took_cpu_s = (
            relay_router.processor_time_s(self._relay.pid) - begun_cpu_s
        )
        whole = sum(reader.value for reader in readers)
        if whole != count * tokens:
            raise RuntimeError(f"{whole} of {count * tokens} tokens came")
        return Throughput(name, whole / took_s, whole / took_cpu_s)

    def first_tokens(self) -> tuple[Delays, Delays]:
        """First tokens straight and relayed, taken by turns."""
        straight, relayed = _histogram(), _histogram()
        for _ in range(_PROBES_COUNT):
            straight.record_value(_probe_us(self._direct))
            relayed.record_value(_probe_us(self._relayed))
        return _delays("straight", straight), _delays("relayed", relayed)

    def beside_busy_stream(self) -> Delays:
        """First tokens while one stream always has data."""
        reader = self._start(
            "reader",
            "--peer-port",
            str(self._relay.ready["port"]),
            "--source-port",
            str(self._busy_source.ready["port"]),
        )
        gevent.sleep(0.2)
        histogram = _histogram()
        for _ in range(_PROBES_COUNT):
            histogram.record_value(_probe_us(self._relayed))
        reader.close()
        return _delays("beside_busy", histogram)


def main() -> None:
    """Measures and prints."""
    with contextlib.ExitStack() as stack:
        bench = Bench(stack)
        bench.busy(1)
        throughputs = [bench.busy(count) for count in _STREAM_COUNTS]
        throughputs.append(bench.paced())
        straight, relayed = bench.first_tokens()
        beside = bench.beside_busy_stream()
    throughputs.append(_whole_router())
    _print_table(throughputs, [straight, relayed, beside])
    print(json.dumps(_figures(throughputs, straight, relayed, beside)))


def _whole_router() -> Throughput:
    """Paced streams through a router as it is deployed."""
    relayed = relay_router.measure(_PACED_STREAMS)
    return Throughput(
        f"router_{_PACED_STREAMS}",
        relayed.tokens_per_s,
        relayed.tokens_per_cpu_s,
    )


def _figures(
    throughputs: list[Throughput],
    straight: Delays,
    relayed: Delays,
    beside: Delays,
) -> dict[str, float]:
    figures = {}
    for run in throughputs:
        figures[f"{run.name}_tokens_per_s"] = round(run.tokens_per_s)
        figures[f"{run.name}_tokens_per_cpu_s"] = round(run.tokens_per_cpu_s)
    added_ms = relayed.p50_ms - straight.p50_ms
    figures["added_first_token_p50_ms"] = round(added_ms, 3)
    for name, value_ms in (
        ("p50", beside.p50_ms),
        ("p99", beside.p99_ms),
        ("max", beside.max_ms),
    ):
        added_ms = value_ms - relayed.p50_ms
        figures[f"busy_neighbour_added_{name}_ms"] = round(added_ms, 3)
    return figures


def _print_table(throughputs: list[Throughput], delays: list[Delays]) -> None:
    print(f"{'streams':<14}{'tokens/s':>12}{'tokens/CPU s':>14}")
    for run in throughputs:
        print(
            f"{run.name:<14}{run.tokens_per_s:>12,.0f}"
            f"{run.tokens_per_cpu_s:>14,.0f}"
        )
    print(f"{'first token':<14}{'p50 ms':>12}{'p99 ms':>14}{'max ms':>10}")
    for delay in delays:
        print(
            f"{delay.name:<14}{delay.p50_ms:>12.3f}{delay.p99_ms:>14.3f}"
            f"{delay.max_ms:>10.3f}"
        )


def _probe_us(address: fleet.Address) -> int:
    """Returns the time to the first token of one short stream."""
    with socket.create_connection(address) as sock:
        begun_s = time.monotonic()
        relay_processes.send_request(sock, _PROBE_TOKENS, 0.0)
        data = b""
        while b'"token_index"' not in data:
            some = sock.recv(65536)
            if not some:
                raise RuntimeError("the stream ended early")
            data += some
        return max(1, round((time.monotonic() - begun_s) * _US_PER_S))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _HIGHEST_US, 3)


def _delays(name: str, histogram: HdrHistogram) -> Delays:
    return Delays(
        name,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        histogram.get_max_value() / 1000,
    )


if __name__ == "__main__":
    main()

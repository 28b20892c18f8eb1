"""What a controller and a router cost as their zone grows.

Real processes: one active controller over 4, 16 and 48 stand-in engines, and
one idle router over 2, 6 and 10 engines. Processor time and memory are the
kernel's own counts of the process, read from outside. Slopes are least
squares; the last line is one JSON object.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import json
import os
import pathlib
import sys
import time
from collections.abc import Sequence
from typing import NamedTuple

from tests import builders_authority, cluster, processes

_CONTROLLER_ENGINE_COUNTS = (4, 16, 48)
_ROUTER_ENGINE_COUNTS = (2, 6, 10)
_EVALUATE_S = 1.0
_SETTLE_S = 2.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Sample(NamedTuple):
    """What one process used.

    Attributes:
        engines_count: Size of its zone.
        core_share: Processor time over wall time, 0 to 1 a core.
        rss_mb: Resident memory.
    """

    engines_count: int
    core_share: float
    rss_mb: float


class Line(NamedTuple):
    """A fitted line.

    Attributes:
        base: At no engine.
        per_engine: Slope.
    """

    base: float
    per_engine: float


def main() -> int:
    """Measures and prints the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--measure-s", type=float, default=6.0)
    measure_s = parser.parse_args().measure_s
    controllers = [
        _measure_controller(count, measure_s)
        for count in _CONTROLLER_ENGINE_COUNTS
    ]
    routers = [
        _measure_router(count, measure_s) for count in _ROUTER_ENGINE_COUNTS
    ]
    figures = {
        "controller": _report("controller", controllers),
        "router_idle": _report("router, idle", routers),
    }
    print(json.dumps(figures))
    return 0


def fit(samples: Sequence[tuple[float, float]]) -> Line:
    """Fits a line through points by least squares."""
    count = len(samples)
    mean_x = sum(x for x, _ in samples) / count
    mean_y = sum(y for _, y in samples) / count
    spread = sum((x - mean_x) ** 2 for x, _ in samples)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in samples) / spread
    return Line(mean_y - slope * mean_x, slope)


def _report(name: str, samples: Sequence[Sample]) -> dict[str, object]:
    for sample in samples:
        print(
            f"{name:<14}{sample.engines_count:>5} engines "
            f"{sample.core_share * 100:>7.2f}% core {sample.rss_mb:>7.1f} MB",
            flush=True,
        )
    core = fit([(s.engines_count, s.core_share) for s in samples])
    memory = fit([(s.engines_count, s.rss_mb) for s in samples])
    return {
        "samples": [sample._asdict() for sample in samples],
        "core_share": core._asdict(),
        "rss_mb": memory._asdict(),
    }


def _measure_controller(engines_count: int, measure_s: float) -> Sample:
    timing = builders_authority.Timing(
        lease_ttl_s=10.0,
        margin_s=0.5,
        user_timeout_s=2.0,
        evaluate_s=_EVALUATE_S,
    )
    zone = builders_authority.Zone(
        engines=engines_count, controllers=1, timing=timing
    )
    try:
        zone.put_configuration({"rules": [], "default": {"hold": True}})
        controller = zone.start_controller(0)
        cluster.wait_until(
            lambda: zone.holder_index() == 0, "the lease is held"
        )
        return _observe(controller, engines_count, measure_s)
    finally:
        zone.close()


def _measure_router(engines_count: int, measure_s: float) -> Sample:
    shape = cluster.Shape(
        engines_per_zone=engines_count,
        engines={"load_interval_s": 1.0},
    )
    running = cluster.Cluster(shape).start()
    try:
        router = running.routers[0].process
        return _observe(router, engines_count, measure_s)
    finally:
        running.close()


def _observe(
    process: processes.Process, engines_count: int, measure_s: float
) -> Sample:
    time.sleep(_SETTLE_S)
    began_s, used_s = time.monotonic(), _used_s(process.pid)
    time.sleep(measure_s)
    share = (_used_s(process.pid) - used_s) / (time.monotonic() - began_s)
    return Sample(engines_count, share, _rss_mb(process.pid))


def _used_s(pid: int) -> float:
    """Returns the user and system time of a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _rss_mb(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES / 1e6


if __name__ == "__main__":
    sys.exit(main())

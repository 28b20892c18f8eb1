"""The configuration's promise under faults, with real processes.

Three zones with a router and a controller each, a fault proxy between each
zone and the key-value service, and ``mulberryctl apply`` processes. Prints a
table and one JSON object on the last line; the exit code is 1 when an
accepted change was lost, a node went back or anything else was breached.
``--mechanism-off`` shows what a mechanism is there for; the exit code then
is 0.
"""

import argparse
import json
import math
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from tests import config_cluster, config_scenarios
from tests.config_cluster import ZONES, ConfigCluster
from tests.config_scenarios import Outcome

_OPERATORS_COUNT = 5
_APPLIES_COUNT = 10
_ROUNDS_COUNT = 3
_OLDER_BY_COUNT = 2


def main() -> int:
    """Runs every scenario; returns the exit code."""
    arguments = _arguments()
    begun_s = time.monotonic()
    running = ConfigCluster(controllers=True, off=arguments.mechanism_off)
    running.start()
    try:
        figures = {
            name: _figures(scenario(running, arguments.rounds))
            for name, scenario in _SCENARIOS.items()
            if not arguments.only or name in arguments.only
        }
    finally:
        running.close()
    for name, result in figures.items():
        _print_row(name, result)
    violations_count = sum(
        result["violations_count"] for result in figures.values()
    )
    summary: dict[str, Any] = {
        **figures,
        "violations_count": violations_count,
        "mechanism_off": arguments.mechanism_off or "none",
        "wall_s": round(time.monotonic() - begun_s, 1),
    }
    print(json.dumps(summary))
    return 1 if violations_count and not arguments.mechanism_off else 0


def _arguments() -> argparse.Namespace:
    mechanisms = (
        *config_cluster.ROUTER_MECHANISMS,
        *config_cluster.CTL_MECHANISMS,
    )
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=_ROUNDS_COUNT)
    parser.add_argument("--only", action="append", choices=_SCENARIOS)
    parser.add_argument("--mechanism-off", choices=mechanisms, default="")
    return parser.parse_args()


def _race(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    del rounds_count
    return [
        config_scenarios.race(
            running,
            operators_count=_OPERATORS_COUNT,
            applies_count=_APPLIES_COUNT,
        )
    ]


def _zone_cut(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    return [
        config_scenarios.cut_zone(running, zone, f"cut-{number}-{zone}")
        for number in range(rounds_count)
        for zone in ZONES
    ]


def _replaced(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    outcomes = []
    for number in range(rounds_count):
        zone = ZONES[number % len(ZONES)]
        running.apply_by_ctl(f"before-{number}", running.newest_version())
        outcomes.append(config_scenarios.replace_router(running, zone))
    return outcomes


def _nothing_found(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    del rounds_count
    return [config_scenarios.start_without_configuration(running, ZONES[0])]


def _restored_empty(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    return [
        _restore(running, f"empty-{number}", is_empty=True)
        for number in range(rounds_count)
    ]


def _restored_older(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    return [
        _restore(running, f"older-{number}", is_empty=False)
        for number in range(rounds_count)
    ]


def _restore(
    running: ConfigCluster, change_id: str, *, is_empty: bool
) -> Outcome:
    # Nodes that wait to reconnect after the scenario before would add their
    # pause to the time that is measured here.
    running.apply_by_ctl(f"{change_id}-before", running.newest_version())
    older = 0 if is_empty else running.newest_version() - _OLDER_BY_COUNT
    return config_scenarios.restore(running, change_id, older_version=older)


def _change_lost(running: ConfigCluster, rounds_count: int) -> list[Outcome]:
    del rounds_count
    running.apply_by_ctl("lost-before", running.newest_version())
    return [config_scenarios.change_on_empty_service(running, "lost")]


_SCENARIOS: dict[str, Callable[[ConfigCluster, int], list[Outcome]]] = {
    "race": _race,
    "zone_cut": _zone_cut,
    "router_replaced": _replaced,
    "nothing_found": _nothing_found,
    "restored_empty": _restored_empty,
    "restored_older": _restored_older,
    "change_on_lost_data": _change_lost,
}


def _figures(outcomes: list[Outcome]) -> dict[str, Any]:
    seconds = [s for outcome in outcomes for s in outcome.seconds]
    violations = [v for outcome in outcomes for v in outcome.violations]
    counts: Counter[str] = Counter()
    for outcome in outcomes:
        counts.update(outcome.counts)
    for violation in violations:
        print(violation, file=sys.stderr, flush=True)
    return {
        "times_count": len(seconds),
        "median_s": round(statistics.median(seconds or [math.nan]), 3),
        "worst_s": round(max(seconds or [math.nan]), 3),
        "violations_count": len(violations),
        "counts": dict(counts),
    }


def _print_row(name: str, result: dict[str, Any]) -> None:
    print(
        f"{name:20} median {result['median_s']:7.3f} s, "
        f"worst {result['worst_s']:7.3f} s of {result['times_count']:3}, "
        f"{result['violations_count']} violations, {result['counts']}"
    )


if __name__ == "__main__":
    sys.exit(main())

"""Many seeded runs of two controllers under faults.

``python -m bench.authority_runs --runs 200`` prints a table and one line of
JSON. The exit code is 1 when a run was not clean. ``--mechanism-off`` shows
the faults that a mechanism is there for; the exit code then is 0.
"""

import argparse
import collections
import concurrent.futures
import json
import statistics
import sys
import time
from collections.abc import Sequence

from tests import authority_faults, builders_authority

_ZONES_COUNT = 6
_RUNS_PER_ZONE = 10

_TARGETED = {
    "fuse": ("freeze_before_send",),
    "quiet": ("send_late_and_lose_lease",),
    "guard": ("freeze_holder", "cut_from_service", "take_lease_away"),
}


def main() -> int:
    """Runs all seeds; returns the exit code."""
    arguments = _arguments()
    begun_s = time.monotonic()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.runs)
    batches = [
        seeds[start : start + _RUNS_PER_ZONE]
        for start in range(0, len(seeds), _RUNS_PER_ZONE)
    ]
    results: list[authority_faults.RunResult] = []
    with concurrent.futures.ThreadPoolExecutor(arguments.zones) as pool:
        futures = [
            pool.submit(_run_batch, batch, arguments) for batch in batches
        ]
        for future in concurrent.futures.as_completed(futures):
            results += future.result()
    figures = _figures(results, time.monotonic() - begun_s)
    figures["mechanism_off"] = arguments.mechanism_off or "none"
    _print_table(results)
    print(json.dumps(figures))
    return 1 if figures["unclean"] and not arguments.mechanism_off else 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--zones", type=int, default=_ZONES_COUNT)
    parser.add_argument("--mechanism-off", choices=_TARGETED, default="")
    parser.add_argument(
        "--targeted",
        choices=_TARGETED,
        default="",
        help="the faults of one mechanism only, with or without it",
    )
    return parser.parse_args()


def _run_batch(
    seeds: Sequence[int], arguments: argparse.Namespace
) -> list[authority_faults.RunResult]:
    """Runs some seeds in one zone, one by one."""
    faults = _TARGETED.get(arguments.mechanism_off or arguments.targeted, ())
    is_quiet_case = "send_late_and_lose_lease" in faults
    zone = builders_authority.Zone(
        engines=1 if is_quiet_case else 4,
        mechanism_off=arguments.mechanism_off,
        gap_s=authority_faults.GAP_S,
    )
    try:
        for index in range(2):
            zone.start_controller(index)
        return [_run(zone, seed, faults) for seed in seeds]
    finally:
        zone.close()


def _run(
    zone: builders_authority.Zone, seed: int, faults: Sequence[str]
) -> authority_faults.RunResult:
    result = authority_faults.FaultyRun(zone, seed).run(faults)
    if not result.is_clean():
        print(result, file=sys.stderr, flush=True)
    return result


def _figures(
    results: Sequence[authority_faults.RunResult], wall_s: float
) -> dict[str, object]:
    kinds = collections.Counter(f.kind for r in results for f in r.findings)
    calm_s = [r.calm_s for r in results if r.calm_s is not None]
    return {
        "runs": len(results),
        "clean": sum(r.is_clean() for r in results),
        "unclean": sum(not r.is_clean() for r in results),
        "never_calm": sum(r.calm_s is None for r in results),
        "findings": dict(kinds),
        "killed_by_fuse": sum(r.killed_by_fuse_count for r in results),
        "calm_s_median": round(statistics.median(calm_s), 2)
        if calm_s
        else None,
        "calm_s_worst": round(max(calm_s), 2) if calm_s else None,
        "wall_s": round(wall_s, 1),
    }


def _print_table(results: Sequence[authority_faults.RunResult]) -> None:
    """Prints how often each fault struck and in how many unclean runs."""
    struck: collections.Counter[str] = collections.Counter()
    unclean: collections.Counter[str] = collections.Counter()
    for result in results:
        struck.update(result.faults)
        if not result.is_clean():
            unclean.update(set(result.faults))
    print(f"{'fault':30} {'struck':>7} {'in unclean runs':>16}")
    for name in sorted(struck):
        print(f"{name:30} {struck[name]:7} {unclean[name]:16}")


if __name__ == "__main__":
    sys.exit(main())

"""``python -m soak``: plays seeds and prints which promises were broken."""

import argparse
import collections
import sys

from proofs import stream_order_callers
from soak import play, seeds, stops

DEFAULT_LENGTH_S = 5.0
_SHOWN_LIMIT_COUNT = 10
_STOPS_COUNT = 3
"""Stops of each gateway."""


def _range(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays the seeds; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=_range, default=_range("1-50"))
    parser.add_argument("--length-s", type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument(
        "--part",
        action="store_true",
        help="a part of prompts ends servers, too",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="play stops of gateways alone, each with a grace period",
    )
    arguments = parser.parse_args()
    if arguments.stops:
        return _play_stops(arguments.seeds)
    failed_count = 0
    for seed in [*seeds.ONCE_FAILED, *arguments.seeds]:
        outcome = play.play(
            seed, arguments.length_s, has_culprit_part=arguments.part
        )
        failed_count += bool(outcome.broken)
        statuses = [call.status for call in outcome.calls]
        faults = (
            f"{outcome.faults.total()} faults, {_taken_up(outcome.streams)}"
        )
        _print(seed, faults, statuses, outcome.broken)
    print(f"{failed_count} seeds broke a promise")
    return 1 if failed_count else 0


def _taken_up(streams: list[stream_order_callers.Stream]) -> str:
    attempts = [one for stream in streams for one in stream.attempts]
    taken_up = [one for one in attempts if one.last_event_id]
    went_on_count = sum(bool(one.pieces) for one in taken_up)
    return (
        f"{len(streams)} streams beside releases, {len(taken_up)} taken up,"
        f" {went_on_count} went on"
    )


def _play_stops(chosen: list[int]) -> int:
    failed_count = 0
    for seed in chosen:
        outcome = stops.play(seed, _STOPS_COUNT)
        failed_count += bool(outcome.broken)
        statuses = [call.status for call in outcome.calls]
        _print(seed, f"{len(outcome.stops)} stops", statuses, outcome.broken)
    print(f"{failed_count} seeds broke a promise")
    return 1 if failed_count else 0


def _print(
    seed: int, faults: str, statuses: list[int], broken: list[str]
) -> None:
    counts = dict(collections.Counter(statuses).most_common())
    print(f"seed {seed}: {faults}, {len(statuses)} calls {counts}", flush=True)
    for line in broken[:_SHOWN_LIMIT_COUNT]:
        print(f"  broken: {line}", flush=True)


if __name__ == "__main__":
    sys.exit(main())

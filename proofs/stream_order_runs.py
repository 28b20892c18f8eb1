"""Real gateways through troubles of a day, with a judge at their callers.

Run as ``python -m proofs.stream_order_runs --seeds 1-6``; ``--source`` names
another checkout whose gateways are run. The harness is always this build's.
"""

import argparse
import collections
import contextlib
import itertools
import json
import os
import pathlib
import sys
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import gevent

from proofs import (
    stream_order,
    stream_order_callers,
    stream_order_fleet,
    stream_order_troubles,
)

LENGTH_S = 25.0
_CALLERS_COUNT = 18
_LOG_LINES_LIMIT_COUNT = 30
_REFUSALS_LIMIT_COUNT = 6


class Played(NamedTuple):
    """What one run came to.

    Attributes:
        streams: Every stream.
        cases: Streams that broke the rule, and how.
        refused_count: Attempts to take a stream up that got none.
        wharf: What they went through.
    """

    streams: list[stream_order_callers.Stream]
    cases: list[tuple[stream_order_callers.Stream, stream_order.Case]]
    refused_count: int
    wharf: stream_order_fleet.Wharf


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
        wharf = stream_order_fleet.Wharf(seed, forms, cleanup)
        wharf.start()
        callers = [
            stream_order_callers.Caller(wharf, number)
            for number in range(_CALLERS_COUNT)
        ]
        running = [gevent.spawn(caller.run) for caller in callers]
        stream_order_troubles.Troubles(wharf).play(length_s)
        wharf.is_over = True
        gevent.joinall(
            running, timeout=3 * stream_order_callers.ANSWER_TIMEOUT_S
        )
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
        yield from stream_order_callers.evidence(stream)


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

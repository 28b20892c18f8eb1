"""One run of the fuzzer."""

import contextlib
import time
from collections.abc import Callable
from functools import singledispatch
from typing import Any

import hypothesis
from hypothesis import strategies as st

from fuzz import inputs, router_target, target

Apply = Callable[[Any], None]
"""Exposes the fuzzed processes to what was drawn."""


def play(
    fuzzed: target.Target | router_target.RouterTarget,
    seed: int,
    length_s: float,
) -> int:
    """Fuzzes processes for a time, and raises the first failure.

    Args:
        fuzzed: The processes; they have been started.
        seed: Decides the examples; a run with the same seed repeats them.
        length_s: For how long examples are drawn.

    Returns:
        The number of examples.
    """
    ends_s = time.monotonic() + length_s
    count = 0
    kinds = _kinds(fuzzed)
    examples = st.one_of(
        [st.tuples(st.just(kind), kinds[kind][0]) for kind in kinds]
    )

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=1_000_000,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
        report_multiple_bugs=False,
    )
    @hypothesis.given(example=examples)
    def run(example: tuple[str, Any]) -> None:
        nonlocal count
        if time.monotonic() >= ends_s:
            raise _TimeOverError
        count += 1
        kind, drawn = example
        kinds[kind][1](drawn)
        fuzzed.check()

    with contextlib.suppress(_TimeOverError):
        run()
    return count


class _TimeOverError(BaseException):
    """Ends a run at its time."""


@singledispatch
def _kinds(fuzzed: Any) -> dict[str, tuple[st.SearchStrategy[Any], Apply]]:
    """Returns what is drawn for a target, and how it is applied, by kind."""
    raise TypeError(f"not a target: {fuzzed!r}")


@_kinds.register
def _(
    fuzzed: target.Target,
) -> dict[str, tuple[st.SearchStrategy[Any], Apply]]:
    paths = st.sampled_from(("/safe/x", "/stream/x"))
    return {
        "request": (inputs.requests(), fuzzed.send),
        "answer": (
            st.tuples(paths, inputs.SERVER_FIELDS),
            lambda drawn: fuzzed.ask_beside(*drawn),
        ),
        "record": (inputs.records(), fuzzed.put_record),
        "routes": (inputs.routes(), fuzzed.put_routes),
        "datagram": (inputs.gateway_datagrams(), fuzzed.send_datagram),
        "handover": (
            inputs.handovers(),
            lambda drawn: fuzzed.hand_over(*drawn),
        ),
    }


@_kinds.register
def _(
    fuzzed: router_target.RouterTarget,
) -> dict[str, tuple[st.SearchStrategy[Any], Apply]]:
    return {
        "request": (inputs.router_requests(), fuzzed.send),
        "frame": (inputs.router_frames(), fuzzed.send_frame),
    }

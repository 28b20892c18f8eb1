"""Predicts how much of a zone's demand a split of roles can serve."""

from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf.policy.planner_types import (
    Demand,
    PlannerEngine,
    PlannerSettings,
)

_BISECTION_STEPS_COUNT = 24
_MAX_COVER = 4.0
_NO_WORK_TOKENS_PER_S = 1e-9


def served_share(
    engines: Sequence[PlannerEngine], demand: Demand, options: PlannerSettings
) -> float:
    """Predicts the share of the demand that is served in time, 0 to 1.

    Args:
        engines: Those that serve, each in the role that it would have.
        demand: What callers ask of the zone.
        options: For the headroom and the efficiency of mixed engines.
    """
    cover = _cover(engines, demand, options.mixed_efficiency)
    return min(1.0, cover / options.headroom)


def _cover(
    engines: Sequence[PlannerEngine], demand: Demand, mixed_efficiency: float
) -> float:
    """Returns how many times over the engines could carry the demand.

    Mixed engines share their time between both kinds of work, so the cover
    is the largest factor whose remaining work fits into their time.
    """
    low, high = 0.0, _MAX_COVER
    capacity = _capacity(engines, mixed_efficiency)
    for _ in range(_BISECTION_STEPS_COUNT):
        middle = (low + high) / 2
        if _mixed_time_needed(capacity, demand, middle) <= 1.0:
            low = middle
        else:
            high = middle
    return low


class _Capacity(NamedTuple):
    """Tokens a second, by kind of engine."""

    prefill: float
    decode: float
    mixed_prefill: float
    mixed_decode: float


def _capacity(
    engines: Sequence[PlannerEngine], mixed_efficiency: float
) -> _Capacity:
    mixed = [e for e in engines if e.role == "mixed"]
    return _Capacity(
        sum(e.prefill_tokens_per_s for e in engines if e.role == "prefill"),
        sum(e.decode_tokens_per_s for e in engines if e.role == "decode"),
        sum(e.prefill_tokens_per_s for e in mixed) * mixed_efficiency,
        sum(e.decode_tokens_per_s for e in mixed) * mixed_efficiency,
    )


def _mixed_time_needed(
    capacity: _Capacity, demand: Demand, factor: float
) -> float:
    prompt = demand.prompt_tokens_per_s * factor - capacity.prefill
    output = demand.output_tokens_per_s * factor - capacity.decode
    return _time(prompt, capacity.mixed_prefill) + _time(
        output, capacity.mixed_decode
    )


def _time(tokens_per_s: float, speed_tokens_per_s: float) -> float:
    if tokens_per_s <= _NO_WORK_TOKENS_PER_S:
        return 0.0
    if speed_tokens_per_s <= 0:
        return float("inf")
    return tokens_per_s / speed_tokens_per_s

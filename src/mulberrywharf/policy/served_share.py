"""Predicts the share of a zone's demand that given engine roles can serve."""

from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf.policy.planner_types import (
    Demand,
    PlannerEngine,
    PlannerSettings,
)

_BISECTION_STEPS_COUNT = 24
_DEMAND_FACTOR_LIMIT = 4.0
_NO_WORK_TOKENS_PER_S = 1e-9


def served_share(
    engines: Sequence[PlannerEngine], demand: Demand, settings: PlannerSettings
) -> float:
    """Predicts the share of the demand that is served in time, 0 to 1.

    Args:
        engines: The serving engines, each in its intended role.
        demand: What callers ask of the zone.
        settings: Provides the headroom and the efficiency of mixed engines.
    """
    demand_factor = _max_demand_factor(
        engines, demand, settings.mixed_efficiency
    )
    return min(1.0, demand_factor / settings.headroom)


def _max_demand_factor(
    engines: Sequence[PlannerEngine], demand: Demand, mixed_efficiency: float
) -> float:
    """Returns by which factor the demand could grow before engines are full.

    Mixed engines share their time between prefill and decode, so this is the
    largest factor at which the work left to them fits into their time.
    """
    low, high = 0.0, _DEMAND_FACTOR_LIMIT
    capacity = _capacity(engines, mixed_efficiency)
    for _ in range(_BISECTION_STEPS_COUNT):
        factor = (low + high) / 2
        if _mixed_busy_share(capacity, demand, factor) <= 1.0:
            low = factor
        else:
            high = factor
    return low


class _Capacity(NamedTuple):
    """Capacity in tokens per second, by role and kind of work."""

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


def _mixed_busy_share(
    capacity: _Capacity, demand: Demand, factor: float
) -> float:
    prompt = demand.prompt_tokens_per_s * factor - capacity.prefill
    output = demand.output_tokens_per_s * factor - capacity.decode
    return _busy_share(prompt, capacity.mixed_prefill) + _busy_share(
        output, capacity.mixed_decode
    )


def _busy_share(tokens_per_s: float, capacity_tokens_per_s: float) -> float:
    if tokens_per_s <= _NO_WORK_TOKENS_PER_S:
        return 0.0
    if capacity_tokens_per_s <= 0:
        return float("inf")
    return tokens_per_s / capacity_tokens_per_s

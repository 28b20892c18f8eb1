"""What each way to run a request is estimated to cost, in seconds."""

from collections.abc import Mapping
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import estimates, prefix_index
from mulberrywharf.policy.choice_types import Choice, RequestShape


class ChoiceSettings(NamedTuple):
    """Weights of the choice.

    Attributes:
        age_constant_s: Age at which a report is believed by 1/e.
        stale_after_s: Engines with an older report come last.
        zone_cost_s: Cost of leaving the preferred availability zone.
        failure_cost_s: Cost of each recent failure of an engine.
        slow_cost_s: Cost of an engine for each time that it is slower than
            the others, beside its longer estimates.
        home_sample_count: Engines looked at in the preferred zone.
        away_sample_count: Engines looked at elsewhere.
        holder_sample_count: Engines looked at for their cached prefix.
        handover_cost_s: Fixed cost of handing over a KV cache.
        handover_s_per_token: Its cost for each prompt token.
        decode_role_prefill_factor: How much dearer a second of prefill is on
            an engine in the decode role, whose other answers it stalls.
        following_tokens_weight: Weight of the time after the first token.
    """

    age_constant_s: float = 1.0
    stale_after_s: float = 15.0
    zone_cost_s: float = 0.05
    failure_cost_s: float = 1.0
    slow_cost_s: float = 0.5
    home_sample_count: int = 3
    away_sample_count: int = 2
    holder_sample_count: int = 2
    handover_cost_s: float = 0.02
    handover_s_per_token: float = 0.000_01
    decode_role_prefill_factor: float = 3.0
    following_tokens_weight: float = 0.3


class Scored(NamedTuple):
    """One way to run the request and what it costs.

    Attributes:
        cost_s: Estimated time with all costs added; less is better.
        choice: The way.
    """

    cost_s: float
    choice: Choice


class Situation(NamedTuple):
    """What all the scores of one choice share.

    Attributes:
        request: What is to run.
        cached_block_counts: Leading blocks held, by engine id.
        mean: The mean that old reports fade into.
        zone: The preferred availability zone.
        slow_factors: How many times slower than the others, by engine id.
        settings: The weights.
    """

    request: RequestShape
    cached_block_counts: dict[str, int]
    mean: estimates.FleetMean
    zone: str
    slow_factors: Mapping[str, float]
    settings: ChoiceSettings


def role_of(view: fleet.EngineView) -> fleet.Role:
    """Returns the engine's role; without a report it counts as mixed."""
    return "mixed" if view.report is None else view.report.role


def _cached_tokens(view: fleet.EngineView, situation: Situation) -> int:
    block_count = situation.cached_block_counts.get(view.vm.vm_id, 0)
    cached_tokens = block_count * prefix_index.BLOCK_TOKENS
    return min(cached_tokens, situation.request.prompt_tokens)


def _estimate(
    view: fleet.EngineView, situation: Situation
) -> estimates.EngineEstimate:
    cached_tokens = _cached_tokens(view, situation)
    estimated = estimates.estimate(
        view,
        situation.request.prompt_tokens - cached_tokens,
        situation.mean,
        situation.settings.age_constant_s,
    )
    slow_factor = situation.slow_factors.get(view.vm.vm_id, 1.0)
    return estimates.EngineEstimate(
        wait_s=estimated.wait_s * slow_factor,
        prefill_s=estimated.prefill_s * slow_factor,
        between_tokens_s=estimated.between_tokens_s * slow_factor,
    )


def _standing_cost_s(view: fleet.EngineView, situation: Situation) -> float:
    settings = situation.settings
    cost_s = view.failures_recent_count * settings.failure_cost_s
    slow_factor = situation.slow_factors.get(view.vm.vm_id, 1.0)
    cost_s += (slow_factor - 1.0) * settings.slow_cost_s
    if view.vm.availability_zone != situation.zone:
        cost_s += settings.zone_cost_s
    return cost_s


def first_part_s(view: fleet.EngineView, situation: Situation) -> float:
    """Returns the cost up to the end of the prefill, to compare engines."""
    estimated = _estimate(view, situation)
    first_s = estimated.wait_s + estimated.prefill_s
    return first_s + _standing_cost_s(view, situation)


def _following_cost_s(between_tokens_s: float, situation: Situation) -> float:
    following_s = situation.request.expected_output_tokens * between_tokens_s
    return following_s * situation.settings.following_tokens_weight


def score_whole(view: fleet.EngineView, situation: Situation) -> Scored:
    """Scores one engine that prefills and generates."""
    estimated = _estimate(view, situation)
    first_token_s = estimated.wait_s + estimated.prefill_s
    cost_s = first_token_s + _standing_cost_s(view, situation)
    if role_of(view) == "decode":
        factor = situation.settings.decode_role_prefill_factor
        cost_s += estimated.prefill_s * (factor - 1.0)
    cost_s += _following_cost_s(estimated.between_tokens_s, situation)
    choice = Choice(
        prefill=view.vm,
        decode=view.vm,
        first_token_s=first_token_s,
        between_tokens_s=estimated.between_tokens_s,
        cached_tokens=_cached_tokens(view, situation),
    )
    return Scored(cost_s, choice)


def score_split(
    first: fleet.EngineView,
    second: fleet.EngineView,
    situation: Situation,
) -> Scored:
    """Scores a prefill on one engine and a handover to another."""
    settings = situation.settings
    request = situation.request
    before = _estimate(first, situation)
    after = _estimate(second, situation)
    handover_s = settings.handover_cost_s
    handover_s += request.prompt_tokens * settings.handover_s_per_token
    first_token_s = before.wait_s + before.prefill_s + handover_s
    first_token_s += after.wait_s
    cost_s = first_token_s
    cost_s += _standing_cost_s(first, situation)
    cost_s += _standing_cost_s(second, situation)
    cost_s += _following_cost_s(after.between_tokens_s, situation)
    choice = Choice(
        prefill=first.vm,
        decode=second.vm,
        first_token_s=first_token_s,
        between_tokens_s=after.between_tokens_s,
        cached_tokens=_cached_tokens(first, situation),
    )
    return Scored(cost_s, choice)

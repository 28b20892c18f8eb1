"""Estimates the cost, in seconds, of running a request on given engines."""

from collections.abc import Mapping
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import estimates, prefix_index
from mulberrywharf.policy.choice_types import Choice, RequestShape


class ChoiceSettings(NamedTuple):
    """Weights and sample sizes of the choice of engine.

    Attributes:
        report_decay_constant_s: Time constant: the age, in seconds, at which
            the weight of a report has fallen to 1/e. Larger values decay more
            slowly.
        stale_after_s: Engines with an older report are tried last.
        zone_cost_s: Cost of leaving the preferred availability zone.
        failure_cost_s: Cost of each recent failure of an engine.
        slow_cost_s: Cost of a slow engine for each unit by which its slow
            factor exceeds 1.0, in addition to its longer time estimates.
        preferred_zone_sample_count: Random engines scored in the preferred
            zone.
        other_zones_sample_count: Random engines scored in other zones.
        cached_prefix_sample_count: Engines scored because they cache the
            longest prefix of the prompt.
        kv_transfer_cost_s: Fixed cost of transferring a KV cache to another
            engine.
        kv_transfer_s_per_token: Cost of that transfer for each prompt token.
        decode_role_prefill_factor: Cost of one second of prefill on an engine
            in the decode role, as a multiple of its cost elsewhere. The
            prefill delays the other answers of that engine.
        decode_time_weight: Weight of the time after the first token.
    """

    report_decay_constant_s: float = 1.0
    stale_after_s: float = 15.0
    zone_cost_s: float = 0.05
    failure_cost_s: float = 1.0
    slow_cost_s: float = 0.5
    preferred_zone_sample_count: int = 3
    other_zones_sample_count: int = 2
    cached_prefix_sample_count: int = 2
    kv_transfer_cost_s: float = 0.02
    kv_transfer_s_per_token: float = 0.000_01
    decode_role_prefill_factor: float = 3.0
    decode_time_weight: float = 0.3


class ScoredChoice(NamedTuple):
    """One candidate for running the request, with its cost.

    Attributes:
        cost_s: Estimated time plus all penalties, in seconds; lower is better.
        choice: The candidate.
    """

    cost_s: float
    choice: Choice


class ScoringContext(NamedTuple):
    """Inputs that all candidates of one choice share.

    Attributes:
        request: The request to place.
        cached_block_counts: Leading prompt blocks that an engine is assumed
            to cache, by engine ID.
        fleet_mean: Mean load, which replaces a report as the report ages.
        zone: The preferred availability zone.
        slow_factors: Slowdown relative to the median engine, by engine ID.
        settings: The weights.
    """

    request: RequestShape
    cached_block_counts: dict[str, int]
    fleet_mean: estimates.FleetMean
    zone: str
    slow_factors: Mapping[str, float]
    settings: ChoiceSettings


def role_of(view: fleet.EngineView) -> fleet.Role:
    """Returns the engine's role; without a report it counts as mixed."""
    return "mixed" if view.report is None else view.report.role


def _cached_tokens(view: fleet.EngineView, context: ScoringContext) -> int:
    # Blocks are measured in words; each word counts as one token.
    block_count = context.cached_block_counts.get(view.vm.vm_id, 0)
    cached_tokens = block_count * prefix_index.BLOCK_TOKENS
    return min(cached_tokens, context.request.prompt_tokens)


def _estimate(
    view: fleet.EngineView, context: ScoringContext
) -> estimates.EngineEstimate:
    cached_tokens = _cached_tokens(view, context)
    estimated = estimates.estimate(
        view,
        context.request.prompt_tokens - cached_tokens,
        context.fleet_mean,
        context.settings.report_decay_constant_s,
    )
    slow_factor = context.slow_factors.get(view.vm.vm_id, 1.0)
    return estimates.EngineEstimate(
        wait_s=estimated.wait_s * slow_factor,
        prefill_s=estimated.prefill_s * slow_factor,
        between_tokens_s=estimated.between_tokens_s * slow_factor,
    )


def _penalty_cost_s(view: fleet.EngineView, context: ScoringContext) -> float:
    settings = context.settings
    cost_s = view.failures_recent_count * settings.failure_cost_s
    slow_factor = context.slow_factors.get(view.vm.vm_id, 1.0)
    cost_s += (slow_factor - 1.0) * settings.slow_cost_s
    if view.vm.availability_zone != context.zone:
        cost_s += settings.zone_cost_s
    return cost_s


def prefill_cost_s(view: fleet.EngineView, context: ScoringContext) -> float:
    """Returns the cost up to the end of the prefill, penalties included."""
    estimated = _estimate(view, context)
    first_token_s = estimated.wait_s + estimated.prefill_s
    return first_token_s + _penalty_cost_s(view, context)


def _decode_cost_s(between_tokens_s: float, context: ScoringContext) -> float:
    decode_s = context.request.expected_output_tokens * between_tokens_s
    return decode_s * context.settings.decode_time_weight


def score_single_engine(
    view: fleet.EngineView, context: ScoringContext
) -> ScoredChoice:
    """Scores one engine that does both the prefill and the decode."""
    estimated = _estimate(view, context)
    first_token_s = estimated.wait_s + estimated.prefill_s
    cost_s = first_token_s + _penalty_cost_s(view, context)
    if role_of(view) == "decode":
        factor = context.settings.decode_role_prefill_factor
        cost_s += estimated.prefill_s * (factor - 1.0)
    cost_s += _decode_cost_s(estimated.between_tokens_s, context)
    choice = Choice(
        prefill=view.vm,
        decode=view.vm,
        first_token_s=first_token_s,
        between_tokens_s=estimated.between_tokens_s,
        cached_tokens=_cached_tokens(view, context),
    )
    return ScoredChoice(cost_s, choice)


def score_split(
    prefill_view: fleet.EngineView,
    decode_view: fleet.EngineView,
    context: ScoringContext,
) -> ScoredChoice:
    """Scores a prefill on one engine and the decode on another.

    The cost includes the transfer of the KV cache.
    """
    settings = context.settings
    request = context.request
    prefill_estimate = _estimate(prefill_view, context)
    decode_estimate = _estimate(decode_view, context)
    kv_transfer_s = settings.kv_transfer_cost_s
    kv_transfer_s += request.prompt_tokens * settings.kv_transfer_s_per_token
    first_token_s = (
        prefill_estimate.wait_s + prefill_estimate.prefill_s + kv_transfer_s
    )
    first_token_s += decode_estimate.wait_s
    cost_s = first_token_s
    cost_s += _penalty_cost_s(prefill_view, context)
    cost_s += _penalty_cost_s(decode_view, context)
    cost_s += _decode_cost_s(decode_estimate.between_tokens_s, context)
    choice = Choice(
        prefill=prefill_view.vm,
        decode=decode_view.vm,
        first_token_s=first_token_s,
        between_tokens_s=decode_estimate.between_tokens_s,
        cached_tokens=_cached_tokens(prefill_view, context),
    )
    return ScoredChoice(cost_s, choice)

"""Chooses the engine, or the two engines, that a request runs on.

Each router decides alone on an old picture. If all took the engine that looks
best they would all take the same one, so only a few are looked at: three at
random in the preferred availability zone, two elsewhere, and those that hold
the longest beginning of the prompt. The best of these by estimated time wins.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import estimates, prefix_index
from mulberrywharf.policy.choice_types import Choice, RequestShape

__all__ = ["Choice", "ChoiceSettings", "RequestShape", "choose", "serves"]


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


class _Scored(NamedTuple):
    """One way to run the request and its cost in seconds."""

    cost_s: float
    choice: Choice


class _Situation(NamedTuple):
    """What all the scores of one choice share."""

    request: RequestShape
    cached_block_counts: dict[str, int]
    mean: estimates.FleetMean
    zone: str
    slow_factors: Mapping[str, float]
    settings: ChoiceSettings


def choose(
    views: Sequence[fleet.EngineView],
    request: RequestShape,
    index: prefix_index.PrefixIndex,
    rng: random.Random,
    *,
    now_s: float,
    prefer_zone: str = "",
    excluded_engine_ids: Collection[str] = (),
    slow_factors: Mapping[str, float] | None = None,
    settings: ChoiceSettings | None = None,
) -> Result[Choice, errors.NoEngineError]:
    """Chooses where a request runs.

    Args:
        views: All engines that the node knows.
        request: What is to run.
        index: Beliefs about the engines' prefix caches.
        rng: Source of the random samples.
        now_s: The present, on the clock of the index.
        prefer_zone: Zone that a rule prefers; empty for the request's own.
        excluded_engine_ids: Engines that this request already failed on.
        slow_factors: How many times slower than it says an engine was
            found to be, see ``pace.PaceMeter``; those left out are normal.
        settings: Weights; the defaults when None.

    Returns:
        The choice, or that no engine can serve the request now.
    """
    settings = settings or ChoiceSettings()
    usable = [
        view
        for view in views
        if view.vm.vm_id not in excluded_engine_ids and serves(view, request)
    ]
    if not usable:
        return Err(_no_engine(request))
    fresh = [view for view in usable if _is_fresh(view, settings)]
    situation = _Situation(
        request=request,
        cached_block_counts=index.cached_block_counts(
            request.prompt_block_hashes, now_s
        ),
        mean=estimates.fleet_mean(fresh),
        zone=prefer_zone or request.availability_zone,
        slow_factors=slow_factors or {},
        settings=settings,
    )
    # Old pictures only when there is no newer one: an engine that has been
    # silent may be gone, yet trying it beats refusing for certain.
    scored = _score_ways(fresh, situation, rng)
    scored = scored or _score_ways(usable, situation, rng)
    if not scored:
        return Err(_no_engine(request))
    return Ok(min(scored, key=lambda way: way.cost_s).choice)


def serves(view: fleet.EngineView, request: RequestShape) -> bool:
    """Returns whether new work of this shape may go to the engine.

    An engine without a report may serve it; it is only tried last.
    """
    if view.drained or view.vm.state != "live":
        return False
    report = view.report
    if report is None:
        return True
    if report.state != "ready" or request.model not in report.models:
        return False
    return not request.adapter or request.adapter in report.adapters


def _is_fresh(view: fleet.EngineView, settings: ChoiceSettings) -> bool:
    has_report = view.report is not None
    return has_report and view.report_age_s <= settings.stale_after_s


def _score_ways(
    views: Sequence[fleet.EngineView],
    situation: _Situation,
    rng: random.Random,
) -> list[_Scored]:
    prefill_views = [v for v in views if _role(v) == "prefill"]
    whole_views = [v for v in views if _role(v) != "prefill"]
    decode_views = [v for v in views if _role(v) == "decode"]
    whole = _sample(whole_views, situation, rng)
    scored = [_score_whole(view, situation) for view in whole]
    if not prefill_views or not decode_views:
        return scored
    first = min(
        _sample(prefill_views, situation, rng),
        key=lambda view: _first_part_s(view, situation),
    )
    second = _sample(decode_views, situation, rng)
    scored += [_score_split(first, view, situation) for view in second]
    return scored


def _sample(
    views: Sequence[fleet.EngineView],
    situation: _Situation,
    rng: random.Random,
) -> list[fleet.EngineView]:
    settings = situation.settings
    home = [v for v in views if v.vm.availability_zone == situation.zone]
    away = [v for v in views if v.vm.availability_zone != situation.zone]
    if not home:
        home, away = away, home
    sampled = _some(home, settings.home_sample_count, rng)
    sampled += _some(away, settings.away_sample_count, rng)
    sampled += _best_holders(views, situation, rng)
    return list({view.vm.vm_id: view for view in sampled}.values())


def _some(
    views: Sequence[fleet.EngineView], count: int, rng: random.Random
) -> list[fleet.EngineView]:
    return rng.sample(views, min(count, len(views)))


def _best_holders(
    views: Iterable[fleet.EngineView],
    situation: _Situation,
    rng: random.Random,
) -> list[fleet.EngineView]:
    counts = situation.cached_block_counts
    holders = [view for view in views if view.vm.vm_id in counts]
    # Shuffled first, so that routers do not all take the first of equals.
    rng.shuffle(holders)
    holders.sort(key=lambda view: -counts[view.vm.vm_id])
    return holders[: situation.settings.holder_sample_count]


def _role(view: fleet.EngineView) -> fleet.Role:
    return "mixed" if view.report is None else view.report.role


def _cached_tokens(view: fleet.EngineView, situation: _Situation) -> int:
    block_count = situation.cached_block_counts.get(view.vm.vm_id, 0)
    cached_tokens = block_count * prefix_index.BLOCK_TOKENS
    return min(cached_tokens, situation.request.prompt_tokens)


def _estimate(
    view: fleet.EngineView, situation: _Situation
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


def _standing_cost_s(view: fleet.EngineView, situation: _Situation) -> float:
    settings = situation.settings
    cost_s = view.failures_recent_count * settings.failure_cost_s
    slow_factor = situation.slow_factors.get(view.vm.vm_id, 1.0)
    cost_s += (slow_factor - 1.0) * settings.slow_cost_s
    if view.vm.availability_zone != situation.zone:
        cost_s += settings.zone_cost_s
    return cost_s


def _first_part_s(view: fleet.EngineView, situation: _Situation) -> float:
    estimated = _estimate(view, situation)
    first_s = estimated.wait_s + estimated.prefill_s
    return first_s + _standing_cost_s(view, situation)


def _following_cost_s(between_tokens_s: float, situation: _Situation) -> float:
    following_s = situation.request.expected_output_tokens * between_tokens_s
    return following_s * situation.settings.following_tokens_weight


def _score_whole(view: fleet.EngineView, situation: _Situation) -> _Scored:
    estimated = _estimate(view, situation)
    first_token_s = estimated.wait_s + estimated.prefill_s
    cost_s = first_token_s + _standing_cost_s(view, situation)
    if _role(view) == "decode":
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
    return _Scored(cost_s, choice)


def _score_split(
    first: fleet.EngineView,
    second: fleet.EngineView,
    situation: _Situation,
) -> _Scored:
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
    return _Scored(cost_s, choice)


def _no_engine(request: RequestShape) -> errors.NoEngineError:
    return errors.NoEngineError(
        f"no engine serves model {request.model!r} now", retry_after_s=1.0
    )

"""Chooses the engine, or the pair of engines, that a request runs on.

Each router decides independently from load reports that lag. If every router
chose the engine with the best estimate, all would choose the same one. Each
router therefore scores only a sample: three random engines in the preferred
availability zone, two random engines in other zones, and the two engines that
cache the longest prefix of the prompt. The candidate with the lowest estimated
cost wins.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import choice_scores, estimates, prefix_index
from mulberrywharf.policy.choice_scores import ChoiceSettings
from mulberrywharf.policy.choice_types import Choice, RequestShape

__all__ = ["Choice", "ChoiceSettings", "RequestShape", "choose", "serves"]


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
        views: All engines that the router knows.
        request: The request to place.
        index: Estimated contents of the engines' prefix caches.
        rng: Source of the random samples.
        now_s: Current time, on the clock of the index.
        prefer_zone: Zone that a rule prefers; empty for the request's own.
        excluded_engine_ids: Engines that this request already failed on.
        slow_factors: Measured slowdown of slow engines relative to the
            median engine, by engine ID; engines that are left out count as
            1.0.
        settings: Weights; the defaults when None.

    Returns:
        The choice, or an error if no engine can serve the request now.
    """
    settings = settings or ChoiceSettings()
    eligible = [
        view
        for view in views
        if view.vm.vm_id not in excluded_engine_ids and serves(view, request)
    ]
    if not eligible:
        return Err(_no_engine_error(request))
    fresh = [view for view in eligible if _is_fresh(view, settings)]
    context = choice_scores.ScoringContext(
        request=request,
        cached_block_counts=index.cached_block_counts(
            request.prompt_block_hashes, now_s
        ),
        fleet_mean=estimates.fleet_mean(fresh),
        zone=prefer_zone or request.availability_zone,
        slow_factors=slow_factors or {},
        settings=settings,
    )
    # Engines without a fresh report are tried only if no engine has one. Such
    # an engine may be gone, but trying it is better than refusing the request.
    scored = _score_candidates(fresh, context, rng)
    scored = scored or _score_candidates(eligible, context, rng)
    if not scored:
        return Err(_no_engine_error(request))
    return Ok(min(scored, key=lambda candidate: candidate.cost_s).choice)


def serves(view: fleet.EngineView, request: RequestShape) -> bool:
    """Returns whether new requests of this shape may go to the engine.

    An engine without a report may serve it, but ``choose`` tries it last.
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


def _score_candidates(
    views: Sequence[fleet.EngineView],
    context: choice_scores.ScoringContext,
    rng: random.Random,
) -> list[choice_scores.ScoredChoice]:
    prefill_views = [v for v in views if choice_scores.role_of(v) == "prefill"]
    single_views = [v for v in views if choice_scores.role_of(v) != "prefill"]
    decode_views = [v for v in views if choice_scores.role_of(v) == "decode"]
    single_sample = _sample(single_views, context, rng)
    scored = [
        choice_scores.score_single_engine(view, context)
        for view in single_sample
    ]
    if not prefill_views or not decode_views:
        return scored
    prefill_view = min(
        _sample(prefill_views, context, rng),
        key=lambda view: choice_scores.prefill_cost_s(view, context),
    )
    decode_sample = _sample(decode_views, context, rng)
    scored += [
        choice_scores.score_split(prefill_view, view, context)
        for view in decode_sample
    ]
    return scored


def _sample(
    views: Sequence[fleet.EngineView],
    context: choice_scores.ScoringContext,
    rng: random.Random,
) -> list[fleet.EngineView]:
    settings = context.settings
    preferred = [v for v in views if v.vm.availability_zone == context.zone]
    elsewhere = [v for v in views if v.vm.availability_zone != context.zone]
    if not preferred:
        preferred, elsewhere = elsewhere, preferred
    sampled = _sample_up_to(
        preferred, settings.preferred_zone_sample_count, rng
    )
    sampled += _sample_up_to(elsewhere, settings.other_zones_sample_count, rng)
    sampled += _with_longest_cached_prefix(views, context, rng)
    return list({view.vm.vm_id: view for view in sampled}.values())


def _sample_up_to(
    views: Sequence[fleet.EngineView], count: int, rng: random.Random
) -> list[fleet.EngineView]:
    return rng.sample(views, min(count, len(views)))


def _with_longest_cached_prefix(
    views: Iterable[fleet.EngineView],
    context: choice_scores.ScoringContext,
    rng: random.Random,
) -> list[fleet.EngineView]:
    counts = context.cached_block_counts
    holders = [view for view in views if view.vm.vm_id in counts]
    # The sort is stable. Shuffling first keeps routers from all choosing the
    # same one of several equal engines.
    rng.shuffle(holders)
    holders.sort(key=lambda view: -counts[view.vm.vm_id])
    return holders[: context.settings.cached_prefix_sample_count]


def _no_engine_error(request: RequestShape) -> errors.NoEngineError:
    return errors.NoEngineError(
        f"no engine serves model {request.model!r} now", retry_after_s=1.0
    )

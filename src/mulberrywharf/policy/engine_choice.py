"""Chooses the engine, or the two engines, that a request runs on.

Each router decides alone on old reports. If all took the engine that looks
best they would all take the same one, so only a few are looked at: three at
random in the preferred availability zone, two elsewhere, and those that hold
the longest beginning of the prompt. The best of these by estimated time wins.
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
    situation = choice_scores.Situation(
        request=request,
        cached_block_counts=index.cached_block_counts(
            request.prompt_block_hashes, now_s
        ),
        mean=estimates.fleet_mean(fresh),
        zone=prefer_zone or request.availability_zone,
        slow_factors=slow_factors or {},
        settings=settings,
    )
    # Old reports only when there is no newer one: an engine that has been
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
    situation: choice_scores.Situation,
    rng: random.Random,
) -> list[choice_scores.Scored]:
    prefill_views = [v for v in views if choice_scores.role_of(v) == "prefill"]
    whole_views = [v for v in views if choice_scores.role_of(v) != "prefill"]
    decode_views = [v for v in views if choice_scores.role_of(v) == "decode"]
    whole = _sample(whole_views, situation, rng)
    scored = [choice_scores.score_whole(view, situation) for view in whole]
    if not prefill_views or not decode_views:
        return scored
    first = min(
        _sample(prefill_views, situation, rng),
        key=lambda view: choice_scores.first_part_s(view, situation),
    )
    second = _sample(decode_views, situation, rng)
    scored += [
        choice_scores.score_split(first, view, situation) for view in second
    ]
    return scored


def _sample(
    views: Sequence[fleet.EngineView],
    situation: choice_scores.Situation,
    rng: random.Random,
) -> list[fleet.EngineView]:
    settings = situation.settings
    preferred = [v for v in views if v.vm.availability_zone == situation.zone]
    away = [v for v in views if v.vm.availability_zone != situation.zone]
    if not preferred:
        preferred, away = away, preferred
    sampled = _some(preferred, settings.home_sample_count, rng)
    sampled += _some(away, settings.away_sample_count, rng)
    sampled += _best_holders(views, situation, rng)
    return list({view.vm.vm_id: view for view in sampled}.values())


def _some(
    views: Sequence[fleet.EngineView], count: int, rng: random.Random
) -> list[fleet.EngineView]:
    return rng.sample(views, min(count, len(views)))


def _best_holders(
    views: Iterable[fleet.EngineView],
    situation: choice_scores.Situation,
    rng: random.Random,
) -> list[fleet.EngineView]:
    counts = situation.cached_block_counts
    holders = [view for view in views if view.vm.vm_id in counts]
    # Shuffled first, so that routers do not all take the first of equals.
    rng.shuffle(holders)
    holders.sort(key=lambda view: -counts[view.vm.vm_id])
    return holders[: situation.settings.holder_sample_count]


def _no_engine(request: RequestShape) -> errors.NoEngineError:
    return errors.NoEngineError(
        f"no engine serves model {request.model!r} now", retry_after_s=1.0
    )

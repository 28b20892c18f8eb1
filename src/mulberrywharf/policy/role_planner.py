"""Plans which engine, if any, changes its role next.

A role change makes an engine unavailable for some seconds and pays off only
while the mix of prompt and output tokens stays the same. The planner predicts
the loss and the gain over a horizon and weighs them by the deployment's
settings. If the rules fix the role split, the planner only chooses the engine
and allows one change at a time.
"""

import functools
from collections.abc import Sequence

from mulberrywharf import fleet
from mulberrywharf.policy.planner_types import (
    MIXED_EFFICIENCY,
    ROLES,
    Demand,
    Plan,
    PlannerEngine,
    PlannerSettings,
    PlannerView,
    RoleChange,
    RoleCounts,
    Stay,
)
from mulberrywharf.policy.served_share import served_share

__all__ = [
    "MIXED_EFFICIENCY",
    "ROLES",
    "Demand",
    "Plan",
    "PlannerEngine",
    "PlannerSettings",
    "PlannerView",
    "RoleChange",
    "RoleCounts",
    "Stay",
    "describe",
    "plan",
    "served_share",
    "surplus_by_role",
]


def plan(
    view: PlannerView, settings: PlannerSettings, now_unix_s: float
) -> Plan:
    """Decides on the next role change.

    Args:
        view: State of the zone.
        settings: Weights and limits.
        now_unix_s: Current wall clock time.
    """
    if view.changing_count > 0:
        return Stay("an engine in the zone is already being changed")
    if view.target is not None:
        return _plan_for_target(view.engines, view.target)
    wait = _reason_to_wait(view, settings, now_unix_s)
    if wait is not None:
        return wait
    return _plan_best_change(view, settings, now_unix_s)


def _plan_for_target(
    engines: Sequence[PlannerEngine], target: RoleCounts
) -> Plan:
    """Plans a change toward a split that the rules fix.

    Chooses the engine with the fewest running requests, whose drain affects
    callers least. Neither the gain nor the dwell time is considered.
    """
    surplus = surplus_by_role(engines, target)
    wanted_role = min(ROLES, key=lambda role: surplus[role])
    movable = [e for e in engines if e.usable and surplus[e.role] > 0]
    if surplus[wanted_role] >= 0 or not movable:
        return Stay("no usable engine can bring the roles closer to the rules")
    engine = min(movable, key=lambda e: (e.running_count, e.engine_id))
    return RoleChange(
        engine.engine_id,
        wanted_role,
        f"the rules ask for {_describe_target(target)}",
    )


def surplus_by_role(
    engines: Sequence[PlannerEngine], target: RoleCounts
) -> dict[fleet.Role, int]:
    """Returns how many more engines than the target each role has."""
    return {
        role: _count(engines, role) - wanted
        for role, wanted in zip(ROLES, target, strict=True)
    }


def _count(engines: Sequence[PlannerEngine], role: fleet.Role) -> int:
    return sum(1 for engine in engines if engine.role == role)


def _describe_target(target: RoleCounts) -> str:
    return (
        f"{target.prefill_count} prefill, {target.decode_count} decode, "
        f"{target.mixed_count} mixed"
    )


def _reason_to_wait(
    view: PlannerView, settings: PlannerSettings, now_unix_s: float
) -> Stay | None:
    """Returns why no change may be planned now, or None if one may."""
    if view.demand is None or view.demand.age_s > settings.stale_after_s:
        return Stay("the demand is unknown or too old")
    window_start_s = now_unix_s - settings.budget_window_s
    recent = [t for t in view.change_ends_unix_s if t > window_start_s]
    if len(recent) >= settings.budget_count:
        return Stay("the role change budget is spent")
    # Reports lag. A report from before the end of the last change still shows
    # the old split, so planning on it would order the same change again.
    last_end_s = max(view.change_ends_unix_s, default=0.0)
    fresh_from_s = last_end_s + settings.clock_margin_s
    if any(
        e.usable and e.reported_unix_s <= fresh_from_s for e in view.engines
    ):
        return Stay("waiting for engine reports from after the last change")
    return None


def _plan_best_change(
    view: PlannerView, settings: PlannerSettings, now_unix_s: float
) -> Plan:
    assert view.demand is not None
    usable = [e for e in view.engines if e.usable]
    before = served_share(usable, view.demand, settings)
    best: RoleChange | None = None
    for engine in _candidate_of_each_role(usable, settings, now_unix_s):
        others = [e for e in usable if e is not engine]
        during = served_share(others, view.demand, settings)
        for role in ROLES:
            if role == engine.role:
                continue
            after = served_share(
                [*others, engine._replace(role=role)], view.demand, settings
            )
            if after - before < settings.hysteresis_share:
                continue
            gain_s = _gain_s(before, during, after, view.demand, settings)
            if best is None or gain_s > best.gain_s:
                best = RoleChange(
                    engine.engine_id,
                    role,
                    f"predicted served share {before:.2f} to {after:.2f}",
                    gain_s,
                )
    if best is None:
        return Stay("no role change gains enough goodput")
    cost = settings.role_change_weight * settings.change_cost_s
    benefit = settings.goodput_weight * best.gain_s
    if benefit <= cost or best.gain_s <= settings.min_gain_s:
        return Stay(
            f"a predicted gain of {best.gain_s:.1f} s is not worth a change"
        )
    return best


def _candidate_of_each_role(
    engines: Sequence[PlannerEngine],
    settings: PlannerSettings,
    now_unix_s: float,
) -> list[PlannerEngine]:
    """Returns, for each role, the least busy engine that may leave it.

    An engine may leave its role after the dwell time if its report is fresh.
    """
    candidates: dict[fleet.Role, PlannerEngine] = {}
    for engine in sorted(engines, key=lambda e: e.running_count):
        time_in_role_s = now_unix_s - engine.last_change_unix_s
        fresh = engine.report_age_s <= settings.stale_after_s
        if fresh and time_in_role_s >= settings.dwell_s:
            candidates.setdefault(engine.role, engine)
    return list(candidates.values())


def _gain_s(
    before: float,
    during: float,
    after: float,
    demand: Demand,
    settings: PlannerSettings,
) -> float:
    """Returns the predicted net gain, in seconds of the zone's full goodput.

    The age of the demand shortens the horizon, because the current mix has
    already lasted that long.
    """
    horizon_s = max(
        0.0, settings.horizon_s - demand.age_s - settings.unavailable_s
    )
    return (after - before) * horizon_s - (
        before - during
    ) * settings.unavailable_s


@functools.singledispatch
def describe(decision: object) -> str:
    """Returns one line with the decision and its reason."""
    raise TypeError(f"not a plan: {decision!r}")


@describe.register
def _describe_change(decision: RoleChange) -> str:
    return f"{decision.engine_id} to {decision.role}: {decision.reason}"


@describe.register
def _describe_stay(decision: Stay) -> str:
    return f"no change: {decision.reason}"

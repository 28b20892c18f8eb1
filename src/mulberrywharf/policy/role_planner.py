"""Which engine should change its role next, if any.

A change takes an engine away for seconds and pays back only while the mix of
prompt and output tokens stays as it is. The planner predicts both over a
horizon and weighs them as the deployment's settings say. Where the rules fix
the split, the planner only chooses the engine and paces the changes.
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
    view: PlannerView, options: PlannerSettings, now_unix_s: float
) -> Plan:
    """Decides on the next role change.

    Args:
        view: The zone.
        options: What to weigh.
        now_unix_s: Wall clock.
    """
    if view.in_change_count > 0:
        return Stay("an engine of the zone is in a change")
    if view.target is not None:
        return _toward_target(view.engines, view.target)
    held = _held_back(view, options, now_unix_s)
    if held is not None:
        return held
    return _best_gain(view, options, now_unix_s)


def _toward_target(
    engines: Sequence[PlannerEngine], target: RoleCounts
) -> Plan:
    """Picks the engine whose change costs callers least.

    The rules fix the split; neither the gain nor the dwell time is considered.
    """
    surplus = surplus_by_role(engines, target)
    wanted_role = min(ROLES, key=lambda role: surplus[role])
    movable = [e for e in engines if e.usable and surplus[e.role] > 0]
    if surplus[wanted_role] >= 0 or not movable:
        return Stay("the split is as the rules say")
    engine = min(movable, key=lambda e: (e.running_count, e.engine_id))
    return RoleChange(
        engine.engine_id,
        wanted_role,
        f"the rules ask for {_describe(target)}",
    )


def surplus_by_role(
    engines: Sequence[PlannerEngine], target: RoleCounts
) -> dict[fleet.Role, int]:
    """Returns how many engines each role has over the target."""
    return {
        role: _count(engines, role) - wanted
        for role, wanted in zip(ROLES, target, strict=True)
    }


def _count(engines: Sequence[PlannerEngine], role: fleet.Role) -> int:
    return sum(1 for engine in engines if engine.role == role)


def _describe(target: RoleCounts) -> str:
    return (
        f"{target.prefill_count} prefill, {target.decode_count} decode, "
        f"{target.mixed_count} mixed"
    )


def _held_back(
    view: PlannerView, options: PlannerSettings, now_unix_s: float
) -> Stay | None:
    """Names what forbids any free change now, if anything does."""
    if view.demand is None or view.demand.age_s > options.stale_after_s:
        return Stay("the demand is unknown or too old")
    window_start_s = now_unix_s - options.budget_window_s
    recent = [t for t in view.change_ends_unix_s if t > window_start_s]
    if len(recent) >= options.budget_count:
        return Stay("the budget of changes is spent")
    # Reports lag. One that was taken before the last change ended still
    # shows the old split; planning on it would order the same change again.
    last_end_s = max(view.change_ends_unix_s, default=0.0)
    fresh_from_s = last_end_s + options.clock_margin_s
    if any(
        e.usable and e.reported_unix_s <= fresh_from_s for e in view.engines
    ):
        return Stay("reports from after the last change are awaited")
    return None


def _best_gain(
    view: PlannerView, options: PlannerSettings, now_unix_s: float
) -> Plan:
    assert view.demand is not None
    usable = [e for e in view.engines if e.usable]
    before = served_share(usable, view.demand, options)
    best: RoleChange | None = None
    for engine in _one_of_each_role(usable, options, now_unix_s):
        others = [e for e in usable if e is not engine]
        during = served_share(others, view.demand, options)
        for role in ROLES:
            if role == engine.role:
                continue
            after = served_share(
                [*others, engine._replace(role=role)], view.demand, options
            )
            if after - before < options.hysteresis_share:
                continue
            gain_s = _gain_s(before, during, after, view.demand, options)
            if best is None or gain_s > best.gain_s:
                best = RoleChange(
                    engine.engine_id,
                    role,
                    f"served share {before:.2f} to {after:.2f} predicted",
                    gain_s,
                )
    if best is None:
        return Stay("no change wins enough goodput")
    cost = options.role_change_weight * options.change_price_s
    worth = options.goodput_weight * best.gain_s
    if worth <= cost or best.gain_s <= options.min_gain_s:
        return Stay(
            f"a predicted gain of {best.gain_s:.1f} s is not worth a change"
        )
    return best


def _one_of_each_role(
    engines: Sequence[PlannerEngine],
    options: PlannerSettings,
    now_unix_s: float,
) -> list[PlannerEngine]:
    """Returns the least busy engine of each role that has dwelt in it."""
    chosen: dict[fleet.Role, PlannerEngine] = {}
    for engine in sorted(engines, key=lambda e: e.running_count):
        dwelt_s = now_unix_s - engine.last_change_unix_s
        fresh = engine.report_age_s <= options.stale_after_s
        if fresh and dwelt_s >= options.dwell_s:
            chosen.setdefault(engine.role, engine)
    return list(chosen.values())


def _gain_s(
    before: float,
    during: float,
    after: float,
    demand: Demand,
    options: PlannerSettings,
) -> float:
    """Returns the goodput won less that lost, in seconds of all demand.

    An old report shortens the horizon: the mix has lasted that long
    already without being seen.
    """
    horizon_s = max(0.0, options.horizon_s - demand.age_s - options.away_s)
    return (after - before) * horizon_s - (before - during) * options.away_s


@functools.singledispatch
def describe(decision: object) -> str:
    """Says in a line what was decided and why."""
    raise TypeError(f"not a plan: {decision!r}")


@describe.register
def _describe_change(decision: RoleChange) -> str:
    return f"{decision.engine_id} to {decision.role}: {decision.reason}"


@describe.register
def _describe_stay(decision: Stay) -> str:
    return f"no change: {decision.reason}"

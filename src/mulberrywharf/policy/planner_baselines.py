"""Planners to compare with: one that never changes, one that always does."""

from mulberrywharf.policy import role_planner


def plan_static(
    view: role_planner.PlannerView,
    options: role_planner.PlannerSettings,
    now_unix_s: float,
) -> role_planner.Plan:
    """Keeps the split that the fleet was started with."""
    return role_planner.Stay("the split is fixed")


def plan_eager(
    view: role_planner.PlannerView,
    options: role_planner.PlannerSettings,
    now_unix_s: float,
) -> role_planner.Plan:
    """Takes any change that the latest report makes look better.

    It has the same prediction, but neither hysteresis nor dwell nor budget,
    gives a change no price and doesn't ask how old its reports are.
    """
    eager = options._replace(
        role_change_weight=0.0,
        min_gain_s=0.0,
        hysteresis_share=0.001,
        dwell_s=0.0,
        budget_count=1_000_000,
        stale_after_s=float("inf"),
        clock_margin_s=float("-inf"),
    )
    return role_planner.plan(view, eager, now_unix_s)

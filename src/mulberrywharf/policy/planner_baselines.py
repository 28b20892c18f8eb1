"""Baseline role planners: one never changes roles, one always does."""

from mulberrywharf.policy import role_planner


def plan_static(
    view: role_planner.PlannerView,
    settings: role_planner.PlannerSettings,
    now_unix_s: float,
) -> role_planner.Plan:
    """Keeps the role split that the fleet was started with."""
    return role_planner.Stay("the role split is fixed")


def plan_eager(
    view: role_planner.PlannerView,
    settings: role_planner.PlannerSettings,
    now_unix_s: float,
) -> role_planner.Plan:
    """Makes any change that the latest reports predict to be better.

    It uses the same prediction, but almost no hysteresis, no dwell time, no
    budget and no cost of changes, and it ignores the age of reports.
    """
    eager = settings._replace(
        role_change_weight=0.0,
        min_gain_s=0.0,
        hysteresis_share=0.001,
        dwell_s=0.0,
        budget_count=1_000_000,
        stale_after_s=float("inf"),
        clock_margin_s=float("-inf"),
    )
    return role_planner.plan(view, eager, now_unix_s)

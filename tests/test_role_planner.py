"""Tests the role planner, which weighs goodput against role changes."""

import unittest

from mulberrywharf.policy import planner_baselines, role_planner

_NOW_S = 10_000.0
_OPTIONS = role_planner.PlannerSettings(unavailable_s=5.0)
_PROMPT_HEAVY = role_planner.Demand(60_000.0, 2_000.0, age_s=1.0)


def _engine(index: int, role: str, **changes) -> role_planner.PlannerEngine:
    engine = role_planner.PlannerEngine(
        engine_id=f"engine-{index}",
        role=role,  # type: ignore[arg-type]
        usable=True,
        prefill_tokens_per_s=20_000.0,
        decode_tokens_per_s=4_000.0,
        reported_unix_s=_NOW_S - 1.0,
    )
    return engine._replace(**changes)


def _view(
    roles: str = "pdddd",
    demand: role_planner.Demand | None = _PROMPT_HEAVY,
    **changes,
) -> role_planner.PlannerView:
    names = {"p": "prefill", "d": "decode", "m": "mixed"}
    engines = tuple(_engine(i, names[r]) for i, r in enumerate(roles))
    return role_planner.PlannerView(engines, demand)._replace(**changes)


def _plan(
    view: role_planner.PlannerView, **options
) -> role_planner.RoleChange | role_planner.Stay:
    return role_planner.plan(view, _OPTIONS._replace(**options), _NOW_S)


def _with_change(
    view: role_planner.PlannerView, change: role_planner.RoleChange
) -> role_planner.PlannerView:
    engines = tuple(
        engine._replace(role=change.role)
        if engine.engine_id == change.engine_id
        else engine
        for engine in view.engines
    )
    return view._replace(engines=engines)


class PlanWithoutTargetTest(unittest.TestCase):
    def test_change_of_token_mix_changes_a_role(self):
        plan = _plan(_view())
        self.assertIsInstance(plan, role_planner.RoleChange)
        self.assertNotEqual(plan.role, "decode")

    def test_no_change_is_planned(self):
        old = tuple(
            e._replace(reported_unix_s=_NOW_S - 30.0) for e in _view().engines
        )
        dwelling = tuple(
            e._replace(last_change_unix_s=_NOW_S - 5.0) for e in _view().engines
        )
        cases = (
            ("another engine is being changed", _view(changing_count=1), {}),
            ("demand is unknown", _view(demand=None), {}),
            (
                "demand is too old",
                _view(demand=_PROMPT_HEAVY._replace(age_s=60.0)),
                {},
            ),
            ("dwell", _view(engines=dwelling), {}),
            (
                "reports are older than the last change",
                _view(engines=old, change_ends_unix_s=(_NOW_S - 20.0,)),
                {},
            ),
            (
                "budget",
                _view(change_ends_unix_s=(_NOW_S - 99.0, _NOW_S - 98.0)),
                {"budget_count": 2},
            ),
            ("cost of a change", _view(), {"role_change_weight": 1e6}),
            ("goodput has no weight", _view(), {"goodput_weight": 0.0}),
            (
                "all demand is served",
                _view(demand=role_planner.Demand(100.0, 100.0, 1.0)),
                {},
            ),
        )
        for name, view, options in cases:
            with self.subTest(name):
                plan = _plan(view, **options)
                self.assertIsInstance(plan, role_planner.Stay, plan)

    def test_planner_stops_changing_roles(self):
        view = _view("pdddd")
        for _ in range(10):
            plan = _plan(view)
            if isinstance(plan, role_planner.Stay):
                return
            view = _with_change(view, plan)
        self.fail("the planner still changes roles after ten changes")

    def test_last_prefill_or_decode_engine_may_only_become_mixed(self):
        plan = _plan(_view("pd"))
        if isinstance(plan, role_planner.RoleChange):
            self.assertEqual(plan.role, "mixed")

    def test_eager_baseline_ignores_cost_and_age(self):
        view = _view(demand=_PROMPT_HEAVY._replace(age_s=60.0))
        options = _OPTIONS._replace(role_change_weight=1e6)
        eager = planner_baselines.plan_eager(view, options, _NOW_S)
        static = planner_baselines.plan_static(view, options, _NOW_S)
        self.assertIsInstance(eager, role_planner.RoleChange)
        self.assertIsInstance(static, role_planner.Stay)


class PlanWithTargetTest(unittest.TestCase):
    def test_planner_reaches_split_fixed_by_rules(self):
        target = role_planner.RoleCounts(3, 1, 1)
        view = _view("ddddd", demand=None, target=target)
        for _ in range(4):
            plan = _plan(view)
            assert isinstance(plan, role_planner.RoleChange)
            view = _with_change(view, plan)
        self.assertIsInstance(_plan(view), role_planner.Stay)
        surplus = role_planner.surplus_by_role(view.engines, target)
        self.assertEqual(set(surplus.values()), {0})

    def test_least_busy_engine_changes_first(self):
        engines = (
            _engine(0, "decode", running_count=9),
            _engine(1, "decode", running_count=2),
            _engine(2, "decode", usable=False),
        )
        view = _view(engines=engines, target=role_planner.RoleCounts(1, 2, 0))
        self.assertEqual(_plan(view).engine_id, "engine-1")


if __name__ == "__main__":
    unittest.main()

"""Derives the wanted state of each engine from the rule in force."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mulberrywharf import fleet, rules
from mulberrywharf.authority import findings, order_records, situation_builder
from mulberrywharf.policy import role_planner


class RuleInForce(NamedTuple):
    """The rule in force.

    Attributes:
        match: Result of matching the rules.
        config_version: Version of the configuration that contains the rule.
        reason: Explanation for operators, in one line.
    """

    match: rules.Match
    config_version: int
    reason: str


class Zone(NamedTuple):
    """Latest known state of a zone's engines.

    Attributes:
        reports: Latest report of each engine that has reported.
        records: Latest order record of each engine that has one.
        demand: Estimated demand of callers, or None.
        change_ends_unix_s: Wall clock times at which recent role changes ended.
    """

    reports: Mapping[str, situation_builder.AgedReport]
    records: Mapping[str, order_records.OrderRecord]
    demand: role_planner.Demand | None = None
    change_ends_unix_s: tuple[float, ...] = ()


class WantedZone(NamedTuple):
    """The wanted state of every engine, and the planner's decision.

    Attributes:
        engines: Wanted state by engine id.
        plan: Decision of the role planner.
    """

    engines: dict[str, findings.WantedEngine]
    plan: role_planner.Plan


def settled_role(
    report: fleet.LoadReport, record: order_records.OrderRecord | None
) -> fleet.Role:
    """Returns the role that an engine is to have after its last order.

    The last order may still be in flight.

    The reported role is used only if no order determines the role: after a
    crash during a change, or an order of a process without authority, an
    engine may report a role that was not intended.
    """
    if record is None:
        return report.role
    for role in role_planner.ROLES:
        if role == record.role:
            return role
    return report.role


def wanted_zone(
    zone: Zone,
    in_force: RuleInForce,
    options: role_planner.PlannerSettings,
    now_unix_s: float,
) -> WantedZone:
    """Returns the wanted state of every engine that has reported."""
    actions = in_force.match.actions
    is_on_hold = in_force.match.undecided or bool(actions.get("hold"))
    plan = _plan(zone, actions, is_on_hold, options, now_unix_s)
    loading = _engines_to_load(zone, actions) if not is_on_hold else frozenset()
    engines = {
        engine_id: _wanted_engine(
            engine_id, zone, in_force, plan, engine_id in loading
        )
        for engine_id in zone.reports
    }
    return WantedZone(engines, plan)


def _plan(
    zone: Zone,
    actions: rules.Actions,
    is_on_hold: bool,
    options: role_planner.PlannerSettings,
    now_unix_s: float,
) -> role_planner.Plan:
    if is_on_hold:
        return role_planner.Stay(
            "no change: the rule says hold, or it is unknown whether it matches"
        )
    engines = _planner_engines(zone, actions)
    view = role_planner.PlannerView(
        engines=engines,
        demand=zone.demand,
        target=_target(actions, engines),
        changing_count=changing_count(zone),
        change_ends_unix_s=zone.change_ends_unix_s,
    )
    return role_planner.plan(view, options, now_unix_s)


def _planner_engines(
    zone: Zone, actions: rules.Actions
) -> tuple[role_planner.PlannerEngine, ...]:
    """Returns every engine that has reported and the rule does not drain."""
    drained_id = _drained_engine_id(actions)
    speeds = situation_builder.dedicated_speeds(
        [aged.report for aged in zone.reports.values()]
    )
    return tuple(
        _planner_engine(aged, zone.records.get(engine_id), speeds[engine_id])
        for engine_id, aged in sorted(zone.reports.items())
        if engine_id != drained_id
    )


def _drained_engine_id(actions: rules.Actions) -> str:
    drain = actions.get("drain")
    return "" if drain is None else drain["engine_id"]


def _target(
    actions: rules.Actions, engines: Sequence[role_planner.PlannerEngine]
) -> role_planner.RoleCounts | None:
    split = rules.wanted_roles(actions, len(engines))
    return None if split is None else role_planner.RoleCounts(*split)


def _is_change_obsolete(
    engine_id: str, zone: Zone, in_force: RuleInForce
) -> bool:
    """Tells whether an engine drains for a role that is no longer wanted.

    The rules may have changed meanwhile. Dropping the change costs nothing
    until the role change itself is sent; completing it would make the engine
    unavailable twice.
    """
    record = zone.records.get(engine_id)
    if record is None or record.phase not in ("recorded", "draining"):
        return False
    actions = in_force.match.actions
    engines = _planner_engines(zone, actions)
    target = _target(actions, engines)
    if record.action != "set-role" or target is None:
        return False
    surplus = role_planner.surplus_by_role(engines, target)
    now_role = zone.reports[engine_id].report.role
    next_role = settled_role(zone.reports[engine_id].report, record)
    return surplus[next_role] > 0 and surplus[now_role] < 0


def changing_count(zone: Zone) -> int:
    """Returns how many engines are changing or have an order to change.

    These are the engines that report a change, whatever its cause, and those
    with a role or model order in flight.
    """
    return sum(
        1
        for engine_id, aged in zone.reports.items()
        if aged.report.state == "changing"
        or _is_planned_change(zone.records.get(engine_id))
    )


def _is_planned_change(record: order_records.OrderRecord | None) -> bool:
    if record is None or not record.in_flight():
        return False
    return record.action in ("set-role", "load-model")


def _planner_engine(
    aged: situation_builder.AgedReport,
    record: order_records.OrderRecord | None,
    speeds: situation_builder.Speeds,
) -> role_planner.PlannerEngine:
    report = aged.report
    last_change_unix_s = 0.0
    if record is not None and record.action == "set-role":
        last_change_unix_s = record.recorded_unix_s
    return role_planner.PlannerEngine(
        engine_id=report.engine_id,
        role=settled_role(report, record),
        usable=report.state in ("ready", "failed"),
        prefill_tokens_per_s=speeds.prefill_tokens_per_s,
        decode_tokens_per_s=speeds.decode_tokens_per_s,
        running_count=report.running_count,
        report_age_s=aged.age_s,
        reported_unix_s=report.reported_unix_s,
        last_change_unix_s=last_change_unix_s,
    )


def _engines_to_load(zone: Zone, actions: rules.Actions) -> frozenset[str]:
    """Selects the engines that are to load the model named by a rule.

    Engines that have it loaded are preferred, then engines that were ordered to
    load it, then the least busy ones.
    """
    load = actions.get("load")
    if load is None:
        return frozenset()

    def cost(engine_id: str) -> tuple[bool, bool, int, str]:
        report = zone.reports[engine_id].report
        record = zone.records.get(engine_id)
        loading = record is not None and record.model == load["model"]
        loaded = load["model"] in report.models
        return (not loaded, not loading, report.running_count, engine_id)

    ranked: Sequence[str] = sorted(zone.reports, key=cost)
    return frozenset(ranked[: load["engines_count"]])


def _wanted_engine(
    engine_id: str,
    zone: Zone,
    in_force: RuleInForce,
    plan: role_planner.Plan,
    is_to_load: bool,
) -> findings.WantedEngine:
    actions = in_force.match.actions
    record = zone.records.get(engine_id)
    role = settled_role(zone.reports[engine_id].report, record)
    reason = in_force.reason
    if isinstance(plan, role_planner.RoleChange) and (
        plan.engine_id == engine_id
    ):
        role = plan.role
        reason = f"{reason}; {plan.reason}"
    elif _is_change_obsolete(engine_id, zone, in_force):
        role = zone.reports[engine_id].report.role
    wanted = findings.WantedEngine(
        role=role,
        rule=in_force.match.rule_name,
        config_version=in_force.config_version,
        reason=reason,
        drained=_is_drained(engine_id, in_force, record),
    )
    if not is_to_load:
        return wanted
    load = actions["load"]
    return wanted._replace(
        model=load["model"],
        adapter=load.get("adapter", ""),
        version=load.get("version", ""),
    )


def _is_drained(
    engine_id: str,
    in_force: RuleInForce,
    record: order_records.OrderRecord | None,
) -> bool:
    actions = in_force.match.actions
    if in_force.match.undecided or actions.get("hold"):
        if record is None or record.phase == "failed":
            return False
        return record.action == "drain"
    return _drained_engine_id(actions) == engine_id

"""``mulberryctl plan``: shows what a document would change, and why."""

from collections import Counter
from typing import NamedTuple

from result import Err, Ok

from mulberrywharf.operators.status import StatusReport
from mulberrywharf.operators.status_conversion import situation_from_status
from mulberrywharf.programs._ctl_check import (
    fault_result,
    load_and_check,
    warning_lines,
)
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_nodes import (
    NO_CONTROLLER_ADVICE,
    active_controllers,
    missing_lines,
    query_nodes,
)
from mulberrywharf.programs._ctl_result import (
    CommandResult,
    ExitCode,
    error_result,
)
from mulberrywharf.programs._ctl_show import diff_lines
from mulberrywharf.rules import Document, WantedRoles, wanted_roles
from mulberrywharf.rules.audit_trail import diff
from mulberrywharf.rules.explain import reason
from mulberrywharf.rules.match import Match, match_once


class _ZonePlan(NamedTuple):
    """What would change in one zone.

    Attributes:
        zone: The availability zone.
        before: The rule in force that matches now, or None if no
            configuration is in force.
        after: The rule of the new document that would match now.
        seen: Number of usable engines by the role that they report.
        wanted: Number of engines wanted in each role, or None if the rule
            leaves the roles as they are.
        changes_count: Minimum number of engines that would change their role.
    """

    zone: str
    before: Match | None
    after: Match
    seen: dict[str, int]
    wanted: WantedRoles | None
    changes_count: int


def run(context: Context) -> CommandResult:
    """Compares a document with the rules in force, given the fleet's state."""
    checked = load_and_check(context)
    if isinstance(checked, Err):
        return fault_result(checked.err_value)
    current = context.configuration()
    if isinstance(current, Err):
        return error_result(current.err_value)
    in_force = current.ok_value
    before = None if in_force is None else in_force.document
    version = 0 if in_force is None else in_force.version
    after = checked.ok_value.document
    changes = diff(before, after)
    plans, notes = _zone_plans(context, before, after)
    lines = [
        f"against version {version}: {len(changes)} changes",
        *diff_lines(changes),
        *warning_lines(checked.ok_value),
    ]
    for plan in plans:
        lines += _plan_lines(plan, version)
    value = {
        "version": version,
        "diff": changes,
        "zones": [_plan_value(plan) for plan in plans],
        "notes": notes,
    }
    lines += [f"note: {note}" for note in notes]
    return CommandResult(ExitCode.OK, value, lines)


def _zone_plans(
    context: Context, before: Document | None, after: Document
) -> tuple[list[_ZonePlan], list[str]]:
    queried = query_nodes(context)
    if not isinstance(queried, Ok):
        error = queried.err_value
        return [], [
            f"the state of the fleet could not be read: {error}",
            error.advice,
        ]
    plans = [
        plan
        for report in active_controllers(queried.ok_value).values()
        if (plan := _zone_plan(report, before, after)) is not None
    ]
    notes = missing_lines(queried.ok_value)
    if not plans:
        notes += [
            "no active controller reported what it sees",
            NO_CONTROLLER_ADVICE,
        ]
    return plans, notes


def _zone_plan(
    report: StatusReport, before: Document | None, after: Document
) -> _ZonePlan | None:
    status = report.get("situation")
    if status is None:
        return None
    situation = situation_from_status(status)
    zone = report["availability_zone"]
    engines = [
        engine
        for engine in report["engines"]
        if engine["availability_zone"] == zone
        and engine["seen_state"] not in ("failed", "unknown")
    ]
    seen = Counter(engine["seen_role"] for engine in engines)
    found = match_once(after, situation)
    wanted = wanted_roles(found.actions, len(engines))
    return _ZonePlan(
        zone=zone,
        before=None if before is None else match_once(before, situation),
        after=found,
        seen=dict(seen),
        wanted=wanted,
        changes_count=_changes_count(seen, wanted),
    )


def _changes_count(seen: Counter[str], wanted: WantedRoles | None) -> int:
    if wanted is None:
        return 0
    wanted_counts = {
        "prefill": wanted.prefill_count,
        "decode": wanted.decode_count,
        "mixed": wanted.mixed_count,
    }
    return sum(
        max(0, wanted_counts[role] - seen[role]) for role in wanted_counts
    )


def _plan_lines(plan: _ZonePlan, version: int) -> list[str]:
    now = "none" if plan.before is None else plan.before.rule_name
    why = reason(plan.after, version + 1)
    lines = [
        f"{plan.zone}: rule {now} -> {plan.after.rule_name}",
        f"  why: {why}",
        f"  engines seen: {plan.seen}",
    ]
    if plan.wanted is None:
        return [*lines, "  roles stay as they are"]
    wanted = plan.wanted
    return [
        *lines,
        f"  engines wanted: prefill {wanted.prefill_count}, decode "
        f"{wanted.decode_count}, mixed {wanted.mixed_count}; at least "
        f"{plan.changes_count} role changes, if the planner finds them worth "
        "their cost",
    ]


def _plan_value(plan: _ZonePlan) -> dict[str, object]:
    return {
        "availability_zone": plan.zone,
        "rule_before": plan.before.rule_name if plan.before else None,
        "rule_after": plan.after.rule_name,
        "undecided": plan.after.undecided,
        "seen": plan.seen,
        "wanted": plan.wanted._asdict() if plan.wanted else None,
        "changes_count": plan.changes_count,
    }

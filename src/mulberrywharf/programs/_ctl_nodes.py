"""``mulberryctl status`` and ``explain``: show what the nodes report."""

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.operators.client import NodeAnswer
from mulberrywharf.operators.status import StatusReport
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_result import (
    CommandResult,
    ExitCode,
    error_result,
)

NO_CONTROLLER_ADVICE = (
    "Pass the controllers' admin listeners with --node; if no controller "
    "holds a lease, the key-value service may be unreachable."
)


def query_nodes(
    context: Context,
) -> Result[list[NodeAnswer], errors.MulberryError]:
    """Reads the status of every node; fails only if no node answers."""
    addresses = context.node_addresses()
    if isinstance(addresses, Err):
        return addresses
    answers = context.statuses(addresses.ok_value)
    if any(answer.report is not None for answer in answers):
        return Ok(answers)
    refused = [
        answer.error
        for answer in answers
        if isinstance(answer.error, errors.NotAuthorisedError)
    ]
    if refused:
        return Err(refused[0])
    reasons = "; ".join(str(answer.error) for answer in answers)
    return Err(
        errors.AdminListenerError(
            f"no node answers: {reasons or 'the VM list contains no nodes'}"
        )
    )


def reports(answers: list[NodeAnswer]) -> list[StatusReport]:
    """Returns the reports, ordered by zone, VM and program."""
    found = [answer.report for answer in answers if answer.report is not None]
    return sorted(
        found,
        key=lambda report: (
            report["availability_zone"],
            report["vm_id"],
            report["program"],
        ),
    )


def missing_lines(answers: list[NodeAnswer]) -> list[str]:
    """Formats the nodes that could not be read, with the reason."""
    return [
        f"not reached: {answer.address}: {answer.error}"
        for answer in answers
        if answer.error is not None
    ]


def active_controllers(answers: list[NodeAnswer]) -> dict[str, StatusReport]:
    """Returns the reports of the controllers that hold a lease, by zone."""
    found: dict[str, StatusReport] = {}
    for report in reports(answers):
        lease = report.get("lease")
        if lease is not None and lease["held"]:
            found[report["availability_zone"]] = report
    return found


def run_status(context: Context) -> CommandResult:
    """Shows every node."""
    queried = query_nodes(context)
    if isinstance(queried, Err):
        return error_result(queried.err_value)
    answers = queried.ok_value
    lines = [_status_line(report) for report in reports(answers)]
    lines += missing_lines(answers)
    value = {
        "nodes": reports(answers),
        "not_reached": [
            {"address": str(answer.address), "error": answer.error.message}
            for answer in answers
            if answer.error is not None
        ],
    }
    return CommandResult(ExitCode.OK, value, lines)


def run_explain(context: Context) -> CommandResult:
    """Shows which rule applies in each zone."""
    queried = query_nodes(context)
    if isinstance(queried, Err):
        return error_result(queried.err_value)
    found = active_controllers(queried.ok_value)
    zone = context.arguments.zone
    if zone is not None:
        found = {name: rep for name, rep in found.items() if name == zone}
    if not found:
        return error_result(_no_controller(zone))
    lines = []
    value = {}
    for name, report in found.items():
        lines.append(f"{name} (controller on {report['vm_id']}):")
        lines += explanation_lines(report)
        value[name] = report.get("rule")
    return CommandResult(ExitCode.OK, {"zones": value}, lines)


def explanation_lines(report: StatusReport) -> list[str]:
    """Formats a controller's explanation of the rule that applies."""
    rule = report.get("rule")
    if rule is None:
        return ["  the controller has not evaluated the rules yet"]
    return [f"  {line}" for line in rule["explanation"].splitlines()]


def _no_controller(zone: str | None) -> errors.MulberryError:
    where = f"in {zone}" if zone else "in any zone"
    return errors.AdminListenerError(
        f"no reachable controller holds a lease {where}",
        advice=NO_CONTROLLER_ADVICE,
    )


def _status_line(report: StatusReport) -> str:
    platform = report["platform"]
    parts = [
        f"{report['availability_zone']} {report['vm_id']} {report['program']}:",
        "ready," if report["ready"] else "not ready,",
        f"configuration {report['config_version']},",
        f"{len(report['engines'])} engines,",
        f"key-value service {_age(platform['key_value_age_s'])},",
        f"VM list {_age(platform['vm_list_age_s'])}",
    ]
    lease = report.get("lease")
    if lease is not None and lease["held"]:
        parts.append(f"(holds the lease, fencing {lease['fencing_number']})")
    return " ".join(parts)


def _age(age_s: float | None) -> str:
    return "of unknown age" if age_s is None else f"read {age_s:.1f} s ago"

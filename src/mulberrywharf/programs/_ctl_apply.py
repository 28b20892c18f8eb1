"""``mulberryctl apply``: change the configuration and see it in force."""

import re
import time
import uuid

import gevent
from result import Err, Ok, Result

from mulberrywharf.errors import (
    ConfigConflictError,
    MulberryError,
    UsageError,
    WriteOutcomeUnknownError,
)
from mulberrywharf.fleet import Address
from mulberrywharf.operators.client import NodeAnswer
from mulberrywharf.operators.status import StatusReport
from mulberrywharf.platform_service.configuration import Configuration
from mulberrywharf.programs._ctl_check import (
    CheckedDocument,
    fault_result,
    load_and_check,
    warning_lines,
)
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_nodes import reports
from mulberrywharf.programs._ctl_result import (
    CommandResult,
    ExitCode,
    error_result,
)
from mulberrywharf.programs._ctl_show import diff_lines, entry_lines

_BASE_VERSION = re.compile(r"^\s*//\s*base-version:\s*(\d+)\s*$", re.MULTILINE)
_POLL_INTERVAL_S = 0.25


def run(context: Context) -> CommandResult:
    """Puts a document in force."""
    checked = load_and_check(context)
    if isinstance(checked, Err):
        return fault_result(checked.err_value)
    base = _base_version(context, checked.ok_value)
    if isinstance(base, Err):
        return error_result(base.err_value)
    change_id = context.arguments.change_id or str(uuid.uuid4())
    changed = _change(context, checked.ok_value, base.ok_value, change_id)
    if isinstance(changed, Err):
        return _failure(changed.err_value, change_id)
    return _wait(context, changed.ok_value, checked.ok_value)


def _base_version(
    context: Context, checked: CheckedDocument
) -> Result[int, UsageError]:
    # Without the version that was edited, an operator who took the rules an
    # hour ago would overwrite what another shift applied since, and nobody
    # would see a conflict.
    if context.arguments.base_version is not None:
        return Ok(context.arguments.base_version)
    found = _BASE_VERSION.search(checked.text)
    if found is not None:
        return Ok(int(found.group(1)))
    return Err(
        UsageError(
            "which version did you edit?",
            advice="Keep the '// base-version: N' line that show writes, or "
            "name --base-version; 0 if there is no configuration yet.",
        )
    )


def _change(
    context: Context,
    checked: CheckedDocument,
    base_version: int,
    change_id: str,
) -> Result[Configuration, MulberryError]:
    store = context.config_store()
    if isinstance(store, Err):
        return store
    # A key-value service that came back from a backup holds less than nodes
    # run. Accepted there, a change would get a version that nodes have
    # passed, and none would ever take it.
    seen = [report["config_version"] for report in _known_reports(context)]
    return store.ok_value.change(
        checked.document,
        author=context.arguments.author,
        note=context.arguments.note,
        change_id=change_id,
        expected_version=base_version,
        seen_version=max(seen, default=0),
    )


def _known_reports(context: Context) -> list[StatusReport]:
    addresses = context.node_addresses()
    if isinstance(addresses, Err):
        return []
    return reports(context.statuses(addresses.ok_value))


def _failure(error: MulberryError, change_id: str) -> CommandResult:
    if isinstance(error, WriteOutcomeUnknownError):
        error.advice = (
            f"Run the same command again with --change-id {change_id}; it "
            "is never applied twice."
        )
    result = error_result(error)
    if not isinstance(error, ConfigConflictError):
        return result
    lines = [*result.lines, "  nothing of your change was applied"]
    lines.append("changed by others meanwhile:")
    lines += [f"  {x}" for entry in error.others for x in entry_lines(entry)]
    lines.append("yours against the version in force:")
    lines += diff_lines(error.diff)
    value = {
        "error": {
            "code": error.code,
            "message": error.message,
            "advice": error.advice,
            "held_version": error.held_version,
            "others": error.others,
            "diff": error.diff,
        }
    }
    return result._replace(value=value, lines=lines)


def _wait(
    context: Context,
    configuration: Configuration,
    checked: CheckedDocument,
) -> CommandResult:
    """Waits until every node reports the version, or time is up."""
    version = configuration.version
    accepted = (
        f"accepted as version {version}, change {configuration.change_id}"
    )
    addresses = context.node_addresses()
    if isinstance(addresses, Err):
        lines = [accepted, f"nodes not known: {addresses.err_value}"]
        lines.append("  next: run mulberryctl status until all report it")
        value = {"version": version, "nodes": [], "in_force": False}
        return CommandResult(ExitCode.NOT_EVERYWHERE, value, lines)
    answers = _poll(context, version, addresses.ok_value)
    missing = [answer for answer in answers if not _runs(answer, version)]
    value = {
        "version": version,
        "change_id": configuration.change_id,
        "in_force": bool(answers) and not missing,
        "nodes": [_node_value(answer) for answer in answers],
        "warnings": [warning._asdict() for warning in checked.warnings],
    }
    lines = [accepted, *warning_lines(checked)]
    lines += [_node_line(answer, version) for answer in answers]
    if value["in_force"]:
        lines.append(f"in force on all {len(answers)} nodes asked")
        return CommandResult(ExitCode.OK, value, lines)
    lines.append(
        f"in force on {len(answers) - len(missing)} of {len(answers)} nodes; "
        "it stays accepted and the others take it when they can"
    )
    lines.append("  next: run mulberryctl status until all report it")
    return CommandResult(ExitCode.NOT_EVERYWHERE, value, lines)


def _poll(
    context: Context, version: int, addresses: list[Address]
) -> list[NodeAnswer]:
    end_s = time.monotonic() + context.arguments.wait_s
    latest = {answer.address: answer for answer in context.statuses(addresses)}
    while time.monotonic() < end_s:
        behind = [
            address
            for address in addresses
            if not _runs(latest[address], version)
        ]
        if not behind:
            break
        gevent.sleep(_POLL_INTERVAL_S)
        for answer in context.statuses(behind):
            latest[answer.address] = answer
    return [latest[address] for address in addresses]


def _runs(answer: NodeAnswer, version: int) -> bool:
    return (
        answer.report is not None and answer.report["config_version"] >= version
    )


def _node_value(answer: NodeAnswer) -> dict[str, object]:
    report = answer.report
    return {
        "address": str(answer.address),
        "vm_id": report["vm_id"] if report else None,
        "program": report["program"] if report else None,
        "config_version": report["config_version"] if report else None,
        "error": answer.error.message if answer.error else None,
    }


def _node_line(answer: NodeAnswer, version: int) -> str:
    report = answer.report
    if report is None:
        return f"  {answer.address}: not reached: {answer.error}"
    name = f"{report['vm_id']} {report['program']} ({answer.address})"
    if _runs(answer, version):
        return f"  {name}: runs version {report['config_version']}"
    return f"  {name}: still runs version {report['config_version']}"

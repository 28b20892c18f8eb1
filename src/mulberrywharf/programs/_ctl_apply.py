"""``mulberryctl apply``: changes the configuration and waits for the nodes."""

import re
import time
import uuid

import gevent
from result import Err, Ok, Result

from mulberrywharf.errors import (
    ChangeReplacedError,
    ConfigConflictError,
    ConfigStoreBehindError,
    MulberryError,
    UsageError,
    WriteOutcomeUnknownError,
)
from mulberrywharf.fleet import Address
from mulberrywharf.operators.client import NodeAnswer
from mulberrywharf.operators.status import StatusReport
from mulberrywharf.platform_service.config_store import ConfigStore
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
    """Puts a document in force and waits until all nodes run it."""
    checked = load_and_check(context)
    if isinstance(checked, Err):
        return fault_result(checked.err_value)
    base = _base_version(context, checked.ok_value)
    if isinstance(base, Err):
        return error_result(base.err_value)
    change_id = context.arguments.change_id or str(uuid.uuid4())
    changed = _apply_change(context, checked.ok_value, base.ok_value, change_id)
    if isinstance(changed, Err):
        return _failure_result(changed.err_value, change_id)
    return _wait_until_in_force(context, changed.ok_value, checked.ok_value)


def _base_version(
    context: Context, checked: CheckedDocument
) -> Result[int, UsageError]:
    # Using the current version as base instead would hide a conflict: rules
    # saved an hour ago would overwrite what another shift applied since.
    if context.arguments.base_version is not None:
        return Ok(context.arguments.base_version)
    found = _BASE_VERSION.search(checked.text)
    if found is not None:
        return Ok(int(found.group(1)))
    return Err(
        UsageError(
            "the base version of the document is not given",
            advice="Keep the '// base-version: N' line that show writes, or "
            "pass --base-version; 0 if there is no configuration yet.",
        )
    )


def _apply_change(
    context: Context,
    checked: CheckedDocument,
    base_version: int,
    change_id: str,
) -> Result[Configuration, MulberryError]:
    store = context.config_store()
    if isinstance(store, Err):
        return store
    # A key-value service restored from a backup may hold an older version
    # than the nodes run. A change accepted there would get a version number
    # that the nodes already have, and no node would ever apply it.
    seen = [report["config_version"] for report in _reachable_reports(context)]
    return store.ok_value.change(
        checked.document,
        author=context.arguments.author,
        note=context.arguments.note,
        change_id=change_id,
        expected_version=base_version,
        seen_version=max(seen, default=0),
    )


def _reachable_reports(context: Context) -> list[StatusReport]:
    addresses = context.node_addresses()
    if isinstance(addresses, Err):
        return []
    return reports(context.statuses(addresses.ok_value))


def _failure_result(error: MulberryError, change_id: str) -> CommandResult:
    if isinstance(error, WriteOutcomeUnknownError):
        error.advice = (
            f"Run the same command again with --change-id {change_id}; it "
            "is never applied twice."
        )
    result = error_result(error)
    if not isinstance(error, ConfigConflictError):
        return result
    lines = [*result.lines, "  nothing of your change was applied"]
    lines.append("changed by other operators since your base version:")
    lines += [f"  {x}" for entry in error.others for x in entry_lines(entry)]
    lines.append("your document compared with the version in force:")
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


def _wait_until_in_force(
    context: Context,
    configuration: Configuration,
    checked: CheckedDocument,
) -> CommandResult:
    """Waits until every node reports the version or the time is up.

    A node's version shows that the change is in force only if the key-value
    service still holds the change; see ``_is_kept``.
    """
    version = configuration.version
    accepted = (
        f"accepted as version {version}, change {configuration.change_id}"
    )
    addresses = context.node_addresses()
    if isinstance(addresses, Err):
        lines = [
            accepted,
            f"the nodes to wait for are not known: {addresses.err_value}",
        ]
        lines.append("  next: run mulberryctl status until all report it")
        value = {"version": version, "nodes": [], "in_force": False}
        return CommandResult(ExitCode.INCOMPLETE, value, lines)
    end_s = time.monotonic() + context.arguments.wait_s
    answers = _poll_until_in_force(context, version, addresses.ok_value, end_s)
    missing = [
        answer for answer in answers if not _has_version(answer, version)
    ]
    confirmed = _is_kept(context, configuration, answers, end_s)
    value = {
        "version": version,
        "change_id": configuration.change_id,
        "in_force": bool(answers) and not missing and isinstance(confirmed, Ok),
        "nodes": [_node_value(answer) for answer in answers],
        "warnings": [warning._asdict() for warning in checked.warnings],
    }
    lines = [accepted, *warning_lines(checked)]
    lines += [_node_line(answer, version) for answer in answers]
    if isinstance(confirmed, Err):
        return _unconfirmed_result(confirmed.err_value, value, lines)
    if value["in_force"]:
        lines.append(f"in force on all {len(answers)} nodes asked")
        return CommandResult(ExitCode.OK, value, lines)
    lines.append(
        f"in force on {len(answers) - len(missing)} of {len(answers)} nodes; "
        "the change stays accepted, and the other nodes apply it once they "
        "receive it"
    )
    lines.append("  next: run mulberryctl status until all report it")
    return CommandResult(ExitCode.INCOMPLETE, value, lines)


def _is_kept(
    context: Context,
    accepted: Configuration,
    answers: list[NodeAnswer],
    end_s: float,
) -> Result[None, MulberryError]:
    """Confirms that the key-value service still holds the change.

    If the service had lost data when it accepted the change, a node puts the
    newer configuration back and the change is replaced. The nodes then report
    a higher version, and without this check the operator would read "in force
    on all nodes" for a change that no node ever ran. While the service holds
    an older version than a node, its configuration is about to be replaced, so
    this waits.

    Args:
        context: Context of this run.
        accepted: The configuration that the service accepted.
        answers: The latest answer of each node.
        end_s: When to stop waiting, on the monotonic clock.

    Returns:
        Ok if the service holds the change; ``ChangeReplacedError`` if it was
        replaced; another error if neither could be determined in time.
    """
    store = context.config_store()
    if isinstance(store, Err):
        return store
    reported = [
        answer.report["config_version"] for answer in answers if answer.report
    ]
    newest_version = max([accepted.version, *reported])
    while True:
        found = _check_still_stored(store.ok_value, accepted, newest_version)
        is_final = isinstance(found, Ok) or isinstance(
            found.err_value, ChangeReplacedError
        )
        if is_final or time.monotonic() >= end_s:
            return found
        gevent.sleep(_POLL_INTERVAL_S)


def _check_still_stored(
    store: ConfigStore, accepted: Configuration, newest_version: int
) -> Result[None, MulberryError]:
    read = store.read()
    if isinstance(read, Err):
        return read
    held_version = read.ok_value.version if read.ok_value else 0
    if held_version < newest_version:
        return Err(
            ConfigStoreBehindError(
                held_version=held_version, seen_version=newest_version
            )
        )
    holds = store.includes(accepted)
    if isinstance(holds, Err):
        return holds
    if holds.ok_value:
        return Ok(None)
    return Err(
        ChangeReplacedError(
            change_id=accepted.change_id,
            version=accepted.version,
            held_version=held_version,
        )
    )


def _unconfirmed_result(
    error: MulberryError, value: dict[str, object], lines: list[str]
) -> CommandResult:
    """Reports that an accepted change was replaced, or may have been."""
    failure = error_result(error)
    assert isinstance(failure.value, dict)
    value = {**value, **failure.value}
    if isinstance(error, ChangeReplacedError):
        lines = [*lines, *failure.lines]
        return CommandResult(ExitCode.CONFLICT, value, lines)
    lines = [
        *lines,
        "could not confirm that the key-value service still holds the change",
    ]
    lines += failure.lines
    return CommandResult(ExitCode.INCOMPLETE, value, lines)


def _poll_until_in_force(
    context: Context, version: int, addresses: list[Address], end_s: float
) -> list[NodeAnswer]:
    latest = {answer.address: answer for answer in context.statuses(addresses)}
    while time.monotonic() < end_s:
        behind = [
            address
            for address in addresses
            if not _has_version(latest[address], version)
        ]
        if not behind:
            break
        gevent.sleep(_POLL_INTERVAL_S)
        for answer in context.statuses(behind):
            latest[answer.address] = answer
    return [latest[address] for address in addresses]


def _has_version(answer: NodeAnswer, version: int) -> bool:
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
    if _has_version(answer, version):
        return f"  {name}: runs version {report['config_version']}"
    return f"  {name}: still runs version {report['config_version']}"

"""``mulberryctl show`` and ``history``: the rules and their past changes."""

import json
from collections.abc import Sequence
from datetime import UTC, datetime

from result import Err

from mulberrywharf.errors import MulberryError, OperatorError
from mulberrywharf.platform_service.configuration import Configuration
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_result import CommandResult, ExitCode
from mulberrywharf.programs._ctl_result import error_result as _error_result
from mulberrywharf.rules.audit_trail import AuditEntry, DiffLine


def run_show(context: Context) -> CommandResult:
    """Prints the rules in force, in the form that ``apply`` accepts."""
    found = _configuration(context)
    if isinstance(found, CommandResult):
        return found
    lines = [
        f"// base-version: {found.version}",
        f"// changed {time_text(found.changed_unix_s)} by {found.author}",
        json.dumps(found.document, indent=2),
    ]
    value = {
        "version": found.version,
        "change_id": found.change_id,
        "author": found.author,
        "changed_unix_s": found.changed_unix_s,
        "document": found.document,
    }
    return CommandResult(ExitCode.OK, value, lines)


def run_history(context: Context) -> CommandResult:
    """Lists the latest changes, newest first."""
    found = _configuration(context)
    if isinstance(found, CommandResult):
        return found
    entries = list(reversed(found.audit))[: context.arguments.count]
    lines = [line for entry in entries for line in entry_lines(entry)]
    return CommandResult(ExitCode.OK, {"changes": entries}, lines)


def entry_lines(entry: AuditEntry) -> list[str]:
    """Formats one change of the configuration."""
    lines = [
        f"version {entry['version']}  {time_text(entry['changed_unix_s'])}  "
        f"{entry['author']}: {entry['note']}  (change {entry['change_id']})"
    ]
    return lines + diff_lines(entry["diff"])


def diff_lines(changes: Sequence[DiffLine]) -> list[str]:
    """Formats each changed value, with its path in the document."""
    return [
        f"  {change['path']}: {change['before'] or 'none'} -> "
        f"{change['after'] or 'none'}"
        for change in changes
    ]


def time_text(unix_s: float) -> str:
    """Formats a time in UTC, so that all shifts read the same."""
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _configuration(context: Context) -> Configuration | CommandResult:
    found = context.configuration()
    if isinstance(found, Err):
        return _error_result(found.err_value)
    if found.ok_value is None:
        return _error_result(no_configuration())
    return found.ok_value


def no_configuration() -> MulberryError:
    """Returns the error for a deployment without applied rules."""
    return OperatorError(
        "no configuration is in force",
        advice="Write a rules document and run: mulberryctl apply FILE "
        "--base-version 0",
    )

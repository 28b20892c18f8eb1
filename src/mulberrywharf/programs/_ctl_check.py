"""``mulberryctl check``: faults and doubtful rules of a document."""

from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf.errors import Fault, MulberryError, RulesError
from mulberrywharf.programs._ctl_context import Context, read_document
from mulberrywharf.programs._ctl_result import (
    CommandResult,
    ExitCode,
    error_result,
)
from mulberrywharf.rules import Document, check


class CheckedDocument(NamedTuple):
    """A document that may be applied.

    Attributes:
        text: As the operator wrote it.
        document: What it says.
        warnings: What is doubtful in it.
        notes: What could not be checked, and why.
    """

    text: str
    document: Document
    warnings: list[Fault]
    notes: list[str]


def load_and_check(
    context: Context,
) -> Result[CheckedDocument, MulberryError]:
    """Reads the file of the command line and checks it in full."""
    path = context.arguments.file
    read = read_document(path)
    if isinstance(read, Err):
        return read
    text, document = read.ok_value
    size, notes = None, []
    if context.arguments.vm_list or context.arguments.platform:
        found = context.fleet_size()
        if isinstance(found, Ok):
            size = found.ok_value
        else:
            notes.append(f"not checked against the fleet: {found.err_value}")
    warnings = check(document, size)
    if warnings and context.arguments.strict:
        return Err(RulesError(path, warnings))
    return Ok(CheckedDocument(text, document, warnings, notes))


def run(context: Context) -> CommandResult:
    """Checks a document."""
    checked = load_and_check(context)
    if isinstance(checked, Err):
        return fault_result(checked.err_value)
    found = checked.ok_value
    value = {
        "faults": [],
        "warnings": [warning._asdict() for warning in found.warnings],
        "notes": found.notes,
    }
    lines = [
        f"{context.arguments.file}: {len(found.document['rules'])} rules, "
        f"no fault, {len(found.warnings)} warnings",
        *warning_lines(found),
    ]
    return CommandResult(ExitCode.OK, value, lines)


def warning_lines(checked: CheckedDocument) -> list[str]:
    """Lists warnings and notes for an operator."""
    lines = [
        f"warning: {path}: {message}\n  next: {advice}"
        for path, message, advice in checked.warnings
    ]
    return lines + [f"note: {note}" for note in checked.notes]


def fault_result(error: MulberryError) -> CommandResult:
    """Lists the faults of a document, or says what else failed."""
    result = error_result(error)
    if not isinstance(error, RulesError):
        return result
    faults = [fault._asdict() for fault in error.faults]
    return result._replace(value={"faults": faults})

"""``mulberryctl check``: lists faults and warnings in a document."""

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
    """A document without faults.

    Attributes:
        text: The text of the file.
        document: The parsed document.
        warnings: Findings that do not make the document invalid.
        notes: Checks that were not possible, with the reason.
    """

    text: str
    document: Document
    warnings: list[Fault]
    notes: list[str]


def load_and_check(
    context: Context,
) -> Result[CheckedDocument, MulberryError]:
    """Reads the file given on the command line and runs all checks."""
    path = context.arguments.file
    read = read_document(path)
    if isinstance(read, Err):
        return read
    text, document = read.ok_value
    fleet_size, notes = None, []
    if context.arguments.vm_list or context.arguments.platform:
        found = context.fleet_size()
        if isinstance(found, Ok):
            fleet_size = found.ok_value
        else:
            notes.append(f"not checked against the fleet: {found.err_value}")
    warnings = check(document, fleet_size)
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
    """Formats the warnings and notes for an operator."""
    lines = [
        f"warning: {path}: {message}\n  next: {advice}"
        for path, message, advice in checked.warnings
    ]
    return lines + [f"note: {note}" for note in checked.notes]


def fault_result(error: MulberryError) -> CommandResult:
    """Builds the result of a failure, with all faults of a document."""
    result = error_result(error)
    if not isinstance(error, RulesError):
        return result
    faults = [fault._asdict() for fault in error.faults]
    return result._replace(value={"faults": faults})

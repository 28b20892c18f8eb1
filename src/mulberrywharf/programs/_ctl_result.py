"""Results and exit codes of the commands of mulberryctl."""

import json
from enum import IntEnum
from functools import singledispatch
from typing import NamedTuple, TextIO

from mulberrywharf import errors


class ExitCode(IntEnum):
    """Exit codes of mulberryctl, documented in docs/operators/mulberryctl.md.

    Scripts rely on the numbers.

    Attributes:
        OK: The command succeeded.
        FAULTS: The document has faults, or with ``--strict`` warnings.
        USAGE: The command line is invalid, or the change id belongs to
            another document.
        CONFLICT: Another change came first, or replaced this one.
        UNAVAILABLE: The platform or the nodes cannot be reached; also for
            failures without an exit code of their own.
        INCOMPLETE: The change is not known to be in force on all nodes, or
            part of the state could not be read.
        NOT_AUTHORISED: The operator's token is rejected.
    """

    OK = 0
    FAULTS = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    INCOMPLETE = 5
    NOT_AUTHORISED = 6


class CommandResult(NamedTuple):
    """The outcome of a command.

    Attributes:
        exit_code: Exit code of the process.
        value: JSON value that ``--output json`` prints.
        lines: Lines that ``--output text`` prints.
    """

    exit_code: ExitCode
    value: object
    lines: list[str]


def error_result(error: errors.MulberryError) -> CommandResult:
    """Builds the result of a failure, with advice on what to do next."""
    value = {
        "error": {
            "code": error.code,
            "message": error.message,
            "advice": error.advice,
        }
    }
    lines = [f"{error.code}: {error.message}", f"  next: {error.advice}"]
    return CommandResult(exit_code_of(error), value, lines)


@singledispatch
def exit_code_of(error: errors.MulberryError) -> ExitCode:
    """Returns the exit code of a failure."""
    return ExitCode.UNAVAILABLE


@exit_code_of.register
def _(error: errors.DocumentError) -> ExitCode:
    return ExitCode.FAULTS


@exit_code_of.register
def _(error: errors.UsageError) -> ExitCode:
    return ExitCode.USAGE


@exit_code_of.register
def _(error: errors.RevisionConflictError) -> ExitCode:
    return ExitCode.CONFLICT


@exit_code_of.register
def _(error: errors.ConfigConflictError) -> ExitCode:
    return ExitCode.CONFLICT


@exit_code_of.register
def _(error: errors.ChangeIdReusedError) -> ExitCode:
    return ExitCode.USAGE


@exit_code_of.register
def _(error: errors.NotAuthorisedError) -> ExitCode:
    return ExitCode.NOT_AUTHORISED


def write(result: CommandResult, output: str, stream: TextIO) -> None:
    """Prints a result.

    Args:
        result: The outcome of the command.
        output: ``text`` or ``json``.
        stream: Receives the output.
    """
    if output == "json":
        print(json.dumps(result.value, indent=2, sort_keys=True), file=stream)
        return
    for line in result.lines:
        print(line, file=stream)

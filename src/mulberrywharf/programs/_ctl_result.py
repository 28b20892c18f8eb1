"""What a command of mulberryctl returns, and its exit codes."""

import json
from enum import IntEnum
from functools import singledispatch
from typing import NamedTuple, TextIO

from mulberrywharf import errors


class ExitCode(IntEnum):
    """What scripts may rely on; docs/operators/mulberryctl.md lists them."""

    OK = 0
    FAULTS = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_EVERYWHERE = 5
    NOT_AUTHORISED = 6


class CommandResult(NamedTuple):
    """The outcome of a command.

    Attributes:
        exit_code: Of the process.
        value: For ``--output json``; JSON can hold it.
        lines: For ``--output text``.
    """

    exit_code: ExitCode
    value: object
    lines: list[str]


def error_result(error: errors.MulberryError) -> CommandResult:
    """Says what failed and what to do next."""
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
        result: Of the command.
        output: ``text`` or ``json``.
        stream: Where to.
    """
    if output == "json":
        print(json.dumps(result.value, indent=2, sort_keys=True), file=stream)
        return
    for line in result.lines:
        print(line, file=stream)

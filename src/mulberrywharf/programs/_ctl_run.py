"""Runs one command of mulberryctl."""

from collections.abc import Callable, Mapping, Sequence
from typing import TextIO

from mulberrywharf.programs import (
    _ctl_apply,
    _ctl_arguments,
    _ctl_check,
    _ctl_handover,
    _ctl_nodes,
    _ctl_plan,
    _ctl_show,
)
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_result import CommandResult, ExitCode, write

_COMMANDS: Mapping[str, Callable[[Context], CommandResult]] = {
    "check": _ctl_check.run,
    "plan": _ctl_plan.run,
    "apply": _ctl_apply.run,
    "show": _ctl_show.run_show,
    "history": _ctl_show.run_history,
    "explain": _ctl_nodes.run_explain,
    "status": _ctl_nodes.run_status,
    "handover": _ctl_handover.run,
}


def run(arguments: Sequence[str] | None, stdout: TextIO, stderr: TextIO) -> int:
    """Runs one command.

    Args:
        arguments: Arguments after the program name; None for those of this
            process.
        stdout: Receives results.
        stderr: Receives failures if the output format is text.

    Returns:
        The exit code.
    """
    parsed = _ctl_arguments.build_parser().parse_args(arguments)
    context = Context.from_arguments(parsed)
    try:
        result = _COMMANDS[parsed.command](context)
    finally:
        context.close()
    failed = result.exit_code not in (ExitCode.OK, ExitCode.INCOMPLETE)
    as_text = parsed.output == "text"
    # JSON always goes to standard output, so that scripts read only one stream.
    stream = stderr if failed and as_text else stdout
    write(result, parsed.output, stream)
    return int(result.exit_code)

"""Startup steps that the server programs share."""

import argparse
import faulthandler
import os
import sys
from collections.abc import Callable
from typing import Literal, TypeVar

from result import Err, Result

from mulberrywharf import errors, logs, main_stack, settings

_Read = TypeVar("_Read")


def read_settings(
    *,
    prog: str,
    description: str,
    load: Callable[[str], Result[_Read, errors.SettingsError]],
) -> _Read | int:
    """Parses the command line and loads the settings file that it names.

    Prints all faults of the file at once to standard error, so that an operator
    can correct them in one pass.

    Args:
        prog: Name of the program.
        description: Purpose of the program, in one line.
        load: Reads and checks the settings file.

    Returns:
        The settings, or the exit code if the program must not run: 1 if the
        file has faults, 0 if only a check of the file was requested.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument(
        "--settings", required=True, help="settings file, JSON with comments"
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the file, list every fault, and exit",
    )
    arguments = parser.parse_args()
    loaded = load(arguments.settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return 1
    if arguments.check_settings:
        print(f"{arguments.settings}: no faults")
        return 0
    return loaded.ok_value


def run_until_stopped(run: Callable[[], object]) -> int:
    """Runs a program; prints the reason if it cannot listen on a port.

    After a graceful stop, the process ends with exit code 0.

    Args:
        run: Opens the ports, serves, and returns after a graceful stop.

    Returns:
        The exit code 1 if the program could not listen.
    """
    # Writes the stacks to standard error if a library ends the process.
    faulthandler.enable()
    try:
        main_stack.serve(run)
    except errors.ListenError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        print(f"  next: {error.advice}", file=sys.stderr)
        return 1
    sys.stdout.flush()
    sys.stderr.flush()
    # A busy machine takes a second to free what the operating system frees
    # anyway, and the grace period ends.
    os._exit(0)


def configure_logs(
    config: settings.Settings, program: Literal["router", "controller"]
) -> None:
    """Configures the logging of a process from its settings."""
    logs.configure(
        vm_id=config["vm_id"],
        availability_zone=config["availability_zone"],
        program=program,
        level=config.get("log_level", "INFO"),
    )

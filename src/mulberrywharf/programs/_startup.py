"""What the long-running programs do alike before they start to serve."""

import argparse
import sys
from collections.abc import Callable
from typing import Literal, TypeVar

from result import Err, Result

from mulberrywharf import errors, logs, settings

_Read = TypeVar("_Read")


def read_settings(
    *,
    prog: str,
    description: str,
    load: Callable[[str], Result[_Read, errors.SettingsError]],
) -> _Read | int:
    """Parses the command line and loads the settings that it names.

    Faults go to standard error, all at once, so that an operator who corrects
    the file needs one round.

    Args:
        prog: Name of the program.
        description: What it is for, in a line.
        load: Reads and checks the file.

    Returns:
        The settings, or the exit code if the program is not to run: 1 when
        the file has faults, 0 when it was only to be checked.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument("--settings", required=True, help="JSON with comments")
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
    """Runs a program, or says why it cannot listen.

    Args:
        run: Opens the ports, serves, and returns after a graceful stop.

    Returns:
        The exit code: 0 after a graceful stop, 1 when it could not listen.
    """
    try:
        run()
    except errors.ListenError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        print(f"  next: {error.advice}", file=sys.stderr)
        return 1
    return 0


def configure_logs(
    config: settings.Settings, program: Literal["router", "controller"]
) -> None:
    """Sets up the logs of a process as its settings say."""
    logs.configure(
        vm_id=config["vm_id"],
        availability_zone=config["availability_zone"],
        program=program,
        level=config.get("log_level", "INFO"),
    )

"""Processes of two builds: which interpreter runs which, and handovers."""

import sys
from collections.abc import Callable
from typing import Any
from unittest import mock

from tests import cluster

pythons = [sys.executable, sys.executable]
"""Interpreters of this build and of the other one."""


def python_of(name: str) -> str:
    """Returns the interpreter of a process; its name ends with a number."""
    return pythons[int(name.rsplit("-", 1)[1]) % 2]


def patch_python(name: str) -> Any:
    """Makes processes start with the interpreter of the named process."""
    return mock.patch.object(sys, "executable", python_of(name))


def hand_over(
    holder: Callable[[], str],
    stop: Callable[[str], None],
    start: Callable[[str], Any],
) -> tuple[str, str]:
    """Restarts the holder of a lease.

    Args:
        holder: Returns the name of the current holder, or an empty string.
        stop: Stops a process gracefully.
        start: Starts it again.

    Returns:
        The interpreters of this holder and of the next one.
    """
    cluster.wait_until(lambda: holder() != "", "a holder")
    before = holder()
    stop(before)
    cluster.wait_until(lambda: holder() not in ("", before), "the next holder")
    after = holder()
    start(before)
    return python_of(before), python_of(after)


def both_ways() -> set[tuple[str, str]]:
    """Returns the handovers from this build to the other one, and back."""
    this, other = pythons
    return {(this, other), (other, this)}

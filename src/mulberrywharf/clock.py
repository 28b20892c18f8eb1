"""Clocks that can be replaced in tests and benchmarks.

Functions in ``policy`` and ``rules`` read no clock: they take ``now_s`` as an
argument, which their caller reads from a ``Clock``.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Reads time in seconds."""

    def monotonic_s(self) -> float:
        """Returns seconds that never decrease, for ages and deadlines."""
        ...

    def unix_s(self) -> float:
        """Returns Unix time in seconds, for records and logs."""
        ...


class SystemClock:
    """The system's monotonic clock and wall clock."""

    def monotonic_s(self) -> float:
        """Returns the monotonic clock in seconds."""
        return time.monotonic()

    def unix_s(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()


class BootClock(SystemClock):
    """A clock that keeps counting while the machine is suspended.

    The monotonic clock stops during suspension. After the machine resumes, a
    lease timed by it would look valid although another process may hold it.
    """

    def monotonic_s(self) -> float:
        """Returns the seconds since boot, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

"""The clocks that a process reads, passed in so that decisions never do.

Decisions in ``policy`` and ``rules`` take ``now_s`` as an argument. Whoever
calls them reads it from a ``Clock``; a test or bench passes one of its own.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Reads time in seconds."""

    def monotonic_s(self) -> float:
        """Returns seconds that never go back, for ages and deadlines."""
        ...

    def unix_s(self) -> float:
        """Returns wall-clock seconds since 1970, for records and logs."""
        ...


class SystemClock:
    """The machine's clocks."""

    def monotonic_s(self) -> float:
        """Returns the monotonic clock in seconds."""
        return time.monotonic()

    def unix_s(self) -> float:
        """Returns the wall clock in seconds since 1970."""
        return time.time()


class BootClock(SystemClock):
    """Counts also the time for which the whole machine was frozen.

    The monotonic clock stands still meanwhile: a lease measured by it would
    look valid on waking although another process has it by then.
    """

    def monotonic_s(self) -> float:
        """Returns the seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Measures how late the event loop runs its tasks."""

import time

import gevent

INTERVAL_S = 0.02
WEIGHT = 0.2
"""Weight of one measurement in the average, which covers some 0.1 s."""


class LoopLag:
    """The average lateness of a timer, while it is being measured."""

    def __init__(self) -> None:
        self._task: gevent.Greenlet | None = None
        self._average_s = 0.0

    @property
    def average_s(self) -> float:
        """Average lateness in seconds; 0 while it is not measured."""
        return self._average_s

    def start(self) -> None:
        """Begins to measure; does nothing if it is measured already."""
        if self._task is None:
            self._task = gevent.spawn(self._measure)

    def close(self) -> None:
        """Stops measuring."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = None
        self._average_s = 0.0

    def _measure(self) -> None:
        while True:
            began_s = time.monotonic()
            gevent.sleep(INTERVAL_S)
            late_s = time.monotonic() - began_s - INTERVAL_S
            self._average_s += WEIGHT * (max(0.0, late_s) - self._average_s)

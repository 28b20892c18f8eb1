"""Measures how late the event loop runs its tasks."""

import time
from collections.abc import Callable

import gevent

from mulberrywharf import supervised_task

INTERVAL_S = 0.02
WEIGHT = 0.2
"""Weight of one measurement in the average, which covers some 0.1 s."""


class LoopLag:
    """The average lateness of a timer, while it is being measured."""

    def __init__(
        self,
        on_measured: Callable[[float], None] = lambda _: None,
        *,
        waits_for_tasks: bool = False,
    ) -> None:
        """Creates it; measures nothing before ``start``.

        Args:
            on_measured: Called with each lateness in seconds.
            waits_for_tasks: Whether to include the time of all tasks that can
                run; timers overtake these.
        """
        self._on_measured = on_measured
        self._waits_for_tasks = waits_for_tasks
        self._task: gevent.Greenlet | None = None
        self._average_s = 0.0
        self._began_s: float | None = None

    @property
    def waiting_s(self) -> float:
        """How late the measurement in progress is by now."""
        if self._began_s is None:
            return 0.0
        return max(0.0, time.monotonic() - self._began_s - INTERVAL_S)

    @property
    def average_s(self) -> float:
        """Average lateness in seconds; 0 while it is not measured."""
        return self._average_s

    def start(self) -> None:
        """Begins to measure; does nothing if it is measured already."""
        if self._task is None:
            self._task = supervised_task.spawn("loop-lag", self._measure)

    def close(self) -> None:
        """Stops measuring."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = self._began_s = None
        self._average_s = 0.0

    def _measure(self) -> None:
        while True:
            began_s = self._began_s = time.monotonic()
            gevent.sleep(INTERVAL_S)
            if self._waits_for_tasks:
                gevent.sleep(0)
            late_s = max(0.0, time.monotonic() - began_s - INTERVAL_S)
            self._average_s += WEIGHT * (late_s - self._average_s)
            self._on_measured(late_s)

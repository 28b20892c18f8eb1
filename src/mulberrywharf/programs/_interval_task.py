"""Runs the same steps at intervals in a greenlet."""

from collections.abc import Callable, Sequence

import gevent
from loguru import logger


class IntervalTask:
    """Calls its steps in order, pauses, and repeats until closed."""

    def __init__(
        self,
        steps: Sequence[Callable[[], None]],
        *,
        interval_s: float,
        failure_message: str,
    ):
        """Creates the task; ``start`` runs it.

        Args:
            steps: Functions to call in this order, all of them in each round.
            interval_s: Pause between the end of a round and the next one.
            failure_message: Log message if a step raises an exception.
        """
        self._steps = tuple(steps)
        self._interval_s = interval_s
        self._failure_message = failure_message
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the first round."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stops the task, even in the middle of a step."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            for step in self._steps:
                self._run_step(step)
            gevent.sleep(self._interval_s)

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            # An exception would end the greenlet. The process would keep using
            # old loads, limits or rates forever, and only their age in the
            # metrics would show it. The next round tries again.
            logger.exception(self._failure_message)

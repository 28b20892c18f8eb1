"""A greenlet that does the same work at intervals."""

from collections.abc import Callable, Sequence

import gevent
from loguru import logger


class IntervalTask:
    """Calls its steps one after the other, then pauses, until closed."""

    def __init__(
        self,
        steps: Sequence[Callable[[], None]],
        *,
        interval_s: float,
        failure_message: str,
    ):
        """Prepares the task; nothing runs before ``start``.

        Args:
            steps: Called in this order, each time all of them.
            interval_s: Pause between the end of one round and the next.
            failure_message: What the log says of a step that raises.
        """
        self._steps = tuple(steps)
        self._interval_s = interval_s
        self._failure_message = failure_message
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins the first round."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Ends it, also in the middle of a step."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            for step in self._steps:
                self._attempt(step)
            gevent.sleep(self._interval_s)

    def _attempt(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            # An exception would end the greenlet, and this process would go
            # on with old loads, limits or rates for good; nothing but their
            # age in the metrics would show it. The next round tries again.
            logger.exception(self._failure_message)

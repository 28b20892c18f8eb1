"""Counts background tasks, so that a planned stop can wait for them."""

from collections.abc import Callable
from typing import Any

import gevent
import gevent.event


class InFlight:
    """Background tasks that run beside or after the answer to a caller.

    Requests are not included: the callers' listener counts them. It does not
    see tasks such as the recording of an answer under its claim. A stop that
    did not wait for them would leave claims with an unknown outcome.
    """

    def __init__(self) -> None:
        self._count = 0
        self._idle = gevent.event.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of running tasks."""
        return self._count

    def spawn(self, work: Callable[..., object], *arguments: Any) -> None:
        """Runs ``work`` as a task in a new greenlet."""
        self._count += 1
        self._idle.clear()
        gevent.spawn(self._run, work, arguments)

    def wait_idle(self) -> None:
        """Waits, without a time limit, until no task is running."""
        self._idle.wait()

    def _run(
        self, work: Callable[..., object], arguments: tuple[Any, ...]
    ) -> None:
        try:
            work(*arguments)
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

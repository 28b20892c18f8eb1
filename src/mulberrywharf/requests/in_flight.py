"""Counts what is under way, so that a planned stop can wait for its end."""

from collections.abc import Callable
from typing import Any

import gevent
import gevent.event


class InFlight:
    """Work that goes on after, or beside, the answer to a caller.

    The callers' listener counts the requests themselves. What is counted here
    is unseen by it, such as the recording of an answer under its claim; a
    stop that did not wait for it would leave claims of unknown outcome.
    """

    def __init__(self) -> None:
        self._count = 0
        self._idle = gevent.event.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Pieces of work under way."""
        return self._count

    def spawn(self, work: Callable[..., object], *arguments: Any) -> None:
        """Runs ``work`` in a greenlet of its own and counts it."""
        self._count += 1
        self._idle.clear()
        gevent.spawn(self._run, work, arguments)

    def wait_idle(self) -> None:
        """Returns once nothing is under way, however long that takes."""
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

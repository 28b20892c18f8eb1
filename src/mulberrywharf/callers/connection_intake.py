"""Closes new connections unread while the process cannot keep up.

A caller whose connection is closed before its request was read knows that
nothing ran, and retries at once, usually at another gateway.
"""

import time
from typing import Any

from loguru import logger

from mulberrywharf import _connections, _loop_lag, metrics
from mulberrywharf.policy import connection_admission

_closed_total = metrics.counter(
    "mulberry_connections_closed_unread_total",
    "New connections that were closed unread as the process could not keep up.",
)
_lag_gauge = metrics.gauge(
    "mulberry_event_loop_lag_seconds",
    "How long a task last waited for the event loop.",
)
_rate_gauge = metrics.gauge(
    "mulberry_connections_read_limit_per_second",
    "New connections that are read a second, 0 without a limit.",
)


class ConnectionIntake:
    """Decides on each accepted connection; measures the event loop for that."""

    def __init__(self) -> None:
        self._admission = connection_admission.ConnectionAdmission(
            time.monotonic()
        )
        self._closed_count = 0
        self._lag = _loop_lag.LoopLag(self._note_lag, waits_for_tasks=True)

    def start(self) -> None:
        """Begins to measure the event loop."""
        self._lag.start()

    def close(self) -> None:
        """Stops measuring."""
        self._lag.close()

    def takes(self, sock: Any) -> bool:
        """Returns whether a connection is to be served; closes it otherwise.

        Args:
            sock: Socket of the accepted connection.
        """
        now_s = time.monotonic()
        self._note_waiting(now_s)
        if self._admission.admits(now_s):
            return True
        self._closed_count += 1
        _closed_total.inc({})
        try:
            # A reset leaves no state of the connection behind.
            _connections.reset_on_close(sock)
        except OSError as error:
            logger.debug("a caller closed its connection before: {}", error)
        sock.close()
        return False

    def _note_waiting(self, now_s: float) -> None:
        waited_s = self._lag.waiting_s
        was_limited = self._admission.rate_per_s is not None
        self._admission.note_waiting(waited_s, now_s)
        if not was_limited:
            self._note_rate(waited_s, was_limited=False)

    def _note_lag(self, lag_s: float) -> None:
        was_limited = self._admission.rate_per_s is not None
        self._admission.note_lag(lag_s, time.monotonic())
        _lag_gauge.set({}, lag_s)
        self._note_rate(lag_s, was_limited=was_limited)

    def _note_rate(self, lag_s: float, *, was_limited: bool) -> None:
        rate_per_s = self._admission.rate_per_s
        _rate_gauge.set({}, rate_per_s or 0.0)
        if was_limited == (rate_per_s is not None):
            return
        if rate_per_s is not None:
            logger.bind(
                rate_per_s=round(rate_per_s, 1), lag_s=round(lag_s, 3)
            ).warning("new connections are closed unread: too many come")
        else:
            logger.bind(closed_count=self._closed_count).info(
                "all new connections are read again"
            )
            self._closed_count = 0

"""Decides how many new connections a gateway reads while it cannot keep up.

The load that this answers: most new connections of a zone come to one gateway,
several times as many as its processor can serve, while the other gateways are
idle. Each connection that is read makes all others wait longer, until every
caller is answered too late. One that is closed before anything is read costs
its caller a few milliseconds, because the retry meets another gateway.

The measure is the lag of the event loop: how long a task that could run waits
for the tasks before it. The rate of connections that are read is decreased
while the lag stays above a target, and increased slowly while it is below. That
begins only if far more connections come than usually: a gateway that is slow
for another reason keeps its callers.
"""

import math

LAG_TARGET_S = 0.05
"""A request passes the event loop some ten times, so that its answer takes half
a second at this lag."""

WINDOW_S = 0.1
"""Interval of changes of the rate. The least lag in it counts: a single long
task or a pause of the process is no overload."""

OVERLOADED_WINDOWS_COUNT = 2
"""Connections are turned away only after this many windows above the target."""

LATE_S = 0.25
"""While a task has waited this long under a limit, only as many connections are
read as usually come: each waits behind all that were read before it."""

START_S = 3.0
"""No connection is turned away for this long after the start, when caches are
filled and connections to all servers are opened."""

SURGE_RATIO = 2.0
SURGE_LEAST_PER_S = 50.0
"""Connections are turned away only if this many times the usual number comes,
and at least ``SURGE_LEAST_PER_S``."""

USUAL_S = 20.0
"""Time constant of the average of the usual rate."""

RELEASE_S = 2.0
"""The rate is no longer limited once the lag was below the target and fewer
connections came than it permits for this long."""

_DECREASE_FACTOR = 0.85
_LATE_FACTOR = 0.7
_FALLING_FACTOR = 0.95
_INCREASE_SHARE = 0.03
_INCREASE_PER_S = 5.0
_LEAST_RATE_PER_S = 20.0
_BURST_S = 0.1
_RELEASE_SHARE = 0.9


class ConnectionAdmission:
    """Limits the rate at which new connections are read, if there are too many.

    Attributes:
        rate_per_s: Connections that are read a second; None without a limit.
    """

    def __init__(self, now_s: float):
        """Creates it without a limit.

        Args:
            now_s: Monotonic time of the start.
        """
        self.rate_per_s: float | None = None
        self._start_s = now_s
        self._window_s = now_s
        self._least_lag_s = float("inf")
        self._window_lag_s = 0.0
        self._offered_count = 0
        self._admitted_count = 0
        self._overloaded_count = 0
        self._waited_s = 0.0
        self._was_late = False
        self._permits = 0.0
        self._refilled_s = now_s
        self._calm_since_s = now_s
        self._usual_per_s = 0.0

    def admits(self, now_s: float) -> bool:
        """Returns whether a new connection is to be read.

        Args:
            now_s: Monotonic time at which it was accepted.
        """
        self._offered_count += 1
        if self.rate_per_s is not None:
            rate_per_s = self.rate_per_s
            if self._waited_s > LATE_S:
                self._was_late = True
                usual_per_s = max(_LEAST_RATE_PER_S, self._usual_per_s)
                rate_per_s = min(rate_per_s, usual_per_s)
            limit = max(1.0, rate_per_s * _BURST_S)
            passed_s = now_s - self._refilled_s
            self._permits = min(limit, self._permits + passed_s * rate_per_s)
            self._refilled_s = now_s
            if self._permits < 1.0:
                return False
            self._permits -= 1.0
        self._admitted_count += 1
        return True

    def note_waiting(self, waited_s: float, now_s: float) -> None:
        """Records how long a task has waited so far.

        A limit that began when the wait is over would begin seconds too late.

        Args:
            waited_s: The time that it has waited; it may wait much longer.
            now_s: Monotonic time.
        """
        self._waited_s = waited_s
        if (
            self.rate_per_s is None
            and waited_s >= WINDOW_S
            and now_s - self._window_s >= WINDOW_S
        ):
            self._note_lag(waited_s, now_s)

    def note_lag(self, lag_s: float, now_s: float) -> None:
        """Records how long a task waited for the event loop.

        Args:
            lag_s: The waiting time.
            now_s: Monotonic time.
        """
        self._waited_s = 0.0
        self._note_lag(lag_s, now_s)

    def _note_lag(self, lag_s: float, now_s: float) -> None:
        self._least_lag_s = min(self._least_lag_s, lag_s)
        passed_s = now_s - self._window_s
        if passed_s < WINDOW_S:
            return
        offered_per_s = self._offered_count / passed_s
        admitted_per_s = self._admitted_count / passed_s
        lag_s, self._least_lag_s = self._least_lag_s, float("inf")
        earlier_lag_s, self._window_lag_s = self._window_lag_s, lag_s
        is_overloaded = lag_s > LAG_TARGET_S
        self._window_s = now_s
        self._offered_count = self._admitted_count = 0
        was_late, self._was_late = self._was_late, False
        is_surge = offered_per_s >= max(
            SURGE_LEAST_PER_S, SURGE_RATIO * self._usual_per_s
        )
        if self.rate_per_s is None and not (is_overloaded and is_surge):
            self._note_usual(offered_per_s, passed_s, now_s)
        if now_s - self._start_s < START_S:
            return
        if self.rate_per_s is None and not is_surge:
            self._overloaded_count = 0
        elif is_overloaded:
            self._overloaded_count += 1
            self._calm_since_s = now_s
            if was_late and self.rate_per_s is not None:
                # What was read tells nothing of what could be served.
                self._decrease(self.rate_per_s * _LATE_FACTOR, now_s)
            elif lag_s > earlier_lag_s * _FALLING_FACTOR:
                growth = max(0.0, lag_s - earlier_lag_s) / passed_s
                self._decrease(admitted_per_s / (1.0 + growth), now_s)
        else:
            self._overloaded_count = 0
            self._increase(passed_s, offered_per_s, now_s)

    def _note_usual(
        self, offered_per_s: float, passed_s: float, now_s: float
    ) -> None:
        # Right after the start the average covers the time since then.
        span_s = min(USUAL_S, max(passed_s, now_s - self._start_s))
        weight = 1.0 - math.exp(-passed_s / span_s)
        self._usual_per_s += weight * (offered_per_s - self._usual_per_s)

    def _decrease(self, served_per_s: float, now_s: float) -> None:
        """Permits fewer connections than the process can serve.

        Args:
            served_per_s: Connections that it serves a second. In a second in
                which the lag grows by one, it serves half of them.
            now_s: Monotonic time.
        """
        rate_per_s = served_per_s * _DECREASE_FACTOR
        if self.rate_per_s is not None:
            rate_per_s = min(rate_per_s, self.rate_per_s * _DECREASE_FACTOR)
        elif self._overloaded_count < OVERLOADED_WINDOWS_COUNT:
            return
        else:
            self._refilled_s = now_s
        self.rate_per_s = max(_LEAST_RATE_PER_S, rate_per_s)

    def _increase(
        self, passed_s: float, offered_per_s: float, now_s: float
    ) -> None:
        if self.rate_per_s is None:
            return
        if offered_per_s > self.rate_per_s * _RELEASE_SHARE:
            self._calm_since_s = now_s
        if now_s - self._calm_since_s >= RELEASE_S:
            self.rate_per_s = None
            return
        share = _INCREASE_SHARE * passed_s / WINDOW_S
        self.rate_per_s *= 1.0 + share
        self.rate_per_s += _INCREASE_PER_S * passed_s

"""Deadline of a request, and the part of its time that a server may use."""

from mulberrywharf import clock
from mulberrywharf.forwarding import request
from mulberrywharf.routes import table

TRANSIT_S = 0.01
"""Subtracted from the time that a server is given, so that its answer can still
reach the caller in time if the server stops at its limit."""

WAIT_MARGIN_S = 0.25
"""Single waits for a server end this long after the request's deadline. So the
timeout of the whole request fires first, and the caller is told that time ran
out instead of that the server broke off its answer."""

_MIN_TIME_LEFT_S = 0.001


class TimeLimit:
    """The deadline by which a caller must have its complete answer."""

    def __init__(self, ends_s: float, system_clock: clock.Clock):
        self._ends_s = ends_s
        self._clock = system_clock

    @classmethod
    def of(
        cls,
        routed_request: request.RoutedRequest,
        route: table.Route,
        system_clock: clock.Clock,
    ) -> "TimeLimit":
        """Returns the earlier of the caller's and the route's deadline."""
        ends_s = min(
            routed_request.deadline_s,
            routed_request.arrived_s + route.timeout_s,
        )
        return cls(ends_s, system_clock)

    def ending_by(self, ends_s: float) -> "TimeLimit":
        """Returns a limit that ends at a monotonic time at the latest."""
        return TimeLimit(min(self._ends_s, ends_s), self._clock)

    @property
    def is_over(self) -> bool:
        """Whether the deadline has passed."""
        return self._clock.monotonic_s() >= self._ends_s

    def left_s(self) -> float:
        """Returns the time left in seconds, at least 1 ms."""
        return max(_MIN_TIME_LEFT_S, self._ends_s - self._clock.monotonic_s())

    def wait_s(self) -> float:
        """Returns the maximum length of a single wait for a server."""
        return self.left_s() + WAIT_MARGIN_S

    def for_server_s(self) -> float:
        """Returns the time in seconds that a server may use, at least 1 ms."""
        return max(_MIN_TIME_LEFT_S, self.left_s() - TRANSIT_S)

"""How long a request may take, and how much of that a server is given."""

from mulberrywharf import clock
from mulberrywharf.forwarding import request
from mulberrywharf.routes import table

TRANSIT_S = 0.01
"""Kept back from what a server is given, for its answer's way to the caller;
a server that stops at its limit then still lets its caller know in time."""

WAIT_MARGIN_S = 0.25
"""Single waits end this long after the request itself. The bound on the whole
request then ends it, and its caller is told that time ran out instead of that
a server broke off."""

_LEAST_S = 0.001


class TimeLimit:
    """The instant at which a caller must have its final answer."""

    def __init__(self, ends_s: float, system_clock: clock.Clock):
        self._ends_s = ends_s
        self._clock = system_clock

    @classmethod
    def of(
        cls,
        wanted: request.RoutedRequest,
        route: table.Route,
        system_clock: clock.Clock,
    ) -> "TimeLimit":
        """Returns the nearer of the caller's deadline and the route's."""
        ends_s = min(wanted.deadline_s, wanted.arrived_s + route.timeout_s)
        return cls(ends_s, system_clock)

    @property
    def is_over(self) -> bool:
        """Whether the caller must have had its final answer by now."""
        return self._clock.monotonic_s() >= self._ends_s

    def left_s(self) -> float:
        """Returns the time left, a little above zero when there is none."""
        return max(_LEAST_S, self._ends_s - self._clock.monotonic_s())

    def wait_s(self) -> float:
        """Returns the bound on a single wait for a server."""
        return self.left_s() + WAIT_MARGIN_S

    def for_server_s(self) -> float:
        """Returns the time that a server may use."""
        return max(_LEAST_S, self.left_s() - TRANSIT_S)

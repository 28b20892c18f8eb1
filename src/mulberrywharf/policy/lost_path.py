"""Decides whether a gateway has lost its own path to the servers of a service.

A gateway that reaches no server of a role can't tell by itself whether the
servers or its network path have failed. Other gateways can: while one of them
serves requests for the service, the path is at fault, and requests are handed
over to such a gateway. If none does, the servers have failed, and requests are
refused as if there were no other gateways.

When servers become reachable again, a few requests use the own path first, and
more with each answer.
"""

import random
from collections.abc import Callable
from typing import Literal, NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import helpers, reachability

State = Literal["own", "doubtful", "lost", "returning"]
"""Which path a service's requests use.

- ``own``: Requests are sent to the servers.
- ``doubtful``: Servers are unreachable; whether others reach them is unknown.
- ``lost``: Other gateways reach the servers; requests are handed over.
- ``returning``: Some requests try the own path again.
"""

Way = Literal["own", "helper"]

DOUBT_S = 0.3
"""How long requests are handed over without a sign that another gateway reaches
the servers. Replies take milliseconds; this leaves time for five rounds of
questions."""

SEARCH_INTERVAL_S = 0.05
SEARCH_S = 1.0
"""While too few helpers are known, gateways are asked every
``SEARCH_INTERVAL_S`` for up to ``SEARCH_S``. If all but four of 340 gateways
have lost their paths, every one knows a helper after some ten rounds."""

ASK_INTERVAL_S = 1.0
"""Interval of the questions afterwards."""

RETURN_DELAY_S = 0.5
RETURN_DELAY_LIMIT_S = 4.0
"""After a failed return, the own path is tried again after ``RETURN_DELAY_S``,
doubled each time up to ``RETURN_DELAY_LIMIT_S``."""

RETURN_ANSWERS_COUNT = 4
"""Answers on the own path after which all requests use it again."""

RETURN_LIMIT_S = 2.0
"""Time without a failure after which all requests use the own path again. A
gateway with few callers could otherwise help no other one for long."""

REPEATABLE_ONLY_S = 1.0
"""How long a return waits for requests that may be repeated. Without any, the
own path is tried with others."""


class Change(NamedTuple):
    """A change of the path that a service's requests use.

    Attributes:
        service: The service.
        state: The new state.
        before: The state before.
        lasted_s: Time since servers of it became unreachable.
        helpers_count: Number of known helpers.
    """

    service: str
    state: State
    before: State
    lasted_s: float
    helpers_count: int


def is_lost(state: State) -> bool:
    """Tells whether other gateways reach servers that this one does not."""
    return state in ("lost", "returning")


class _ServicePath:
    """The path to one service."""

    def __init__(self, rng: random.Random, now_s: float):
        self.state: State = "own"
        self.since_s = now_s
        self.failed_s = float("-inf")
        self.doubtful_since_s = now_s
        self.status: reachability.Status = "whole"
        self.helpers = helpers.Helpers(rng)
        self.asked_s = float("-inf")
        self.return_not_before_s = float("-inf")
        self.return_delay_s = RETURN_DELAY_S
        self.own_requests_left_count = 0
        self.answers_count = 0


class LostPaths:
    """Decides for each service which path its requests use."""

    def __init__(
        self,
        rng: random.Random,
        on_change: Callable[[Change], None] = lambda _: None,
    ):
        """Creates it; all services use the own path.

        Args:
            rng: Chooses among equal gateways.
            on_change: Called with each change of state.
        """
        self._rng = rng
        self._on_change = on_change
        self._paths: dict[str, _ServicePath] = {}

    def update(
        self, service: str, status: reachability.Status, now_s: float
    ) -> None:
        """Applies how much of a service this gateway reaches now.

        Call it whenever that changes, and repeatedly while the state of the
        service is not ``own``.
        """
        path = self._paths.get(service)
        if path is None:
            if status == "whole":
                return
            path = self._paths[service] = _ServicePath(self._rng, now_s)
        path.status = status
        if status != "whole":
            self._on_unreachable(service, path, now_s)
        elif path.state == "doubtful":
            self._set_state(service, path, "own", now_s)
        elif path.state == "lost" and now_s >= path.return_not_before_s:
            path.own_requests_left_count = 1
            path.answers_count = 0
            self._set_state(service, path, "returning", now_s)
        elif (
            path.state == "returning"
            and now_s - max(path.since_s, path.failed_s) >= RETURN_LIMIT_S
        ):
            self._return(service, path, now_s)

    def _return(self, service: str, path: _ServicePath, now_s: float) -> None:
        path.return_delay_s = RETURN_DELAY_S
        self._set_state(service, path, "own", now_s)

    def _on_unreachable(
        self, service: str, path: _ServicePath, now_s: float
    ) -> None:
        if path.state == "own":
            path.doubtful_since_s = now_s
            path.helpers.clear()
            path.asked_s = float("-inf")
            self._set_state(service, path, "doubtful", now_s)
        elif path.state == "returning":
            path.return_not_before_s = now_s + path.return_delay_s
            path.return_delay_s = min(
                RETURN_DELAY_LIMIT_S, 2 * path.return_delay_s
            )
            self._set_state(service, path, "lost", now_s)

    def state(self, service: str) -> State:
        """Returns which path the requests for a service use."""
        path = self._paths.get(service)
        return path.state if path is not None else "own"

    def returning_s(self, service: str, now_s: float) -> float | None:
        """Returns for how long requests have tried the own path again.

        Returns:
            The time in seconds, None unless the service's state is
            ``returning``.
        """
        path = self._paths.get(service)
        if path is None or path.state != "returning":
            return None
        return now_s - path.since_s

    def note_failed(self, service: str, at_s: float) -> None:
        """Records that a server failed; a return goes on from then on."""
        path = self._paths.get(service)
        if path is not None:
            path.failed_s = max(path.failed_s, at_s)

    def unsettled(self) -> tuple[str, ...]:
        """Returns the services whose state is not ``own``."""
        return tuple(
            service
            for service, path in self._paths.items()
            if path.state != "own"
        )

    def is_lost(self, service: str) -> bool:
        """Tells whether other gateways reach servers that this one does not."""
        return is_lost(self.state(service))

    def can_serve(self, service: str) -> bool:
        """Tells whether this gateway can serve others' requests."""
        return self.state(service) == "own"

    def way(self, service: str, now_s: float, *, may_repeat: bool) -> Way:
        """Decides which path a new request uses.

        Args:
            service: The service that it is for.
            now_s: The current time.
            may_repeat: Whether the request may run several times.
        """
        path = self._paths.get(service)
        if path is None or path.state == "own":
            return "own"
        if path.state == "returning" and self._take_own(
            path, now_s, may_repeat=may_repeat
        ):
            return "own"
        if path.state == "doubtful" and path.status == "partial":
            return "own"
        return "helper" if self._may_have_helper(path, now_s) else "own"

    def may_hand_over(self, service: str, now_s: float) -> bool:
        """Tells whether a request that found no server may be handed over."""
        path = self._paths.get(service)
        return (
            path is not None
            and path.state != "own"
            and self._may_have_helper(path, now_s)
        )

    def _may_have_helper(self, path: _ServicePath, now_s: float) -> bool:
        return now_s - path.doubtful_since_s < DOUBT_S or bool(
            path.helpers.confirmed(now_s)
        )

    def _take_own(
        self, path: _ServicePath, now_s: float, *, may_repeat: bool
    ) -> bool:
        if path.own_requests_left_count <= 0:
            return False
        if not may_repeat and now_s - path.since_s < REPEATABLE_ONLY_S:
            return False
        path.own_requests_left_count -= 1
        return True

    def note_answered(self, service: str, now_s: float) -> None:
        """Records that a server answered on the own path."""
        path = self._paths.get(service)
        if path is None or path.state != "returning":
            return
        path.answers_count += 1
        path.own_requests_left_count += 2
        if path.answers_count >= RETURN_ANSWERS_COUNT:
            self._return(service, path, now_s)

    def choose_helper(
        self,
        service: str,
        zones: helpers.Zones,
        excluded: frozenset[fleet.Address],
        now_s: float,
    ) -> fleet.Address | None:
        """Chooses the gateway that a request is handed over to.

        See ``helpers.Helpers.choose``.
        """
        path = self._paths.get(service)
        if path is None:
            return None
        return path.helpers.choose(zones, excluded, now_s)

    def next_asked(
        self, service: str, zones: helpers.Zones, now_s: float
    ) -> tuple[fleet.Address, ...]:
        """Returns the gateways to ask now whether they can serve requests."""
        path = self._paths.get(service)
        if path is None or path.state == "own":
            return ()
        is_searching = (
            now_s - path.doubtful_since_s < SEARCH_S
            and len(path.helpers.confirmed(now_s)) < helpers.WANTED_COUNT
        )
        interval_s = SEARCH_INTERVAL_S if is_searching else ASK_INTERVAL_S
        if now_s - path.asked_s < interval_s:
            return ()
        path.asked_s = now_s
        return path.helpers.next_asked(zones, now_s)

    def named_helpers(
        self, service: str, now_s: float
    ) -> tuple[fleet.Address, ...]:
        """Returns helpers to name to another gateway that needs one."""
        path = self._paths.get(service)
        if path is None:
            return ()
        known = path.helpers.confirmed(now_s)
        count = min(helpers.NAMED_LIMIT_COUNT, len(known))
        return tuple(self._rng.sample(known, count))

    def note_report(
        self,
        service: str,
        address: fleet.Address,
        report: helpers.Report,
        now_s: float,
    ) -> None:
        """Records another gateway's statement about a service."""
        path = self._paths.get(service)
        if path is None or path.state == "own":
            return
        path.helpers.note_report(address, report, now_s)
        self._confirm(service, path, now_s)

    def note_served(
        self, service: str, address: fleet.Address, load: float, now_s: float
    ) -> None:
        """Records that another gateway has taken a request."""
        path = self._paths.get(service)
        if path is not None:
            path.helpers.note_serving(address, load, now_s)
            self._confirm(service, path, now_s)

    def note_refused(
        self,
        service: str,
        address: fleet.Address,
        refusal: helpers.Refusal,
        now_s: float,
    ) -> None:
        """Records that another gateway has not taken a request."""
        path = self._paths.get(service)
        if path is not None:
            path.helpers.note_refused(address, refusal, now_s)

    def began(self, service: str, address: fleet.Address) -> None:
        """Counts a request that was handed over."""
        path = self._paths.get(service)
        if path is not None:
            path.helpers.began(address)

    def ended(self, service: str, address: fleet.Address) -> None:
        """Counts a handed over request as ended."""
        path = self._paths.get(service)
        if path is not None:
            path.helpers.ended(address)

    def _confirm(self, service: str, path: _ServicePath, now_s: float) -> None:
        if path.state == "doubtful" and path.helpers.confirmed(now_s):
            path.return_not_before_s = float("-inf")
            self._set_state(service, path, "lost", now_s)

    def _set_state(
        self, service: str, path: _ServicePath, state: State, now_s: float
    ) -> None:
        before, path.state = path.state, state
        lasted_s = now_s - path.doubtful_since_s
        path.since_s = now_s
        self._on_change(
            Change(
                service,
                state,
                before,
                lasted_s,
                len(path.helpers.confirmed(now_s)),
            )
        )

"""Hands requests over to other gateways while the own path is lost."""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.forwarding import request, time_limits
from mulberrywharf.peers import handover_client, handover_codec
from mulberrywharf.policy import helpers, lost_path, stream_version
from mulberrywharf.routes import table

OFFERS_LIMIT_COUNT = 4
"""Maximum number of gateways that one request is offered to."""

OFFERS_LIMIT_S = 0.3
"""Time from the first offer after which a request is offered to no further
gateway. One that is out of reach takes up to 0.25 s to give up on."""

BUSY_LIMIT_COUNT = 2
"""Number of busy gateways after which a request is offered to no other one. If
two are busy, most are, and callers that come back later have better chances."""

TRANSIT_S = 0.01
"""Subtracted from the time that the other gateway is given, so that its answer
still arrives in time."""

RETRY_AFTER_S = 0.3
"""``Retry-After`` for a caller whose request no gateway could take. Within this
time other helpers are found, and busy ones have room again."""

_handovers_total = metrics.counter(
    "mulberry_handovers_total",
    "Requests handed over to other gateways, by service and result.",
)


class Peers(Protocol):
    """The other gateways."""

    def zones(self) -> helpers.Zones:
        """Returns the addresses of the other gateways by closeness."""
        ...

    def token(self, address: fleet.Address) -> str | None:
        """Returns the token of a gateway, None if it is not registered."""
        ...


class HandedOver(NamedTuple):
    """A request that is to be handed over.

    Attributes:
        routed_request: The request; its ``last_event_id`` is where a stream is
            to resume.
        route: Its route.
        service: The service that the route selects for it.
        limit: Its deadline.
        attempts_left_count: Number of servers that may still run it.
        is_counted: Whether the retry budget already includes it.
        is_admitted: Whether it was admitted and its demand is counted.
        version_key: Software version at which the stream must go on, None if it
            begins anew.
        has_arrived: Whether it may have arrived at a server.
        is_prefilled: Whether a server may have prefilled its prompt.
        reason: Why it is handed over, for the log.
    """

    routed_request: request.RoutedRequest
    route: table.Route
    service: str
    limit: time_limits.TimeLimit
    attempts_left_count: int
    is_counted: bool
    is_admitted: bool
    reason: str
    version_key: stream_version.VersionKey | None = None
    has_arrived: bool = False
    is_prefilled: bool = False


class OpenHandover:
    """A handed over request whose answer is being read.

    Attributes:
        answer: The answer.
        address: The gateway that relays it.
    """

    def __init__(
        self,
        answer: handover_client.HandedAnswer,
        address: fleet.Address,
        on_end: Callable[[], None],
        on_lost: Callable[[], None],
    ):
        self.answer = answer
        self.address = address
        self._on_end: Callable[[], None] | None = on_end
        self._on_lost = on_lost

    def note_lost(self) -> None:
        """Records that the answer broke off."""
        self._on_lost()

    def end(self) -> None:
        """Counts the request as ended; further calls do nothing."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()


HandoverError = (
    errors.NoHelperError | errors.HelperLostError | errors.RequestError
)


class Handovers(Protocol):
    """Decides whether requests are handed over, and does it."""

    def prefers_helper(self, service: str, *, may_repeat: bool) -> bool:
        """Tells whether a new request is handed over at once.

        Args:
            service: The service that it is for.
            may_repeat: Whether the request may run several times.
        """
        ...

    def may_hand_over(self, service: str) -> bool:
        """Tells whether a request that found no server may be handed over."""
        ...

    def hand_over(
        self, handed: HandedOver, on_accepted: Callable[[], None]
    ) -> Result[OpenHandover, HandoverError]:
        """Hands a request over and waits for the head of its answer.

        Args:
            handed: The request.
            on_accepted: Called before the request is sent. Until then it
                certainly does not run.

        Returns:
            The answer; ``NoHelperError`` if no gateway took it,
            ``HelperLostError`` if it may have run, or the error with which the
            other gateway ended it.
        """
        ...


class NoHandovers:
    """Hands over nothing."""

    def prefers_helper(self, service: str, *, may_repeat: bool) -> bool:
        """Returns False."""
        return False

    def may_hand_over(self, service: str) -> bool:
        """Returns False."""
        return False

    def hand_over(
        self, handed: HandedOver, on_accepted: Callable[[], None]
    ) -> Result[OpenHandover, HandoverError]:
        """Returns that no gateway took the request."""
        return Err(errors.NoHelperError("there are no other gateways"))


class PeerHandovers:
    """Hands requests over to other gateways, chosen by ``LostPaths``."""

    def __init__(
        self,
        paths: lost_path.LostPaths,
        peers: Peers,
        client: handover_client.HandoverClient,
        system_clock: clock.Clock,
        on_relayed: Callable[[request.AnswerHead], None] = lambda _: None,
    ):
        """Creates it.

        Args:
            paths: Decides which gateway gets a request.
            peers: The other gateways.
            client: Hands requests over.
            system_clock: Source of monotonic time.
            on_relayed: Called with the head of each relayed answer.
        """
        self._on_relayed = on_relayed
        self._paths = paths
        self._peers = peers
        self._client = client
        self._clock = system_clock

    def prefers_helper(self, service: str, *, may_repeat: bool) -> bool:
        """Tells whether a new request is handed over at once."""
        now_s = self._clock.monotonic_s()
        way = self._paths.way(service, now_s, may_repeat=may_repeat)
        return way == "helper"

    def may_hand_over(self, service: str) -> bool:
        """Tells whether a request that found no server may be handed over."""
        return self._paths.may_hand_over(service, self._clock.monotonic_s())

    def hand_over(
        self, handed: HandedOver, on_accepted: Callable[[], None]
    ) -> Result[OpenHandover, HandoverError]:
        """Offers a request to some gateways, one after the other."""
        began_s = time.monotonic()
        refused: list[fleet.Address] = []
        busy_count = 0

        def note_accepted() -> None:
            # A gateway that accepts a request may send it and then give it up.
            nonlocal handed
            handed = handed._replace(has_arrived=True, is_prefilled=True)
            on_accepted()

        while (
            len(refused) < OFFERS_LIMIT_COUNT
            and time.monotonic() - began_s < OFFERS_LIMIT_S
        ):
            address = self._paths.choose_helper(
                handed.service,
                self._peers.zones(),
                frozenset(refused),
                self._clock.monotonic_s(),
            )
            if address is None:
                break
            try:
                taken = self._offer(address, handed, note_accepted)
            except BaseException:
                # The caller has left, or its time is over.
                _log(handed, address, "abandoned", len(refused), began_s)
                raise
            if not isinstance(taken, errors.HelperRefusedError):
                _log(handed, address, _result(taken), len(refused), began_s)
                return taken
            refused.append(address)
            busy_count += taken.refusal == "busy"
            if busy_count >= BUSY_LIMIT_COUNT:
                break
        result = errors.NoHelperError.code
        _log(handed, None, result, len(refused), began_s)
        return Err(
            errors.NoHelperError(
                f"{len(refused)} other gateways did not take the request"
            )
        )

    def _offer(
        self,
        address: fleet.Address,
        handed: HandedOver,
        on_accepted: Callable[[], None],
    ) -> Result[OpenHandover, HandoverError] | errors.HelperRefusedError:
        token = self._peers.token(address)
        if token is None:
            refusal = errors.HelperRefusedError(
                f"{address} is not registered any more", refusal="silent"
            )
            return self._refused(handed.service, address, refusal)
        self._paths.began(handed.service, address)
        try:
            sent = self._client.send(
                handover_client.Helper(address, token),
                handed.routed_request.request_id,
                self._encoded(handed),
                handed.limit.wait_s(),
                on_accepted,
            )
        except BaseException:
            self._paths.ended(handed.service, address)
            raise
        now_s = self._clock.monotonic_s()
        if isinstance(sent, Ok):
            load = sent.ok_value.load
            self._paths.note_served(handed.service, address, load, now_s)
            self._on_relayed(sent.ok_value.head)
            return Ok(
                OpenHandover(
                    sent.ok_value,
                    address,
                    lambda: self._paths.ended(handed.service, address),
                    lambda: self._note_lost(handed.service, address),
                )
            )
        self._paths.ended(handed.service, address)
        error = sent.err_value
        if isinstance(error, errors.HelperRefusedError):
            return self._refused(handed.service, address, error)
        if isinstance(error, errors.HelperLostError):
            self._note_lost(handed.service, address)
        return Err(error)

    def _note_lost(self, service: str, address: fleet.Address) -> None:
        self._paths.note_refused(
            service, address, "silent", self._clock.monotonic_s()
        )

    def _refused(
        self,
        service: str,
        address: fleet.Address,
        error: errors.HelperRefusedError,
    ) -> errors.HelperRefusedError:
        self._paths.note_refused(
            service, address, error.refusal, self._clock.monotonic_s()
        )
        return error

    def _encoded(self, handed: HandedOver) -> handover_codec.HandedRequest:
        routed_request, route = handed.routed_request, handed.route
        return handover_codec.HandedRequest(
            method=routed_request.method,
            target=routed_request.target,
            host=routed_request.host,
            fields=routed_request.fields,
            body=routed_request.body,
            service=handed.service,
            route=handover_codec.HandedRoute(
                name=route.name,
                kind=route.kind,
                attempts_left_count=handed.attempts_left_count,
                priority=route.priority,
                target_s=route.target_s,
                gap_target_s=route.gap_target_s,
            ),
            left_s=max(0.0, handed.limit.left_s() - TRANSIT_S),
            waited_s=self._clock.monotonic_s() - routed_request.arrived_s,
            last_event_id=routed_request.last_event_id,
            customer=routed_request.customer,
            is_counted=handed.is_counted,
            is_admitted=handed.is_admitted,
            version_key=handed.version_key,
            has_arrived=handed.has_arrived,
            is_prefilled=handed.is_prefilled,
        )


def _result(taken: Result[OpenHandover, HandoverError]) -> str:
    if isinstance(taken, Ok):
        return str(taken.ok_value.answer.head.status)
    return taken.err_value.code


def _log(
    handed: HandedOver,
    address: fleet.Address | None,
    result: str,
    refused_count: int,
    began_s: float,
) -> None:
    _handovers_total.inc({"service": handed.service, "result": result})
    logger.bind(
        request_id=handed.routed_request.request_id,
        route=handed.route.name,
        service=handed.service,
        reason=handed.reason,
        helper=str(address) if address is not None else None,
        refused_count=refused_count,
        result=result,
        took_s=round(time.monotonic() - began_s, 4),
        left_s=round(handed.limit.left_s(), 3),
    ).info("handed over")

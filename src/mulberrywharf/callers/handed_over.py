"""Serves requests that another gateway received, as it has routed them."""

from typing import Any

from result import Err

from mulberrywharf import clock, errors
from mulberrywharf.callers import routed_server
from mulberrywharf.forwarding import request
from mulberrywharf.peers import handover_codec, handover_server
from mulberrywharf.routes import follower, table


class HandedOverRequests:
    """Answers handed over requests by this gateway's own path."""

    def __init__(
        self,
        server: routed_server.RoutedServer,
        dialect: routed_server.CallerDialect,
        routes: follower.RouteFollower,
        system_clock: clock.Clock,
    ):
        """Creates it.

        Args:
            server: Answers requests whose route is known.
            dialect: Parses callers' requests.
            routes: Knows the services.
            system_clock: Measures deadlines.
        """
        self._server = server
        self._dialect = dialect
        self._routes = routes
        self._clock = system_clock

    def serve(
        self,
        offer: handover_server.Offer,
        handed: handover_codec.HandedRequest,
        sock: Any,
    ) -> routed_server.Response:
        """Returns the answer to a request.

        Args:
            offer: The head of the handover.
            handed: The request.
            sock: The connection on which it arrived.

        Raises:
            RequestError: There is no answer.
        """
        matched = routed_server.MatchedRequest(
            self._routed_request(offer, handed),
            _route(handed),
            self._service(handed.service),
        )
        return self._server.answer(matched, sock)

    def _routed_request(
        self,
        offer: handover_server.Offer,
        handed: handover_codec.HandedRequest,
    ) -> request.RoutedRequest:
        now_s = self._clock.monotonic_s()
        read = self._dialect.read(
            method=handed.method,
            target=handed.target,
            fields=handed.fields,
            body=handed.body,
            now_s=now_s - handed.waited_s,
        )
        if isinstance(read, Err):
            raise errors.BadRequestError(read.err_value.message)
        return read.ok_value._replace(
            request_id=offer.request_id,
            host=handed.host,
            deadline_s=now_s + handed.left_s,
            last_event_id=handed.last_event_id,
            customer=handed.customer,
            handover=request.Handover(
                offer.sender,
                handed.is_counted,
                handed.is_admitted,
                handed.version_key,
                handed.has_arrived,
                handed.is_prefilled,
            ),
        )

    def _service(self, name: str) -> table.Service:
        routes = self._routes.current()
        known = routes.services.get(name) if routes else None
        return known or table.Service(name, 1)


def _route(handed: handover_codec.HandedRequest) -> table.Route:
    """Returns a route with the terms of the gateway that matched it.

    The other gateway may follow a newer version of the routes, and its callers
    must never see an older one again.
    """
    route = handed.route
    return table.Route(
        name=route.name,
        host=handed.host,
        prefix="/",
        kind=route.kind,
        timeout_s=handed.waited_s + handed.left_s,
        destinations=(table.Destination(handed.service, 1.0),),
        attempts_limit_count=max(1, route.attempts_left_count),
        priority=route.priority,
        target_s=route.target_s,
        gap_target_s=route.gap_target_s,
    )

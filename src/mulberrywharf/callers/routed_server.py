"""Answers callers' requests by the routes that the operators configure.

The answer of a backend server or an engine is passed on unchanged. The status
of an error response of this gateway tells the caller whether the request may
have run.
"""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from functools import singledispatch
from typing import Any, NamedTuple, Protocol

from loguru import logger
from result import Err, Result

from mulberrywharf import _wsgi, clock, errors, fleet, metrics
from mulberrywharf.callers import (
    caller_watch,
    listener,
    problems,
    response,
)
from mulberrywharf.callers import request as caller_request
from mulberrywharf.customers import authentication
from mulberrywharf.forwarding import (
    generation,
    held_answers,
    plain_call,
    request,
    stop_gate,
)
from mulberrywharf.policy import stream_version
from mulberrywharf.routes import follower, kinds, split, table

_UNUSABLE_ROUTE_RETRY_S = 5.0
NOT_READY_RETRY_S = 0.5
"""``Retry-After`` for a request that arrives before the routes are loaded. They
are loaded within a second of the start if the key-value service answers."""

ROUTES_WAIT_LIMIT_S = 1.5
"""How long a request waits for the routes to be loaded. They are usually loaded
within a second of the start; otherwise the key-value service is unreachable,
which may last."""

ROUTES_WAIT_SHARE = 1 / 3
"""Maximum share of a request's remaining time to spend waiting for the routes.
The rest is enough to answer it, or for the caller to try another gateway."""

_NO_CONTENT_STATUS = 204
_NOT_MODIFIED_STATUS = 304

_answers_total = metrics.counter(
    "mulberry_routed_answers_total", "Answers to callers by route and result."
)
# Observed from the end of the request's head, before its body is read, until
# the response is ready to be sent: for a stream, until its first event.
_answer_s = metrics.histogram(
    "mulberry_routed_answer_seconds",
    "Time from a whole request to the head of its answer, by route.",
)


class CallerDialect(Protocol):
    """Parses callers' requests, including this system's own header fields."""

    def request_id(self, fields: Iterable[tuple[str, str]]) -> str:
        """Returns the request ID that the caller set, or an empty string."""
        ...

    def read(
        self,
        *,
        method: str,
        target: str,
        fields: Iterable[tuple[str, str]],
        body: bytes,
        now_s: float,
    ) -> Result[request.RoutedRequest, errors.BadRequestError]:
        """Parses one request, whose route is not known yet."""
        ...


class MatchedRequest(NamedTuple):
    """A request with its matching route and the service that answers it."""

    routed_request: request.RoutedRequest
    route: table.Route
    service: table.Service


class Response(NamedTuple):
    """An HTTP response to a caller, as ``response.Response``.

    Attributes:
        status_line: See ``response.Response``.
        headers: See ``response.Response``.
        body: See ``response.Response``.
        server: The server that answered, None if there is none.
        is_framed: Whether the end of the body is marked. If not, it ends with
            its connection, as the server's own answer did.
        version_key: Software version that began a stream, None if unknown.
    """

    status_line: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    server: fleet.ServerStart | None = None
    is_framed: bool = True
    version_key: stream_version.VersionKey | None = None


class RoutedServer:
    """The WSGI application that answers the requests of a gateway's callers."""

    def __init__(
        self,
        caller_listener: listener.CallerListener,
        *,
        dialect: CallerDialect,
        routes: follower.RouteFollower,
        plain_calls: plain_call.PlainCalls,
        generations: generation.Generations,
        customers: authentication.CustomerAdmission,
        stops: stop_gate.StopGate,
        system_clock: clock.Clock,
        on_request_started: Callable[[str], None] = lambda customer: None,
    ):
        """Creates the server and registers it with the listener.

        Args:
            caller_listener: Accepts requests.
            dialect: Parses requests.
            routes: Follows the stored routes and keeps the current ones.
            plain_calls: Serves requests whose answer is not a stream.
            generations: Serves requests whose answer is an event stream.
            customers: Identifies the customer of each request and admits it.
            stops: Refuses requests that a stop of this process would cut off.
            system_clock: Measures deadlines.
            on_request_started: Called with the customer of each request that a
                backend server or an engine has started to execute.
        """
        self._on_request_started = on_request_started
        self._listener = caller_listener
        self._customer_admission = customers
        self._stops = stops
        self._dialect = dialect
        self._route_follower = routes
        self._plain_calls = plain_calls
        self._generations = generations
        self._clock = system_clock
        caller_listener.serve(self.application)

    def application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request; failures become error responses.

        Raises:
            CallerGoneError: The caller disconnected.
        """
        request_id = self._dialect.request_id(environ[listener.HEADERS_KEY])
        start_s = self._clock.monotonic_s()
        route_name = "none"
        try:
            matched = self._route(environ)
            route_name = matched.route.name
            http_response = self.answer(matched, environ[listener.SOCKET_KEY])
            result = http_response.status_line[:3]
        except errors.CallerGoneError as error:
            _log_request_end(request_id, route_name, error.code, error.message)
            raise
        except errors.MulberryError as error:
            request_error = problems.as_request_error(error)
            result = request_error.code
            http_response = _error_response(request_error, request_id)
            _log_request_end(
                request_id,
                route_name,
                request_error.code,
                request_error.message,
            )
        except Exception as error:
            # After an internal failure the request may have run in part, so the
            # caller gets the outcome "unknown"; the log has the traceback.
            logger.bind(request_id=request_id).exception("a request failed")
            request_error = problems.as_request_error(error)
            result = request_error.code
            http_response = _error_response(request_error, request_id)
        _answers_total.inc({"route": route_name, "result": result})
        duration_s = self._clock.monotonic_s() - start_s
        _answer_s.observe({"route": route_name}, duration_s)
        if not http_response.is_framed:
            environ[listener.UNFRAMED_KEY] = True
        try:
            start_response(http_response.status_line, http_response.headers)
        except BaseException:
            close = getattr(http_response.body, "close", None)
            if close is not None:
                close()
            raise
        return http_response.body

    def _route(self, environ: _wsgi.Environ) -> MatchedRequest:
        routes = self._route_follower.current()
        if routes is None:
            try:
                routed_request = self._read(
                    environ, self._listener.body_limit_bytes
                )
            except errors.RequestTooLargeError as error:
                # The routes that are not loaded yet may allow larger bodies.
                raise _not_ready_error() from error
            routes = self._wait_for_routes(
                routed_request, environ[listener.SOCKET_KEY]
            )
            route = _match(routes, environ)
            caller_request.check_size(
                len(routed_request.body), self._body_limit_bytes(routes)
            )
        else:
            route = _match(routes, environ)
            routed_request = self._read(environ, self._body_limit_bytes(routes))
        if routes.customers is not None:
            routed_request, routes, route = self._admit(
                routes, routed_request, environ
            )
        # A stream that is taken up goes on at the service that began it.
        name = split.service_of(
            route, routed_request.resumes or routed_request.request_id
        )
        service = routes.services.get(name) or table.Service(name, 1)
        _check_fits(routed_request.prompt, service)
        return MatchedRequest(routed_request, route, service)

    def _admit(
        self,
        routes: table.RouteTable,
        routed_request: request.RoutedRequest,
        environ: _wsgi.Environ,
    ) -> tuple[request.RoutedRequest, table.RouteTable, table.Route]:
        """Identifies the customer that makes a request.

        Returns:
            The request with its customer, and the routes that admit it, which
            may be newer than those it was read with.

        Raises:
            UnknownCustomerError: The key is missing or unknown.
            UnconfirmedKeyError: The key may have been revoked.
            CallerGoneError: The caller disconnected.
        """
        with _abort_on_disconnect(environ[listener.SOCKET_KEY]):
            admitted = self._customer_admission.admit(
                lambda: self._route_follower.current() or routes,
                lambda current: _match(current, environ).is_public,
                routed_request.key_digests,
                routed_request.deadline_s - self._clock.monotonic_s(),
            )
        route = _match(admitted.routes, environ)
        customer = admitted.customer
        if customer is None:
            return routed_request, admitted.routes, route
        if customer.priority is not None:
            route = route._replace(priority=customer.priority)
        routed_request = routed_request._replace(customer=customer.name)
        return routed_request, admitted.routes, route

    def _wait_for_routes(
        self, routed_request: request.RoutedRequest, sock: Any
    ) -> table.RouteTable:
        """Waits until the routes are loaded after the start of this gateway.

        When all gateways start at once, the load balancer also sends requests
        to gateways that are not ready. If these requests were refused at once,
        most of them would fail with ``not-ready`` in the first second of a
        start, although the routes are loaded shortly after.

        Raises:
            NotReadyError: The routes were not loaded in the time that the
                request can wait.
            CallerGoneError: The caller disconnected.
        """
        left_s = routed_request.deadline_s - self._clock.monotonic_s()
        wait_s = min(ROUTES_WAIT_LIMIT_S, ROUTES_WAIT_SHARE * left_s)
        with _abort_on_disconnect(sock):
            routes = self._route_follower.wait_first(max(0.0, wait_s))
        if routes is None:
            raise _not_ready_error()
        return routes

    def _body_limit_bytes(self, routes: table.RouteTable) -> int:
        limits = routes.limits
        if limits is None or limits.body_bytes is None:
            return self._listener.body_limit_bytes
        return limits.body_bytes

    def _read(
        self, environ: _wsgi.Environ, body_limit_bytes: int
    ) -> request.RoutedRequest:
        body = caller_request.read_body(environ, body_limit_bytes)
        read = self._dialect.read(
            method=environ["REQUEST_METHOD"],
            target=environ[listener.TARGET_KEY],
            fields=environ[listener.HEADERS_KEY],
            body=body,
            now_s=self._clock.monotonic_s(),
        )
        if isinstance(read, Err):
            raise read.err_value
        return read.ok_value

    def answer(self, matched: MatchedRequest, sock: Any) -> Response:
        """Returns the answer to a request whose route is known.

        Args:
            matched: The request.
            sock: The connection on which it arrived.

        Raises:
            RequestError: There is no answer.
        """
        self._stops.check(
            matched.routed_request, matched.route, matched.service.name
        )
        # Until the watch is closed, a disconnect of the caller cancels the
        # request, which frees the backend server or the engine.
        watch = caller_watch.CallerWatch(sock)
        watch.start()
        try:
            watch.enable()
            http_response = _answer_by_kind(
                matched.route.kind, self, matched, watch
            )
            watch.disable()
        except BaseException:
            watch.close()
            raise
        return http_response

    def answer_non_streaming(
        self, matched: MatchedRequest, watch: caller_watch.CallerWatch
    ) -> Response:
        """Answers a request after its complete answer has been received."""
        answer = self._plain_calls.call(
            matched.routed_request, matched.route, matched.service.name
        )
        watch.close()
        if answer.head.is_success:
            arrived_s = matched.routed_request.arrived_s
            self._stops.times.note_call(
                matched.route.name, self._clock.monotonic_s() - arrived_s
            )
        if not answer.head.not_executed:
            self._notify_started(matched)
        return Response(
            _status_line(answer.head),
            _headers_with_length(answer, matched.routed_request.method),
            _held_blocks(answer),
            answer.head.server,
            answer.is_framed,
        )

    def answer_stream(
        self, matched: MatchedRequest, watch: caller_watch.CallerWatch
    ) -> Response:
        """Answers a streaming request; relays events as they arrive."""
        answer = self._generations.open(
            matched.routed_request, matched.route, matched.service
        )
        # Nothing is written before the first event arrives, so that an earlier
        # failure still gets an error response. A later one can only be
        # signaled by closing the connection.
        first = next(answer.blocks, b"")
        first_s = self._clock.monotonic_s()
        if first:
            self._notify_started(matched)
        return Response(
            _status_line(answer.head),
            _headers_without_length(answer.head),
            _relayed_events(
                first,
                answer,
                watch,
                matched,
                lambda: self._note_stream_times(matched, answer.head, first_s),
            ),
            answer.head.server,
            answer.state.is_framed,
            answer.state.version_key,
        )

    def _note_stream_times(
        self, matched: MatchedRequest, head: request.AnswerHead, first_s: float
    ) -> None:
        routed_request = matched.routed_request
        if not head.is_success or routed_request.last_event_id is not None:
            # A stream that is taken up lasts only for the rest of its events.
            return
        prompt = routed_request.prompt
        self._stops.times.note_stream(
            matched.route.name,
            matched.service.name,
            first_s - routed_request.arrived_s,
            self._clock.monotonic_s() - first_s,
            prompt.output_limit_tokens if prompt else 0,
        )

    def _notify_started(self, matched: MatchedRequest) -> None:
        # The gateway that handed a request over counts it for its customer.
        routed_request = matched.routed_request
        if routed_request.customer and routed_request.handover is None:
            self._on_request_started(routed_request.customer)


def _held_blocks(answer: plain_call.WholeAnswer) -> Iterable[bytes]:
    blocks = response.blocks(answer.body)
    if answer.hold is None or not answer.hold.is_counted:
        return blocks
    return held_answers.HeldBlocks(blocks, answer.hold)


@contextlib.contextmanager
def _abort_on_disconnect(sock: Any) -> Iterator[None]:
    """Aborts the enclosed wait when the caller disconnects.

    Raises:
        CallerGoneError: The caller disconnected.
    """
    watch = caller_watch.CallerWatch(sock)
    watch.start()
    try:
        watch.enable()
        yield
    finally:
        watch.close()


def _check_fits(prompt: request.Prompt | None, service: table.Service) -> None:
    """Checks that the engines of a service can hold a prompt.

    Raises:
        BadRequestError: They can't.
    """
    if prompt is None or service.engine is None:
        return
    if prompt.tokens > service.engine.kv_tokens > 0:
        raise errors.BadRequestError(
            f"the prompt has {prompt.tokens} tokens, and the engines of "
            f"{service.name} hold {service.engine.kv_tokens}"
        )


def _not_ready_error() -> errors.NotReadyError:
    return errors.NotReadyError(
        "this gateway has no routes yet",
        retry_after_s=NOT_READY_RETRY_S,
        advice="Try again; another entry VM may have them already.",
    )


def _match(routes: table.RouteTable, environ: _wsgi.Environ) -> table.Route:
    target = environ[listener.TARGET_KEY]
    host = environ.get("HTTP_HOST", "")
    route = routes.match(host, target.partition("?")[0])
    if route is None:
        raise errors.UnknownTargetError("no route matches this host and path")
    if not route.destinations:
        raise errors.UnusableRouteError(
            f"the configuration of the route {route.name} is malformed",
            retry_after_s=_UNUSABLE_ROUTE_RETRY_S,
        )
    return route


@singledispatch
def _answer_by_kind(
    kind: kinds.RequestKind,
    server: RoutedServer,
    matched: MatchedRequest,
    watch: caller_watch.CallerWatch,
) -> Response:
    return server.answer_non_streaming(matched, watch)


@_answer_by_kind.register
def _(
    kind: kinds.EventStream,
    server: RoutedServer,
    matched: MatchedRequest,
    watch: caller_watch.CallerWatch,
) -> Response:
    return server.answer_stream(matched, watch)


def _relayed_events(
    first: bytes,
    answer: generation.StreamAnswer,
    watch: caller_watch.CallerWatch,
    matched: MatchedRequest,
    on_end: Callable[[], None],
) -> Iterator[bytes]:
    """Yields the first event and then the others until the caller disconnects.

    When this iterator ends, is closed or raises, ``answer`` is closed, which
    cancels the request and so frees the engine. For an answer that can't be
    completed an exception is raised, so that the connection closes without the
    last chunk that would mark a complete answer.

    ``on_end`` is called at the end of an answer that was not broken off.
    """
    result = errors.CallerGoneError.code
    message = ""
    try:
        yield first
        watch.enable()
        for event in answer.blocks:
            watch.disable()
            yield event
            watch.enable()
        result = "whole" if answer.state.end == "complete" else "unmarked"
        on_end()
    except errors.MulberryError as error:
        result, message = error.code, error.message
        raise
    finally:
        watch.close()
        close = getattr(answer.blocks, "close", None)
        if close is not None:
            close()
        _log_request_end(
            matched.routed_request.request_id,
            matched.route.name,
            result,
            message,
            matched.routed_request,
        )


def _log_request_end(
    request_id: str,
    route: str,
    result: str,
    message: str,
    routed_request: request.RoutedRequest | None = None,
) -> None:
    bound = logger.bind(request_id=request_id, route=route, result=result)
    if routed_request is not None and routed_request.customer:
        bound = bound.bind(customer=routed_request.customer)
    if routed_request is not None and routed_request.handover is not None:
        bound = bound.bind(handed_over_by=routed_request.handover.vm_id)
    bound.info("request ended: {}", message)


def _headers_without_length(
    head: request.AnswerHead,
) -> list[tuple[str, str]]:
    return [
        (name, value) for name, value in head.fields if name != "content-length"
    ]


def _headers_with_length(
    answer: plain_call.WholeAnswer, method: str
) -> list[tuple[str, str]]:
    """Returns the header fields of a whole answer.

    Without a body, the length that the server states is that of another answer:
    of the one to a GET request, or of the one that the caller has stored.
    """
    status = answer.head.status
    if method == "HEAD" or status == _NOT_MODIFIED_STATUS:
        return list(answer.head.fields)
    headers = _headers_without_length(answer.head)
    if answer.is_framed and status != _NO_CONTENT_STATUS:
        headers.append(("content-length", str(len(answer.body))))
    return headers


def _status_line(head: request.AnswerHead) -> str:
    return f"{head.status} {head.reason or 'Answered'}"


def _error_response(error: errors.RequestError, request_id: str) -> Response:
    headers = [
        (name, value)
        for name, value in problems.headers(error, request_id)
        if name != "retry-after"
    ]
    if error.retry_after_s is not None:
        # Written in seconds with three decimals. Rounded up to a whole second,
        # it would delay callers although the queue is only some tenths of a
        # second long.
        headers.append(("retry-after", f"{error.retry_after_s:.3f}"))
    return Response(
        problems.status_line(error.status),
        headers,
        [problems.body(error, request_id)],
    )

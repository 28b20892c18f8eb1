"""Answers callers by the operators' routes.

Whatever the server says is passed on unchanged; a refusal of this node tells
whether the request may have run by its status.
"""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from functools import singledispatch
from typing import Any, NamedTuple, Protocol

from loguru import logger
from result import Err, Result

from mulberrywharf import _wsgi, clock, errors, metrics
from mulberrywharf.callers import (
    caller_watch,
    listener,
    problems,
    response,
)
from mulberrywharf.callers import request as caller_request
from mulberrywharf.customers import admission
from mulberrywharf.forwarding import generation, plain_call, request
from mulberrywharf.routes import follower, kinds, split, table

NOT_READY_RETRY_S = 0.5
"""For a caller that came before the routes: they are read within a second of
the start if the store answers."""

ROUTES_WAIT_LIMIT_S = 1.5
"""How long a caller that came before the routes waits for them. They come
within a second of a start as a rule; without them by then the store is away,
which may last."""

ROUTES_WAIT_SHARE = 1 / 3
"""Part of its time that a caller waits for the routes at the most: what is left
is enough for its answer, or for another gateway."""

_answers_total = metrics.counter(
    "mulberry_routed_answers_total", "Answers to callers by route and result."
)
_answer_s = metrics.histogram(
    "mulberry_routed_answer_seconds",
    "Time from a whole request to the head of its answer, by route.",
)


class CallerDialect(Protocol):
    """How callers write what only concerns this system."""

    def request_id(self, fields: Iterable[tuple[str, str]]) -> str:
        """Returns the caller's id of a request, empty if it has none."""
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
        """Reads one request."""
        ...


class _Routed(NamedTuple):
    """A request with its route and service."""

    wanted: request.RoutedRequest
    route: table.Route
    service: table.Service


class _Answer(NamedTuple):
    """What is written to the caller."""

    status_line: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


class RoutedServer:
    """Answers callers on the listener."""

    def __init__(
        self,
        caller_listener: listener.CallerListener,
        *,
        dialect: CallerDialect,
        routes: follower.RouteFollower,
        plain_calls: plain_call.PlainCalls,
        generations: generation.Generations,
        customers: admission.CustomerAdmission,
        system_clock: clock.Clock,
        on_request_started: Callable[[str], None] = lambda customer: None,
    ):
        """Creates the server and registers it with the listener.

        Args:
            caller_listener: Accepts requests.
            dialect: Parses requests.
            routes: The current routes.
            plain_calls: Serves plain requests.
            generations: Serves streams.
            customers: Admits requests.
            system_clock: Measures deadlines.
            on_request_started: Called with the customer of each request that a
                server has started to execute.
        """
        self._on_request_started = on_request_started
        self._listener = caller_listener
        self._customers = customers
        self._dialect = dialect
        self._routes = routes
        self._plain_calls = plain_calls
        self._generations = generations
        self._clock = system_clock
        caller_listener.serve(self.application)

    def application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request, whatever it holds."""
        request_id = self._dialect.request_id(environ[listener.HEADERS_KEY])
        began_s = self._clock.monotonic_s()
        route_name = "none"
        try:
            routed = self._route(environ)
            route_name = routed.route.name
            answer = self._answer(routed, environ[listener.SOCKET_KEY])
            result = answer.status_line[:3]
        except errors.CallerGoneError:
            _log_end(request_id, route_name, "caller-gone", "")
            raise
        except errors.MulberryError as error:
            told = problems.as_request_error(error)
            result = told.code
            answer = _refusal(told, request_id)
            _log_end(request_id, route_name, told.code, told.message)
        except Exception as error:
            # A fault of ours must not look like a promise: the caller is
            # told that the outcome is unknown, and the log has the trace.
            logger.bind(request_id=request_id).exception("a request failed")
            told = problems.as_request_error(error)
            result = told.code
            answer = _refusal(told, request_id)
        _answers_total.inc({"route": route_name, "result": result})
        took_s = self._clock.monotonic_s() - began_s
        _answer_s.observe({"route": route_name}, took_s)
        start_response(answer.status_line, answer.headers)
        return answer.body

    def _route(self, environ: _wsgi.Environ) -> _Routed:
        routes = self._routes.current()
        if routes is None:
            wanted = self._read(environ, self._listener.body_limit_bytes)
            routes = self._first_routes(wanted, environ[listener.SOCKET_KEY])
            route = _match(routes, environ)
            caller_request.check_size(
                len(wanted.body), self._body_limit_bytes(routes)
            )
        else:
            route = _match(routes, environ)
            wanted = self._read(environ, self._body_limit_bytes(routes))
        if routes.customers is not None:
            wanted, routes, route = self._admit(routes, wanted, environ)
        name = split.service_of(route, wanted.request_id)
        service = routes.services.get(name) or table.Service(name, 1)
        return _Routed(wanted, route, service)

    def _admit(
        self,
        routes: table.RouteTable,
        wanted: request.RoutedRequest,
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
        with _watched_caller(environ[listener.SOCKET_KEY]):
            admitted = self._customers.admit(
                lambda: self._routes.current() or routes,
                lambda current: _match(current, environ).is_public,
                wanted.key_digests,
                wanted.deadline_s - self._clock.monotonic_s(),
            )
        route = _match(admitted.routes, environ)
        customer = admitted.customer
        if customer is None:
            return wanted, admitted.routes, route
        if customer.priority is not None:
            route = route._replace(priority=customer.priority)
        wanted = wanted._replace(customer=customer.name)
        return wanted, admitted.routes, route

    def _first_routes(
        self, wanted: request.RoutedRequest, sock: Any
    ) -> table.RouteTable:
        """Waits for the first routes of this node.

        When all gateways start at once, the balancer sends callers also to
        those that are not ready. Turned away at once, most of them failed,
        although the routes came a moment later; they show as ``not-ready``
        answers in the first second of a start.

        Raises:
            NotReadyError: They did not come while the caller could wait.
            CallerGoneError: The caller did not wait.
        """
        left_s = wanted.deadline_s - self._clock.monotonic_s()
        wait_s = min(ROUTES_WAIT_LIMIT_S, ROUTES_WAIT_SHARE * left_s)
        with _watched_caller(sock):
            routes = self._routes.wait_first(max(0.0, wait_s))
        if routes is None:
            raise errors.NotReadyError(
                "this node has no routes yet",
                retry_after_s=NOT_READY_RETRY_S,
                advice="Try again; another entry VM may have them already.",
            )
        return routes

    def _body_limit_bytes(self, routes: table.RouteTable) -> int:
        limits = routes.limits
        return limits.body_bytes if limits else self._listener.body_limit_bytes

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

    def _answer(self, routed: _Routed, sock: Any) -> _Answer:
        # While the answer is awaited and relayed the caller's leaving frees
        # the server; closing the watch ends that.
        watch = caller_watch.CallerWatch(sock)
        watch.start()
        try:
            watch.expect()
            answer = _answer_by_kind(routed.route.kind, self, routed, watch)
            watch.ignore()
        except BaseException:
            watch.close()
            raise
        return answer

    def answer_whole(
        self, routed: _Routed, watch: caller_watch.CallerWatch
    ) -> _Answer:
        """Answers from a server's whole answer."""
        answer = self._plain_calls.call(
            routed.wanted, routed.route, routed.service.name
        )
        watch.close()
        if not answer.head.not_executed:
            self._notify_started(routed)
        headers = _headers_without_length(answer.head)
        headers.append(("content-length", str(len(answer.body))))
        if routed.wanted.method == "HEAD":
            return _Answer(_status_line(answer.head), headers, [])
        return _Answer(
            _status_line(answer.head), headers, response.blocks(answer.body)
        )

    def answer_stream(
        self, routed: _Routed, watch: caller_watch.CallerWatch
    ) -> _Answer:
        """Answers with events as they come."""
        answer = self._generations.open(
            routed.wanted, routed.route, routed.service
        )
        # Until an event has come nothing is written, so a failure can still
        # be told; behind it there is only the end of the connection.
        first = next(answer.blocks, b"")
        if first:
            self._notify_started(routed)
        return _Answer(
            _status_line(answer.head),
            _headers_without_length(answer.head),
            _watched(first, answer.blocks, watch, routed),
        )

    def _notify_started(self, routed: _Routed) -> None:
        if routed.wanted.customer:
            self._on_request_started(routed.wanted.customer)


@contextlib.contextmanager
def _watched_caller(sock: Any) -> Iterator[None]:
    """Aborts the enclosed wait when the caller disconnects.

    Raises:
        CallerGoneError: The caller disconnected.
    """
    watch = caller_watch.CallerWatch(sock)
    watch.start()
    try:
        watch.expect()
        yield
    finally:
        watch.close()


def _match(routes: table.RouteTable, environ: _wsgi.Environ) -> table.Route:
    target = environ[listener.TARGET_KEY]
    host = environ.get("HTTP_HOST", "")
    route = routes.match(host, target.partition("?")[0])
    if route is None:
        raise errors.UnknownTargetError("no route of this host and path")
    return route


@singledispatch
def _answer_by_kind(
    kind: kinds.RequestKind,
    server: RoutedServer,
    routed: _Routed,
    watch: caller_watch.CallerWatch,
) -> _Answer:
    return server.answer_whole(routed, watch)


@_answer_by_kind.register
def _(
    kind: kinds.EventStream,
    server: RoutedServer,
    routed: _Routed,
    watch: caller_watch.CallerWatch,
) -> _Answer:
    return server.answer_stream(routed, watch)


def _watched(
    first: bytes,
    blocks: Iterator[bytes],
    watch: caller_watch.CallerWatch,
    routed: _Routed,
) -> Iterator[bytes]:
    """Yields the blocks, the first one before them, while the caller is there.

    What ends this iterator early closes ``blocks``, which frees the engine.
    An answer that can't be made whole ends by an exception, so that its
    connection is closed without the mark of a whole answer.
    """
    result = errors.CallerGoneError.code
    message = ""
    try:
        yield first
        watch.expect()
        for block in blocks:
            watch.ignore()
            yield block
            watch.expect()
        result = "whole"
    except errors.MulberryError as error:
        result, message = error.code, error.message
        raise
    finally:
        watch.close()
        close = getattr(blocks, "close", None)
        if close is not None:
            close()
        _log_end(
            routed.wanted.request_id,
            routed.route.name,
            result,
            message,
            routed.wanted.customer,
        )


def _log_end(
    request_id: str, route: str, result: str, message: str, customer: str = ""
) -> None:
    bound = logger.bind(request_id=request_id, route=route, result=result)
    if customer:
        bound = bound.bind(customer=customer)
    bound.info("request ended: {}", message)


def _headers_without_length(
    head: request.AnswerHead,
) -> list[tuple[str, str]]:
    return [
        (name, value) for name, value in head.fields if name != "content-length"
    ]


def _status_line(head: request.AnswerHead) -> str:
    return f"{head.status} {head.reason or 'Answered'}"


def _refusal(error: errors.RequestError, request_id: str) -> _Answer:
    headers = [
        (name, value)
        for name, value in problems.headers(error, request_id)
        if name != "retry-after"
    ]
    if error.retry_after_s is not None:
        # A fraction of a second: callers that wait a whole one for a queue
        # of some tenths are served late although there was room.
        headers.append(("retry-after", f"{error.retry_after_s:.3f}"))
    return _Answer(
        problems.status_line(error.status),
        headers,
        [problems.body(error, request_id)],
    )

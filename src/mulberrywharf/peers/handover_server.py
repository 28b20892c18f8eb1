"""Serves requests that other gateways hand over to this one."""

import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple, Protocol

from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import (
    _loop_lag,
    _wsgi,
    errors,
    fleet,
    metrics,
    stated_numbers,
)
from mulberrywharf.callers import listener, problems
from mulberrywharf.callers import request as caller_request
from mulberrywharf.peers import handover_codec
from mulberrywharf.peers import handover_fields as hop
from mulberrywharf.policy import stream_version

SERVED_LIMIT_COUNT = 256
"""Maximum number of handed over requests that are served at a time."""

SERVED_LIMIT_BYTES = 32_000_000
"""Maximum size of their bodies together."""

LAG_LIMIT_S = 0.1
"""Lateness of the event loop from which no further requests are taken. A
process short of CPU time delays its own callers as much."""

BODY_LIMIT_BYTES = 8_000_000
"""Maximum size of one of them, with its header fields. Operators allow callers
bodies of 4 MB."""

HEAD_LIMIT_BYTES = 8_192
CONNECTIONS_LIMIT_COUNT = 1_024
"""More than three connections from each other gateway of the largest fleet.
Their idle ones end after some seconds."""

IDLE_TIMEOUT_S = 10.0

_PATHS = frozenset({hop.PATH, hop.PATH_AT_VERSION})

_served_total = metrics.counter(
    "mulberry_helped_requests_total",
    "Requests that other gateways handed over or offered, by result.",
)
_rejected_total = metrics.counter(
    "mulberry_handovers_rejected_total",
    "Handovers rejected as malformed or not authenticated, by reason.",
)
_in_flight_gauge = metrics.gauge(
    "mulberry_helped_in_flight_count",
    "Handed over requests that are being served.",
)


class Peers(Protocol):
    """The other gateways."""

    def is_own_token(self, token: str) -> bool:
        """Tells whether a token is one of this gateway's registrations."""
        ...


class HttpResponse(Protocol):
    """The response to a handed over request."""

    @property
    def status_line(self) -> str:
        """Status and reason phrase."""
        ...

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Header fields."""
        ...

    @property
    def body(self) -> Iterable[bytes]:
        """Blocks of the body."""
        ...

    @property
    def server(self) -> fleet.ServerStart | None:
        """The server that answered, None if it is not known."""
        ...

    @property
    def is_framed(self) -> bool:
        """Whether the server marked the end of its answer."""
        ...

    @property
    def version_key(self) -> stream_version.VersionKey | None:
        """Software version that began the stream, None if it is unknown."""
        ...


class Offer(NamedTuple):
    """The head of a handover.

    Attributes:
        sender: ``vm_id`` of the gateway that hands over.
        number: Number that the answer repeats.
        request_id: Id of the request.
        service: The service that is to answer it.
        body_bytes: Size of the body that follows.
        protocol: Version of the exchange that the sender speaks.
    """

    sender: str
    number: str
    request_id: str
    service: str
    body_bytes: int
    protocol: int = 1


Serve = Callable[[Offer, handover_codec.HandedRequest, Any], HttpResponse]
"""Serves a request that arrived on a socket.

Raises a ``RequestError`` if there is no answer.
"""


class HandoverServer:
    """The WSGI application that serves other gateways."""

    def __init__(
        self,
        peer_listener: listener.CallerListener,
        peers: Peers,
        vm_id: str,
        can_serve: Callable[[str], bool],
        serve: Serve,
    ):
        """Creates it and registers it with the listener.

        Args:
            peer_listener: Accepts the connections of other gateways.
            peers: The other gateways.
            vm_id: Name of this gateway.
            can_serve: Tells whether servers of a service are reachable.
            serve: Serves one request without handing it over again.
        """
        self._listener = peer_listener
        self._peers = peers
        self._vm_id = vm_id
        self._can_serve = can_serve
        self._serve = serve
        self._in_flight_count = 0
        self._in_flight_bytes = 0
        self._lag = _loop_lag.LoopLag()
        peer_listener.serve(self.application)

    @property
    def load(self) -> float:
        """Number of handed over requests that are being served."""
        return self._in_flight_count

    def application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Serves one handover.

        Raises:
            CallerGoneError: The other gateway disconnected.
        """
        fields = dict(environ[listener.HEADERS_KEY])
        read = self._read_offer(environ, fields)
        if isinstance(read, Err):
            # The body is not awaited: it is sent only after an acceptance.
            environ["wsgi.input"].rest_limit_bytes = 0
            return self._refuse(fields, read.err_value, start_response)
        offer = read.ok_value
        body = _CountedBody(self, offer.body_bytes)
        try:
            return self._answer(offer, environ, body, start_response)
        except BaseException:
            body.close()
            raise

    def _read_offer(
        self, environ: _wsgi.Environ, fields: dict[str, str]
    ) -> Result[Offer, hop.Result]:
        """Decides by its head whether a handover is accepted."""
        if not self._peers.is_own_token(fields.get(hop.TOKEN, "")):
            return Err(hop.UNAUTHENTICATED)
        body_bytes = stated_numbers.from_digits(
            fields.get("content-length", "")
        )
        if (
            environ["REQUEST_METHOD"] != "POST"
            or environ[listener.TARGET_KEY] not in _PATHS
            or body_bytes is None
            or body_bytes > BODY_LIMIT_BYTES
        ):
            return Err(hop.MALFORMED)
        offer = Offer(
            fields.get(hop.SENDER, ""),
            fields.get(hop.NUMBER, ""),
            fields.get(hop.REQUEST_ID, ""),
            fields.get(hop.SERVICE, ""),
            body_bytes,
            hop.protocol_of(fields.get(hop.PROTOCOL)),
        )
        if self._listener.stopping or not self._can_serve(offer.service):
            return Err(hop.NO_PATH)
        if (
            self._in_flight_count >= SERVED_LIMIT_COUNT
            or self._in_flight_bytes + offer.body_bytes > SERVED_LIMIT_BYTES
            or self._lag.average_s > LAG_LIMIT_S
        ):
            return Err(hop.BUSY)
        return Ok(offer)

    def _answer(
        self,
        offer: Offer,
        environ: _wsgi.Environ,
        body: "_CountedBody",
        start_response: _wsgi.StartResponse,
    ) -> Iterable[bytes]:
        began_s = time.monotonic()
        received = caller_request.read_body(environ, BODY_LIMIT_BYTES)
        decoded = handover_codec.decode(received)
        if isinstance(decoded, Err):
            body.close()
            logger.bind(handed_over_by=offer.sender).warning(
                "handover rejected: {}", decoded.err_value.message
            )
            fields = {hop.NUMBER: offer.number}
            return self._refuse(fields, hop.MALFORMED, start_response)
        result = hop.ANSWER
        try:
            http_response = self._serve(
                offer, decoded.ok_value, environ[listener.SOCKET_KEY]
            )
        except errors.CallerGoneError:
            self._log(offer, "sender-gone", began_s)
            raise
        except Exception as error:
            result, http_response = self._failure(offer, error)
        self._log(
            offer,
            result,
            began_s,
            status=http_response.status_line[:3],
        )
        start_response(
            http_response.status_line,
            [
                *_relayed_fields(http_response.headers),
                *self._own_fields(offer.number, result),
                *_server_fields(http_response.server),
                *_failure_fields(http_response),
                *_stream_fields(http_response),
            ],
        )
        body.blocks = http_response.body
        if (
            not http_response.is_framed
            and offer.protocol < hop.PROTOCOL_WITH_ENDS
        ):
            body.blocks = _without_end(http_response.body)
        return body

    def _failure(
        self, offer: Offer, error: Exception
    ) -> tuple[hop.Result, HttpResponse]:
        if not isinstance(error, errors.MulberryError):
            # The request may have run in part; the log has the traceback.
            logger.bind(request_id=offer.request_id).exception(
                "a handed over request failed"
            )
        request_error = problems.as_request_error(error)
        if isinstance(request_error, errors.StoppingError):
            # Nothing ran here, and another gateway may have time for it.
            return hop.NO_PATH, _Failure(request_error)
        has_no_path = request_error.outcome == "not-run" and isinstance(
            request_error, errors.NoEngineError | errors.OverloadedError
        )
        if has_no_path and not self._can_serve(offer.service):
            return hop.NO_PATH, _Failure(request_error)
        return hop.ERROR, _Failure(request_error)

    def _refuse(
        self,
        fields: dict[str, str],
        result: hop.Result,
        start_response: _wsgi.StartResponse,
    ) -> Iterable[bytes]:
        _served_total.inc({"result": result})
        if result in (hop.MALFORMED, hop.UNAUTHENTICATED):
            _rejected_total.inc({"reason": result})
        own = self._own_fields(fields.get(hop.NUMBER, ""), result)
        start_response(
            problems.status_line(errors.NotReadyError.status),
            [*own, ("content-length", "0"), ("connection", "close")],
        )
        return [b""]

    def _own_fields(
        self, number: str, result: hop.Result
    ) -> list[tuple[str, str]]:
        return [
            (hop.RESULT, result),
            (hop.NUMBER, number),
            (hop.HELPER, self._vm_id),
            (hop.LOAD, str(self._in_flight_count)),
            (hop.PROTOCOL, str(hop.PROTOCOL_VERSION)),
        ]

    def _log(
        self, offer: Offer, result: str, began_s: float, **more: Any
    ) -> None:
        _served_total.inc({"result": result})
        logger.bind(
            request_id=offer.request_id,
            handed_over_by=offer.sender,
            service=offer.service,
            result=result,
            took_s=round(time.monotonic() - began_s, 4),
            in_flight_count=self._in_flight_count,
            **more,
        ).info("served for another gateway")

    def note_in_flight(self, count: int, body_bytes: int) -> None:
        """Adds to the requests being served, or subtracts from them."""
        self._in_flight_count += count
        self._in_flight_bytes += body_bytes
        if self._in_flight_count:
            self._lag.start()
        else:
            self._lag.close()
        _in_flight_gauge.set({}, self._in_flight_count)


class _Failure(NamedTuple):
    """The response that tells the sender why there is no answer."""

    error: errors.RequestError

    @property
    def status_line(self) -> str:
        return problems.status_line(self.error.status)

    @property
    def headers(self) -> list[tuple[str, str]]:
        return [("content-length", str(len(self.error.message.encode())))]

    @property
    def server(self) -> None:
        return None

    @property
    def is_framed(self) -> bool:
        return True

    @property
    def version_key(self) -> None:
        return None

    @property
    def body(self) -> list[bytes]:
        return [self.error.message.encode()]


def _without_end(blocks: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the blocks of an answer and breaks it off behind the last one.

    Raises:
        AnswerLostError: Always; its sender can't learn otherwise that the
            server did not mark the end.
    """
    yield from blocks
    raise errors.AnswerLostError("the end of the server's answer is not marked")


def _relayed_fields(
    fields: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    for name, value in fields:
        if name.lower() == "content-length":
            yield hop.CONTENT_LENGTH, value
        elif not name.lower().startswith(hop.PREFIX):
            yield name, value


def _server_fields(
    server: fleet.ServerStart | None,
) -> list[tuple[str, str]]:
    if server is None:
        return []
    fields = [(hop.SERVER_ID, server.server_id)]
    if server.started_unix_ms is not None:
        fields.append((hop.SERVER_STARTED_MS, str(server.started_unix_ms)))
    return fields


def _stream_fields(http_response: HttpResponse) -> list[tuple[str, str]]:
    fields = [] if http_response.is_framed else [(hop.END, hop.UNMARKED)]
    if http_response.version_key is not None:
        fields.append((hop.VERSION_KEY, f"{http_response.version_key:016x}"))
    return fields


def _failure_fields(http_response: HttpResponse) -> list[tuple[str, str]]:
    if not isinstance(http_response, _Failure):
        return []
    error = http_response.error
    fields = [(hop.CODE, error.code), (hop.OUTCOME, error.outcome)]
    if error.retry_after_s is not None:
        fields.append((hop.RETRY_AFTER_S, f"{error.retry_after_s:.3f}"))
    return fields


class _CountedBody:
    """The body of a response; its request is in flight until it is closed."""

    def __init__(self, server: HandoverServer, body_bytes: int):
        self.blocks: Iterable[bytes] = ()
        self._server = server
        self._body_bytes = body_bytes
        self._is_closed = False
        server.note_in_flight(1, body_bytes)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.blocks)

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._server.note_in_flight(-1, -self._body_bytes)
        close = getattr(self.blocks, "close", None)
        if close is not None:
            close()

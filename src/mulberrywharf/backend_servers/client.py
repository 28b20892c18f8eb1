"""HTTP client for the backend servers of plain services.

A router also uses it to fetch an answer from the router that ran a request.
The errors are those of ``errors.EngineError``, which cover backend servers too.
"""

from collections.abc import Iterator
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import (
    _answers,
    _connections,
    _exchange,
    _headers,
    errors,
    fleet,
)

DEFAULT_CONNECT_TIMEOUT_S = 1.0
REQUEST_ID_HEADER = "x-request-id"


class ServiceRequest(NamedTuple):
    """One attempt of a ``passthrough.ServiceCall``, as it is sent.

    It goes to a backend server, or to the router that already ran the call, to
    fetch the answer.

    Attributes:
        method: HTTP method.
        path: Request target: path and query, percent-encoded.
        headers: The caller's header fields; hop-by-hop ones are not sent.
        body: The whole body.
        request_id: Sent as ``x-request-id``; an answer that echoes another ID
            is rejected. For a backend server it is the caller's request ID with
            a random part, for another router the caller's request ID itself.
        idempotent: Whether the request may safely run twice.
        timeout_s: Timeout, in seconds, of each single wait for the server; not
            of the whole request.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    idempotent: bool
    timeout_s: float


class BackendAnswer:
    """The answer of a plain service, whose body has not been read yet.

    ``passthrough.ServiceAnswer`` is the answer after its body has been read.

    Attributes:
        status: HTTP status code.
        reason: Reason phrase of the status line.
        headers: End-to-end header fields; repeated fields are not merged.
    """

    def __init__(
        self,
        exchange: _exchange.Exchange,
        answer: _answers.Answer,
        timeout_s: float,
    ):
        self.status = answer.status_code
        self.reason = answer.status_message or ""
        self.headers = _headers.end_to_end(list(answer.items()))
        self._exchange = exchange
        self._timeout_s = timeout_s

    def body(self) -> Iterator[bytes]:
        """Yields the body in blocks; only one is in memory at a time.

        Raises:
            AnswerLostError: The connection failed before the end of the body. A
                relay must then also close its connection to the caller, so that
                the caller does not take the truncated body for a complete one.
        """
        try:
            while True:
                block = self._exchange.read_some(self._timeout_s)
                if isinstance(block, Err):
                    raise block.err_value
                if not block.ok_value:
                    return
                yield block.ok_value
        finally:
            self.close()

    def read_body(self, limit_bytes: int) -> Result[bytes, errors.EngineError]:
        """Reads the whole body into memory.

        Args:
            limit_bytes: Maximum size of the body.

        Returns:
            The body, or an error, such as ``AnswerTooLargeError`` if it is
            larger.
        """
        try:
            return self._exchange.read_all(self._timeout_s, limit_bytes)
        finally:
            self.close()

    def close(self) -> None:
        """Returns the connection to its pool; closes it if bytes are unread."""
        self._exchange.finish()


class BackendClient:
    """Sends requests to plain services; writes each one at most once."""

    def __init__(
        self, connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = _connections.ConnectionPool()

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()

    def forget(self, address: fleet.Address) -> None:
        """Closes the idle connections to a server that was removed."""
        self._pool.forget(address)

    def send(
        self, address: fleet.Address, request: ServiceRequest
    ) -> Result[BackendAnswer, errors.EngineError]:
        """Sends a request and waits for the head of its answer.

        Args:
            address: Address of the backend server.
            request: The request.

        Returns:
            The answer, or an error: ``EngineUnreachableError``,
            ``AnswerLostError``, or ``ForeignAnswerError`` if the answer carries
            another request's ID. The error's ``outcome`` is ``not-run`` if
            nothing was sent and ``unknown`` otherwise.

        Raises:
            BadRequestError: The request is malformed; nothing was sent.
        """
        # A non-idempotent request always uses a new connection. If the server
        # closed an idle one while the request is being sent, it would be
        # unknown whether the request ran.
        pool = self._pool if request.idempotent else None
        opened = _exchange.Exchange.open(
            address, connect_timeout_s=self._connect_timeout_s, pool=pool
        )
        if isinstance(opened, Err):
            return opened
        exchange = opened.ok_value
        try:
            received = _send_and_await_head(exchange, address, request)
        except BaseException:
            exchange.close()
            raise
        if isinstance(received, Err):
            exchange.close()
        return received


def _send_and_await_head(
    exchange: _exchange.Exchange,
    address: fleet.Address,
    request: ServiceRequest,
) -> Result[BackendAnswer, errors.EngineError]:
    received = exchange.send(_wire_request(request), request.timeout_s)
    if isinstance(received, Err):
        return received
    answer = received.ok_value
    echoed = answer.header(REQUEST_ID_HEADER)
    if echoed is not None and echoed != request.request_id:
        _answers.count_foreign(address)
        message = f"{address} sent an answer with another request's id"
        return Err(errors.ForeignAnswerError(message))
    if not answer.is_framed:
        message = f"{address} sent an answer without a length"
        return Err(errors.AnswerLostError(message))
    return Ok(BackendAnswer(exchange, answer, request.timeout_s))


def _wire_request(request: ServiceRequest) -> _exchange.Request:
    headers = dict(_headers.end_to_end(list(request.headers.items())))
    headers[REQUEST_ID_HEADER] = request.request_id
    return _exchange.Request(
        request.method, request.path, headers, request.body
    )

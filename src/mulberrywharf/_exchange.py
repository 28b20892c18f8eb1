"""Performs one HTTP exchange, then closes or reuses its connection.

The client of geventhttpclient silently resends GET, HEAD, PUT, DELETE and
OPTIONS requests when the connection closes before the answer. If a request
with such a method is not idempotent, it could take effect twice, and only the
log of its service would show it. This module writes a request at most once;
the code that uses it retries explicitly.
"""

import errno
import re
import socket
import time
from collections.abc import Callable, Mapping
from functools import singledispatch
from typing import Any, NamedTuple

import gevent
from gevent import select
from geventhttpclient import response as http_response
from result import Err, Ok, Result

from mulberrywharf import _answers, _connections, errors, fleet

DEFAULT_CONNECT_TIMEOUT_S = 1.0

_METHOD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"/[\x21-\x7e]*")
_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
"""Methods without a ``Content-Length`` field when the body is empty; some
servers reject a length of 0 for them."""

_FRAMING_FIELDS = frozenset(("content-length", "host", "transfer-encoding"))
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")
_KEEP_ALIVE_SHARE = 0.8
"""Fraction of the server's keep-alive timeout after which an idle connection is
not reused. If the server closes the connection while a request is sent, it is
unknown whether the request was processed."""

_CONNECTION_ERRORS = (OSError, http_response.HTTPParseError)

_COPIED_LIMIT_BYTES = 16 * 1024
"""Larger bodies are sent apart from the head, without a copy of them."""

_FIRST_ERROR_STATUS = 400
_INTERIM_START = b"HTTP/1.1 100"
_INTERIM_POLL_S = 0.001


class NotSent(NamedTuple):
    """No byte of the request was passed to the kernel."""


class MaybeSent(NamedTuple):
    """Some or all of the request may have been sent; no answer has begun."""


class AnswerBegan(NamedTuple):
    """The head of an answer has arrived.

    Attributes:
        status: HTTP status code of the answer.
    """

    status: int


Stage = NotSent | MaybeSent | AnswerBegan
"""How far an exchange got; it never goes back to an earlier stage.

``policy.outcome.Progress`` describes a failed attempt for the retry decision;
unlike a stage, it tells a refusal apart from other answers.
"""


@singledispatch
def outcome_of(stage: Stage) -> errors.Outcome:
    """Returns the outcome of a request whose exchange failed at a stage."""
    return "unknown"


@outcome_of.register
def _(stage: NotSent) -> errors.Outcome:
    return "not-run"


class Request(NamedTuple):
    """An HTTP request.

    Attributes:
        method: HTTP method.
        path: Origin-form target with its query, already percent-encoded.
        headers: Header fields. Framing fields are ignored, as this module
            writes them itself.
        body: The whole body.
        host: Value of the ``Host`` field; if empty, the address is used.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    host: str = ""


def encode_head(request: Request, address: fleet.Address) -> bytes:
    """Encodes the head of a request in the HTTP/1.1 format.

    Raises:
        BadRequestError: A part contains bytes, such as a line break, that
            would allow request smuggling.
    """
    if not _METHOD.fullmatch(request.method):
        raise errors.BadRequestError("the method is not an HTTP token")
    if not _TARGET.fullmatch(request.path):
        raise errors.BadRequestError("the path is not percent-encoded")
    if not _FIELD_VALUE.fullmatch(request.host):
        raise errors.BadRequestError("the host is malformed")
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {request.host or _host_of(address)}",
    ]
    if request.body or request.method not in _BODILESS_METHODS:
        lines.append(f"content-length: {len(request.body)}")
    for name, value in request.headers.items():
        if name.lower() in _FRAMING_FIELDS:
            continue
        if not _FIELD_NAME.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            raise errors.BadRequestError(f"header {name!r} is malformed")
        lines.append(f"{name}: {value}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1")


def _host_of(address: fleet.Address) -> str:
    host = f"[{address.ip}]" if ":" in address.ip else address.ip
    return f"{host}:{address.port}"


class Exchange:
    """An exchange on one connection; its request is written at most once.

    Attributes:
        stage: How far the exchange got.
        is_new_connection: Whether its connection was opened for it.
        active_s: Monotonic time of the last byte sent or received.
    """

    def __init__(
        self,
        connection: _connections.Connection,
        pool: _connections.ConnectionPool | None,
        *,
        is_new_connection: bool = True,
    ):
        self.stage: Stage = NotSent()
        self.is_new_connection = is_new_connection
        self.active_s = time.monotonic()
        self._is_interrupted = False
        self._connection: _connections.Connection | None = connection
        self._pool = pool
        self._answer: _answers.Answer | None = None
        self._is_request_incomplete = False
        self._timeout_s: float | None = None

    @classmethod
    def open(
        cls,
        address: fleet.Address,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        pool: _connections.ConnectionPool | None = None,
    ) -> Result["Exchange", errors.EngineUnreachableError]:
        """Reuses an idle connection or opens a new one.

        Args:
            address: Address of the server.
            connect_timeout_s: Timeout for opening a new connection.
            pool: Pool of idle connections. None for a request that must not
                run twice: the server may close an idle connection while the
                request is sent, and then it is unknown whether the request
                ran. A new connection does not have this race.
        """
        idle = pool.take(address) if pool is not None else None
        if idle is not None:
            return Ok(cls(idle, pool, is_new_connection=False))
        opened = _connections.Connection.open(address, connect_timeout_s)
        return opened.map(lambda connection: cls(connection, pool))

    @property
    def is_open(self) -> bool:
        """Whether the exchange has not ended."""
        return self._connection is not None

    def keep_in(self, pool: _connections.ConnectionPool) -> "Exchange":
        """Sets the pool that gets the connection after a complete answer.

        Returns:
            This exchange.
        """
        self._pool = pool
        return self

    def send(
        self, request: Request, answer_timeout_s: float
    ) -> Result[_answers.Answer, errors.AnswerLostError]:
        """Writes the request once and waits for the head of the answer.

        Args:
            request: The request.
            answer_timeout_s: Timeout of each wait until the server has
                accepted the request, and then of the whole head.

        Raises:
            BadRequestError: The request is malformed; nothing was sent.
        """
        connection = self._connection
        if connection is None:
            return Err(errors.AnswerLostError("the exchange is closed"))
        head = encode_head(request, connection.address)
        parts = [head, request.body]
        if len(request.body) <= _COPIED_LIMIT_BYTES:
            parts = [head + request.body]
        self._set_timeout(connection, answer_timeout_s)
        try:
            self.stage = MaybeSent()
            self._is_request_incomplete = not all(
                _send_all(connection.sock, part, answer_timeout_s)
                for part in parts
            )
            self.active_s = time.monotonic()
            answer = _read_head(connection, request.method, answer_timeout_s)
        except _CONNECTION_ERRORS as error:
            self.close()
            return Err(self._lost_error(connection, "gave no answer", error))
        except BaseException:
            self.close()
            raise
        self.active_s = time.monotonic()
        self.stage = AnswerBegan(answer.status_code)
        self._answer = answer
        return Ok(answer)

    def offer(
        self, request: Request, accept_timeout_s: float
    ) -> Result[bool, errors.EngineUnreachableError]:
        """Writes the head of a request and waits for the peer to accept it.

        The peer can't process the request without its body, so it certainly
        does not run before ``send_body`` is called.

        Args:
            request: The request; it must have a body.
            accept_timeout_s: How long the peer's reply is awaited.

        Returns:
            Whether the peer accepts the body. If it does not, its answer can
            be read with ``receive``.
        """
        connection = self._connection
        if connection is None or not request.body:
            raise ValueError("only an open exchange can offer a body")
        expecting = request._replace(
            headers={**request.headers, "expect": "100-continue"}
        )
        head = encode_head(expecting, connection.address)
        ends_s = time.monotonic() + accept_timeout_s
        self._set_timeout(connection, accept_timeout_s)
        try:
            connection.sock.sendall(head)
            return Ok(_awaits_body(connection.sock, ends_s))
        except OSError as error:
            self.close()
            message = f"{connection.address} took no request: {error}"
            return Err(errors.EngineUnreachableError(message))
        except BaseException:
            self.close()
            raise

    def send_body(
        self, body: bytes, timeout_s: float
    ) -> Result[None, errors.EngineError]:
        """Writes the body of a request that the peer has accepted.

        Returns:
            An ``EngineUnreachableError`` if a part of the body was not passed
            to the kernel, so that the peer can't have all of it.
        """
        connection = self._connection
        if connection is None:
            return Err(errors.AnswerLostError("the exchange is closed"))
        self._set_timeout(connection, timeout_s)
        try:
            connection.sock.sendall(body[:-1])
            self.stage = MaybeSent()
            connection.sock.sendall(body[-1:])
        except OSError as error:
            self.close()
            message = f"{connection.address} took no request: {error}"
            if self.stage == NotSent():
                return Err(errors.EngineUnreachableError(message))
            return Err(errors.AnswerLostError(message))
        except BaseException:
            self.close()
            raise
        return Ok(None)

    def receive(
        self, answer_timeout_s: float, method: str = "POST"
    ) -> Result[_answers.Answer, errors.AnswerLostError]:
        """Waits for the whole head of the answer to an offered request."""
        connection = self._connection
        if connection is None:
            return Err(errors.AnswerLostError("the exchange is closed"))
        self._set_timeout(connection, answer_timeout_s)
        try:
            answer = _read_head(connection, method, answer_timeout_s)
        except _CONNECTION_ERRORS as error:
            self.close()
            return Err(self._lost_error(connection, "gave no answer", error))
        except BaseException:
            self.close()
            raise
        self.stage = AnswerBegan(answer.status_code)
        self._answer = answer
        return Ok(answer)

    def read_some(
        self, idle_timeout_s: float
    ) -> Result[bytes, errors.AnswerLostError]:
        """Waits for the next bytes of the body; returns b"" at its end.

        Args:
            idle_timeout_s: Timeout until at least one byte of the body or its
                end has arrived.
        """
        connection, answer = self._connection, self._answer
        if connection is None or answer is None:
            return Err(errors.AnswerLostError("the exchange is closed"))
        self._set_timeout(connection, idle_timeout_s)
        try:
            if answer.needs_bytes:
                self._read_until_body(connection, answer, idle_timeout_s)
            self.active_s = time.monotonic()
            body = answer.take_body()
            if not body:
                self._check_end(connection, answer)
            return Ok(body)
        except _CONNECTION_ERRORS as error:
            self.close()
            return Err(
                self._lost_error(
                    connection, "did not complete its answer", error
                )
            )
        except BaseException:
            self.close()
            raise

    def _check_end(
        self, connection: _connections.Connection, answer: _answers.Answer
    ) -> None:
        """Checks that an unmarked end came after the whole request.

        A server that ends while the request arrives may also have broken off:
        the reset for the rest of the request comes after the end. An error
        says enough by its status.

        Raises:
            HTTPParseError: The server ended before it had the request.
        """
        if answer.is_framed or answer.status_code >= _FIRST_ERROR_STATUS:
            return
        if self._is_request_incomplete or connection.unacknowledged_bytes():
            raise http_response.HTTPParseError(
                "it ended before the whole request had arrived"
            )

    def _read_until_body(
        self,
        connection: _connections.Connection,
        answer: _answers.Answer,
        timeout_s: float,
    ) -> None:
        """Reads until some of the body, or its end, has arrived.

        Raises:
            OSError: The connection failed, or only other bytes arrived in time.
            HTTPParseError: The answer is malformed or truncated.
        """
        ends_s = time.monotonic() + timeout_s
        connection.wait_readable(timeout_s)
        answer.read_block()
        while answer.needs_bytes:
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                raise TimeoutError(f"none of the body within {timeout_s} s")
            connection.wait_readable(left_s)
            answer.read_block()

    def _set_timeout(
        self, connection: _connections.Connection, timeout_s: float
    ) -> None:
        # Setting the same timeout again for each token of a stream would
        # noticeably increase the cost of a token.
        if timeout_s != self._timeout_s:
            connection.sock.settimeout(timeout_s)
            self._timeout_s = timeout_s

    def read_all(
        self,
        idle_timeout_s: float,
        limit_bytes: int,
        hold: Callable[[int], bool] = lambda size_bytes: True,
    ) -> Result[bytes, errors.EngineError]:
        """Reads the whole body into memory.

        Args:
            idle_timeout_s: Timeout of each wait for more bytes.
            limit_bytes: Maximum size; a larger body results in an
                ``AnswerTooLargeError``.
            hold: Called with the size of each part; returns whether there is
                memory for it. If not, the result is an ``AnswerMemoryError``.
        """
        body = bytearray()
        while True:
            chunk = self.read_some(idle_timeout_s)
            if isinstance(chunk, Err):
                return chunk
            if not chunk.ok_value:
                return Ok(bytes(body))
            if not hold(len(chunk.ok_value)):
                self.close()
                message = "too many large answers are held at a time"
                return Err(errors.AnswerMemoryError(message))
            body += chunk.ok_value
            if len(body) > limit_bytes:
                self.close()
                message = f"the answer exceeds {limit_bytes} bytes"
                return Err(errors.AnswerTooLargeError(message))

    def release(self) -> None:
        """Ends an exchange that has sent nothing; keeps the connection."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        is_unused = self.is_new_connection and self.stage == NotSent()
        if is_unused and self._pool is not None:
            self._pool.put(connection)
        else:
            connection.close()

    def finish(self) -> None:
        """Ends the exchange; keeps the connection if that is safe.

        A connection with an incomplete, cancelled or unexpected answer is
        closed. Otherwise, its remaining bytes would be read as the answer to
        the next request.
        """
        connection, answer = self._connection, self._answer
        self._connection = None
        if connection is None:
            return
        reusable = answer is not None and answer.is_reusable
        if (
            reusable
            and not self._is_request_incomplete
            and self._pool is not None
        ):
            self._pool.put(connection, _idle_limit_s(answer))
        else:
            connection.close()

    def drain(self, limit_s: float) -> None:
        """Reads the small remainder of an answer, then ends the exchange.

        Bytes that arrive after the connection was closed cause a reset. The
        server would log it as a client that disconnected during the answer.

        Args:
            limit_s: Maximum time for reading the remainder.
        """
        with gevent.Timeout(limit_s, False):
            chunk = self.read_some(limit_s)
            while isinstance(chunk, Ok) and chunk.ok_value:
                chunk = self.read_some(limit_s)
        self.finish()

    def close(self) -> None:
        """Ends the exchange and closes its connection."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    def interrupt(self) -> None:
        """Ends the exchange while another greenlet waits for the peer.

        That greenlet gets a ``PeerSilentError``.
        """
        self._is_interrupted = True
        self.close()

    def _lost_error(
        self,
        connection: _connections.Connection,
        failure: str,
        error: Exception,
    ) -> errors.AnswerLostError:
        message = f"{connection.address} {failure}: {error}"
        if self._is_interrupted or (
            isinstance(error, OSError) and error.errno == errno.ETIMEDOUT
        ):
            return errors.PeerSilentError(message)
        return errors.AnswerLostError(message)


def _read_head(
    connection: _connections.Connection, method: str, timeout_s: float
) -> _answers.Answer:
    """Reads the head of an answer.

    Raises:
        OSError: The connection failed, or the head was not complete in time.
        HTTPParseError: The head is malformed or too large.
    """
    with gevent.Timeout(
        timeout_s, TimeoutError(f"no complete head within {timeout_s} s")
    ):
        return _answers.Answer(connection.sock, method)


def _awaits_body(sock: Any, ends_s: float) -> bool:
    """Waits for an answer; tells whether it is an interim one.

    Raises:
        OSError: The connection failed, or there was no answer in time.
    """
    while True:
        began = sock.recv(len(_INTERIM_START), socket.MSG_PEEK)
        if not began:
            raise ConnectionResetError("the connection was closed")
        if len(began) == len(_INTERIM_START):
            return bool(began == _INTERIM_START)
        if time.monotonic() >= ends_s:
            raise TimeoutError("no complete answer in time")
        gevent.sleep(_INTERIM_POLL_S)


def _send_all(sock: Any, data: bytes, timeout_s: float) -> bool:
    """Writes a request; stops if the answer arrives before it is all written.

    A server may refuse a request with a long body before it has read all of it.
    If the request were still written to the end, nobody would read it, and the
    caller would get the refusal only after its deadline.

    Returns:
        Whether the whole request was written.

    Raises:
        OSError: The connection failed, or accepted no bytes for
            ``timeout_s``.
    """
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[sock._sock.send(unsent) :]
        except BlockingIOError:
            readable, writable, _ = select.select([sock], [sock], [], timeout_s)
            if readable:
                return False
            if not writable:
                raise TimeoutError(
                    f"no bytes accepted for {timeout_s} s"
                ) from None
    return True


def _idle_limit_s(answer: _answers.Answer | None) -> float:
    """Returns how long the connection may be idle before it is discarded."""
    keep_alive = answer.header("keep-alive") if answer is not None else None
    match = _KEEP_ALIVE_TIMEOUT.search(keep_alive or "")
    if match is None:
        return _connections.DEFAULT_IDLE_LIMIT_S
    return int(match.group(1)) * _KEEP_ALIVE_SHARE


def fetch(
    address: fleet.Address,
    request: Request,
    *,
    timeout_s: float,
    limit_bytes: int,
    pool: _connections.ConnectionPool | None = None,
) -> Result[tuple[_answers.Answer, bytes], errors.EngineError]:
    """Sends a request and reads the whole answer into memory.

    Args:
        address: Address of the server.
        request: The request.
        timeout_s: Timeout for connecting, and again for the rest of the
            exchange.
        limit_bytes: Maximum size of the body.
        pool: Pool of idle connections; only for idempotent requests.

    Returns:
        The head and the body of the answer.
    """
    opened = Exchange.open(address, connect_timeout_s=timeout_s, pool=pool)
    if isinstance(opened, Err):
        return opened
    exchange = opened.ok_value
    # A server that sends single bytes at long intervals never exceeds the
    # timeout of a single wait. Without a timeout for the whole exchange, the
    # reader could hang for hours.
    total_timeout = gevent.Timeout(timeout_s)
    try:
        with total_timeout:
            return _fetch(exchange, request, timeout_s, limit_bytes)
    except gevent.Timeout as timeout:
        if timeout is not total_timeout:
            raise
        message = f"{address} did not complete its answer within {timeout_s} s"
        return Err(errors.AnswerLostError(message))
    finally:
        exchange.finish()


def _fetch(
    exchange: Exchange, request: Request, timeout_s: float, limit_bytes: int
) -> Result[tuple[_answers.Answer, bytes], errors.EngineError]:
    sent = exchange.send(request, timeout_s)
    if isinstance(sent, Err):
        return sent
    body = exchange.read_all(timeout_s, limit_bytes)
    answer = sent.ok_value
    return body.map(lambda data: (answer, data))

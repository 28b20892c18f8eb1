"""One HTTP exchange on a connection that the caller of this module owns.

The library's own client resends GET, HEAD, PUT, DELETE and OPTIONS without a
word when the connection closes before the answer. A service whose GET books a
seat would then book two, and only its own log would show it. Here a request
is written once; whoever wants a second try asks for it in plain sight.
"""

import re
import socket
from collections.abc import Mapping
from functools import singledispatch
from typing import Any, NamedTuple

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import response as http_response
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

DEFAULT_CONNECT_TIMEOUT_S = 1.0
READ_BLOCK_BYTES = 16 * 1024
_HEAD_LIMIT_BYTES = 64 * 1024
_IDLE_LIMIT_COUNT = 16
_FIRST_FINAL_STATUS = 200
_LOOP_READ = 1

_METHOD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"/[\x21-\x7e]*")
_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_FRAMING_FIELDS = frozenset(("content-length", "host", "transfer-encoding"))
_LOST_CONNECTION = (OSError, http_response.HTTPParseError)


class NotSent(NamedTuple):
    """No byte of the request was handed to the kernel."""


class MaybeSent(NamedTuple):
    """Some or all of the request may have left; no answer began."""


class AnswerBegan(NamedTuple):
    """The head of an answer arrived.

    Attributes:
        status: Its HTTP status.
    """

    status: int


Stage = NotSent | MaybeSent | AnswerBegan
"""How far an exchange came; it only ever goes forward."""


@singledispatch
def outcome_of(stage: Stage) -> errors.Outcome:
    """Returns what a caller may assume when the exchange failed there."""
    return "unknown"


@outcome_of.register
def _(stage: NotSent) -> errors.Outcome:
    return "not-run"


class Request(NamedTuple):
    """One request.

    Attributes:
        method: HTTP method.
        path: Origin-form target with its query, already percent-encoded.
        headers: Header fields; framing fields are written by this module.
        body: The whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""


def encode(request: Request, address: fleet.Address) -> bytes:
    """Returns the request as it goes over the wire.

    Raises:
        BadRequestError: A part holds bytes, such as a line break, that would
            let a caller smuggle a second request to the back end.
    """
    if not _METHOD.fullmatch(request.method):
        raise errors.BadRequestError("the method is not an HTTP token")
    if not _TARGET.fullmatch(request.path):
        raise errors.BadRequestError("the path is not percent-encoded")
    host = f"[{address.ip}]" if ":" in address.ip else address.ip
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {host}:{address.port}",
        f"content-length: {len(request.body)}",
    ]
    for name, value in request.headers.items():
        if name.lower() in _FRAMING_FIELDS:
            continue
        if not _FIELD_NAME.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            raise errors.BadRequestError(f"header {name!r} is malformed")
        lines.append(f"{name}: {value}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


class Connection:
    """A TCP connection to a back end."""

    def __init__(self, address: fleet.Address, sock: Any):
        self.address = address
        self.sock = sock
        loop = gevent.get_hub().loop
        self._readable = loop.io(sock.fileno(), _LOOP_READ)
        self._silence = loop.timer(0.0)
        self._silence_limit_s = 0.0

    @classmethod
    def open(
        cls, address: fleet.Address, connect_timeout_s: float
    ) -> Result["Connection", errors.EngineUnreachableError]:
        """Connects; small writes leave at once (TCP_NODELAY)."""
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        sock = gevent_socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(connect_timeout_s)
            sock.connect((address.ip, address.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            sock.close()
            message = f"no connection to {address}: {error}"
            return Err(errors.EngineUnreachableError(message))
        except BaseException:
            sock.close()
            raise
        return Ok(cls(address, sock))

    def is_quiet(self) -> bool:
        """Tells whether the idle connection is open and holds no bytes.

        A peek works for any descriptor; select() fails above 1023.
        """
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def wait_readable(self, timeout_s: float) -> None:
        """Waits for bytes or the end, at least one turn of the event loop.

        A greenlet whose socket always has bytes never waits in ``recv``, and
        ``sleep(0)`` lets others run but does not poll their sockets for up
        to gevent's switch interval: beside one busy stream the others' first
        tokens came 90 ms late. A turn of the loop polls every socket.

        Raises:
            OSError: Nothing came in time, or the connection was closed.
        """
        if timeout_s != self._silence_limit_s:
            self._silence.close()
            self._silence = gevent.get_hub().loop.timer(timeout_s, timeout_s)
            self._silence_limit_s = timeout_s
        # One timer that is set again costs less than a Timeout object for
        # each token.
        self._silence.again(self._end_silence)
        try:
            gevent_socket.wait(self._readable)
        finally:
            self._silence.stop()

    def _end_silence(self) -> None:
        limit_s = self._silence_limit_s
        error = TimeoutError(f"nothing came for {limit_s} s")
        gevent.get_hub().cancel_wait(self._readable, error)

    def close(self) -> None:
        """Closes the connection; whoever waits for it gets an OSError."""
        gevent.get_hub().cancel_wait(
            self._readable, gevent_socket.cancel_wait_ex, close_watcher=True
        )
        self._silence.close()
        self.sock.close()


class Answer(http_response.HTTPSocketResponse):
    """The answer to one request, its body read as it comes."""

    def __init__(self, sock: Any, method: str):
        self._final_complete = False
        self._unexpected = False
        self._head_bytes = 0
        super().__init__(sock, block_size=READ_BLOCK_BYTES, method=method)

    @property
    def is_framed(self) -> bool:
        """Whether the answer itself says where it ends.

        Without a length the end of the connection ends the body, so a cut
        answer looks just like a whole one.
        """
        if self.method == "HEAD" or self.status_code in (204, 304):
            return True
        return "content-length" in self or "transfer-encoding" in self

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            self._final_complete
            and not self._unexpected
            and self.is_framed
            and not self.should_close()
        )

    @property
    def needs_bytes(self) -> bool:
        """Whether ``read_some`` has to read from the connection."""
        return not self._body_buffer and not self.message_complete

    def header(self, name: str) -> str | None:
        """Returns a header field; the first if it came several times."""
        value = self.get(name)
        if isinstance(value, list):
            return str(value[0])
        return value

    def read_some(self) -> bytes:
        """Waits for the next bytes of the body.

        Returns:
            At least one byte, or nothing at the end of the answer.

        Raises:
            OSError: The connection failed or timed out.
            HTTPParseError: The answer is malformed or cut off.
        """
        while self.needs_bytes:
            if self._sock is None:
                raise http_response.HTTPConnectionClosed("connection closed")
            self.feed(self._sock.recv(self.block_size))
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def feed(self, data: str | bytes) -> None:
        """Hands bytes of the connection to the parser."""
        if not self.headers_complete:
            self._head_bytes += len(data)
            if self._head_bytes > _HEAD_LIMIT_BYTES:
                raise http_response.HTTPParseError("the head is too large")
        super().feed(data)

    def release(self) -> None:
        """Leaves the socket to the exchange, which owns it."""

    def _on_message_begin(self) -> None:
        # A second answer on the wire would be parsed into this one's body:
        # the caller would get bytes that belong to another request.
        if self._final_complete:
            self._unexpected = True
            raise http_response.HTTPProtocolViolationError("a second answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= _FIRST_FINAL_STATUS:
            self._final_complete = True


class ConnectionPool:
    """Idle connections whose last answer was read to its checked end."""

    def __init__(self, idle_limit_count: int = _IDLE_LIMIT_COUNT):
        self._idle_limit_count = idle_limit_count
        self._idle: dict[fleet.Address, list[Connection]] = {}

    def take(self, address: fleet.Address) -> Connection | None:
        """Returns an idle connection that still looks open, or None."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_quiet():
                return connection
            connection.close()
        return None

    def put(self, connection: Connection) -> None:
        """Keeps a connection, or closes it when there are enough."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) < self._idle_limit_count:
            idle.append(connection)
        else:
            connection.close()

    def forget(self, address: fleet.Address) -> None:
        """Closes the idle connections to an address that left."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            self.forget(address)


class Exchange:
    """One request on one connection, written at most once.

    Attributes:
        stage: How far it came.
    """

    def __init__(self, connection: Connection, pool: ConnectionPool | None):
        self.stage: Stage = NotSent()
        self._connection: Connection | None = connection
        self._pool = pool
        self._answer: Answer | None = None

    @classmethod
    def open(
        cls,
        address: fleet.Address,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        pool: ConnectionPool | None = None,
    ) -> Result["Exchange", errors.EngineUnreachableError]:
        """Takes an idle connection or makes one.

        Args:
            address: The back end.
            connect_timeout_s: For a new connection.
            pool: Where idle connections are kept. None for a request that
                must not run twice: the back end may close an idle connection
                at the moment of sending, and then nobody knows whether the
                request ran. A fresh connection has no such moment.
        """
        idle = pool.take(address) if pool is not None else None
        if idle is not None:
            return Ok(cls(idle, pool))
        opened = Connection.open(address, connect_timeout_s)
        return opened.map(lambda connection: cls(connection, pool))

    def send(
        self, request: Request, answer_timeout_s: float
    ) -> Result[Answer, errors.AnswerLostError]:
        """Writes the request once and waits for the head of the answer.

        Args:
            request: What to send.
            answer_timeout_s: How long each wait for the back end may last.

        Raises:
            BadRequestError: The request is malformed; nothing was sent.
        """
        connection = self._connection
        if connection is None:
            return Err(errors.AnswerLostError("the exchange is closed"))
        data = encode(request, connection.address)
        connection.sock.settimeout(answer_timeout_s)
        try:
            self.stage = MaybeSent()
            connection.sock.sendall(data)
            answer = Answer(connection.sock, request.method)
        except _LOST_CONNECTION as error:
            self.close()
            message = f"{connection.address} gave no answer: {error}"
            return Err(errors.AnswerLostError(message))
        except BaseException:
            self.close()
            raise
        self.stage = AnswerBegan(answer.status_code)
        self._answer = answer
        return Ok(answer)

    def read_some(
        self, idle_timeout_s: float
    ) -> Result[bytes, errors.AnswerLostError]:
        """Waits for the next bytes of the body; none at its end."""
        connection, answer = self._connection, self._answer
        if connection is None or answer is None:
            return Err(errors.AnswerLostError("the exchange is closed"))
        connection.sock.settimeout(idle_timeout_s)
        try:
            if answer.needs_bytes:
                connection.wait_readable(idle_timeout_s)
            return Ok(answer.read_some())
        except _LOST_CONNECTION as error:
            self.close()
            message = f"{connection.address} broke off its answer: {error}"
            return Err(errors.AnswerLostError(message))
        except BaseException:
            self.close()
            raise

    def read_all(
        self, idle_timeout_s: float, limit_bytes: int
    ) -> Result[bytes, errors.EngineError]:
        """Reads the whole body into memory.

        Args:
            idle_timeout_s: How long each wait may last.
            limit_bytes: A larger body is an ``AnswerTooLargeError``.
        """
        body = bytearray()
        while True:
            some = self.read_some(idle_timeout_s)
            if isinstance(some, Err):
                return some
            if not some.ok_value:
                return Ok(bytes(body))
            body += some.ok_value
            if len(body) > limit_bytes:
                self.close()
                message = f"the answer exceeds {limit_bytes} bytes"
                return Err(errors.AnswerTooLargeError(message))

    def finish(self) -> None:
        """Ends the exchange; keeps the connection if that is safe.

        A connection whose answer is unfinished, cancelled or unexpected is
        closed: its remaining bytes would be read as the next request's
        answer.
        """
        connection, answer = self._connection, self._answer
        self._connection = None
        if connection is None:
            return
        reusable = answer is not None and answer.is_reusable
        if reusable and self._pool is not None:
            self._pool.put(connection)
        else:
            connection.close()

    def drain(self, limit_s: float) -> None:
        """Reads what little is left of an answer, then ends the exchange.

        Bytes that meet a closed connection reset it; the back end would take
        that for a caller who left in mid-answer, and log it so.

        Args:
            limit_s: Bound on all of it.
        """
        with gevent.Timeout(limit_s, False):
            some = self.read_some(limit_s)
            while isinstance(some, Ok) and some.ok_value:
                some = self.read_some(limit_s)
        self.finish()

    def close(self) -> None:
        """Ends the exchange and closes its connection."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()


def fetch(
    address: fleet.Address,
    request: Request,
    *,
    timeout_s: float,
    limit_bytes: int,
    pool: ConnectionPool | None = None,
) -> Result[tuple[Answer, bytes], errors.EngineError]:
    """Runs one small exchange with the whole answer in memory.

    Args:
        address: The back end.
        request: What to send.
        timeout_s: For the connection, and for the rest of the exchange.
        limit_bytes: Bound on the body.
        pool: Idle connections, for idempotent requests only.

    Returns:
        The answer's head and its body.
    """
    opened = Exchange.open(address, connect_timeout_s=timeout_s, pool=pool)
    if isinstance(opened, Err):
        return opened
    exchange = opened.ok_value
    # A back end that sends one byte now and then passes every bound on a
    # single wait; without one on the whole its reader would hang for hours.
    bound = gevent.Timeout(timeout_s)
    try:
        with bound:
            return _fetch(exchange, request, timeout_s, limit_bytes)
    except gevent.Timeout as timeout:
        if timeout is not bound:
            raise
        message = f"{address} did not answer whole within {timeout_s} s"
        return Err(errors.AnswerLostError(message))
    finally:
        exchange.finish()


def _fetch(
    exchange: Exchange, request: Request, timeout_s: float, limit_bytes: int
) -> Result[tuple[Answer, bytes], errors.EngineError]:
    sent = exchange.send(request, timeout_s)
    if isinstance(sent, Err):
        return sent
    body = exchange.read_all(timeout_s, limit_bytes)
    answer = sent.ok_value
    return body.map(lambda data: (answer, data))

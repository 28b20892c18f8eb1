"""One HTTP exchange on a connection that the caller of this module owns.

The library's own client resends GET, HEAD, PUT, DELETE and OPTIONS without a
word when the connection closes before the answer. A service whose GET books a
seat would then book two, and only its own log would show it. Here a request
is written once; whoever wants a second try asks for it in plain sight.
"""

import errno
import re
from collections.abc import Mapping
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
"""Without a body they carry no length; some servers refuse a length of 0."""

_FRAMING_FIELDS = frozenset(("content-length", "host", "transfer-encoding"))
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")
_KEEP_ALIVE_SHARE = 0.8
"""Part of the back end's own limit after which an idle connection is not used
again: a request sent just as the back end closes it may or may not have run.
"""

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
        host: What the ``Host`` field says; the address when empty.
    """

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    host: str = ""


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
    return head.encode("latin-1") + request.body


def _host_of(address: fleet.Address) -> str:
    host = f"[{address.ip}]" if ":" in address.ip else address.ip
    return f"{host}:{address.port}"


class Exchange:
    """One request on one connection, written at most once.

    Attributes:
        stage: How far it came.
    """

    def __init__(
        self,
        connection: _connections.Connection,
        pool: _connections.ConnectionPool | None,
    ):
        self.stage: Stage = NotSent()
        self._connection: _connections.Connection | None = connection
        self._pool = pool
        self._answer: _answers.Answer | None = None
        self._was_cut = False
        self._wait_limit_s: float | None = None

    @classmethod
    def open(
        cls,
        address: fleet.Address,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        pool: _connections.ConnectionPool | None = None,
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
        opened = _connections.Connection.open(address, connect_timeout_s)
        return opened.map(lambda connection: cls(connection, pool))

    def keep_in(self, pool: _connections.ConnectionPool) -> "Exchange":
        """Keeps the connection in a pool once the answer was read whole."""
        self._pool = pool
        return self

    def send(
        self, request: Request, answer_timeout_s: float
    ) -> Result[_answers.Answer, errors.AnswerLostError]:
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
        self._limit_waits(connection, answer_timeout_s)
        try:
            self.stage = MaybeSent()
            self._was_cut = not _send_all(
                connection.sock, data, answer_timeout_s
            )
            answer = _answers.Answer(connection.sock, request.method)
        except _LOST_CONNECTION as error:
            self.close()
            return Err(_lost(connection.address, "gave no answer", error))
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
        self._limit_waits(connection, idle_timeout_s)
        try:
            if answer.needs_bytes:
                connection.wait_readable(idle_timeout_s)
            return Ok(answer.read_some())
        except _LOST_CONNECTION as error:
            self.close()
            return Err(_lost(connection.address, "broke off its answer", error))
        except BaseException:
            self.close()
            raise

    def _limit_waits(
        self, connection: _connections.Connection, limit_s: float
    ) -> None:
        # Setting the same timeout again for each token of a stream shows in
        # what the token costs.
        if limit_s != self._wait_limit_s:
            connection.sock.settimeout(limit_s)
            self._wait_limit_s = limit_s

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
        if reusable and not self._was_cut and self._pool is not None:
            self._pool.put(connection, _idle_limit_s(answer))
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


def _lost(
    address: fleet.Address, what: str, error: Exception
) -> errors.AnswerLostError:
    message = f"{address} {what}: {error}"
    if isinstance(error, OSError) and error.errno == errno.ETIMEDOUT:
        return errors.PeerSilentError(message)
    return errors.AnswerLostError(message)


def _send_all(sock: Any, data: bytes, timeout_s: float) -> bool:
    """Writes a request, unless its answer comes before all is written.

    A back end may refuse a long body before it has read it all. Whoever goes
    on writing then waits for a reader that is not there, and its caller gets
    the refusal only when the deadline has passed.

    Returns:
        Whether everything was written.

    Raises:
        OSError: The connection broke, or took no byte for ``timeout_s``.
    """
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sock._sock.send(rest) :]
        except BlockingIOError:
            readable, writable, _ = select.select([sock], [sock], [], timeout_s)
            if readable:
                return False
            if not writable:
                raise TimeoutError(f"no byte taken for {timeout_s} s") from None
    return True


def _idle_limit_s(answer: _answers.Answer | None) -> float:
    """Returns how long the back end keeps the connection for a request."""
    stated = answer.header("keep-alive") if answer is not None else None
    match = _KEEP_ALIVE_TIMEOUT.search(stated or "")
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
) -> Result[tuple[_answers.Answer, bytes], errors.EngineError]:
    sent = exchange.send(request, timeout_s)
    if isinstance(sent, Err):
        return sent
    body = exchange.read_all(timeout_s, limit_bytes)
    answer = sent.ok_value
    return body.map(lambda data: (answer, data))

"""Listens for callers and strictly validates the head of each HTTP request.

gevent's server accepts ambiguous requests: both length headers at once,
``Content-Length: +5``, bare line feeds, folded headers. A proxy in front of
this process, or a server behind it, may parse the same bytes as two requests
(request smuggling), and then answers for one caller reach another on a shared
connection. Every ambiguous head is therefore rejected and its connection
closed.
"""

import io
import re
import time
from typing import Any

import gevent
import gevent.event
import gevent.pool
from gevent import pywsgi
from loguru import logger

from mulberrywharf import (
    _connections,
    _headers,
    _wsgi,
    errors,
    metrics,
    settings,
)
from mulberrywharf.callers import (
    caller_connection,
    connection_intake,
    handshakes,
    problems,
)

HEADERS_KEY = "mulberrywharf.headers"
"""Environ key: header fields in the order received, as a list of (lower-case
name, value)."""
TARGET_KEY = "mulberrywharf.target"
"""Environ key: the request target, with its percent escapes not decoded."""
SOCKET_KEY = "mulberrywharf.socket"
"""Environ key: the socket of the caller's connection."""

UNFRAMED_KEY = "mulberrywharf.unframed"
"""Environ key: set by the application, before it starts its response, if the
response is to have neither a length nor chunks and to end with its connection.
"""

DEFAULT_HEADER_LIMIT_BYTES = 32_768
DEFAULT_BODY_LIMIT_BYTES = 1_000_000
_IDLE_TIMEOUT_S = 75.0
_CONNECTIONS_LIMIT_COUNT = 8192
_DISCARD_BLOCK_BYTES = 16_384
_TARGET_TOO_LONG_STATUS = "414"
_EXPECTED_ERRORS = (OSError, errors.MulberryError)
"""Errors that are logged without a traceback: the caller disconnected, or the
answer could not be completed."""

_HANDSHAKE_WAIT_S = 0.1
"""How long a stop waits for TCP handshakes in progress; longer than the rest of
a handshake takes."""
_NEXT_REQUEST_WAIT_S = 1.0
"""How long a stop leaves an idle connection open for its next request, counted
from its accept or its last answer. That answer's head was sent before the stop
and so did not announce the close; closing at once would abort a request that is
already being sent. A caller short of CPU time may need 100 ms or more to send
it."""
_PIPELINING_S = 1.0
"""How long after the close of the listening socket answers leave a connection
open for a request that was pipelined. A caller who always sends the next one
early must not hold up the stop."""
_LAST_CLOSES_S = 0.1
"""How long a stop that must end waits for callers to close, too."""
_HEAD_WAIT_S = 3.0
"""How long a stop waits for the rest of a request's head, counted from its
first byte. A caller that takes longer would hold up the stop."""
_WAIT_LIMITS_S: dict[caller_connection.Stage, float] = {
    "idle": _NEXT_REQUEST_WAIT_S,
    "head": _HEAD_WAIT_S,
}
"""How long a stop lets connections wait, by stage."""
_STOP_CHECK_INTERVAL_S = 0.05
"""How often a stop checks for connections to end; a twentieth of the time that
idle ones are left open."""

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n"
)
_TARGET = re.compile(r"/[\x21-\x7e]*")
_DIGITS = re.compile(r"[0-9]{1,15}")

_FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})
_REJECTED_METHODS = frozenset({"CONNECT", "TRACE"})

_ended_by_stop_total = metrics.counter(
    "mulberry_connections_ended_by_stop_total",
    "Connections that a stop ended, by what they waited for.",
)


class _BoundedInput(pywsgi.Input):
    """A request body that discards at most a bounded number of unread bytes.

    gevent reads the unread rest of a body to its end to reuse the connection;
    a caller that announces a terabyte could occupy a greenlet indefinitely.

    Attributes:
        is_whole: Whether the body was read to its end.
        rest_limit_bytes: Maximum number of unread bytes to discard.
    """

    __slots__ = ("is_whole", "rest_limit_bytes")

    @property
    def is_read(self) -> bool:
        """Whether the application has read the body to its end."""
        if self.chunked_input:
            return bool(self.chunk_length == 0)
        return bool(self.position >= (self.content_length or 0))

    def read(self, length: int | None = None) -> Any:
        """Reads a part of the body; its rest is not awaited after a stop."""
        try:
            return super().read(length)
        except errors.StoppingError:
            _ended_by_stop_total.inc({"stage": "request"})
            self.rest_limit_bytes = 0
            raise

    def _discard(self) -> None:
        """Discards up to the limit; sets ``is_whole`` at the body's end."""
        left_bytes = self.rest_limit_bytes
        while left_bytes > 0:
            block = self.read(min(_DISCARD_BLOCK_BYTES, left_bytes))
            if not block:
                self.is_whole = True
                return
            left_bytes -= len(block)


class _CallerHandler(_wsgi._Handler):
    """Serves the connection of one caller."""

    def handle_one_request(self) -> Any:
        """Serves one request; the return value is that of gevent's method."""
        self._is_broken = False
        result = self._serve_one_request()
        if result is True or not self.server.stopping or self._is_broken:
            return result
        if result is not None:
            _, raw_response = result
            self.socket.sendall(raw_response)
        self.server.connection(self.socket).linger()
        return None

    def _serve_one_request(self) -> Any:
        connection = self.server.connection(self.socket)
        if not connection.wait_for_request(self.rfile):
            _ended_by_stop_total.inc({"stage": connection.stage})
            return None
        try:
            result = super().handle_one_request()
        except errors.StoppingError as stopping:
            # gevent handles errors in the lines after the first one only.
            return self._handle_client_error(stopping)
        if isinstance(result, tuple) and result[0] == _TARGET_TOO_LONG_STATUS:
            error = errors.RequestTooLargeError("the target is too long")
            return result[0], problems.raw_response(error, "")
        return result

    def read_requestline(self) -> str:
        """Returns the request line, empty if the caller disconnected."""
        line = self.rfile.readline(pywsgi.MAX_REQUEST_LINE)
        return str(line.decode("latin-1"))

    def read_request(self, raw_requestline: str) -> bool:
        """Reads and validates the head of one request.

        Raises:
            ValueError: The head is malformed or ambiguous.
        """
        _check_request_line(raw_requestline)
        super().read_request(raw_requestline)
        return True

    def MessageClass(self, rfile: Any, *_: Any) -> Any:  # noqa: N802
        """Reads and validates the header fields of one request."""
        limit_bytes = self.server.header_limit_bytes
        self.header_fields, raw = _read_fields(rfile, limit_bytes)
        _check_framing(self.header_fields, self.requestline)
        return pywsgi.headers_factory(io.BytesIO(raw))

    def get_environ(self) -> _wsgi.Environ:
        """Returns the WSGI environ with this module's additional keys."""
        environ: _wsgi.Environ = super().get_environ()
        gevent_input: pywsgi.Input = environ["wsgi.input"]
        body = _BoundedInput(
            self.rfile,
            self.content_length,
            socket=gevent_input.socket,
            chunked_input=gevent_input.chunked_input,
        )
        body.is_whole = False
        body.rest_limit_bytes = self.server.body_limit_bytes
        self.wsgi_input = body
        environ["wsgi.input"] = body
        environ[HEADERS_KEY] = self.header_fields
        environ[TARGET_KEY] = self.path
        environ[SOCKET_KEY] = self.socket
        return environ

    def _connection_upgrade_requested(self) -> bool:
        # Upgrades are not supported. If this returned True, gevent would pass
        # the raw connection to the application as an endless body.
        return False

    def handle_one_response(self) -> None:
        """Answers one request.

        Closes the connection if the body was not read to its end.
        """
        self.server.connection(self.socket).enter("request")
        self._ends_with_connection = False
        super().handle_one_response()
        if self._ends_with_connection and not self._is_broken:
            self._set_reset_on_close(is_reset=False)
        # Unread bytes of a body would be parsed as the next request's head.
        if not self.wsgi_input.is_whole:
            self.close_connection = True

    def finalize_headers(self) -> None:
        """Adds ``Connection: close`` while the listener is stopping.

        A caller that has sent its next request already gets that answered, too.
        Removes the framing that gevent adds to a response that has none or, to
        a HEAD request, no body: it would state a length of 0.

        Until the end of a response that ends with its connection, a close
        resets the connection. So it does not look complete if this process is
        killed.
        """
        super().finalize_headers()
        if self.environ.get(UNFRAMED_KEY) or self.command == "HEAD":
            self._remove_added_framing()
        if (
            self.server.stopping
            and not self.close_connection
            and not self._serves_next_request()
        ):
            self.response_headers.append((b"Connection", b"close"))
            self.close_connection = True
        self._ends_with_connection = not self._marks_end()
        if self._ends_with_connection:
            self._set_reset_on_close(is_reset=True)

    def _marks_end(self) -> bool:
        """Returns whether the response states its length or is sent in chunks.

        A response without a body ends with its head.
        """
        return (
            self.response_use_chunked
            or self.command == "HEAD"
            or self.code in _headers.BODILESS_STATUSES
            or any(
                name.lower() == b"content-length"
                for name, _ in self.response_headers
            )
        )

    def _serves_next_request(self) -> bool:
        """Returns whether a stop serves a request sent behind this one."""
        return (
            self.server.serves_pipelined
            and self.wsgi_input.is_read
            and self.server.connection(self.socket).has_bytes(self.rfile)
        )

    def _remove_added_framing(self) -> None:
        self.response_use_chunked = False
        if self.provided_content_length is not None:
            return
        fields: list[tuple[bytes, bytes]] = self.response_headers
        fields[:] = [
            field for field in fields if field[0].lower() not in _FRAMING_FIELDS
        ]
        is_bodiless = self.code in _headers.BODILESS_STATUSES
        has_body = self.command != "HEAD" and not is_bodiless
        if has_body and not self.close_connection:
            fields.append((b"Connection", b"close"))
            self.close_connection = True

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Closes the connection; only internal failures log a traceback."""
        self._is_broken = True
        if issubclass(t, _EXPECTED_ERRORS):
            logger.debug("an answer ended early: {}", v)
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def _set_reset_on_close(self, *, is_reset: bool) -> None:
        try:
            if is_reset:
                _connections.reset_on_close(self.socket)
            else:
                _connections.finish_on_close(self.socket)
        except OSError as error:
            logger.debug("the caller closed the connection before: {}", error)

    def _handle_client_error(self, ex: Exception) -> Any:
        if isinstance(ex, OSError):
            return super()._handle_client_error(ex)
        if isinstance(ex, errors.StoppingError):
            stage = self.server.connection(self.socket).stage
            _ended_by_stop_total.inc({"stage": stage})
        error = _head_error(ex)
        logger.debug("rejected a request head: {}", error.message)
        return str(error.status), problems.raw_response(error, "")


class CallerListener(_wsgi.WsgiServer):
    """Listens for callers; a stop does not abort requests in progress."""

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        header_limit_bytes: int = DEFAULT_HEADER_LIMIT_BYTES,
        body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        connections_limit_count: int = _CONNECTIONS_LIMIT_COUNT,
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
        intake: connection_intake.ConnectionIntake | None = None,
    ):
        super().__init__(ip, port, _no_application)
        self.handler_class = _CallerHandler
        # Further connections wait in the kernel's accept queue. Each accepted
        # one costs a greenlet, so idle connections could exhaust the memory.
        self.set_spawn(gevent.pool.Pool(connections_limit_count))
        self.header_limit_bytes = header_limit_bytes
        self._least_header_limit_bytes = header_limit_bytes
        self.body_limit_bytes = body_limit_bytes
        self._idle_timeout_s = idle_timeout_s
        self._least_idle_timeout_s = idle_timeout_s
        self._intake = intake
        self.stopping = False
        self._last_answer_s = float("inf")
        self._serves_pipelined_until_s = float("inf")
        self._open: dict[Any, caller_connection.CallerConnection] = {}
        self._all_closed = gevent.event.Event()
        self._all_closed.set()

    @classmethod
    def from_config(
        cls, caller_settings: settings.CallersSettings
    ) -> "CallerListener":
        """Binds the port in the settings; accepts nothing before ``start``.

        Args:
            caller_settings: The ``callers`` section of the process's settings.
        """
        return cls(
            caller_settings["listen"]["ip"],
            caller_settings["listen"]["port"],
            header_limit_bytes=caller_settings.get(
                "header_limit_bytes", DEFAULT_HEADER_LIMIT_BYTES
            ),
            body_limit_bytes=caller_settings.get(
                "body_limit_bytes", DEFAULT_BODY_LIMIT_BYTES
            ),
        )

    def allow(
        self, header_bytes: int | None, idle_timeout_s: float | None
    ) -> None:
        """Allows callers what the operators do, where that is more.

        Args:
            header_bytes: Size of the header fields of a request.
            idle_timeout_s: How long a connection may be idle; it applies to
                new connections.
        """
        self.header_limit_bytes = max(
            self._least_header_limit_bytes, header_bytes or 0
        )
        self._idle_timeout_s = max(
            self._least_idle_timeout_s, idle_timeout_s or 0.0
        )

    def serve(self, application: _wsgi.Application) -> None:
        """Stores the WSGI application; call it before ``start``."""
        self.application = application

    def do_handle(self, sock: Any, address: Any) -> None:
        """Starts to serve an accepted connection, if it is to be read."""
        if self.stopping or self._intake is None or self._intake.takes(sock):
            super().do_handle(sock, address)

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one accepted connection until it is closed."""
        sock.settimeout(self._idle_timeout_s)
        self._open[sock] = connection = caller_connection.CallerConnection(sock)
        self._all_closed.clear()
        try:
            super().handle(sock, address)
        except OSError as error:
            logger.debug("a caller's connection broke: {}", error)
        finally:
            del self._open[sock]
            connection.close()
            if not self._open:
                self._all_closed.set()

    def connection(self, sock: Any) -> caller_connection.CallerConnection:
        """Returns the open connection of a socket."""
        return self._open[sock]

    @property
    def serves_pipelined(self) -> bool:
        """Whether a stop still serves requests that were pipelined."""
        return time.monotonic() < self._serves_pipelined_until_s

    def announce_stop(self, last_answer_s: float = float("inf")) -> None:
        """Makes every further answer close its connection.

        Args:
            last_answer_s: Monotonic time by which the last answer must have
                ended, infinite if the stop may take as long as it needs.
        """
        self.stopping = True
        self._last_answer_s = min(self._last_answer_s, last_answer_s)

    def finish(self) -> None:
        """Stops accepting and returns when every connection is closed.

        Connections in the kernel's accept queue are accepted and served:
        closing the listening socket would reset them, and a graceful stop would
        abort their callers' requests.

        Once the last answer must have ended, requests that are still being read
        are refused, and only answers in progress are waited for.
        """
        self.announce_stop()
        handshakes.drop_new_syns(self.socket)
        gevent.sleep(_HANDSHAKE_WAIT_S)
        self.stop_accepting()
        while accepted := self.do_read():
            self.do_handle(*accepted)
        self.socket.close()
        gevent.sleep(0)
        self._serves_pipelined_until_s = time.monotonic() + _PIPELINING_S
        while self._has_work():
            self._end_waits()
            self._all_closed.wait(_STOP_CHECK_INTERVAL_S)

    def _has_work(self) -> bool:
        if time.monotonic() < self._last_answer_s + _LAST_CLOSES_S:
            return bool(self._open)
        return any(one.stage != "closing" for one in self._open.values())

    def _end_waits(self) -> None:
        """Ends connections on which no request is expected any more."""
        now_s = time.monotonic()
        is_over = now_s >= self._last_answer_s
        for connection in self._open.values():
            wait_limit_s = _WAIT_LIMITS_S.get(connection.stage, float("inf"))
            if is_over or now_s - connection.since_s >= wait_limit_s:
                connection.end_wait()


def _no_application(
    environ: _wsgi.Environ, start_response: _wsgi.StartResponse
) -> list[bytes]:
    raise NotImplementedError("the listener was started without an application")


def _head_error(error: Exception) -> errors.RequestError:
    if isinstance(error, errors.RequestError):
        return error
    return errors.BadRequestError(
        f"the head of the request cannot be read: {error}",
        advice="Send one unambiguous HTTP/1.1 request.",
    )


def _check_request_line(line: str) -> None:
    if not line.endswith("\r\n"):
        raise ValueError("the request line does not end with CR LF")
    words = line.removesuffix("\r\n").split(" ")
    if len(words) != 3:
        raise ValueError("the request line is not METHOD TARGET VERSION")
    method, target, version = words
    if not _TOKEN.fullmatch(method.encode("latin-1")):
        raise ValueError("the method is not an HTTP token")
    if method in _REJECTED_METHODS:
        raise ValueError(f"method {method} is not supported")
    if not _TARGET.fullmatch(target):
        raise ValueError("the target is not an absolute path")
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise ValueError("the version is not HTTP/1.1 or HTTP/1.0")


def _read_fields(
    rfile: Any, limit_bytes: int
) -> tuple[list[tuple[str, str]], bytes]:
    fields: list[tuple[str, str]] = []
    raw = bytearray()
    while True:
        line = rfile.readline(limit_bytes + 1)
        raw += line
        if len(raw) > limit_bytes:
            raise errors.RequestTooLargeError(
                f"the header fields exceed {limit_bytes} bytes"
            )
        if line == b"\r\n":
            return fields, bytes(raw)
        match = _FIELD.fullmatch(line)
        if match is None:
            raise ValueError("a header field is malformed")
        name, value = match.groups()
        text = value.decode("latin-1").strip(" \t")
        fields.append((name.decode("ascii").lower(), text))


def _check_framing(fields: list[tuple[str, str]], request_line: str) -> None:
    lengths = [value for name, value in fields if name == "content-length"]
    codings = [value for name, value in fields if name == "transfer-encoding"]
    hosts = [value for name, value in fields if name == "host"]
    if lengths and codings:
        raise ValueError("both Content-Length and Transfer-Encoding are set")
    if len(lengths) > 1 or len(codings) > 1 or len(hosts) > 1:
        raise ValueError(
            "Content-Length, Transfer-Encoding or Host is repeated"
        )
    if lengths and not _DIGITS.fullmatch(lengths[0]):
        raise ValueError("Content-Length is not a number of 1 to 15 digits")
    if codings and codings[0].lower() != "chunked":
        raise ValueError("Transfer-Encoding is not chunked")
    if codings and request_line.rstrip().endswith("HTTP/1.0"):
        raise ValueError("an HTTP/1.0 request has a Transfer-Encoding")

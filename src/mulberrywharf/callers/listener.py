"""The listening socket for callers, strict about what it takes for HTTP.

gevent's server accepts several readings of one message: both length headers
at once, ``Content-Length: +5``, bare line feeds, folded headers. Whatever
stands before or behind this process may read the same bytes as two requests
(request smuggling). One would notice foreign answers on shared connections.
So every head with more than one reading is refused and its connection closed.
"""

import io
import re
import socket
import time
from typing import Any

import gevent
import gevent.event
import gevent.pool
from gevent import pywsgi
from loguru import logger

from mulberrywharf import _wsgi, errors, settings
from mulberrywharf.callers import handshakes, problems

HEADERS_KEY = "mulberrywharf.headers"
"""Environ key: list of (lower-case name, value) as the caller sent them."""
TARGET_KEY = "mulberrywharf.target"
"""Environ key: the request target, percent escapes left as they came."""
SOCKET_KEY = "mulberrywharf.socket"
"""Environ key: the caller's connection."""

DEFAULT_HEADER_LIMIT_BYTES = 32_768
DEFAULT_BODY_LIMIT_BYTES = 1_000_000
_IDLE_TIMEOUT_S = 75.0
_CONNECTIONS_LIMIT_COUNT = 8192
_DISCARD_BLOCK_BYTES = 16_384
_TARGET_TOO_LONG = "414"
_EXPECTED_ENDS = (OSError, errors.MulberryError)
"""A caller that left, and an answer that could not be made whole."""

_HANDSHAKE_S = 0.1
"""Longer than a handshake with a caller that has begun one takes."""
_NEXT_REQUEST_S = 1.0
"""How long a stop leaves a connection open for its next request, counted from
its accept or its last answer. Its caller was not told that the connection
ends: the head of that answer went out before the stop. Closed at once, the
request that is on its way is cut; a caller that is short of processor time
needs some 100 ms and more to send it. No request is waited for longer than that
after the listener has closed either: one that is taken late in a stop may
outlast the grace, and is cut then."""
_END_IDLE_INTERVAL_S = 0.05
"""How often a stop looks for connections that became idle; a twentieth of
what they are left open for."""

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n"
)
_TARGET = re.compile(r"/[\x21-\x7e]*")
_DIGITS = re.compile(r"[0-9]{1,15}")
_REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})


class _BoundedInput(pywsgi.Input):
    """A request body of which at most a bounded rest is thrown away.

    gevent reads an unread body to its end to reuse the connection; a caller
    that announces a terabyte would hold a greenlet for as long as it likes.
    """

    __slots__ = ("is_whole", "rest_limit_bytes")

    def _discard(self) -> None:
        """Reads a bounded rest; sets ``is_whole`` once the end was seen."""
        left_bytes = self.rest_limit_bytes
        while left_bytes > 0:
            part = self.read(min(_DISCARD_BLOCK_BYTES, left_bytes))
            if not part:
                self.is_whole = True
                return
            left_bytes -= len(part)


class _CallerHandler(_wsgi._Handler):
    """Serves one caller's connection."""

    def handle_one_request(self) -> Any:
        """Serves one request; see gevent for what it returns."""
        result = super().handle_one_request()
        if isinstance(result, tuple) and result[0] == _TARGET_TOO_LONG:
            error = errors.RequestTooLargeError("the target is too long")
            return result[0], problems.raw_response(error, "")
        return result

    def read_requestline(self) -> str:
        """Returns the request line, or nothing if the caller went away."""
        line = self.rfile.readline(pywsgi.MAX_REQUEST_LINE)
        return str(line.decode("latin-1"))

    def read_request(self, raw_requestline: str) -> bool:
        """Reads one head.

        Raises:
            ValueError: The head is malformed or has two readings.
        """
        _check_request_line(raw_requestline)
        super().read_request(raw_requestline)
        return True

    def MessageClass(self, rfile: Any, *_: Any) -> Any:  # noqa: N802
        """Reads and checks the header fields of one head."""
        limit_bytes = self.server.header_limit_bytes
        self.fields, raw = _read_fields(rfile, limit_bytes)
        _check_framing(self.fields, self.requestline)
        return pywsgi.headers_factory(io.BytesIO(raw))

    def get_environ(self) -> _wsgi.Environ:
        """Returns the WSGI environ with what the application needs besides."""
        environ: _wsgi.Environ = super().get_environ()
        plain: pywsgi.Input = environ["wsgi.input"]
        body = _BoundedInput(
            self.rfile,
            self.content_length,
            socket=plain.socket,
            chunked_input=plain.chunked_input,
        )
        body.is_whole = False
        body.rest_limit_bytes = self.server.body_limit_bytes
        self.wsgi_input = body
        environ["wsgi.input"] = body
        environ[HEADERS_KEY] = self.fields
        environ[TARGET_KEY] = self.path
        environ[SOCKET_KEY] = self.socket
        return environ

    def _connection_upgrade_requested(self) -> bool:
        # No upgrade is served; taking one for asked would hand the raw
        # connection to the application as a body without an end.
        return False

    def handle_one_response(self) -> None:
        """Answers one request, and ends the connection when stopping."""
        self.server.busy_sockets.add(self.socket)
        try:
            super().handle_one_response()
        finally:
            self.server.busy_sockets.discard(self.socket)
            self.server.note_use(self.socket)
        # What is left of a body would be read as the next request's head.
        if not self.wsgi_input.is_whole or self.server.awaits_no_request:
            self.close_connection = True

    def finalize_headers(self) -> None:
        """Tells the caller when its connection will not be reused."""
        super().finalize_headers()
        if self.server.stopping and not self.close_connection:
            self.response_headers.append((b"Connection", b"close"))
            self.close_connection = True

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Ends the connection; only faults of ours are worth a trace."""
        if issubclass(t, _EXPECTED_ENDS):
            logger.debug("an answer ended early: {}", v)
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def _handle_client_error(self, ex: Exception) -> Any:
        if isinstance(ex, OSError):
            return super()._handle_client_error(ex)
        error = _refusal(ex)
        logger.debug("refused a request head: {}", error.message)
        return str(error.status), problems.raw_response(error, "")


class CallerListener(_wsgi.WsgiServer):
    """The callers' server; on a stop it cuts nobody who was accepted."""

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        header_limit_bytes: int = DEFAULT_HEADER_LIMIT_BYTES,
        body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        connections_limit_count: int = _CONNECTIONS_LIMIT_COUNT,
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
    ):
        super().__init__(ip, port, _no_application)
        self.handler_class = _CallerHandler
        # Connections beyond this wait in the kernel's queue: each costs a
        # greenlet, and idle ones would else fill the memory.
        self.set_spawn(gevent.pool.Pool(connections_limit_count))
        self.header_limit_bytes = header_limit_bytes
        self.body_limit_bytes = body_limit_bytes
        self._idle_timeout_s = idle_timeout_s
        self.stopping = False
        self.busy_sockets: set[Any] = set()
        self._awaits_until_s = float("inf")
        self._last_use_s: dict[Any, float] = {}
        """Open connections, and when each was accepted or last answered on."""
        self._all_closed = gevent.event.Event()
        self._all_closed.set()

    @classmethod
    def from_config(cls, config: settings.CallersSettings) -> "CallerListener":
        """Binds the listener of the settings; nothing is accepted yet."""
        return cls(
            config["listen"]["ip"],
            config["listen"]["port"],
            header_limit_bytes=config.get(
                "header_limit_bytes", DEFAULT_HEADER_LIMIT_BYTES
            ),
            body_limit_bytes=config.get(
                "body_limit_bytes", DEFAULT_BODY_LIMIT_BYTES
            ),
        )

    def serve(self, application: _wsgi.Application) -> None:
        """Sets what answers the requests; call it before ``start``."""
        self.application = application

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one accepted connection until it ends."""
        self.note_use(sock)
        self._all_closed.clear()
        sock.settimeout(self._idle_timeout_s)
        try:
            super().handle(sock, address)
        except OSError as error:
            logger.debug("a caller's connection broke: {}", error)
        finally:
            del self._last_use_s[sock]
            if not self._last_use_s:
                self._all_closed.set()

    def note_use(self, sock: Any) -> None:
        """Notes that a connection was accepted, or answered on, just now."""
        self._last_use_s[sock] = time.monotonic()

    @property
    def awaits_no_request(self) -> bool:
        """Whether a stop has gone so far that idle connections end at once."""
        return time.monotonic() >= self._awaits_until_s

    def announce_stop(self) -> None:
        """Makes every further answer the last one of its connection."""
        self.stopping = True

    def finish(self) -> None:
        """Stops accepting and returns once every connection has ended.

        Connections that the kernel had completed but that were not accepted
        yet are served too: closing the listener would reset them, and their
        callers would see a request cut by a planned stop.
        """
        self.announce_stop()
        handshakes.refuse_new(self.socket)
        gevent.sleep(_HANDSHAKE_S)
        self.stop_accepting()
        while accepted := self.do_read():
            self.do_handle(*accepted)
        self.socket.close()
        gevent.sleep(0)
        self._awaits_until_s = time.monotonic() + _NEXT_REQUEST_S
        while self._last_use_s:
            self._end_idle()
            self._all_closed.wait(_END_IDLE_INTERVAL_S)

    def _end_idle(self) -> None:
        unused_since_s = time.monotonic() - _NEXT_REQUEST_S
        for sock, last_use_s in self._last_use_s.items():
            is_over = last_use_s <= unused_since_s or self.awaits_no_request
            if is_over and sock not in self.busy_sockets:
                _end_reading(sock)


def _no_application(
    environ: _wsgi.Environ, start_response: _wsgi.StartResponse
) -> list[bytes]:
    raise NotImplementedError("the listener was started without application")


def _end_reading(sock: Any) -> None:
    # What the kernel already holds can still be read, so a request that
    # raced with the stop is answered; only then does the reader see an end.
    # gevent's own shutdown would throw into the waiting reader instead and
    # lose such a request: the caller would see its connection closed.
    try:
        sock._sock.shutdown(socket.SHUT_RD)
    except OSError:
        logger.debug("an idle connection ended by itself")


def _refusal(error: Exception) -> errors.RequestError:
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
        raise ValueError("the method is not a token")
    if method in _REFUSED_METHODS:
        raise ValueError(f"{method} is not served")
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
        raise ValueError("both Content-Length and Transfer-Encoding")
    if len(lengths) > 1 or len(codings) > 1 or len(hosts) > 1:
        raise ValueError("a framing header is repeated")
    if lengths and not _DIGITS.fullmatch(lengths[0]):
        raise ValueError("Content-Length is not a number")
    if codings and codings[0].lower() != "chunked":
        raise ValueError("a Transfer-Encoding other than chunked")
    if codings and request_line.rstrip().endswith("HTTP/1.0"):
        raise ValueError("Transfer-Encoding in an HTTP/1.0 request")

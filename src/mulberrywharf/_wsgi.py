"""gevent's WSGI server as every listener of the project uses it."""

import json
import socket
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import gevent.event
from gevent import pywsgi
from loguru import logger

from mulberrywharf import _listening

_BACKLOG_COUNT = 1024

StartResponse = Callable[..., Any]
Environ = dict[str, Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class _ErrorLog:
    """Hands gevent's error lines to the structured log."""

    def write(self, text: str) -> None:
        if text.strip():
            logger.error(text.rstrip())

    def writelines(self, lines: Iterable[str]) -> None:
        self.write("".join(lines))

    def flush(self) -> None:
        """Does nothing; the log flushes itself."""


class _Handler(pywsgi.WSGIHandler):
    """Serves one connection and tells the server while a request runs."""

    def handle_one_response(self) -> None:
        self.server.request_began()
        try:
            super().handle_one_response()
        finally:
            self.server.request_ended()

    def _handle_client_error(self, ex: Exception) -> Any:
        """Answers a head that can't be read; nothing to one that broke off.

        gevent takes a reset in the middle of a head for a malformed one, logs
        a trace of it, and another one when its answer can't be sent.
        """
        if isinstance(ex, OSError):
            logger.debug("a connection broke in the middle of a head: {}", ex)
            return None
        return super()._handle_client_error(ex)

    def _sendall(self, data: bytes | bytearray) -> None:
        """Writes it all, a small write by one call of the kernel.

        gevent's ``sendall`` asks for the size of the send buffer and the time
        first, which adds up when each token of a stream is a write. What the
        kernel does not take at once goes that way, and so does an error:
        bounds and failures stay gevent's.
        """
        try:
            sent_bytes = self.socket._sock.send(data)
        except OSError:
            sent_bytes = 0
        self.response_length += sent_bytes
        if sent_bytes < len(data):
            super()._sendall(memoryview(data)[sent_bytes:])


class WsgiServer(pywsgi.WSGIServer):
    """A listener that sends small writes at once and can finish its work.

    Without TCP_NODELAY the second small write of a connection waits for the
    reader's delayed ACK: a streamed token arrives some 40 ms late.
    """

    def __init__(self, ip: str, port: int, application: Application):
        listener = _listening.listening_socket(
            ip, port, backlog_count=_BACKLOG_COUNT
        )
        super().__init__(
            listener,
            application,
            log=None,
            error_log=_ErrorLog(),
            handler_class=_Handler,
        )
        self.in_flight_count = 0
        self._idle = gevent.event.Event()
        self._idle.set()

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        return int(self.socket.getsockname()[1])

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one accepted connection without delaying small writes."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def request_began(self) -> None:
        """Counts a request in."""
        self.in_flight_count += 1
        self._idle.clear()

    def request_ended(self) -> None:
        """Counts a request out."""
        self.in_flight_count -= 1
        if self.in_flight_count == 0:
            self._idle.set()

    def wait_idle(self) -> None:
        """Waits until no request is in flight, however long that takes."""
        self._idle.wait()


def announce_ready(**fields: object) -> None:
    """Prints the line that tells a supervisor which ports are open."""
    print("READY " + json.dumps(fields), flush=True)

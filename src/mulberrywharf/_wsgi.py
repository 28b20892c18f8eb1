"""gevent's WSGI server, adapted for the listeners of this project."""

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
    """Writes gevent's error lines to the structured log."""

    def write(self, text: str) -> None:
        if text.strip():
            logger.error(text.rstrip())

    def writelines(self, lines: Iterable[str]) -> None:
        self.write("".join(lines))

    def flush(self) -> None:
        """Does nothing; the logger flushes its output."""


class _Handler(pywsgi.WSGIHandler):
    """Serves one connection and counts its requests in flight."""

    def handle_one_response(self) -> None:
        self.server.request_began()
        try:
            super().handle_one_response()
        finally:
            self.server.request_ended()

    def _handle_client_error(self, ex: Exception) -> Any:
        """Answers a malformed request head, unless the connection failed.

        gevent treats a connection reset in the middle of a head as a malformed
        head. It logs a traceback for it, and a second one when its answer
        can't be sent.
        """
        if isinstance(ex, OSError):
            logger.debug(
                "connection failed in the middle of a request head: {}", ex
            )
            return None
        return super()._handle_client_error(ex)

    def _sendall(self, data: bytes | bytearray) -> None:
        """Sends all data; a small write takes one system call.

        gevent's ``sendall`` first reads the size of the send buffer and the
        time, which is costly when each token of a stream is a write. It is
        used only for data that the kernel does not accept at once, and after
        an error, so that gevent's limits and error handling apply.
        """
        try:
            sent_bytes = self.socket._sock.send(data)
        except OSError:
            sent_bytes = 0
        self.response_length += sent_bytes
        if sent_bytes < len(data):
            super()._sendall(memoryview(data)[sent_bytes:])


class WsgiServer(pywsgi.WSGIServer):
    """A WSGI server that sets TCP_NODELAY and can wait for its requests.

    Without TCP_NODELAY, the second small write on a connection waits for the
    delayed ACK of the client, so a streamed token arrives some 40 ms late.
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
        """The TCP port that the server listens on."""
        return int(self.socket.getsockname()[1])

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one accepted connection without delaying small writes."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def request_began(self) -> None:
        """Increments the number of in-flight requests."""
        self.in_flight_count += 1
        self._idle.clear()

    def request_ended(self) -> None:
        """Decrements the number of in-flight requests."""
        self.in_flight_count -= 1
        if self.in_flight_count == 0:
            self._idle.set()

    def wait_idle(self) -> None:
        """Waits without a time limit until no request is in flight."""
        self._idle.wait()


def announce_ready(**fields: object) -> None:
    """Prints the line that tells a supervisor that the process is ready.

    Args:
        **fields: Fields of the line, such as the ports that are open.
    """
    print("READY " + json.dumps(fields), flush=True)

"""What the HTTP stand-ins share: replies, request bodies, broken answers."""

import json
import os
import signal
import socket
from collections.abc import Iterable
from typing import Any, NamedTuple

import gevent
from gevent import pywsgi

from mulberrywharf import _wsgi

SOCKET_KEY = "standins.socket"
"""Where the WSGI environment carries the connection's socket."""

IS_ANSWERED_KEY = "standins.is_answered"
"""Set in the WSGI environment once an application has written its own bytes."""

_STATUS_TEXT = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    403: "403 Forbidden",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class Reply(NamedTuple):
    """One plain JSON answer.

    Attributes:
        status: HTTP status.
        body: Encoded as JSON.
        headers: Further headers.
    """

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()


def send_reply(reply: Reply, start_response: Any) -> Iterable[bytes]:
    """Writes a reply the WSGI way."""
    content = json.dumps(reply.body).encode()
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(content))),
        *reply.headers,
    ]
    start_response(_STATUS_TEXT[reply.status], headers)
    return [content]


def read_json(environ: dict[str, Any]) -> Any:
    """Returns the request's parsed body; raises ValueError."""
    return json.loads(environ["wsgi.input"].read() or b"{}")


def is_peer_gone(environ: dict[str, Any]) -> bool:
    """Tells whether the other side closed its connection."""
    # The plain socket beneath gevent's, whose own recv would wait for data
    # instead of telling that there is none.
    plain = environ[SOCKET_KEY]._sock
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return bool(plain.recv(1, flags) == b"")
    except BlockingIOError:
        return False
    except OSError:
        return True


def break_connection(environ: dict[str, Any]) -> None:
    """Ends the connection at once, in the middle of whatever it carries."""
    try:
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer was faster; the connection is gone either way.
        return


def wait_until_peer_is_gone(environ: dict[str, Any]) -> None:
    """Keeps the connection open and silent for as long as the peer does."""
    while not is_peer_gone(environ):
        gevent.sleep(0.05)


class Handler(_wsgi._Handler):
    """Shows the connection's socket to the application."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = pywsgi.WSGIHandler.get_environ(self)
        environ[SOCKET_KEY] = self.socket
        return environ

    def _send_error_response_if_possible(self, error_code: int) -> None:
        if self.environ.get(IS_ANSWERED_KEY):
            self.close_connection = True
            return
        super()._send_error_response_if_possible(error_code)


def serve(ip: str, port: int, application: Any, **ready: object) -> None:
    """Serves until SIGTERM, which ends the process at once.

    Args:
        ip: Where it listens.
        port: 0 lets the kernel choose.
        application: The WSGI application.
        **ready: Fields of the READY line beside the port.
    """
    server = start_server(ip, port, application)
    end_on_sigterm()
    _wsgi.announce_ready(**ready, port=server.port)
    server.serve_forever()


def end_on_sigterm() -> None:
    """Ends the process at once, with code 0, when SIGTERM comes."""
    gevent.signal_handler(signal.SIGTERM, os._exit, 0)


def start_server(ip: str, port: int, application: Any) -> _wsgi.WsgiServer:
    """Returns a running server whose requests carry their socket."""
    server = _wsgi.WsgiServer(ip, port, application)
    server.handler_class = Handler
    server.start()
    return server

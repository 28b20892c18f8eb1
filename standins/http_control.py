"""What the platform's stand-ins share: rate limits, cuts, start and end."""

import argparse
import signal
import time
from collections.abc import Callable
from typing import Any, Protocol

import gevent
import gevent.event
import gevent.pool

from mulberrywharf import _wsgi
from standins import _http

Environ = dict[str, Any]


def make_server(
    ip: str, port: int, application: _wsgi.Application
) -> _wsgi.WsgiServer:
    """Makes a listener whose answers can be cut."""
    server = _wsgi.WsgiServer(ip, port, application)
    server.handler_class = _http.Handler
    # Without a pool a stopped server goes on answering on the connections
    # that it has: an outage that a test causes would not be one.
    server.set_spawn(gevent.pool.Pool())
    return server


def stop_server(server: _wsgi.WsgiServer) -> None:
    """Stops listening and closes every connection at once."""
    server.stop(timeout=0)


def cut(environ: Environ, start_response: Any) -> list[bytes]:
    """Closes the connection so that no answer reaches the caller."""
    _http.break_connection(environ)
    start_response("500 Cut", [("connection", "close")])
    return []


class RateLimit:
    """A token bucket of one second's worth of calls; 0 means no limit."""

    def __init__(self, per_s: float):
        self.per_s = per_s
        self._tokens = per_s
        self._filled_s = time.monotonic()

    def take(self) -> bool:
        """Takes one call; False if the rate is spent."""
        if not self.per_s:
            return True
        now_s = time.monotonic()
        grown = self._tokens + (now_s - self._filled_s) * self.per_s
        self._tokens = min(max(self.per_s, 1.0), grown)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Standin(Protocol):
    """An in-process stand-in."""

    port: int

    def start(self) -> None:
        """Begins to listen."""

    def close(self) -> None:
        """Stops and closes every connection."""


def run(
    name: str,
    description: str | None,
    add_arguments: Callable[[argparse.ArgumentParser], None],
    build: Callable[[argparse.Namespace], Standin],
) -> None:
    """Runs a stand-in as a program until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    add_arguments(parser)
    standin = build(parser.parse_args())
    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    standin.start()
    _wsgi.announce_ready(name=name, port=standin.port)
    ended.wait()
    standin.close()

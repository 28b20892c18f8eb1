"""TCP connections to back ends, and those that wait for their next request."""

import socket
import time
from typing import Any, NamedTuple

import gevent
from gevent import socket as gevent_socket
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

DEFAULT_IDLE_LIMIT_S = 4.0
"""For an idle connection whose back end states no limit; servers commonly
close after five seconds."""

_IDLE_LIMIT_COUNT = 16
_LOOP_READ = 1
_UNACKNOWLEDGED_LIMIT_MS = 1_500
_KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (
        socket.IPPROTO_TCP,
        getattr(socket, "TCP_USER_TIMEOUT", 18),
        _UNACKNOWLEDGED_LIMIT_MS,
    ),
)
"""A peer that lost its power or its path answers nothing, and neither does a
connection that went silent for good: its request would wait until the caller's
deadline. With these the kernel ends it after 1.5 s without acknowledgement,
and after 3 s in which only an answer is awaited, which no slow but living
server can cause, since its kernel acknowledges. Two retransmissions of a
packet that was lost fit into that time."""


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
            for option in _KEEP_ALIVE_OPTIONS:
                sock.setsockopt(*option)
        except OSError as error:
            sock.close()
            message = f"no connection to {address}: {error}"
            was_refused = isinstance(error, ConnectionRefusedError)
            return Err(
                errors.EngineUnreachableError(message, was_refused=was_refused)
            )
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


class _Idle(NamedTuple):
    """A connection that waits, and until when it may be used again."""

    connection: Connection
    until_s: float


class ConnectionPool:
    """Idle connections whose last answer was read to its checked end."""

    def __init__(self, idle_limit_count: int = _IDLE_LIMIT_COUNT):
        self._idle_limit_count = idle_limit_count
        self._idle: dict[fleet.Address, list[_Idle]] = {}

    def take(self, address: fleet.Address) -> Connection | None:
        """Returns an idle connection that still looks open, or None."""
        idle = self._idle.get(address, [])
        while idle:
            connection, until_s = idle.pop()
            if time.monotonic() < until_s and connection.is_quiet():
                return connection
            connection.close()
        return None

    def put(
        self,
        connection: Connection,
        idle_limit_s: float = DEFAULT_IDLE_LIMIT_S,
    ) -> None:
        """Keeps a connection, or closes it when there are enough.

        Args:
            connection: One whose last answer was read to its end.
            idle_limit_s: How long it may be used again.
        """
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) < self._idle_limit_count and idle_limit_s > 0:
            idle.append(_Idle(connection, time.monotonic() + idle_limit_s))
        else:
            connection.close()

    def forget(self, address: fleet.Address) -> None:
        """Closes the idle connections to an address that left."""
        for connection, _ in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            self.forget(address)

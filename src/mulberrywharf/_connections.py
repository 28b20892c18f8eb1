"""TCP connections to back ends, and a pool of idle ones."""

import fcntl
import socket
import struct
import termios
import time
from typing import Any, NamedTuple

import gevent
from gevent import socket as gevent_socket
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

DEFAULT_IDLE_LIMIT_S = 4.0
"""How long a connection may stay idle if the back end states no limit.

Servers commonly close idle connections after five seconds.
"""

CONFIRM_S = 0.03
"""How long a new connection must stay open for its peer to count as running.
While a process ends, the kernel closes its open connections and its listening
socket one after the other, and connects in between succeed. On a busy machine
the gap is some milliseconds long."""

_CONFIRM_TRIES_COUNT = 3
"""Connections opened to confirm that a peer runs. A running server at its
connection limit closes new connections at once, so the number is bounded."""

_CONFIRM_PAUSE_S = 0.002
_LINGER_ZERO = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)
_MIN_WAIT_S = 0.001
"""A timer of no length never fires."""

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
"""Options with which the kernel detects a peer that no longer responds.

If the peer loses power or the network path fails, nothing is received, and a
request would wait until the caller's deadline. With these options, the kernel
closes the connection if sent data is not acknowledged for 1.5 s, or if the
peer does not respond for 2 s while only an answer is awaited: with a user
timeout, the first probe without a response ends the connection, whatever their
number. A slow server is not affected, because its kernel still acknowledges.
The limits leave time for two retransmissions of a lost packet.
"""


def reset_on_close(sock: Any) -> None:
    """Lets the next close reset a connection and discard its unsent bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def finish_on_close(sock: Any) -> None:
    """Takes ``reset_on_close`` back: the next close sends all bytes first."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


class Connection:
    """A TCP connection to a back end."""

    def __init__(self, address: fleet.Address, sock: Any):
        self.address = address
        self.sock = sock
        loop = gevent.get_hub().loop
        self._readable = loop.io(sock.fileno(), _LOOP_READ)
        self._read_timer = loop.timer(0.0)
        self._read_timeout_s = 0.0

    @classmethod
    def open(
        cls, address: fleet.Address, connect_timeout_s: float
    ) -> Result["Connection", errors.EngineUnreachableError]:
        """Connects with TCP_NODELAY set, so small writes are sent at once."""
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

    @classmethod
    def open_confirmed(
        cls,
        address: fleet.Address,
        connect_timeout_s: float,
        confirm_s: float = CONFIRM_S,
    ) -> Result["Connection", errors.EngineUnreachableError]:
        """Connects, and checks that the peer keeps the connection open.

        Args:
            address: Address of the peer.
            connect_timeout_s: Timeout of each connection attempt.
            confirm_s: How long the connection must stay open.

        Returns:
            A connection that stayed open. An error if the peer refused one,
            cannot be reached or closed each of them.
        """
        for _ in range(_CONFIRM_TRIES_COUNT):
            opened = cls.open(address, connect_timeout_s)
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
            if connection.stays_open(confirm_s):
                return opened
            connection.close()
            gevent.sleep(_CONFIRM_PAUSE_S)
        return Err(
            errors.EngineUnreachableError(
                f"{address} closed {_CONFIRM_TRIES_COUNT} new connections"
            )
        )

    def stays_open(self, duration_s: float) -> bool:
        """Returns whether an idle connection is still open after a time."""
        try:
            self.wait_readable(max(_MIN_WAIT_S, duration_s))
        except TimeoutError:
            # It may have been closed while this process was suspended.
            pass
        except OSError:
            return False
        return self.is_reusable()

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and has no unread bytes.

        It peeks instead of using ``select()``, which fails for descriptors
        above 1023.
        """
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def unacknowledged_bytes(self) -> int:
        """Returns how many sent bytes the peer has not acknowledged."""
        packed = fcntl.ioctl(self.sock, termios.TIOCOUTQ, struct.pack("i", 0))
        return int(struct.unpack("i", packed)[0])

    def wait_readable(self, timeout_s: float) -> None:
        """Waits until bytes or the end of the stream can be read.

        Runs the event loop at least once, which polls every socket. Without
        this, a greenlet whose socket always has bytes never waits in ``recv``,
        and ``sleep(0)`` may not poll sockets for up to gevent's switch
        interval: one busy stream delayed the first tokens of others by 90 ms.

        Raises:
            OSError: The wait timed out, or the connection was closed.
        """
        if timeout_s != self._read_timeout_s:
            self._read_timer.close()
            self._read_timer = gevent.get_hub().loop.timer(timeout_s, timeout_s)
            self._read_timeout_s = timeout_s
        # Restarting one timer costs less than a Timeout object per token.
        self._read_timer.again(self._on_read_timeout)
        try:
            gevent_socket.wait(self._readable)
        finally:
            self._read_timer.stop()

    def _on_read_timeout(self) -> None:
        timeout_s = self._read_timeout_s
        error = TimeoutError(f"no data received for {timeout_s} s")
        gevent.get_hub().cancel_wait(self._readable, error)

    def close(self) -> None:
        """Closes the connection; a greenlet waiting on it gets an OSError."""
        gevent.get_hub().cancel_wait(
            self._readable, gevent_socket.cancel_wait_ex, close_watcher=True
        )
        self._read_timer.close()
        self.sock.close()


class _IdleConnection(NamedTuple):
    """An idle connection and the monotonic time until which it is usable."""

    connection: Connection
    reusable_until_s: float


class ConnectionPool:
    """Idle connections whose last answer was read to its verified end."""

    def __init__(self, idle_limit_count: int = _IDLE_LIMIT_COUNT):
        self._idle_limit_count = idle_limit_count
        self._idle: dict[fleet.Address, list[_IdleConnection]] = {}

    def take(self, address: fleet.Address) -> Connection | None:
        """Removes and returns an idle connection that looks open, or None."""
        idle = self._idle.get(address, [])
        while idle:
            connection, reusable_until_s = idle.pop()
            if time.monotonic() < reusable_until_s and connection.is_reusable():
                return connection
            connection.close()
        return None

    def put(
        self,
        connection: Connection,
        idle_limit_s: float = DEFAULT_IDLE_LIMIT_S,
    ) -> None:
        """Adds a connection, or closes it if the pool for its address is full.

        Args:
            connection: Connection whose last answer was read to its end.
            idle_limit_s: How long it may be idle; it is closed if 0 or less.
        """
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) < self._idle_limit_count and idle_limit_s > 0:
            idle.append(
                _IdleConnection(connection, time.monotonic() + idle_limit_s)
            )
        else:
            connection.close()

    def forget(self, address: fleet.Address) -> None:
        """Closes the idle connections to an address that is no longer used."""
        for connection, _ in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle):
            self.forget(address)

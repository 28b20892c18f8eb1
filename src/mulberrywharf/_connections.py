"""TCP connections to back ends, and those that wait for their next request."""

import socket
from typing import Any

import gevent
from gevent import socket as gevent_socket
from result import Err, Ok, Result

from mulberrywharf import errors, fleet

_IDLE_LIMIT_COUNT = 16
_LOOP_READ = 1


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

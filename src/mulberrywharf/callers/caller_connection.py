"""One connection of a caller, and what it waits for.

A stop closes connections on which no request is under way. Whether one is, only
the greenlet that reads the connection can tell without a race: bytes that the
kernel has received belong to a request although nothing has read them yet. So a
stop never shuts a connection down. It wakes the greenlet, which looks for bytes
once more and ends the connection only if there are none.
"""

import io
import socket
import time
from typing import Any, Literal

import gevent
from gevent import socket as gevent_socket

from mulberrywharf import errors

LINGER_S = 0.5
"""How long bytes of a caller are discarded after the end of sending. A caller
short of CPU time may need 100 ms or more to notice the end."""

_DISCARD_BLOCK_BYTES = 16_384
_READ_EVENT = 1

Stage = Literal["idle", "head", "request", "closing"]
"""What a connection waits for: the first byte of a request, the rest of its
head, the rest of its body and its answer, or the caller's close."""


class _IdleEndError(Exception):
    """A stop ends the connection unless a request has begun."""


class CallerConnection:
    """A connection that is read by one greenlet.

    Attributes:
        stage: What it waits for.
        since_s: Monotonic time at which the stage began.
    """

    def __init__(self, sock: Any):
        self.stage: Stage = "idle"
        self.since_s = time.monotonic()
        self._socket = sock
        self._readable = gevent.get_hub().loop.io(sock.fileno(), _READ_EVENT)

    def close(self) -> None:
        """Releases the watcher; the connection has ended."""
        self._readable.close()

    def enter(self, stage: Stage) -> None:
        """Records that a stage begins now."""
        self.stage = stage
        self.since_s = time.monotonic()

    def wait_for_request(self, reader: io.BufferedReader) -> bool:
        """Waits for the first byte of a request, or for the caller's close.

        Args:
            reader: Reads from the connection.

        Returns:
            False if a stop has ended the wait and no byte has come.

        Raises:
            OSError: The connection failed, or was idle for too long.
        """
        self.enter("idle")
        if not self.has_bytes(reader):
            try:
                gevent_socket.wait(
                    self._readable,
                    self._socket.gettimeout(),
                    TimeoutError("the connection was idle for too long"),
                )
            except _IdleEndError:
                if not self.has_bytes(reader):
                    return False
        self.enter("head")
        return True

    def has_bytes(self, reader: io.BufferedReader) -> bool:
        """Returns whether bytes have come that were not parsed yet.

        Never waits; moves them into the reader's buffer.
        """
        timeout_s = self._socket.gettimeout()
        self._socket.settimeout(0.0)
        try:
            return bool(reader.peek(1))
        except OSError:
            return False
        finally:
            self._socket.settimeout(timeout_s)

    def linger(self) -> None:
        """Ends sending, then waits for the caller to close, too.

        Closing a connection on which bytes arrive resets it, and the caller
        could lose the end of an answer that it has not read yet.
        """
        self.enter("closing")
        try:
            self._socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while self._socket.recv(_DISCARD_BLOCK_BYTES):
                    pass
        except OSError:
            # The caller has reset the connection.
            return

    def end_wait(self) -> None:
        """Ends a wait for bytes of a request, as a stop does.

        A connection on which no request has begun ends. Where one is half
        read, the reader gets a ``StoppingError``. An answer in progress is not
        affected, and neither is the wait for the caller's close.
        """
        if self.stage == "idle":
            gevent.get_hub().cancel_wait(self._readable, _IdleEndError())
        elif self.stage != "closing":
            # Only the reader waits for this event; the caller watch has its
            # own.
            gevent.get_hub().cancel_wait(
                self._socket._read_event,
                errors.StoppingError("the request did not come in time"),
            )

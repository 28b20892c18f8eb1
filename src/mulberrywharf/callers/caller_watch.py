"""Detects that a caller disconnected while its answer is being produced.

Without this, a disconnect shows only at the next write: the request of a
caller that gives up in the queue or during a long prefill would go on
occupying an engine, which generates tokens that nobody reads.
"""

import socket
from typing import Any

import gevent
import gevent.hub

from mulberrywharf import errors, metrics

_READ_EVENT = 1
_TCP_CLOSE = 7
_TCP_CLOSE_WAIT = 8
_CAUSES: dict[int, errors.DisconnectCause] = {
    _TCP_CLOSE: "reset",
    _TCP_CLOSE_WAIT: "closed",
}
"""Causes by the state of the connection. In any other state the caller has not
ended it, so this process has shut down reading."""

_disconnects_total = metrics.counter(
    "mulberry_caller_disconnects_total",
    "Requests cancelled because their connection could not be read, by cause.",
)


class CallerWatch:
    """Raises ``CallerGoneError`` in its greenlet if the caller disconnects.

    The greenlet is the one that creates the watch. The error is raised only
    between ``enable`` and ``disable``, while the greenlet waits for the answer;
    a write detects a disconnect by itself. One watch serves a whole answer, as
    creating one for each block of a stream costs more than relaying the block.
    A caller that half-closes its connection counts as disconnected.
    """

    def __init__(self, sock: Any):
        self._socket = sock
        self._greenlet = gevent.getcurrent()
        self._watcher: Any = None
        self._is_enabled = False
        self._error: errors.CallerGoneError | None = None

    def start(self) -> None:
        """Starts the watch; call it after the request body has been read."""
        loop = gevent.hub.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), _READ_EVENT)
        self._watcher.start(self._on_readable)

    def close(self) -> None:
        """Ends the watch; raises nothing in the greenlet after this."""
        self._is_enabled = False
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def enable(self) -> None:
        """Lets a disconnect interrupt the greenlet until ``disable``.

        Raises:
            CallerGoneError: The caller has already disconnected.
        """
        if self._error is not None:
            raise self._error
        self._is_enabled = True

    def disable(self) -> None:
        """Stops a disconnect from interrupting the greenlet."""
        self._is_enabled = False

    def _on_readable(self) -> None:
        if self._watcher is None:
            return
        self._watcher.stop()
        if not _is_at_end(self._socket):
            # The caller pipelined its next request. A disconnect behind those
            # bytes can't be detected without reading them.
            return
        cause = _disconnect_cause(self._socket)
        _disconnects_total.inc({"cause": cause})
        self._error = errors.CallerGoneError(
            f"the connection of the caller ended: {cause}", cause=cause
        )
        if self._is_enabled:
            gevent.kill(self._greenlet, self._error)


def _is_at_end(sock: Any) -> bool:
    try:
        # ``_sock`` is the standard library's socket that gevent's socket wraps.
        # Its ``recv`` returns at once with this flag.
        peeked = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not peeked


def _disconnect_cause(sock: Any) -> errors.DisconnectCause:
    try:
        # The first byte of the kernel's ``struct tcp_info`` is the state.
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return "reset"
    return _CAUSES.get(state, "own-shutdown")

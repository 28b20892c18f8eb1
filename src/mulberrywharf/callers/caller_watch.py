"""Detects that a caller disconnected while its answer is being produced.

Without this, a disconnect shows only at the next write: the request of a
caller that gives up in the queue or during a long prefill would go on
occupying an engine, which generates tokens that nobody reads.
"""

import socket
from typing import Any

import gevent
import gevent.hub

from mulberrywharf import errors

_READ_EVENT = 1


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
        self._is_disconnected = False

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
        if self._is_disconnected:
            raise _caller_gone_error()
        self._is_enabled = True

    def disable(self) -> None:
        """Stops a disconnect from interrupting the greenlet."""
        self._is_enabled = False

    def _on_readable(self) -> None:
        if self._watcher is None:
            return
        self._watcher.stop()
        if not _is_closed_by_caller(self._socket):
            # The caller pipelined its next request. A disconnect behind those
            # bytes can't be detected without reading them.
            return
        self._is_disconnected = True
        if self._is_enabled:
            gevent.kill(self._greenlet, _caller_gone_error())


def _caller_gone_error() -> errors.CallerGoneError:
    return errors.CallerGoneError("the caller closed its connection")


def _is_closed_by_caller(sock: Any) -> bool:
    try:
        # ``_sock`` is the standard library's socket that gevent's socket wraps.
        # Its ``recv`` returns at once with this flag.
        peeked = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not peeked

"""Notices a caller that went away while its answer is still being made.

A router that only writes learns of it at the next write: a caller that gives
up in the queue, or during a long prefill, would go on occupying an engine.
One would notice engines generating tokens for nobody.
"""

import socket
from types import TracebackType
from typing import Any

import gevent
import gevent.hub

from mulberrywharf import errors

_READ = 1


class CallerWatch:
    """Throws ``CallerGoneError`` into its greenlet when the caller leaves.

    Use as a context manager around the work for one request, after its body
    was read. A caller that half-closes its connection counts as gone.
    """

    def __init__(self, sock: Any):
        self._socket = sock
        self._greenlet = gevent.getcurrent()
        self._watcher: Any = None

    def start(self) -> None:
        """Begins to watch."""
        loop = gevent.hub.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), _READ)
        self._watcher.start(self._readable)

    def close(self) -> None:
        """Ends the watch; no exception comes after this."""
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def __enter__(self) -> "CallerWatch":
        """Begins to watch."""
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the watch."""
        self.close()

    def _readable(self) -> None:
        if self._watcher is None:
            return
        self._watcher.stop()
        if not _has_ended(self._socket):
            # The next request of the connection has come early; what
            # follows it cannot be seen without reading it.
            return
        gone = errors.CallerGoneError("the caller closed its connection")
        gevent.kill(self._greenlet, gone)


def _has_ended(sock: Any) -> bool:
    try:
        # The socket beneath gevent's: its recv never waits.
        peeked = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not peeked

"""Notices a caller that went away while its answer is still being made.

A router that only writes learns of it at the next write: a caller that gives
up in the queue, or during a long prefill, would go on occupying an engine.
One would notice engines generating tokens for nobody.
"""

import socket
from typing import Any

import gevent
import gevent.hub

from mulberrywharf import errors

_READ = 1


class CallerWatch:
    """Throws ``CallerGoneError`` into its greenlet when the caller leaves.

    It does so only between ``expect`` and ``ignore``, that is while the
    answer is waited for; in a write the caller's end shows by itself. One
    watch serves a whole answer, because making one for each block of a
    stream costs more than passing the block on. A caller that half-closes
    its connection counts as gone.
    """

    def __init__(self, sock: Any):
        self._socket = sock
        self._greenlet = gevent.getcurrent()
        self._watcher: Any = None
        self._is_expected = False
        self._is_gone = False

    def start(self) -> None:
        """Begins to watch, after the request's body was read."""
        loop = gevent.hub.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), _READ)
        self._watcher.start(self._readable)

    def close(self) -> None:
        """Ends the watch; no exception comes after this."""
        self._is_expected = False
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def expect(self) -> None:
        """Lets the caller's end interrupt what follows.

        Raises:
            CallerGoneError: It has left already.
        """
        if self._is_gone:
            raise _gone()
        self._is_expected = True

    def ignore(self) -> None:
        """Ends what ``expect`` began."""
        self._is_expected = False

    def _readable(self) -> None:
        if self._watcher is None:
            return
        self._watcher.stop()
        if not _has_ended(self._socket):
            # The next request of the connection has come early; what
            # follows it cannot be seen without reading it.
            return
        self._is_gone = True
        if self._is_expected:
            gevent.kill(self._greenlet, _gone())


def _gone() -> errors.CallerGoneError:
    return errors.CallerGoneError("the caller closed its connection")


def _has_ended(sock: Any) -> bool:
    try:
        # The socket beneath gevent's: its recv never waits.
        peeked = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not peeked

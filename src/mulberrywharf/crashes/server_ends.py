"""Distinguishes the end of a server process from a lost connection.

Both interrupt an exchange. After the process has ended, nothing listens at the
server's address until the server restarts some seconds later. A network that
has failed may refuse connections, too, but then to all servers.
"""

from collections.abc import Callable
from typing import Protocol

import gevent
from result import Ok, Result

from mulberrywharf import _connections, clock, errors, fleet

CACHE_TTL_S = 0.5
"""How long a detected end is remembered. All exchanges with a server fail
together when it ends, and one probe is enough for all of them."""


class Prober(Protocol):
    """Checks whether servers accept connections."""

    def probe(
        self, address: fleet.Address
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server and checks that the connection stays open."""
        ...


class TcpProber:
    """Opens a TCP connection to a server and closes it again."""

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s

    def probe(
        self, address: fleet.Address
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server and checks that the connection stays open."""
        opened = _connections.Connection.open_confirmed(
            address, self._timeout_s
        )
        return opened.map(lambda connection: connection.close())


class ServerEnds:
    """Detects whether server processes have ended."""

    def __init__(
        self,
        prober: Prober,
        system_clock: clock.Clock,
        is_path_working: Callable[[fleet.ServerStart], bool] = lambda _: True,
        on_running: Callable[[fleet.ServerStart], None] = lambda _: None,
    ):
        """Creates it.

        Args:
            prober: Checks whether servers accept connections.
            system_clock: Times the ends.
            is_path_working: Tells whether other servers than the given one can
                be reached, so that its refusal says something about itself.
            on_running: Called with a server that was probed and has not ended.
        """
        self._on_running = on_running
        self._prober = prober
        self._clock = system_clock
        self._is_path_working = is_path_working
        self._probes: dict[fleet.ServerStart, gevent.Greenlet] = {}
        self._ended_s: dict[fleet.ServerStart, float] = {}

    def ended_s(
        self, start: fleet.ServerStart, address: fleet.Address
    ) -> float | None:
        """Returns the monotonic time at which the end of a server was detected.

        All calls for one end return the same time. Returns None if the server
        has not ended. A server that does not respond at all may be running on
        the other side of a network partition, so it does not count as ended.

        Args:
            start: The server process.
            address: Where the server listens.
        """
        cached_s = self._cached_s(start)
        if cached_s is not None:
            return cached_s
        probe = self._probes.get(start)
        if probe is None:
            probe = self._probes[start] = gevent.spawn(
                self._probe, start, address
            )
        found: float | None = probe.get()
        return found

    def _probe(
        self, start: fleet.ServerStart, address: fleet.Address
    ) -> float | None:
        path_check = gevent.spawn(self._is_path_working, start)
        try:
            probed = self._prober.probe(address)
            if isinstance(probed, Ok):
                self._on_running(start)
            elif probed.err_value.was_refused and path_check.get():
                self._ended_s[start] = self._clock.monotonic_s()
        finally:
            path_check.kill(block=False)
            del self._probes[start]
        return self._ended_s.get(start)

    def _cached_s(self, start: fleet.ServerStart) -> float | None:
        since_s = self._clock.monotonic_s() - CACHE_TTL_S
        self._ended_s = {
            ended: at_s
            for ended, at_s in self._ended_s.items()
            if at_s > since_s
        }
        return self._ended_s.get(start)

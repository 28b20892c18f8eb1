"""Tells a server that ended from an answer that was lost.

Both break off an exchange. Behind an end nobody listens at the server's
address, until it starts again some seconds later.
"""

from typing import Protocol

import gevent
from result import Err, Result

from mulberrywharf import _connections, clock, errors, fleet

REMEMBERED_S = 0.5
"""All exchanges with a server break off together when it ends; one connection
tells for all of them."""


class Prober(Protocol):
    """Connects to servers."""

    def probe(
        self, address: fleet.Address
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server."""
        ...


class Connector:
    """Connects to servers and closes the connection."""

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s

    def probe(
        self, address: fleet.Address
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server."""
        opened = _connections.Connection.open(address, self._timeout_s)
        return opened.map(lambda connection: connection.close())


class ServerEnds:
    """Finds out whether servers ended."""

    def __init__(self, prober: Prober, system_clock: clock.Clock):
        self._prober = prober
        self._clock = system_clock
        self._probes: dict[fleet.ServerStart, gevent.Greenlet] = {}
        self._ended_s: dict[fleet.ServerStart, float] = {}

    def ended_s(
        self, start: fleet.ServerStart, address: fleet.Address
    ) -> float | None:
        """Returns when it was seen that nobody listens at an address.

        The same instant for all that ask of one end, None for a server that
        lives. One that gives no answer at all may live behind a cut, so it
        does not count as ended.
        """
        seen_s = self._seen_s(start)
        if seen_s is not None:
            return seen_s
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
        try:
            probed = self._prober.probe(address)
        finally:
            del self._probes[start]
        if isinstance(probed, Err) and probed.err_value.was_refused:
            self._ended_s[start] = self._clock.monotonic_s()
        return self._ended_s.get(start)

    def _seen_s(self, start: fleet.ServerStart) -> float | None:
        since_s = self._clock.monotonic_s() - REMEMBERED_S
        self._ended_s = {
            ended: at_s
            for ended, at_s in self._ended_s.items()
            if at_s > since_s
        }
        return self._ended_s.get(start)

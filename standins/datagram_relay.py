"""A relay of datagrams between two peers that loses them on request."""

from typing import Any, Literal

import gevent
from gevent import socket

Address = tuple[str, int]
Way = Literal["to-first", "to-second"]
WAYS: tuple[Way, Way] = ("to-first", "to-second")

_DATAGRAM_LIMIT_BYTES = 65_535


class DatagramRelay:
    """Carries datagrams between two peers.

    Each peer knows the other one by an address of the relay, and gets its
    datagrams from there.

    Attributes:
        lost_ways: Ways on which all datagrams are lost.
        carried_count: Datagrams passed on.
        lost_count: Datagrams lost.
    """

    def __init__(
        self,
        peers: tuple[Address, Address],
        seen_as: tuple[Address, Address],
    ):
        """Creates it; nothing is carried before ``start``.

        Args:
            peers: Addresses of the peers.
            seen_as: Addresses by which the other one knows each of them.
        """
        self.lost_ways: frozenset[Way] = frozenset()
        self.carried_count = 0
        self.lost_count = 0
        self._peers = peers
        self._seen_as = seen_as
        self._sockets: list[Any] = []
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begins to carry datagrams."""
        for address in self._seen_as:
            made = socket.socket(type=socket.SOCK_DGRAM)
            made.bind(address)
            self._sockets.append(made)
        self._tasks = [
            gevent.spawn(self._carry, at, way) for at, way in enumerate(WAYS)
        ]

    def close(self) -> None:
        """Stops."""
        gevent.killall(self._tasks)
        for made in self._sockets:
            made.close()

    def _carry(self, at: int, way: Way) -> None:
        """Carries what comes to the address of one peer to that peer."""
        while True:
            try:
                data = self._sockets[at].recv(_DATAGRAM_LIMIT_BYTES)
                if way in self.lost_ways:
                    self.lost_count += 1
                    continue
                self._sockets[1 - at].sendto(data, self._peers[at])
                self.carried_count += 1
            except OSError:
                # An ICMP error tells that a peer has stopped.
                self.lost_count += 1

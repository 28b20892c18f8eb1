"""Tells whether this gateway is in contact with other availability zones.

Any datagram of a gateway in another zone shows it. In a small fleet without
traffic there may be none for long, so that one gateway of each other zone is
asked for a reply.
"""

import random
from typing import Protocol

from mulberrywharf import clock, fleet
from mulberrywharf.peers import datagrams, topics

CONTACT_S = 4.0
"""Time since the last datagram from another zone after which this gateway
counts as separated from the other zones. Three questions, one a second, may be
lost before."""

ASK_AFTER_S = 1.0
"""Time without a datagram from another zone after which one is asked for. With
traffic, and in large fleets always, some come every second."""

_QUESTION = b"?"
_REPLY = b"!"


class Peers(Protocol):
    """The other gateways."""

    def other_zone_addresses(self) -> dict[str, tuple[fleet.Address, ...]]:
        """Returns the gateways of each other zone."""
        ...


class ZoneContact:
    """Asks gateways of other zones, and replies to theirs."""

    def __init__(
        self,
        peers: Peers,
        socket: datagrams.PeerSocket,
        exchange: topics.TopicExchange,
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the exchange.

        Args:
            peers: The other gateways.
            socket: Receives the datagrams of all kinds.
            exchange: Carries questions and replies.
            system_clock: Source of monotonic time.
        """
        self._peers = peers
        self._socket = socket
        self._exchange = exchange
        self._clock = system_clock
        exchange.register(b"z", self._on_message)

    def check(self) -> bool:
        """Returns whether another zone is in contact; asks if in doubt.

        A gateway that knows no other zone is not separated from one. Nothing
        is sent unless this is called, at most about once a second.
        """
        by_zone = self._peers.other_zone_addresses()
        if not by_zone:
            return True
        heard_s = max(
            self._socket.heard_s(address)
            for addresses in by_zone.values()
            for address in addresses
        )
        silent_s = self._clock.monotonic_s() - heard_s
        if silent_s > ASK_AFTER_S:
            asked = [random.choice(known) for known in by_zone.values()]
            self._exchange.send(b"z", _QUESTION, asked, is_urgent=False)
        return silent_s <= CONTACT_S

    def _on_message(self, body: bytes, source: fleet.Address) -> bool:
        if body == _QUESTION:
            self._exchange.send(b"z", _REPLY, (source,), is_urgent=False)
        return body in (_QUESTION, _REPLY)

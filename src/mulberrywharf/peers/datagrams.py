"""Datagrams between gateways, and the bytes that they may cost."""

from collections.abc import Callable
from typing import Literal, Protocol

import gevent
import xxhash
from gevent import socket
from loguru import logger

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.policy import token_bucket

SENT_BYTES_PER_S = 2_000
"""What a node may spend on control, from the operators' letter."""

SENT_BURST_BYTES = 60_000
"""Half a minute's worth, for bursts of long prompts: 120 bytes to each of
eight peers, seven times a second, for ten seconds."""

DATAGRAM_LIMIT_BYTES = 1_472
"""What a datagram carries unfragmented, its kind and checksum included."""

_CHECKSUM_BYTES = 4

DATAGRAM_OVERHEAD_BYTES = 28 + 1 + _CHECKSUM_BYTES
"""IP and UDP headers, the byte that names the kind, and the checksum."""

_PAUSE_BEHIND_ERROR_S = 0.002

Kind = Literal[b"n", b"q", b"c", b"u", b"f"]
"""Notices to many gateways; messages on the queue of one engine to one; reports
on servers that ended to all; announcements of the usage collector to all and
usage counts to the collector; questions about confirmed routes and their
replies to one."""

_sent_bytes = metrics.counter(
    "mulberry_notices_sent_bytes_total",
    "Bytes to other gateways, by kind of datagram.",
)
_received = metrics.counter(
    "mulberry_notices_received_total", "Datagrams received, by result."
)


class Peers(Protocol):
    """The other gateways."""

    def knows(self, ip: str) -> bool:
        """Tells whether a gateway has this address."""
        ...


class PeerSocket:
    """Sends datagrams to other gateways and hands out those that come.

    Attributes:
        budget: The bytes that may be sent; in debt where messages that can't
            wait took more.
    """

    def __init__(
        self, listen: fleet.Address, peers: Peers, system_clock: clock.Clock
    ):
        """Makes it; nothing is sent or received before ``start``.

        Args:
            listen: Where datagrams are taken.
            peers: The other gateways; others are not heard.
            system_clock: Measures what is spent.
        """
        self._listen = listen
        self._peers = peers
        self._clock = system_clock
        self._takers: dict[bytes, Callable[[bytes, fleet.Address], bool]] = {}
        self.budget = token_bucket.TokenBucket(
            SENT_BYTES_PER_S, SENT_BURST_BYTES, system_clock.monotonic_s()
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._receiving: gevent.Greenlet | None = None

    def on_datagram(
        self, kind: Kind, take: Callable[[bytes, fleet.Address], bool]
    ) -> None:
        """Sets who takes in the datagrams of a kind.

        Args:
            kind: The kind.
            take: Called with the bytes and the sender; returns whether they
                could be read.
        """
        self._takers[kind] = take

    def start(self) -> None:
        """Begins to receive."""
        self._socket.bind((self._listen.ip, self._listen.port))
        self._receiving = gevent.spawn(self._receive)

    def close(self) -> None:
        """Stops it."""
        if self._receiving is not None:
            self._receiving.kill()
        self._socket.close()

    def wait_s(self, datagram: bytes, peers_count: int) -> float:
        """Returns how long until a datagram's bytes may be spent."""
        cost = _cost(datagram, peers_count)
        return self.budget.wait_s(cost, self._clock.monotonic_s())

    def send(
        self, kind: Kind, datagram: bytes, peers: tuple[fleet.Address, ...]
    ) -> None:
        """Sends a datagram to each of the peers, whatever that costs."""
        cost = _cost(datagram, len(peers))
        self.budget.fill(self._clock.monotonic_s())
        self.budget.take(cost)
        _sent_bytes.add({"kind": kind.decode()}, cost)
        sealed = seal(kind, datagram)
        for peer in peers:
            try:
                self._socket.sendto(sealed, (peer.ip, peer.port))
            except OSError as error:
                logger.debug("no datagram to {}: {}", peer, error)

    def _receive(self) -> None:
        while True:
            try:
                datagram, source = self._socket.recvfrom(DATAGRAM_LIMIT_BYTES)
            except OSError as error:
                # Such as an ICMP error of a peer that is gone.
                logger.debug("no datagram received: {}", error)
                gevent.sleep(_PAUSE_BEHIND_ERROR_S)
                continue
            self._take(datagram, fleet.Address(source[0], source[1]))

    def _take(self, datagram: bytes, source: fleet.Address) -> None:
        # Anybody who reaches the port could otherwise make engines look busy.
        if not self._peers.knows(source.ip):
            _received.inc({"result": "unknown-sender"})
            return
        kind, body = datagram[:1], datagram[1 + _CHECKSUM_BYTES :]
        take = self._takers.get(kind)
        # Some bytes end the whole process in the library that reads them, by
        # an exception that it throws while it cleans up. Only what a gateway
        # has encoded gets there.
        is_whole = datagram == seal(kind, body)
        is_read = take is not None and is_whole and take(body, source)
        _received.inc({"result": "ok" if is_read else "malformed"})


def seal(kind: bytes, body: bytes) -> bytes:
    """Returns what is sent of a datagram of a kind."""
    checksum = xxhash.xxh32_digest(kind + body)
    return kind + checksum + body


def _cost(datagram: bytes, peers_count: int) -> int:
    return peers_count * (len(datagram) + DATAGRAM_OVERHEAD_BYTES)

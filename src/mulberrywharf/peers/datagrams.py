"""Exchanges datagrams between gateways within a byte budget."""

from collections.abc import Callable
from typing import Literal, Protocol

import gevent
import xxhash
from gevent import socket
from loguru import logger

from mulberrywharf import clock, fleet, metrics, supervised_task
from mulberrywharf.policy import token_bucket

SENT_BYTES_PER_S = 2_000
"""Limit that the operators set for the control traffic of a gateway."""

SENT_BURST_BYTES = 60_000
"""Half a minute of the sustained rate. It covers a burst of long prompts: 120
bytes to each of eight peers, seven times per second, for ten seconds."""

DATAGRAM_LIMIT_BYTES = 1_472
"""Maximum size of an unfragmented datagram, including kind and checksum."""

_CHECKSUM_BYTES = 4

DATAGRAM_OVERHEAD_BYTES = 28 + 1 + _CHECKSUM_BYTES
"""Size of the IP and UDP headers, the kind byte and the checksum."""

_RECEIVE_RETRY_DELAY_S = 0.002

_SENDERS_LIMIT_COUNT = 2_000
"""Maximum number of senders whose last datagram is remembered, more than the
gateways of a fleet. Ports of gateways that have restarted stay until then."""

Kind = Literal[b"n", b"q", b"c", b"u", b"f", b"l", b"t"]
"""Kind byte of a datagram.

- ``n``: a notice to many gateways.
- ``q``: a message about an engine's queue to one gateway.
- ``c``: a report on servers that ended, to all gateways.
- ``u``: an announcement of the usage collector to all gateways, or usage counts
  to the collector.
- ``f``: a question about confirmed routes, or its reply, to one gateway.
- ``l``: a claim of a request to a server with a limit, or its reply, to one
  gateway.
- ``t``: a message of one of the topics of ``topics.TopicExchange``.
"""

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
        """Returns whether a gateway has this address."""
        ...


class PeerSocket:
    """Sends datagrams to other gateways and dispatches received ones by kind.

    Attributes:
        budget: The bytes that may be sent. It goes negative when messages that
            cannot wait take more than is left.
    """

    def __init__(
        self, listen: fleet.Address, peers: Peers, system_clock: clock.Clock
    ):
        """Creates the socket; nothing is received before ``start``.

        Args:
            listen: Address on which datagrams are received.
            peers: The other gateways; datagrams of other senders are dropped.
            system_clock: Refills the byte budget.
        """
        self._listen = listen
        self._peers = peers
        self._clock = system_clock
        self._handlers: dict[bytes, Callable[[bytes, fleet.Address], bool]] = {}
        self.budget = token_bucket.TokenBucket(
            SENT_BYTES_PER_S, SENT_BURST_BYTES, system_clock.monotonic_s()
        )
        self._heard_s: dict[fleet.Address, float] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._receive_task: gevent.Greenlet | None = None

    def set_handler(
        self, kind: Kind, handler: Callable[[bytes, fleet.Address], bool]
    ) -> None:
        """Sets the handler for datagrams of a kind.

        Args:
            kind: The kind.
            handler: Called with the body and the sender's address; returns
                whether it could decode the body.
        """
        self._handlers[kind] = handler

    def heard_s(self, sender: fleet.Address) -> float:
        """Returns the monotonic time of a sender's last datagram, or -inf."""
        return self._heard_s.get(sender, float("-inf"))

    def start(self) -> None:
        """Binds the socket and starts receiving."""
        self._socket.bind((self._listen.ip, self._listen.port))
        self._receive_task = supervised_task.spawn("datagrams", self._receive)

    def close(self) -> None:
        """Stops receiving and closes the socket."""
        if self._receive_task is not None:
            self._receive_task.kill()
        self._socket.close()

    def wait_s(self, body: bytes, peers_count: int) -> float:
        """Returns the time in seconds until the budget covers a datagram.

        Args:
            body: Body of the datagram.
            peers_count: Number of gateways that it is sent to.
        """
        cost = _cost(body, peers_count)
        return self.budget.wait_s(cost, self._clock.monotonic_s())

    def send(
        self, kind: Kind, body: bytes, peers: tuple[fleet.Address, ...]
    ) -> None:
        """Sends a datagram to each peer, even if it exceeds the budget.

        Args:
            kind: Kind of the datagram.
            body: Its body.
            peers: Addresses of the gateways.
        """
        cost = _cost(body, len(peers))
        self.budget.refill(self._clock.monotonic_s())
        self.budget.take(cost)
        _sent_bytes.add({"kind": kind.decode()}, cost)
        framed = frame_datagram(kind, body)
        for peer in peers:
            try:
                self._socket.sendto(framed, (peer.ip, peer.port))
            except OSError as error:
                logger.debug("cannot send a datagram to {}: {}", peer, error)

    def _receive(self) -> None:
        while True:
            try:
                datagram, source = self._socket.recvfrom(DATAGRAM_LIMIT_BYTES)
            except OSError as error:
                # For example an ICMP error for a peer that has stopped.
                logger.debug("cannot receive a datagram: {}", error)
                gevent.sleep(_RECEIVE_RETRY_DELAY_S)
                continue
            self._handle(datagram, fleet.Address(source[0], source[1]))

    def _handle(self, datagram: bytes, source: fleet.Address) -> None:
        # Without this check, any host that reaches the port could make engines
        # look busy.
        if not self._peers.knows(source.ip):
            _received.inc({"result": "unknown-sender"})
            return
        kind, body = datagram[:1], datagram[1 + _CHECKSUM_BYTES :]
        handler = self._handlers.get(kind)
        is_intact = datagram == frame_datagram(kind, body)
        if is_intact:
            self._note_heard(source)
        is_decoded = handler is not None and is_intact and handler(body, source)
        _received.inc({"result": "ok" if is_decoded else "malformed"})

    def _note_heard(self, source: fleet.Address) -> None:
        if len(self._heard_s) >= _SENDERS_LIMIT_COUNT:
            self._heard_s.clear()
        self._heard_s[source] = self._clock.monotonic_s()


def frame_datagram(kind: bytes, body: bytes) -> bytes:
    """Returns the datagram: the kind byte, a checksum and the body."""
    checksum = xxhash.xxh32_digest(kind + body)
    return kind + checksum + body


def _cost(body: bytes, peers_count: int) -> int:
    return peers_count * (len(body) + DATAGRAM_OVERHEAD_BYTES)

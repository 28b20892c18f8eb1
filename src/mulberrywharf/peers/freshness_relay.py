"""Asks other gateways how recently the routes were confirmed as the newest.

Each gateway asks the key-value service itself. One that gets no answer asks a
reader, which may reach the service. Whoever asks counts the age of a
confirmation from before it sent its question, so a late reply or a suspended
reader only makes the confirmation older.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import fleet
from mulberrywharf.peers import datagrams, freshness_codec

REPLY_TIMEOUT_S = 0.05
"""Maximum time to wait for one reader. Readers in the same zone normally reply
within a few milliseconds."""

_NONCE_BITS = 63


class Peers(Protocol):
    """The other gateways."""

    def reader_addresses(self) -> tuple[fleet.Address, ...]:
        """Returns the datagram addresses of the other readers."""
        ...

    def read_before_first(self) -> None:
        """Reads which gateways there are if that has not happened yet."""
        ...


class Confirmation(NamedTuple):
    """States how recently a gateway confirmed its routes.

    Attributes:
        version: Version of the routes in force.
        age_s: Time since it was confirmed as the newest.
    """

    version: int
    age_s: float


class FreshnessRelay:
    """Asks readers for confirmations and replies to other gateways."""

    def __init__(self, peers: Peers, socket: datagrams.PeerSocket):
        """Creates it and registers it with the socket.

        Args:
            peers: The other gateways.
            socket: Carries the messages; the caller starts it.
        """
        self._peers = peers
        self._socket = socket
        self._confirmation: Callable[[], Confirmation | None] = lambda: None
        self._pending: dict[int, gevent.event.AsyncResult[Confirmation]] = {}
        socket.set_handler(b"f", self._on_datagram)

    def on_question(
        self, confirmation: Callable[[], Confirmation | None]
    ) -> None:
        """Sets the function that returns the reply to a question.

        Args:
            confirmation: Returns the confirmation to reply with, None for no
                reply.
        """
        self._confirmation = confirmation

    def ask(self) -> Confirmation | None:
        """Asks the readers in random order; None if none of them replies."""
        readers = list(self._peers.reader_addresses())
        random.shuffle(readers)
        for reader in readers:
            reply = self._ask_one(reader)
            if reply is not None:
                return reply
        return None

    def ask_all(self) -> list[Confirmation] | None:
        """Asks every reader; None if no reader is known."""
        self._peers.read_before_first()
        readers = self._peers.reader_addresses()
        if not readers:
            return None
        replies = map(self._ask_one, readers)
        return [reply for reply in replies if reply is not None]

    def _ask_one(self, reader: fleet.Address) -> Confirmation | None:
        nonce = random.getrandbits(_NONCE_BITS)
        reply: gevent.event.AsyncResult[Confirmation] = (
            gevent.event.AsyncResult()
        )
        self._pending[nonce] = reply
        question = freshness_codec.encode(freshness_codec.Question(nonce))
        try:
            self._socket.send(b"f", question, (reader,))
            return reply.get(timeout=REPLY_TIMEOUT_S)
        except gevent.Timeout:
            return None
        finally:
            del self._pending[nonce]

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = freshness_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning(
                "datagram dropped: {}",
                decoded.err_value.message,
            )
            return False
        message = decoded.ok_value
        if isinstance(message, freshness_codec.Reply):
            pending = self._pending.get(message.nonce)
            if pending is not None:
                pending.set(Confirmation(message.version, message.age_s))
            return True
        confirmation = self._confirmation()
        if confirmation is not None:
            reply = freshness_codec.Reply(message.nonce, *confirmation)
            self._socket.send(b"f", freshness_codec.encode(reply), (source,))
        return True

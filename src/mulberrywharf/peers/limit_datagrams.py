"""Takes claims of requests to the owners of limits, and grants back.

A datagram may be late or lost: the time slot that was granted then passes
unused.
"""

import itertools
import random
from collections.abc import Callable

import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, limit_claims
from mulberrywharf.peers import datagrams, limit_codec
from mulberrywharf.policy import limit_grants

_NUMBERS_COUNT = 2**32


class LimitDatagrams:
    """Sends claims to other gateways and receives theirs."""

    def __init__(self, socket: datagrams.PeerSocket, system_clock: clock.Clock):
        """Creates it and registers it with the socket.

        Args:
            socket: Carries the messages; the caller starts it.
            system_clock: Measures the age of statements.
        """
        self._socket = socket
        self._clock = system_clock
        self._decide: (
            Callable[[limit_grants.Claim], limit_grants.Grant] | None
        ) = None
        self._pending: dict[int, _PendingClaim] = {}
        # A reply to an earlier run of this process must match no claim.
        self._numbers = itertools.count(random.getrandbits(32))
        socket.set_handler(b"l", self._on_datagram)

    def on_claim(
        self, decide: Callable[[limit_grants.Claim], limit_grants.Grant]
    ) -> None:
        """Sets the function that decides the claims of other gateways."""
        self._decide = decide

    def ask(
        self, address: fleet.Address, claim: limit_grants.Claim
    ) -> limit_grants.Grant | None:
        """Returns a gateway's decision, None if it did not reply in time."""
        number = next(self._numbers) % _NUMBERS_COUNT
        pending = self._pending[number] = _PendingClaim(address)
        self._send(limit_codec.ClaimMessage(number, claim), address)
        try:
            return pending.reply.wait(limit_claims.REPLY_TIMEOUT_S)
        finally:
            del self._pending[number]

    def _send(
        self, message: limit_codec.LimitMessage, address: fleet.Address
    ) -> None:
        body = limit_codec.encode(message, self._clock.monotonic_s())
        self._socket.send(b"l", body, (address,))

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        decoded = limit_codec.decode(body, self._clock.monotonic_s())
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        match decoded.ok_value:
            case limit_codec.ClaimMessage(number, claim):
                if self._decide is not None:
                    grant = self._decide(claim)
                    self._send(limit_codec.GrantMessage(number, grant), source)
            case limit_codec.GrantMessage(number, grant):
                pending = self._pending.get(number)
                # The claim is missing if the reply arrived too late.
                if pending is not None and pending.address == source:
                    pending.reply.set(grant)
        return True


class _PendingClaim:
    """A claim that waits for its reply from an address."""

    def __init__(self, address: fleet.Address):
        self.address = address
        self.reply: gevent.event.AsyncResult[limit_grants.Grant] = (
            gevent.event.AsyncResult()
        )

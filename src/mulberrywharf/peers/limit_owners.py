"""Claims requests to servers with a limit at other gateways, and grants them.

The policy is in ``limit_grants`` and ``limit_ownership``; this module carries
claims and grants in datagrams. A claim that gets no reply is repeated at the
next rank. A reply may be late or lost: its time slot then passes unused.
"""

import itertools
import random
from typing import NamedTuple, Protocol

import gevent.event
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import datagrams, limit_codec, notice_codec
from mulberrywharf.policy import limit_grants

REPLY_TIMEOUT_S = 0.03
"""Maximum time to wait for a reply. A round trip between availability zones
takes about 2 ms, and a busy gateway some milliseconds more."""

SILENT_S = 0.5
"""How long a gateway that did not reply is not asked. Otherwise each request
would wait for it in vain."""

_NUMBERS_COUNT = 2**32

_claims_total = metrics.counter(
    "mulberry_limit_claims_total",
    "Claims of requests to servers with a limit, by result: granted, refused,"
    " silent (no gateway replied).",
)


class RankedGateway(NamedTuple):
    """A gateway that may grant requests to a server.

    Attributes:
        rank: Its rank, 0 for the owner.
        address: Its address, None for this gateway.
        is_settled: Whether every gateway knows the owner.
    """

    rank: int
    address: fleet.Address | None
    is_settled: bool


class Peers(Protocol):
    """The other gateways."""

    def limit_owners(
        self, server_key: int, availability_zone: str
    ) -> tuple[RankedGateway, ...]:
        """Returns the gateways that grant requests to a server, by rank."""
        ...


class LimitOwners:
    """Claims requests, and decides the claims of other gateways."""

    def __init__(
        self,
        peers: Peers,
        socket: datagrams.PeerSocket,
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the socket.

        Args:
            peers: The other gateways.
            socket: Carries the messages; the caller starts it.
            system_clock: Times the grants.
        """
        self._peers = peers
        self._socket = socket
        self._clock = system_clock
        self._grants = limit_grants.LimitGrants()
        self._pending: dict[int, _PendingClaim] = {}
        self._silent_until_s: dict[fleet.Address, float] = {}
        # A reply to an earlier run of this process must match no claim.
        self._numbers = itertools.count(random.getrandbits(32))
        socket.set_handler(b"l", self._on_datagram)

    def note_statement(
        self, server: fleet.ServerStart, statement: limit_grants.LimitStatement
    ) -> None:
        """Records what a server stated to this gateway."""
        key = notice_codec.hash_server_start(server)
        self._grants.note_statement(key, statement)

    def claim(
        self,
        server: fleet.Server,
        statement: limit_grants.LimitStatement,
        max_wait_s: float,
    ) -> limit_grants.Grant | None:
        """Claims one request to a server.

        Args:
            server: The server.
            statement: Its limit, as this gateway knows it.
            max_wait_s: Longest time in seconds that the request can wait.

        Returns:
            The decision, None if no gateway that may decide has replied.
        """
        key = notice_codec.hash_server_start(server.start)
        for gateway in self._peers.limit_owners(key, server.availability_zone):
            claim = limit_grants.Claim(
                key,
                gateway.rank,
                gateway.is_settled,
                statement,
                max_wait_s,
            )
            grant = self._claim_at(gateway.address, claim)
            if grant is not None:
                result = "granted" if grant.is_granted else "refused"
                _claims_total.inc({"result": result})
                return grant
        _claims_total.inc({"result": "silent"})
        return None

    def _claim_at(
        self, address: fleet.Address | None, claim: limit_grants.Claim
    ) -> limit_grants.Grant | None:
        if address is None:
            return self._grants.decide(claim, self._clock.monotonic_s())
        sent_s = self._clock.monotonic_s()
        if sent_s < self._silent_until_s.get(address, float("-inf")):
            return None
        if address in self._silent_until_s:
            # One claim tries the silent gateway again; others pass it over.
            self._silent_until_s[address] = sent_s + SILENT_S
        number = next(self._numbers) % _NUMBERS_COUNT
        pending = self._pending[number] = _PendingClaim(address)
        message = limit_codec.ClaimMessage(number, claim)
        self._socket.send(b"l", limit_codec.encode(message, sent_s), (address,))
        try:
            grant = pending.reply.wait(REPLY_TIMEOUT_S)
        finally:
            del self._pending[number]
        now_s = self._clock.monotonic_s()
        # This process may have been paused since, and the slot have passed.
        if grant is None or now_s - sent_s > 2 * REPLY_TIMEOUT_S:
            self._silent_until_s[address] = now_s + SILENT_S
            return None
        self._silent_until_s.pop(address, None)
        return grant

    def _on_datagram(self, body: bytes, source: fleet.Address) -> bool:
        now_s = self._clock.monotonic_s()
        decoded = limit_codec.decode(body, now_s)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        match decoded.ok_value:
            case limit_codec.ClaimMessage(number, claim):
                grant = self._grants.decide(claim, now_s)
                reply = limit_codec.GrantMessage(number, grant)
                self._socket.send(
                    b"l", limit_codec.encode(reply, now_s), (source,)
                )
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

"""Claims requests to servers with a request limit, and decides claims.

The policy is in ``limit_grants`` and ``limit_ownership``; a ``Carrier`` takes
claims to other nodes. A claim that gets no reply is repeated at the next rank.
"""

from typing import NamedTuple, Protocol

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.peers import notice_codec
from mulberrywharf.policy import limit_grants

REPLY_TIMEOUT_S = 0.05
"""Maximum time to wait for a reply. A round trip between availability zones
takes about 2 ms, and a busy node some tens of milliseconds more."""

SILENT_S = 0.5
"""How long a node that did not reply is not asked. Otherwise each request would
wait for it in vain."""

_claims_total = metrics.counter(
    "mulberry_limit_claims_total",
    "Claims of requests to servers with a limit, by result: granted, refused,"
    " silent (no node replied).",
)


class RankedOwner(NamedTuple):
    """A node that may grant requests to a server.

    Attributes:
        rank: Its rank, 0 for the owner of the limit.
        address: Its address, None for this node.
        is_settled: Whether every node knows the owner.
    """

    rank: int
    address: fleet.Address | None
    is_settled: bool


class Owners(Protocol):
    """The nodes that own limits."""

    def limit_owners(
        self, server_key: int, availability_zone: str
    ) -> tuple[RankedOwner, ...]:
        """Returns the nodes that grant requests to a server, by rank."""
        ...


class Carrier(Protocol):
    """Takes claims to other nodes."""

    def ask(
        self, address: fleet.Address, claim: limit_grants.Claim
    ) -> limit_grants.Grant | None:
        """Returns a node's decision, None if it did not reply in time."""
        ...


class LimitClaims:
    """Claims requests, and decides the claims of other nodes."""

    def __init__(
        self, owners: Owners, carrier: Carrier, system_clock: clock.Clock
    ):
        """Creates it; no claim has been decided yet.

        Args:
            owners: Ranks the nodes.
            carrier: Takes claims to them.
            system_clock: Times the grants.
        """
        self._owners = owners
        self._carrier = carrier
        self._clock = system_clock
        self._grants = limit_grants.LimitGrants()
        self._silent_until_s: dict[fleet.Address, float] = {}

    @classmethod
    def standalone(cls, system_clock: clock.Clock) -> "LimitClaims":
        """Creates one for a node without peers, which owns all limits.

        Args:
            system_clock: Times the grants.
        """
        return cls(_SoleOwner(), _NoCarrier(), system_clock)

    def note_statement(
        self, server: fleet.ServerStart, statement: limit_grants.LimitStatement
    ) -> None:
        """Records what a server stated to this node."""
        key = notice_codec.hash_server_start(server)
        self._grants.note_statement(key, statement)

    def decide(self, claim: limit_grants.Claim) -> limit_grants.Grant:
        """Decides a claim of any node."""
        return self._grants.decide(claim, self._clock.monotonic_s())

    def claim(
        self,
        server: fleet.Server,
        statement: limit_grants.LimitStatement,
        max_wait_s: float,
    ) -> limit_grants.Grant | None:
        """Claims one request to a server.

        Args:
            server: The server.
            statement: Its limit, as this node knows it.
            max_wait_s: Longest time in seconds that the request can wait.

        Returns:
            The decision, None if no node that may decide has replied.
        """
        grant = self._ask_owners(server, statement, max_wait_s)
        result = "silent"
        if grant is not None:
            result = "granted" if grant.is_granted else "refused"
        _claims_total.inc({"result": result})
        return grant

    def tell_owner(
        self, server: fleet.Server, statement: limit_grants.LimitStatement
    ) -> None:
        """Tells the owner of a server's limit that the limit has ended.

        Args:
            server: The server.
            statement: The server's statement, without a limit.
        """
        self._ask_owners(server, statement, 0.0)

    def _ask_owners(
        self,
        server: fleet.Server,
        statement: limit_grants.LimitStatement,
        max_wait_s: float,
    ) -> limit_grants.Grant | None:
        """Returns the decision of the first owner that replies, if any."""
        key = notice_codec.hash_server_start(server.start)
        for owner in self._owners.limit_owners(key, server.availability_zone):
            claim = limit_grants.Claim(
                key, owner.rank, owner.is_settled, statement, max_wait_s
            )
            grant = self._claim_at(owner.address, claim)
            if grant is not None:
                return grant
        return None

    def _claim_at(
        self, address: fleet.Address | None, claim: limit_grants.Claim
    ) -> limit_grants.Grant | None:
        if address is None:
            return self.decide(claim)
        sent_s = self._clock.monotonic_s()
        if sent_s < self._silent_until_s.get(address, float("-inf")):
            return None
        if address in self._silent_until_s:
            # One claim tries the silent node again; others pass it over.
            self._silent_until_s[address] = sent_s + SILENT_S
        grant = self._carrier.ask(address, claim)
        now_s = self._clock.monotonic_s()
        # This process may have been paused since, and the slot have passed.
        if grant is None or now_s - sent_s > 2 * REPLY_TIMEOUT_S:
            self._silent_until_s[address] = now_s + SILENT_S
            return None
        self._silent_until_s.pop(address, None)
        return grant


class _SoleOwner:
    """A node without peers."""

    def limit_owners(
        self, server_key: int, availability_zone: str
    ) -> tuple[RankedOwner, ...]:
        """Returns this node."""
        return (RankedOwner(0, None, is_settled=True),)


class _NoCarrier:
    """Carries nothing, as a sole owner asks no other node."""

    def ask(
        self, address: fleet.Address, claim: limit_grants.Claim
    ) -> limit_grants.Grant | None:
        """Returns no decision."""
        return None

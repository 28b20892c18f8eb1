"""Chooses which gateway serves requests for one that cannot reach the servers.

The load that this answers: the requests of all gateways that have lost their
paths, up to all but a few of a fleet, go to the remaining ones. Each of these
should get about the same number, also if the gateways that hand over know
different ones.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Literal, NamedTuple

from mulberrywharf import fleet

CONFIRMED_S = 6.0
"""How long a gateway counts as a helper after a sign that it serves requests.
Helpers in use give one with each request, the others when they are asked. One
that has ended is noticed when a request is offered to it."""

EXPIRING_S = 4.0
"""Age of the last sign from which a helper is asked again."""

WANTED_COUNT = 4
"""Number of known helpers from which no further ones are searched for quickly.
With two, one of which fails, all requests would go to the other."""

NAMED_LIMIT_COUNT = 4
"""Maximum number of helpers that a gateway names to another one."""

KNOWN_LIMIT_COUNT = 64
"""Maximum number of helpers that are remembered; more are not needed to spread
the requests of one gateway."""

ASKED_COUNT = 3
"""Gateways that are asked at a time whether they can serve requests."""

RANDOM_ROUNDS_COUNT = 2
"""Rounds of questions to random gateways alone. Where many can serve, each
gateway finds others of them; named ones would be the same for all."""

AVOID_NO_PATH_S = 1.0
"""How long a gateway is not tried after it stated that it has no path. Network
partitions last seconds."""

AVOID_BUSY_S = 0.2
"""The same for a gateway that serves as many handed over requests as it may. Of
those, most end within this time."""

AVOID_SILENT_S = 1.0
AVOID_LIMIT_S = 8.0
"""A gateway that does not respond is avoided for ``AVOID_SILENT_S``, and twice
as long each further time, up to ``AVOID_LIMIT_S``."""

OVERFLOW_RATIO = 2.0
OVERFLOW_COUNT = 4.0
"""Requests go to another availability zone when the helper in the own zone has
more than ``OVERFLOW_RATIO`` times the load of one there, and ``OVERFLOW_COUNT``
requests more. Bytes between zones are costly, and links narrow."""

Refusal = Literal["no-path", "busy", "silent"]
"""Why a gateway did not take a request.

- ``no-path``: It reaches no server either.
- ``busy``: It serves as many handed over requests as it may.
- ``silent``: It could not be reached, or gave no understandable answer.
"""


class Zones(NamedTuple):
    """The other gateways, as seen from one of them.

    Attributes:
        own: Those of its availability zone.
        others: Those of other zones.
    """

    own: Sequence[fleet.Address]
    others: Sequence[fleet.Address]


class Report(NamedTuple):
    """What another gateway states about a service.

    Attributes:
        can_serve: Whether it can serve requests for the service.
        load: Handed over requests that it is serving.
        helpers: Gateways that serve its own requests, if it can't.
    """

    can_serve: bool
    load: float = 0.0
    helpers: tuple[fleet.Address, ...] = ()


class _Peer:
    """What is known of another gateway."""

    def __init__(self) -> None:
        self.confirmed_s = float("-inf")
        self.avoided_until_s = float("-inf")
        self.is_named = False
        self.load = 0.0
        self.in_flight_count = 0
        self.silent_count = 0

    def is_helper(self, now_s: float) -> bool:
        return (
            now_s - self.confirmed_s < CONFIRMED_S
            and now_s >= self.avoided_until_s
        )

    @property
    def expected_load(self) -> float:
        # Some of the requests in flight are in the reported load already.
        return max(self.load, self.in_flight_count) + self.in_flight_count


class Helpers:
    """The gateways that may serve one gateway's requests for a service."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._rounds_count = 0
        self._peers: dict[fleet.Address, _Peer] = {}

    def clear(self) -> None:
        """Forgets all but the gateways with requests in flight."""
        self._rounds_count = 0
        self._peers = {
            address: peer
            for address, peer in self._peers.items()
            if peer.in_flight_count
        }
        for peer in self._peers.values():
            peer.confirmed_s = float("-inf")

    def confirmed(self, now_s: float) -> tuple[fleet.Address, ...]:
        """Returns the gateways that are known to serve requests."""
        return tuple(
            address
            for address, peer in self._peers.items()
            if peer.is_helper(now_s)
        )

    def choose(
        self,
        zones: Zones,
        excluded: Collection[fleet.Address],
        now_s: float,
    ) -> fleet.Address | None:
        """Chooses the gateway that a request is handed over to.

        Without a known helper it is any gateway that has not refused lately,
        one of the own availability zone if possible.

        Args:
            zones: The other gateways.
            excluded: Those that have already refused the request.
            now_s: The current time.
        """
        helpers = set(self.confirmed(now_s)).difference(excluded)
        own = self._less_loaded([one for one in zones.own if one in helpers])
        other = self._less_loaded(
            [one for one in zones.others if one in helpers]
        )
        if own is not None and other is not None:
            return other if self._overflows(own, other) else own
        if own is not None or other is not None:
            return own if own is not None else other
        for candidates in zones:
            untried = [
                one
                for one in candidates
                if one not in excluded and not self._is_avoided(one, now_s)
            ]
            if untried:
                return self._rng.choice(untried)
        return None

    def next_asked(
        self, zones: Zones, now_s: float
    ) -> tuple[fleet.Address, ...]:
        """Chooses the gateways to ask whether they can serve requests.

        Known helpers are asked again before they expire. New ones are searched
        for in the own zone first, then anywhere, and among those that other
        gateways have named.
        """
        self._rounds_count += 1
        helpers = self.confirmed(now_s)
        asked = [
            one
            for one in helpers
            if self._peers[one].confirmed_s < now_s - EXPIRING_S
        ][: ASKED_COUNT - 1]
        if self._rounds_count > RANDOM_ROUNDS_COUNT:
            asked += self._named(zones, limit_count=1 if helpers else 2)
        if not helpers:
            asked += self._unknown(zones.own, asked, now_s)[:1]
        everyone = (*zones.own, *zones.others)
        free_count = 1 if len(helpers) >= WANTED_COUNT else ASKED_COUNT
        free_count = min(free_count, ASKED_COUNT - len(asked))
        asked += self._unknown(everyone, asked, now_s)[: max(0, free_count)]
        return tuple(asked)

    def _named(self, zones: Zones, *, limit_count: int) -> list[fleet.Address]:
        """Returns some of the gateways that others have named."""
        known = {*zones.own, *zones.others}
        named = [
            address
            for address, peer in self._peers.items()
            if peer.is_named and address in known
        ]
        return self._rng.sample(named, min(limit_count, len(named)))

    def _unknown(
        self,
        candidates: Sequence[fleet.Address],
        asked: Collection[fleet.Address],
        now_s: float,
    ) -> list[fleet.Address]:
        """Returns some gateways of which nothing is known now."""
        sampled = self._rng.sample(
            candidates, min(2 * ASKED_COUNT, len(candidates))
        )
        return [
            one
            for one in sampled
            if one not in asked and not self._is_settled(one, now_s)
        ]

    def note_report(
        self, address: fleet.Address, report: Report, now_s: float
    ) -> None:
        """Records a gateway's statement about the service."""
        peer = self._peer(address)
        if report.can_serve:
            self.note_serving(address, report.load, now_s)
        else:
            self.note_refused(address, "no-path", now_s)
        peer.is_named = False
        for named in report.helpers[:NAMED_LIMIT_COUNT]:
            other = self._peer(named)
            if not other.is_helper(now_s):
                other.is_named = True

    def note_serving(
        self, address: fleet.Address, load: float, now_s: float
    ) -> None:
        """Records that a gateway serves handed over requests."""
        peer = self._peer(address)
        peer.confirmed_s = now_s
        peer.load = load
        peer.silent_count = 0
        peer.avoided_until_s = float("-inf")
        self._limit_known(now_s)

    def note_refused(
        self, address: fleet.Address, refusal: Refusal, now_s: float
    ) -> None:
        """Records that a gateway did not take a request."""
        peer = self._peer(address)
        if refusal == "busy":
            # Random, so that gateways do not return at the same time.
            avoided_s = AVOID_BUSY_S * self._rng.uniform(0.5, 1.5)
        elif refusal == "no-path":
            peer.confirmed_s = float("-inf")
            avoided_s = AVOID_NO_PATH_S
        else:
            peer.confirmed_s = float("-inf")
            avoided_s = min(
                AVOID_LIMIT_S, AVOID_SILENT_S * 2.0**peer.silent_count
            )
            peer.silent_count += 1
        peer.avoided_until_s = now_s + avoided_s

    def began(self, address: fleet.Address) -> None:
        """Counts a request that was handed over."""
        self._peer(address).in_flight_count += 1

    def ended(self, address: fleet.Address) -> None:
        """Counts a handed over request as ended."""
        self._peer(address).in_flight_count -= 1

    def _less_loaded(
        self, candidates: Sequence[fleet.Address]
    ) -> fleet.Address | None:
        """Returns the less loaded of two random candidates."""
        if not candidates:
            return None
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda one: self._peers[one].expected_load)

    def _overflows(self, own: fleet.Address, other: fleet.Address) -> bool:
        own_load = self._peers[own].expected_load
        other_load = self._peers[other].expected_load
        return own_load > OVERFLOW_RATIO * other_load + OVERFLOW_COUNT

    def _is_avoided(self, address: fleet.Address, now_s: float) -> bool:
        peer = self._peers.get(address)
        return peer is not None and now_s < peer.avoided_until_s

    def _is_settled(self, address: fleet.Address, now_s: float) -> bool:
        """Tells whether it is known whether a gateway can serve requests."""
        peer = self._peers.get(address)
        return peer is not None and (
            peer.is_helper(now_s) or now_s < peer.avoided_until_s
        )

    def _limit_known(self, now_s: float) -> None:
        if len(self._peers) <= KNOWN_LIMIT_COUNT:
            return
        kept = _newest(self._peers, KNOWN_LIMIT_COUNT // 2)
        self._peers = {
            address: peer
            for address, peer in self._peers.items()
            if address in kept
            or peer.in_flight_count
            or now_s < peer.avoided_until_s
        }

    def _peer(self, address: fleet.Address) -> _Peer:
        return self._peers.setdefault(address, _Peer())


def _newest(
    peers: Mapping[fleet.Address, _Peer], count: int
) -> Iterable[fleet.Address]:
    by_age = sorted(peers, key=lambda one: -peers[one].confirmed_s)
    return frozenset(by_age[:count])

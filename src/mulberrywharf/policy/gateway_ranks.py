"""Ranks gateways for matters that one of them handles for all.

Such a matter is the request limit of a server, or the outcomes of its answers.
Each gateway ranks all gateways in the same way by rendezvous hashing, without
messages. The first one handles the matter; the others stand by for gateways
that don't reach it. Gateways of the matter's availability zone come first, so
that a network partition between zones does not separate those that need the
first one from it.

Gateways learn of each other at different moments. While they do, two of them
may be taken for the first. A first gateway that some gateways may not know yet
is therefore unsettled.
"""

import heapq
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

RANKS_COUNT = 3
"""Gateways ranked for a matter: the one that handles it and two others."""

REMOVED_HOLD_S = 15.0
"""How long a gateway that is no longer listed keeps its rank. After an outage
of the key-value service all gateways register again, one after the other, and
the ranks must not change meanwhile. Each registers within eight seconds, and
lists are six seconds old at the most."""

SETTLE_S = 8.0
"""Time after a change of the ranks by which every gateway that reaches the
key-value service knows of it. Gateways read the list every 6 s at the most."""


_CACHE_LIMIT_COUNT = 5_000
"""Maximum number of cached ranks. Entries of removed servers stay until the
list of gateways changes."""


def matter_key(matter: str, key: int) -> int:
    """Returns the key of one matter.

    Matters of one server have different keys, so that their work is spread over
    different gateways.

    Args:
        matter: Name of the kind of matter.
        key: Identifies what it concerns, such as the hash of a server.
    """
    return xxhash.xxh3_64_intdigest(matter.encode(), seed=key)


def first_names(names: Iterable[str], key: int, count: int) -> list[str]:
    """Returns the first names for a key by rendezvous hashing.

    All gateways that have the same names get the same result.
    """
    return heapq.nlargest(
        count,
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed=key),
    )


class _Listing(NamedTuple):
    """The gateways with a rank from some moment on, with their zones."""

    since_s: float
    zones_by_vm: Mapping[str, str]


class GatewayRanks:
    """The ranks of gateways, from the lists that one gateway has read."""

    def __init__(self) -> None:
        self._listed: dict[str, str] = {}
        self._removed: dict[str, tuple[str, float]] = {}
        self._history: list[_Listing] = []
        self._ranked: dict[tuple[int, str], tuple[str, ...]] = {}

    def note_listed(self, zones_by_vm: Mapping[str, str], now_s: float) -> None:
        """Records a list of all gateways, this one included.

        Args:
            zones_by_vm: Availability zone of each gateway, by the id of its VM.
            now_s: When the list was read.
        """
        for vm_id, zone in self._listed.items():
            self._removed[vm_id] = zone, now_s
        self._listed = dict(zones_by_vm)
        for vm_id in zones_by_vm:
            self._removed.pop(vm_id, None)
        self._update(now_s)

    def ranked(
        self, key: int, availability_zone: str, now_s: float
    ) -> tuple[str, ...]:
        """Returns the VMs ranked for a matter, the first one first.

        Args:
            key: Key of the matter.
            availability_zone: Zone whose gateways come first.
            now_s: The current time.

        Returns:
            No VM until a list was read.
        """
        self._update(now_s)
        cache_key = key, availability_zone
        if cache_key not in self._ranked:
            if len(self._ranked) >= _CACHE_LIMIT_COUNT:
                self._ranked.clear()
            self._ranked[cache_key] = (
                _rank(self._history[-1].zones_by_vm, *cache_key)
                if self._history
                else ()
            )
        return self._ranked[cache_key]

    def is_settled(
        self, key: int, availability_zone: str, now_s: float
    ) -> bool:
        """Returns whether every gateway knows the first one for a matter."""
        self._update(now_s)
        since_s = now_s - SETTLE_S
        if not self._history or self._history[0].since_s > since_s:
            return False
        first = {
            _rank(listing.zones_by_vm, key, availability_zone)[:1]
            for listing in self._history
        }
        return len(first) == 1

    def _update(self, now_s: float) -> None:
        if not self._listed:
            return
        expired = [
            vm_id
            for vm_id, (_, removed_s) in self._removed.items()
            if now_s - removed_s >= REMOVED_HOLD_S
        ]
        for vm_id in expired:
            del self._removed[vm_id]
        removed = {vm_id: zone for vm_id, (zone, _) in self._removed.items()}
        zones_by_vm = {**removed, **self._listed}
        if not self._history or self._history[-1].zones_by_vm != zones_by_vm:
            self._history.append(_Listing(now_s, zones_by_vm))
            self._ranked.clear()
        # The first listing kept is the one in force ``SETTLE_S`` ago.
        while (
            len(self._history) > 1
            and self._history[1].since_s <= now_s - SETTLE_S
        ):
            del self._history[0]


def _rank(
    zones_by_vm: Mapping[str, str], key: int, availability_zone: str
) -> tuple[str, ...]:
    in_zone = [
        vm_id
        for vm_id, zone in zones_by_vm.items()
        if zone == availability_zone
    ]
    return tuple(first_names(in_zone or zones_by_vm, key, RANKS_COUNT))

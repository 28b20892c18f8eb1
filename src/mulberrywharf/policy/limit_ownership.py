"""Chooses the gateways that grant the requests to a server with a limit.

Each gateway ranks all gateways in the same way by rendezvous hashing. The first
one owns the server's limit; the others stand by for gateways that don't reach
the owner. Gateways of the server's availability zone come first, so a network
partition between zones separates no gateway that reaches the server from its
owner.

Gateways learn of each other at different moments. While they do, two of them
may be taken for the owner. An owner that some gateways may not know yet is
therefore unsettled and grants less, see ``limit_grants``.
"""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

RANKS_COUNT = 3
"""Gateways that may grant requests to one server: its owner and two others."""

REMOVED_HOLD_S = 15.0
"""How long a gateway that is no longer listed keeps its rank. After an outage
of the key-value service all gateways register again, one after the other, and
the ranks must not change meanwhile. Each registers within eight seconds, and
lists are six seconds old at the most."""

SETTLE_S = 8.0
"""Time after a change of the ranks by which every gateway that reaches the
key-value service knows of it. Gateways read the list every 6 s at the most."""


class _Listing(NamedTuple):
    """The gateways with a rank from some moment on, with their zones."""

    since_s: float
    zones_by_vm: Mapping[str, str]


class LimitOwnership:
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

    def owners(
        self, server_key: int, availability_zone: str, now_s: float
    ) -> tuple[str, ...]:
        """Returns the VMs that grant requests to a server, the owner first.

        Returns:
            No VM until a list was read.
        """
        self._update(now_s)
        cache_key = server_key, availability_zone
        if cache_key not in self._ranked:
            self._ranked[cache_key] = (
                _rank(self._history[-1].zones_by_vm, *cache_key)
                if self._history
                else ()
            )
        return self._ranked[cache_key]

    def is_settled(
        self, server_key: int, availability_zone: str, now_s: float
    ) -> bool:
        """Returns whether every gateway knows the owner of a server's limit."""
        self._update(now_s)
        since_s = now_s - SETTLE_S
        if not self._history or self._history[0].since_s > since_s:
            return False
        owners = {
            _rank(listing.zones_by_vm, server_key, availability_zone)[:1]
            for listing in self._history
        }
        return len(owners) == 1

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
    zones_by_vm: Mapping[str, str], server_key: int, availability_zone: str
) -> tuple[str, ...]:
    in_zone = [
        vm_id
        for vm_id, zone in zones_by_vm.items()
        if zone == availability_zone
    ]
    ranked = sorted(
        in_zone or zones_by_vm,
        key=lambda vm_id: xxhash.xxh3_64_intdigest(
            vm_id.encode(), seed=server_key
        ),
        reverse=True,
    )
    return tuple(ranked[:RANKS_COUNT])

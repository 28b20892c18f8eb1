"""Chooses the gateways that keep the software versions of streams.

The gateway at which a stream begins tells its version to a few others, which
any gateway finds again by the stream's id alone: the first one by rendezvous
hashing in each of some availability zones. So one of them is reached while
zones are partitioned from each other, and one is left when a zone or gateways
fail. In a small fleet all gateways are asked, the first one among them.
"""

import collections
from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from mulberrywharf.policy import gateway_ranks, stream_version

ZONES_COUNT = 3
"""Zones in which a stream is kept, besides that in which it began. Gateways
that end together are mostly of one zone; a lost datagram costs one copy."""

SMALL_FLEET_COUNT = 21
"""Most gateways of a fleet in which all are asked for a stream."""

SMALL_FLEET_KEEPERS_COUNT = 2
"""Gateways of a small fleet, in two zones, that keep a stream besides the one
at which it began. Such a fleet begins more streams for each gateway."""

KEEP_S = 60.0
"""How long a stream is kept after it began or was taken up. Callers take up a
stream within their deadline; those that state none wait for 30 s."""

STREAMS_LIMIT_COUNT = 50_000
"""Most streams that a gateway keeps, some 16 MB. The largest fleet begins five
streams a second for each gateway, some 1,500 kept ones each; a fleet of nine
with all its streams at one gateway stays below, too."""


def key_of(stream_id: str) -> int:
    """Returns the key of a stream, a hash of its id."""
    return xxhash.xxh3_64_intdigest(stream_id.encode())


def scope_of(*parts: str) -> int:
    """Returns a hash of what a stream's requests have in common."""
    return xxhash.xxh32_intdigest("\0".join(parts).encode())


class KeptStream(NamedTuple):
    """A stream whose version is known.

    Attributes:
        version_key: The version that began it.
        scope: See ``scope_of``.
    """

    version_key: stream_version.VersionKey
    scope: int


class StreamTable:
    """The streams that one gateway keeps."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[int, tuple[KeptStream, float]] = (
            collections.OrderedDict()
        )

    def put(self, stream_key: int, kept: KeptStream, now_s: float) -> None:
        """Adds a stream, or keeps it longer."""
        self._kept[stream_key] = kept, now_s
        self._kept.move_to_end(stream_key)
        while self._kept:
            _, put_s = next(iter(self._kept.values()))
            is_over = len(self._kept) > STREAMS_LIMIT_COUNT
            if not is_over and now_s - put_s < KEEP_S:
                break
            self._kept.popitem(last=False)

    def get(self, stream_key: int, now_s: float) -> KeptStream | None:
        """Returns a stream, None if it is not kept here."""
        entry = self._kept.get(stream_key)
        if entry is None or now_s - entry[1] >= KEEP_S:
            return None
        return entry[0]


class Fleet(NamedTuple):
    """The gateways that one of them knows.

    Attributes:
        zones_by_vm: Availability zone of each gateway, this one included, by
            the id of its VM.
        vm_id: VM of this gateway.
    """

    zones_by_vm: Mapping[str, str]
    vm_id: str

    @property
    def is_small(self) -> bool:
        """Whether all gateways are asked for a stream."""
        return len(self.zones_by_vm) <= SMALL_FLEET_COUNT


def keepers_to_tell(stream_key: int, fleet: Fleet) -> list[str]:
    """Returns the VMs that keep a stream that begins at this gateway."""
    if not fleet.is_small:
        return _keepers(stream_key, fleet, ranks_count=1)
    zones = _by_zone(fleet)
    # This gateway is the copy in its own zone.
    own_zone = zones.pop(fleet.zones_by_vm[fleet.vm_id])
    others = gateway_ranks.first_names(
        (vm_id for vm_id in own_zone if vm_id != fleet.vm_id),
        stream_key,
        SMALL_FLEET_KEEPERS_COUNT,
    )
    chosen = gateway_ranks.first_names(
        zones, stream_key, SMALL_FLEET_KEEPERS_COUNT
    )
    found = [
        gateway_ranks.first_names(zones[one], stream_key, 1)[0]
        for one in chosen
    ]
    return [*found, *others][:SMALL_FLEET_KEEPERS_COUNT]


def gateways_to_ask(
    stream_key: int, fleet: Fleet, *, ranks_count: int
) -> list[str]:
    """Returns the VMs that are asked at which version a stream began.

    Args:
        stream_key: Key of the stream.
        fleet: The gateways.
        ranks_count: Gateways of each zone that are asked in a large fleet. The
            second ones may have been told by a gateway that knows others.
    """
    if fleet.is_small:
        return [one for one in fleet.zones_by_vm if one != fleet.vm_id]
    return _keepers(stream_key, fleet, ranks_count=ranks_count)


def _keepers(stream_key: int, fleet: Fleet, *, ranks_count: int) -> list[str]:
    zones = _by_zone(fleet)
    chosen = gateway_ranks.first_names(zones, stream_key, ZONES_COUNT)
    own_zone = fleet.zones_by_vm[fleet.vm_id]
    if own_zone not in chosen:
        chosen.append(own_zone)
    ranked = [
        gateway_ranks.first_names(zones[one], stream_key, ranks_count)
        for one in chosen
    ]
    return [vm_id for vm_ids in ranked for vm_id in vm_ids]


def _by_zone(fleet: Fleet) -> dict[str, list[str]]:
    by_zone: dict[str, list[str]] = {}
    for vm_id, zone in fleet.zones_by_vm.items():
        by_zone.setdefault(zone, []).append(vm_id)
    return by_zone

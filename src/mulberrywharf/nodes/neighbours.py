"""The VM list by zone, and the choice of the next routers to send to."""

import random
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from mulberrywharf import fleet
from mulberrywharf.nodes import ranking

_LISTS_KEPT_COUNT = 4


class ZoneLists(NamedTuple):
    """The entry VMs and engines of a zone, sorted by vm_id.

    The columns of a heartbeat have one entry for each VM, in this order.

    Attributes:
        availability_zone: The zone.
        entry_vms: Its entry VMs by vm_id.
        engines: Its engines by vm_id.
        entry_vm_ids: Names of the entry VMs.
        engine_ids: Names of the engines.
        list_hash: Hash that identifies the two lists.
    """

    availability_zone: str
    entry_vms: tuple[fleet.VmRecord, ...]
    engines: tuple[fleet.VmRecord, ...]
    entry_vm_ids: list[str]
    engine_ids: list[str]
    list_hash: int


def zone_lists(zone: str, vms: Iterable[fleet.VmRecord]) -> ZoneLists:
    """Returns the lists of one zone."""
    in_zone = sorted(
        (vm for vm in vms if vm.availability_zone == zone),
        key=lambda vm: vm.vm_id,
    )
    entry_vms = tuple(vm for vm in in_zone if vm.kind == "entry")
    engines = tuple(vm for vm in in_zone if vm.kind == "engine")
    entry_vm_ids = [vm.vm_id for vm in entry_vms]
    engine_ids = [vm.vm_id for vm in engines]
    text = "\n".join([*entry_vm_ids, "", *engine_ids])
    return ZoneLists(
        zone,
        entry_vms,
        engines,
        entry_vm_ids,
        engine_ids,
        xxhash.xxh64_intdigest(text.encode()),
    )


class ZoneListTable:
    """The current lists of all zones and a few earlier ones of each.

    Routers read the VM list at different times. For some seconds after a
    change, neighbours still send columns in the order of the previous list.
    Keeping that list allows these columns to be read instead of dropped.
    """

    def __init__(self) -> None:
        self._vms: list[fleet.VmRecord] = []
        self._by_hash: dict[int, ZoneLists] = {}
        self._current: dict[str, ZoneLists] = {}

    def update(self, vms: list[fleet.VmRecord]) -> bool:
        """Applies the VM list; returns whether it changed."""
        if vms == self._vms and self._current:
            return False
        self._vms = vms
        zones = {vm.availability_zone for vm in vms}
        self._current = {zone: zone_lists(zone, vms) for zone in zones}
        for lists in self._current.values():
            self._by_hash.pop(lists.list_hash, None)
            self._by_hash[lists.list_hash] = lists
        limit_count = _LISTS_KEPT_COUNT * max(1, len(zones))
        while len(self._by_hash) > limit_count:
            del self._by_hash[next(iter(self._by_hash))]
        return True

    def current(self, zone: str) -> ZoneLists:
        """Returns the zone's current lists, empty for an unknown zone."""
        return self._current.get(zone) or zone_lists(zone, ())

    def find(self, list_hash: int) -> ZoneLists | None:
        """Returns the lists with this hash, or None if they are unknown."""
        return self._by_hash.get(list_hash)

    def zones(self) -> list[str]:
        """Returns the names of all zones."""
        return sorted(self._current)

    def engine_ids(self) -> list[str]:
        """Returns the engines of all zones."""
        return [vm.vm_id for vm in self._vms if vm.kind == "engine"]


def partners(
    own_vm_id: str, own_zone: str, lists: ZoneListTable, epoch: int
) -> list[fleet.VmRecord]:
    """Returns one entry VM of each other zone, a different one each epoch.

    A router with links to all entry VMs would keep trying to connect to
    hundreds of addresses during a network partition between regions.

    Args:
        own_vm_id: This VM.
        own_zone: Its zone.
        lists: The VM list.
        epoch: Number of the current epoch.
    """
    chosen = []
    for zone in lists.zones():
        entry_vms = lists.current(zone).entry_vms
        if zone == own_zone or not entry_vms:
            continue
        by_id = {vm.vm_id: vm for vm in entry_vms}
        chosen.append(by_id[ranking.first(f"{own_vm_id} {epoch}", by_id)])
    return chosen


class Rotation:
    """Selects neighbours in rounds, each in a new random order.

    With an independent random choice each time, some neighbour would by chance
    wait several times as long as the others, and this router would look
    silent to it.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()
        self._remaining: list[fleet.Address] = []

    def next_addresses(
        self, neighbours: list[fleet.VmRecord], count: int
    ) -> list[fleet.Address]:
        """Returns the addresses of the next neighbours to send to.

        Args:
            neighbours: All current neighbours.
            count: Maximum number of addresses.
        """
        present = {vm.address for vm in neighbours}
        taken: list[fleet.Address] = []
        while len(taken) < min(count, len(present)):
            if not self._remaining:
                self._remaining = sorted(present - set(taken))
                self._rng.shuffle(self._remaining)
            address = self._remaining.pop()
            if address in present and address not in taken:
                taken.append(address)
        return taken

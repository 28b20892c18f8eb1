"""The VM list as the mesh uses it: columns of a zone and whom to tell next."""

import random
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from mulberrywharf import fleet
from mulberrywharf.nodes import ranking

_LISTS_KEPT_COUNT = 4


class ZoneLists(NamedTuple):
    """The sorted lists that the columns of a heartbeat follow.

    Attributes:
        availability_zone: The zone.
        entry_vms: Its entry VMs by vm_id.
        engines: Its engines by vm_id.
        entry_vm_ids: Names of the entry VMs.
        engine_ids: Names of the engines.
        list_hash: Names the two lists.
    """

    availability_zone: str
    entry_vms: tuple[fleet.VmRecord, ...]
    engines: tuple[fleet.VmRecord, ...]
    entry_vm_ids: list[str]
    engine_ids: list[str]
    list_hash: int


def zone_lists(zone: str, vms: Iterable[fleet.VmRecord]) -> ZoneLists:
    """Returns the lists of one zone."""
    own = sorted(
        (vm for vm in vms if vm.availability_zone == zone),
        key=lambda vm: vm.vm_id,
    )
    entry_vms = tuple(vm for vm in own if vm.kind == "entry")
    engines = tuple(vm for vm in own if vm.kind == "engine")
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


class ListBook:
    """The lists of all zones, with a few earlier ones of each.

    Nodes read the VM list at different moments. For some seconds after a
    change neighbours send columns that follow the list before; they are read
    by that list instead of being lost.
    """

    def __init__(self) -> None:
        self._vms: list[fleet.VmRecord] = []
        self._by_hash: dict[int, ZoneLists] = {}
        self._current: dict[str, ZoneLists] = {}

    def update(self, vms: list[fleet.VmRecord]) -> bool:
        """Takes the VM list; returns whether it changed."""
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
        """Returns the zone's lists of now, empty if it has none."""
        return self._current.get(zone) or zone_lists(zone, ())

    def find(self, list_hash: int) -> ZoneLists | None:
        """Returns the lists that a heartbeat's columns follow."""
        return self._by_hash.get(list_hash)

    def zones(self) -> list[str]:
        """Returns the names of all zones."""
        return sorted(self._current)

    def engine_ids(self) -> list[str]:
        """Returns the engines of all zones."""
        return [vm.vm_id for vm in self._vms if vm.kind == "engine"]


def partners(
    own_vm_id: str, own_zone: str, book: ListBook, epoch: int
) -> list[fleet.VmRecord]:
    """Returns one entry VM of each other zone, another one each epoch.

    With links to all of them, a node would dial hundreds of addresses over
    and over while the regions are cut off from each other.

    Args:
        own_vm_id: This node.
        own_zone: Its zone.
        book: The VM list.
        epoch: Number of the present period.
    """
    chosen = []
    for zone in book.zones():
        entry_vms = book.current(zone).entry_vms
        if zone == own_zone or not entry_vms:
            continue
        by_id = {vm.vm_id: vm for vm in entry_vms}
        chosen.append(by_id[ranking.first(f"{own_vm_id} {epoch}", by_id)])
    return chosen


class Rotation:
    """Gives each neighbour its turn, in an order shuffled every round.

    Drawn anew each time instead, some neighbour would by chance wait several
    times as long as the others and look silent.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng or random.Random()
        self._left: list[fleet.Address] = []

    def take(
        self, neighbours: list[fleet.VmRecord], count: int
    ) -> list[fleet.Address]:
        """Returns the next neighbours to be told.

        Args:
            neighbours: All that may be told now.
            count: How many to tell at most.
        """
        present = {vm.address for vm in neighbours}
        taken: list[fleet.Address] = []
        while len(taken) < min(count, len(present)):
            if not self._left:
                self._left = sorted(present - set(taken))
                self._rng.shuffle(self._left)
            address = self._left.pop()
            if address in present and address not in taken:
                taken.append(address)
        return taken

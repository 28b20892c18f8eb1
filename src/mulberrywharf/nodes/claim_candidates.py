"""Which entry VMs look after a claim shard, and in which order.

Every node ranks all live entry VMs for every shard by the same hash, so that
the owners are spread and few nodes spend calls on looking for a shard.
"""

from collections.abc import Iterable

from mulberrywharf import fleet
from mulberrywharf.nodes import ranking

CANDIDATES_COUNT = 3
"""Nodes that look after a shard without being asked to."""


def own_ranks(
    own_vm_id: str, vms: Iterable[fleet.VmRecord], shard_count: int
) -> dict[int, int]:
    """Returns a node's rank for each shard it is a candidate of.

    A node that the VM list does not name yet, or whose list is still empty,
    would rank itself first for everything and own all shards; its end would
    then stop all claims at once. Such a node is a candidate of none.

    Args:
        own_vm_id: The node.
        vms: The VM list.
        shard_count: Number of shards.

    Returns:
        By shard number, 0 for the first candidate.
    """
    vm_ids = {vm.vm_id for vm in vms if _is_live_entry_vm(vm)}
    ranks: dict[int, int] = {}
    if own_vm_id not in vm_ids:
        return ranks
    for number in range(shard_count):
        rank = ranking.rank(_subject(number), vm_ids).index(own_vm_id)
        if rank < CANDIDATES_COUNT:
            ranks[number] = rank
    return ranks


def successor(
    shard: int, own_vm_id: str, vms: Iterable[fleet.VmRecord]
) -> fleet.Address | None:
    """Returns the node that is to own a shard after this one, if any."""
    addresses = {
        vm.vm_id: vm.address
        for vm in vms
        if _is_live_entry_vm(vm) and vm.vm_id != own_vm_id
    }
    return addresses.get(ranking.first(_subject(shard), addresses))


def _is_live_entry_vm(vm: fleet.VmRecord) -> bool:
    return vm.kind == "entry" and vm.state == "live"


def _subject(shard: int) -> str:
    return f"claim-shard-{shard}"

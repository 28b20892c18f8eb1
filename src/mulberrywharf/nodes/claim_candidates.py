"""Selects and ranks the entry VMs that try to acquire a claim shard.

Every node ranks all live entry VMs for each shard by rendezvous hashing. This
spreads the shards over the VMs, and only a few nodes spend key-value calls on
finding out whether a shard has an owner.
"""

from collections.abc import Iterable

from mulberrywharf import fleet
from mulberrywharf.nodes import ranking

CANDIDATES_COUNT = 3
"""Number of nodes that try to acquire a shard without a request for it."""


def own_ranks(
    own_vm_id: str, vms: Iterable[fleet.VmRecord], shard_count: int
) -> dict[int, int]:
    """Returns a node's rank for each shard that it is a candidate for.

    A node that is missing from the VM list is a candidate for no shard, for
    instance while the list is still empty. Otherwise it could rank itself
    first for every shard and own all of them, and its exit would stop all
    claims at once.

    Args:
        own_vm_id: VM id of the node.
        vms: The VM list.
        shard_count: Number of shards.

    Returns:
        The rank by shard number, 0 for the first candidate.
    """
    vm_ids = {vm.vm_id for vm in vms if _is_live_entry_vm(vm)}
    ranks: dict[int, int] = {}
    if own_vm_id not in vm_ids:
        return ranks
    for number in range(shard_count):
        rank = ranking.rank(_hash_key(number), vm_ids).index(own_vm_id)
        if rank < CANDIDATES_COUNT:
            ranks[number] = rank
    return ranks


def successor(
    shard: int, own_vm_id: str, vms: Iterable[fleet.VmRecord]
) -> fleet.Address | None:
    """Returns the address of the highest-ranked other node, or None.

    That node is to acquire the shard when this node releases it.
    """
    addresses = {
        vm.vm_id: vm.address
        for vm in vms
        if _is_live_entry_vm(vm) and vm.vm_id != own_vm_id
    }
    return addresses.get(ranking.first(_hash_key(shard), addresses))


def _is_live_entry_vm(vm: fleet.VmRecord) -> bool:
    return vm.kind == "entry" and vm.state == "live"


def _hash_key(shard: int) -> str:
    return f"claim-shard-{shard}"

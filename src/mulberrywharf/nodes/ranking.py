"""Rendezvous hashing: all nodes rank VMs alike without communicating."""

from collections.abc import Iterable

import xxhash


def rank(key: str, vm_ids: Iterable[str]) -> list[str]:
    """Sorts VMs by their rendezvous hash for a key.

    When a VM is removed, only the keys that ranked it first move to another
    VM.

    Args:
        key: Identifies what is assigned, such as an engine or a shard.
        vm_ids: The candidates.

    Returns:
        The candidates, highest rank first.
    """

    def weight(vm_id: str) -> tuple[int, str]:
        text = f"{key}\n{vm_id}".encode()
        return xxhash.xxh64_intdigest(text), vm_id

    return sorted(vm_ids, key=weight, reverse=True)


def first(key: str, vm_ids: Iterable[str]) -> str:
    """Returns the highest-ranked VM for a key, or "" without candidates."""
    seed = key.encode() + b"\n"
    return max(
        vm_ids,
        key=lambda vm_id: (
            xxhash.xxh64_intdigest(seed + vm_id.encode()),
            vm_id,
        ),
        default="",
    )

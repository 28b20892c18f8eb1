"""Rendezvous hashing: every node ranks the same VMs alike without a word."""

from collections.abc import Iterable

import xxhash


def rank(subject: str, vm_ids: Iterable[str]) -> list[str]:
    """Orders VMs by their rendezvous hash with a subject.

    When one VM goes, only the subjects that it was first for move on.

    Args:
        subject: Such as an engine or a shard.
        vm_ids: The candidates.

    Returns:
        The candidates, the first one first.
    """

    def weight(vm_id: str) -> tuple[int, str]:
        text = f"{subject}\n{vm_id}".encode()
        return xxhash.xxh64_intdigest(text), vm_id

    return sorted(vm_ids, key=weight, reverse=True)


def first(subject: str, vm_ids: Iterable[str]) -> str:
    """Returns the VM that comes first for the subject, or an empty name."""
    seed = subject.encode() + b"\n"
    return max(
        vm_ids,
        key=lambda vm_id: (
            xxhash.xxh64_intdigest(seed + vm_id.encode()),
            vm_id,
        ),
        default="",
    )

"""Which of the zone's entry VMs are alive, as heartbeats tell it.

Each node stamps its heartbeats with a counter of its own and passes on the
newest stamp that it knows of everybody. Whose stamp stands still is silent;
``policy.suspicion`` judges what several observers say about silence.
"""

from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import suspicion

_STAMP_MODULUS = 1 << 16
STAMP_BYTES = 2

DEFAULT_SUSPECT_AFTER_S = 8.0
_DEFAULT_INTERVAL_S = 1.0
_LIFETIME_INTERVALS_COUNT = 3


class _Heard(NamedTuple):
    stamp: int
    risen_s: float


class _Word(NamedTuple):
    """What one observer said last."""

    vm_ids: tuple[str, ...]
    suspected: frozenset[str]
    said_s: float


class MembershipTable:
    """Stamps and suspicions of one zone, as seen by one node."""

    def __init__(
        self,
        own_vm_id: str,
        *,
        suspect_after_s: float = DEFAULT_SUSPECT_AFTER_S,
        interval_s: float = _DEFAULT_INTERVAL_S,
    ):
        self._own_vm_id = own_vm_id
        self._suspect_after_s = suspect_after_s
        lifetime_s = max(
            suspicion.SuspicionSettings().observation_lifetime_s,
            _LIFETIME_INTERVALS_COUNT * interval_s,
        )
        self._settings = suspicion.SuspicionSettings(lifetime_s)
        self._heard: dict[str, _Heard] = {}
        self._words: dict[str, _Word] = {}

    def expect(self, vm_ids: Collection[str], now_s: float) -> None:
        """Sets whose heartbeats are awaited; newcomers count as just heard."""
        for vm_id in self._heard.keys() - set(vm_ids):
            del self._heard[vm_id]
            self._words.pop(vm_id, None)
        for vm_id in vm_ids:
            if vm_id not in self._heard:
                self._heard[vm_id] = _Heard(-1, now_s)

    def note_stamp(self, vm_id: str, stamp: int, now_s: float) -> bool:
        """Notes a stamp, heard directly or passed on.

        Returns:
            Whether it is newer than any before. A node that was paused reads
            frames minutes old when it wakes; their stamps are not new, so
            they make nobody look alive.
        """
        heard = self._heard.get(vm_id)
        if heard is None:
            return False
        if heard.stamp >= 0 and not _is_newer(stamp, heard.stamp):
            return False
        self._heard[vm_id] = _Heard(stamp, now_s)
        return True

    def note_word(
        self,
        observer_id: str,
        vm_ids: Iterable[str],
        suspected: Iterable[str],
        now_s: float,
    ) -> None:
        """Notes which VMs an observer suspects."""
        self._words[observer_id] = _Word(
            tuple(vm_ids), frozenset(suspected), now_s
        )

    def restart(self, vm_id: str, now_s: float) -> None:
        """Forgets the stamp of a VM whose process started afresh."""
        if vm_id in self._heard:
            self._heard[vm_id] = _Heard(-1, now_s)

    def silent(self, now_s: float) -> frozenset[str]:
        """Returns the VMs that this node itself no longer hears."""
        return frozenset(
            vm_id
            for vm_id, heard in self._heard.items()
            if vm_id != self._own_vm_id
            and now_s - heard.risen_s > self._suspect_after_s
        )

    def stamps(self, vm_ids: Iterable[str]) -> bytes:
        """Returns the column of newest stamps; 0 where none is known."""
        column = bytearray()
        for vm_id in vm_ids:
            heard = self._heard.get(vm_id)
            stamp = heard.stamp if heard and heard.stamp >= 0 else 0
            column += stamp.to_bytes(STAMP_BYTES, "big")
        return bytes(column)

    def merge_stamps(
        self, vm_ids: Collection[str], column: bytes, now_s: float
    ) -> None:
        """Takes in the stamps that another node passes on."""
        if len(column) != STAMP_BYTES * len(vm_ids):
            return
        for index, vm_id in enumerate(vm_ids):
            start = STAMP_BYTES * index
            stamp = int.from_bytes(column[start : start + STAMP_BYTES], "big")
            if stamp and vm_id != self._own_vm_id:
                self.note_stamp(vm_id, stamp, now_s)

    def judge(
        self, vms: list[fleet.VmRecord], now_s: float
    ) -> suspicion.Membership:
        """Judges who of the zone's entry VMs is alive."""
        return suspicion.evaluate(
            self._observations(now_s), vms, now_s, self._settings
        )

    def _observations(self, now_s: float) -> Iterator[suspicion.Observation]:
        silent = self.silent(now_s)
        for vm_id in self._heard:
            yield suspicion.Observation(
                self._own_vm_id, vm_id, vm_id in silent, now_s
            )
        for observer_id, word in self._words.items():
            if observer_id in silent:
                continue
            for vm_id in word.vm_ids:
                yield suspicion.Observation(
                    observer_id, vm_id, vm_id in word.suspected, word.said_s
                )


def next_stamp(previous: int, unix_s: float, interval_s: float) -> int:
    """Returns the stamp of a node's next heartbeat.

    It follows the wall clock, so that a restarted process goes on above its
    predecessor, and rises in any case, so that a clock set back does not
    silence the node. 0 is left out: it stands for "not known".
    """
    wanted = int(unix_s / interval_s) % _STAMP_MODULUS
    if not _is_newer(wanted, previous):
        wanted = (previous + 1) % _STAMP_MODULUS
    return wanted or 1


def suspicion_bits(vm_ids: list[str], suspected: Collection[str]) -> bytes:
    """Returns one bit for each VM, set for the suspected."""
    bits = bytearray((len(vm_ids) + 7) // 8)
    for index, vm_id in enumerate(vm_ids):
        if vm_id in suspected:
            bits[index // 8] |= 1 << index % 8
    return bytes(bits)


def suspected_in(vm_ids: list[str], bits: bytes) -> frozenset[str]:
    """Returns the VMs whose bit is set; a short column sets none."""
    return frozenset(
        vm_id
        for index, vm_id in enumerate(vm_ids)
        if index // 8 < len(bits) and bits[index // 8] >> index % 8 & 1
    )


def _is_newer(stamp: int, than: int) -> bool:
    return 0 < (stamp - than) % _STAMP_MODULUS < _STAMP_MODULUS // 2

"""Determines from heartbeats which of the zone's entry VMs are alive.

Each router numbers its heartbeats with a stamp that increases, and passes on
the newest stamp that it knows of each other router. A VM whose stamp no longer
increases is silent. ``policy.suspicion`` combines the observations of several
routers into a membership.
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


class _LastStamp(NamedTuple):
    stamp: int
    received_s: float


class _ObserverReport(NamedTuple):
    """The last suspicions received from one observer."""

    vm_ids: tuple[str, ...]
    suspected: frozenset[str]
    reported_s: float


class MembershipTable:
    """The stamps and suspicions of one zone that one router knows."""

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
        self._last_stamps: dict[str, _LastStamp] = {}
        self._observer_reports: dict[str, _ObserverReport] = {}

    def expect(self, vm_ids: Collection[str], now_s: float) -> None:
        """Sets the VMs to monitor; the timeout of a new VM starts now."""
        for vm_id in self._last_stamps.keys() - set(vm_ids):
            del self._last_stamps[vm_id]
            self._observer_reports.pop(vm_id, None)
        for vm_id in vm_ids:
            if vm_id not in self._last_stamps:
                self._last_stamps[vm_id] = _LastStamp(-1, now_s)

    def note_stamp(self, vm_id: str, stamp: int, now_s: float) -> bool:
        """Records a stamp, received from the VM itself or passed on.

        Returns:
            Whether it is newer than the last one. A router that resumes after
            a pause reads frames that are minutes old; a VM must not count as
            alive because of the old stamps in them.
        """
        last = self._last_stamps.get(vm_id)
        if last is None:
            return False
        if last.stamp >= 0 and not _is_newer(stamp, last.stamp):
            return False
        self._last_stamps[vm_id] = _LastStamp(stamp, now_s)
        return True

    def note_suspicions(
        self,
        observer_id: str,
        vm_ids: Iterable[str],
        suspected: Iterable[str],
        now_s: float,
    ) -> None:
        """Records which VMs an observer suspects."""
        self._observer_reports[observer_id] = _ObserverReport(
            tuple(vm_ids), frozenset(suspected), now_s
        )

    def reset_stamp(self, vm_id: str, now_s: float) -> None:
        """Discards the stamp of a VM whose process was restarted."""
        if vm_id in self._last_stamps:
            self._last_stamps[vm_id] = _LastStamp(-1, now_s)

    def silent(self, now_s: float) -> frozenset[str]:
        """Returns the VMs that had no newer stamp for ``suspect_after_s``."""
        return frozenset(
            vm_id
            for vm_id, last in self._last_stamps.items()
            if vm_id != self._own_vm_id
            and now_s - last.received_s > self._suspect_after_s
        )

    def stamps(self, vm_ids: Iterable[str]) -> bytes:
        """Returns the newest stamp of each VM, 2 bytes each; 0 if unknown."""
        column = bytearray()
        for vm_id in vm_ids:
            last = self._last_stamps.get(vm_id)
            stamp = last.stamp if last and last.stamp >= 0 else 0
            column += stamp.to_bytes(STAMP_BYTES, "big")
        return bytes(column)

    def merge_stamps(
        self, vm_ids: Collection[str], column: bytes, now_s: float
    ) -> None:
        """Merges the stamps that another router passes on."""
        if len(column) != STAMP_BYTES * len(vm_ids):
            return
        for index, vm_id in enumerate(vm_ids):
            start = STAMP_BYTES * index
            stamp = int.from_bytes(column[start : start + STAMP_BYTES], "big")
            if stamp and vm_id != self._own_vm_id:
                self.note_stamp(vm_id, stamp, now_s)

    def evaluate(
        self, vms: list[fleet.VmRecord], now_s: float
    ) -> suspicion.Membership:
        """Determines which of the zone's entry VMs are alive."""
        return suspicion.evaluate(
            self._observations(now_s), vms, now_s, self._settings
        )

    def _observations(self, now_s: float) -> Iterator[suspicion.Observation]:
        silent = self.silent(now_s)
        for vm_id in self._last_stamps:
            yield suspicion.Observation(
                self._own_vm_id, vm_id, vm_id in silent, now_s
            )
        for observer_id, report in self._observer_reports.items():
            if observer_id in silent:
                continue
            for vm_id in report.vm_ids:
                yield suspicion.Observation(
                    observer_id,
                    vm_id,
                    vm_id in report.suspected,
                    report.reported_s,
                )


def next_stamp(previous: int, unix_s: float, interval_s: float) -> int:
    """Returns the stamp of a router's next heartbeat.

    The stamp is derived from the wall clock, so that a restarted process
    continues above the stamps of the previous one. It increases even if the
    clock is set back; otherwise the router would look silent. 0 is never
    used, because it means "unknown".
    """
    stamp = int(unix_s / interval_s) % _STAMP_MODULUS
    if not _is_newer(stamp, previous):
        stamp = (previous + 1) % _STAMP_MODULUS
    return stamp or 1


def suspicion_bits(vm_ids: list[str], suspected: Collection[str]) -> bytes:
    """Returns a bitmap with one bit for each VM, set if it is suspected."""
    bits = bytearray((len(vm_ids) + 7) // 8)
    for index, vm_id in enumerate(vm_ids):
        if vm_id in suspected:
            bits[index // 8] |= 1 << index % 8
    return bytes(bits)


def suspected_in(vm_ids: list[str], bits: bytes) -> frozenset[str]:
    """Returns the VMs whose bit is set; missing bits count as not set."""
    return frozenset(
        vm_id
        for index, vm_id in enumerate(vm_ids)
        if index // 8 < len(bits) and bits[index // 8] >> index % 8 & 1
    )


def _is_newer(stamp: int, than: int) -> bool:
    return 0 < (stamp - than) % _STAMP_MODULUS < _STAMP_MODULUS // 2

"""Chooses backend servers for the requests of plain services.

It also records which servers failed, so that they are chosen last for a while.
"""

import random

from result import Err, Ok, Result

from mulberrywharf import errors, fleet

_RECENT_FAILURE_S = 10.0
_RETRY_AFTER_S = 1.0


class ServiceDirectory:
    """Chooses among the live backend servers of a service.

    Prefers servers without a recent failure, then servers in this router's
    availability zone. Uses round robin among equally good servers.
    """

    def __init__(self, availability_zone: str, rng: random.Random):
        """Creates an empty directory.

        Args:
            availability_zone: The availability zone of this router.
            rng: Random number generator that chooses where the round robin
                starts. Otherwise all routers would send their first requests to
                the same server.
        """
        self._availability_zone = availability_zone
        self._rng = rng
        self._by_service: dict[str, list[fleet.VmRecord]] = {}
        self._turns: dict[str, int] = {}
        self._failed_at_s: dict[str, float] = {}

    def set_vms(self, vms: list[fleet.VmRecord]) -> None:
        """Replaces the VM list; servers that are not live get no new work."""
        by_service: dict[str, list[fleet.VmRecord]] = {}
        for vm in vms:
            if vm.kind != "backend":
                continue
            live = by_service.setdefault(vm.service, [])
            if vm.state == "live":
                live.append(vm)
        self._by_service = by_service
        known = {vm.vm_id for vm in vms}
        self._failed_at_s = {
            vm_id: at_s
            for vm_id, at_s in self._failed_at_s.items()
            if vm_id in known
        }

    def services(self) -> list[str]:
        """Returns the names of all services, also without a live server."""
        return sorted(self._by_service)

    def servers(self, service: str) -> list[fleet.VmRecord]:
        """Returns a service's live servers."""
        return list(self._by_service.get(service, ()))

    def choose(
        self, service: str, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> Result[fleet.VmRecord, errors.RequestError]:
        """Chooses the server for one attempt.

        Args:
            service: Name of the service.
            now_s: Current monotonic time.
            excluded: IDs of the VMs that earlier attempts of this request used.

        Returns:
            The server, or ``UnknownTargetError`` if no VM offers the service,
            or ``OverloadedError`` if none of its servers is left to try.
        """
        if service not in self._by_service:
            message = f"there is no service {service!r}"
            return Err(errors.UnknownTargetError(message))
        candidates = [
            vm for vm in self._by_service[service] if vm.vm_id not in excluded
        ]
        if not candidates:
            message = f"no server of {service!r} is left to try"
            return Err(
                errors.OverloadedError(message, retry_after_s=_RETRY_AFTER_S)
            )
        best_rank = min(self._rank(vm, now_s) for vm in candidates)
        equally_ranked = [
            vm for vm in candidates if self._rank(vm, now_s) == best_rank
        ]
        return Ok(
            equally_ranked[self._next_turn(service) % len(equally_ranked)]
        )

    def record_failure(self, vm_id: str, now_s: float) -> None:
        """Records that an attempt at a server failed."""
        self._failed_at_s[vm_id] = now_s

    def record_success(self, vm_id: str) -> None:
        """Clears the recorded failure of a server."""
        self._failed_at_s.pop(vm_id, None)

    def _rank(self, vm: fleet.VmRecord, now_s: float) -> tuple[bool, bool]:
        failed_at_s = self._failed_at_s.get(vm.vm_id)
        failed = (
            failed_at_s is not None and now_s - failed_at_s < _RECENT_FAILURE_S
        )
        in_other_zone = vm.availability_zone != self._availability_zone
        return failed, in_other_zone

    def _next_turn(self, service: str) -> int:
        if service not in self._turns:
            self._turns[service] = self._rng.randrange(1 << 16)
        self._turns[service] += 1
        return self._turns[service]

"""Which backend servers of a service may get new work."""

import random

from result import Err, Ok, Result

from mulberrywharf import errors, fleet

_FAILURE_MEMORY_S = 10.0
_RETRY_AFTER_S = 1.0


class ServiceDirectory:
    """Chooses a live backend server of a service.

    Servers of the own availability zone go first; one that failed in the
    last seconds goes last, whatever its zone. Among equals it goes round.
    """

    def __init__(self, availability_zone: str, chance: random.Random):
        """Makes an empty directory.

        Args:
            availability_zone: The own one.
            chance: Gives each node another first turn; nodes that begin in
                step would send their first requests to the same server.
        """
        self._availability_zone = availability_zone
        self._chance = chance
        self._by_service: dict[str, list[fleet.VmRecord]] = {}
        self._turns: dict[str, int] = {}
        self._failed_at_s: dict[str, float] = {}

    def set_vms(self, vms: list[fleet.VmRecord]) -> None:
        """Takes the VM list; leaving servers get no new work from now."""
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
        """Returns the names of all services, even of those without a server."""
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
            now_s: Monotonic time.
            excluded: VM ids that this request has tried already.

        Returns:
            The server; ``UnknownTargetError`` if nobody offers the service,
            ``OverloadedError`` if no server of it is left.
        """
        if service not in self._by_service:
            message = f"there is no service {service!r}"
            return Err(errors.UnknownTargetError(message))
        able = [
            vm for vm in self._by_service[service] if vm.vm_id not in excluded
        ]
        if not able:
            message = f"no server of {service!r} is left to try"
            return Err(
                errors.OverloadedError(message, retry_after_s=_RETRY_AFTER_S)
            )
        best = min(self._rank(vm, now_s) for vm in able)
        equals = [vm for vm in able if self._rank(vm, now_s) == best]
        return Ok(equals[self._next_turn(service) % len(equals)])

    def failed(self, vm_id: str, now_s: float) -> None:
        """Notes that an exchange with a server failed."""
        self._failed_at_s[vm_id] = now_s

    def succeeded(self, vm_id: str) -> None:
        """Forgets a server's earlier failure."""
        self._failed_at_s.pop(vm_id, None)

    def _rank(self, vm: fleet.VmRecord, now_s: float) -> tuple[bool, bool]:
        failed_at_s = self._failed_at_s.get(vm.vm_id)
        failed = (
            failed_at_s is not None and now_s - failed_at_s < _FAILURE_MEMORY_S
        )
        elsewhere = vm.availability_zone != self._availability_zone
        return failed, elsewhere

    def _next_turn(self, service: str) -> int:
        if service not in self._turns:
            self._turns[service] = self._chance.randrange(1 << 16)
        self._turns[service] += 1
        return self._turns[service]

"""Ranks the routers that grant requests to servers with a limit."""

from collections.abc import Iterable

from mulberrywharf import clock, fleet, limit_claims
from mulberrywharf.policy import limit_ownership


class RouterRanks:
    """The ranks of the routers in the VM list."""

    def __init__(self, own_vm_id: str, system_clock: clock.Clock):
        self._own_vm_id = own_vm_id
        self._clock = system_clock
        self._ownership = limit_ownership.LimitOwnership()
        self._addresses: dict[str, fleet.Address] = {}

    def set_vms(self, vms: Iterable[fleet.VmRecord]) -> None:
        """Records a new VM list."""
        routers = [vm for vm in vms if vm.kind == "entry"]
        self._addresses.update({vm.vm_id: vm.address for vm in routers})
        self._ownership.note_listed(
            {vm.vm_id: vm.availability_zone for vm in routers},
            self._clock.monotonic_s(),
        )

    def limit_owners(
        self, server_key: int, availability_zone: str
    ) -> tuple[limit_claims.RankedOwner, ...]:
        """Returns the routers that grant requests to a server, by rank.

        Args:
            server_key: Key of the server.
            availability_zone: Zone of the server.
        """
        now_s = self._clock.monotonic_s()
        is_settled = self._ownership.is_settled(
            server_key, availability_zone, now_s
        )
        owners = self._ownership.owners(server_key, availability_zone, now_s)
        return tuple(
            limit_claims.RankedOwner(
                rank,
                None if vm_id == self._own_vm_id else self._addresses[vm_id],
                is_settled,
            )
            for rank, vm_id in enumerate(owners)
        )

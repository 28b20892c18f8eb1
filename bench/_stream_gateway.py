"""What played gateways that keep the versions of streams have in common."""

import abc
from collections.abc import Iterable
from typing import Protocol

from mulberrywharf import fleet
from mulberrywharf.peers import datagrams, topics
from mulberrywharf.policy import stream_keepers


class Directory(Protocol):
    """All gateways.

    Attributes:
        zones_by_vm: Their zones, by the ids of their VMs.
        addresses: Their addresses, by the same ids.
    """

    zones_by_vm: dict[str, str]
    addresses: dict[str, fleet.Address]


class StreamGateway(abc.ABC):
    """One gateway; stands in for its topic exchange and its directory.

    Attributes:
        zone: Its availability zone.
        vm_id: Id of its VM.
        address: Its address.
        is_up: Whether its process runs.
        sent_bytes: What it has sent.
        unknown: Gateways that it doesn't know.
    """

    def __init__(self, number: int, zones_count: int, directory: Directory):
        self.zone = f"zone-{number % zones_count}"
        self.vm_id = f"entry-{number}"
        self.address = fleet.Address("10.0.0.1", 1_000 + number)
        self.is_up = True
        self.sent_bytes = 0
        self.unknown: frozenset[str] = frozenset()
        self._directory = directory

    @abc.abstractmethod
    def deliver(self, address: fleet.Address, body: bytes) -> None:
        """Carries the body of a message to a gateway, or loses it."""

    def register(self, topic: topics.Topic, handler: topics.Handler) -> None:
        """Takes the handler of the messages; see ``TopicExchange``."""
        self.handler = handler

    def send(
        self,
        topic: topics.Topic,
        body: bytes,
        addresses: Iterable[fleet.Address],
        *,
        is_urgent: bool,
    ) -> bool:
        """Sends a message to each address; see ``TopicExchange``."""
        for address in addresses:
            self.sent_bytes += (
                len(body) + len(topic) + datagrams.DATAGRAM_OVERHEAD_BYTES
            )
            self.deliver(address, body)
        return True

    def stream_fleet(self) -> stream_keepers.Fleet:
        """Returns the gateways that it knows."""
        known = self._directory.zones_by_vm
        if self.unknown:
            known = {
                vm_id: zone
                for vm_id, zone in known.items()
                if vm_id not in self.unknown
            }
        return stream_keepers.Fleet(known, self.vm_id)

    def address_of(self, vm_id: str) -> fleet.Address | None:
        """Returns the address of another gateway, None for this one."""
        if vm_id == self.vm_id:
            return None
        return self._directory.addresses[vm_id]

"""The links of a process, one for each address that it connects to."""

from mulberrywharf import fleet, settings
from mulberrywharf.nodes import frames, link


class Links:
    """Opens links on first use and keeps them until they are closed.

    Attributes:
        traffic: Counters of the bytes and frames of all links.
    """

    def __init__(self, own_vm_id: str, shared_key: bytes):
        self.traffic = frames.Traffic()
        self._own_vm_id = own_vm_id
        self._shared_key = shared_key
        self._links: dict[fleet.Address, link.Link] = {}

    @classmethod
    def from_config(cls, config: settings.Settings) -> "Links":
        """Creates the links of the process from its settings."""
        return cls(config["vm_id"], bytes.fromhex(config["nodes"]["key_hex"]))

    def to(self, address: fleet.Address) -> link.Link:
        """Returns the link to an address, started on first use."""
        existing = self._links.get(address)
        if existing is not None:
            return existing
        made = link.Link(
            address, self._own_vm_id, self._shared_key, self.traffic
        )
        self._links[address] = made
        made.start()
        return made

    def keep_only(self, addresses: set[fleet.Address]) -> None:
        """Closes the links to all other addresses, unless they are in use.

        Otherwise the process would never stop trying to connect to a VM that
        was removed from the VM list.
        """
        for address in self._links.keys() - addresses:
            if not self._links[address].is_busy:
                self._links.pop(address).close()

    def close(self) -> None:
        """Closes every link."""
        for each in self._links.values():
            each.close()
        self._links.clear()

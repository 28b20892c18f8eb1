"""The router's side of the other entry VMs."""

import time

import gevent

from mulberrywharf import fleet, settings
from mulberrywharf.nodes import (
    claim_client,
    claim_owner,
    links,
    mesh,
    server,
)
from mulberrywharf.nodes import rates as node_rates
from mulberrywharf.programs import _router_platform
from mulberrywharf.requests import demand_rates


class Nodes:
    """Claims, and whatever else the entry VMs settle among themselves.

    Attributes:
        port: Where other entry VMs connect.
        claims: Asks for the right to run a request once.
        mesh: Heartbeats, membership, loads and demands.
    """

    def __init__(
        self,
        config: settings.Settings,
        platform: _router_platform.Platform,
        callers_address: fleet.Address,
    ):
        self._vm_list = platform.vm_list
        self._starting: gevent.Greenlet | None = None
        self._links = links.Links.from_config(config)
        self._server = server.NodeServer.from_config(config)
        # It listens from here on, because the claims name its port.
        self._server.start()
        self.port = self._server.port
        self.mesh = mesh.NodeMesh.from_config(
            config,
            platform.vm_list,
            platform.follower,
            self._links,
            self._server,
        )
        self._owner = claim_owner.ClaimOwner.from_config(
            config,
            platform.key_value,
            platform.vm_list,
            self._links,
            self._server,
        )
        self.claims = claim_client.ClaimClient.from_config(
            config,
            platform.key_value,
            self._links,
            self._owner,
            callers_address,
        )

    def share_rates(self, rates: demand_rates.DemandRates) -> None:
        """Lets the zone's controller ask how many requests come here."""
        node_rates.answer_from(
            self._server, lambda: rates.read(time.monotonic())
        )

    def start(self) -> None:
        """Begins to send heartbeats and to look after shards of claims."""
        self.mesh.start()
        self._starting = gevent.spawn(self._start_owner)

    def _start_owner(self) -> None:
        # Without the list this node would take itself for the only one and
        # every shard for its own; one VM's end would then stop all claims.
        self._vm_list.wait()
        self._owner.start()

    def owned_shards_count(self) -> int:
        """Returns how many shards of claims this node answers for."""
        return len(self._owner.owned_shards())

    def leave(self) -> None:
        """Hands over what others go on with, and says that we leave."""
        if self._starting is not None:
            self._starting.kill()
        self.mesh.announce_leaving()
        self._owner.hand_over()

    def close(self) -> None:
        """Ends every exchange."""
        self.mesh.close()
        self.claims.close()
        self._owner.close()
        self._server.close()
        self._links.close()

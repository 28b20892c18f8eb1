"""A router's communication with the other entry VMs."""

import time

import gevent

from mulberrywharf import clock, fleet, limit_claims, settings
from mulberrywharf.nodes import (
    claim_client,
    claim_owner,
    limit_links,
    limit_ranks,
    links,
    mesh,
    server,
)
from mulberrywharf.nodes import rates as node_rates
from mulberrywharf.programs import _router_platform
from mulberrywharf.requests import demand_rates


class Nodes:
    """Claims, heartbeats and the data exchanged among entry VMs.

    Attributes:
        port: TCP port that other entry VMs connect to.
        claims: Requests claims, each the exclusive right to run a request.
        mesh: Exchanges heartbeats, membership, loads and demand.
    """

    def __init__(
        self,
        config: settings.Settings,
        platform: _router_platform.Platform,
        callers_address: fleet.Address,
    ):
        self._vm_list = platform.vm_list
        self._claim_owner_start: gevent.Greenlet | None = None
        self._links = links.Links.from_config(config)
        self._server = server.NodeServer.from_config(config)
        # Starts listening now because the claim owner needs the port.
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

    def limit_claims(
        self, ranks: limit_ranks.RouterRanks, system_clock: clock.Clock
    ) -> limit_claims.LimitClaims:
        """Creates the claims of requests to servers with a limit.

        Args:
            ranks: Ranks the routers.
            system_clock: Times claims and grants.
        """
        carrier = limit_links.LimitLinks(
            self._links, self._server, system_clock
        )
        claims = limit_claims.LimitClaims(ranks, carrier, system_clock)
        carrier.on_claim(claims.decide)
        return claims

    def serve_rates(self, rates: demand_rates.DemandRates) -> None:
        """Answers the zone's controller with the rates of this router."""
        node_rates.register_rates_handler(
            self._server, lambda: rates.read(time.monotonic())
        )

    def start(self) -> None:
        """Starts to send heartbeats and to acquire claim shards."""
        self.mesh.start()
        self._claim_owner_start = gevent.spawn(self._start_claim_owner)

    def _start_claim_owner(self) -> None:
        # Without the VM list this node would assume that it is the only one
        # and acquire all shards. The failure of its VM would then make every
        # claim unavailable.
        self._vm_list.wait()
        self._owner.start()

    def owned_shards_count(self) -> int:
        """Returns how many claim shards this node owns."""
        return len(self._owner.owned_shards())

    def leave(self) -> None:
        """Tells the other nodes that this one leaves; hands over its shards."""
        if self._claim_owner_start is not None:
            self._claim_owner_start.kill()
        self.mesh.announce_leaving()
        self._owner.hand_over()

    def close(self) -> None:
        """Closes all connections."""
        self.mesh.close()
        self.claims.close()
        self._owner.close()
        self._server.close()
        self._links.close()

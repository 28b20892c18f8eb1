"""Chooses the gateways that grant the requests to a server with a limit.

The gateway that ranks first for a server owns its limit, see
``gateway_ranks``; the others stand by for gateways that don't reach the owner.
An owner that is not settled grants less, see ``limit_grants``.
"""

from mulberrywharf.policy import gateway_ranks

RANKS_COUNT = gateway_ranks.RANKS_COUNT
REMOVED_HOLD_S = gateway_ranks.REMOVED_HOLD_S
SETTLE_S = gateway_ranks.SETTLE_S


class LimitOwnership(gateway_ranks.GatewayRanks):
    """The owners of servers' request limits."""

    def owners(
        self, server_key: int, availability_zone: str, now_s: float
    ) -> tuple[str, ...]:
        """Returns the VMs that grant requests to a server, the owner first.

        Returns:
            No VM until a list was read.
        """
        return self.ranked(server_key, availability_zone, now_s)

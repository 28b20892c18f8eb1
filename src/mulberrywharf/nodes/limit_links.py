"""Takes claims of requests to the owners of limits over the routers' links."""

from collections.abc import Callable

from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, limit_claims
from mulberrywharf.nodes import links, messages, server
from mulberrywharf.peers import limit_codec
from mulberrywharf.policy import limit_grants


class LimitLinks:
    """Sends claims to other routers and receives theirs."""

    def __init__(
        self,
        node_links: links.Links,
        node_server: server.NodeServer,
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the server.

        Args:
            node_links: Links to the other routers.
            node_server: Receives their claims.
            system_clock: Measures the age of statements.
        """
        self._links = node_links
        self._server = node_server
        self._clock = system_clock

    def on_claim(
        self, decide: Callable[[limit_grants.Claim], limit_grants.Grant]
    ) -> None:
        """Sets the function that decides the claims of other routers."""

        def handle(
            sender_vm_id: str, message: messages.LimitCall
        ) -> messages.LimitCall | None:
            now_s = self._clock.monotonic_s()
            decoded = limit_codec.decode(message.body, now_s)
            if isinstance(decoded, Err) or not isinstance(
                decoded.ok_value, limit_codec.ClaimMessage
            ):
                logger.warning("{} sent a malformed claim", sender_vm_id)
                return None
            number, claim = decoded.ok_value
            grant = limit_codec.GrantMessage(number, decide(claim))
            return messages.LimitCall(limit_codec.encode(grant, now_s))

        self._server.register(messages.LimitCall, handle)

    def ask(
        self, address: fleet.Address, claim: limit_grants.Claim
    ) -> limit_grants.Grant | None:
        """Returns a router's decision, None if it did not reply in time."""
        encoded = limit_codec.encode(
            limit_codec.ClaimMessage(0, claim), self._clock.monotonic_s()
        )
        received = self._links.to(address).call(
            messages.LimitCall(encoded), limit_claims.REPLY_TIMEOUT_S
        )
        if isinstance(received, Err):
            return None
        reply = received.ok_value
        if not isinstance(reply, messages.LimitCall):
            return None
        decoded = limit_codec.decode(reply.body, self._clock.monotonic_s())
        if isinstance(decoded, Err):
            logger.warning("{}: {}", address, decoded.err_value.message)
            return None
        if not isinstance(decoded.ok_value, limit_codec.GrantMessage):
            return None
        return decoded.ok_value.grant

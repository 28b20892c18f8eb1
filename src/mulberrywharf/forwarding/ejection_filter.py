"""Tells which servers requests are not sent to because they fail."""

from collections.abc import Sequence
from typing import Protocol

from mulberrywharf import fleet


class Ejections(Protocol):
    """The ejected servers."""

    def allowed(
        self, servers: Sequence[fleet.Server], *, may_repeat: bool
    ) -> list[fleet.Server]:
        """Returns the servers that a request may be sent to.

        Args:
            servers: The servers of one service that it could be sent to.
            may_repeat: Whether the request may be repeated.

        Returns:
            All servers if only ejected ones would be left.
        """
        ...


class NoEjections:
    """Ejects no server."""

    def allowed(
        self, servers: Sequence[fleet.Server], *, may_repeat: bool
    ) -> list[fleet.Server]:
        """Returns all servers."""
        return list(servers)

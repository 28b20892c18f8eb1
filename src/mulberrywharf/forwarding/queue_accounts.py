"""Interface to the owners of engines' prefill queues in a large fleet."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from mulberrywharf import fleet
from mulberrywharf.peers import queue_owners
from mulberrywharf.policy import part_caches


class QueueAccounts(Protocol):
    """Asks and informs the gateways that own engines' prefill queues.

    The owner of a queue counts all prompts at the engine, whichever gateway
    placed them.
    """

    @property
    def is_used(self) -> bool:
        """Whether placements go to queue owners, not to all gateways."""
        ...

    @property
    def asked_count(self) -> int:
        """Number of owners that may be asked for one prompt now."""
        ...

    def follow(self, known: Sequence[fleet.Server]) -> None:
        """Replaces the known engines."""
        ...

    def owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns the owner of an engine's queue, None for this gateway."""
        ...

    def waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...] = (),
    ) -> Mapping[fleet.ServerStart, queue_owners.ToldWait]:
        """Asks the owners how long a prompt would wait at engines.

        Args:
            engines: The engines.
            priority: Priority of the prompt, 0 is served first.
            part_keys: Keys of its long shared parts, in order.

        Returns:
            The answers that came in time, by engine.
        """
        ...

    def placed(
        self,
        server: fleet.Server,
        work_s: float,
        priority: int,
        parts: tuple[part_caches.HeldPart, ...] = (),
        own_tokens: int = 0,
    ) -> queue_owners.Ticket:
        """Reports to the owner that a prompt was sent to an engine.

        Args:
            server: The engine.
            work_s: Engine time that the prefill takes.
            priority: Priority of the prompt, 0 is served first.
            parts: Long shared parts of the prompt, in order.
            own_tokens: Tokens of the rest of the prompt.

        Returns:
            The argument for ``read`` or ``withdrawn``.
        """
        ...

    def read(self, ticket: queue_owners.Ticket) -> None:
        """Reports to the owner that a prompt was prefilled."""
        ...

    def withdrawn(self, ticket: queue_owners.Ticket) -> None:
        """Reports to the owner that a prompt will not be prefilled."""
        ...


class NoQueueAccounts:
    """Null implementation, for fleets where all gateways get all notices."""

    is_used = False
    asked_count = 0

    def follow(self, known: Sequence[fleet.Server]) -> None:
        """Does nothing."""

    def owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns None; no queue has an owner."""
        return None

    def waits(self, *_: Any) -> Mapping[fleet.ServerStart, Any]:
        """Returns no waits."""
        return {}

    def placed(self, server: fleet.Server, *_: Any) -> queue_owners.Ticket:
        """Reports nothing; returns a placeholder ticket."""
        return queue_owners.Ticket(server, 0)

    def read(self, ticket: queue_owners.Ticket) -> None:
        """Does nothing."""

    def withdrawn(self, ticket: queue_owners.Ticket) -> None:
        """Does nothing."""

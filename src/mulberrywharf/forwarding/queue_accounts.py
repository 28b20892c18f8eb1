"""Where the queues of a large fleet's engines are kept, as it matters here."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from mulberrywharf import fleet
from mulberrywharf.peers import queue_owners
from mulberrywharf.policy import part_caches


class QueueAccounts(Protocol):
    """Knows of every prompt at an engine, whichever gateway placed it."""

    @property
    def is_used(self) -> bool:
        """Whether prompts are counted there, and not told to all gateways."""
        ...

    @property
    def asked_count(self) -> int:
        """Owners that may be asked for one prompt now."""
        ...

    def follow(self, known: Sequence[fleet.Server]) -> None:
        """Takes in the engines."""
        ...

    def owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns who keeps an engine's queue, None for this gateway."""
        ...

    def waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...] = (),
    ) -> Mapping[fleet.ServerStart, queue_owners.ToldWait]:
        """Returns how long a prompt would wait at engines that are known."""
        ...

    def placed(
        self,
        server: fleet.Server,
        work_s: float,
        priority: int,
        parts: tuple[part_caches.HeldPart, ...] = (),
        own_tokens: int = 0,
    ) -> queue_owners.Ticket:
        """Counts a prompt in."""
        ...

    def read(self, ticket: queue_owners.Ticket) -> None:
        """Counts a prompt out that was read."""
        ...

    def withdrawn(self, ticket: queue_owners.Ticket) -> None:
        """Counts a prompt out that will not be read."""
        ...


class NoQueueAccounts:
    """For a fleet whose gateways are all told of all work."""

    is_used = False
    asked_count = 0

    def follow(self, known: Sequence[fleet.Server]) -> None:
        """Does nothing."""

    def owner(self, server: fleet.Server) -> fleet.Address | None:
        """Knows of none."""
        return None

    def waits(self, *_: Any) -> Mapping[fleet.ServerStart, Any]:
        """Knows nothing."""
        return {}

    def placed(self, server: fleet.Server, *_: Any) -> queue_owners.Ticket:
        """Counts nothing."""
        return queue_owners.Ticket(server, 0)

    def read(self, ticket: queue_owners.Ticket) -> None:
        """Counts nothing."""

    def withdrawn(self, ticket: queue_owners.Ticket) -> None:
        """Counts nothing."""

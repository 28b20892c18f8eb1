"""Interface to the owners of engines' prefill queues in a large fleet."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from mulberrywharf import fleet
from mulberrywharf.peers import queue_owners
from mulberrywharf.policy import part_caches


class QueueOwnerClient(Protocol):
    """Sends queries and reports to the owners of engines' prefill queues.

    The owner of a queue counts all prompts at the engine, whichever gateway
    placed them.
    """

    @property
    def is_used(self) -> bool:
        """Whether placements go to queue owners, not to all gateways."""
        ...

    @property
    def max_asked_owners_count(self) -> int:
        """Number of owners that may be asked for one prompt now."""
        ...

    def set_engines(self, known: Sequence[fleet.Server]) -> None:
        """Replaces the known engines."""
        ...

    def queue_owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns the other gateway that owns an engine's queue.

        Returns:
            None if this gateway owns it, or if queues have no owners.
        """
        ...

    def slowdown(self, server: fleet.Server) -> float | None:
        """Returns an engine's lasting slowdown relative to its role.

        Returns:
            None if no owner has told this gateway.
        """
        ...

    def waits(
        self,
        engines: Sequence[fleet.Server],
        priority: int,
        part_keys: tuple[int, ...] = (),
    ) -> Mapping[fleet.ServerStart, queue_owners.ReportedWait]:
        """Asks the owners how long a prompt would wait at engines.

        Args:
            engines: The engines.
            priority: Priority of the prompt, 0 is served first.
            part_keys: Keys of its long shared parts, in order.

        Returns:
            The answers that came in time, by engine.
        """
        ...

    def report_placed(
        self,
        server: fleet.Server,
        work_s: float,
        priority: int,
        parts: tuple[part_caches.HeldPart, ...] = (),
        own_tokens: int = 0,
    ) -> queue_owners.PlacementId:
        """Reports to the owner that a prompt was sent to an engine.

        Args:
            server: The engine.
            work_s: Engine time that the prefill takes.
            priority: Priority of the prompt, 0 is served first.
            parts: Long shared parts of the prompt, in order.
            own_tokens: Tokens of the rest of the prompt.

        Returns:
            The argument for ``report_prefilled`` or ``report_withdrawn``.
        """
        ...

    def report_prefilled(
        self,
        placement_id: queue_owners.PlacementId,
        slowdown: float | None = None,
    ) -> None:
        """Reports to the owner that a prompt was prefilled.

        Args:
            placement_id: The prompt.
            slowdown: Slowdown of the engine by this prompt's duration, None if
                the duration is unfit to learn from.
        """
        ...

    def report_withdrawn(self, placement_id: queue_owners.PlacementId) -> None:
        """Reports to the owner that a prompt will not be prefilled."""
        ...


class NullQueueOwnerClient:
    """Null implementation, for fleets where all gateways get all notices."""

    is_used = False
    max_asked_owners_count = 0

    def set_engines(self, known: Sequence[fleet.Server]) -> None:
        """Does nothing."""

    def queue_owner(self, server: fleet.Server) -> fleet.Address | None:
        """Returns None; no queue has an owner."""
        return None

    def slowdown(self, server: fleet.Server) -> float | None:
        """Returns None; no slowdown is shared."""
        return None

    def waits(self, *_: Any) -> Mapping[fleet.ServerStart, Any]:
        """Returns no waits."""
        return {}

    def report_placed(
        self, server: fleet.Server, *_: Any
    ) -> queue_owners.PlacementId:
        """Reports nothing; returns a placeholder."""
        return queue_owners.PlacementId(server, 0)

    def report_prefilled(
        self,
        placement_id: queue_owners.PlacementId,
        slowdown: float | None = None,
    ) -> None:
        """Does nothing."""

    def report_withdrawn(self, placement_id: queue_owners.PlacementId) -> None:
        """Does nothing."""

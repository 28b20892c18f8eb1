"""Keeps the engines' slowdowns in the messages of queue owners.

Messages name an engine by the key of its start. Slowdowns are kept by its id,
because they are those of its machine and outlast a new start.
"""

from collections.abc import Sequence

from mulberrywharf import fleet
from mulberrywharf.peers import notice_codec, queue_codec
from mulberrywharf.policy import shared_speeds


class QueueSpeeds:
    """The slowdowns that this gateway learned as an owner, or received."""

    def __init__(self) -> None:
        self._id_by_key: dict[int, str] = {}
        self._owned = shared_speeds.SharedSpeeds()
        self._known = shared_speeds.KnownSlowdowns()

    def set_engines(self, engines: Sequence[fleet.Server]) -> None:
        """Replaces the engines whose queues have owners."""
        self._known.set_engines(engines)
        self._id_by_key = {
            notice_codec.hash_server_start(engine.start): engine.server_id
            for engine in engines
        }

    def relative_slowdown(
        self, server: fleet.Server, now_s: float
    ) -> float | None:
        """See ``shared_speeds.KnownSlowdowns``."""
        return self._known.relative_slowdown(server, now_s)

    def known_slowdown(self, engine_key: int, now_s: float) -> float | None:
        """Returns what owners reported of an engine, None if nothing."""
        engine_id = self._id_by_key.get(engine_key)
        if engine_id is None:
            return None
        return self._known.slowdown(engine_id, now_s)

    def owned_slowdown(self, engine_key: int, now_s: float) -> float | None:
        """Returns what this gateway learned as the owner of a queue."""
        engine_id = self._id_by_key.get(engine_key)
        if engine_id is None:
            return None
        return self._owned.slowdown(engine_id, now_s)

    def note_waits(
        self, waits: Sequence[queue_codec.EngineWait], now_s: float
    ) -> None:
        """Records the slowdowns in the replies of owners."""
        for wait in waits:
            engine_id = self._id_by_key.get(wait.engine_key)
            if engine_id is not None:
                self._known.told(engine_id, wait.slowdown, now_s)

    def record(self, work: queue_codec.PromptUpdate, now_s: float) -> None:
        """Records the slowdown in a report to this gateway as an owner."""
        engine_id = self._id_by_key.get(work.engine_key)
        if engine_id is None or work.slowdown is None:
            return
        is_measured = work.event == "read"
        note = self._owned.measured if is_measured else self._owned.known
        note(engine_id, work.sender, work.slowdown, now_s)

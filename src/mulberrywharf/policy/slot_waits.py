"""Estimates how long a request waits for a slot of an engine with a full batch.

Engines report how many requests they run and queue. An engine with a free slot
starts a request at once; otherwise the request waits until enough of those
before it have ended. Without this estimate, prefilled prompts are handed to an
engine with a hundred requests waiting, and their answers begin a second late.
"""

from mulberrywharf import fleet

INITIAL_RUN_S = 0.25
"""Assumed duration of a run before any was seen: 50 tokens at 5 ms each."""

EWMA_WEIGHT = 0.1
"""Weight of one run in the moving average. Runs differ in length, and dozens
end each second."""


class SlotWaits:
    """Mean run durations of each engine, and the slot waits they imply."""

    def __init__(self) -> None:
        self._run_s: dict[fleet.ServerStart, float] = {}

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that are not in ``engines``."""
        for engine in self._run_s.keys() - engines:
            del self._run_s[engine]

    def note_run(self, engine: fleet.ServerStart, run_s: float) -> None:
        """Records the duration of a run.

        Args:
            engine: The engine.
            run_s: Time from the response head to the end of the stream.
        """
        mean_s = self._run_s.get(engine, INITIAL_RUN_S)
        self._run_s[engine] = mean_s + EWMA_WEIGHT * (run_s - mean_s)

    def wait_s(
        self, engine: fleet.ServerStart, requests_count: float, slots_count: int
    ) -> float:
        """Returns how long one more request would wait for a slot.

        Args:
            engine: The engine.
            requests_count: Requests at the engine, running and waiting.
            slots_count: Requests that the engine runs at once.
        """
        queue_position = requests_count + 1 - slots_count
        if queue_position <= 0 or slots_count <= 0:
            return 0.0
        run_s = self._run_s.get(engine, INITIAL_RUN_S)
        return queue_position * run_s / slots_count

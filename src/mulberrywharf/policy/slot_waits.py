"""How long a request waits for a slot of an engine whose batch is full.

Engines tell how many requests they run and keep waiting. Below its slots an
engine starts a request at once; beyond them each has to wait until enough of
those before it have ended. Left out, prompts that were prefilled elsewhere are
handed to an engine with a hundred requests waiting, and begin a second late.
"""

from mulberrywharf import fleet

USUAL_RUN_S = 0.25
"""Before any run was seen: 50 tokens at 5 ms each."""

WEIGHT = 0.1
"""Of one run in the mean: runs differ by their length, a second has dozens."""


class SlotWaits:
    """How long runs take at each engine, and what that means for a slot."""

    def __init__(self) -> None:
        self._run_s: dict[fleet.ServerStart, float] = {}

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that left."""
        for engine in self._run_s.keys() - engines:
            del self._run_s[engine]

    def note_run(self, engine: fleet.ServerStart, run_s: float) -> None:
        """Takes in how long a run took, from its first event to its end."""
        held_s = self._run_s.get(engine, USUAL_RUN_S)
        self._run_s[engine] = held_s + WEIGHT * (run_s - held_s)

    def wait_s(
        self, engine: fleet.ServerStart, requests_count: float, slots_count: int
    ) -> float:
        """Returns how long one more request waits for a slot.

        Args:
            engine: The engine.
            requests_count: Requests that it has, running and waiting.
            slots_count: Requests that it runs at once.
        """
        before_count = requests_count + 1 - slots_count
        if before_count <= 0 or slots_count <= 0:
            return 0.0
        run_s = self._run_s.get(engine, USUAL_RUN_S)
        return before_count * run_s / slots_count

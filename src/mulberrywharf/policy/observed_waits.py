"""How long engines let prompts wait, by the answers that came.

A queue that is followed by what was placed there is wrong when engines fail or
turn slow, when prompts come again, or when what a gateway counts for all is not
what the others send. What an answer took beyond its own reading is the wait
that the engine had, and holds for a moment.
"""

import math

AGE_CONSTANT_S = 0.4
"""A wait fades by 1/e in this time: a gateway has an answer of each engine
some four times a second, and a burst is over within seconds."""

WEIGHT = 0.4
"""Of a new answer against what is left of earlier ones."""

NOISE_S = 0.03
"""Taken off each wait: a step of a full batch and the ways there and back."""


class _Wait:
    """The wait at one engine, and when it was last observed."""

    __slots__ = ("at_s", "wait_s")

    def __init__(self) -> None:
        self.wait_s = 0.0
        self.at_s = 0.0


class ObservedWaits:
    """The waits of all engines, as this gateway's own requests met them."""

    def __init__(self) -> None:
        self._by_engine: dict[str, _Wait] = {}

    def keep_only(self, engine_ids: frozenset[str]) -> None:
        """Forgets engines that left."""
        for engine_id in self._by_engine.keys() - engine_ids:
            del self._by_engine[engine_id]

    def note(
        self, engine_id: str, took_s: float, unqueued_s: float, now_s: float
    ) -> None:
        """Takes in an answer.

        Args:
            engine_id: Who gave it.
            took_s: Until it began.
            unqueued_s: What it would have taken at an idle engine.
            now_s: The present.
        """
        seen_s = max(0.0, took_s - unqueued_s - NOISE_S)
        held_s = self.wait_s(engine_id, now_s)
        wait = self._by_engine.setdefault(engine_id, _Wait())
        wait.wait_s = held_s + WEIGHT * (seen_s - held_s)
        wait.at_s = now_s

    def wait_s(self, engine_id: str, now_s: float) -> float:
        """Returns how long a prompt would wait at an engine, by that."""
        wait = self._by_engine.get(engine_id)
        if wait is None:
            return 0.0
        return wait.wait_s * math.exp(-(now_s - wait.at_s) / AGE_CONSTANT_S)

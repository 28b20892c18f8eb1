"""How much of the decode engines' time short prompts take.

Short prompts are too many to be told one by one. They spread evenly over the
gateways and the engines, so each gateway takes its own as a sample of all. Left
out, a decode engine looks idle while a third of its time is taken, and long
prompts that are read there come hundreds of milliseconds late.
"""

import math

AGE_CONSTANT_S = 1.0
"""Work fades by 1/e in this time: long enough for a dozen short prompts of one
gateway, short enough for swings of the mix within seconds."""

LARGEST_SHARE = 0.75
"""Beyond it the sample says "full", and its noise would be divided by."""


class BackgroundWork:
    """The rate of a gateway's own work on short prompts."""

    def __init__(self) -> None:
        self._work_s = 0.0
        self._counted_s = 0.0

    def add(self, work_s: float, now_s: float) -> None:
        """Counts a short prompt that takes an engine ``work_s``."""
        self._fade(now_s)
        self._work_s += work_s

    def share(
        self, gateways_count: int, engines_count: int, now_s: float
    ) -> float:
        """Returns the part of each engine's time that is taken.

        Args:
            gateways_count: Gateways whose callers are alike.
            engines_count: Engines that the prompts spread over.
            now_s: The present.
        """
        self._fade(now_s)
        rate = self._work_s / AGE_CONSTANT_S
        taken = rate * gateways_count / max(1, engines_count)
        return min(LARGEST_SHARE, taken)

    def _fade(self, now_s: float) -> None:
        age_s = max(0.0, now_s - self._counted_s)
        self._work_s *= math.exp(-age_s / AGE_CONSTANT_S)
        self._counted_s = now_s

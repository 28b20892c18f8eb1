"""Estimates the share of engine time that short prompts take.

Short prompts are too many to be reported one by one. They spread evenly over
gateways and engines, so each gateway extrapolates from its own. Without this
estimate a decode engine looks idle while a third of its time is taken, and long
prompts that are prefilled there come hundreds of milliseconds late.
"""

import math

WORK_TIME_CONSTANT_S = 1.0
"""Counted work decays by 1/e in this time: long enough for a dozen short
prompts of one gateway, short enough to follow swings of the mix within
seconds."""

MAX_SHARE = 0.75
"""Upper bound of the share. A higher estimate only means that engines are full,
and callers divide by the remaining share, which would amplify its noise."""


class BackgroundWork:
    """Engine time per second that a gateway's own short prompts take."""

    def __init__(self) -> None:
        self._work_s = 0.0
        self._updated_s = 0.0

    def add(self, work_s: float, now_s: float) -> None:
        """Counts a short prompt that takes an engine ``work_s``."""
        self._decay(now_s)
        self._work_s += work_s

    def share(
        self, gateways_count: int, engines_count: int, now_s: float
    ) -> float:
        """Returns the share of each engine's time that is taken.

        Args:
            gateways_count: Number of gateways with similar callers.
            engines_count: Number of engines that the prompts spread over.
            now_s: The current time.
        """
        self._decay(now_s)
        rate = self._work_s / WORK_TIME_CONSTANT_S
        taken_share = rate * gateways_count / max(1, engines_count)
        return min(MAX_SHARE, taken_share)

    def _decay(self, now_s: float) -> None:
        age_s = max(0.0, now_s - self._updated_s)
        self._work_s *= math.exp(-age_s / WORK_TIME_CONSTANT_S)
        self._updated_s = now_s

"""Decides which requests a stopping process still takes.

Callers that keep their connections open can't know of a stop before an answer
tells them, so requests arrive through the whole grace period. A request that is
still being answered at its end is cut off. One that is refused at once is
served by another process.
"""

from typing import NamedTuple

MAX_MARGIN_S = 0.5
MARGIN_SHARE = 0.1
"""Part of the grace period that is kept free at its end, at most
``MAX_MARGIN_S``: the request to stop is noticed late on a busy machine, and the
last answers must reach their callers before the process is killed."""

DURATION_FACTOR = 1.2
"""An answer may take this many times as long as estimated. Engines get slower
while their batches fill up."""


class GracePeriod(NamedTuple):
    """The time between a request to stop and the forced end.

    Attributes:
        began_s: Monotonic time of the request to stop.
        length_s: Length of the period.
    """

    began_s: float
    length_s: float

    @property
    def last_answer_s(self) -> float:
        """Monotonic time by which the last answer must have ended."""
        margin_s = min(MAX_MARGIN_S, MARGIN_SHARE * self.length_s)
        return self.began_s + self.length_s - margin_s


def can_end(left_s: float, limit_s: float, expected_s: float | None) -> bool:
    """Returns whether a request can be answered before the process ends.

    Args:
        left_s: Time in seconds until the last answer must have ended.
        limit_s: Time until the request's deadline, which ends it in any case.
        expected_s: Estimated time until the end of its answer, None if nothing
            is known of it.
    """
    if expected_s is None:
        return limit_s <= left_s
    return min(limit_s, expected_s * DURATION_FACTOR) <= left_s

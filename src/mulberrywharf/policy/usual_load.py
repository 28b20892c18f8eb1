"""How busy engines are whose work a node does not hear of.

In fleets too large to tell everybody of everything a node knows the engines of
its own availability zone, and of the others only its own few prompts. Taken for
all the work there is, that makes each engine elsewhere look idle beside those
nearby, to every node alike: in 16 s of 61 gateways and 45 engines nine of ten
prompts crossed zones, two of three were read at engines that were answering,
and 0.29 of the streams paused too long. With the loads of this module 0.19 did.

So zones tell each other how busy their engines are on the mean. Without its
word another zone's engines are taken to be as busy as those that are heard of.
A node that knows an engine to be busier goes by that.
"""

from collections.abc import Collection
from typing import NamedTuple

KEPT_S = 0.05
"""A mean is used for so long: it moves by one placement in a dozen, and a node
of half a core would spend 0.1 ms more on each decision."""


TOLD_AGE_S = 3.0
"""What another zone told is believed so long; the mix swings within it."""


class Load(NamedTuple):
    """How busy an engine is.

    Attributes:
        running_share: Part of its slots that is taken; above 1 with a queue.
        queue_s: Until its steps reach a new prompt.
    """

    running_share: float
    queue_s: float


IDLE = Load(0.0, 0.0)


def mean(loads: Collection[Load]) -> Load:
    """Returns the mean of loads, idle if there are none."""
    if not loads:
        return IDLE
    return Load(
        sum(load.running_share for load in loads) / len(loads),
        sum(load.queue_s for load in loads) / len(loads),
    )


def at_least(load: Load, usual: Load) -> Load:
    """Returns a load that is known in part, filled up to the usual one."""
    return Load(
        max(load.running_share, usual.running_share),
        max(load.queue_s, usual.queue_s),
    )

"""Estimates the load of engines whose work a node is not told of.

In a large fleet a node knows the work of the engines in its own availability
zone, and of the others only its own few prompts. If it took those for all their
work, every node would see engines in other zones as idle beside those nearby.
In 16 s with 61 gateways and 45 engines, nine of ten prompts then crossed zones,
two of three were prefilled at engines that were generating, and 0.29 of the
streams paused for too long; with the estimates of this module 0.19 did.

So zones report the mean load of their engines to each other. Without a report,
engines of another zone are assumed to be as busy as those that the node is told
of. If the node knows an engine to be busier, it uses that load.
"""

from collections.abc import Collection
from typing import NamedTuple

MEAN_CACHE_S = 0.05
"""A mean is cached for this long. It changes by about one placement in a dozen
meanwhile, and computing it for each decision would cost a node with half a core
0.1 ms more."""


MAX_REPORT_AGE_S = 3.0
"""Reports of other zones are used for this long; the mix of work swings within
this time."""


class Load(NamedTuple):
    """The load of an engine.

    Attributes:
        running_share: Share of its slots in use; above 1 if requests wait.
        queue_s: Time until it starts on a new prompt.
    """

    running_share: float
    queue_s: float


IDLE = Load(0.0, 0.0)


def mean(loads: Collection[Load]) -> Load:
    """Returns the mean of loads, or an idle load if there are none."""
    if not loads:
        return IDLE
    return Load(
        sum(load.running_share for load in loads) / len(loads),
        sum(load.queue_s for load in loads) / len(loads),
    )


def raised_to(load: Load, usual: Load) -> Load:
    """Returns a partly known load, raised to the usual load where lower."""
    return Load(
        max(load.running_share, usual.running_share),
        max(load.queue_s, usual.queue_s),
    )

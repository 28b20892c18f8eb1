"""Estimates how likely the home engine of a part is to hold it.

A part is a piece of a prompt that others may share (see ``part_caches``).
Its home engine is the one that all gateways prefer for it (see ``part_homes``).

In a large fleet a gateway gets notices only of the placements in its own
availability zone. Parts whose homes are in other zones are used as often, so
the hit rate of the homes nearby is an estimate for the others. It is 0 after a
start of the fleet, when every part is prefilled for the first time, and close
to 1 a few seconds later.

If homes were assumed to hold their parts from the start, prompts would be sent
to decode engines for what looks like a short rest. These engines would prefill
the whole part, at half the speed of a prefill engine: in 0.5 to 0.9 s instead
of 0.3 s.

Only placements at homes count. Prompts that an overload sends to another engine
miss even if the home holds the part. If they counted, the hit rate would be so
low that parts would be copied to more engines, and 2.1 million instead of 1.2
million tokens would be prefilled again in 34 s.
"""

EWMA_WEIGHT = 0.05
"""Weight of one prompt in the moving average, so that it depends mostly on the
last twenty prompts. A zone of 27 gateways places as many within a second or
two, and each gateway gets a notice of all of them."""


class HomeHitRate:
    """Moving average of the hit rate of home engines nearby."""

    def __init__(self) -> None:
        self._rate = 0.0

    @property
    def rate(self) -> float:
        """Share of prompts whose home held their part, 0 to 1."""
        return self._rate

    def note(self, *, is_held: bool) -> None:
        """Records whether a home nearby held the part of a prompt."""
        self._rate += EWMA_WEIGHT * (float(is_held) - self._rate)

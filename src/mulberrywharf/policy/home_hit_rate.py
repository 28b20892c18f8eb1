"""Estimates how likely the home engine of a part is to hold it.

In a large fleet a gateway is not told of every placement, only of those in its
own availability zone. Parts whose homes are in other zones are used as often,
so the hit rate of the homes nearby is an estimate for the others. It is 0 after
a start of the fleet, when every part is prefilled for the first time, and close
to 1 a few seconds later.

If homes were believed to hold their parts from the start, whole parts would be
prefilled at decode engines, at half the speed of a prefill engine: in 0.5 to
0.9 s instead of 0.3 s. Only placements at homes count. Prompts that an overload
sends elsewhere miss wherever parts are cached; with them the hit rate stayed so
low that parts were still copied, and 2.1 million tokens were prefilled again in
34 s instead of 1.2 million.
"""

EWMA_WEIGHT = 0.05
"""Weight of one prompt in the moving average, which mostly covers the last
twenty. A zone of 27 gateways places as many within a second or two, and each
gateway is told of all of them."""


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

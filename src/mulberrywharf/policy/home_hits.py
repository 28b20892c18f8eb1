"""Whether the home of a part is likely to hold it, where that isn't known.

The load it answers: a fleet too large for every gateway to hear of every
placement. A gateway knows what the engines of its own availability zone hold;
parts that live in other zones are used as often, so the share of prompts that
engines nearby held the part of tells of the others. It is 0 after a start of
the fleet, when every part is read for the first time, and most of 1 a few
seconds later. Believed held from the first moment on, parts are read whole at
decode engines, at half the speed of a prefill engine: 0.5 to 0.9 s instead of
0.3. Only placements at homes count: those that an overload sends elsewhere are
misses wherever parts live, and with them the share stayed so low that parts
were copied on, 2.1 million tokens read anew in 34 s instead of 1.2.
"""

WEIGHT = 0.05
"""Of one prompt in the share: the last twenty or so decide. A zone of 27
gateways places as many in a second or two, and each hears of all of them."""


class HomeHits:
    """The share of prompts whose home nearby held their part."""

    def __init__(self) -> None:
        self._share = 0.0

    @property
    def share(self) -> float:
        """Part of the homes that held what they were sent, 0 to 1."""
        return self._share

    def note(self, *, is_held: bool) -> None:
        """Takes in whether a home nearby held the part that it was sent."""
        self._share += WEIGHT * (float(is_held) - self._share)

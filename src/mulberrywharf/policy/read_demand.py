"""How much engine time the prompts of all gateways' callers want for reading.

Queues show too little work only once it is too late, and they show nothing of
what was refused or read at decode engines for want of room. So each gateway
counts what its own callers ask for, and tells the others.
"""

from collections.abc import Iterable

from mulberrywharf.policy import fading_rate

MEAN_CONSTANT_S = 5.0
"""The mean of a swing or two: the mix swings within 3 to 15 s, and an engine
that changes its role is away for some of them."""

HEARD_AGE_S = 4.0
"""What a gateway told longer ago is left out; one with callers tells something
a few times a second."""

LEAST_TIME_S = 2.5
"""Nothing is said before prompts have come for so long: the first second's
few prompts say little."""


class ReadDemand:
    """The demand for reading at the engines of one service."""

    def __init__(self) -> None:
        self._own = fading_rate.FadingRate(MEAN_CONSTANT_S)
        self._first_s: float | None = None
        self._heard: dict[int, tuple[float, float]] = {}

    def note(self, work_s: float, now_s: float) -> None:
        """Counts a prompt that takes a prefill engine ``work_s`` to read."""
        if self._first_s is None:
            self._first_s = now_s
        self._own.add(work_s, now_s)

    def own(self, now_s: float) -> float:
        """Returns the engines that this gateway's prompts would keep busy."""
        return self._own.per_s(now_s)

    def hear(self, sender: int, engines: float, now_s: float) -> None:
        """Takes in what another gateway told.

        Args:
            sender: Names the start of the other gateway.
            engines: Engines that its prompts would keep busy.
            now_s: The present.
        """
        self._heard[sender] = engines, now_s

    def total(self, gateways_count: int, now_s: float) -> float | None:
        """Returns the engines that the prompts of all gateways keep busy.

        Args:
            gateways_count: All gateways, this one included. Those that were
                not heard count like the mean of the others.
            now_s: The present.

        Returns:
            None while too little was seen.
        """
        if self._first_s is None or now_s - self._first_s < LEAST_TIME_S:
            return None
        fresh = list(self._fresh(now_s))
        known = self.own(now_s) + sum(fresh)
        return known * max(1.0, gateways_count / (1 + len(fresh)))

    def _fresh(self, now_s: float) -> Iterable[float]:
        self._heard = {
            sender: (engines, at_s)
            for sender, (engines, at_s) in self._heard.items()
            if now_s - at_s <= HEARD_AGE_S
        }
        return (engines for engines, _ in self._heard.values())

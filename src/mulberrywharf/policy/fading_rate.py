"""How much comes each second, counting the newest most."""

import math


class FadingRate:
    """The rate of what is added, fading exponentially.

    It is not biased towards zero at its beginning: what was seen is divided by
    the time for which it was looked at, faded alike.
    """

    def __init__(self, constant_s: float):
        """Makes an empty rate.

        Args:
            constant_s: What was added counts by 1/e after this time.
        """
        self._constant_s = constant_s
        self._amount = 0.0
        self._seen_s = 0.0
        self._at_s: float | None = None

    def add(self, amount: float, now_s: float) -> None:
        """Counts an amount in."""
        self._fade(now_s)
        self._amount += amount

    def per_s(self, now_s: float) -> float:
        """Returns the amount for each second, 0 before the first one."""
        self._fade(now_s)
        return self._amount / self._seen_s if self._seen_s > 0 else 0.0

    def _fade(self, now_s: float) -> None:
        if self._at_s is None:
            self._at_s = now_s
        passed_s = max(0.0, now_s - self._at_s)
        kept = math.exp(-passed_s / self._constant_s)
        self._amount *= kept
        self._seen_s = self._seen_s * kept + self._constant_s * (1.0 - kept)
        self._at_s = now_s

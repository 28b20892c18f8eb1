"""Measures a rate as an exponentially weighted moving average."""

import math


class DecayingRate:
    """A rate per second, as an exponentially weighted moving average.

    It isn't biased towards zero at the start, since the amount is divided by
    the observed time, which decays in the same way.
    """

    def __init__(self, time_constant_s: float):
        """Makes an empty rate.

        Args:
            time_constant_s: Amounts decay by 1/e in this time.
        """
        self._time_constant_s = time_constant_s
        self._amount = 0.0
        self._observed_s = 0.0
        self._updated_s: float | None = None

    def add(self, amount: float, now_s: float) -> None:
        """Adds an amount."""
        self._decay(now_s)
        self._amount += amount

    def per_s(self, now_s: float) -> float:
        """Returns the amount per second, 0 before anything was added."""
        self._decay(now_s)
        return self._amount / self._observed_s if self._observed_s > 0 else 0.0

    def _decay(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = max(0.0, now_s - self._updated_s)
        decay = math.exp(-elapsed_s / self._time_constant_s)
        self._amount *= decay
        self._observed_s = self._observed_s * decay + self._time_constant_s * (
            1.0 - decay
        )
        self._updated_s = now_s

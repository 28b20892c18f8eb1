"""A token bucket whose clock is passed in."""


class TokenBucket:
    """Fills at a rate up to a capacity; takings may leave it in debt.

    Attributes:
        level: What it holds now, negative when in debt.
    """

    __slots__ = ("_capacity", "_filled_s", "_rate_per_s", "level")

    def __init__(self, rate_per_s: float, capacity: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._filled_s = now_s
        self.level = capacity

    @property
    def rate_per_s(self) -> float:
        """What it gains each second."""
        return self._rate_per_s

    def set_rate(
        self, rate_per_s: float, capacity: float, now_s: float
    ) -> None:
        """Changes rate and capacity; what it holds is cut to the latter."""
        self.fill(now_s)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self.level = min(self.level, capacity)

    def fill(self, now_s: float) -> None:
        """Adds what was gained since the last call; time never goes back."""
        passed_s = now_s - self._filled_s
        if passed_s <= 0:
            return
        self._filled_s = now_s
        gained = passed_s * self._rate_per_s
        self.level = min(self._capacity, self.level + gained)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Returns how long until ``amount`` could be taken, 0 if now.

        An amount above the capacity may be taken once the bucket is full, or
        it could never pass; the debt then delays what follows.
        """
        self.fill(now_s)
        if self._capacity <= 0:
            return float("inf")
        missing = min(amount, self._capacity) - self.level
        if missing <= 0:
            return 0.0
        if self._rate_per_s <= 0:
            return float("inf")
        return missing / self._rate_per_s

    def take(self, amount: float) -> None:
        """Takes ``amount``, or gives it back if negative."""
        self.level = min(self._capacity, self.level - amount)

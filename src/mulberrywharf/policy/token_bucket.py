"""A token bucket that takes the current time as an argument."""


class TokenBucket:
    """A bucket that fills at a fixed rate, up to a capacity.

    Attributes:
        level: Tokens that it holds now; negative when it is in debt.
    """

    __slots__ = ("_capacity", "_filled_s", "_rate_per_s", "level")

    def __init__(self, rate_per_s: float, capacity: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._filled_s = now_s
        self.level = capacity

    @property
    def rate_per_s(self) -> float:
        """Tokens added per second."""
        return self._rate_per_s

    def set_rate(
        self, rate_per_s: float, capacity: float, now_s: float
    ) -> None:
        """Changes rate and capacity; tokens above the capacity are dropped."""
        self.refill(now_s)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self.level = min(self.level, capacity)

    def refill(self, now_s: float) -> None:
        """Adds the tokens since the last call; ignores times before it."""
        elapsed_s = now_s - self._filled_s
        if elapsed_s <= 0:
            return
        self._filled_s = now_s
        gained = elapsed_s * self._rate_per_s
        self.level = min(self._capacity, self.level + gained)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Returns the time until ``amount`` can be taken, or 0 if it can now.

        An amount above the capacity, which could otherwise never be taken, may
        be taken once the bucket is full. The debt then delays later requests.
        """
        self.refill(now_s)
        if self._capacity <= 0:
            return float("inf")
        missing = min(amount, self._capacity) - self.level
        if missing <= 0:
            return 0.0
        if self._rate_per_s <= 0:
            return float("inf")
        return missing / self._rate_per_s

    def take(self, amount: float) -> None:
        """Takes ``amount``, or returns it if negative."""
        self.level = min(self._capacity, self.level - amount)

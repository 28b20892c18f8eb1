"""Records how long answers take, to estimate how long the next one will.

The estimates are high ones: nine of ten recent answers took no longer.
"""

import collections
import math

KEPT_COUNT = 32
"""Recent answers that are kept for each key."""

KEYS_LIMIT_COUNT = 1_000
"""Keys of each kind that are kept; those that are oldest are dropped."""

HIGH_SHARE = 0.9
"""Share of the recent answers that took no longer than the estimate."""


class _RecentTimes:
    """The last durations of each key."""

    def __init__(self) -> None:
        self._kept: dict[str, collections.deque[float]] = {}

    def add(self, key: str, duration_s: float) -> None:
        kept = self._kept.get(key)
        if kept is None:
            if len(self._kept) >= KEYS_LIMIT_COUNT:
                del self._kept[next(iter(self._kept))]
            kept = self._kept[key] = collections.deque(maxlen=KEPT_COUNT)
        kept.append(duration_s)

    def high_s(self, key: str) -> float | None:
        kept = sorted(self._kept.get(key, ()))
        return kept[math.ceil(HIGH_SHARE * len(kept)) - 1] if kept else None


class AnswerTimes:
    """Durations of the recent answers of one process."""

    def __init__(self) -> None:
        self._calls = _RecentTimes()
        self._starts = _RecentTimes()
        self._runs = _RecentTimes()
        self._tokens = _RecentTimes()

    def note_call(self, route: str, duration_s: float) -> None:
        """Records a whole answer that is not a stream."""
        self._calls.add(route, duration_s)

    def note_stream(
        self,
        route: str,
        service: str,
        start_s: float,
        run_s: float,
        tokens: int,
    ) -> None:
        """Records a stream that ended as it should.

        Args:
            route: Name of its route.
            service: The service that generated it.
            start_s: Time from the request to the first event.
            run_s: Time from the first event to the end.
            tokens: Stated number of output tokens, 0 if not stated.
        """
        self._starts.add(route, start_s)
        self._runs.add(route, run_s)
        if tokens > 0:
            self._tokens.add(service, run_s / tokens)

    def call_s(self, route: str) -> float | None:
        """Returns the estimated duration of a call, None if unknown."""
        return self._calls.high_s(route)

    def start_s(self, route: str) -> float | None:
        """Returns the estimated time to a first event, None if unknown."""
        return self._starts.high_s(route)

    def run_s(self, route: str, service: str, tokens: int) -> float | None:
        """Returns the estimated time from the first event to the end.

        Args:
            route: Name of the route.
            service: The service that generates the stream.
            tokens: Stated number of output tokens, 0 if not stated.

        Returns:
            None if nothing is known of similar streams.
        """
        token_s = self._tokens.high_s(service) if tokens > 0 else None
        if token_s is not None:
            return token_s * tokens
        return self._runs.high_s(route) if tokens <= 0 else None

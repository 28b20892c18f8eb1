"""How many requests this node keeps at one engine, from measured delay.

The limit follows the gradient of the delay: while first tokens come about as
fast as on an idle engine the limit grows by its square root, and once they
come later it shrinks in proportion. A refusal by a full engine cuts it at
once. Nothing is known of the other nodes; each reacts to the same delay.
"""

import math
from typing import NamedTuple


class ConcurrencySettings(NamedTuple):
    """Bounds of one engine's limit.

    Attributes:
        first_limit_count: Limit before anything was measured.
        least_limit_count: Never below, so that recovery is noticed.
        most_limit_count: Never above.
        delay_tolerance: Times the idle delay that is still fine.
        pace_aim_share: Part of the target between tokens that is aimed at;
            the mean of many answers must lie below what 95 in 100 keep.
        smoothing: Part of the way that one sample moves the limit.
        cut_factor: What a refusal leaves of the limit.
        cut_interval_s: Refusals within this of a cut are one event.
        delay_floor_s: Added to both delays, so that the jitter of tiny
            prompts does not look like overload.
    """

    first_limit_count: float = 4.0
    least_limit_count: float = 2.0
    most_limit_count: float = 256.0
    delay_tolerance: float = 3.0
    pace_aim_share: float = 0.85
    smoothing: float = 0.2
    cut_factor: float = 0.7
    cut_interval_s: float = 1.0
    delay_floor_s: float = 0.02


class ConcurrencyLimit:
    """The adaptive limit of requests at one engine."""

    __slots__ = ("_cut_s", "_limit", "_pace_gradient", "_settings")

    def __init__(self, settings: ConcurrencySettings):
        self._settings = settings
        self._limit = settings.first_limit_count
        self._cut_s = float("-inf")
        self._pace_gradient = 1.0

    @classmethod
    def from_config(
        cls, settings: ConcurrencySettings | None = None
    ) -> "ConcurrencyLimit":
        """Starts at the first limit, with default bounds when none given."""
        return cls(settings or ConcurrencySettings())

    @property
    def limit_count(self) -> int:
        """Requests that may be at the engine now."""
        return int(self._limit)

    def has_slot(self, in_flight_count: int) -> bool:
        """Returns whether one more request may be sent."""
        return in_flight_count < self.limit_count

    def on_first_token(
        self, delay_s: float, idle_delay_s: float, in_flight_count: int
    ) -> None:
        """Learns from one request's first token.

        Args:
            delay_s: From sending the request to its first token.
            idle_delay_s: What an idle engine would have taken for this
                prompt; long prompts take long without any overload.
            in_flight_count: Requests that were at the engine when it came.
        """
        settings = self._settings
        allowed_s = idle_delay_s * settings.delay_tolerance
        gradient = (allowed_s + settings.delay_floor_s) / (
            max(delay_s, 0.0) + settings.delay_floor_s
        )
        gradient = min(1.0, max(0.5, gradient))
        wanted = self._limit * gradient
        # First tokens of short prompts come early even from a batch that is
        # too large already; without this they would undo every cut.
        if self._pace_gradient >= 1.0:
            wanted += math.sqrt(self._limit)
        # An idle limit must not grow: it would allow a burst that was never
        # tried.
        if wanted > self._limit and in_flight_count < self._limit / 2:
            return
        self._move_to(self._limit + settings.smoothing * (wanted - self._limit))

    def on_answer(
        self, between_tokens_s: float, target_s: float, in_flight_count: int
    ) -> None:
        """Learns from one whole answer's pace.

        A batch that grows slows every answer in it long before first tokens
        come late, so their delay alone would let the pace go.

        Args:
            between_tokens_s: Mean time between its tokens.
            target_s: What it should have been.
            in_flight_count: Requests that were at the engine when it ended.
        """
        settings = self._settings
        aim_s = target_s * settings.pace_aim_share
        gradient = min(2.0, aim_s / max(between_tokens_s, 1e-6))
        self._pace_gradient += settings.smoothing * (
            gradient - self._pace_gradient
        )
        if gradient >= 1.0:
            return
        wanted = self._limit * max(0.5, gradient)
        # A limit far above what is in use would take long to bite.
        wanted = min(wanted, max(1.0, in_flight_count) * gradient + 1.0)
        self._move_to(self._limit + settings.smoothing * (wanted - self._limit))

    def on_refused(self, now_s: float) -> None:
        """Learns that the engine was full or failed."""
        if now_s - self._cut_s < self._settings.cut_interval_s:
            return
        self._cut_s = now_s
        self._move_to(self._limit * self._settings.cut_factor)

    def _move_to(self, limit: float) -> None:
        least = self._settings.least_limit_count
        most = self._settings.most_limit_count
        self._limit = min(most, max(least, limit))

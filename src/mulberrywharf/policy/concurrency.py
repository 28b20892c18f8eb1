"""Adaptive limit on one router's concurrent requests at one engine.

The limit follows the gradient of the measured delay. Each first token proposes
a new limit, and the limit moves a fraction (``ewma_weight``) of the way to it.
If the token arrived within ``delay_tolerance`` times the delay of an idle
engine, the present limit is kept in the proposal; if it arrived later, the
limit is reduced in proportion. Its square root is then added, unless the engine
generates tokens too slowly.

A refusal by a full engine reduces the limit immediately. Routers do not
coordinate their limits: they all react to the same delay.
"""

import math
from typing import NamedTuple


class ConcurrencySettings(NamedTuple):
    """Parameters of one engine's limit.

    Attributes:
        initial_limit_count: Limit before the first measurement.
        min_limit_count: Lower bound of the limit. Some requests must still be
            sent, so that the recovery of an engine is noticed.
        max_limit_count: Upper bound of the limit.
        delay_tolerance: Delay that does not yet count as overload, as a
            multiple of the idle delay.
        pace_target_share: Fraction of the target time between tokens that the
            limit is controlled to. Below 1, because the target must be met by
            95% of the answers, while the control acts on their mean.
        ewma_weight: Weight of one sample: the fraction of the distance to the
            proposed limit by which it moves the limit.
        cut_factor: Factor that a refusal multiplies the limit by.
        cut_interval_s: Time after a reduction in which further refusals are
            ignored, since they belong to the same event.
        delay_offset_s: Added to the allowed and to the measured delay before
            the one is divided by the other, so that the jitter of very short
            prompts does not count as overload.
    """

    initial_limit_count: float = 4.0
    min_limit_count: float = 2.0
    max_limit_count: float = 256.0
    delay_tolerance: float = 3.0
    pace_target_share: float = 0.85
    ewma_weight: float = 0.2
    cut_factor: float = 0.7
    cut_interval_s: float = 1.0
    delay_offset_s: float = 0.02


class ConcurrencyLimit:
    """The adaptive limit on concurrent requests at one engine."""

    __slots__ = ("_cut_s", "_limit", "_pace_gradient", "_settings")

    def __init__(self, settings: ConcurrencySettings):
        self._settings = settings
        self._limit = settings.initial_limit_count
        self._cut_s = float("-inf")
        self._pace_gradient = 1.0

    @classmethod
    def from_config(
        cls, settings: ConcurrencySettings | None = None
    ) -> "ConcurrencyLimit":
        """Starts at the initial limit; uses default settings when None."""
        return cls(settings or ConcurrencySettings())

    @property
    def limit_count(self) -> int:
        """Maximum requests in flight at the engine now."""
        return int(self._limit)

    def has_slot(self, in_flight_count: int) -> bool:
        """Returns whether one more request may be sent."""
        return in_flight_count < self.limit_count

    def on_first_token(
        self, delay_s: float, idle_delay_s: float, in_flight_count: int
    ) -> None:
        """Updates the limit from the delay of one request's first token.

        Args:
            delay_s: Time from sending the request to its first token.
            idle_delay_s: Time that an idle engine would have needed for this
                prompt; long prompts take long even without overload.
            in_flight_count: Requests in flight at the engine when the token
                arrived.
        """
        settings = self._settings
        allowed_s = idle_delay_s * settings.delay_tolerance
        gradient = (allowed_s + settings.delay_offset_s) / (
            max(delay_s, 0.0) + settings.delay_offset_s
        )
        gradient = min(1.0, max(0.5, gradient))
        proposed_limit = self._limit * gradient
        # First tokens of short prompts arrive early even when the batch is
        # already too large. Without this check they would undo each reduction
        # that is due to slow token generation.
        if self._pace_gradient >= 1.0:
            proposed_limit += math.sqrt(self._limit)
        # A limit that is not used must not grow: it would allow a burst of a
        # size that the engine has not handled yet.
        if proposed_limit > self._limit and in_flight_count < self._limit / 2:
            return
        self._set_limit(
            self._limit + settings.ewma_weight * (proposed_limit - self._limit)
        )

    def on_answer(
        self, between_tokens_s: float, target_s: float, in_flight_count: int
    ) -> None:
        """Updates the limit from the token rate of one complete answer.

        A growing batch slows down all its answers long before first tokens
        arrive late, so the delay of first tokens alone does not keep the token
        rate up.

        Args:
            between_tokens_s: Mean time between the answer's tokens.
            target_s: Target for that time.
            in_flight_count: Requests in flight at the engine when the answer
                ended.
        """
        settings = self._settings
        reduced_target_s = target_s * settings.pace_target_share
        gradient = min(2.0, reduced_target_s / max(between_tokens_s, 1e-6))
        self._pace_gradient += settings.ewma_weight * (
            gradient - self._pace_gradient
        )
        if gradient >= 1.0:
            return
        proposed_limit = self._limit * max(0.5, gradient)
        # Limits the proposal by the requests in flight: reducing a limit far
        # above them would take long to have an effect.
        proposed_limit = min(
            proposed_limit, max(1.0, in_flight_count) * gradient + 1.0
        )
        self._set_limit(
            self._limit + settings.ewma_weight * (proposed_limit - self._limit)
        )

    def on_refused(self, now_s: float) -> None:
        """Reduces the limit because the engine was full or failed."""
        if now_s - self._cut_s < self._settings.cut_interval_s:
            return
        self._cut_s = now_s
        self._set_limit(self._limit * self._settings.cut_factor)

    def _set_limit(self, limit: float) -> None:
        lower = self._settings.min_limit_count
        upper = self._settings.max_limit_count
        self._limit = min(upper, max(lower, limit))

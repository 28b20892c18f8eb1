"""Detects engines that are slower than they report, from their answers.

An engine that is slowed down by something it can't see (a throttled
accelerator, a noisy neighbour) reports its usual speeds and a normal queue. So
each router keeps the mean time between tokens of its own answers at each engine
and compares it with the median of all engines. The comparison decays, so that
an engine that has recovered is tried again.
"""

import math
import statistics
from collections.abc import Mapping
from typing import NamedTuple


class PaceSettings(NamedTuple):
    """Settings of the comparison.

    Attributes:
        ewma_weight: Weight of one answer in an engine's moving average.
        decay_time_constant_s: A comparison decays by 1/e in this time.
        min_engines_count: Engines needed before any are compared.
        min_factor: Engines below this factor count as normal, since batches
            differ.
        max_factor: Upper bound of the factor.
    """

    ewma_weight: float = 0.3
    decay_time_constant_s: float = 10.0
    min_engines_count: int = 3
    min_factor: float = 1.6
    max_factor: float = 20.0


class _Pace(NamedTuple):
    between_tokens_s: float
    measured_s: float


class PaceMeter:
    """Time between tokens at each engine, from one router's own answers."""

    def __init__(self, settings: PaceSettings):
        self._settings = settings
        self._paces: dict[str, _Pace] = {}

    @classmethod
    def from_config(cls, settings: PaceSettings | None = None) -> "PaceMeter":
        """Makes an empty meter, with default settings if none are given."""
        return cls(settings or PaceSettings())

    def on_pace(
        self, engine_id: str, between_tokens_s: float, now_s: float
    ) -> None:
        """Records the mean time between tokens of a part of an answer."""
        before = self._paces.get(engine_id)
        smoothed_s = between_tokens_s
        if before is not None:
            weight = self._settings.ewma_weight
            smoothed_s = before.between_tokens_s
            smoothed_s += weight * (between_tokens_s - smoothed_s)
        self._paces[engine_id] = _Pace(smoothed_s, now_s)

    def forget(self, engine_id: str) -> None:
        """Drops the measurements of an engine that left or changed."""
        self._paces.pop(engine_id, None)

    def slow_factors(self, now_s: float) -> Mapping[str, float]:
        """Returns how many times slower than the median each engine is.

        Engines of about normal speed are left out.
        """
        settings = self._settings
        if len(self._paces) < settings.min_engines_count:
            return {}
        median_s = statistics.median(
            pace.between_tokens_s for pace in self._paces.values()
        )
        if median_s <= 0:
            return {}
        factors = {}
        for engine_id, pace in self._paces.items():
            factor = pace.between_tokens_s / median_s
            if factor < settings.min_factor:
                continue
            age_s = max(0.0, now_s - pace.measured_s)
            decay = math.exp(-age_s / settings.decay_time_constant_s)
            decayed_factor = (
                1.0 + (min(factor, settings.max_factor) - 1.0) * decay
            )
            factors[engine_id] = decayed_factor
        return factors

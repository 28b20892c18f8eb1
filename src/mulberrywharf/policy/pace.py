"""Which engines are slower than they say, from the pace of own answers.

An engine that is slow for a reason it does not know (a throttled accelerator,
a noisy neighbour) reports its usual speeds and a normal queue. Its answers
tell: each router keeps the mean time between tokens of its own answers at
each engine and compares it with the median engine. The comparison fades, so
that an engine that has recovered is tried again.
"""

import math
import statistics
from collections.abc import Mapping
from typing import NamedTuple


class PaceSettings(NamedTuple):
    """Bounds of the comparison.

    Attributes:
        smoothing: Part of the way that one answer moves an engine's mean.
        fade_constant_s: Time after which a comparison counts by 1/e.
        least_engines_count: Engines needed before any is compared.
        least_factor: Below this an engine counts as normal; batches differ.
        most_factor: Bound of the factor.
    """

    smoothing: float = 0.3
    fade_constant_s: float = 10.0
    least_engines_count: int = 3
    least_factor: float = 1.6
    most_factor: float = 20.0


class _Pace(NamedTuple):
    between_tokens_s: float
    measured_s: float


class PaceMeter:
    """The pace of the engines as one router's own answers show it."""

    def __init__(self, settings: PaceSettings):
        self._settings = settings
        self._paces: dict[str, _Pace] = {}

    @classmethod
    def from_config(cls, settings: PaceSettings | None = None) -> "PaceMeter":
        """Makes an empty meter, with the default bounds when none given."""
        return cls(settings or PaceSettings())

    def on_pace(
        self, engine_id: str, between_tokens_s: float, now_s: float
    ) -> None:
        """Learns the mean time between tokens of a part of an answer."""
        before = self._paces.get(engine_id)
        smoothed_s = between_tokens_s
        if before is not None:
            part = self._settings.smoothing
            smoothed_s = before.between_tokens_s
            smoothed_s += part * (between_tokens_s - smoothed_s)
        self._paces[engine_id] = _Pace(smoothed_s, now_s)

    def forget(self, engine_id: str) -> None:
        """Drops what is known of an engine that went or changed."""
        self._paces.pop(engine_id, None)

    def slow_factors(self, now_s: float) -> Mapping[str, float]:
        """Returns how many times slower than the median each engine is.

        Engines that are about normal are left out.
        """
        settings = self._settings
        if len(self._paces) < settings.least_engines_count:
            return {}
        median_s = statistics.median(
            pace.between_tokens_s for pace in self._paces.values()
        )
        if median_s <= 0:
            return {}
        factors = {}
        for engine_id, pace in self._paces.items():
            factor = pace.between_tokens_s / median_s
            if factor < settings.least_factor:
                continue
            age_s = max(0.0, now_s - pace.measured_s)
            left = math.exp(-age_s / settings.fade_constant_s)
            faded = 1.0 + (min(factor, settings.most_factor) - 1.0) * left
            factors[engine_id] = faded
        return factors

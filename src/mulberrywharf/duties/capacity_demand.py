"""Combines what is known of a service's load to its demand for engines."""

import math
from collections.abc import Callable
from typing import NamedTuple

from mulberrywharf.policy import capacity_plan

MIN_OBSERVATION_S = 3.0
"""No demand is reported until the service has been in use for this long. The
load of the first seconds says little, and the demand for prefill is known only
after 2.5 s."""

MIN_ENGINES = 0.05
"""Below this many busy engines there is no traffic: one short prompt now and
then, or an average that decays after the last one."""


SMOOTHING_S = 3.0
"""Time constant of the moving average of the estimates, the length of a short
burst. Estimates of one moment vary by a factor of three on a steady mix, and an
engine that is ordered for one second of it serves only 4 s later."""


class _Average(NamedTuple):
    """Moving average of the busy engines of a service."""

    since_s: float
    updated_s: float
    prefill_engines: float
    decode_engines: float

    def updated(
        self, prefill_engines: float, decode_engines: float, now_s: float
    ) -> "_Average":
        kept = math.exp(-(now_s - self.updated_s) / SMOOTHING_S)
        return self._replace(
            updated_s=now_s,
            prefill_engines=prefill_engines
            + kept * (self.prefill_engines - prefill_engines),
            decode_engines=decode_engines
            + kept * (self.decode_engines - decode_engines),
        )


class ServiceDemand:
    """Tells the demand of each service while it has traffic."""

    def __init__(
        self,
        wanted_prefill: Callable[[str], float | None],
        busy_decode_engines: Callable[[str], float | None],
    ):
        """Creates it.

        Args:
            wanted_prefill: Returns how many engines long prompts keep busy in
                prefill, None if unknown.
            busy_decode_engines: Returns how many engines generation keeps in
                use, None if unknown.
        """
        self._wanted_prefill = wanted_prefill
        self._busy_decode_engines = busy_decode_engines
        self._averages: dict[str, _Average] = {}

    def demand(
        self, service: str, now_s: float
    ) -> capacity_plan.CapacityDemand | None:
        """Returns the demand of a service.

        A service without long prompts has no demand for prefill.

        Returns:
            The demand; None without traffic, while the load of engines is
            unknown, and for the first seconds.
        """
        prefill_engines = self._wanted_prefill(service) or 0.0
        decode_engines = self._busy_decode_engines(service)
        if (
            decode_engines is None
            or prefill_engines + decode_engines < MIN_ENGINES
        ):
            self._averages.pop(service, None)
            return None
        known = self._averages.get(service) or _Average(
            now_s, now_s, prefill_engines, decode_engines
        )
        average = known.updated(prefill_engines, decode_engines, now_s)
        self._averages[service] = average
        if now_s - average.since_s < MIN_OBSERVATION_S:
            return None
        return capacity_plan.CapacityDemand(
            average.prefill_engines, average.decode_engines
        )

"""Combines what is known of a service's load to its demand for engines."""

from collections.abc import Callable

from mulberrywharf.policy import capacity_plan

MIN_OBSERVATION_S = 3.0
"""No demand is reported until the service has been in use for this long. The
load of the first seconds says little, and the demand for prefill is known only
after 2.5 s."""

MIN_ENGINES = 0.05
"""Below this many busy engines there is no traffic: one short prompt now and
then, or an average that decays after the last one."""


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
        self._in_use_since_s: dict[str, float] = {}

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
            self._in_use_since_s.pop(service, None)
            return None
        since_s = self._in_use_since_s.setdefault(service, now_s)
        if now_s - since_s < MIN_OBSERVATION_S:
            return None
        return capacity_plan.CapacityDemand(prefill_engines, decode_engines)

"""Measures the prefill work that callers of all gateways ask for."""

import collections
from collections.abc import Callable

from mulberrywharf import clock
from mulberrywharf.forwarding import request
from mulberrywharf.peers import codec
from mulberrywharf.policy import engine_speeds, read_demand
from mulberrywharf.routes import table


class PromptDemand:
    """The demand for prefill, by service."""

    def __init__(
        self,
        system_clock: clock.Clock,
        speeds: Callable[[str], engine_speeds.Speeds],
        gateways_count: Callable[[], int],
    ):
        """Initializes the demand with no prompts.

        Args:
            system_clock: Source of monotonic time.
            speeds: Returns the learned speeds of a service's engines.
            gateways_count: Returns the number of gateways, this one included.
        """
        self._clock = system_clock
        self._speeds = speeds
        self._gateways_count = gateways_count
        self._demands: dict[str, read_demand.ReadDemand] = (
            collections.defaultdict(read_demand.ReadDemand)
        )

    def note(
        self, wanted: request.RoutedRequest, service: table.Service
    ) -> None:
        """Counts a caller's prompt, whether it is served or refused.

        Shared parts are left out. They are prefilled once, mostly just after
        the start of the fleet, and engine roles changed for that would not fit
        the load afterwards. Short prompts are left out too: if their prefill
        takes less than the fixed overhead of an answer, the decode engine does
        it and they need no prefill engine.

        Args:
            wanted: The request.
            service: The service that it asks for.
        """
        prompt = wanted.prompt
        if service.engine is None or prompt is None:
            return
        shared_tokens = sum(part.tokens for part in prompt.parts[:-1])
        speed = self._speeds(service.name).prefill
        reading = speed.reading(prompt.tokens, shared_tokens)
        if reading.work_s >= reading.begin_s:
            now_s = self._clock.monotonic_s()
            self._demands[service.name].note(reading.work_s, now_s)

    def told(self) -> tuple[codec.Demand, ...]:
        """Returns this gateway's own demand, for notices to peers."""
        now_s = self._clock.monotonic_s()
        return tuple(
            codec.Demand(codec.key_of(service), demand.own(now_s))
            for service, demand in self._demands.items()
        )

    def wanted_prefill(self, service: str) -> float | None:
        """Returns how many prefill engines all gateways' prompts keep busy.

        Returns:
            The mean number of busy engines; None until there is enough data.
        """
        return self._demands[service].total(
            self._gateways_count(), self._clock.monotonic_s()
        )

    def on_notice(self, notice: codec.Notice) -> None:
        """Applies the demand in another gateway's notice."""
        now_s = self._clock.monotonic_s()
        for told in notice.demands:
            for service, demand in self._demands.items():
                if codec.key_of(service) == told.service_key:
                    demand.hear(notice.sender, told.engines, now_s)

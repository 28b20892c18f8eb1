"""How much reading callers ask of the engines, at all gateways together."""

import collections
from collections.abc import Callable

from mulberrywharf import clock
from mulberrywharf.forwarding import request
from mulberrywharf.peers import codec
from mulberrywharf.policy import engine_speeds, read_demand
from mulberrywharf.routes import table


class PromptDemand:
    """The demand for reading, by service."""

    def __init__(
        self,
        system_clock: clock.Clock,
        speeds: Callable[[str], engine_speeds.Speeds],
        gateways_count: Callable[[], int],
    ):
        """Makes an empty demand.

        Args:
            system_clock: Measures rates.
            speeds: Returns how fast the engines of a service are.
            gateways_count: Returns how many gateways there are.
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
        """Counts a prompt that callers ask for, whatever becomes of it.

        Shared parts are left out: they are read once, most of them just after
        a start, and roles that were changed for that fit nothing afterwards.
        Short prompts, whose reading takes less than the fixed beginning of an
        answer, are read where they are answered and want no prefill engine.

        Args:
            wanted: The request.
            service: Whose engines it asks for.
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
        """Returns what this node's callers ask of each service's engines."""
        now_s = self._clock.monotonic_s()
        return tuple(
            codec.Demand(codec.key_of(service), demand.own(now_s))
            for service, demand in self._demands.items()
        )

    def wanted_prefill(self, service: str) -> float | None:
        """Returns the prefill engines that all callers' prompts keep busy.

        None while too little is known of them.
        """
        return self._demands[service].total(
            self._gateways_count(), self._clock.monotonic_s()
        )

    def on_notice(self, notice: codec.Notice) -> None:
        """Takes in what another gateway's callers ask for."""
        now_s = self._clock.monotonic_s()
        for told in notice.demands:
            for service, demand in self._demands.items():
                if codec.key_of(service) == told.service_key:
                    demand.hear(notice.sender, told.engines, now_s)

"""Measures the prefill work that callers of all gateways ask for."""

import collections
from collections.abc import Callable

from mulberrywharf import clock
from mulberrywharf.forwarding import request
from mulberrywharf.peers import notice_codec
from mulberrywharf.policy import engine_speeds, prefill_demand
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
        self._demands: dict[str, prefill_demand.PrefillDemand] = (
            collections.defaultdict(prefill_demand.PrefillDemand)
        )

    def note(
        self, routed_request: request.RoutedRequest, service: table.Service
    ) -> None:
        """Counts a caller's prompt, whether it is served or refused.

        Shared parts are left out. They are prefilled once, mostly just after
        the start of the fleet, and engine roles changed for that would not fit
        the load afterwards. Short prompts are left out too: if their prefill
        takes less than the fixed overhead of an answer, the decode engine does
        it and they need no prefill engine.

        Args:
            routed_request: The request.
            service: The service that it asks for.
        """
        prompt = routed_request.prompt
        if service.engine is None or prompt is None:
            return
        shared_tokens = sum(part.tokens for part in prompt.parts[:-1])
        speed = self._speeds(service.name).prefill
        prefill_time = speed.prefill_time(prompt.tokens, shared_tokens)
        if prefill_time.work_s >= prefill_time.overhead_s:
            now_s = self._clock.monotonic_s()
            self._demands[service.name].note(prefill_time.work_s, now_s)

    def own_demands(self) -> tuple[notice_codec.Demand, ...]:
        """Returns this gateway's own demand, for notices to peers."""
        now_s = self._clock.monotonic_s()
        return tuple(
            notice_codec.Demand(
                notice_codec.hash_name(service), demand.own_engines(now_s)
            )
            for service, demand in self._demands.items()
        )

    def wanted_prefill(self, service: str) -> float | None:
        """Returns how many prefill engines all gateways' prompts keep busy.

        Returns:
            The mean number of busy engines; None until there is enough data.
        """
        return self._demands[service].total_engines(
            self._gateways_count(), self._clock.monotonic_s()
        )

    def on_notice(self, notice: notice_codec.Notice) -> None:
        """Applies the demand in another gateway's notice."""
        now_s = self._clock.monotonic_s()
        for report in notice.demands:
            for service, demand in self._demands.items():
                if notice_codec.hash_name(service) == report.service_key:
                    demand.record_report(notice.sender, report.engines, now_s)

    def mean_prefill(self, service: str) -> float | None:
        """Returns how many engines prefill keeps busy, without extrapolation.

        Unlike ``wanted_prefill``, prompts of the last moments don't stand for
        gateways that had none.

        Returns:
            The mean number of busy engines; None until there is enough data.
        """
        if self.wanted_prefill(service) is None:
            return None
        return self._demands[service].mean_engines(
            self._gateways_count(), self._clock.monotonic_s()
        )

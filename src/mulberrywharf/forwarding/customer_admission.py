"""Applies the customers' shares of the engines to requests at this gateway.

Requests without a customer, and services without engines, are left alone:
nothing is counted for them.
"""

from collections.abc import Callable

from loguru import logger

from mulberrywharf import clock, errors, metrics
from mulberrywharf.forwarding import request
from mulberrywharf.policy import (
    customer_meter,
    customer_shares,
    engine_speeds,
    prompt_admission,
)
from mulberrywharf.routes import table

OUTPUT_TOKEN_S = 0.004
"""Time that an engine takes for one token of each request in its batch. Engines
in use today need 3 to 5 ms."""

CLAIMS: dict[customer_shares.Standing, prompt_admission.Claim] = {
    "unknown": "usual",
    "below": "assured",
    "above": "yielding",
}
"""Claim of a request by where its customer is relative to the fair level."""

MIN_WORK_S = 0.002
"""Least work of a request; one without a prompt counts as much."""

_refusals_total = metrics.counter(
    "mulberry_customer_refusals_total",
    "Refused requests of customers, by reason: above its part, or late.",
)


class CustomerAdmission:
    """Counts the work of customers and decides by their shares."""

    def __init__(
        self,
        meter: customer_meter.CustomerMeter,
        shares: customer_shares.CustomerShares,
        speeds: Callable[[str], engine_speeds.Speeds],
        system_clock: clock.Clock,
    ):
        """Initializes it.

        Args:
            meter: Counts the work of customers.
            shares: Decides by the shares that this gateway knows.
            speeds: Returns the learned speeds of a service's engines.
            system_clock: Source of monotonic time.
        """
        self._meter = meter
        self._shares = shares
        self._speeds = speeds
        self._clock = system_clock

    def begin(
        self, routed_request: request.RoutedRequest, service: table.Service
    ) -> "CustomerRequest | None":
        """Counts a caller's request; None if no customer made it."""
        if not routed_request.customer or service.engine is None:
            return None
        work_s = self._work_s(routed_request, service, service.engine)
        self._meter.note_demand(
            service.name,
            routed_request.customer,
            work_s,
            self._clock.monotonic_s(),
        )
        return CustomerRequest(
            self._meter,
            self._shares,
            self._clock,
            routed_request,
            service.name,
            work_s,
        )

    def note_started(
        self,
        routed_request: request.RoutedRequest,
        route: table.Route,
        service: table.Service,
    ) -> None:
        """Counts a request whose answer began or timed out, if it was late."""
        if (
            not routed_request.customer
            or service.engine is None
            or route.target_s is None
        ):
            return
        now_s = self._clock.monotonic_s()
        if now_s - routed_request.arrived_s > route.target_s:
            work_s = self._work_s(routed_request, service, service.engine)
            self._meter.note_unserved(service.name, work_s, now_s)

    def _work_s(
        self,
        routed_request: request.RoutedRequest,
        service: table.Service,
        engine: table.EngineTraits,
    ) -> float:
        """Returns the engine-seconds of a request, with shared parts cached."""
        prompt = routed_request.prompt
        if prompt is None:
            return MIN_WORK_S
        shared_tokens = sum(part.tokens for part in prompt.parts[:-1])
        prefill_s = (
            self._speeds(service.name)
            .prefill.prefill_time(
                prompt.tokens, min(shared_tokens, prompt.tokens)
            )
            .work_s
        )
        output_s = (
            prompt.output_limit_tokens
            * OUTPUT_TOKEN_S
            / max(1, engine.slots_count)
        )
        return max(MIN_WORK_S, prefill_s + output_s)


class CustomerRequest:
    """One request of a customer."""

    def __init__(
        self,
        meter: customer_meter.CustomerMeter,
        shares: customer_shares.CustomerShares,
        system_clock: clock.Clock,
        routed_request: request.RoutedRequest,
        service: str,
        work_s: float,
    ):
        self._meter = meter
        self._shares = shares
        self._clock = system_clock
        self._request = routed_request
        self._service = service
        self._work_s = work_s
        self._decision: customer_shares.Decision | None = None

    def claim(
        self, estimate: prompt_admission.AdmissionEstimate
    ) -> prompt_admission.Claim:
        """Decides by the customer's share, once for all plans of the request.

        Args:
            estimate: Estimated delays of the cheapest plan.

        Returns:
            The claim of the request to the engines.

        Raises:
            OverloadedError: It is refused because its customer is above its
                part.
        """
        if self._decision is None:
            self._decision = self._shares.decide(
                self._service,
                self._request.customer,
                self._request.fingerprint,
                estimate.left_s,
                self._clock.monotonic_s(),
                has_room=estimate.target_s is not None
                and estimate.queue_s
                <= customer_shares.ROOM_TARGET_SHARE * estimate.target_s,
            )
        retry_after_s = self._decision.retry_after_s
        if retry_after_s is not None:
            _refusals_total.inc({"reason": "share"})
            logger.bind(
                request_id=self._request.request_id,
                customer=self._request.customer,
                service=self._service,
                share=round(self._decision.share, 3),
                retry_after_s=round(retry_after_s, 3),
            ).info("refused: the customer is above its part of the engines")
            raise errors.OverloadedError(
                "the customer is above its part of the engines",
                retry_after_s=retry_after_s,
            )
        return CLAIMS[self._decision.standing]

    def note_admitted(self) -> None:
        """Counts the request as sent to an engine."""
        self._meter.note_admitted(
            self._service, self._work_s, self._clock.monotonic_s()
        )

    def note_late(self) -> None:
        """Counts the request as refused because it would be late."""
        _refusals_total.inc({"reason": "late"})
        self._meter.note_unserved(
            self._service, self._work_s, self._clock.monotonic_s()
        )

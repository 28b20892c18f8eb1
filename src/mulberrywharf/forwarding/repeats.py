"""Charges repeats to the budget; logs and counts each decision.

A repeat is charged at the moment at which its request is written, so that no
wait for a server lies between its charge and its arrival.
"""

from typing import Literal

from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, metrics
from mulberrywharf.forwarding import request
from mulberrywharf.policy import repeat_budget

Part = Literal["prefill", "run"]
"""What an attempt asks of a server."""

_repeats_total = metrics.counter(
    "mulberry_repeats_total",
    "Repeats of requests by service, result (charged, refunded, refused) and"
    " part (prefill, run).",
)
_uncharged_total = metrics.counter(
    "mulberry_uncharged_attempts_total",
    "Further attempts of requests without a charge, by service and reason.",
)


class Repeats:
    """The budget of one gateway's repeats."""

    def __init__(
        self,
        budget: repeat_budget.RepeatBudget,
        system_clock: clock.Clock,
    ):
        """Creates it.

        Args:
            budget: Decides whether a repeat may be sent.
            system_clock: Times requests and repeats; must go on while the
                machine is suspended.
        """
        self._budget = budget
        self._clock = system_clock

    def note_request(self, service: str) -> None:
        """Counts a caller's request for a service."""
        self._budget.note_request(service, self._clock.monotonic_s())

    def of(
        self, routed_request: request.RoutedRequest, service: str
    ) -> "RequestRepeats":
        """Returns what one request may send."""
        return RequestRepeats(self, routed_request, service)

    def may_charge(self, service: str, count: int = 1) -> bool:
        """Returns whether some repeats could be charged now."""
        now_s = self._clock.monotonic_s()
        return self._budget.foresee(service, now_s).left_count >= count

    def charge(
        self, service: str, request_id: str, part: Part
    ) -> repeat_budget.Charge | None:
        """Charges a repeat; returns None if none is left."""
        decision = self._budget.decide(service, self._clock.monotonic_s())
        result = "refused" if decision.charge is None else "charged"
        self._note_decision(service, request_id, part, result, decision)
        return decision.charge

    def note_refused(self, service: str, request_id: str, part: Part) -> None:
        """Records that an attempt is not made, as no repeat is left for it."""
        decision = self._budget.foresee(service, self._clock.monotonic_s())
        self._note_decision(service, request_id, part, "refused", decision)

    def _note_decision(
        self,
        service: str,
        request_id: str,
        part: Part,
        result: str,
        decision: repeat_budget.Decision,
    ) -> None:
        _repeats_total.inc({"service": service, "result": result, "part": part})
        logger.bind(
            request_id=request_id,
            service=service,
            part=part,
            share=decision.charge.share if decision.charge else None,
            period_offset_s=round(decision.period_offset_s, 2),
            requests_count=round(decision.requests_count, 2),
            repeats_count=decision.repeats_count,
            shares=decision.shares,
            left_count=decision.left_count,
        ).info("repeat {}", result)

    def refund(self, charge: repeat_budget.Charge, part: Part) -> None:
        """Takes a charge back, as what was sent was no repeat."""
        self._budget.refund(charge)
        _repeats_total.inc(
            {"service": charge.service, "result": "refunded", "part": part}
        )

    def note_arrived(
        self, charge: repeat_budget.Charge
    ) -> repeat_budget.Charge:
        """Records that a repeat has arrived, as its answer began."""
        return self._budget.note_arrived(charge, self._clock.monotonic_s())


class RequestRepeats:
    """Charges what one request sends beyond its first arrivals.

    The first prefill that a server accepts is free, and so is one arrival
    besides. An attempt whose fate is unknown counts as an arrival.
    """

    def __init__(
        self,
        repeats: Repeats,
        routed_request: request.RoutedRequest,
        service: str,
    ):
        self._repeats = repeats
        self._request_id = routed_request.request_id
        self._service = service
        handed = routed_request.handover
        self._is_handed_over = handed is not None
        self._has_arrived = handed is not None and handed.has_arrived
        self._is_prefilled = handed is not None and handed.is_prefilled
        self._charge: repeat_budget.Charge | None = None
        self._is_free = False

    @property
    def has_arrived(self) -> bool:
        """Whether the arrival that is free may have taken place."""
        return self._has_arrived

    @property
    def is_prefilled(self) -> bool:
        """Whether a server may have accepted a prefill."""
        return self._is_prefilled

    def may_send(self) -> bool:
        """Returns whether another attempt is free or could be charged."""
        return self._may_charge(int(self._has_arrived), "run")

    def may_prefill(self) -> bool:
        """Returns whether a prefill and the run behind it could be charged."""
        return self._may_charge(
            self._has_arrived + self._is_prefilled, "prefill"
        )

    def _may_charge(self, count: int, part: Part) -> bool:
        if not count or self._repeats.may_charge(self._service, count):
            return True
        self._repeats.note_refused(self._service, self._request_id, part)
        return False

    def on_send(self, part: Part) -> Result[None, errors.RepeatRefusedError]:
        """Charges an attempt that is about to be written, if it is a repeat."""
        self._charge = None
        self._is_free = not self._has_arrived
        if self._has_arrived:
            self._charge = self._repeats.charge(
                self._service, self._request_id, part
            )
            if self._charge is None:
                return Err(
                    errors.RepeatRefusedError("the repeat budget is exhausted")
                )
        elif self._is_handed_over:
            self.note_uncharged("handed-over")
        self._has_arrived = True
        return Ok(None)

    def note_result(self, result: Result[object, errors.EngineError]) -> None:
        """Records how an attempt ended."""
        if isinstance(result, Err):
            error = result.err_value
            if isinstance(error, errors.EngineUnreachableError):
                self.note_uncharged("unreachable")
            elif isinstance(error, errors.ServerLimitError):
                self.note_uncharged("server-limit")
            has_answer = isinstance(
                error,
                errors.EngineRefusedError
                | errors.ForeignAnswerError
                | errors.UnsignedAnswerError,
            )
        else:
            has_answer = True
        if has_answer and self._charge is not None:
            self._charge = self._repeats.note_arrived(self._charge)

    def note_prefilled(self) -> None:
        """Records that a server has accepted the prefill sent last."""
        if self._is_prefilled:
            return
        self._is_prefilled = True
        if self._is_free:
            self._has_arrived = False
        elif self._charge is not None:
            self._repeats.refund(self._charge, "prefill")
            self._charge = None

    def note_handed_over(self) -> None:
        """Records that another gateway has accepted the request."""
        self._has_arrived = self._is_prefilled = True
        self._charge = None

    def note_uncharged(self, reason: str) -> None:
        """Counts an attempt without a charge."""
        _uncharged_total.inc({"service": self._service, "reason": reason})

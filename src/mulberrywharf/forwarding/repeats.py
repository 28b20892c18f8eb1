"""Charges repeats to the budget; logs and counts each decision.

A repeat is charged at the moment at which its request is written, so that no
wait for a server lies between its charge and its arrival.
"""

import contextlib
import math
from collections.abc import Callable, Iterator
from typing import Literal

from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, metrics
from mulberrywharf.forwarding import request
from mulberrywharf.policy import repeat_budget

_ANSWER_ERRORS = (
    errors.EngineRefusedError,
    errors.ForeignAnswerError,
    errors.UnsignedAnswerError,
)
"""Failures of which the server's answer had begun."""

Part = Literal["prefill", "run"]
"""What an attempt asks of a server."""

_repeats_total = metrics.counter(
    "mulberry_repeats_total",
    "Repeats of requests by service, result (charged, refunded, refused,"
    " borrowed, lent) and part (prefill, run or any).",
)
_uncharged_total = metrics.counter(
    "mulberry_uncharged_attempts_total",
    "Further attempts of requests without a charge, by service and reason.",
)


GRANT_LIFETIME_S = 0.25
"""Time from a claim within which a granted repeat must be written. The gateway
that grants it counts it for ``repeat_budget.ARRIVAL_DELAY_S``, which includes
this time."""


class Repeats:
    """The budget of one gateway's repeats."""

    def __init__(
        self,
        budget: repeat_budget.RepeatBudget,
        system_clock: clock.Clock,
        claim: Callable[[str], bool] = lambda service: False,
    ):
        """Creates it.

        Args:
            budget: Decides whether a repeat may be sent.
            system_clock: Times requests and repeats; must go on while the
                machine is suspended.
            claim: Asks other gateways for a repeat for a service; returns
                whether one was granted.
        """
        self._budget = budget
        self._clock = system_clock
        self._claim = claim

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

    def claim(self, service: str) -> float | None:
        """Asks other gateways for a repeat.

        Returns:
            The time until which a granted repeat must be written, None if none
            was granted.
        """
        until_s = self._clock.monotonic_s() + GRANT_LIFETIME_S
        return until_s if self._claim(service) else None

    def is_in_time(self, until_s: float) -> bool:
        """Returns whether a granted repeat may still be written."""
        return self._clock.monotonic_s() < until_s

    def note_borrowed(self, service: str, request_id: str, part: Part) -> None:
        """Records that a repeat is sent that another gateway has charged."""
        _repeats_total.inc(
            {"service": service, "result": "borrowed", "part": part}
        )
        logger.bind(request_id=request_id, service=service, part=part).info(
            "repeat borrowed"
        )

    def lend(self, service: str) -> bool:
        """Charges a repeat of another gateway, if one can be spared."""
        is_lent = self._budget.lend(service, self._clock.monotonic_s())
        if is_lent:
            _repeats_total.inc(
                {"service": service, "result": "lent", "part": "any"}
            )
            logger.bind(service=service).info("repeat lent")
        return is_lent

    def charge(
        self, service: str, request_id: str, part: Part
    ) -> repeat_budget.Charge | None:
        """Charges a repeat; returns None if none is left."""
        decision = self._budget.decide(service, self._clock.monotonic_s())
        result = "refused" if decision.charge is None else "charged"
        self._note_decision(service, request_id, part, result, decision)
        if decision.charge is None:
            return None
        return self._budget.open(decision.charge)

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

    def refund(
        self, charge: repeat_budget.Charge, request_id: str, part: Part
    ) -> None:
        """Takes a charge back, as what was sent was no repeat."""
        self._budget.refund(charge)
        logger.bind(
            request_id=request_id, service=charge.service, part=part
        ).info("repeat refunded")
        _repeats_total.inc(
            {"service": charge.service, "result": "refunded", "part": part}
        )

    def note_arrived(
        self, charge: repeat_budget.Charge, earlier_until_s: float
    ) -> repeat_budget.Charge:
        """Records that a repeat has arrived, as its answer began.

        Args:
            charge: The charge of the repeat.
            earlier_until_s: When earlier attempts of the request arrive at the
                latest; the repeat may be the first to arrive.
        """
        now_s = self._clock.monotonic_s()
        return self._budget.settle(charge, max(now_s, earlier_until_s))

    def note_ended(self, charge: repeat_budget.Charge) -> None:
        """Records that the exchange of a repeat ended without an answer."""
        self._budget.settle(charge, self.arrives_until_s())

    def arrives_until_s(self) -> float:
        """Returns when a request arrives at the latest that ends now."""
        return self._clock.monotonic_s() + repeat_budget.ARRIVAL_DELAY_S


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
        self._unanswered_until_s = -math.inf
        self._grant_until_s: float | None = None

    @property
    def has_arrived(self) -> bool:
        """Whether the arrival that is free may have taken place."""
        return self._has_arrived

    @property
    def is_prefilled(self) -> bool:
        """Whether a server may have accepted a prefill."""
        return self._is_prefilled

    def may_send(self) -> bool:
        """Returns whether another attempt is free or could be charged.

        Asks other gateways for a repeat if this one has none left.
        """
        return self._may_charge(int(self._has_arrived), "run")

    def may_prefill(self) -> bool:
        """Returns whether a prefill and the run behind it could be charged."""
        return self._may_charge(
            self._has_arrived + self._is_prefilled, "prefill"
        )

    def _may_charge(self, count: int, part: Part) -> bool:
        if not count or self._repeats.may_charge(self._service, count):
            return True
        # Others grant one repeat at the most.
        is_one_missing = count == 1 or self._repeats.may_charge(
            self._service, count - 1
        )
        if is_one_missing and not self._has_grant:
            self._grant_until_s = self._repeats.claim(self._service)
        if is_one_missing and self._has_grant:
            return True
        self._repeats.note_refused(self._service, self._request_id, part)
        return False

    @property
    def _has_grant(self) -> bool:
        until_s = self._grant_until_s
        return until_s is not None and self._repeats.is_in_time(until_s)

    def on_send(self, part: Part) -> Result[None, errors.RepeatRefusedError]:
        """Charges an attempt that is about to be written, if it is a repeat."""
        self._charge = None
        self._is_free = not self._has_arrived
        if self._has_arrived and self._has_grant:
            self._grant_until_s = None
            self._repeats.note_borrowed(self._service, self._request_id, part)
        elif self._has_arrived:
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

    @contextlib.contextmanager
    def attempt(self) -> Iterator[None]:
        """Settles the charge of an attempt that its caller abandons."""
        try:
            yield
        except BaseException:
            self._note_unanswered()
            raise

    def note_result(self, result: Result[object, errors.EngineError]) -> None:
        """Records how an attempt ended."""
        error = result.err_value if isinstance(result, Err) else None
        if isinstance(error, errors.EngineUnreachableError):
            self.note_uncharged("unreachable")
        elif isinstance(error, errors.ServerLimitError):
            self.note_uncharged("server-limit")
        elif isinstance(error, errors.RepeatRefusedError):
            return
        elif error is None or isinstance(error, _ANSWER_ERRORS):
            self._note_answered()
        else:
            self._note_unanswered()

    def _note_answered(self) -> None:
        if self._charge is not None:
            self._charge = self._repeats.note_arrived(
                self._charge, self._unanswered_until_s
            )

    def _note_unanswered(self) -> None:
        self._unanswered_until_s = self._repeats.arrives_until_s()
        if self._charge is not None:
            self._repeats.note_ended(self._charge)
            self._charge = None

    def note_prefilled(self) -> None:
        """Records that a server has accepted the prefill sent last."""
        if self._is_prefilled:
            return
        self._is_prefilled = True
        if self._is_free:
            self._has_arrived = False
        elif self._charge is not None:
            self._repeats.refund(self._charge, self._request_id, "prefill")
            self._charge = None

    def note_handed_over(self) -> None:
        """Records that another gateway has accepted the request."""
        self._has_arrived = self._is_prefilled = True
        self._charge = None

    def note_uncharged(self, reason: str) -> None:
        """Counts an attempt without a charge."""
        _uncharged_total.inc({"service": self._service, "reason": reason})

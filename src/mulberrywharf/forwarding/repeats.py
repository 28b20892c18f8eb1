"""Charges repeats to the budget; logs and counts each decision."""

from typing import Literal

from loguru import logger

from mulberrywharf import clock, errors, metrics
from mulberrywharf.policy import repeat_budget

Part = Literal["prefill", "run"]
"""What a repeat asks of a server."""

_repeats_total = metrics.counter(
    "mulberry_repeats_total",
    "Repeats of requests by service, result (charged, refused) and part"
    " (prefill, run).",
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

    def charge(self, service: str, request_id: str, part: Part) -> bool:
        """Charges a repeat; returns False if none is left."""
        decision = self._budget.decide(service, self._clock.monotonic_s())
        result = "refused" if decision.charge is None else "charged"
        _repeats_total.inc({"service": service, "result": result, "part": part})
        logger.bind(
            request_id=request_id,
            service=service,
            part=part,
            period_offset_s=round(decision.period_offset_s, 2),
            requests_count=round(decision.requests_count, 2),
            repeats_count=decision.repeats_count,
            share=decision.charge.share if decision.charge else None,
            shares=decision.shares,
            left_count=decision.left_count,
        ).info("repeat {}", result)
        return decision.charge is not None

    def note_uncharged(self, service: str, reason: str) -> None:
        """Counts a further attempt without a charge."""
        _uncharged_total.inc({"service": service, "reason": reason})


def uncharged_reason(error: errors.EngineError) -> str | None:
    """Returns why another attempt is no repeat, None if it is one."""
    if isinstance(error, errors.EngineUnreachableError):
        return "unreachable"
    if isinstance(error, errors.ServerLimitError):
        return "server-limit"
    return None

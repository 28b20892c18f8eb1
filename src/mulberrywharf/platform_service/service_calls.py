"""Calls to the key-value service with retries, call budgets and metrics.

A call is retried at each endpoint in turn. A write is retried only if the
service has certainly not executed it.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

import gevent
from geventhttpclient import response
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, metrics, settings
from mulberrywharf.platform_service import (
    call_budget,
    era,
    http_calls,
    outage,
)

_ATTEMPTS_PER_ENDPOINT_COUNT = 2
_BACKOFF_BASE_S = 0.05
_BACKOFF_LIMIT_S = 1.0
_HISTORY_GONE_STATUS = 410
_CONDITION_FAILED_STATUS = 412
_RATE_EXCEEDED_STATUS = 429
_NOT_EXECUTED_STATUSES = frozenset({_RATE_EXCEEDED_STATUS, 503})

DECODE_ERRORS = (AttributeError, IndexError, KeyError, TypeError, ValueError)
"""What a decoder raises for a malformed answer."""

_Decoded = TypeVar("_Decoded")

_calls = metrics.counter(
    "mulberry_platform_calls_total",
    "Calls sent to the key-value service, by purpose, kind and outcome.",
)


class Call(NamedTuple):
    """One call to the service.

    Attributes:
        path: Path of the HTTP request.
        body: JSON body of the request, or None.
        kind: Short name of the operation, a label of the metrics.
        purpose: Call budget that is charged.
        is_write: Whether the outcome is unknown if no response arrives.
        method: HTTP method.
    """

    path: str
    body: Mapping[str, Any] | None
    kind: str
    purpose: str
    is_write: bool
    method: str = "POST"


class ServiceCalls:
    """Client for all endpoints of the service.

    Calls are counted and budgeted by purpose.

    Attributes:
        era: Newest era of the service seen in a response.
    """

    def __init__(
        self,
        endpoints: Sequence[settings.Endpoint],
        *,
        timeout_s: float,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None,
        system_clock: clock.Clock,
        era_header: str | None = None,
    ):
        self._clock = system_clock
        self.era = era.ServiceEra()
        self._restored_s = float("-inf")
        self.era.on_restored(self._record_restore)
        self._answered_s = float("-inf")
        self._contact_s = float("-inf")
        self._outage = outage.LastOutage()
        self._endpoints = [
            http_calls.HttpCalls(endpoint, timeout_s, era_header=era_header)
            for endpoint in endpoints
        ]
        self._budgets = call_budget.PurposeBudgets(purpose_budgets)

    def close(self) -> None:
        """Closes the connections; later calls fail unsent."""
        for endpoint in self._endpoints:
            endpoint.close()

    def age_s(self) -> float:
        """Returns the seconds since a call last succeeded, or inf.

        A watch message counts as a successful call.
        """
        return self._clock.monotonic_s() - self._answered_s

    def contact_age_s(self) -> float:
        """Returns the age of what the newest answer to a call says, or inf.

        Counted from when the call was sent: an answer may have waited to be
        read for as long as this process stood still.
        """
        return self._clock.monotonic_s() - self._contact_s

    def outage_age_s(self) -> float:
        """Returns the seconds since the last outage ended, or inf."""
        return self._outage.age_s(self._clock.monotonic_s())

    def restored_age_s(self) -> float:
        """Returns the seconds since the last restore was seen, or inf."""
        return self._clock.monotonic_s() - self._restored_s

    def _record_restore(self) -> None:
        # A restore counts as an outage: writes that the service acknowledged
        # may be lost, as after an outage in which all leases expired.
        self._restored_s = self._clock.monotonic_s()
        self._outage.record_failure(self._restored_s)

    def record_success(self) -> None:
        """Records that the service has just executed a call."""
        self._answered_s = self._clock.monotonic_s()
        self._outage.record_answer(self._answered_s)

    def open_stream(
        self,
        path: str,
        body: Mapping[str, Any],
        *,
        attempt: int,
        silence_timeout_s: float,
        purpose: str,
    ) -> Result[http_calls.LineStream, errors.PlatformError]:
        """Opens a watch stream.

        Args:
            path: Path of the request.
            body: JSON body of the request.
            attempt: Number of the attempt; selects the endpoint.
            silence_timeout_s: A read fails after this many seconds without
                data.
            purpose: Call budget that is charged.
        """
        if not self.try_charge(purpose):
            return Err(_budget_exceeded_error(purpose))
        endpoint = self._endpoints[attempt % len(self._endpoints)]
        try:
            stream = endpoint.open_stream(
                path, body, silence_timeout_s=silence_timeout_s
            )
        except (OSError, response.HTTPParseError) as error:
            self._count(purpose, "watch", "failed")
            message = f"{endpoint.name}: opening a watch failed: {error}"
            return Err(errors.PlatformUnavailableError(message))
        if stream.status != 200:
            stream.close()
            self._count(purpose, "watch", str(stream.status))
            message = (
                f"{endpoint.name}: watch rejected with HTTP {stream.status}"
            )
            return Err(errors.PlatformUnavailableError(message))
        self._count(purpose, "watch", "ok")
        self.record_success()
        return Ok(stream)

    def open_long_poll(self, *, attempt: int, timeout_s: float) -> "Poll":
        """Creates a separate connection for long-polling calls.

        Args:
            attempt: Number of the attempt; selects the endpoint.
            timeout_s: A call fails after this many seconds without a response.
        """
        endpoint = self._endpoints[attempt % len(self._endpoints)]
        return Poll(self, endpoint.with_answer_timeout(timeout_s))

    def send(self, call: Call) -> Result[dict[str, Any], errors.PlatformError]:
        """Sends a call, trying each endpoint in turn until one succeeds.

        A write is not retried once the service may have executed it.
        """
        failure: errors.PlatformError = errors.PlatformUnavailableError(
            "no endpoint was tried"
        )
        attempts_count = _ATTEMPTS_PER_ENDPOINT_COUNT * len(self._endpoints)
        for attempt in range(attempts_count):
            if not self.try_charge(call.purpose):
                return Err(_budget_exceeded_error(call.purpose))
            endpoint = self._endpoints[attempt % len(self._endpoints)]
            outcome = self.send_once(endpoint, call)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if not isinstance(failure, errors.PlatformUnavailableError):
                return Err(failure)
            if attempt + 1 < attempts_count:
                gevent.sleep(_backoff_s(attempt))
        return Err(failure)

    def send_once(
        self,
        endpoint: http_calls.HttpCalls,
        call: Call,
        *,
        waits_for_change: bool = False,
    ) -> Result[dict[str, Any], errors.PlatformError]:
        """Sends a call once, to one endpoint, and classifies the response.

        Args:
            endpoint: The endpoint.
            call: The call.
            waits_for_change: Whether the service answers only when a key
                changes. It may cut such a call.
        """
        sent_s = self._clock.monotonic_s()
        sent = endpoint.call(call.method, call.path, call.body)
        if isinstance(sent, Err):
            failure = sent.err_value
            waited_s = self._clock.monotonic_s() - sent_s
            if (
                waits_for_change
                and _was_cut(failure)
                and waited_s >= outage.CUT_WAIT_S
            ):
                self._outage.record_cut(sent_s)
            else:
                self._outage.record_failure(sent_s)
            self._count(call.purpose, call.kind, failure.code)
            return Err(failure if call.is_write else _as_unavailable(failure))
        answer = sent.ok_value
        self._count(call.purpose, call.kind, str(answer.status))
        if not self.era.observe(answer.era):
            return Err(_older_era_error(endpoint.name, call))
        if answer.status == 200:
            self._contact_s = max(self._contact_s, sent_s)
            self.record_success()
            return Ok(answer.body)
        error = _error_for_status(endpoint.name, call, answer)
        if isinstance(error, errors.PlatformRefusedError):
            self._outage.record_answer(self._clock.monotonic_s())
        elif answer.status != _RATE_EXCEEDED_STATUS:
            # A rate-limited service still serves other callers. When this
            # status counted as an outage, a server that left just after it
            # stayed in use for 2 s longer although there was no outage.
            self._outage.record_failure(sent_s)
        return Err(error)

    def try_charge(self, purpose: str) -> bool:
        """Charges a call to a budget; returns False if the budget is spent."""
        return self._budgets.take(purpose, self._clock.monotonic_s())

    def _count(self, purpose: str, kind: str, outcome: str) -> None:
        _calls.inc({"purpose": purpose, "kind": kind, "outcome": outcome})


class Poll:
    """Long-polling calls that reuse one connection."""

    def __init__(self, gateway: ServiceCalls, endpoint: http_calls.HttpCalls):
        self._gateway = gateway
        self._endpoint = endpoint

    def send(self, call: Call) -> Result[dict[str, Any], errors.PlatformError]:
        """Sends one call, without retries."""
        if not self._gateway.try_charge(call.purpose):
            return Err(_budget_exceeded_error(call.purpose))
        return self._gateway.send_once(
            self._endpoint, call, waits_for_change=True
        )

    @property
    def era(self) -> int:
        """Newest era of the service seen on any connection."""
        return self._gateway.era.current

    @property
    def is_receiving(self) -> bool:
        """Whether the body of a response is being read."""
        return self._endpoint.is_receiving

    def close(self) -> None:
        """Closes the connection; a pending call fails."""
        self._endpoint.close()


def decoded(
    call: Call,
    sent: Result[dict[str, Any], errors.PlatformError],
    decode: Callable[[dict[str, Any]], _Decoded],
) -> Result[_Decoded, errors.PlatformError]:
    """Decodes the answer to a call; a malformed one counts as none."""
    if isinstance(sent, Err):
        return sent
    try:
        return Ok(decode(sent.ok_value))
    except DECODE_ERRORS as error:
        message = f"malformed answer to {call.kind}: {error!r}"
        logger.bind(purpose=call.purpose).warning("{}", message)
        if call.is_write:
            return Err(errors.WriteOutcomeUnknownError(message))
        return Err(errors.PlatformUnavailableError(message))


def _older_era_error(name: str, call: Call) -> errors.PlatformError:
    """Returns the error for a response from an older era.

    The service may have lost that state in a restore, so the response is
    discarded.
    """
    message = f"{name}: the response to {call.path} is from an older era"
    if call.is_write:
        return errors.WriteOutcomeUnknownError(message)
    return errors.PlatformUnavailableError(message)


def _error_for_status(
    name: str, call: Call, answer: http_calls.Answer
) -> errors.PlatformError:
    """Returns the error for a status other than 200.

    The error says whether the service can have executed the call.
    """
    message = f"{name}: {call.path} returned HTTP {answer.status}"
    if answer.status in _NOT_EXECUTED_STATUSES:
        return errors.PlatformUnavailableError(message)
    if answer.status == _HISTORY_GONE_STATUS:
        return errors.HistoryGoneError(message)
    if answer.status == _CONDITION_FAILED_STATUS:
        return errors.ConditionFailedError(message, answer.body)
    if answer.status < 500:
        return errors.PlatformRefusedError(message)
    if call.is_write:
        return errors.WriteOutcomeUnknownError(message)
    return errors.PlatformUnavailableError(message)


def _was_cut(failure: errors.PlatformError) -> bool:
    return (
        isinstance(failure, errors.WriteOutcomeUnknownError) and failure.was_cut
    )


def _as_unavailable(
    failure: errors.PlatformError,
) -> errors.PlatformUnavailableError:
    if isinstance(failure, errors.PlatformUnavailableError):
        return failure
    return errors.PlatformUnavailableError(failure.message)


def _budget_exceeded_error(purpose: str) -> errors.BudgetExceededError:
    return errors.BudgetExceededError(
        f"the call budget for {purpose} is spent; the call was not sent"
    )


def _backoff_s(attempt: int) -> float:
    return http_calls.full_jitter_s(
        attempt, base_s=_BACKOFF_BASE_S, limit_s=_BACKOFF_LIMIT_S
    )

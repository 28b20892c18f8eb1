"""Calls to the gateway of the key-value service: retries, budgets, metrics.

A call is tried at every endpoint in turn, but a write only while it is
certain that nothing was written.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import gevent
from geventhttpclient import response
from result import Err, Ok, Result

from mulberrywharf import clock, errors, metrics, settings
from mulberrywharf.platform_service import (
    call_budget,
    era,
    http_calls,
    outage,
)

_ROUNDS_COUNT = 2
_BACKOFF_BASE_S = 0.05
_BACKOFF_LIMIT_S = 1.0
_HISTORY_GONE_STATUS = 410
_CONDITION_FAILED_STATUS = 412
_RATE_EXCEEDED_STATUS = 429
_NOTHING_DONE_STATUSES = frozenset({_RATE_EXCEEDED_STATUS, 503})

_calls = metrics.counter(
    "mulberry_platform_calls_total",
    "Calls sent to the key-value service, by purpose, kind and outcome.",
)


class Call(NamedTuple):
    """One call to the service.

    Attributes:
        path: Path of the gateway.
        body: JSON request.
        kind: Short name for the metrics.
        purpose: Whose budget pays for it.
        is_write: Whether a lost answer leaves the outcome open.
        method: HTTP method.
    """

    path: str
    body: Mapping[str, Any] | None
    kind: str
    purpose: str
    is_write: bool
    method: str = "POST"


class Gateway:
    """The endpoints of the service, counted and budgeted by purpose.

    Attributes:
        era: The newest era that an answer has shown.
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
        self.era.on_restored(self._note_restored)
        self._answered_s = float("-inf")
        self._outage = outage.LastOutage()
        self._endpoints = [
            http_calls.HttpCalls(endpoint, timeout_s, era_header=era_header)
            for endpoint in endpoints
        ]
        self._budgets = call_budget.PurposeBudgets(purpose_budgets)

    def close(self) -> None:
        """Closes the connections; later calls are not sent."""
        for endpoint in self._endpoints:
            endpoint.close()

    def age_s(self) -> float:
        """Returns how long ago the service last answered, inf before."""
        return self._clock.monotonic_s() - self._answered_s

    def trouble_age_s(self) -> float:
        """Returns how long ago the last outage ended, inf before any."""
        return self._outage.age_s(self._clock.monotonic_s())

    def restored_age_s(self) -> float:
        """Returns how long ago the service was back from an older copy."""
        return self._clock.monotonic_s() - self._restored_s

    def _note_restored(self) -> None:
        # What the service holds now lacks what it had acknowledged, as behind
        # an outage in which all leases lapsed.
        self._restored_s = self._clock.monotonic_s()
        self._outage.failed(self._restored_s)

    def note_answer(self) -> None:
        """Notes that the service did what it was asked, just now."""
        self._answered_s = self._clock.monotonic_s()
        self._outage.answered(self._answered_s)

    def open_stream(
        self,
        path: str,
        body: Mapping[str, Any],
        *,
        attempt: int,
        silence_s: float,
        purpose: str,
    ) -> Result[http_calls.LineStream, errors.PlatformError]:
        """Opens a stream at the endpoint of this attempt."""
        if not self.take(purpose):
            return Err(_budget_spent(purpose))
        endpoint = self._endpoints[attempt % len(self._endpoints)]
        try:
            stream = endpoint.open_stream(path, body, silence_s=silence_s)
        except (OSError, response.HTTPParseError) as error:
            self._count(purpose, "watch", "failed")
            message = f"{endpoint.name}: no watch: {error}"
            return Err(errors.PlatformUnavailableError(message))
        if stream.status != 200:
            stream.close()
            self._count(purpose, "watch", str(stream.status))
            message = f"{endpoint.name}: watch refused with {stream.status}"
            return Err(errors.PlatformUnavailableError(message))
        self._count(purpose, "watch", "ok")
        self.note_answer()
        return Ok(stream)

    def open_poll(self, *, attempt: int, timeout_s: float) -> "Poll":
        """Makes a connection of its own for calls that wait long.

        Args:
            attempt: Chooses the endpoint.
            timeout_s: A call fails after this long without an answer.
        """
        endpoint = self._endpoints[attempt % len(self._endpoints)]
        return Poll(self, endpoint.for_long_answers(timeout_s))

    def send(self, call: Call) -> Result[dict[str, Any], errors.PlatformError]:
        """Tries the endpoints in turn while nothing can have been written."""
        failure: errors.PlatformError = errors.PlatformUnavailableError(
            "no endpoint was tried"
        )
        attempts_count = _ROUNDS_COUNT * len(self._endpoints)
        for attempt in range(attempts_count):
            if not self.take(call.purpose):
                return Err(_budget_spent(call.purpose))
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
        self, endpoint: http_calls.HttpCalls, call: Call
    ) -> Result[dict[str, Any], errors.PlatformError]:
        """Sends a call to one endpoint and classifies its answer."""
        sent_s = self._clock.monotonic_s()
        sent = endpoint.call(call.method, call.path, call.body)
        if isinstance(sent, Err):
            failure = sent.err_value
            self._outage.failed(sent_s)
            self._count(call.purpose, call.kind, failure.code)
            return Err(failure if call.is_write else _as_unavailable(failure))
        answer = sent.ok_value
        self._count(call.purpose, call.kind, str(answer.status))
        if not self.era.note(answer.era):
            return Err(_of_older_era(endpoint.name, call))
        if answer.status == 200:
            self.note_answer()
            return Ok(answer.body)
        refusal = _refusal(endpoint.name, call, answer)
        if isinstance(refusal, errors.PlatformRefusedError):
            self._outage.answered(self._clock.monotonic_s())
        elif answer.status != _RATE_EXCEEDED_STATUS:
            # A service that bounds its callers' rate goes on serving the
            # others. Taken for an outage, a refusal kept a server that left
            # just behind it in use for 2 s more, in calm times.
            self._outage.failed(sent_s)
        return Err(refusal)

    def take(self, purpose: str) -> bool:
        """Takes one call out of a purpose's budget; False if it is spent."""
        return self._budgets.take(purpose, self._clock.monotonic_s())

    def _count(self, purpose: str, kind: str, outcome: str) -> None:
        _calls.inc({"purpose": purpose, "kind": kind, "outcome": outcome})


class Poll:
    """Calls that the service may keep waiting, each on the same connection."""

    def __init__(self, calls: Gateway, endpoint: http_calls.HttpCalls):
        self._calls = calls
        self._endpoint = endpoint

    def send(self, call: Call) -> Result[dict[str, Any], errors.PlatformError]:
        """Sends one call, without a retry."""
        if not self._calls.take(call.purpose):
            return Err(_budget_spent(call.purpose))
        return self._calls.send_once(self._endpoint, call)

    @property
    def era(self) -> int:
        """The newest era that an answer has shown, on any connection."""
        return self._calls.era.current

    @property
    def is_receiving(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._endpoint.is_receiving

    def close(self) -> None:
        """Closes the connection; a call that waits there fails."""
        self._endpoint.close()


def _of_older_era(name: str, call: Call) -> errors.PlatformError:
    """Returns what an answer of an era that is past comes to.

    What it tells may be gone, so it changes nothing that is believed.
    """
    message = f"{name}: the answer to {call.path} is of an older era"
    if call.is_write:
        return errors.WriteOutcomeUnknownError(message)
    return errors.PlatformUnavailableError(message)


def _refusal(
    name: str, call: Call, answer: http_calls.Answer
) -> errors.PlatformError:
    """Classifies an answer that is not 200 by what it says about effect."""
    message = f"{name}: {call.path} answered {answer.status}"
    if answer.status in _NOTHING_DONE_STATUSES:
        return errors.PlatformUnavailableError(message)
    if answer.status == _HISTORY_GONE_STATUS:
        return errors.HistoryGoneError(message)
    if answer.status == _CONDITION_FAILED_STATUS:
        return errors.ConditionFailedError(message)
    if answer.status < 500:
        return errors.PlatformRefusedError(message)
    if call.is_write:
        return errors.WriteOutcomeUnknownError(message)
    return errors.PlatformUnavailableError(message)


def _as_unavailable(
    failure: errors.PlatformError,
) -> errors.PlatformUnavailableError:
    if isinstance(failure, errors.PlatformUnavailableError):
        return failure
    return errors.PlatformUnavailableError(failure.message)


def _budget_spent(purpose: str) -> errors.BudgetExceededError:
    return errors.BudgetExceededError(
        f"the call budget for {purpose} is spent; nothing was sent"
    )


def _backoff_s(attempt: int) -> float:
    return http_calls.full_jitter_s(
        attempt, base_s=_BACKOFF_BASE_S, limit_s=_BACKOFF_LIMIT_S
    )

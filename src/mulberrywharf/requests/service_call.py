"""One call to a plain service, from its limits to its whole answer.

A call that is not idempotent is never sent again once a byte of it left. With
an idempotency key it runs only under a confirmed claim, so that a second
press, at whatever router, meets the first instead of running again.
"""

import random
from typing import Protocol

import gevent
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.backend_servers import client, directory
from mulberrywharf.callers import passthrough
from mulberrywharf.nodes import claims
from mulberrywharf.policy import limits, outcome, retry_budget
from mulberrywharf.requests import (
    demand_rates,
    in_flight,
    kept_answers,
    run_ids,
)

_ANSWER_LIMIT_BYTES = 16_000_000
_CLAIM_TIMEOUT_S = 4.0
_RUN_MARGIN_S = 5.0
_LEAST_WAIT_S = 0.05
_CLAIM_AGAIN_LIMIT_S = 0.2

_second_presses_total = metrics.counter(
    "mulberry_second_presses_total",
    "Calls that met an earlier one with the same key, by what came of it.",
)
_attempts_total = metrics.counter(
    "mulberry_service_attempts_total",
    "Attempts at backend servers, by service and result.",
)


class Claims(Protocol):
    """What a call needs of ``nodes.claim_client.ClaimClient``."""

    def claim(
        self,
        customer: str,
        key: str,
        body_digest: bytes,
        request_id: str,
        *,
        run_bound_s: float = ...,
        timeout_s: float = ...,
    ) -> Result[
        claims.ClaimGranted | claims.ClaimMet,
        errors.ClaimUnavailableError | errors.KeyReuseError,
    ]:
        """Asks for the right to run."""
        ...

    def wait(
        self, customer: str, key: str, timeout_s: float
    ) -> Result[claims.ClaimMet, errors.ClaimUnavailableError]:
        """Waits for the end of a run that was met."""
        ...

    def complete(
        self, granted: claims.ClaimGranted, status: int, answer: bytes
    ) -> Result[None, errors.ClaimUnavailableError]:
        """Records the answer of a run."""
        ...

    def release(
        self, granted: claims.ClaimGranted
    ) -> Result[None, errors.ClaimUnavailableError]:
        """Frees a claim of which nothing ran."""
        ...


class ServiceCallPipeline:
    """Runs calls to plain services."""

    def __init__(
        self,
        *,
        vm_id: str,
        servers: directory.ServiceDirectory,
        backend: client.BackendClient,
        node_claims: Claims,
        customer_limits: limits.CustomerLimits,
        retries: retry_budget.RetryBudget,
        rates: demand_rates.DemandRates,
        background: in_flight.InFlight,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._vm_id = vm_id
        self._servers = servers
        self._backend = backend
        self._claims = node_claims
        self._limits = customer_limits
        self._retries = retries
        self._rates = rates
        self._background = background
        self._clock = system_clock
        self._rng = rng
        self._kept = kept_answers.AnswerStore()

    def call(
        self, wanted: passthrough.ServiceCall
    ) -> passthrough.ServiceAnswer:
        """Returns the whole answer.

        Raises:
            RequestError: With the outcome that holds for the call.
        """
        now_s = self._clock.monotonic_s()
        self._rates.count(wanted.caller.customer, "", now_s)
        taken = self._limits.take(wanted.caller.customer, 0.0, now_s)
        if isinstance(taken, Err):
            raise taken.err_value
        if self._time_left_s(wanted) <= 0:
            raise errors.DeadlineExceededError("the deadline has passed")
        self._retries.on_first_attempt(wanted.caller.customer, now_s)
        if wanted.idempotent or wanted.caller.idempotency_key is None:
            return self._run(wanted)
        return self._run_under_claim(wanted, wanted.caller.idempotency_key)

    def _time_left_s(self, wanted: passthrough.ServiceCall) -> float:
        return wanted.caller.deadline_s - self._clock.monotonic_s()

    # --- at most once -----------------------------------------------------

    def _run_under_claim(
        self, wanted: passthrough.ServiceCall, key: str
    ) -> passthrough.ServiceAnswer:
        met_before = False
        while True:
            claimed = self._claim(wanted, key)
            if isinstance(claimed, Err):
                raise _after_meeting(claimed.err_value, met_before)
            if isinstance(claimed.ok_value, claims.ClaimGranted):
                return self._run_granted(wanted, claimed.ok_value)
            met_before = True
            answer = self._answer_of_first(wanted, key, claimed.ok_value)
            if answer is not None:
                return answer
            gevent.sleep(self._rng.uniform(0.0, _CLAIM_AGAIN_LIMIT_S))

    def _claim(
        self, wanted: passthrough.ServiceCall, key: str
    ) -> Result[claims.ClaimGranted | claims.ClaimMet, errors.RequestError]:
        caller = wanted.caller
        left_s = self._time_left_s(wanted)
        if left_s <= 0:
            return Err(errors.DeadlineExceededError("the deadline has passed"))
        subject = f"{caller.method} {caller.target}\n".encode() + caller.body
        return self._claims.claim(
            caller.customer,
            key,
            claims.digest(subject),
            caller.request_id,
            run_bound_s=left_s + wanted.timeout_s + _RUN_MARGIN_S,
            timeout_s=min(_CLAIM_TIMEOUT_S, left_s),
        )

    def _run_granted(
        self, wanted: passthrough.ServiceCall, granted: claims.ClaimGranted
    ) -> passthrough.ServiceAnswer:
        try:
            answer = self._run(wanted)
        except errors.RequestError as error:
            if error.outcome == "not-run":
                self._background.spawn(self._claims.release, granted)
            raise
        kept = kept_answers.encode(answer)
        self._kept.put(granted.claim_id, kept)
        self._background.spawn(
            self._claims.complete, granted, answer.status, kept
        )
        return answer

    def _answer_of_first(
        self, wanted: passthrough.ServiceCall, key: str, met: claims.ClaimMet
    ) -> passthrough.ServiceAnswer | None:
        """Returns the first press's answer, or None if its claim was freed."""
        if met.state == "in-progress":
            left_s = max(0.0, self._time_left_s(wanted))
            waited = self._claims.wait(wanted.caller.customer, key, left_s)
            if isinstance(waited, Err):
                # Freed because nothing ran, or its owner is away: the next
                # claim tells which.
                return None
            met = waited.ok_value
        if met.state == "done":
            answer = self._kept_answer(wanted, key, met)
            if answer is not None:
                _second_presses_total.inc({"result": "answered"})
                return answer
            raise self._not_told("ran, but its answer is no longer kept")
        if met.state == "in-progress":
            raise self._not_told("is still running")
        raise self._not_told("has no known outcome and is not run again")

    def _not_told(self, what: str) -> errors.BackEndLostError:
        _second_presses_total.inc({"result": "unknown"})
        return errors.BackEndLostError(
            f"the first request with this idempotency key {what}",
            outcome="unknown",
            retry_after_s=1.0,
            advice="Ask again with the same key; do not use a new one.",
        )

    def _kept_answer(
        self, wanted: passthrough.ServiceCall, key: str, met: claims.ClaimMet
    ) -> passthrough.ServiceAnswer | None:
        if met.answer is not None:
            return kept_answers.decode(met.status, met.answer)
        if met.runner_vm_id != self._vm_id:
            return self._ask_runner(wanted, met.runner_address)
        claim = claims.claim_id(wanted.caller.customer, key)
        kept = self._kept.get(claim)
        if kept is None:
            return None
        return kept_answers.decode(met.status, kept)

    def _ask_runner(
        self, wanted: passthrough.ServiceCall, runner: fleet.Address
    ) -> passthrough.ServiceAnswer | None:
        """Presses again at the router that ran it, which holds the answer.

        There the press meets the finished claim, so nothing runs; the runner
        itself never passes it on.
        """
        caller = wanted.caller
        request = client.ServiceRequest(
            caller.method,
            caller.target,
            dict(caller.fields),
            caller.body,
            caller.request_id,
            idempotent=True,
            timeout_s=max(_LEAST_WAIT_S, self._time_left_s(wanted)),
        )
        sent = self._backend.send(runner, request)
        if isinstance(sent, Err):
            return None
        try:
            answer = _whole(sent.ok_value)
        except errors.MulberryError:
            return None
        if dict(answer.headers).get("x-mulberry-outcome"):
            return None
        return answer

    # --- the exchange -----------------------------------------------------

    def _run(
        self, wanted: passthrough.ServiceCall
    ) -> passthrough.ServiceAnswer:
        tried: set[str] = set()
        told: errors.Outcome = "not-run"
        run_id = run_ids.make(wanted.caller.request_id)
        while True:
            chosen = self._servers.choose(
                wanted.service, self._clock.monotonic_s(), frozenset(tried)
            )
            if isinstance(chosen, Err):
                raise _no_server(chosen.err_value, told)
            vm = chosen.ok_value
            tried.add(vm.vm_id)
            attempted = self._attempt(wanted, vm, run_id)
            if isinstance(attempted, Ok):
                return attempted.ok_value
            progress = _progress(attempted.err_value)
            verdict = self._retries.decide(
                retry_budget.FailedAttempt(
                    customer=wanted.caller.customer,
                    attempt_count=len(tried),
                    progress=progress,
                    is_idempotent=wanted.idempotent,
                    time_left_s=self._time_left_s(wanted),
                    outcome=told,
                ),
                self._rng,
                self._clock.monotonic_s(),
            )
            if isinstance(verdict, retry_budget.GiveUp):
                raise verdict.error
            told = outcome.combine(told, attempted.err_value.outcome)
            gevent.sleep(verdict.after_s)

    def _attempt(
        self,
        wanted: passthrough.ServiceCall,
        vm: fleet.VmRecord,
        run_id: str,
    ) -> Result[passthrough.ServiceAnswer, errors.EngineError]:
        caller = wanted.caller
        left_s = max(_LEAST_WAIT_S, self._time_left_s(wanted))
        request = client.ServiceRequest(
            caller.method,
            wanted.path,
            wanted.headers,
            caller.body,
            run_id,
            idempotent=wanted.idempotent,
            timeout_s=min(wanted.timeout_s, left_s),
        )
        sent = self._backend.send(vm.address, request)
        if isinstance(sent, Err):
            return self._failed(wanted, vm, sent.err_value)
        try:
            answer = _whole(sent.ok_value)
        except errors.EngineError as error:
            return self._failed(wanted, vm, error)
        self._servers.succeeded(vm.vm_id)
        _attempts_total.inc({"service": wanted.service, "result": "answered"})
        return Ok(answer)

    def _failed(
        self,
        wanted: passthrough.ServiceCall,
        vm: fleet.VmRecord,
        error: errors.EngineError,
    ) -> Err[errors.EngineError]:
        self._servers.failed(vm.vm_id, self._clock.monotonic_s())
        _attempts_total.inc({"service": wanted.service, "result": error.code})
        return Err(error)


def _no_server(
    error: errors.RequestError, told: errors.Outcome
) -> errors.RequestError:
    # The service is configured, so a list that names no server of it is a
    # matter of time, not a mistake of the caller.
    if isinstance(error, errors.UnknownTargetError):
        error = errors.OverloadedError(
            "no server of the service is known now", retry_after_s=1.0
        )
    error.outcome = told
    return error


def _progress(error: errors.EngineError) -> outcome.Progress:
    # The answer is read whole before any of it is passed on, so a call whose
    # answer broke off stands where one stands that was only sent.
    return "nothing-sent" if error.outcome == "not-run" else "sent"


def _whole(answer: client.BackendAnswer) -> passthrough.ServiceAnswer:
    body = bytearray()
    for block in answer.body():
        body += block
        if len(body) > _ANSWER_LIMIT_BYTES:
            answer.close()
            raise errors.AnswerTooLargeError(
                f"the answer exceeds {_ANSWER_LIMIT_BYTES} bytes"
            )
    headers = tuple((name.lower(), value) for name, value in answer.headers)
    return passthrough.ServiceAnswer(answer.status, headers, bytes(body))


def _after_meeting(
    error: errors.RequestError, met_before: bool
) -> errors.RequestError:
    # This press ran nothing, but the first one may have: "not-run" would
    # invite the caller to press with a new key.
    if met_before:
        error.outcome = "unknown"
    return error

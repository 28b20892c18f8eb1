"""At-most-once calls: a call with an idempotency key runs under a claim.

A duplicate request, at whatever router, meets the claim of the first one and
gets its answer instead of running again.
"""

import random
from collections.abc import Callable
from typing import Protocol

import gevent
from result import Err, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.backend_servers import client
from mulberrywharf.callers import passthrough
from mulberrywharf.nodes import claims
from mulberrywharf.requests import in_flight, kept_answers, service_exchange

_CLAIM_TIMEOUT_S = 4.0
_RUN_MARGIN_S = 5.0
_LEAST_WAIT_S = 0.05
_CLAIM_AGAIN_LIMIT_S = 0.2

Run = Callable[[passthrough.ServiceCall], passthrough.ServiceAnswer]
"""Runs a call at a backend server; raises a ``RequestError`` if it fails."""

_duplicates_total = metrics.counter(
    "mulberry_duplicates_total",
    "Calls that met an earlier one with the same key, by what came of it.",
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


class ClaimedCalls:
    """Runs calls under claims and answers their duplicates."""

    def __init__(
        self,
        *,
        vm_id: str,
        backend: client.BackendClient,
        node_claims: Claims,
        background: in_flight.InFlight,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._vm_id = vm_id
        self._backend = backend
        self._claims = node_claims
        self._background = background
        self._clock = system_clock
        self._rng = rng
        self._kept = kept_answers.AnswerStore()

    def run(
        self, wanted: passthrough.ServiceCall, key: str, run_once: Run
    ) -> passthrough.ServiceAnswer:
        """Returns the answer of the one run, made now or met.

        Args:
            wanted: The call.
            key: Its idempotency key.
            run_once: Runs it at a backend server, if the claim is granted.

        Raises:
            RequestError: With the outcome that holds for the call.
        """
        met_before = False
        while True:
            claimed = self._claim(wanted, key)
            if isinstance(claimed, Err):
                raise _after_meeting(claimed.err_value, met_before)
            if isinstance(claimed.ok_value, claims.ClaimGranted):
                return self._run_granted(wanted, claimed.ok_value, run_once)
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
        self,
        wanted: passthrough.ServiceCall,
        granted: claims.ClaimGranted,
        run_once: Run,
    ) -> passthrough.ServiceAnswer:
        try:
            answer = run_once(wanted)
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
        """Returns the first request's answer, or None if that was not run."""
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
                _duplicates_total.inc({"result": "answered"})
                return answer
            raise self._not_told("ran, but its answer is no longer kept")
        if met.state == "in-progress":
            raise self._not_told("is still running")
        raise self._not_told("has no known outcome and is not run again")

    def _not_told(self, what: str) -> errors.BackEndLostError:
        _duplicates_total.inc({"result": "unknown"})
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
        """Repeats the request at the router that ran it and keeps its answer.

        There the duplicate meets the finished claim, so nothing runs; the
        runner itself never passes it on.
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
            answer = service_exchange.read_whole(sent.ok_value)
        except errors.MulberryError:
            return None
        if dict(answer.headers).get("x-mulberry-outcome"):
            return None
        return answer

    def _time_left_s(self, wanted: passthrough.ServiceCall) -> float:
        return wanted.caller.deadline_s - self._clock.monotonic_s()


def _after_meeting(
    error: errors.RequestError, met_before: bool
) -> errors.RequestError:
    # This duplicate ran nothing, but the first request may have: "not-run"
    # would invite the caller to send it again with a new key.
    if met_before:
        error.outcome = "unknown"
    return error

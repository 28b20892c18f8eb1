"""At-most-once calls: a call with an idempotency key runs under a claim.

A duplicate request, at any router, finds the claim of the first request and
gets that request's answer instead of running again.
"""

import random
from collections.abc import Callable
from typing import Protocol

import gevent
from result import Err, Result

from mulberrywharf import _answer_bounds, clock, errors, fleet, metrics
from mulberrywharf.backend_servers import client
from mulberrywharf.callers import passthrough
from mulberrywharf.nodes import claims
from mulberrywharf.requests import (
    background_tasks,
    kept_answers,
    service_exchange,
)

_CLAIM_TIMEOUT_S = 4.0
_RUN_MARGIN_S = 5.0
_MIN_TIMEOUT_S = 0.05
_CLAIM_RETRY_LIMIT_S = 0.2

RunCall = Callable[[passthrough.ServiceCall], passthrough.ServiceAnswer]
"""Runs a call at a backend server; raises a ``RequestError`` if it fails."""

_duplicates_total = metrics.counter(
    "mulberry_duplicates_total",
    "Calls whose idempotency key an earlier call had claimed, by result.",
)


class Claims(Protocol):
    """The claim operations that calls use; see ``nodes.claim_client``."""

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
        """Claims the right to run the request."""
        ...

    def wait(
        self, customer: str, key: str, timeout_s: float
    ) -> Result[claims.ClaimMet, errors.ClaimUnavailableError]:
        """Waits until the request that holds the claim has ended."""
        ...

    def complete(
        self, granted: claims.ClaimGranted, status: int, answer: bytes
    ) -> Result[None, errors.ClaimUnavailableError]:
        """Records the answer of the run."""
        ...

    def release(
        self, granted: claims.ClaimGranted
    ) -> Result[None, errors.ClaimUnavailableError]:
        """Releases a claim under which nothing ran."""
        ...


class ClaimedCalls:
    """Runs calls under claims and answers duplicate calls."""

    def __init__(
        self,
        *,
        vm_id: str,
        backend: client.BackendClient,
        node_claims: Claims,
        background: background_tasks.InFlight,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._vm_id = vm_id
        self._backend = backend
        self._claims = node_claims
        self._background = background
        self._clock = system_clock
        self._rng = rng
        self._answers = kept_answers.AnswerStore()

    def run(
        self, call: passthrough.ServiceCall, key: str, run_once: RunCall
    ) -> passthrough.ServiceAnswer:
        """Runs the call, or returns the answer of an earlier call with its key.

        Args:
            call: The call.
            key: The idempotency key of the call.
            run_once: Runs the call at a backend server; used if the claim is
                granted.

        Raises:
            RequestError: The call failed; the error has its outcome.
        """
        found_earlier_claim = False
        while True:
            claimed = self._claim(call, key)
            if isinstance(claimed, Err):
                raise _adjust_outcome(claimed.err_value, found_earlier_claim)
            if isinstance(claimed.ok_value, claims.ClaimGranted):
                return self._run_granted(call, claimed.ok_value, run_once)
            found_earlier_claim = True
            answer = self._first_answer(call, key, claimed.ok_value)
            if answer is not None:
                return answer
            gevent.sleep(self._rng.uniform(0.0, _CLAIM_RETRY_LIMIT_S))

    def _claim(
        self, call: passthrough.ServiceCall, key: str
    ) -> Result[claims.ClaimGranted | claims.ClaimMet, errors.RequestError]:
        caller = call.caller
        left_s = self._time_left_s(call)
        if left_s <= 0:
            return Err(errors.DeadlineExceededError("the deadline has passed"))
        subject = f"{caller.method} {caller.target}\n".encode() + caller.body
        return self._claims.claim(
            caller.customer,
            key,
            claims.digest(subject),
            caller.request_id,
            run_bound_s=left_s + call.timeout_s + _RUN_MARGIN_S,
            timeout_s=min(_CLAIM_TIMEOUT_S, left_s),
        )

    def _run_granted(
        self,
        call: passthrough.ServiceCall,
        granted: claims.ClaimGranted,
        run_once: RunCall,
    ) -> passthrough.ServiceAnswer:
        try:
            answer = run_once(call)
        except errors.RequestError as error:
            if error.outcome == "not-run":
                self._background.spawn(self._claims.release, granted)
            raise
        encoded = kept_answers.encode(answer)
        self._answers.put(granted.claim_id, encoded)
        self._background.spawn(
            self._claims.complete, granted, answer.status, encoded
        )
        return answer

    def _first_answer(
        self,
        call: passthrough.ServiceCall,
        key: str,
        earlier_claim: claims.ClaimMet,
    ) -> passthrough.ServiceAnswer | None:
        """Returns the first request's answer, or None to claim again."""
        if earlier_claim.state == "in-progress":
            left_s = max(0.0, self._time_left_s(call))
            waited = self._claims.wait(call.caller.customer, key, left_s)
            if isinstance(waited, Err):
                # Either the claim was released because nothing ran, or the
                # owner of the claim's shard is unavailable. The next claim
                # shows which.
                return None
            earlier_claim = waited.ok_value
        if earlier_claim.state == "done":
            if not _answer_bounds.is_final_status(earlier_claim.status):
                raise self._unknown_outcome_error(
                    f"ran, but its answer is kept with the unknown status"
                    f" {earlier_claim.status:03}"
                )
            answer = self._stored_answer(call, key, earlier_claim)
            if answer is not None:
                _duplicates_total.inc({"result": "answered"})
                return answer
            raise self._unknown_outcome_error(
                "ran, but its answer is no longer kept"
            )
        if earlier_claim.state == "in-progress":
            raise self._unknown_outcome_error("is still running")
        raise self._unknown_outcome_error(
            "has no known outcome and is not run again"
        )

    def _unknown_outcome_error(self, what: str) -> errors.BackEndLostError:
        _duplicates_total.inc({"result": "unknown"})
        return errors.BackEndLostError(
            f"the first request with this idempotency key {what}",
            outcome="unknown",
            retry_after_s=1.0,
            advice="Retry with the same idempotency key; do not use a new one.",
        )

    def _stored_answer(
        self,
        call: passthrough.ServiceCall,
        key: str,
        earlier_claim: claims.ClaimMet,
    ) -> passthrough.ServiceAnswer | None:
        if earlier_claim.answer is not None:
            return kept_answers.decode(
                earlier_claim.status, earlier_claim.answer
            )
        if earlier_claim.runner_vm_id != self._vm_id:
            return self._fetch_from_runner(call, earlier_claim.runner_address)
        claim = claims.claim_id(call.caller.customer, key)
        encoded = self._answers.get(claim)
        if encoded is None:
            return None
        return kept_answers.decode(earlier_claim.status, encoded)

    def _fetch_from_runner(
        self, call: passthrough.ServiceCall, runner: fleet.Address
    ) -> passthrough.ServiceAnswer | None:
        """Sends the request again to the router that ran it and has its answer.

        That router finds the completed claim, so it runs nothing. It does not
        forward the request either, because it is the runner itself.
        """
        caller = call.caller
        request = client.ServiceRequest(
            caller.method,
            caller.target,
            dict(caller.fields),
            caller.body,
            caller.request_id,
            idempotent=True,
            timeout_s=max(_MIN_TIMEOUT_S, self._time_left_s(call)),
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

    def _time_left_s(self, call: passthrough.ServiceCall) -> float:
        return call.caller.deadline_s - self._clock.monotonic_s()


def _adjust_outcome(
    error: errors.RequestError, found_earlier_claim: bool
) -> errors.RequestError:
    # This duplicate did not run, but the first request may have run. The
    # outcome "not-run" would suggest a retry with a new key, which could run
    # the request twice.
    if found_earlier_claim:
        error.outcome = "unknown"
    return error

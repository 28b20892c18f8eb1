"""Runs one call to a plain service, from admission to its complete answer.

A call that is not idempotent is never retried once a byte of it was sent. With
an idempotency key it runs only under a confirmed claim; see ``claimed_call``.
"""

import random

import gevent
from result import Err, Ok, Result

from mulberrywharf import (
    _headers,
    clock,
    errors,
    fleet,
    metrics,
    server_limits,
)
from mulberrywharf.backend_servers import client, directory
from mulberrywharf.callers import passthrough
from mulberrywharf.crashes import crash_watch
from mulberrywharf.policy import (
    limit_waits,
    limits,
    outcome,
    request_limits,
    retry_budget,
)
from mulberrywharf.requests import (
    background_tasks,
    claimed_call,
    demand_rates,
    run_ids,
    service_exchange,
)

_MIN_TIMEOUT_S = 0.05
_SERVER_ERROR_STATUS = 500

_attempts_total = metrics.counter(
    "mulberry_service_attempts_total",
    "Attempts at backend servers, by service and result.",
)


class ServiceCallPipeline:
    """Runs calls to plain services."""

    def __init__(
        self,
        *,
        vm_id: str,
        servers: directory.ServiceDirectory,
        backend: client.BackendClient,
        node_claims: claimed_call.Claims,
        customer_limits: limits.CustomerLimits,
        retries: retry_budget.RetryBudget,
        rates: demand_rates.DemandRates,
        background: background_tasks.InFlight,
        crashes: crash_watch.CrashWatch,
        server_request_limits: server_limits.ServerLimits,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._servers = servers
        self._backend = backend
        self._limits = customer_limits
        self._retries = retries
        self._rates = rates
        self._crashes = crashes
        self._server_limits = server_request_limits
        self._clock = system_clock
        self._rng = rng
        self._claimed = claimed_call.ClaimedCalls(
            vm_id=vm_id,
            backend=backend,
            node_claims=node_claims,
            background=background,
            system_clock=system_clock,
            rng=rng,
        )

    def call(self, call: passthrough.ServiceCall) -> passthrough.ServiceAnswer:
        """Returns the complete answer.

        Raises:
            RequestError: The call failed; the error has its outcome.
        """
        self._crashes.check(call.caller)
        now_s = self._clock.monotonic_s()
        self._rates.count(call.caller.customer, "", now_s)
        taken = self._limits.take(call.caller.customer, 0.0, now_s)
        if isinstance(taken, Err):
            raise taken.err_value
        if self._time_left_s(call) <= 0:
            raise errors.DeadlineExceededError("the deadline has passed")
        self._retries.on_first_attempt(call.caller.customer, now_s)
        if call.idempotent or call.caller.idempotency_key is None:
            return self._run(call)
        return self._run_under_claim(call, call.caller.idempotency_key)

    def _time_left_s(self, call: passthrough.ServiceCall) -> float:
        return call.caller.deadline_s - self._clock.monotonic_s()

    def _run_under_claim(
        self, call: passthrough.ServiceCall, key: str
    ) -> passthrough.ServiceAnswer:
        return self._claimed.run(call, key, self._run)

    def _run(self, call: passthrough.ServiceCall) -> passthrough.ServiceAnswer:
        tried_ids: set[str] = set()
        outcome_so_far: errors.Outcome = "not-run"
        sent_request_id = run_ids.make(call.caller.request_id)
        while True:
            chosen = self._choose_server(call, frozenset(tried_ids))
            if isinstance(chosen, Err):
                raise _no_server_error(chosen.err_value, outcome_so_far)
            vm = chosen.ok_value
            tried_ids.add(vm.vm_id)
            attempted = self._attempt(call, vm, sent_request_id)
            if isinstance(attempted, Ok):
                return attempted.ok_value
            if self._crashes.is_blocked(call.caller):
                raise errors.BackEndLostError(
                    attempted.err_value.message, outcome="unknown"
                )
            progress = _progress(attempted.err_value)
            decision = self._retries.decide(
                retry_budget.FailedAttempt(
                    customer=call.caller.customer,
                    attempt_count=len(tried_ids),
                    progress=progress,
                    is_idempotent=call.idempotent,
                    time_left_s=self._time_left_s(call),
                    outcome=outcome_so_far,
                ),
                self._rng,
                self._clock.monotonic_s(),
            )
            if isinstance(decision, retry_budget.GiveUp):
                raise decision.error
            outcome_so_far = outcome.combine(
                outcome_so_far, attempted.err_value.outcome
            )
            gevent.sleep(decision.delay_s)

    def _choose_server(
        self, call: passthrough.ServiceCall, tried_ids: frozenset[str]
    ) -> Result[fleet.VmRecord, errors.RequestError]:
        """Chooses a server whose request limit permits the call.

        The call waits for a server's limit only if no other server is left.
        """
        waiting_ids: frozenset[str] = frozenset()
        for _ in self._servers.servers(call.service):
            waiting_ids = self._server_limits.waiting_ids()
            chosen = self._choose_within_limit(
                call, tried_ids | waiting_ids, max_wait_s=0.0
            )
            if isinstance(chosen, Ok):
                return chosen
            if waiting_ids == self._server_limits.waiting_ids():
                break
        return self._choose_within_limit(
            call,
            tried_ids,
            max_wait_s=limit_waits.longest_wait_s(self._time_left_s(call)),
        )

    def _choose_within_limit(
        self,
        call: passthrough.ServiceCall,
        excluded_ids: frozenset[str],
        max_wait_s: float,
    ) -> Result[fleet.VmRecord, errors.RequestError]:
        chosen = self._servers.choose(
            call.service, self._clock.monotonic_s(), excluded_ids
        )
        if isinstance(chosen, Err):
            return chosen
        server = fleet.server_of(chosen.ok_value)
        acquired = self._server_limits.acquire(server, max_wait_s)
        if isinstance(acquired, Ok):
            return chosen
        return Err(self._server_limits.overloaded([server]))

    def _note_limit(
        self, vm: fleet.VmRecord, answer: client.BackendAnswer
    ) -> None:
        values = [
            value
            for name, value in answer.headers
            if name == _headers.REQUEST_LIMIT
        ]
        self._server_limits.note_answer(
            fleet.ServerStart(vm.vm_id),
            request_limits.parse(values),
            may_end=answer.status < _SERVER_ERROR_STATUS,
        )

    def _attempt(
        self,
        call: passthrough.ServiceCall,
        vm: fleet.VmRecord,
        sent_request_id: str,
    ) -> Result[passthrough.ServiceAnswer, errors.EngineError]:
        caller = call.caller
        left_s = max(_MIN_TIMEOUT_S, self._time_left_s(call))
        request = client.ServiceRequest(
            caller.method,
            call.path,
            call.headers,
            caller.body,
            sent_request_id,
            idempotent=call.idempotent,
            timeout_s=min(call.timeout_s, left_s),
        )
        sent = self._backend.send(vm.address, request)
        if isinstance(sent, Err):
            return self._record_failure(call, vm, sent.err_value)
        self._note_limit(vm, sent.ok_value)
        try:
            answer = service_exchange.read_whole(sent.ok_value)
        except errors.EngineError as error:
            return self._record_failure(call, vm, error)
        self._servers.record_success(vm.vm_id)
        if answer.status < _SERVER_ERROR_STATUS:
            self._crashes.note_completed(call.caller)
        _attempts_total.inc({"service": call.service, "result": "answered"})
        return Ok(answer)

    def _record_failure(
        self,
        call: passthrough.ServiceCall,
        vm: fleet.VmRecord,
        error: errors.EngineError,
    ) -> Err[errors.EngineError]:
        self._servers.record_failure(vm.vm_id, self._clock.monotonic_s())
        run = crash_watch.RequestRun(
            call.caller, fleet.ServerStart(vm.vm_id), vm.address
        )
        self._crashes.note_failed(run, error)
        _attempts_total.inc({"service": call.service, "result": error.code})
        return Err(error)


def _no_server_error(
    error: errors.RequestError, outcome_so_far: errors.Outcome
) -> errors.RequestError:
    # The service is configured, so a list without a server for it is a
    # temporary condition and not a mistake of the caller.
    if isinstance(error, errors.UnknownTargetError):
        error = errors.OverloadedError(
            "no server of the service is known now", retry_after_s=1.0
        )
    error.outcome = outcome_so_far
    return error


def _progress(error: errors.EngineError) -> outcome.Progress:
    # The answer is read completely before any of it is forwarded. A call whose
    # answer broke off is therefore treated like one without any answer.
    return "nothing-sent" if error.outcome == "not-run" else "sent"

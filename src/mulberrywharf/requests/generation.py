"""Runs one generation, from its admission to the last token of its answer.

A generation passes the customer's limit, gets a slot at an engine and streams
its tokens. If the engine is lost, it gets another slot, and the rest of the
answer is generated there. The ``policy`` package makes the decisions.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import (
    _answers,
    _headers,
    clock,
    errors,
    fleet,
    metrics,
    server_limits,
    settings,
)
from mulberrywharf.callers import request
from mulberrywharf.crashes import crash_watch
from mulberrywharf.engines import handover, load_reader, resume, streams
from mulberrywharf.policy import (
    engine_choice,
    limit_waits,
    limits,
    prefix_index,
    request_limits,
    retry_budget,
)
from mulberrywharf.requests import (
    answer_pace,
    demand_rates,
    output_lengths,
    places,
    run_ids,
    standing,
)

_DEFAULT_IDLE_TIMEOUT_S = 10.0
_LIMIT_TRIES_COUNT = 3
_OK_STATUS = 200

_attempts_failed_total = metrics.counter(
    "mulberry_engine_attempts_failed_total",
    "Attempts at engines that failed, by what happened.",
)
_first_token_seconds_total = metrics.counter(
    "mulberry_first_token_seconds_total",
    "Sum of the times to the first token, from the arrival of the request.",
)
_first_tokens_total = metrics.counter(
    "mulberry_first_tokens_total", "Answers whose first token was delivered."
)
_tokens_total = metrics.counter(
    "mulberry_tokens_total", "Tokens passed on to callers, by model."
)


class EngineTimeouts(NamedTuple):
    """Timeouts of exchanges with engines.

    Attributes:
        connect_s: Timeout of a new connection.
        idle_s: Time without data after which a stream counts as broken.
    """

    connect_s: float = streams.DEFAULT_CONNECT_TIMEOUT_S
    idle_s: float = _DEFAULT_IDLE_TIMEOUT_S

    @classmethod
    def from_config(
        cls, config: settings.EnginesSettings | None
    ) -> "EngineTimeouts":
        """Reads the ``engines`` section of the settings."""
        engines: Any = config or {}
        return cls(
            engines.get("connect_timeout_s", cls().connect_s),
            engines.get("idle_timeout_s", cls().idle_s),
        )


class GenerationPipeline:
    """Runs generations."""

    def __init__(
        self,
        *,
        reader: load_reader.LoadReader,
        engine_places: places.EnginePlaces,
        customer_limits: limits.CustomerLimits,
        retries: retry_budget.RetryBudget,
        rates: demand_rates.DemandRates,
        crashes: crash_watch.CrashWatch,
        engine_limits: server_limits.ServerLimits,
        standings: Callable[[], standing.Standings],
        availability_zone: str,
        timeouts: EngineTimeouts,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._reader = reader
        self._places = engine_places
        self._limits = customer_limits
        self._retries = retries
        self._rates = rates
        self._crashes = crashes
        self._engine_limits = engine_limits
        self._standings = standings
        self._availability_zone = availability_zone
        self._timeouts = timeouts
        self._clock = system_clock
        self._rng = rng
        self._lengths = output_lengths.OutputLengths()

    def generate(
        self, completion: request.CompletionRequest
    ) -> Iterator[streams.TokenBatch]:
        """Yields the answer's tokens; the last batch marks it as complete.

        Raises:
            RequestError: The request was refused, or its answer cannot be
                completed.
        """
        self._crashes.check(completion.caller)
        now_s = self._clock.monotonic_s()
        slot_request = self._slot_request(completion)
        self._rates.count(slot_request.customer, completion.model, now_s)
        expected_tokens = (
            completion.prompt_tokens + slot_request.shape.expected_output_tokens
        )
        taken = self._limits.take(slot_request.customer, expected_tokens, now_s)
        if isinstance(taken, Err):
            raise taken.err_value
        self._retries.on_first_attempt(slot_request.customer, now_s)
        attempts = _Attempts(
            completion,
            slot_request,
            self._reader,
            self._places,
            self._crashes,
            self._engine_limits,
        )
        answer = self._make_stream(completion, slot_request, attempts)
        try:
            yield from self._record_timing(
                answer, attempts, completion.model, now_s
            )
            self._crashes.note_completed(completion.caller)
            self._lengths.record(completion.model, answer.delivered_count)
        finally:
            attempts.close()
            used_tokens = completion.prompt_tokens + answer.delivered_count
            self._limits.settle(
                slot_request.customer, expected_tokens, used_tokens
            )
            _tokens_total.add(
                {"model": completion.model}, answer.delivered_count
            )

    def _slot_request(
        self, completion: request.CompletionRequest
    ) -> places.SlotRequest:
        caller = completion.caller
        standings = self._standings()
        customer_priority = standings.of(caller.customer)
        # A caller may lower the customer's priority for a request (a higher
        # number), but not raise it.
        priority = max(customer_priority.priority, caller.priority or 0)
        shape = engine_choice.RequestShape(
            model=completion.model,
            adapter=completion.adapter,
            prompt_tokens=completion.prompt_tokens,
            expected_output_tokens=self._lengths.expected(
                completion.model, completion.max_tokens
            ),
            prompt_block_hashes=prefix_index.prompt_block_hashes(
                completion.prompt
            ),
            priority=priority,
            availability_zone=self._availability_zone,
        )
        return places.SlotRequest(
            shape=shape,
            customer=caller.customer,
            weight=customer_priority.weight,
            deadline_s=caller.deadline_s,
            first_token_target_s=standings.first_token_target_s,
            between_tokens_target_s=standings.between_tokens_target_s,
            prefer_zone=standings.prefer_zone,
        )

    def _make_stream(
        self,
        completion: request.CompletionRequest,
        slot_request: places.SlotRequest,
        attempts: "_Attempts",
    ) -> resume.ResumingStream:
        def decide(
            failed: resume.AttemptFailure,
        ) -> retry_budget.Retry | retry_budget.GiveUp:
            return self._decide(completion, slot_request, failed)

        return resume.ResumingStream(
            attempts.generation,
            choose_engine=attempts.choose_engine,
            decide=decide,
            tracker=attempts,
            prepare=attempts.prepare,
            hooks_of=attempts.hooks_of,
            idle_timeout_s=self._timeouts.idle_s,
            connect_timeout_s=self._timeouts.connect_s,
        )

    def _record_timing(
        self,
        answer: resume.ResumingStream,
        attempts: "_Attempts",
        model: str,
        began_s: float,
    ) -> Iterator[streams.TokenBatch]:
        is_first = True
        for batch in answer.batches():
            now_s = self._clock.monotonic_s()
            attempts.on_tokens(len(batch.tokens), now_s)
            if is_first:
                is_first = False
                attempts.on_first_token(now_s)
                _first_token_seconds_total.add(
                    {"model": model}, now_s - began_s
                )
                _first_tokens_total.inc({"model": model})
            yield batch
            attempts.on_delivered(now_s, self._clock.monotonic_s())

    def _decide(
        self,
        completion: request.CompletionRequest,
        slot_request: places.SlotRequest,
        failed: resume.AttemptFailure,
    ) -> retry_budget.Retry | retry_budget.GiveUp:
        _attempts_failed_total.inc({"reason": failed.error.code})
        if failed.progress == "refused":
            self._places.on_refused(failed.engine_id)
        view = self._reader.view(failed.engine_id)
        if view is not None:
            _report_possible_crash(
                self._crashes,
                completion,
                view.vm,
                failed.error,
                made_output=failed.made_output,
            )
        if self._crashes.is_blocked(completion.caller):
            return retry_budget.GiveUp(
                errors.BackEndLostError(failed.error.message, outcome="unknown")
            )
        now_s = self._clock.monotonic_s()
        return self._retries.decide(
            retry_budget.FailedAttempt(
                customer=slot_request.customer,
                attempt_count=failed.attempt_count,
                progress=failed.progress,
                # A generation has no side effects unless the caller says so.
                is_idempotent=completion.caller.idempotent is not False,
                time_left_s=slot_request.deadline_s - now_s,
                outcome=failed.outcome,
                # The failed engine's Retry-After is left out because the next
                # attempt goes to another engine.
            ),
            self._rng,
            now_s,
        )


class _Attempts:
    """The attempts of one generation, each with its slot at an engine.

    ``ResumingStream`` gets its engines from this class and reports the begin
    and end of each attempt to it. The slot at the decode engine is held from
    the choice of the engine on, so it also covers the KV cache transfer.
    """

    def __init__(
        self,
        completion: request.CompletionRequest,
        slot_request: places.SlotRequest,
        reader: load_reader.LoadReader,
        engine_places: places.EnginePlaces,
        crashes: crash_watch.CrashWatch,
        engine_limits: server_limits.ServerLimits,
    ):
        self._completion = completion
        self._crashes = crashes
        self._engine_limits = engine_limits
        self.generation = resume.Generation(
            completion.caller.path,
            _engine_body(completion),
            run_ids.make(completion.caller.request_id),
            completion.prompt_tokens,
            slot_request.shape.priority,
        )
        self._slot_request = slot_request
        self._reader = reader
        self._places = engine_places
        self._slot: places.EngineSlot | None = None
        self._sent_s = 0.0
        self._has_token = False
        self._pace = answer_pace.AnswerPace()

    def close(self) -> None:
        """Releases a slot that was allocated but not used."""
        if self._slot is not None:
            self._slot.release(failed=False)
            self._slot = None

    def choose_engine(
        self, excluded_engine_ids: frozenset[str]
    ) -> Result[fleet.EngineView, errors.RequestError]:
        """Allocates a slot and returns its decode engine.

        The request waits for an engine's request limit only if no other engine
        can run it.
        """
        waiting_ids: frozenset[str] = frozenset()
        for _ in range(_LIMIT_TRIES_COUNT):
            waiting_ids = self._engine_limits.waiting_ids()
            chosen = self._choose_within_limit(
                excluded_engine_ids | waiting_ids, max_wait_s=0.0
            )
            if isinstance(chosen, Ok):
                return chosen
            if waiting_ids == self._engine_limits.waiting_ids():
                break
        if not self._engine_limits.is_any_in_force:
            return chosen
        left_s = self._slot_request.deadline_s - self._places.now_s()
        return self._choose_within_limit(
            excluded_engine_ids, limit_waits.longest_wait_s(left_s)
        )

    def _choose_within_limit(
        self, excluded_engine_ids: frozenset[str], max_wait_s: float
    ) -> Result[fleet.EngineView, errors.RequestError]:
        """Chooses an engine whose request limit permits the request."""
        chosen = self._allocate_slot(excluded_engine_ids)
        if isinstance(chosen, Err):
            return chosen
        server = fleet.server_of(chosen.ok_value.vm)
        acquired = self._engine_limits.acquire(server, max_wait_s)
        if isinstance(acquired, Ok):
            return chosen
        self.close()
        return Err(self._engine_limits.overloaded([server]))

    def _allocate_slot(
        self, excluded_engine_ids: frozenset[str]
    ) -> Result[fleet.EngineView, errors.RequestError]:
        self.close()
        try:
            if self._has_token:
                slot = self._places.acquire_for_resume(
                    self._slot_request, excluded_engine_ids
                )
            else:
                slot = self._places.acquire(
                    self._slot_request, excluded_engine_ids
                )
        except errors.RequestError as error:
            return Err(error)
        self._slot = slot
        view = self._reader.view(slot.choice.decode.vm_id)
        if view is None:
            return Err(
                errors.NoEngineError("the chosen engine has just been removed")
            )
        return Ok(view)

    def prepare(self, view: fleet.EngineView) -> resume.PreparedRequest:
        """Has the chosen prefill engine prefill the prompt, if there is one.

        There is one if the slot has different engines for prefill and decode.
        """
        slot = self._slot
        if slot is None or not slot.choice.is_split:
            return resume.PreparedRequest(
                self.generation.body, self.generation.prompt_tokens
            )
        prefill_vm = slot.choice.prefill
        if self._engine_limits.acquire(fleet.server_of(prefill_vm)).is_err():
            # The decode engine prefills the prompt itself.
            return resume.PreparedRequest(
                self.generation.body, self.generation.prompt_tokens
            )
        return handover.prepare(
            prefill_vm,
            self.generation,
            self._reader,
            on_failed=lambda error: _report_possible_crash(
                self._crashes,
                self._completion,
                prefill_vm,
                error,
                made_output=False,
            ),
            on_head=lambda answer: self._note_limit(prefill_vm, answer),
        )

    def hooks_of(self, view: fleet.EngineView) -> streams.StreamHooks:
        """Returns the hooks that keep an engine's request limit."""
        server = fleet.server_of(view.vm)
        return streams.StreamHooks(
            on_head=lambda answer: self._note_limit(view.vm, answer),
            may_cancel=lambda: self._engine_limits.acquire(server).is_ok(),
        )

    def _note_limit(self, vm: fleet.VmRecord, answer: _answers.Answer) -> None:
        self._engine_limits.note_answer(
            fleet.ServerStart(vm.vm_id),
            request_limits.parse(answer.header_values(_headers.REQUEST_LIMIT)),
            may_end=answer.status_code == _OK_STATUS,
        )

    def request_started(self, engine_id: str, prompt_tokens: int) -> None:
        """Records the time at which the request is sent to the engine."""
        self._sent_s = self._places.now_s()
        self._pace = answer_pace.AnswerPace()

    def request_finished(self, engine_id: str, failed: bool) -> None:
        """Reports the pace of the attempt and releases its slot."""
        if self._slot is not None:
            self._report_pace(self._pace.finish())
            self._slot.release(failed=failed)
            self._slot = None

    def on_tokens(self, count: int, now_s: float) -> None:
        """Records that tokens arrived from the engine."""
        self._report_pace(self._pace.on_tokens(count, now_s))

    def on_delivered(self, arrived_s: float, now_s: float) -> None:
        """Records that the caller accepted the tokens that had arrived."""
        self._pace.on_delivered(arrived_s, now_s)

    def _report_pace(self, between_tokens_s: float | None) -> None:
        if self._slot is not None and between_tokens_s is not None:
            self._slot.on_pace(between_tokens_s)

    def on_first_token(self, now_s: float) -> None:
        """Reports the time to the first token to the slot."""
        self._has_token = True
        if self._slot is not None:
            self._slot.on_first_token(now_s - self._sent_s)


def _report_possible_crash(
    crashes: crash_watch.CrashWatch,
    completion: request.CompletionRequest,
    vm: fleet.VmRecord,
    error: errors.EngineError,
    *,
    made_output: bool,
) -> None:
    """Reports a failed attempt that may have been caused by a crash."""
    start = fleet.ServerStart(vm.vm_id)
    run = crash_watch.RequestRun(completion.caller, start, vm.address)
    crashes.note_failed(run, error, made_output=made_output)


def _engine_body(completion: request.CompletionRequest) -> dict[str, Any]:
    body = dict(completion.body)
    body["model"] = completion.model
    if completion.adapter:
        body["adapter"] = completion.adapter
    return body

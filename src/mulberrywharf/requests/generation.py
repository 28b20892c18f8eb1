"""One generation, from its admission to the last token of its answer.

The path is straight: the customer's limit, a place at an engine, the stream,
and, when the engine is lost, another place and the rest of the answer. What
is decided on the way is decided by ``policy``.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from result import Err, Ok, Result

from mulberrywharf import (
    clock,
    crash_watch,
    errors,
    fleet,
    metrics,
    settings,
)
from mulberrywharf.callers import request
from mulberrywharf.engines import handover, loads, resume, streams
from mulberrywharf.policy import (
    engine_choice,
    limits,
    prefix_index,
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
    """Bounds of the exchanges with engines.

    Attributes:
        connect_s: For a new connection.
        idle_s: Silence after which a stream counts as broken.
    """

    connect_s: float = streams.DEFAULT_CONNECT_TIMEOUT_S
    idle_s: float = _DEFAULT_IDLE_TIMEOUT_S

    @classmethod
    def from_config(
        cls, config: settings.EnginesSettings | None
    ) -> "EngineTimeouts":
        """Reads the ``engines`` part of the settings."""
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
        reader: loads.LoadReader,
        engine_places: places.EnginePlaces,
        customer_limits: limits.CustomerLimits,
        retries: retry_budget.RetryBudget,
        rates: demand_rates.DemandRates,
        crashes: crash_watch.CrashWatch,
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
        self._standings = standings
        self._availability_zone = availability_zone
        self._timeouts = timeouts
        self._clock = system_clock
        self._rng = rng
        self._lengths = output_lengths.OutputLengths()

    def generate(
        self, wanted: request.CompletionRequest
    ) -> Iterator[streams.TokenBatch]:
        """Yields the answer; the last batch says that it is whole.

        Raises:
            RequestError: The answer is refused or cannot be made whole.
        """
        self._crashes.check(wanted.caller)
        now_s = self._clock.monotonic_s()
        ask = self._ask(wanted)
        self._rates.count(ask.customer, wanted.model, now_s)
        expected_tokens = (
            wanted.prompt_tokens + ask.shape.expected_output_tokens
        )
        taken = self._limits.take(ask.customer, expected_tokens, now_s)
        if isinstance(taken, Err):
            raise taken.err_value
        self._retries.on_first_attempt(ask.customer, now_s)
        attempts = _Attempts(
            wanted, ask, self._reader, self._places, self._crashes
        )
        answer = self._answer(wanted, ask, attempts)
        try:
            yield from self._timed(answer, attempts, wanted.model, now_s)
            self._crashes.ended_whole(wanted.caller)
            self._lengths.learn(wanted.model, answer.delivered_count)
        finally:
            attempts.close()
            used_tokens = wanted.prompt_tokens + answer.delivered_count
            self._limits.settle(ask.customer, expected_tokens, used_tokens)
            _tokens_total.add({"model": wanted.model}, answer.delivered_count)

    def _ask(self, wanted: request.CompletionRequest) -> places.Ask:
        caller = wanted.caller
        standings = self._standings()
        own = standings.of(caller.customer)
        # A caller may step back behind its customer's standing, not ahead.
        priority = max(own.priority, caller.priority or 0)
        shape = engine_choice.RequestShape(
            model=wanted.model,
            adapter=wanted.adapter,
            prompt_tokens=wanted.prompt_tokens,
            expected_output_tokens=self._lengths.expected(
                wanted.model, wanted.max_tokens
            ),
            prompt_block_hashes=prefix_index.prompt_block_hashes(wanted.prompt),
            priority=priority,
            availability_zone=self._availability_zone,
        )
        return places.Ask(
            shape=shape,
            customer=caller.customer,
            weight=own.weight,
            deadline_s=caller.deadline_s,
            first_token_target_s=standings.first_token_target_s,
            between_tokens_target_s=standings.between_tokens_target_s,
            prefer_zone=standings.prefer_zone,
        )

    def _answer(
        self,
        wanted: request.CompletionRequest,
        ask: places.Ask,
        attempts: "_Attempts",
    ) -> resume.ResumingStream:
        def decide(
            failed: resume.FailedTry,
        ) -> retry_budget.Retry | retry_budget.GiveUp:
            return self._decide(wanted, ask, failed)

        return resume.ResumingStream(
            attempts.generation,
            next_engine=attempts.next_engine,
            decide=decide,
            books=attempts,
            prepare=attempts.prepare,
            idle_timeout_s=self._timeouts.idle_s,
            connect_timeout_s=self._timeouts.connect_s,
        )

    def _timed(
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
            attempts.on_passed_on(now_s, self._clock.monotonic_s())

    def _decide(
        self,
        wanted: request.CompletionRequest,
        ask: places.Ask,
        failed: resume.FailedTry,
    ) -> retry_budget.Retry | retry_budget.GiveUp:
        _attempts_failed_total.inc({"reason": failed.error.code})
        if failed.progress == "refused":
            self._places.on_refused(failed.engine_id)
        view = self._reader.view(failed.engine_id)
        if view is not None:
            _note_end(
                self._crashes,
                wanted,
                view.vm,
                failed.error,
                made_output=failed.made_output,
            )
        if self._crashes.is_blocked(wanted.caller):
            return retry_budget.GiveUp(
                errors.BackEndLostError(failed.error.message, outcome="unknown")
            )
        now_s = self._clock.monotonic_s()
        return self._retries.decide(
            retry_budget.FailedAttempt(
                customer=ask.customer,
                attempt_count=failed.attempt_count,
                progress=failed.progress,
                # A generation has no effect beyond its answer, unless the
                # caller says otherwise.
                is_idempotent=wanted.caller.idempotent is not False,
                time_left_s=ask.deadline_s - now_s,
                outcome=failed.outcome,
                # Not the failed engine's Retry-After: the next attempt goes
                # to another engine.
            ),
            self._rng,
            now_s,
        )


class _Attempts:
    """The places of one generation, one after the other.

    It is what ``ResumingStream`` asks for engines and tells of begin and end;
    the place at the decoding engine is held from its choice on, so that the
    time of a KV handover counts.
    """

    def __init__(
        self,
        wanted: request.CompletionRequest,
        ask: places.Ask,
        reader: loads.LoadReader,
        engine_places: places.EnginePlaces,
        crashes: crash_watch.CrashWatch,
    ):
        self._wanted = wanted
        self._crashes = crashes
        self.generation = resume.Generation(
            wanted.caller.path,
            _engine_body(wanted),
            run_ids.make(wanted.caller.request_id),
            wanted.prompt_tokens,
            ask.shape.priority,
        )
        self._ask = ask
        self._reader = reader
        self._places = engine_places
        self._place: places.Place | None = None
        self._sent_s = 0.0
        self._has_token = False
        self._pace = answer_pace.AnswerPace()

    def close(self) -> None:
        """Gives back a place that was taken and not used."""
        if self._place is not None:
            self._place.release(failed=False)
            self._place = None

    def next_engine(
        self, excluded_engine_ids: frozenset[str]
    ) -> Result[fleet.EngineView, errors.RequestError]:
        """Takes a place and returns its decoding engine."""
        self.close()
        try:
            if self._has_token:
                place = self._places.take_for_resume(
                    self._ask, excluded_engine_ids
                )
            else:
                place = self._places.take(self._ask, excluded_engine_ids)
        except errors.RequestError as error:
            return Err(error)
        self._place = place
        view = self._reader.view(place.choice.decode.vm_id)
        if view is None:
            return Err(errors.NoEngineError("the engine left just now"))
        return Ok(view)

    def prepare(self, view: fleet.EngineView) -> resume.Prepared:
        """Has the prompt prefilled elsewhere if the place says so."""
        place = self._place
        if place is None or not place.choice.is_split:
            return resume.Prepared(
                self.generation.body, self.generation.prompt_tokens
            )
        reader = place.choice.prefill
        return handover.prepare(
            reader,
            self.generation,
            self._reader,
            on_failed=lambda error: _note_end(
                self._crashes, self._wanted, reader, error, made_output=False
            ),
        )

    def begin(self, engine_id: str, prompt_tokens: int) -> None:
        """Notes when the request goes to the engine of the place."""
        self._sent_s = self._places.now_s()
        self._pace = answer_pace.AnswerPace()

    def end(self, engine_id: str, failed: bool) -> None:
        """Gives the place back."""
        if self._place is not None:
            self._tell_pace(self._pace.at_end())
            self._place.release(failed=failed)
            self._place = None

    def on_tokens(self, count: int, now_s: float) -> None:
        """Notes that tokens arrived."""
        self._tell_pace(self._pace.on_tokens(count, now_s))

    def on_passed_on(self, arrived_s: float, now_s: float) -> None:
        """Notes that the caller took what had arrived."""
        self._pace.on_passed_on(arrived_s, now_s)

    def _tell_pace(self, between_tokens_s: float | None) -> None:
        if self._place is not None and between_tokens_s is not None:
            self._place.on_pace(between_tokens_s)

    def on_first_token(self, now_s: float) -> None:
        """Tells the place how long the first token took."""
        self._has_token = True
        if self._place is not None:
            self._place.on_first_token(now_s - self._sent_s)


def _note_end(
    crashes: crash_watch.CrashWatch,
    wanted: request.CompletionRequest,
    vm: fleet.VmRecord,
    error: errors.EngineError,
    *,
    made_output: bool,
) -> None:
    """Notes that an engine broke off, if it may be its end."""
    if crash_watch.may_be_crash(error):
        start = fleet.ServerStart(vm.vm_id)
        run = crash_watch.Run(wanted.caller, start, vm.address)
        crashes.broke_off(run, made_output=made_output)


def _engine_body(wanted: request.CompletionRequest) -> dict[str, Any]:
    body = dict(wanted.body)
    body["model"] = wanted.model
    if wanted.adapter:
        body["adapter"] = wanted.adapter
    return body

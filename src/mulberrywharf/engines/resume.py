"""Streams one answer and resumes it at another engine after a failure.

Tokens are passed on as they arrive. If an engine fails, another one resumes
after the tokens already delivered. The caller gets one answer without missing,
repeated or changed tokens, or an error.
"""

import json
from collections.abc import Callable, Iterator
from functools import singledispatch
from typing import Any, NamedTuple, Protocol

import gevent
from loguru import logger
from result import Err, Result

from mulberrywharf import errors, fleet, metrics
from mulberrywharf.engines import streams
from mulberrywharf.policy import outcome, retry_budget

_BAD_REQUEST_STATUSES = frozenset((400, 413, 422))
_EXTENSION_KEY = "mulberry"

_resumes = metrics.counter(
    "mulberry_resumes_total",
    "Answers that were resumed at another engine after their first token.",
)


class Generation(NamedTuple):
    """A generation requested by a caller.

    Attributes:
        path: ``/v1/completions`` or ``/v1/chat/completions``.
        body: The OpenAI request; ``ResumingStream`` sets ``stream``.
        request_id: Unique id, by which engines also cancel the request.
        prompt_tokens: Length of the prompt in tokens.
        priority: 0 (highest) to 9.
    """

    path: str
    body: dict[str, Any]
    request_id: str
    prompt_tokens: int
    priority: int = 5


class AttemptFailure(NamedTuple):
    """A failed attempt, described for the retry decision.

    Attributes:
        engine_id: The engine at which it failed.
        attempt_count: Attempts made so far, at least 1.
        progress: How far the request went.
        outcome: Combined outcome of all earlier attempts.
        retry_after_s: Delay that the engine requested in seconds, or 0.
        error: The cause of the failure.
        made_output: Whether the engine delivered a token in this attempt.
    """

    engine_id: str
    attempt_count: int
    progress: outcome.Progress
    outcome: errors.Outcome
    retry_after_s: float
    error: errors.EngineError
    made_output: bool = False


class PreparedRequest(NamedTuple):
    """The request that an attempt sends to the engine.

    Attributes:
        body: The request body, which may name a source of the KV cache.
        prompt_tokens: Prompt tokens that the engine itself has to prefill.
    """

    body: dict[str, Any]
    prompt_tokens: int


class RequestTracker(Protocol):
    """Counts requests at engines, as ``load_reader.LoadReader`` does."""

    def request_started(self, engine_id: str, prompt_tokens: int) -> None:
        """Records that a request is sent to an engine."""
        ...

    def request_finished(self, engine_id: str, failed: bool) -> None:
        """Records that the request at the engine ended."""
        ...


ChooseEngine = Callable[
    [frozenset[str]], Result[fleet.EngineView, errors.RequestError]
]
"""Chooses an engine, excluding the given engine ids."""

DecideRetry = Callable[
    [AttemptFailure], retry_budget.Retry | retry_budget.GiveUp
]
"""Decides whether to retry after a failed attempt."""

Prepare = Callable[[fleet.EngineView], PreparedRequest]
"""Prepares an attempt before the first token, such as by a KV handover."""


@singledispatch
def progress_of(
    error: errors.EngineError, delivered_count: int
) -> outcome.Progress:
    """Returns how far a failed attempt went.

    Args:
        error: The cause of the failure.
        delivered_count: Number of tokens delivered to the caller.
    """
    return "answer-began" if delivered_count else "sent"


@progress_of.register
def _(
    error: errors.EngineUnreachableError, delivered_count: int
) -> outcome.Progress:
    return "nothing-sent"


@progress_of.register
def _(
    error: errors.EngineRefusedError, delivered_count: int
) -> outcome.Progress:
    return "refused"


class ResumingStream:
    """The answer to one generation, resumed at other engines on failure."""

    def __init__(
        self,
        generation: Generation,
        *,
        choose_engine: ChooseEngine,
        decide: DecideRetry,
        tracker: RequestTracker,
        prepare: Prepare | None = None,
        hooks_of: Callable[
            [fleet.EngineView], streams.StreamHooks
        ] = lambda _: streams.StreamHooks(),
        idle_timeout_s: float = streams.DEFAULT_IDLE_TIMEOUT_S,
        connect_timeout_s: float = streams.DEFAULT_CONNECT_TIMEOUT_S,
    ):
        """Creates the answer; the first attempt starts when it is read.

        Args:
            generation: The generation to run.
            choose_engine: Chooses the engine for each attempt.
            decide: Decides after a failed attempt whether the retry budget
                allows another one.
            tracker: Notified when each attempt begins and ends.
            prepare: Prepares each attempt until a token was delivered.
            hooks_of: Returns the hooks for an exchange with an engine.
            idle_timeout_s: Time without data after which an engine counts as
                failed, in seconds.
            connect_timeout_s: Timeout of a connect to an engine, in seconds.
        """
        self._generation = generation
        self._next_engine = choose_engine
        self._decide = decide
        self._tracker = tracker
        self._prepare = prepare
        self._hooks_of = hooks_of
        self._idle_timeout_s = idle_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._token_texts: list[str] = []
        self._has_finish_reason = False
        self._attempt_count = 0
        self._delivered_before_count = 0
        self._outcome: errors.Outcome = "not-run"
        self._failed_engine_ids: frozenset[str] = frozenset()
        self._version: str | None = None

    @property
    def delivered_count(self) -> int:
        """Number of tokens delivered so far."""
        return len(self._token_texts)

    @property
    def attempt_count(self) -> int:
        """Number of attempts so far."""
        return self._attempt_count

    def batches(self) -> Iterator[streams.TokenBatch]:
        """Yields the answer; closing the iterator cancels it.

        Raises:
            RequestError: The answer cannot be completed. The error's outcome is
                ``not-run`` only if no engine can have started the request.
        """
        while True:
            view = self._choose_engine()
            self._attempt_count += 1
            self._delivered_before_count = len(self._token_texts)
            try:
                yield from self._run_attempt(view)
                return
            except errors.EngineError as error:
                failure = error
            if self._has_finish_reason:
                # The caller has every token and the finish reason; only
                # ``[DONE]`` was lost.
                yield streams.TokenBatch((), True)
                return
            self._handle_failure(view.vm.vm_id, failure)

    def _choose_engine(self) -> fleet.EngineView:
        chosen = self._choose_excluding(self._failed_engine_ids)
        if isinstance(chosen, Err) and self._failed_engine_ids:
            # A failed engine may be the only one and may work again. The retry
            # budget limits the number of attempts.
            self._failed_engine_ids = frozenset()
            chosen = self._choose_excluding(self._failed_engine_ids)
        if isinstance(chosen, Err):
            error = chosen.err_value
            error.outcome = outcome.combine(self._outcome, error.outcome)
            raise error
        return chosen.ok_value

    def _choose_excluding(
        self, excluded: frozenset[str]
    ) -> Result[fleet.EngineView, errors.RequestError]:
        while True:
            chosen = self._next_engine(excluded)
            if isinstance(chosen, Err) or self._can_resume_at(chosen.ok_value):
                return chosen
            engine_id = chosen.ok_value.vm.vm_id
            if engine_id in excluded:
                message = (
                    f"no engine with model version {self._version!r} is left"
                )
                return Err(errors.NoEngineError(message))
            excluded |= {engine_id}

    def _can_resume_at(self, view: fleet.EngineView) -> bool:
        # Another model version would continue with different tokens; no single
        # version would produce the resulting answer.
        if (
            not self._token_texts
            or self._version is None
            or view.report is None
        ):
            return True
        return view.report.version == self._version

    def _run_attempt(
        self, view: fleet.EngineView
    ) -> Iterator[streams.TokenBatch]:
        engine_id = view.vm.vm_id
        prepared = self._build_attempt(view)
        if not self._token_texts:
            self._version = view.report.version if view.report else None
        failed = False
        self._tracker.request_started(engine_id, prepared.prompt_tokens)
        try:
            yield from self._stream_from(view, prepared.body)
        except errors.EngineError as error:
            failed = not _is_bad_request(error)
            raise
        finally:
            self._tracker.request_finished(engine_id, failed)

    def _stream_from(
        self, view: fleet.EngineView, body: dict[str, Any]
    ) -> Iterator[streams.TokenBatch]:
        opened = streams.EngineStream.open(
            view.vm.address,
            self._generation.path,
            json.dumps(body).encode(),
            self._generation.request_id,
            first_index=len(self._token_texts),
            connect_timeout_s=self._connect_timeout_s,
            idle_timeout_s=self._idle_timeout_s,
            hooks=self._hooks_of(view),
        )
        if isinstance(opened, Err):
            raise opened.err_value
        stream = opened.ok_value
        try:
            for batch in stream.batches():
                yield self._record_batch(batch)
        finally:
            stream.close()

    def _record_batch(self, batch: streams.TokenBatch) -> streams.TokenBatch:
        self._token_texts += [token.text for token in batch.tokens]
        if not batch.tokens or batch.tokens[-1].finish_reason is None:
            return batch
        self._has_finish_reason = True
        if self._attempt_count == 1:
            return batch
        last = self._with_total_usage(batch.tokens[-1])
        return streams.TokenBatch((*batch.tokens[:-1], last), batch.is_last)

    def _with_total_usage(self, last: streams.Token) -> streams.Token:
        """Adds the tokens of earlier engines to the usage."""
        answer_tokens = sum(1 for text in self._token_texts if text)
        usage = last.usage
        if usage is None or usage.completion_tokens >= answer_tokens:
            return last
        total = usage._replace(completion_tokens=answer_tokens)
        document = json.loads(last.raw.removeprefix(b"data: "))
        document["usage"] |= total._asdict()
        raw = b"data: " + json.dumps(document).encode() + b"\n\n"
        return last._replace(usage=total, raw=raw)

    def _build_attempt(self, view: fleet.EngineView) -> PreparedRequest:
        generation = self._generation
        prepared = PreparedRequest(generation.body, generation.prompt_tokens)
        if self._prepare is not None and not self._token_texts:
            prepared = self._prepare(view)
        body = dict(prepared.body)
        body["stream"] = True
        extension = dict(body.get(_EXTENSION_KEY) or {})
        extension["priority"] = generation.priority
        if self._token_texts:
            extension["resume_token_count"] = len(self._token_texts)
            extension["resume_text"] = "".join(self._token_texts)
        body[_EXTENSION_KEY] = extension
        return PreparedRequest(body, prepared.prompt_tokens)

    def _handle_failure(
        self, engine_id: str, failure: errors.EngineError
    ) -> None:
        """Waits for the retry delay, or raises if there is no retry."""
        if _is_bad_request(failure) and not self._token_texts:
            raise errors.BadRequestError(
                failure.message, outcome=self._outcome
            ) from failure
        attempt_failure = self._describe_failure(engine_id, failure)
        decision = self._decide(attempt_failure)
        logger.bind(
            request_id=self._generation.request_id, engine_id=engine_id
        ).warning(
            "attempt {} failed: {}", attempt_failure.attempt_count, failure
        )
        if isinstance(decision, retry_budget.GiveUp):
            raise decision.error from failure
        if attempt_failure.progress not in ("nothing-sent", "refused"):
            self._outcome = "unknown"
        self._failed_engine_ids |= {engine_id}
        if self._token_texts:
            _resumes.inc({})
        gevent.sleep(decision.delay_s)

    def _describe_failure(
        self, engine_id: str, failure: errors.EngineError
    ) -> AttemptFailure:
        retry_after_s = None
        if isinstance(failure, errors.EngineRefusedError):
            retry_after_s = failure.retry_after_s
        return AttemptFailure(
            engine_id,
            self._attempt_count,
            progress_of(failure, len(self._token_texts)),
            self._outcome,
            retry_after_s or 0.0,
            failure,
            made_output=len(self._token_texts) > self._delivered_before_count,
        )


def _is_bad_request(error: errors.EngineError) -> bool:
    if not isinstance(error, errors.EngineRefusedError):
        return False
    return error.status in _BAD_REQUEST_STATUSES

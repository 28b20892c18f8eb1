"""One whole answer, carried on by another engine when one fails.

Tokens go to the caller as they come. When the engine is lost, another one is
asked to go on after the tokens already delivered; the caller sees one answer
with no token lost, doubled or changed, or a clear failure.
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
_EXTENSION = "mulberry"

_resumes = metrics.counter(
    "mulberry_resumes_total",
    "Begun answers that went on at another engine.",
)


class Generation(NamedTuple):
    """One generation that a caller asked for.

    Attributes:
        path: ``/v1/completions`` or ``/v1/chat/completions``.
        body: The OpenAI request; ``stream`` is set here.
        request_id: Its id, unique among all requests; engines cancel by it.
        prompt_tokens: Length of its prompt.
        priority: 0 (first) to 9.
    """

    path: str
    body: dict[str, Any]
    request_id: str
    prompt_tokens: int
    priority: int = 5


class FailedTry(NamedTuple):
    """An attempt that failed, as the retry budget is asked about it.

    Attributes:
        engine_id: Where it failed.
        attempt_count: Attempts made so far, at least 1.
        progress: How far the request went.
        outcome: Outcome of all attempts before.
        retry_after_s: Wait that the engine asked for, or 0.
        error: What happened.
        made_output: Whether this engine had delivered any token.
    """

    engine_id: str
    attempt_count: int
    progress: outcome.Progress
    outcome: errors.Outcome
    retry_after_s: float
    error: errors.EngineError
    made_output: bool = False


class Prepared(NamedTuple):
    """What the first attempt sends.

    Attributes:
        body: The request's body, perhaps with a source of its KV cache.
        prompt_tokens: Prompt tokens that the engine itself has to prefill.
    """

    body: dict[str, Any]
    prompt_tokens: int


class Books(Protocol):
    """Counts requests at engines; ``loads.LoadReader`` is one."""

    def begin(self, engine_id: str, prompt_tokens: int) -> None:
        """Notes that a request goes to an engine now."""
        ...

    def end(self, engine_id: str, failed: bool) -> None:
        """Notes that it left."""
        ...


NextEngine = Callable[
    [frozenset[str]], Result[fleet.EngineView, errors.RequestError]
]
"""Chooses an engine, without those whose ids it is given."""

Decide = Callable[[FailedTry], retry_budget.Retry | retry_budget.GiveUp]
"""Asks the retry budget what follows a failed attempt."""

Prepare = Callable[[fleet.EngineView], Prepared]
"""Prepares the first attempt at an engine, such as by a KV handover."""


@singledispatch
def progress_of(
    error: errors.EngineError, delivered_count: int
) -> outcome.Progress:
    """Returns how far a failed attempt went.

    Args:
        error: Why it failed.
        delivered_count: Tokens that the caller has.
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
    """The answer to one generation, whichever engines make it."""

    def __init__(
        self,
        generation: Generation,
        *,
        next_engine: NextEngine,
        decide: Decide,
        books: Books,
        prepare: Prepare | None = None,
        idle_timeout_s: float = streams.DEFAULT_IDLE_TIMEOUT_S,
        connect_timeout_s: float = streams.DEFAULT_CONNECT_TIMEOUT_S,
    ):
        """Makes an answer that begins when it is read.

        Args:
            generation: What to generate.
            next_engine: Chooses the engine of each attempt.
            decide: Pays for each further attempt or gives up.
            books: Told of each attempt's begin and end.
            prepare: Prepares attempts until a token has come.
            idle_timeout_s: Silence after which an engine counts as lost.
            connect_timeout_s: For a connection to an engine.
        """
        self._generation = generation
        self._next_engine = next_engine
        self._decide = decide
        self._books = books
        self._prepare = prepare
        self._idle_timeout_s = idle_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._texts: list[str] = []
        self._finished = False
        self._attempt_count = 0
        self._delivered_before_count = 0
        self._outcome: errors.Outcome = "not-run"
        self._failed_ids: frozenset[str] = frozenset()
        self._version: str | None = None

    @property
    def delivered_count(self) -> int:
        """Tokens delivered so far."""
        return len(self._texts)

    @property
    def attempt_count(self) -> int:
        """Engines tried so far."""
        return self._attempt_count

    def batches(self) -> Iterator[streams.TokenBatch]:
        """Yields the answer; closing the iterator cancels it.

        Raises:
            RequestError: The answer cannot be made whole. Its outcome is
                ``not-run`` only if no engine may have begun.
        """
        while True:
            view = self._choose()
            self._attempt_count += 1
            self._delivered_before_count = len(self._texts)
            try:
                yield from self._attempt(view)
                return
            except errors.EngineError as error:
                failure = error
            if self._finished:
                # Every token and the finish reason are with the caller; what
                # was lost is only the end mark, which says no more.
                yield streams.TokenBatch((), True)
                return
            self._after_failure(view.vm.vm_id, failure)

    def _choose(self) -> fleet.EngineView:
        chosen = self._choose_without(self._failed_ids)
        if isinstance(chosen, Err) and self._failed_ids:
            # One that failed may be the only one, and may work again. The
            # retry budget bounds how often it is asked.
            self._failed_ids = frozenset()
            chosen = self._choose_without(self._failed_ids)
        if isinstance(chosen, Err):
            error = chosen.err_value
            error.outcome = outcome.combine(self._outcome, error.outcome)
            raise error
        return chosen.ok_value

    def _choose_without(
        self, excluded: frozenset[str]
    ) -> Result[fleet.EngineView, errors.RequestError]:
        while True:
            chosen = self._next_engine(excluded)
            if isinstance(chosen, Err) or self._may_continue(chosen.ok_value):
                return chosen
            engine_id = chosen.ok_value.vm.vm_id
            if engine_id in excluded:
                message = f"no engine with version {self._version!r} is left"
                return Err(errors.NoEngineError(message))
            excluded |= {engine_id}

    def _may_continue(self, view: fleet.EngineView) -> bool:
        # Other weights would go on with other words: the answer would be one
        # that no version of the model gives.
        if not self._texts or self._version is None or view.report is None:
            return True
        return view.report.version == self._version

    def _attempt(self, view: fleet.EngineView) -> Iterator[streams.TokenBatch]:
        engine_id = view.vm.vm_id
        prepared = self._prepared(view)
        if not self._texts:
            self._version = view.report.version if view.report else None
        failed = False
        self._books.begin(engine_id, prepared.prompt_tokens)
        try:
            yield from self._read(view.vm.address, prepared.body)
        except errors.EngineError as error:
            failed = not _is_bad_request(error)
            raise
        finally:
            self._books.end(engine_id, failed)

    def _read(
        self, address: fleet.Address, body: dict[str, Any]
    ) -> Iterator[streams.TokenBatch]:
        opened = streams.EngineStream.open(
            address,
            self._generation.path,
            json.dumps(body).encode(),
            self._generation.request_id,
            first_index=len(self._texts),
            connect_timeout_s=self._connect_timeout_s,
            idle_timeout_s=self._idle_timeout_s,
        )
        if isinstance(opened, Err):
            raise opened.err_value
        stream = opened.ok_value
        try:
            for batch in stream.batches():
                yield self._delivered(batch)
        finally:
            stream.close()

    def _delivered(self, batch: streams.TokenBatch) -> streams.TokenBatch:
        self._texts += [token.text for token in batch.tokens]
        if not batch.tokens or batch.tokens[-1].finish_reason is None:
            return batch
        self._finished = True
        if self._attempt_count == 1:
            return batch
        last = self._with_whole_usage(batch.tokens[-1])
        return streams.TokenBatch((*batch.tokens[:-1], last), batch.is_last)

    def _with_whole_usage(self, last: streams.Token) -> streams.Token:
        """Counts the earlier engines' tokens into the usage."""
        answer_tokens = sum(1 for text in self._texts if text)
        usage = last.usage
        if usage is None or usage.completion_tokens >= answer_tokens:
            return last
        whole = usage._replace(completion_tokens=answer_tokens)
        document = json.loads(last.raw.removeprefix(b"data: "))
        document["usage"] |= whole._asdict()
        raw = b"data: " + json.dumps(document).encode() + b"\n\n"
        return last._replace(usage=whole, raw=raw)

    def _prepared(self, view: fleet.EngineView) -> Prepared:
        generation = self._generation
        prepared = Prepared(generation.body, generation.prompt_tokens)
        if self._prepare is not None and not self._texts:
            prepared = self._prepare(view)
        body = dict(prepared.body)
        body["stream"] = True
        extension = dict(body.get(_EXTENSION) or {})
        extension["priority"] = generation.priority
        if self._texts:
            extension["resume_token_count"] = len(self._texts)
            extension["resume_text"] = "".join(self._texts)
        body[_EXTENSION] = extension
        return Prepared(body, prepared.prompt_tokens)

    def _after_failure(
        self, engine_id: str, failure: errors.EngineError
    ) -> None:
        """Waits until the next attempt, or raises when there is none."""
        if _is_bad_request(failure) and not self._texts:
            raise errors.BadRequestError(
                failure.message, outcome=self._outcome
            ) from failure
        tried = self._failed_try(engine_id, failure)
        decision = self._decide(tried)
        logger.bind(
            request_id=self._generation.request_id, engine_id=engine_id
        ).warning("attempt {} failed: {}", tried.attempt_count, failure)
        if isinstance(decision, retry_budget.GiveUp):
            raise decision.error from failure
        if tried.progress not in ("nothing-sent", "refused"):
            self._outcome = "unknown"
        self._failed_ids |= {engine_id}
        if self._texts:
            _resumes.inc({})
        gevent.sleep(decision.after_s)

    def _failed_try(
        self, engine_id: str, failure: errors.EngineError
    ) -> FailedTry:
        retry_after_s = None
        if isinstance(failure, errors.EngineRefusedError):
            retry_after_s = failure.retry_after_s
        return FailedTry(
            engine_id,
            self._attempt_count,
            progress_of(failure, len(self._texts)),
            self._outcome,
            retry_after_s or 0.0,
            failure,
            made_output=len(self._texts) > self._delivered_before_count,
        )


def _is_bad_request(error: errors.EngineError) -> bool:
    if not isinstance(error, errors.EngineRefusedError):
        return False
    return error.status in _BAD_REQUEST_STATUSES

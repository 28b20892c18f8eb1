"""Completions and chat towards callers, as a stream or as one answer.

Generations always run as streams towards the engines, so that a plain answer
too can be resumed on another engine after a crash.
"""

import json
from collections.abc import Iterator
from typing import Any, Protocol

from loguru import logger
from result import Err

from mulberrywharf import errors, metrics
from mulberrywharf.callers import caller_watch, problems, request, response
from mulberrywharf.engines import plain, streams

_streams_total = metrics.counter(
    "mulberry_caller_streams_total",
    "Streams to callers by how they ended: whole, caller-gone, or an error.",
)

Batches = Iterator[streams.TokenBatch]


class Generations(Protocol):
    """Runs generations, wherever."""

    def generate(self, wanted: request.CompletionRequest) -> Batches:
        """Yields the answer; the last batch says that it is whole.

        Closing the iterator cancels the generation at its engine.

        Raises:
            RequestError: The answer is refused or cannot be made whole.
        """
        ...


def respond(
    wanted: request.CompletionRequest, generations: Generations, sock: Any
) -> response.Response:
    """Answers one completion.

    Args:
        wanted: What the caller asked for.
        generations: Makes the answer.
        sock: The caller's connection, watched for its end.

    Raises:
        MulberryError: Nothing was written to the caller yet.
    """
    batches = _watched(generations.generate(wanted), sock)
    if wanted.stream:
        return _streamed(batches, wanted.caller.request_id)
    return _plain(batches, wanted)


def _watched(batches: Batches, sock: Any) -> Batches:
    """Yields the batches up to their checked end.

    What closes this iterator, or ends it by an exception, closes ``batches``.

    Raises:
        CallerGoneError: The caller left while the answer was waited for.
        BackEndLostError: The answer ended without its end mark.
    """
    is_whole = False
    watch = caller_watch.CallerWatch(sock)
    watch.start()
    try:
        watch.expect()
        for batch in batches:
            watch.ignore()
            is_whole = batch.is_last
            yield batch
            watch.expect()
    finally:
        watch.close()
        _close(batches)
    if not is_whole:
        raise errors.BackEndLostError(
            "the answer ended before it was whole", outcome="unknown"
        )


def _close(batches: Batches) -> None:
    close = getattr(batches, "close", None)
    if close is not None:
        close()


def _streamed(batches: Batches, request_id: str) -> response.Response:
    # The first batch comes before the status line is written, so that a
    # refusal still is one.
    first = next(batches)
    headers = [
        ("content-type", "text/event-stream"),
        ("cache-control", "no-store"),
        ("x-request-id", request_id),
    ]
    return response.Response(
        "200 OK", headers, _relayed(first, batches, request_id)
    )


def _relayed(
    first: streams.TokenBatch, batches: Batches, request_id: str
) -> Iterator[bytes]:
    # Whoever stops reading early is a caller that left: its connection broke
    # in a write, and the server closes this iterator.
    result = errors.CallerGoneError.code
    try:
        yield first.raw
        for batch in batches:
            yield batch.raw
        result = "whole"
    except errors.CallerGoneError:
        return
    except errors.MulberryError as error:
        told = problems.as_request_error(error)
        # Tokens were delivered, so something ran, whatever failed then.
        told.outcome = "unknown"
        result = told.code
        logger.bind(request_id=request_id).warning(
            "a begun stream ends broken: {}", told.message
        )
        yield problems.stream_event(told, request_id)
    finally:
        _streams_total.inc({"result": result})
        _close(batches)


def _plain(
    batches: Batches, wanted: request.CompletionRequest
) -> response.Response:
    request_id = wanted.caller.request_id
    try:
        assembled = plain.assemble(
            batches,
            request_id=request_id,
            model=wanted.body["model"],
            chat=wanted.chat,
        )
    finally:
        _close(batches)
    if isinstance(assembled, Err):
        raise assembled.err_value
    body = json.dumps(assembled.ok_value).encode()
    return response.json_response(body, request_id)

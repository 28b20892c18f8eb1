"""Answers completion and chat completion requests of callers.

Engines always generate as a stream, so that a non-streaming answer can also be
resumed on another engine after a crash.
"""

import json
from collections.abc import Iterator
from typing import Any, Protocol

from loguru import logger
from result import Err

from mulberrywharf import errors, metrics
from mulberrywharf.callers import caller_watch, problems, request, response
from mulberrywharf.engines import completion_assembly, streams

_streams_total = metrics.counter(
    "mulberry_caller_streams_total",
    "Streams to callers by how they ended: whole, caller-gone, or an error.",
)

Batches = Iterator[streams.TokenBatch]


class CompletionGenerator(Protocol):
    """Generates the answers to completion requests on engines."""

    def generate(self, completion: request.CompletionRequest) -> Batches:
        """Yields the answer; only the last batch has ``is_last`` set.

        Closing the iterator cancels the generation on its engine.

        Raises:
            RequestError: The request is refused or its answer can't be
                completed.
        """
        ...


def respond(
    completion: request.CompletionRequest,
    generations: CompletionGenerator,
    sock: Any,
) -> response.Response:
    """Answers one completion request, as a stream or as one JSON body.

    Args:
        completion: The completion request.
        generations: Generates the answer.
        sock: The caller's connection, watched for a disconnect.

    Raises:
        MulberryError: The request failed before anything was written to the
            caller.
    """
    batches = _checked_batches(generations.generate(completion), sock)
    if completion.stream:
        return _streaming_response(batches, completion.caller.request_id)
    return _non_streaming_response(batches, completion)


def _checked_batches(batches: Batches, sock: Any) -> Batches:
    """Yields the batches and checks that the answer is complete.

    ``batches`` is closed when this iterator is closed, ends or raises.

    Raises:
        CallerGoneError: The caller disconnected while the answer was awaited.
        BackEndLostError: The answer ended without a last batch.
    """
    is_whole = False
    watch = caller_watch.CallerWatch(sock)
    watch.start()
    try:
        watch.enable()
        for batch in batches:
            watch.disable()
            is_whole = batch.is_last
            yield batch
            watch.enable()
    finally:
        watch.close()
        _close(batches)
    if not is_whole:
        raise errors.BackEndLostError(
            "the answer ended before it was complete", outcome="unknown"
        )


def _close(batches: Batches) -> None:
    close = getattr(batches, "close", None)
    if close is not None:
        close()


def _streaming_response(batches: Batches, request_id: str) -> response.Response:
    # Waits for the first batch before the status line is written, so that an
    # earlier failure still gets an error status.
    first = next(batches)
    headers = [
        ("content-type", "text/event-stream"),
        ("cache-control", "no-store"),
        ("x-request-id", request_id),
    ]
    return response.Response(
        "200 OK", headers, _event_blocks(first, batches, request_id)
    )


def _event_blocks(
    first: streams.TokenBatch, batches: Batches, request_id: str
) -> Iterator[bytes]:
    # The result if the caller's connection fails in a write: the WSGI server
    # then closes this iterator early, and no ``except`` clause below runs.
    result = errors.CallerGoneError.code
    try:
        yield first.raw
        for batch in batches:
            yield batch.raw
        result = "whole"
    except errors.CallerGoneError:
        return
    except errors.MulberryError as error:
        request_error = problems.as_request_error(error)
        # Tokens were delivered, so the request ran at least in part.
        request_error.outcome = "unknown"
        result = request_error.code
        logger.bind(request_id=request_id).warning(
            "a stream failed after it had started: {}", request_error.message
        )
        yield problems.stream_event(request_error, request_id)
    finally:
        _streams_total.inc({"result": result})
        _close(batches)


def _non_streaming_response(
    batches: Batches, completion: request.CompletionRequest
) -> response.Response:
    request_id = completion.caller.request_id
    try:
        assembled = completion_assembly.assemble(
            batches,
            request_id=request_id,
            model=completion.body["model"],
            chat=completion.chat,
        )
    finally:
        _close(batches)
    if isinstance(assembled, Err):
        raise assembled.err_value
    body = json.dumps(assembled.ok_value).encode()
    return response.json_response(body, request_id)

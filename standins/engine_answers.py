"""Turns a run of the stand-in engine into the bytes of its answer."""

import json
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import gevent
import gevent.queue

from standins import _http, engine_batch, engine_faults, engine_tokens

_LOOK_AT_PEER_S = 0.05


class Shape(NamedTuple):
    """How one request wants its answer.

    Attributes:
        request_id: Echoed in the header and in each event.
        is_chat: Chat messages instead of text.
        finish_reason: Of a whole answer.
    """

    request_id: str
    is_chat: bool
    finish_reason: str


class PeerGoneError(Exception):
    """The caller closed its connection."""


def token_indices(
    run: engine_batch.Run, environ: dict[str, Any]
) -> Iterator[int]:
    """Yields the run's token indices as they come, then returns.

    Raises:
        PeerGoneError: The caller left while nothing came.
    """
    while True:
        index = next_index(run, environ)
        if index == engine_batch.END:
            return
        yield index


def next_index(run: engine_batch.Run, environ: dict[str, Any]) -> int:
    """Returns the run's next token index, or ``END``.

    Raises:
        PeerGoneError: The caller left while nothing came.
    """
    while True:
        try:
            return int(run.events.get(timeout=_LOOK_AT_PEER_S))
        except gevent.queue.Empty:
            if _http.is_peer_gone(environ):
                raise PeerGoneError from None


def sleep_late(late_s: float, environ: dict[str, Any]) -> None:
    """Holds an answer back; raises PeerGoneError when its caller left."""
    until_s = time.monotonic() + late_s
    while time.monotonic() < until_s:
        gevent.sleep(min(_LOOK_AT_PEER_S, late_s))
        if _http.is_peer_gone(environ):
            raise PeerGoneError


def stream(
    run: engine_batch.Run,
    shape: Shape,
    fault: engine_faults.StreamFault | None,
    environ: dict[str, Any],
    first_index: int,
) -> Iterator[bytes]:
    """Yields a streamed answer.

    Args:
        run: Whose tokens are sent.
        shape: How they are sent.
        fault: What goes wrong on the way.
        environ: Of the request.
        first_index: The run's first token index, or ``END``, already taken
            from its queue.
    """
    sent_count = 0
    index = first_index
    while index != engine_batch.END:
        if fault is not None and sent_count >= fault.after_tokens:
            break_off(fault, environ)
            return
        yield _event(run, shape, index)
        sent_count += 1
        index = next_index(run, environ)
    if run.is_cut:
        _http.break_connection(environ)
        return
    if not run.is_finished:
        return
    if run.token_count == 0:
        yield _empty_event(run, shape)
    yield b"data: [DONE]\n\n"


def break_off(
    fault: engine_faults.StreamFault, environ: dict[str, Any]
) -> None:
    """Ends an answer early in the way that the fault says."""
    if fault.kind == "cut":
        _http.break_connection(environ)
    elif fault.kind == "silent":
        _http.wait_until_peer_is_gone(environ)
        _http.break_connection(environ)


def whole(run: engine_batch.Run, shape: Shape, end_index: int) -> Any:
    """Returns the body of a plain answer.

    Args:
        run: An ended run.
        shape: How its answer is written.
        end_index: The first token that is not in it.
    """
    text = "".join(
        engine_tokens.token_text(run.model, run.prompt, index)
        for index in range(run.first_index, end_index)
    )
    is_whole = run.is_finished and end_index == run.next_index
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": shape.finish_reason if is_whole else None,
    }
    if shape.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": shape.request_id,
        "object": "chat.completion" if shape.is_chat else "text_completion",
        "model": run.model,
        "choices": [choice],
        "usage": _usage(run),
    }


def _event(run: engine_batch.Run, shape: Shape, index: int) -> bytes:
    text = engine_tokens.token_text(run.model, run.prompt, index)
    is_last = index == run.answer_tokens - 1
    return _encode(run, shape, index, text, is_last)


def _empty_event(run: engine_batch.Run, shape: Shape) -> bytes:
    # A resume from beyond the last token has only the finish left to tell.
    return _encode(run, shape, run.next_index, "", True)


def _encode(
    run: engine_batch.Run, shape: Shape, index: int, text: str, is_last: bool
) -> bytes:
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": shape.finish_reason if is_last else None,
    }
    if shape.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if shape.is_chat else "text_completion"
    event: dict[str, Any] = {
        "id": shape.request_id,
        "object": kind,
        "model": run.model,
        "choices": [choice],
        "token_index": index,
    }
    if is_last:
        event["usage"] = _usage(run)
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def _usage(run: engine_batch.Run) -> dict[str, int]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.next_index,
    }

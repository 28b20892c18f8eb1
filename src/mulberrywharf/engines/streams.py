"""Sends a request to an engine and validates the streamed answer."""

import json
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import gevent
import orjson
from result import Err, Ok, Result

from mulberrywharf import _answers, _exchange, errors, fleet, stated_numbers
from mulberrywharf.engines import refusals

DONE_EVENT = b"data: [DONE]\n\n"
DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_TIMEOUT_S = 30.0

_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"
# Accepts JSON that orjson rejects, such as a lone surrogate in a token's text.
_STDLIB_DECODER = json.JSONDecoder()
_EVENT_LIMIT_BYTES = 1024 * 1024
_ERROR_BODY_LIMIT_BYTES = 64 * 1024
_CANCEL_TIMEOUT_S = 1.0
_REMAINDER_TIMEOUT_S = 1.0
_CANCEL_ANSWER_LIMIT_BYTES = 4096
_OK = 200
_PARSE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class Usage(NamedTuple):
    """Token counts of an answer.

    Attributes:
        prompt_tokens: Tokens in the prompt.
        completion_tokens: Tokens in the answer.
    """

    prompt_tokens: int
    completion_tokens: int


class Token(NamedTuple):
    """One token of an answer.

    Attributes:
        index: Its position in the answer, from 0.
        text: Its text.
        finish_reason: ``stop`` or ``length`` on the last token, else None.
        raw: The whole server-sent event, including the blank line at its end.
        usage: Token counts of the answer; only on the last token.
    """

    index: int  # type: ignore[assignment]
    text: str
    finish_reason: str | None
    raw: bytes
    usage: Usage | None = None


class TokenBatch(NamedTuple):
    """Tokens that arrived together, to be sent in one write.

    Attributes:
        tokens: In order; may be empty in the last batch.
        is_last: Whether the stream ended with a valid ``[DONE]``.
    """

    tokens: tuple[Token, ...]
    is_last: bool

    @property
    def raw(self) -> bytes:
        """The events as bytes; the last batch ends with ``[DONE]``."""
        data = b"".join([token.raw for token in self.tokens])
        return data + DONE_EVENT if self.is_last else data


class StreamHooks(NamedTuple):
    """Functions that are called during an exchange with an engine.

    Attributes:
        on_head: Called with each answer to the request, when its head was read.
        may_cancel: Tells whether a cancel request may be sent.
    """

    on_head: Callable[[_answers.Answer], None] = lambda _: None
    may_cancel: Callable[[], bool] = lambda: True


class EngineStream:
    """The streamed answer to one request from one engine.

    Iterate over ``batches()`` (tokens to be sent in one write) or over the
    stream itself (single tokens), then call ``close()``.
    """

    def __init__(
        self,
        exchange: _exchange.Exchange,
        address: fleet.Address,
        request_id: str,
        *,
        first_index: int = 0,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        hooks: StreamHooks | None = None,
    ):
        self._hooks = hooks or StreamHooks()
        self._exchange = exchange
        self._address = address
        self._request_id = request_id
        self._next_index = first_index
        self._idle_timeout_s = idle_timeout_s
        self._buffer = b""
        self._has_finish_reason = False
        self._has_done_event = False
        self._failed = False
        self._closed = False

    @classmethod
    def open(
        cls,
        address: fleet.Address,
        path: str,
        body: bytes,
        request_id: str,
        *,
        first_index: int = 0,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        hooks: StreamHooks | None = None,
    ) -> Result["EngineStream", errors.EngineError]:
        """Sends the request and waits for the head of the answer.

        Args:
            address: The engine.
            path: URL path, such as ``/v1/completions``.
            body: The OpenAI request as JSON, with ``stream`` true.
            request_id: Request id, which the engine repeats in each event.
            first_index: Expected index of the first token; for an answer that
                is resumed, the number of tokens already delivered.
            connect_timeout_s: Timeout of the connect, in seconds.
            idle_timeout_s: Time without data after which the stream counts as
                broken, in seconds.
            hooks: Called during the exchange; None for none.

        Returns:
            The stream; or ``EngineUnreachableError`` (nothing sent),
            ``EngineRefusedError`` (the engine did not run it),
            ``ForeignAnswerError``, ``AnswerLostError`` or ``EngineError``.
        """
        opened = _exchange.Exchange.open(
            address, connect_timeout_s=connect_timeout_s
        )
        if isinstance(opened, Err):
            return opened
        exchange = opened.ok_value
        stream = cls(
            exchange,
            address,
            request_id,
            first_index=first_index,
            idle_timeout_s=idle_timeout_s,
            hooks=hooks,
        )
        try:
            sent = stream._send(path, body)
        except BaseException:
            stream.close()
            raise
        if isinstance(sent, Err):
            stream.close()
            return sent
        return Ok(stream)

    @property
    def address(self) -> fleet.Address:
        """The address of the engine."""
        return self._address

    @property
    def next_index(self) -> int:
        """The expected index of the next token."""
        return self._next_index

    def __iter__(self) -> Iterator[Token]:
        """Yields single tokens; raises the same errors as ``batches``."""
        for batch in self.batches():
            yield from batch.tokens

    def batches(self) -> Iterator[TokenBatch]:
        """Yields tokens as they arrive; those already received form one batch.

        Raises:
            ForeignAnswerError: An event carries another request's id.
            StreamBrokenError: No data came within the idle timeout, an event
                was malformed or reported an engine error, a token was missing
                or repeated, or the stream ended without a finish reason and
                ``[DONE]``.
        """
        while not self._has_done_event:
            tokens = self._parse(self._read_events())
            if tokens or self._has_done_event:
                yield TokenBatch(tuple(tokens), self._has_done_event)

    def close(self) -> None:
        """Closes the exchange and cancels an unfinished answer.

        The engine may not notice the closed connection before its next write,
        so a cancel request is sent as well; its result is ignored. No cancel
        request follows a failed stream: the same engine may already resume the
        answer under the same request id, and a late cancel would stop it. An
        engine whose request limit is used up gets no cancel request either.
        """
        if self._closed:
            return
        self._closed = True
        if self._has_done_event and not self._failed:
            gevent.spawn(self._exchange.drain, _REMAINDER_TIMEOUT_S)
            return
        sent = not isinstance(self._exchange.stage, _exchange.NotSent)
        self._exchange.close()
        if sent and not self._failed and self._hooks.may_cancel():
            gevent.spawn(cancel, self._address, self._request_id)
        self._failed = True

    def _send(self, path: str, body: bytes) -> Result[None, errors.EngineError]:
        headers = {
            "content-type": "application/json",
            "x-request-id": self._request_id,
        }
        request = _exchange.Request("POST", path, headers, body)
        sent = self._exchange.send(request, self._idle_timeout_s)
        if isinstance(sent, Err):
            self._failed = True
            return sent
        answer = sent.ok_value
        echoed = answer.header("x-request-id")
        is_foreign = echoed is not None and echoed != self._request_id
        if not is_foreign:
            self._hooks.on_head(answer)
        if answer.status_code != _OK:
            self._failed = True
            return Err(self._read_error(answer))
        if is_foreign:
            return Err(self._fail_foreign())
        return Ok(None)

    def _read_error(self, answer: _answers.Answer) -> errors.EngineError:
        read = self._exchange.read_all(
            self._idle_timeout_s, _ERROR_BODY_LIMIT_BYTES
        )
        body = read.unwrap_or(b"")
        return refusals.error_from_answer(self._address, answer, body)

    def _fail_foreign(self) -> errors.ForeignAnswerError:
        self._failed = True
        _answers.count_foreign(self._address)
        return errors.ForeignAnswerError(
            f"{self._address} sent an answer with another request's id"
        )

    def _fail_broken(self, detail: str) -> errors.StreamBrokenError:
        self._failed = True
        return errors.StreamBrokenError(f"{self._address}: {detail}")

    def _read_events(self) -> list[bytes]:
        """Waits for a complete event; returns all complete ones received."""
        while True:
            received = self._exchange.read_some(self._idle_timeout_s)
            if isinstance(received, Err):
                raise self._fail_broken(received.err_value.message)
            if not received.ok_value:
                raise self._fail_broken("the stream ended before [DONE]")
            data = self._buffer + received.ok_value
            end = data.rfind(_EVENT_END)
            if end >= 0:
                break
            if len(data) > _EVENT_LIMIT_BYTES:
                raise self._fail_broken("an event exceeds the size limit")
            self._buffer = data
        self._buffer = data[end + len(_EVENT_END) :]
        return data[:end].split(_EVENT_END)

    def _parse(self, events: list[bytes]) -> list[Token]:
        tokens = []
        for event in events:
            if not event.startswith(_DATA_PREFIX):
                # Skips comments and other fields of server-sent events.
                continue
            payload = event[len(_DATA_PREFIX) :]
            if payload == _DONE:
                self._end()
                break
            tokens.append(self._parse_token(payload, event))
        return tokens

    def _end(self) -> None:
        if not self._has_finish_reason:
            raise self._fail_broken("[DONE] arrived without a finish reason")
        self._has_done_event = True

    def _parse_token(self, payload: bytes, event: bytes) -> Token:
        try:
            document = _decode_json(payload)
            token = self._checked_token(document, event)
        except _PARSE_ERRORS as error:
            raise self._fail_broken(f"malformed event: {error!r}") from error
        self._next_index = token.index + 1
        return token

    def _checked_token(self, document: Any, event: bytes) -> Token:
        if "error" in document:
            raise self._fail_broken(
                f"the engine reported an error: {document['error']}"
            )
        if document["id"] != self._request_id:
            raise self._fail_foreign()
        if self._has_finish_reason:
            raise self._fail_broken("a token arrived after the finish reason")
        index = stated_numbers.count(document["token_index"], "token_index")
        if index != self._next_index:
            raise self._fail_broken(
                f"got token {index}, expected {self._next_index}"
            )
        choice = document["choices"][0]
        reason = choice["finish_reason"]
        self._has_finish_reason = reason is not None
        usage = _parse_usage(document) if self._has_finish_reason else None
        return Token(
            index, _choice_text(choice), reason, event + _EVENT_END, usage
        )


def _decode_json(payload: bytes) -> Any:
    try:
        return orjson.loads(payload)
    except orjson.JSONDecodeError:
        return _STDLIB_DECODER.decode(payload.decode())


def _choice_text(choice: Any) -> str:
    if "text" in choice:
        return str(choice["text"])
    return str(choice["delta"].get("content") or "")


def _parse_usage(document: Any) -> Usage | None:
    usage = document.get("usage")
    if usage is None:
        return None
    return Usage(
        *(stated_numbers.count(usage[name], name) for name in Usage._fields)
    )


def cancel(address: fleet.Address, request_id: str) -> bool:
    """Asks an engine to cancel a request; best effort.

    Returns:
        Whether the engine answered that it cancelled the request.
    """
    body = json.dumps({"request_id": request_id}).encode()
    request = _exchange.Request(
        "POST",
        "/v1/cancel",
        {"content-type": "application/json"},
        body,
    )
    fetched = _exchange.fetch(
        address,
        request,
        timeout_s=_CANCEL_TIMEOUT_S,
        limit_bytes=_CANCEL_ANSWER_LIMIT_BYTES,
    )
    return isinstance(fetched, Ok) and b"true" in fetched.ok_value[1]

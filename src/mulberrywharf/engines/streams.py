"""One request to one engine, read as a checked stream of tokens."""

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

import gevent
import orjson
from result import Err, Ok, Result

from mulberrywharf import _answers, _exchange, errors, fleet
from mulberrywharf.engines import refusals

DONE_EVENT = b"data: [DONE]\n\n"
DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_TIMEOUT_S = 30.0

_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"
# Takes what orjson refuses, such as half a surrogate pair in a token's text.
_DECODER = json.JSONDecoder()
_EVENT_LIMIT_BYTES = 1024 * 1024
_ERROR_BODY_LIMIT_BYTES = 64 * 1024
_CANCEL_TIMEOUT_S = 1.0
_DRAIN_LIMIT_S = 1.0
_CANCEL_ANSWER_LIMIT_BYTES = 4096
_OK = 200
_MALFORMED = (
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class Usage(NamedTuple):
    """What an answer cost.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the answer.
    """

    prompt_tokens: int
    completion_tokens: int


class Token(NamedTuple):
    """One token of an answer.

    Attributes:
        index: Its place in the answer, from 0.
        text: Its text.
        finish_reason: ``stop`` or ``length`` on the last token, else None.
        raw: The engine's whole event, with its closing blank line.
        usage: What the answer cost; only on the last token.
    """

    index: int  # type: ignore[assignment]
    text: str
    finish_reason: str | None
    raw: bytes
    usage: Usage | None = None


class TokenBatch(NamedTuple):
    """Tokens that had already arrived together, to be written as one.

    Attributes:
        tokens: In order; may be empty in the last batch.
        is_last: Whether the checked end of the stream was seen.
    """

    tokens: tuple[Token, ...]
    is_last: bool

    @property
    def raw(self) -> bytes:
        """The events as bytes, with ``[DONE]`` in the last batch."""
        data = b"".join([token.raw for token in self.tokens])
        return data + DONE_EVENT if self.is_last else data


class EngineStream:
    """One streamed answer of one engine.

    Iterate over ``batches()`` (one write for each) or over the stream itself
    (one token at a time), then call ``close()``.
    """

    def __init__(
        self,
        exchange: _exchange.Exchange,
        address: fleet.Address,
        request_id: str,
        *,
        first_index: int = 0,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
    ):
        self._exchange = exchange
        self._address = address
        self._request_id = request_id
        self._next_index = first_index
        self._idle_timeout_s = idle_timeout_s
        self._rest = b""
        self._finished = False
        self._done = False
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
    ) -> Result["EngineStream", errors.EngineError]:
        """Sends the request and waits for the head of the answer.

        Args:
            address: The engine.
            path: Such as ``/v1/completions``.
            body: The OpenAI request as JSON, with ``stream`` true.
            request_id: Echoed by the engine in each event.
            first_index: Index that the first token must have; the resumed
                count when an answer goes on elsewhere.
            connect_timeout_s: For the connection.
            idle_timeout_s: Silence after which the stream is broken.

        Returns:
            The stream; or ``EngineUnreachableError`` (nothing sent),
            ``EngineRefusedError`` (the engine will not run it),
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
        )
        try:
            begun = stream._begin(path, body)
        except BaseException:
            stream.close()
            raise
        if isinstance(begun, Err):
            stream.close()
            return begun
        return Ok(stream)

    @property
    def address(self) -> fleet.Address:
        """The engine."""
        return self._address

    @property
    def next_index(self) -> int:
        """The index that the next token must have."""
        return self._next_index

    def __iter__(self) -> Iterator[Token]:
        """Yields one token at a time; raises as ``batches`` does."""
        for batch in self.batches():
            yield from batch.tokens

    def batches(self) -> Iterator[TokenBatch]:
        """Yields tokens as they arrive, those already here as one batch.

        Raises:
            ForeignAnswerError: An event carries another request's id.
            StreamBrokenError: The stream went silent, left out or repeated a
                token, or ended without a finish reason and ``[DONE]``.
        """
        while not self._done:
            tokens = self._parse(self._read_events())
            if tokens or self._done:
                yield TokenBatch(tuple(tokens), self._done)

    def close(self) -> None:
        """Ends the exchange; an unfinished answer is cancelled.

        The engine cancels when it notices the closed connection, which may
        be as late as its next write; the explicit order is sent as well, and
        its failure changes nothing. After a failure there is only the closed
        connection: the answer may go on at the same engine under the same
        request id, and a late order would cancel that.
        """
        if self._closed:
            return
        self._closed = True
        if self._done and not self._failed:
            gevent.spawn(self._exchange.drain, _DRAIN_LIMIT_S)
            return
        sent = not isinstance(self._exchange.stage, _exchange.NotSent)
        self._exchange.close()
        if sent and not self._failed:
            gevent.spawn(cancel, self._address, self._request_id)
        self._failed = True

    def _begin(
        self, path: str, body: bytes
    ) -> Result[None, errors.EngineError]:
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
        if answer.status_code != _OK:
            self._failed = True
            return Err(self._refusal(answer))
        echoed = answer.header("x-request-id")
        if echoed is not None and echoed != self._request_id:
            return Err(self._foreign())
        return Ok(None)

    def _refusal(self, answer: _answers.Answer) -> errors.EngineError:
        read = self._exchange.read_all(
            self._idle_timeout_s, _ERROR_BODY_LIMIT_BYTES
        )
        body = read.unwrap_or(b"")
        return refusals.refusal(self._address, answer, body)

    def _foreign(self) -> errors.ForeignAnswerError:
        self._failed = True
        _answers.count_foreign(self._address)
        return errors.ForeignAnswerError(
            f"{self._address} sent an answer with another request's id"
        )

    def _broken(self, what: str) -> errors.StreamBrokenError:
        self._failed = True
        return errors.StreamBrokenError(f"{self._address}: {what}")

    def _read_events(self) -> list[bytes]:
        """Waits for at least one whole event; returns all that are here."""
        while True:
            some = self._exchange.read_some(self._idle_timeout_s)
            if isinstance(some, Err):
                raise self._broken(some.err_value.message)
            if not some.ok_value:
                raise self._broken("the stream ended before its end mark")
            data = self._rest + some.ok_value
            end = data.rfind(_EVENT_END)
            if end >= 0:
                break
            if len(data) > _EVENT_LIMIT_BYTES:
                raise self._broken("an event is too large")
            self._rest = data
        self._rest = data[end + len(_EVENT_END) :]
        return data[:end].split(_EVENT_END)

    def _parse(self, events: list[bytes]) -> list[Token]:
        tokens = []
        for event in events:
            if not event.startswith(_DATA_PREFIX):
                # Comments and other fields of server-sent events.
                continue
            payload = event[len(_DATA_PREFIX) :]
            if payload == _DONE:
                self._end()
                break
            tokens.append(self._token(payload, event))
        return tokens

    def _end(self) -> None:
        if not self._finished:
            raise self._broken("[DONE] came without a finish reason")
        self._done = True

    def _token(self, payload: bytes, event: bytes) -> Token:
        try:
            document = _decoded(payload)
            token = self._checked_token(document, event)
        except _MALFORMED as error:
            raise self._broken(f"malformed event: {error!r}") from error
        self._next_index = token.index + 1
        return token

    def _checked_token(self, document: Any, event: bytes) -> Token:
        if "error" in document:
            raise self._broken(f"the engine failed: {document['error']}")
        if document["id"] != self._request_id:
            raise self._foreign()
        if self._finished:
            raise self._broken("a token came after the finish reason")
        index = document["token_index"]
        if index != self._next_index:
            raise self._broken(f"token {index} came, not {self._next_index}")
        choice = document["choices"][0]
        reason = choice["finish_reason"]
        self._finished = reason is not None
        usage = _usage(document) if self._finished else None
        return Token(index, _text(choice), reason, event + _EVENT_END, usage)


def _decoded(payload: bytes) -> Any:
    try:
        return orjson.loads(payload)
    except orjson.JSONDecodeError:
        return _DECODER.decode(payload.decode())


def _text(choice: Any) -> str:
    if "text" in choice:
        return str(choice["text"])
    return str(choice["delta"].get("content") or "")


def _usage(document: Any) -> Usage | None:
    usage = document.get("usage")
    if usage is None:
        return None
    return Usage(usage["prompt_tokens"], usage["completion_tokens"])


def cancel(address: fleet.Address, request_id: str) -> bool:
    """Asks an engine to stop a request; best effort.

    Returns:
        Whether the engine says that it cancelled something.
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

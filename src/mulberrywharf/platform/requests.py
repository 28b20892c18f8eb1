"""Encodes and decodes requests and responses with the platform's headers."""

import re
from collections.abc import Iterable, Mapping, Sequence

import orjson
from result import Err, Ok, Result

from mulberrywharf import _answers, _exchange, _headers, errors, fleet
from mulberrywharf.customers import directory
from mulberrywharf.forwarding import request as forwarded
from mulberrywharf.platform import headers
from mulberrywharf.policy import request_limits

DEFAULT_DEADLINE_S = 30.0
"""Deadline in seconds for requests that do not state one."""

MAX_DEADLINE_S = 86_400.0
"""Later deadlines count as this one; no caller waits for a day."""

TOKENS_LIMIT_COUNT = 10_000_000
"""Maximum number of prompt tokens and of output tokens that a request may
state. The KV cache memory of an engine holds less than a tenth of it."""

_MS_PER_S = 1000.0
_MIN_DEADLINE_MS = 1
_DECODE_ERRORS = (KeyError, TypeError, ValueError)


class CallerDialect:
    """Decodes the requests of callers."""

    def request_id(self, fields: Iterable[tuple[str, str]]) -> str:
        """Returns the request id that the caller set, empty if none."""
        for name, value in fields:
            if name == headers.REQUEST_ID:
                return value
        return ""

    def read(
        self,
        *,
        method: str,
        target: str,
        fields: Iterable[tuple[str, str]],
        body: bytes,
        now_s: float,
    ) -> Result[forwarded.RoutedRequest, errors.BadRequestError]:
        """Decodes one request.

        Args:
            method: HTTP method.
            target: Path and query as received.
            fields: Header fields as received, with names in lower case.
            body: The complete body.
            now_s: Monotonic time in seconds at which the request arrived.
        """
        fields = list(fields)
        by_name = dict(fields)
        try:
            prompt = _prompt(by_name)
            resumes = _resumes(fields)
            deadline_s = now_s + _deadline_s(by_name)
            last_event_id = _last_event_id(by_name)
        except _DECODE_ERRORS as error:
            message = f"a header field of the request is malformed: {error}"
            return Err(errors.BadRequestError(message))
        return Ok(
            forwarded.RoutedRequest(
                request_id=by_name.get(headers.REQUEST_ID, ""),
                method=method,
                target=target,
                path=target.partition("?")[0],
                host=by_name.get("host", ""),
                fields=_forwarded_fields(fields),
                body=body,
                arrived_s=now_s,
                deadline_s=deadline_s,
                last_event_id=last_event_id,
                resumes=resumes,
                prompt=prompt,
                caller=by_name.get(headers.AUTHORIZATION, ""),
                key_digests=frozenset(
                    directory.digest(value.encode("latin-1", "replace"))
                    for name, value in fields
                    if name == headers.CUSTOMER_KEY
                ),
            )
        )


class ServerDialect:
    """Encodes requests to servers and engines and decodes their responses."""

    def encode(self, attempt: forwarded.Attempt) -> _exchange.Request:
        """Returns the HTTP request for an attempt."""
        request = attempt.request
        fields = dict(request.fields)
        fields.update(_node_fields(attempt))
        return _exchange.Request(
            request.method, request.target, fields, request.body, request.host
        )

    def read_head(self, answer: _answers.Answer) -> forwarded.AnswerHead:
        """Decodes the head of a response."""
        return forwarded.AnswerHead(
            status=answer.status_code,
            reason=answer.status_message or "",
            fields=tuple(_headers.end_to_end(answer.items())),
            request_id=answer.header(headers.REQUEST_ID),
            has_signature=answer.header(headers.RESPONSE_SIGNATURE) is not None,
            not_executed=answer.header(headers.NOT_EXECUTED) is not None
            or answer.status_code == _MISDIRECTED_STATUS,
            load=_stated_load(answer.header(headers.SERVER_LOAD)),
            retry_after_s=_headers.retry_after_s(
                answer.header(headers.RETRY_AFTER)
            )
            if answer.status_code in _RETRY_AFTER_STATUSES
            else None,
            # A misdirected request reached another server, whose response
            # says nothing about the server that was addressed.
            is_leaving=answer.status_code != _MISDIRECTED_STATUS
            and answer.header(headers.SERVER_LEAVING) == _TRUE,
            limit=request_limits.parse(
                answer.header_values(headers.SERVER_LIMIT)
            )
            if answer.status_code != _MISDIRECTED_STATUS
            else request_limits.NoLimit(),
            is_misdirected=answer.status_code == _MISDIRECTED_STATUS,
        )

    def decode_handle(
        self, server: fleet.Server, body: bytes
    ) -> Result[forwarded.CacheHandle, errors.EngineError]:
        """Decodes the KV cache handle in the response to a prefill request."""
        try:
            handle = str(orjson.loads(body)["kv-handle"])
        except _DECODE_ERRORS as error:
            message = f"{server.address} returned no KV cache handle: {error!r}"
            return Err(errors.AnswerLostError(message))
        return Ok(forwarded.CacheHandle(server.address, handle))

    def encode_release(self, cache: forwarded.CacheHandle) -> _exchange.Request:
        """Returns the request that releases an unused KV cache."""
        return _exchange.Request("DELETE", f"/kv-handle/{cache.handle}")


_TRUE = "1"
_LOAD_FIGURES_COUNT = 3
"""Figures that every load has. Servers may add further ones."""

_COUNT = re.compile(r"[0-9]{1,6}")
"""A count in a load. ``int`` alone would accept signs and other scripts'
digits; no server runs a million requests."""

_DECIMAL = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
_USUAL_PACE = 100.0
_LEAST_PACE = 0.1
_MOST_PACE = 20.0
"""Paces outside of these bounds count as not stated. No machine of a fleet is
ten times faster than usual, and one that takes twenty times as long is shown by
its answers."""

_TOKEN_COUNTS = re.compile(r" *([0-9]{1,12}) *, *([0-9]{1,12}) *")
_PART = re.compile(r"([^:]*):([0-9]{1,12})")
_DURATION_MS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
"""``int`` and ``float`` alone would accept signs, underscores, other scripts'
digits, infinity and no number at all."""

_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,200}")
"""Longer ones than any caller makes, so that logs and hashes stay bounded."""

_RETRY_AFTER_STATUSES = frozenset({429, 503})
_MISDIRECTED_STATUS = 421
"""A server responds with this status only if it did not run the request."""


def _forwarded_fields(
    fields: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in _headers.end_to_end(fields)
        if name not in headers.NOT_FORWARDED
        and name not in ("host", "content-length")
    )


def _deadline_s(by_name: Mapping[str, str]) -> float:
    text = by_name.get(headers.DEADLINE_MS)
    if not text:
        return DEFAULT_DEADLINE_S
    if not _DURATION_MS.fullmatch(text):
        raise _malformed(headers.DEADLINE_MS, text, "a number of milliseconds")
    return min(float(text) / _MS_PER_S, MAX_DEADLINE_S)


def _last_event_id(by_name: Mapping[str, str]) -> str | None:
    event_id = by_name.get(headers.LAST_EVENT_ID)
    if event_id and not _REQUEST_ID.fullmatch(event_id):
        raise _malformed(headers.LAST_EVENT_ID, event_id, "an event id")
    return event_id


def _resumes(fields: Iterable[tuple[str, str]]) -> str | None:
    values = {value for name, value in fields if name == headers.RESUMES}
    if not values:
        return None
    if len(values) > 1:
        raise ValueError(f"{headers.RESUMES} names several requests")
    (value,) = values
    if not _REQUEST_ID.fullmatch(value):
        raise ValueError(
            f"{headers.RESUMES} is not a request id: {value!r:.40}"
        )
    return value


def _prompt(by_name: Mapping[str, str]) -> forwarded.Prompt | None:
    lengths = by_name.get(headers.TOKEN_COUNTS)
    if not lengths:
        return None
    match = _TOKEN_COUNTS.fullmatch(lengths)
    if match is None:
        raise _malformed(headers.TOKEN_COUNTS, lengths, "two numbers of tokens")
    prompt = forwarded.Prompt(
        model=by_name.get(headers.MODEL, ""),
        tokens=int(match[1]),
        output_limit_tokens=int(match[2]),
        parts=_prompt_parts(by_name.get(headers.PROMPT_PARTS, "")),
    )
    if max(prompt.tokens, prompt.output_limit_tokens) > TOKENS_LIMIT_COUNT:
        raise ValueError(
            f"{headers.TOKEN_COUNTS} states more than {TOKENS_LIMIT_COUNT} "
            f"tokens: {lengths}"
        )
    parts_tokens = sum(part.tokens for part in prompt.parts)
    if parts_tokens > prompt.tokens:
        raise ValueError(
            f"{headers.PROMPT_PARTS} lists {parts_tokens} tokens and "
            f"{headers.TOKEN_COUNTS} states {prompt.tokens}"
        )
    return prompt


def _prompt_parts(text: str) -> tuple[forwarded.PromptPart, ...]:
    parts = []
    for entry in filter(None, (part.strip() for part in text.split(","))):
        match = _PART.fullmatch(entry)
        if match is None:
            raise _malformed(headers.PROMPT_PARTS, entry, "ID:TOKENS")
        parts.append(forwarded.PromptPart(match[1], int(match[2])))
    return tuple(parts)


def _malformed(name: str, text: str, wanted: str) -> ValueError:
    return ValueError(f"{name} is not {wanted}: {text!r:.40}")


def _node_fields(attempt: forwarded.Attempt) -> dict[str, str]:
    left_ms = max(_MIN_DEADLINE_MS, int(attempt.time_left_s * _MS_PER_S))
    fields = {
        headers.DEADLINE_MS: str(left_ms),
        headers.EXPECTED_SERVER: attempt.server.server_id,
    }
    if attempt.request.customer:
        fields[headers.CUSTOMER] = attempt.request.customer
    if attempt.priority is not None:
        fields[headers.PRIORITY] = str(attempt.priority)
    if attempt.prefill_only:
        fields[headers.ROLE] = "prefill"
    if attempt.cache is not None:
        cache = attempt.cache
        fields[headers.KV_SOURCE] = f"{cache.address}/{cache.handle}"
    if attempt.fetch_from is not None:
        fields[headers.KV_FETCH] = str(attempt.fetch_from)
    if attempt.last_event_id is not None:
        fields[headers.LAST_EVENT_ID] = attempt.last_event_id
    return fields


def _stated_load(text: str | None) -> forwarded.StatedLoad | None:
    if text is None:
        return None
    figures = [figure.strip(" \t") for figure in text.split(",")]
    known = figures[:_LOAD_FIGURES_COUNT]
    if len(known) < _LOAD_FIGURES_COUNT or not all(
        map(_COUNT.fullmatch, known)
    ):
        return forwarded.MalformedLoad(text)
    running, waiting, slots = map(int, known)
    return forwarded.ReportedLoad(
        running, waiting, slots, _pace(figures[_LOAD_FIGURES_COUNT:])
    )


def _pace(further_figures: Sequence[str]) -> float | None:
    """Returns the stated pace, None if there is none or it is not credible."""
    if not further_figures or not _DECIMAL.fullmatch(further_figures[0]):
        return None
    pace = float(further_figures[0]) / _USUAL_PACE
    return pace if _LEAST_PACE <= pace <= _MOST_PACE else None

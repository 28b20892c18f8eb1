"""Requests and answers in the header fields of the platform."""

from collections.abc import Iterable, Mapping

import orjson
from result import Err, Ok, Result

from mulberrywharf import _answers, _exchange, _headers, errors, fleet
from mulberrywharf.customers import directory
from mulberrywharf.forwarding import request as forwarded
from mulberrywharf.platform import headers

DEFAULT_DEADLINE_S = 30.0
"""For a caller that names none."""

_MS_PER_S = 1000.0
_LEAST_DEADLINE_MS = 1
_MALFORMED = (KeyError, TypeError, ValueError)


class CallerDialect:
    """Reads the requests of callers."""

    def request_id(self, fields: Iterable[tuple[str, str]]) -> str:
        """Returns the caller's id of a request, empty if it has none."""
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
        """Reads one request.

        Args:
            method: HTTP method.
            target: Path and query as they came.
            fields: Header fields as they came, names in lower case.
            body: The whole body.
            now_s: Monotonic instant of its arrival.
        """
        fields = list(fields)
        by_name = dict(fields)
        try:
            prompt = _prompt(by_name)
            deadline_s = now_s + _deadline_s(by_name)
        except _MALFORMED as error:
            message = f"a header field of the request is malformed: {error}"
            return Err(errors.BadRequestError(message))
        return Ok(
            forwarded.RoutedRequest(
                request_id=by_name.get(headers.REQUEST_ID, ""),
                method=method,
                target=target,
                path=target.partition("?")[0],
                host=by_name.get("host", ""),
                fields=_passed_on(fields),
                body=body,
                arrived_s=now_s,
                deadline_s=deadline_s,
                last_event_id=by_name.get(headers.LAST_EVENT_ID),
                prompt=prompt,
                caller=by_name.get(headers.CREDENTIALS, ""),
                key_digests=frozenset(
                    directory.digest(value.encode("latin-1", "replace"))
                    for name, value in fields
                    if name == headers.CUSTOMER_KEY
                ),
            )
        )


class ServerDialect:
    """Speaks to servers and engines."""

    def encode(self, attempt: forwarded.Attempt) -> _exchange.Request:
        """Returns the request as it is sent."""
        request = attempt.request
        fields = dict(request.fields)
        fields.update(_node_fields(attempt))
        return _exchange.Request(
            request.method, request.target, fields, request.body, request.host
        )

    def read_head(self, answer: _answers.Answer) -> forwarded.AnswerHead:
        """Reads the head of an answer."""
        return forwarded.AnswerHead(
            status=answer.status_code,
            reason=answer.status_message or "",
            fields=tuple(_headers.end_to_end(answer.items())),
            request_id=answer.header(headers.REQUEST_ID),
            has_receipt=answer.header(headers.RECEIPT) is not None,
            not_executed=answer.header(headers.NOT_EXECUTED) is not None
            or answer.status_code == _MISDIRECTED_STATUS,
            load=_load(answer.header(headers.SERVER_LOAD)),
            rest_s=_headers.retry_after_s(answer.header(headers.RETRY_AFTER))
            if answer.status_code in _REFUSED_STATUSES
            else None,
            # Who answers that it is another server says nothing of the one
            # that was meant.
            is_leaving=answer.status_code != _MISDIRECTED_STATUS
            and answer.header(headers.LEAVING) == _YES,
        )

    def decode_handle(
        self, server: fleet.Server, body: bytes
    ) -> Result[forwarded.CacheHandle, errors.EngineError]:
        """Reads the answer to a prefill."""
        try:
            handle = str(orjson.loads(body)["kv-handle"])
        except _MALFORMED as error:
            message = f"{server.address} gave no handle: {error!r}"
            return Err(errors.AnswerLostError(message))
        return Ok(forwarded.CacheHandle(server.address, handle))

    def encode_release(self, cache: forwarded.CacheHandle) -> _exchange.Request:
        """Returns the request that frees a KV cache that nobody will take."""
        return _exchange.Request("DELETE", f"/kv-handle/{cache.handle}")


_YES = "1"
_REFUSED_STATUSES = frozenset({429, 503})
_MISDIRECTED_STATUS = 421
"""Only a server that did not run the request answers so."""


def _passed_on(
    fields: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in _headers.end_to_end(fields)
        if name not in headers.SET_BY_US
        and name not in ("host", "content-length")
    )


def _deadline_s(by_name: Mapping[str, str]) -> float:
    text = by_name.get(headers.DEADLINE_MS)
    return float(text) / _MS_PER_S if text else DEFAULT_DEADLINE_S


def _prompt(by_name: Mapping[str, str]) -> forwarded.Prompt | None:
    lengths = by_name.get(headers.TOKENS)
    if not lengths:
        return None
    prompt_tokens, output_tokens = lengths.split(",")
    return forwarded.Prompt(
        model=by_name.get(headers.MODEL, ""),
        tokens=int(prompt_tokens),
        output_limit_tokens=int(output_tokens),
        parts=_parts(by_name.get(headers.PROMPT_PARTS, "")),
    )


def _parts(text: str) -> tuple[forwarded.PromptPart, ...]:
    parts = []
    for entry in filter(None, (part.strip() for part in text.split(","))):
        part_id, tokens = entry.split(":")
        parts.append(forwarded.PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _node_fields(attempt: forwarded.Attempt) -> dict[str, str]:
    left_ms = max(_LEAST_DEADLINE_MS, int(attempt.time_left_s * _MS_PER_S))
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


def _load(text: str | None) -> forwarded.ReportedLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(","))
    except ValueError:
        return None
    return forwarded.ReportedLoad(running, waiting, slots)

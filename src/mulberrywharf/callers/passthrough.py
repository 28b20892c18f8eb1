"""``ANY /services/SERVICE/PATH``: calls to plain services.

A call is rebuilt from its validated parts, never copied as bytes. Hop-by-hop
header fields are removed in both directions.
"""

import re
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from mulberrywharf import _headers, errors
from mulberrywharf.callers import request, response

_PREFIX = "/services/"
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
CALLER_REQUEST_ID_HEADER = "x-mulberry-caller-request-id"
"""Carries the caller's request ID to the service; ``x-request-id`` carries the
run ID that the router generates."""

_REPLACED_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        CALLER_REQUEST_ID_HEADER,
        "x-mulberry-idempotent",
        "x-request-id",
    }
)
_TARGET = re.compile(r"/services/([a-z0-9][a-z0-9._-]{0,63})(/[^?]*)?(\?.*)?")
_DOT_SEGMENT = re.compile(r"(^|/)(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_ESCAPED_SEPARATOR_OR_CONTROL = re.compile(r"%(2f|5c|00|0d|0a)", re.IGNORECASE)


class ServiceCall(NamedTuple):
    """One call to a plain service.

    Attributes:
        caller: The caller's HTTP request.
        service: Name of the service.
        path: Origin-form target at the backend server, with its query.
        headers: Header fields for the backend server, without the run ID,
            which is not known yet.
        idempotent: Whether the call may run more than once.
        timeout_s: Timeout that the service's configuration sets for a call.
    """

    caller: request.CallerRequest
    service: str
    path: str
    headers: dict[str, str]
    idempotent: bool
    timeout_s: float


class ServiceAnswer(NamedTuple):
    """The complete answer of a backend server.

    Attributes:
        status: HTTP status code.
        headers: Header fields as received, names in lower case.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceCalls(Protocol):
    """Runs calls to plain services."""

    def call(self, service_call: ServiceCall) -> ServiceAnswer:
        """Returns the complete answer.

        Raises:
            RequestError: The call failed; ``outcome`` tells whether it may
                have run.
        """
        ...


def is_service_path(path: str) -> bool:
    """Returns whether a path is below ``/services/``."""
    return path.startswith(_PREFIX)


def respond(
    caller: request.CallerRequest,
    services: Mapping[str, Mapping[str, Any]],
    calls: ServiceCalls,
) -> response.Response:
    """Answers one call to a plain service.

    Raises:
        RequestError: The call is rejected or its answer is lost.
    """
    answer = calls.call(read_call(caller, services))
    headers = [
        (name, value)
        for name, value in _headers.end_to_end(answer.headers)
        if name not in ("content-length", "x-request-id")
        and not name.startswith("x-mulberry-")
    ]
    headers.append(("x-request-id", caller.request_id))
    body = _response_body(answer, caller.method, headers)
    return response.Response(
        f"{answer.status} {_reason_phrase(answer)}", headers, body
    )


def read_call(
    caller: request.CallerRequest, services: Mapping[str, Mapping[str, Any]]
) -> ServiceCall:
    """Validates a call against the configured services.

    Raises:
        UnknownTargetError: The service is not configured.
        BadRequestError: The path is ambiguous.
    """
    match = _TARGET.fullmatch(caller.target)
    name = match.group(1) if match else ""
    service = services.get(name)
    if match is None or service is None:
        raise errors.UnknownTargetError(
            "no such service", advice="Ask the operators for its name."
        )
    path = match.group(2) or "/"
    if _DOT_SEGMENT.search(path) or _ESCAPED_SEPARATOR_OR_CONTROL.search(path):
        # "/echo/../payment" would count as an idempotent path here, but the
        # backend server would run it as a payment, perhaps twice.
        raise errors.BadRequestError(
            "the path has dot segments, or an escaped separator or control "
            "character"
        )
    return ServiceCall(
        caller=caller,
        service=name,
        path=path + (match.group(3) or ""),
        headers=_forwarded_headers(caller),
        idempotent=_is_idempotent(caller, service, path),
        timeout_s=float(service["timeout_s"]),
    )


def _is_idempotent(
    caller: request.CallerRequest, service: Mapping[str, Any], path: str
) -> bool:
    if caller.idempotent is not None:
        return caller.idempotent
    if path in service["idempotent_paths"]:
        return True
    if service["default_idempotent"]:
        return True
    return caller.method in _SAFE_METHODS


def _forwarded_headers(caller: request.CallerRequest) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in _headers.end_to_end(caller.fields):
        if name not in _REPLACED_HEADERS:
            is_repeated = name in headers
            headers[name] = (
                f"{headers[name]}, {value}" if is_repeated else value
            )
    headers[CALLER_REQUEST_ID_HEADER] = caller.request_id
    if caller.idempotency_key is not None:
        headers["idempotency-key"] = caller.idempotency_key
    return headers


def _response_body(
    answer: ServiceAnswer, method: str, headers: list[tuple[str, str]]
) -> list[bytes]:
    if answer.status in (204, 304):
        return []
    if method == "HEAD":
        length = dict(answer.headers).get("content-length", "0")
        headers.append(("content-length", length))
        return []
    return response.blocks(answer.body)


def _reason_phrase(answer: ServiceAnswer) -> str:
    return "OK" if answer.status < 300 else "Answered"

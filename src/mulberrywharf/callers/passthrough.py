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
"""Carries the caller's request ID to the service. ``x-request-id`` carries the
sent request ID: the caller's ID with a random part, which the router generates
and all attempts of the call share."""

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
_COMPUTED_HEADERS = frozenset({"content-length", "x-request-id"})
_TARGET = re.compile(r"/services/([a-z0-9][a-z0-9._-]{0,63})(/[^?]*)?(\?.*)?")
_DOT_SEGMENT = re.compile(r"(^|/)(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_ESCAPED_SEPARATOR_OR_CONTROL = re.compile(r"%(2f|5c|00|0d|0a)", re.IGNORECASE)


class ServiceCall(NamedTuple):
    """A caller's call to a plain service, which may need several attempts.

    Each attempt is sent as a ``backend_servers.client.ServiceRequest``.

    Attributes:
        caller: The caller's HTTP request.
        service: Name of the service.
        path: Request target at the backend server: path and query,
            percent-encoded.
        headers: Header fields for the backend server, without the sent request
            ID, which is not known yet.
        idempotent: Whether the call may run more than once.
        timeout_s: Timeout, in seconds, that the service's configuration sets.
            No single wait for a backend server lasts longer.
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
    http_request: request.CallerRequest,
    services: Mapping[str, Mapping[str, Any]],
    calls: ServiceCalls,
) -> response.Response:
    """Answers one call to a plain service.

    Raises:
        RequestError: The call is rejected or refused, or its answer is lost.
    """
    answer = calls.call(read_call(http_request, services))
    may_have_body = answer.status not in _headers.BODILESS_STATUSES
    is_head = http_request.method == "HEAD"
    # The length in an answer to HEAD is that of the answer to GET.
    states_length = is_head and may_have_body
    unforwarded = {"x-request-id"} if states_length else _COMPUTED_HEADERS
    headers = [
        (name, value)
        for name, value in _headers.end_to_end(answer.headers)
        if name not in unforwarded and not name.startswith("x-mulberry-")
    ]
    headers.append(("x-request-id", http_request.request_id))
    return response.Response(
        f"{answer.status} {_reason_phrase(answer)}",
        headers,
        response.blocks(answer.body) if may_have_body and not is_head else [],
    )


def read_call(
    http_request: request.CallerRequest,
    services: Mapping[str, Mapping[str, Any]],
) -> ServiceCall:
    """Validates a call against the configured services.

    Raises:
        UnknownTargetError: The service is not configured.
        BadRequestError: The path is ambiguous.
    """
    match = _TARGET.fullmatch(http_request.target)
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
        caller=http_request,
        service=name,
        path=path + (match.group(3) or ""),
        headers=_forwarded_headers(http_request),
        idempotent=_is_idempotent(http_request, service, path),
        timeout_s=float(service["timeout_s"]),
    )


def _is_idempotent(
    http_request: request.CallerRequest, service: Mapping[str, Any], path: str
) -> bool:
    if http_request.idempotent is not None:
        return http_request.idempotent
    if path in service["idempotent_paths"]:
        return True
    if service["default_idempotent"]:
        return True
    return http_request.method in _SAFE_METHODS


def _forwarded_headers(http_request: request.CallerRequest) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in _headers.end_to_end(http_request.fields):
        if name not in _REPLACED_HEADERS:
            is_repeated = name in headers
            headers[name] = (
                f"{headers[name]}, {value}" if is_repeated else value
            )
    headers[CALLER_REQUEST_ID_HEADER] = http_request.request_id
    if http_request.idempotency_key is not None:
        headers["idempotency-key"] = http_request.idempotency_key
    return headers


def _reason_phrase(answer: ServiceAnswer) -> str:
    return "OK" if answer.status < 300 else "Answered"

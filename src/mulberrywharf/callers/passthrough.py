"""``ANY /services/SERVICE/PATH``: calls to plain services.

The call is rebuilt from its checked parts, never copied as bytes, and what
belongs to one connection only is left out in both directions.
"""

import re
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from mulberrywharf import _headers, errors
from mulberrywharf.callers import request, response

_PREFIX = "/services/"
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
CALLER_REQUEST_ID_HEADER = "x-mulberry-caller-request-id"
"""Names the caller's own id to a service; ``x-request-id`` is the run's."""

_REWRITTEN = frozenset(
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
_ESCAPED_SEPARATOR = re.compile(r"%(2f|5c|00|0d|0a)", re.IGNORECASE)


class ServiceCall(NamedTuple):
    """One call to a plain service.

    Attributes:
        caller: The request it came in.
        service: Name of the service.
        path: Origin-form target at the backend server, with its query.
        headers: Header fields for the backend server, without the id of the
            run, which is not known yet.
        idempotent: Whether it may run more than once.
        timeout_s: The service's bound for one call.
    """

    caller: request.CallerRequest
    service: str
    path: str
    headers: dict[str, str]
    idempotent: bool
    timeout_s: float


class ServiceAnswer(NamedTuple):
    """What the backend server answered, whole.

    Attributes:
        status: HTTP status.
        headers: Header fields as they came, names in lower case.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceCalls(Protocol):
    """Runs calls to plain services, wherever."""

    def call(self, wanted: ServiceCall) -> ServiceAnswer:
        """Returns the whole answer.

        Raises:
            RequestError: With the outcome that holds for the call.
        """
        ...


def is_service_path(path: str) -> bool:
    """Returns whether a path belongs to a plain service."""
    return path.startswith(_PREFIX)


def respond(
    caller: request.CallerRequest,
    services: Mapping[str, Mapping[str, Any]],
    calls: ServiceCalls,
) -> response.Response:
    """Answers one call to a plain service.

    Raises:
        RequestError: The call is refused or its answer is lost.
    """
    answer = calls.call(read_call(caller, services))
    headers = [
        (name, value)
        for name, value in _headers.end_to_end(answer.headers)
        if name not in ("content-length", "x-request-id")
        and not name.startswith("x-mulberry-")
    ]
    headers.append(("x-request-id", caller.request_id))
    body = _body(answer, caller.method, headers)
    return response.Response(
        f"{answer.status} {_reason(answer)}", headers, body
    )


def read_call(
    caller: request.CallerRequest, services: Mapping[str, Mapping[str, Any]]
) -> ServiceCall:
    """Checks a call against the configured services.

    Raises:
        UnknownTargetError: No such service.
        BadRequestError: The path could be read in two ways.
    """
    match = _TARGET.fullmatch(caller.target)
    name = match.group(1) if match else ""
    service = services.get(name)
    if match is None or service is None:
        raise errors.UnknownTargetError(
            "no such service", advice="Ask the operators for its name."
        )
    path = match.group(2) or "/"
    if _DOT_SEGMENT.search(path) or _ESCAPED_SEPARATOR.search(path):
        # "/echo/../payment" would be taken for an idempotent path here and
        # run as a payment there, perhaps twice.
        raise errors.BadRequestError("the path has dot segments or separators")
    return ServiceCall(
        caller=caller,
        service=name,
        path=path + (match.group(3) or ""),
        headers=_forwarded(caller),
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


def _forwarded(caller: request.CallerRequest) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in _headers.end_to_end(caller.fields):
        if name not in _REWRITTEN:
            joined = name in headers
            headers[name] = f"{headers[name]}, {value}" if joined else value
    headers[CALLER_REQUEST_ID_HEADER] = caller.request_id
    if caller.idempotency_key is not None:
        headers["idempotency-key"] = caller.idempotency_key
    return headers


def _body(
    answer: ServiceAnswer, method: str, headers: list[tuple[str, str]]
) -> list[bytes]:
    if answer.status in (204, 304):
        return []
    if method == "HEAD":
        given = dict(answer.headers).get("content-length", "0")
        headers.append(("content-length", given))
        return []
    return response.blocks(answer.body)


def _reason(answer: ServiceAnswer) -> str:
    return "OK" if answer.status < 300 else "Answered"

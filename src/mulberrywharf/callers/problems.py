"""Converts failures to problem documents for callers.

Every error response is an ``application/problem+json`` document. Its
``outcome`` tells the caller whether the request may have run: ``not-run``
guarantees that it did not; ``unknown`` covers every other case, including
unexpected exceptions.
"""

import functools
import json
import math

from typing_extensions import TypedDict

from mulberrywharf import errors

CONTENT_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:mulberrywharf:"
_REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Problem(TypedDict):
    """The body of an error response.

    Attributes:
        type: Stable URN of the kind of failure.
        title: Readable name of the kind of failure.
        status: HTTP status code.
        detail: What went wrong with this request.
        outcome: Whether the request may have run.
        request_id: ID of the request that failed.
        advice: What the caller should do next.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: errors.Outcome
    request_id: str
    advice: str


@functools.singledispatch
def as_request_error(error: Exception) -> errors.RequestError:
    """Converts a failure to the error that is reported to the caller.

    Args:
        error: Any failure. A type without a registered conversion becomes an
            internal failure with an unknown outcome.
    """
    return errors.RequestError(
        f"internal failure ({type(error).__name__})", outcome="unknown"
    )


@as_request_error.register
def _(error: errors.RequestError) -> errors.RequestError:
    return error


@as_request_error.register
def _(error: errors.EngineUnreachableError) -> errors.RequestError:
    return errors.OverloadedError(
        error.message, outcome="not-run", retry_after_s=1.0
    )


@as_request_error.register
def _(error: errors.EngineRefusedError) -> errors.RequestError:
    return errors.OverloadedError(
        error.message, outcome="not-run", retry_after_s=1.0
    )


@as_request_error.register
def _(error: errors.EngineError) -> errors.RequestError:
    return errors.BackEndLostError(error.message, outcome="unknown")


@as_request_error.register
def _(error: errors.PlatformError) -> errors.RequestError:
    return errors.ClaimUnavailableError(
        error.message, outcome="not-run", retry_after_s=1.0
    )


@as_request_error.register
def _(error: errors.NodeError) -> errors.RequestError:
    return errors.ClaimUnavailableError(
        error.message, outcome="not-run", retry_after_s=1.0
    )


def problem(error: errors.RequestError, request_id: str) -> Problem:
    """Returns the problem document of an error."""
    return {
        "type": _TYPE_PREFIX + error.code,
        "title": error.code.replace("-", " "),
        "status": error.status,
        "detail": error.message,
        "outcome": error.outcome,
        "request_id": request_id,
        "advice": error.advice,
    }


def status_line(status: int) -> str:
    """Returns the status code with its reason phrase."""
    return f"{status} {_REASONS.get(status, 'Error')}"


def headers(
    error: errors.RequestError, request_id: str
) -> list[tuple[str, str]]:
    """Returns an error's response headers, without ``Content-Length``."""
    header_fields = [
        ("content-type", CONTENT_TYPE),
        ("x-request-id", request_id),
        ("x-mulberry-outcome", error.outcome),
    ]
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        header_fields.append(("retry-after", str(seconds)))
    return header_fields


def body(error: errors.RequestError, request_id: str) -> bytes:
    """Returns the response body of an error."""
    return json.dumps(problem(error, request_id)).encode()


def stream_event(error: errors.RequestError, request_id: str) -> bytes:
    """Returns the server-sent event that reports an error in a stream.

    No ``[DONE]`` event follows it, so a caller that checks for ``[DONE]`` does
    not take the truncated answer for a complete one.
    """
    document = json.dumps({"error": problem(error, request_id)})
    return b"data: " + document.encode() + b"\n\n"


def raw_response(error: errors.RequestError, request_id: str) -> bytes:
    """Returns the HTTP/1.1 response to a request that can't be parsed."""
    content = body(error, request_id)
    lines = [f"HTTP/1.1 {status_line(error.status)}"]
    lines += [f"{name}: {value}" for name, value in headers(error, request_id)]
    lines += [f"content-length: {len(content)}", "connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1", "replace") + content

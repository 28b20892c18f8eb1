"""HTTP responses to callers."""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrywharf import errors
from mulberrywharf.callers import problems

_BLOCK_BYTES = 65_536


class Response(NamedTuple):
    """An HTTP response to a caller.

    Attributes:
        status_line: Status and reason phrase, such as ``200 OK``.
        headers: Header fields. For a body of one block the WSGI server adds the
            ``Content-Length``.
        body: Blocks of the body. An iterator is advanced only as fast as the
            caller reads, so the answer to a slow caller is not buffered.
    """

    status_line: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


def blocks(body: bytes) -> list[bytes]:
    """Splits a body into blocks that are written one by one.

    The idle timeout of a connection applies to each write. Writing a large
    body at once would time out for a caller that reads slowly but steadily.
    """
    return [
        body[start : start + _BLOCK_BYTES]
        for start in range(0, len(body), _BLOCK_BYTES)
    ]


def json_response(body: bytes, request_id: str) -> Response:
    """Returns a successful response with a JSON body."""
    headers = [
        ("content-type", "application/json"),
        ("x-request-id", request_id),
    ]
    return Response("200 OK", headers, blocks(body))


def error_response(error: errors.RequestError, request_id: str) -> Response:
    """Returns the response that reports an error to the caller."""
    return Response(
        problems.status_line(error.status),
        problems.headers(error, request_id),
        [problems.body(error, request_id)],
    )

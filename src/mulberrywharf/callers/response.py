"""One answer towards a caller."""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrywharf import errors
from mulberrywharf.callers import problems

_BLOCK_BYTES = 65_536


class Response(NamedTuple):
    """What is written to the caller.

    Attributes:
        status_line: Such as ``200 OK``.
        headers: Header fields; a body of one part gets its length from the
            server.
        body: Its parts. An iterator is pulled only as fast as the caller
            reads, so a slow caller costs no memory here.
    """

    status_line: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


def blocks(body: bytes) -> list[bytes]:
    """Cuts a body into blocks that are written one by one.

    The bound on a caller that stops reading holds for each write; one write
    of a large body would end callers that read slowly but do read.
    """
    return [
        body[start : start + _BLOCK_BYTES]
        for start in range(0, len(body), _BLOCK_BYTES)
    ]


def json_response(body: bytes, request_id: str) -> Response:
    """Returns a successful answer with a JSON body."""
    headers = [
        ("content-type", "application/json"),
        ("x-request-id", request_id),
    ]
    return Response("200 OK", headers, blocks(body))


def refusal(error: errors.RequestError, request_id: str) -> Response:
    """Returns the answer that tells ``error`` to its caller."""
    return Response(
        problems.status_line(error.status),
        problems.headers(error, request_id),
        [problems.body(error, request_id)],
    )

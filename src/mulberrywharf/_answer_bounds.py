"""Bounds of what a peer may send that is no body of an answer.

geventhttpclient reads heads, trailers and bodies without a limit, and its
timeout is that of each wait. A peer that sends bytes without end, or single
bytes at long intervals, would fill the memory of the process or keep its reader
for good. ``_answers`` reads the answers of servers and gateways within these
bounds. The library's own client, which reads the key-value service and answers
to orders, gets them by ``BoundedSocket`` and ``BoundedHeaders``.
"""

import re
import time
from typing import Any, NamedTuple

from gevent import socket
from geventhttpclient import header, response

HEAD_LIMIT_BYTES = 64 * 1024
"""Maximum size of a head, interim heads before it included."""

FRAME_LIMIT_BYTES = 64 * 1024
"""Maximum number of bytes without any of the body: the length of a chunk with
its extensions, or the trailers."""

FIELDS_LIMIT_COUNT = 1_000
"""Maximum number of header fields and trailers of an answer."""

FIRST_FINAL_STATUS = 200
"""Answers with a lower status are interim ones."""

_EXPECTED_STATUSES = frozenset(range(100, 600)) - {101}
"""No request asks for another protocol, which 101 would switch to."""

_HEAD_END = b"\r\n\r\n"
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] ([0-9]{3})")


def check_status(status: int) -> None:
    """Checks the status of an answer.

    Raises:
        HTTPParseError: HTTP doesn't know it, or no request asks for it.
    """
    if status not in _EXPECTED_STATUSES:
        raise response.HTTPParseError(
            f"the answer has the unexpected status {status:03}"
        )


def is_final_status(status: int) -> bool:
    """Returns whether HTTP knows it as the status of a whole answer."""
    return status >= FIRST_FINAL_STATUS and status in _EXPECTED_STATUSES


class BoundedHeaders(header.Headers):
    """Header fields and trailers of an answer, limited in number."""

    def add(self, key: str, value: Any) -> None:
        """Adds a field.

        Raises:
            HTTPParseError: There are too many.
        """
        if len(self) >= FIELDS_LIMIT_COUNT:
            raise response.HTTPParseError("the answer has too many fields")
        super().add(key, value)


class Bounds(NamedTuple):
    """Limits of one answer.

    Attributes:
        answer_bytes: Maximum size, head and trailers included.
        answer_s: Maximum time from its first byte to its end. The wait for the
            first byte has the timeout of the socket.
    """

    answer_bytes: int
    answer_s: float


class BoundedSocket(socket.socket):
    """A socket on which each answer is bounded.

    An answer begins with each write, as a client writes only requests.
    """

    def __init__(
        self, family: int, kind: int, protocol: int, *, bounds: Bounds
    ):
        super().__init__(family, kind, protocol)
        self._bounds = bounds
        self._received_bytes = 0
        self._head = bytearray()
        self._is_in_head = True
        self._ends_s: float | None = None

    def begin_answer(self, *, with_head: bool = True) -> None:
        """Starts to count anew.

        Args:
            with_head: Whether a head comes first.
        """
        self._received_bytes = 0
        self._head.clear()
        self._is_in_head = with_head
        self._ends_s = None

    def sendall(self, *args: Any) -> None:
        """Writes a part of a request; what follows is its answer."""
        self.begin_answer()
        super().sendall(*args)

    def recv(self, *args: Any) -> bytes:
        """Reads from the connection.

        Raises:
            OSError: The connection failed, or the answer exceeds its bounds.
            HTTPParseError: The answer has an unexpected status.
        """
        if self._ends_s is not None and time.monotonic() > self._ends_s:
            raise TimeoutError(
                f"the answer lasts longer than {self._bounds.answer_s} s"
            )
        data = bytes(super().recv(*args))
        if self._ends_s is None:
            self._ends_s = time.monotonic() + self._bounds.answer_s
        self._received_bytes += len(data)
        limit_bytes = self._bounds.answer_bytes
        self._follow_heads(data)
        if self._is_in_head:
            limit_bytes = HEAD_LIMIT_BYTES
        if self._received_bytes > limit_bytes:
            raise OSError(f"an answer exceeds {limit_bytes} bytes")
        return data

    def _follow_heads(self, data: bytes) -> None:
        """Looks for the end of the final head, after any interim ones.

        Raises:
            HTTPParseError: A head has an unexpected status.
        """
        if not self._is_in_head:
            return
        searched_bytes = max(0, len(self._head) + 1 - len(_HEAD_END))
        self._head += data
        while self._is_in_head:
            stated = _STATUS_LINE.match(self._head)
            status = int(stated[1]) if stated else FIRST_FINAL_STATUS
            check_status(status)
            end = self._head.find(_HEAD_END, searched_bytes)
            if end < 0:
                return
            self._is_in_head = status < FIRST_FINAL_STATUS
            del self._head[: end + len(_HEAD_END)]
            searched_bytes = 0
        self._head.clear()

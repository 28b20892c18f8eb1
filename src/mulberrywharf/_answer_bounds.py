"""Bounds of what a peer may send that is no body of an answer.

geventhttpclient reads heads, trailers and bodies without a limit, and its
timeout is that of each wait. A peer that sends bytes without end, or single
bytes at long intervals, would fill the memory of the process or keep its reader
for good. ``_answers`` reads the answers of servers and gateways within these
bounds.
"""

from typing import Any

from geventhttpclient import header, response

HEAD_LIMIT_BYTES = 64 * 1024
"""Maximum size of a head, interim heads before it included."""

FRAME_LIMIT_BYTES = 64 * 1024
"""Maximum number of bytes without any of the body: the length of a chunk with
its extensions, or the trailers."""

FIELDS_LIMIT_COUNT = 1_000
"""Maximum number of header fields and trailers of an answer."""


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

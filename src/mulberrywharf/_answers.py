"""The answer to one request, read on a connection that we own."""

from typing import Any

from geventhttpclient import response as http_response

from mulberrywharf import fleet, metrics

READ_BLOCK_BYTES = 16 * 1024
_HEAD_LIMIT_BYTES = 64 * 1024
_FIRST_FINAL_STATUS = 200

_foreign = metrics.counter(
    "mulberry_foreign_answers_total",
    "Answers dropped because they carry another request's id.",
)


def count_foreign(address: fleet.Address) -> None:
    """Counts an answer that carried another request's id."""
    _foreign.inc({"peer": str(address)})


class Answer(http_response.HTTPSocketResponse):
    """The answer to one request, its body read as it comes."""

    def __init__(self, sock: Any, method: str):
        self._final_complete = False
        self._unexpected = False
        self._head_bytes = 0
        super().__init__(sock, block_size=READ_BLOCK_BYTES, method=method)

    @property
    def is_framed(self) -> bool:
        """Whether the answer itself says where it ends.

        Without a length the end of the connection ends the body, so a cut
        answer looks just like a whole one.
        """
        if self.method == "HEAD" or self.status_code in (204, 304):
            return True
        return "content-length" in self or "transfer-encoding" in self

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            self._final_complete
            and not self._unexpected
            and self.is_framed
            and not self.should_close()
        )

    @property
    def needs_bytes(self) -> bool:
        """Whether ``read_some`` has to read from the connection."""
        return not self._body_buffer and not self.message_complete

    def header(self, name: str) -> str | None:
        """Returns a header field; the first if it came several times."""
        value = self.get(name)
        if isinstance(value, list):
            return str(value[0])
        return value

    def read_some(self) -> bytes:
        """Waits for the next bytes of the body.

        Returns:
            At least one byte, or nothing at the end of the answer.

        Raises:
            OSError: The connection failed or timed out.
            HTTPParseError: The answer is malformed or cut off.
        """
        while self.needs_bytes:
            if self._sock is None:
                raise http_response.HTTPConnectionClosed("connection closed")
            self.feed(self._sock.recv(self.block_size))
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def feed(self, data: str | bytes) -> None:
        """Hands bytes of the connection to the parser."""
        if not self.headers_complete:
            self._head_bytes += len(data)
            if self._head_bytes > _HEAD_LIMIT_BYTES:
                raise http_response.HTTPParseError("the head is too large")
        super().feed(data)

    def release(self) -> None:
        """Leaves the socket to the exchange, which owns it."""

    def _on_message_begin(self) -> None:
        # A second answer on the wire would be parsed into this one's body:
        # the caller would get bytes that belong to another request.
        if self._final_complete:
            self._unexpected = True
            raise http_response.HTTPProtocolViolationError("a second answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= _FIRST_FINAL_STATUS:
            self._final_complete = True

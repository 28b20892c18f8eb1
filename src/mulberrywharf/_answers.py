"""Reads the answer to an HTTP request from the connection of an exchange."""

from typing import Any

from geventhttpclient import response as http_response

from mulberrywharf import _answer_bounds, _headers, fleet, metrics

READ_BLOCK_BYTES = 16 * 1024

_foreign_answers_total = metrics.counter(
    "mulberry_foreign_answers_total",
    "Answers dropped because they carry another request's id.",
)


def count_foreign(address: fleet.Address) -> None:
    """Counts an answer that carried another request's id."""
    _foreign_answers_total.inc({"peer": str(address)})


class Answer(http_response.HTTPSocketResponse):
    """The answer to one request; its body is read incrementally."""

    def __init__(self, sock: Any, method: str):
        self._is_final_complete = False
        self._has_second_answer = False
        self._head_bytes = 0
        self._frame_bytes = 0
        super().__init__(
            sock,
            block_size=READ_BLOCK_BYTES,
            method=method,
            headers_type=_answer_bounds.BoundedHeaders,
        )

    @property
    def is_framed(self) -> bool:
        """Whether the answer itself marks its end.

        Otherwise the body ends when the connection closes, and a truncated
        answer cannot be distinguished from a complete one.
        """
        is_bodiless = self.status_code in _headers.BODILESS_STATUSES
        if self.method == "HEAD" or is_bodiless:
            return True
        codings = ",".join(self.header_values("transfer-encoding"))
        if codings:
            return codings.rpartition(",")[2].strip(" \t").lower() == "chunked"
        return "content-length" in self

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            self._is_final_complete
            and not self._has_second_answer
            and self.is_framed
            and not self.should_close()
        )

    @property
    def needs_bytes(self) -> bool:
        """Whether ``read_some`` has to read from the connection."""
        return not self._body_buffer and not self.message_complete

    def header(self, name: str) -> str | None:
        """Returns a header field; the first one if it is repeated."""
        value = self.get(name)
        if isinstance(value, list):
            return str(value[0])
        return value

    def header_values(self, name: str) -> tuple[str, ...]:
        """Returns each value of a header field, none if it is missing."""
        value = self.get(name)
        if value is None:
            return ()
        return tuple(value) if isinstance(value, list) else (value,)

    def read_some(self) -> bytes:
        """Waits for the next bytes of the body.

        Returns:
            At least one byte, or no bytes at the end of the answer.

        Raises:
            OSError: The connection failed or timed out.
            HTTPParseError: The answer is malformed or truncated.
        """
        while self.needs_bytes:
            self.read_block()
        return self.take_body()

    def read_block(self) -> None:
        """Waits for the next bytes from the connection and parses them.

        Raises:
            OSError: The connection failed or timed out.
            HTTPParseError: The answer is malformed or truncated.
        """
        if self._sock is None:
            raise http_response.HTTPConnectionClosed("connection closed")
        self.feed(self._sock.recv(self.block_size))

    def take_body(self) -> bytes:
        """Returns the bytes of the body that were read since the last call."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def feed(self, data: str | bytes) -> None:
        """Passes bytes from the connection to the parser."""
        if not self.headers_complete:
            self._head_bytes += len(data)
            if self._head_bytes > _answer_bounds.HEAD_LIMIT_BYTES:
                raise http_response.HTTPParseError(
                    "the head of the answer is too large"
                )
            super().feed(data)
            return
        body_bytes = len(self._body_buffer)
        super().feed(data)
        if len(self._body_buffer) > body_bytes:
            self._frame_bytes = 0
            return
        self._frame_bytes += len(data)
        if self._frame_bytes > _answer_bounds.FRAME_LIMIT_BYTES:
            raise http_response.HTTPParseError(
                "the answer has too many bytes between those of its body"
            )

    def release(self) -> None:
        """Does nothing, as the exchange owns the socket."""

    def _on_message_begin(self) -> None:
        # A second answer on the connection would be parsed into the body of
        # this one: the caller would get bytes that belong to another request.
        if self._is_final_complete:
            self._has_second_answer = True
            raise http_response.HTTPProtocolViolationError(
                "a second answer follows"
            )
        super()._on_message_begin()
        # Errors in this message must not count as surplus bytes after an
        # interim one.
        self._message_ended_in_skip_body = False

    def _on_headers_complete(self) -> int | bool | None:
        _answer_bounds.check_status(self.get_code())
        return super()._on_headers_complete()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= _answer_bounds.FIRST_FINAL_STATUS:
            self._is_final_complete = True

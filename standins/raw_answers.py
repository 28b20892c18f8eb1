"""Answers written byte for byte, so that they can end anywhere."""

import errno
from collections.abc import Sequence
from typing import Any, Literal, NamedTuple

from mulberrywharf import _connections
from standins import _http

Framing = Literal["chunks", "length", "none", "http/1.0"]
"""How an answer marks its end; ``none`` and ``http/1.0`` don't."""

End = Literal["close", "reset", "silent"]
"""What becomes of the connection where the answer ends."""


class RawAnswer(NamedTuple):
    """An answer, and where it ends.

    Attributes:
        headers: Header fields.
        body: Pieces of the body.
        framing: How it marks its end.
        cut_at: Bytes of head and body that are sent, None for all; a negative
            number counts from the end.
        end: What becomes of the connection then.
        has_interim: Whether an interim head comes first.
        status: Status code and reason phrase.
    """

    headers: Sequence[tuple[str, str]]
    body: Sequence[bytes]
    framing: Framing = "none"
    cut_at: int | None = None
    end: End = "close"
    has_interim: bool = False
    status: str = "200 OK"

    def encode(self) -> bytes:
        """Returns all its bytes, whether they are sent or not."""
        version = "1.0" if self.framing == "http/1.0" else "1.1"
        lines = [f"HTTP/{version} {self.status}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        pieces = list(self.body)
        if self.framing == "length":
            lines.append(f"content-length: {sum(map(len, pieces))}")
        if self.framing == "chunks":
            lines.append("transfer-encoding: chunked")
            pieces = [b"%x\r\n%s\r\n" % (len(one), one) for one in pieces]
            pieces.append(b"0\r\n\r\n")
        head = "\r\n".join(lines) + "\r\n\r\n"
        if self.has_interim:
            head = "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n" + head
        return head.encode() + b"".join(pieces)


def send(environ: dict[str, Any], answer: RawAnswer) -> None:
    """Sends an answer and ends its connection.

    Raises:
        BrokenPipeError: Always, so that the listener adds nothing.
    """
    environ[_http.IS_ANSWERED_KEY] = True
    sock = environ[_http.SOCKET_KEY]
    sock.sendall(answer.encode()[: answer.cut_at])
    if answer.end == "silent":
        _http.wait_until_peer_is_gone(environ)
    elif answer.end == "reset":
        _connections.reset_on_close(sock)
    raise BrokenPipeError(errno.EPIPE, "the answer has ended")

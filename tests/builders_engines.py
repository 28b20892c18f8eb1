"""Builders of engine answers, and scripted servers for tests."""

import json
import unittest
from collections.abc import Callable
from typing import Any

import gevent
import gevent.pool
from gevent import socket
from gevent.server import StreamServer

from mulberrywharf import fleet
from standins import engine_tokens

MODEL = "tagger"
PROMPT = "tag this note"
REQUEST_ID = "request-1"
DONE = b"data: [DONE]\n\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"

Script = Callable[[Any, bytes], None]


class ScriptedServer:
    """A TCP server that calls a script for each request.

    Attributes:
        requests: Every complete request received, head and body.
        connection_count: Number of accepted connections.
        requests_per_connection: Number of requests per connection, for
            connections with at least one request.
    """

    def __init__(self, script: Script):
        self.requests: list[bytes] = []
        self.connection_count = 0
        self.requests_per_connection: list[int] = []
        self._script = script
        self._server = StreamServer(
            ("127.0.0.1", 0), self._serve, spawn=gevent.pool.Pool()
        )
        self._server.start()

    @property
    def address(self) -> fleet.Address:
        """The address on which it listens."""
        return fleet.Address("127.0.0.1", self._server.server_port)

    def close(self) -> None:
        """Stops listening and closes its connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, address: Any) -> None:
        self.connection_count += 1
        number = None
        try:
            while request := read_request(sock):
                if number is None:
                    number = len(self.requests_per_connection)
                    self.requests_per_connection.append(0)
                self.requests_per_connection[number] += 1
                self.requests.append(request)
                self._script(sock, request)
        except OSError:
            return
        finally:
            sock.close()


class ScriptedServerCase(unittest.TestCase):
    """A test case with scripted servers."""

    def serve(self, script: Script) -> ScriptedServer:
        """Starts a scripted server, which is closed when the test ends."""
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        return server


def read_request(sock: Any) -> bytes:
    """Reads a request with its body; empty if the peer closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        some = sock.recv(65536)
        if not some:
            return b""
        data += some
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(header(head, b"content-length") or 0)
    while len(body) < length:
        body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


def header(head: bytes, name: bytes) -> bytes:
    """Returns the value of a header field, or empty bytes."""
    for line in head.split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.lower() == name:
            return value.strip()
    return b""


def document_of(request: bytes) -> dict[str, Any]:
    """Returns the JSON body of a request."""
    return dict(json.loads(request.partition(b"\r\n\r\n")[2]))


def is_cancel(request: bytes) -> bool:
    """Returns whether a request is a cancel request."""
    return request.startswith(b"POST /v1/cancel ")


def chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(
    index: int,
    *,
    last: bool = False,
    request_id: str = REQUEST_ID,
    usage_tokens: int | None = None,
) -> bytes:
    """Returns the event for one token of the standard answer."""
    document: dict[str, Any] = {
        "id": request_id,
        "object": "text_completion",
        "model": MODEL,
        "choices": [
            {
                "index": 0,
                "text": engine_tokens.token_text(MODEL, PROMPT, index),
                "finish_reason": "stop" if last else None,
            }
        ],
        "token_index": index,
    }
    if last:
        count = usage_tokens if usage_tokens is not None else index + 1
        document["usage"] = {"prompt_tokens": 3, "completion_tokens": count}
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def events(first: int, end: int, whole: int) -> bytes:
    """Returns events ``first`` to ``end - 1`` of a ``whole``-token answer."""
    return b"".join(
        event(index, last=index == whole - 1) for index in range(first, end)
    )


def whole_stream(first: int, whole: int) -> bytes:
    """Returns a complete HTTP answer that streams from token ``first``."""
    body = events(first, whole, whole) + DONE
    return STREAM_HEAD + chunk(body) + LAST_CHUNK


def plain_answer(body: bytes, *, headers: bytes = b"") -> bytes:
    """Returns a 200 answer with a content length."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n%s\r\n%s" % (
        len(body),
        headers,
        body,
    )


def answer_text(count: int) -> str:
    """Returns the text of the first ``count`` tokens of the answer."""
    return "".join(
        engine_tokens.token_text(MODEL, PROMPT, index) for index in range(count)
    )


def request_body(max_tokens: int = 8) -> dict[str, Any]:
    """Returns the body of the standard request."""
    return {
        "model": MODEL,
        "prompt": PROMPT,
        "max_tokens": max_tokens,
        "stream": True,
    }


def closed_address() -> fleet.Address:
    """Returns an address on which nothing listens."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    return fleet.Address("127.0.0.1", port)


def wait_until(condition: Callable[[], bool], bound_s: float = 20.0) -> bool:
    """Waits until a condition holds; returns whether it did in time."""
    with gevent.Timeout(bound_s, False):
        while not condition():
            gevent.sleep(0.005)
        return True
    return False

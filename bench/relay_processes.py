"""The processes that ``bench.relay`` measures: source, relay and reader.

Run as ``python -m bench.relay_processes source`` and so on; each announces
its port and runs until it is ended.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import json
import time
from collections.abc import Iterable, Iterator
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from mulberrywharf import _wsgi, fleet
from mulberrywharf.engines import streams

_BLOCK_EVENTS = 16
_REQUEST_LINE = b""
_READ_BYTES = 256 * 1024
_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\nx-request-id: %s\r\n\r\n"
)


class Source:
    """Sends numbered events, as fast as they are taken or at a pace.

    To a router it is an engine that always has room: it reports an idle load
    and begins each answer at once.
    """

    def __init__(self, ip: str, *, engine_id: str = "", between_s: float = 0.0):
        """Makes a source.

        Args:
            ip: Where to listen.
            engine_id: Its name in reports of its load.
            between_s: Time between tokens for requests that name none.
        """
        self._server = StreamServer((ip, 0), self._serve)
        self._engine_id = engine_id
        self._between_s = between_s

    def start(self) -> int:
        """Listens; returns the port."""
        self._server.start()
        return int(self._server.server_port)

    def _serve(self, sock: Any, address: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = sock.makefile("rb")
        try:
            while head := _read_head(reader):
                length = int(head.get(b"content-length", b"0"))
                body = reader.read(length)
                if head[_REQUEST_LINE].startswith(b"POST /v1/"):
                    request_id = head[b"x-request-id"]
                    self._send(sock, request_id, json.loads(body))
                else:
                    sock.sendall(self._report(head[_REQUEST_LINE]))
        except OSError:
            return
        finally:
            sock.close()

    def _send(self, sock: Any, request_id: bytes, body: Any) -> None:
        count = body["max_tokens"]
        between_s = body.get("between_s", self._between_s)
        sock.sendall(_HEAD % request_id)
        block_events = 1 if between_s else _BLOCK_EVENTS
        for start in range(0, count, block_events):
            end = min(start + block_events, count)
            sock.sendall(
                b"".join(
                    _chunk(_event(request_id, index, index == count - 1))
                    for index in range(start, end)
                )
            )
            if between_s:
                gevent.sleep(between_s)
        sock.sendall(_chunk(streams.DONE_EVENT) + _chunk(b""))

    def _report(self, request_line: bytes) -> bytes:
        """Returns what an idle engine says of its load or of its cache."""
        document: dict[str, Any] = {"events": [], "last_sequence": 0}
        if b" /load " in request_line:
            document = fleet.LoadReport(
                engine_id=self._engine_id,
                role="mixed",
                state="ready",
                models=("tagger",),
                prefill_tokens_per_s=20_000.0,
                decode_tokens_per_s=4_000.0,
                reported_unix_s=time.time(),
            )._asdict()
        body = json.dumps(document).encode()
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
            len(body),
            body,
        )


class Relay:
    """Relays streams of the source as a router does."""

    def __init__(self, ip: str, source: fleet.Address):
        self._source = source
        self._server = _wsgi.WsgiServer(ip, 0, self._application)

    def start(self) -> int:
        """Listens; returns the port."""
        self._server.start()
        return self._server.port

    def _application(
        self, environ: _wsgi.Environ, start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        address = self._source
        port = environ.get("HTTP_X_SOURCE_PORT")
        if port:
            address = fleet.Address(address.ip, int(port))
        stream = streams.EngineStream.open(
            address,
            environ["PATH_INFO"],
            body,
            environ["HTTP_X_REQUEST_ID"],
        ).unwrap()
        start_response("200 OK", [("content-type", "text/event-stream")])
        return _blocks(stream)


class Reader:
    """Reads one endless stream and throws it away; on its own core."""

    def __init__(self, address: fleet.Address, source_port: int):
        self._address = address
        self._source_port = source_port

    def run(self) -> None:
        """Reads until it is ended."""
        while True:
            read_stream(
                self._address,
                tokens=200_000,
                between_s=0.0,
                source_port=self._source_port,
            )


def read_stream(
    address: fleet.Address,
    *,
    tokens: int,
    between_s: float,
    source_port: int = 0,
) -> int:
    """Reads one stream to its end; returns the number of its tokens."""
    with socket.create_connection(address) as sock:
        send_request(sock, tokens, between_s, source_port)
        count = 0
        tail = b""
        while True:
            data = sock.recv(_READ_BYTES)
            if not data:
                break
            count += data.count(b'"token_index"')
            tail = (tail + data)[-32:]
            if tail.endswith(b"0\r\n\r\n"):
                break
        return count


def send_request(
    sock: Any, tokens: int, between_s: float, source_port: int = 0
) -> None:
    """Asks for one stream."""
    body = json.dumps({"max_tokens": tokens, "between_s": between_s}).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: bench\r\n"
        f"x-request-id: bench-request\r\ncontent-length: {len(body)}\r\n"
        f"x-source-port: {source_port or ''}\r\n\r\n"
    )
    sock.sendall(head.encode() + body)


def _blocks(stream: streams.EngineStream) -> Iterator[bytes]:
    try:
        for batch in stream.batches():
            yield batch.raw
    finally:
        stream.close()


def _read_head(reader: Any) -> dict[bytes, bytes]:
    fields = {}
    if request_line := reader.readline():
        fields[_REQUEST_LINE] = request_line
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.partition(b":")
        fields[name.lower()] = value.strip()
    return fields


def _event(request_id: bytes, index: int, last: bool) -> bytes:
    ending = b'"stop"' if last else b"null"
    return (
        b'data: {"id": "%s", "object": "text_completion", "model": "tagger", '
        b'"choices": [{"index": 0, "text": "%06x ", "finish_reason": %s}], '
        b'"token_index": %d}\n\n' % (request_id, index, ending, index)
    )


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def main() -> None:
    """Runs one process of the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("source", "relay", "reader"))
    parser.add_argument("--peer-port", type=int, default=0)
    parser.add_argument("--source-port", type=int, default=0)
    parser.add_argument("--engine-ids", nargs="+", default=["source"])
    parser.add_argument("--between-s", type=float, default=0.0)
    arguments = parser.parse_args()
    peer = fleet.Address("127.0.0.1", arguments.peer_port)
    if arguments.kind == "reader":
        _wsgi.announce_ready(kind="reader")
        Reader(peer, arguments.source_port).run()
        return
    if arguments.kind == "relay":
        port = Relay(peer.ip, peer).start()
        _wsgi.announce_ready(kind="relay", port=port)
    else:
        sources = [
            Source(peer.ip, engine_id=name, between_s=arguments.between_s)
            for name in arguments.engine_ids
        ]
        ports = [source.start() for source in sources]
        _wsgi.announce_ready(kind="source", port=ports[0], ports=ports)
    gevent.wait()


if __name__ == "__main__":
    main()

"""Tests of servers that send bytes without end that are no answer."""

import itertools
import time
import tracemalloc
import unittest
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
from result import Err

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import load_client, orders
from mulberrywharf.operators import client
from mulberrywharf.platform_service import http_calls
from tests import builders_engines

MEMORY_LIMIT_BYTES = 8_000_000
TIMEOUT_S = 1.0
ENDED_WITHIN_S = TIMEOUT_S + 0.5
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
BODY = CHUNKED + b"4\r\nbody\r\n"
_BLOCK_BYTES = 64 * 1024


def _repeated(unit: bytes) -> Iterator[bytes]:
    return itertools.repeat(unit * (_BLOCK_BYTES // len(unit)))


WITHOUT_END = {
    "interim heads": lambda: _repeated(b"HTTP/1.1 103 Early\r\n\r\n"),
    "lines of a head": lambda: itertools.chain([HEAD], _repeated(b"a: b\r\n")),
    "a line of a head": lambda: itertools.chain(
        [HEAD, b"a: "], _repeated(b"b")
    ),
    "a status line": lambda: itertools.chain(
        [b"HTTP/1.1 200 "], _repeated(b"O")
    ),
    "trailers": lambda: itertools.chain(
        [BODY, b"0\r\n"], _repeated(b"a: b\r\n")
    ),
    "a trailer": lambda: itertools.chain([BODY, b"0\r\na: "], _repeated(b"b")),
    "an extension of a chunk": lambda: itertools.chain(
        [BODY, b"4;a="], _repeated(b"b")
    ),
    "a chunk's length": lambda: itertools.chain([BODY], _repeated(b"0")),
}
"""Blocks that a server sends as fast as it can, by what they are."""

SLOWLY = {
    "interim heads": lambda: itertools.repeat(b"HTTP/1.1 103 E\r\n\r\n"),
    "a head": lambda: itertools.chain([HEAD, b"a: "], itertools.repeat(b"b")),
    "trailers": lambda: itertools.chain(
        [BODY, b"0\r\na: "], itertools.repeat(b"b")
    ),
    "an extension of a chunk": lambda: itertools.chain(
        [BODY, b"4;a="], itertools.repeat(b"b")
    ),
}
"""Blocks that a server sends each 10 ms, by what they are."""


class UnendingAnswerTest(builders_engines.ScriptedServerCase):
    """Guards against a server whose answer fills the memory of a gateway."""

    def serve_blocks(
        self, blocks: Iterable[bytes], pause_s: float = 0.0
    ) -> builders_engines.ScriptedServer:
        def script(sock: Any, _: bytes) -> None:
            for block in blocks:
                sock.sendall(block)
                gevent.sleep(pause_s)

        return self.serve(script)

    def read(self, server: builders_engines.ScriptedServer) -> Any:
        exchange = _exchange.Exchange.open(server.address).unwrap()
        self.addCleanup(exchange.close)
        sent = exchange.send(_exchange.Request("GET", "/"), TIMEOUT_S)
        if isinstance(sent, Err):
            return sent
        return exchange.read_all(TIMEOUT_S, 100_000)

    def check(
        self,
        server: builders_engines.ScriptedServer,
        read: Callable[[builders_engines.ScriptedServer], Any] | None = None,
    ) -> None:
        tracemalloc.start()
        try:
            began_s = time.monotonic()
            with gevent.Timeout(4.0 * TIMEOUT_S):
                received = (read or self.read)(server)
            took_s = time.monotonic() - began_s
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertIsInstance(received, Err)
        self.assertIsInstance(received.err_value, errors.MulberryError)
        self.assertLess(peak_bytes, MEMORY_LIMIT_BYTES)
        self.assertLess(took_s, ENDED_WITHIN_S)

    def test_bytes_without_end(self) -> None:
        for name, blocks in WITHOUT_END.items():
            with self.subTest(name):
                self.check(self.serve_blocks(blocks()))

    def test_single_bytes_without_end(self) -> None:
        """Guards against a wait that begins anew with each byte."""
        for name, blocks in SLOWLY.items():
            with self.subTest(name):
                self.check(self.serve_blocks(blocks(), pause_s=0.01))

    def test_readers_of_whole_answers(self) -> None:
        """Guards against a peer that fills the memory of a process."""
        readers: dict[str, Callable[[fleet.Address], Any]] = {
            "store": lambda address: http_calls.HttpCalls(
                {"ip": address.ip, "port": address.port}, TIMEOUT_S
            ).call("GET", "/kv-range"),
            "load": lambda address: load_client.read_load(
                address, timeout_s=TIMEOUT_S
            ),
            "order": lambda address: orders.post_once(
                address,
                "/orders",
                b"{}",
                {},
                user_timeout_s=TIMEOUT_S,
                before_send=lambda: None,
            ),
            "status": lambda address: client.read_status(
                address, "token", TIMEOUT_S
            ),
        }
        for name, read in readers.items():
            for kind in ("lines of a head", "trailers", "a line of a head"):
                with self.subTest(reader=name, kind=kind):
                    self.check(
                        self.serve_blocks(WITHOUT_END[kind]()),
                        lambda server, read=read: read(server.address),
                    )

    def test_a_line_of_the_store_without_end(self) -> None:
        stream_head = HEAD + b"content-type: application/json\r\n\r\n"
        server = self.serve_blocks(
            itertools.chain([stream_head, b'{"a": "'], _repeated(b"b"))
        )
        calls = http_calls.HttpCalls(
            {"ip": server.address.ip, "port": server.address.port}, TIMEOUT_S
        )
        stream = calls.open_stream("/watch", {}, silence_timeout_s=TIMEOUT_S)
        self.addCleanup(stream.close)
        with self.assertRaises(OSError):
            stream.read()

    def test_an_answer_in_small_pieces_is_read(self) -> None:
        chunks = b"".join(
            b"1;x=y\r\n%c\r\n" % (97 + n % 26) for n in range(500)
        )
        whole = CHUNKED + chunks + b"0\r\ndigest: x\r\n\r\n"
        server = self.serve(
            lambda sock, _: [
                sock.sendall(whole[at : at + 7])
                for at in range(0, len(whole), 7)
            ]
        )
        self.assertEqual(len(self.read(server).unwrap()), 500)


if __name__ == "__main__":
    unittest.main()

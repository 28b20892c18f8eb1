"""Tests of what callers see of a stream whose router is killed."""

import json
import re
import signal
import unittest

import gevent
from gevent import socket

from tests import callers_fixture, cluster

VERSIONS = ("HTTP/1.1", "HTTP/1.0")
STREAMS_COUNT = 30
BETWEEN_STREAMS_S = 0.1
TOKENS_COUNT = 20
CHUNKS_END = b"0\r\n\r\n"
EVENTS_END = b"[DONE]"
_TIMEOUT_S = 30.0


class RouterKillTest(unittest.TestCase):
    """Guards against a cut stream that looks complete to its caller."""

    def setUp(self) -> None:
        self.cluster = cluster.Cluster(
            cluster.Shape(engines_per_zone=2)
        ).start()
        self.addCleanup(self.cluster.close)
        for engine in self.cluster.engines:
            engine.set_faults(slow_factor=50.0)

    def send(
        self, version: str, tokens_count: int, *, is_stream: bool
    ) -> socket.socket:
        """Sends a completion request; returns its connection."""
        router = self.cluster.routers[0].process
        body = json.dumps(
            {
                "model": cluster.MODEL,
                "prompt": "hello",
                "max_tokens": tokens_count,
                "stream": is_stream,
            }
        )
        sock = socket.create_connection(
            (cluster.LOOPBACK, router.ready["callers"]), timeout=_TIMEOUT_S
        )
        self.addCleanup(sock.close)
        sock.sendall(
            (
                f"POST /v1/completions {version}\r\nhost: router\r\n"
                f"authorization: Bearer {callers_fixture.CUSTOMER_KEY}\r\n"
                f"content-length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )
        return sock

    def begin_stream(self, version: str) -> socket.socket:
        """Begins a long stream; returns its connection behind an event."""
        sock = self.send(version, 500, is_stream=True)
        received = b""
        while b"data: " not in received:
            received += sock.recv(65_536)
        self.assertIn(b" 200 ", received.partition(b"\r\n")[0])
        self.is_chunked = b"transfer-encoding: chunked" in received.lower()
        return sock

    def looks_whole(self, data: bytes, *, is_reset: bool) -> bool:
        """Returns whether an answer looks whole to a caller of its framing."""
        head, has_head, body = data.partition(b"\r\n\r\n")
        if not has_head:
            return False
        self.assertIn(b" 200 ", head.partition(b"\r\n")[0])
        fields = head.lower()
        if b"transfer-encoding: chunked" in fields:
            return body.endswith(CHUNKS_END)
        length = re.search(rb"content-length: (\d+)", fields)
        return len(body) == int(length[1]) if length else not is_reset

    def kill_behind(self, sock: socket.socket) -> tuple[bytes, bool]:
        router = self.cluster.routers[0].process
        router.signal(signal.SIGKILL)
        router.wait()
        return callers_fixture.read_to_any_end(sock)

    def test_answers_cut_at_many_bytes_look_broken(self) -> None:
        for engine in self.cluster.engines:
            engine.set_faults(slow_factor=10.0)
        socks = []
        for number in range(STREAMS_COUNT):
            socks.append(
                self.send(
                    VERSIONS[number % 2],
                    TOKENS_COUNT,
                    is_stream=number % 3 > 0,
                )
            )
            gevent.sleep(BETWEEN_STREAMS_S)
        router = self.cluster.routers[0].process
        router.signal(signal.SIGKILL)
        router.wait()
        cut_count = 0
        for number, sock in enumerate(socks):
            data, is_reset = callers_fixture.read_to_any_end(sock)
            is_stream = number % 3 > 0
            is_cut = is_stream and EVENTS_END not in data
            cut_count += is_cut and b"data: " in data
            with self.subTest(data[-120:], is_reset=is_reset):
                is_whole = self.looks_whole(data, is_reset=is_reset)
                self.assertFalse(is_cut and is_whole)
                if is_whole and not is_stream:
                    json.loads(data.partition(b"\r\n\r\n")[2])
        self.assertGreater(cut_count, 2)

    def test_stream_in_chunks_has_no_end(self) -> None:
        rest, _ = self.kill_behind(self.begin_stream("HTTP/1.1"))
        self.assertTrue(self.is_chunked)
        self.assertNotIn(EVENTS_END, rest)
        self.assertFalse(rest.endswith(CHUNKS_END))

    def test_stream_that_ends_with_its_connection_is_reset(self) -> None:
        rest, is_reset = self.kill_behind(self.begin_stream("HTTP/1.0"))
        self.assertFalse(self.is_chunked)
        self.assertNotIn(EVENTS_END, rest)
        self.assertTrue(is_reset)


if __name__ == "__main__":
    unittest.main()

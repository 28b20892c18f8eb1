"""Tests of what callers see of a stream whose router is killed."""

import json
import signal
import unittest

from gevent import socket

from tests import callers_fixture, cluster

CHUNKS_END = b"0\r\n\r\n"
EVENTS_END = b"[DONE]"
_TIMEOUT_S = 30.0


class RouterKillTest(unittest.TestCase):
    """Guards against a cut stream that looks complete to its caller."""

    def setUp(self) -> None:
        self.cluster = cluster.Cluster(cluster.Shape()).start()
        self.addCleanup(self.cluster.close)
        for engine in self.cluster.engines:
            engine.set_faults(slow_factor=50.0)

    def begin_stream(self, version: str) -> socket.socket:
        """Begins a long stream; returns its connection behind an event."""
        router = self.cluster.routers[0].process
        body = json.dumps(
            {
                "model": cluster.MODEL,
                "prompt": "hello",
                "max_tokens": 500,
                "stream": True,
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
        received = b""
        while b"data: " not in received:
            received += sock.recv(65_536)
        self.assertIn(b" 200 ", received.partition(b"\r\n")[0])
        self.is_chunked = b"transfer-encoding: chunked" in received.lower()
        return sock

    def kill_behind(self, sock: socket.socket) -> tuple[bytes, bool]:
        router = self.cluster.routers[0].process
        router.signal(signal.SIGKILL)
        router.wait()
        return callers_fixture.read_to_any_end(sock)

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

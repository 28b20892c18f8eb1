"""Tests of what callers see of plain answers whose router is killed."""

import signal
import sys
import unittest
from typing import Any

import gevent
from gevent import socket

from tests import builders_engines, callers_fixture, cluster, test_gateway

VERSIONS = ("HTTP/1.1", "HTTP/1.0")
SHORT = b"a short answer, of which a caller must get all or see a break"
BUFFERED = b"x" * 40_000
"""Fits into the buffers of a connection to a reader that has not begun."""

LARGE = bytes(range(256)) * 48_000
"""More than the buffers of a connection hold."""

CALLERS_COUNT = 40
SLOW_CALLERS_COUNT = 8
CHUNK_BYTES = 7_919
_PUBLISHED_WITHIN_S = 3.0
_SENT_WITHIN_S = 0.5
_READ_TIMEOUT_S = 30.0


def length_framed(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def in_chunks(body: bytes) -> bytes:
    blocks = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in blocks)
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n\r\n"


class PlainKillCase(unittest.TestCase):
    """Callers of a router before a server that sends raw answers."""

    def setUp(self) -> None:
        self.raw = length_framed(SHORT)
        self.body = SHORT
        self.cut_at: int | None = None
        self.answered_count = 0
        self.held_from_count = sys.maxsize
        self.server = builders_engines.ScriptedServer(self.respond)
        self.addCleanup(self.server.close)
        self.cluster = cluster.Cluster(
            cluster.Shape(backends_per_zone=1)
        ).start()
        self.addCleanup(self.cluster.close)
        self.router = self.cluster.routers[0].process
        member = self.cluster.backends[0]
        self.cluster.backends[0] = member._replace(
            port=self.server.address.port
        )
        self.cluster.publish()
        gevent.sleep(_PUBLISHED_WITHIN_S)
        self.callers: list[Any] = []

    def respond(self, sock: Any, asked: bytes) -> None:
        """Sends the answer up to ``cut_at``, and then nothing.

        Calls from ``held_from_count`` on get nothing.
        """
        if self.answered_count >= self.held_from_count:
            gevent.sleep(_READ_TIMEOUT_S)
            return
        sock.sendall(self.raw[: self.cut_at])
        self.answered_count += 1
        if self.cut_at is not None:
            gevent.sleep(_READ_TIMEOUT_S)

    def begin(self, version: str, *, is_slow: bool = False) -> Any:
        sock = socket.socket()
        self.addCleanup(sock.close)
        if is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.settimeout(_READ_TIMEOUT_S)
        sock.connect((cluster.LOOPBACK, self.router.ready["callers"]))
        sock.sendall(
            (
                f"POST /services/{cluster.SERVICE}/echo {version}\r\n"
                "host: router\r\nconnection: close\r\n"
                f"authorization: Bearer {callers_fixture.CUSTOMER_KEY}\r\n"
                "content-length: 1\r\n\r\nx"
            ).encode()
        )
        self.callers.append(sock)
        return sock

    def begin_slow(self) -> None:
        """Begins calls whose answers are on their way and not read."""
        self.callers.clear()
        for number in range(SLOW_CALLERS_COUNT):
            self.begin(VERSIONS[number % 2], is_slow=True)
        for sock in self.callers:
            self.assertTrue(sock.recv(1, socket.MSG_PEEK))

    def kill(self) -> None:
        self.router.signal(signal.SIGKILL)
        gevent.get_hub().threadpool.apply(self.router.wait)

    def looks_whole(self, data: bytes, *, is_reset: bool) -> bool:
        """Returns whether an answer looks whole; it must be so then."""
        if b"\r\n\r\n" not in data:
            return False
        answer = test_gateway.Answer(data)
        self.assertEqual(answer.status, 200, data[:400])
        if answer.headers.get("transfer-encoding") == "chunked":
            is_whole = data.endswith(b"\r\n0\r\n\r\n")
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            is_whole = len(answer.body) == length
        else:
            is_whole = not is_reset
        if is_whole:
            self.assertEqual(answer.body, self.body)
        return is_whole

    def whole_count(self) -> int:
        """Reads all answers to their ends; returns how many look whole."""
        count = 0
        for sock in self.callers:
            data, is_reset = callers_fixture.read_to_any_end(sock)
            with self.subTest(data[:100], is_reset=is_reset):
                count += self.looks_whole(data, is_reset=is_reset)
        return count


class CutAnswerTest(PlainKillCase):
    """Guards against a cut answer that looks whole to its caller."""

    def test_killed_while_the_server_sends(self) -> None:
        frames = (length_framed(SHORT), in_chunks(SHORT))
        steps = [(raw, cut) for raw in frames for cut in range(1, len(raw), 9)]
        calls = []
        for self.raw, self.cut_at in steps:
            before_count = self.answered_count
            calls.append(self.begin(VERSIONS[len(calls) % 2]))
            cluster.wait_until(
                lambda count=before_count: self.answered_count > count,
                "the server sends",
            )
        self.kill()
        self.assertEqual(self.whole_count(), 0)

    def test_killed_while_slow_callers_read(self) -> None:
        self.body = LARGE
        self.raw = length_framed(LARGE)
        self.begin_slow()
        self.kill()
        self.assertEqual(self.whole_count(), 0)

    def test_killed_at_any_moment_of_short_answers(self) -> None:
        self.raw = in_chunks(SHORT)
        # However late the kill is, some calls are under way.
        self.held_from_count = CALLERS_COUNT * 3 // 4
        for number in range(CALLERS_COUNT):
            self.begin(VERSIONS[number % 2])
            gevent.sleep(0.001)
        self.kill()
        whole_count = self.whole_count()
        self.assertLess(whole_count, CALLERS_COUNT)


class FramingTest(PlainKillCase):
    """Guards against an answer whose end only the connection marks."""

    def test_any_framed_answer_states_its_length(self) -> None:
        for self.raw in (length_framed(SHORT), in_chunks(SHORT)):
            for version in VERSIONS:
                with self.subTest(self.raw[:60], version=version):
                    data, _ = callers_fixture.read_to_any_end(
                        self.begin(version)
                    )
                    fields = test_gateway.Answer(data).headers
                    self.assertEqual(fields["content-length"], str(len(SHORT)))

    def test_answer_without_a_length_is_not_relayed(self) -> None:
        self.raw = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + SHORT
        for self.cut_at in (-1, -len(SHORT)):
            for version in VERSIONS:
                with self.subTest(self.cut_at, version=version):
                    data, _ = callers_fixture.read_to_any_end(
                        self.begin(version)
                    )
                    status = test_gateway.Answer(data).status
                    self.assertIn(status, (502, 503))


class WholeAnswerTest(PlainKillCase):
    """Guards against a reset that discards the end of a whole answer."""

    def test_slow_callers_get_large_answers(self) -> None:
        self.body = LARGE
        for self.raw in (length_framed(LARGE), in_chunks(LARGE)):
            self.begin_slow()
            self.assertEqual(self.whole_count(), SLOW_CALLERS_COUNT)

    def test_killed_behind_answers_that_callers_have_not_read(self) -> None:
        self.body = BUFFERED
        self.raw = in_chunks(BUFFERED)
        for number in range(CALLERS_COUNT):
            self.begin(VERSIONS[number % 2])
        for sock in self.callers:
            self.assertTrue(sock.recv(1, socket.MSG_PEEK))
        gevent.sleep(_SENT_WITHIN_S)
        self.kill()
        self.assertEqual(self.whole_count(), CALLERS_COUNT)


if __name__ == "__main__":
    unittest.main()

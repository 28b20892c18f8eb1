"""Tests HTTP exchanges: no resends, complete answers, safe reuse."""

import tracemalloc
import unittest
from typing import Any

import gevent
from gevent.server import StreamServer
from geventhttpclient import HTTPClient

from mulberrywharf import _connections, _exchange, errors, fleet
from tests import builders_engines as build

_BODY_LIMIT_BYTES = 1000


class ExchangeCase(build.ScriptedServerCase):
    def setUp(self) -> None:
        self.pool = _connections.ConnectionPool()
        self.addCleanup(self.pool.close)

    def fetch(
        self,
        address: Any,
        method: str = "GET",
        timeout_s: float = 5.0,
        pooled: bool = True,
    ) -> Any:
        return _exchange.fetch(
            address,
            _exchange.Request(method, "/"),
            timeout_s=timeout_s,
            limit_bytes=_BODY_LIMIT_BYTES,
            pool=self.pool if pooled else None,
        )


class StageTest(ExchangeCase):
    def test_refused_connection_means_the_request_was_not_sent(self) -> None:
        error = self.fetch(build.closed_address()).unwrap_err()
        self.assertIsInstance(error, errors.EngineUnreachableError)
        self.assertEqual(error.outcome, "not-run")

    def test_stage_follows_the_progress_of_the_exchange(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"x")))
        exchange = _exchange.Exchange.open(server.address).unwrap()
        self.addCleanup(exchange.close)
        self.assertEqual(exchange.stage, _exchange.NotSent())
        exchange.send(_exchange.Request("GET", "/"), 5.0).unwrap()
        self.assertEqual(exchange.stage, _exchange.AnswerBegan(200))

    def test_outcome_of_each_stage(self) -> None:
        cases: list[tuple[_exchange.Stage, str]] = [
            (_exchange.NotSent(), "not-run"),
            (_exchange.MaybeSent(), "unknown"),
            (_exchange.AnswerBegan(200), "unknown"),
        ]
        for stage, outcome in cases:
            with self.subTest(stage):
                self.assertEqual(_exchange.outcome_of(stage), outcome)

    def test_a_malformed_request_is_not_sent(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"")))
        malformed = [
            _exchange.Request("GET /x HTTP/1.1\r\n", "/"),
            _exchange.Request("GET", "/a b"),
            _exchange.Request("GET", "/", {"a": "b\r\nc: d"}),
            _exchange.Request("GET", "/", {"a\r\n": "b"}),
        ]
        for request in malformed:
            with self.subTest(request):
                exchange = _exchange.Exchange.open(server.address).unwrap()
                with self.assertRaises(errors.BadRequestError):
                    exchange.send(request, 5.0)
                self.assertEqual(exchange.stage, _exchange.NotSent())
                exchange.close()
        self.assertEqual(server.requests, [])


class LargeRequestTest(unittest.TestCase):
    def test_a_large_body_is_not_copied(self) -> None:
        """Guards against uploads in flight that take twice their memory."""
        body = b"x" * 4_000_000

        def discard(sock: Any, _: Any) -> None:
            received_bytes = 0
            while received_bytes < len(body):
                received_bytes += len(sock.recv(16_384))
            sock.sendall(build.plain_answer(b"fine"))

        server = StreamServer(("127.0.0.1", 0), discard)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        address = fleet.Address("127.0.0.1", server.server_port)
        exchange = _exchange.Exchange.open(address).unwrap()
        self.addCleanup(exchange.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        exchange.send(_exchange.Request("POST", "/", body=body), 5.0).unwrap()
        self.assertLess(tracemalloc.get_traced_memory()[1], len(body) / 2)


class ResendTest(ExchangeCase):
    """Guards against running a GET that is not idempotent twice.

    The server runs the request and closes the connection without an answer.
    The client of the library treats this as a stale idle connection and sends
    the request again.
    """

    def test_requests_are_written_once_with_every_method(self) -> None:
        for method in ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST"):
            with self.subTest(method):
                server = self.serve(lambda s, r: s.close())
                error = self.fetch(server.address, method).unwrap_err()
                self.assertIsInstance(error, errors.AnswerLostError)
                self.assertEqual(error.outcome, "unknown")
                self.assertEqual(len(server.requests), 1)

    def test_library_client_resends_requests(self) -> None:
        server = self.serve(lambda s, r: s.close())
        client = HTTPClient(server.address.ip, server.address.port)
        self.addCleanup(client.close)
        with self.assertRaises(Exception):  # noqa: B017 (any failure will do)
            client.get("/")
        self.assertGreater(len(server.requests), 1)


class ReuseTest(ExchangeCase):
    """Guards against passing bytes of one answer to another caller.

    An answer is abandoned, cancelled or followed by unexpected bytes. If the
    pool reused its connection, the remaining bytes would be read as the answer
    to the next request.
    """

    def test_connection_is_reused_after_a_complete_answer(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"x")))
        for _ in range(3):
            self.assertEqual(self.fetch(server.address).unwrap()[1], b"x")
        self.assertEqual(server.connection_count, 1)

    def test_requests_without_a_pool_open_new_connections(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"x")))
        for _ in range(3):
            self.fetch(server.address, pooled=False).unwrap()
        self.assertEqual(server.connection_count, 3)

    def test_an_incomplete_answer_closes_its_connection(self) -> None:
        answer = build.plain_answer(b"late" * 10)[:-4]
        server = self.serve(lambda s, r: s.sendall(answer))
        error = self.fetch(server.address, timeout_s=0.05).unwrap_err()
        self.assertIsInstance(error, errors.AnswerLostError)
        self.fetch(server.address, timeout_s=0.05).unwrap_err()
        self.assertEqual(server.connection_count, 2)

    def test_a_late_answer_is_not_read_by_another_request(self) -> None:
        def script(sock: Any, request: bytes) -> None:
            gevent.sleep(0.1)
            sock.sendall(build.plain_answer(b"%d" % len(server.requests)))

        server = self.serve(script)
        self.fetch(server.address, timeout_s=0.02).unwrap_err()
        body = self.fetch(server.address).unwrap()[1]
        self.assertEqual(body, b"2")

    def test_a_second_answer_is_an_error(self) -> None:
        twice = build.plain_answer(b"mine") + build.plain_answer(b"other's")
        server = self.serve(lambda s, r: s.sendall(twice))
        error = self.fetch(server.address).unwrap_err()
        self.assertIsInstance(error, errors.AnswerLostError)

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        def script(sock: Any, request: bytes) -> None:
            sock.sendall(build.plain_answer(b"mine"))
            gevent.sleep(0.02)
            sock.sendall(build.plain_answer(b"other's"))

        server = self.serve(script)
        self.assertEqual(self.fetch(server.address).unwrap()[1], b"mine")
        gevent.sleep(0.1)
        self.assertEqual(self.fetch(server.address).unwrap()[1], b"mine")
        self.assertEqual(server.connection_count, 2)

    def test_a_closed_idle_connection_is_not_reused(self) -> None:
        def script(sock: Any, request: bytes) -> None:
            sock.sendall(build.plain_answer(b"x"))
            gevent.sleep(0.01)
            sock.close()

        server = self.serve(script)
        self.fetch(server.address).unwrap()
        gevent.sleep(0.1)
        self.fetch(server.address).unwrap()
        self.assertEqual(server.connection_count, 2)


class BodyTest(ExchangeCase):
    def test_invalid_and_truncated_answers_are_errors(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        huge_head = b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 20_000
        lost, large = errors.AnswerLostError, errors.AnswerTooLargeError
        cases: dict[str, tuple[bytes, type[errors.EngineError]]] = {
            "cut with a length": (build.plain_answer(b"abc")[:-1], lost),
            "cut in a chunk": (chunked + b"5\r\nab", lost),
            "cut between chunks": (chunked + build.chunk(b"ab"), lost),
            "cut in the head": (b"HTTP/1.1 200 OK\r\ncont", lost),
            "two lengths": (
                build.plain_answer(b"ab", headers=b"content-length: 9\r\n"),
                lost,
            ),
            "not HTTP": (b"hello\r\n\r\n", lost),
            "endless head": (huge_head, lost),
            "too large": (build.plain_answer(b"x" * 2000), large),
        }
        for name, (data, error_type) in cases.items():
            with self.subTest(name):

                def script(s: Any, r: bytes, data: bytes = data) -> None:
                    s.sendall(data)
                    s.close()

                server = self.serve(script)
                self.assertIsInstance(
                    self.fetch(server.address).unwrap_err(), error_type
                )

    def test_only_lengths_and_chunks_mark_the_end(self) -> None:
        """Guards against a coding other than chunks counting as an end."""
        chunks = build.chunk(b"abc") + build.LAST_CHUNK
        cases = {
            b"": (b"abc", False),
            b"content-length: 3\r\n": (b"abc", True),
            b"transfer-encoding: chunked\r\n": (chunks, True),
            b"transfer-encoding: gzip, Chunked\r\n": (chunks, True),
            b"transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n": (
                chunks,
                True,
            ),
            b"transfer-encoding: gzip\r\n": (b"abc", False),
            b"transfer-encoding: identity\r\n": (b"abc", False),
            b"transfer-encoding: chunked, gzip\r\n": (b"abc", False),
        }
        for version in (b"1.0", b"1.1"):
            for fields, (body, is_framed) in cases.items():
                head = b"HTTP/" + version + b" 200 OK\r\n" + fields
                with self.subTest(head):

                    def script(
                        s: Any, r: bytes, data: bytes = head + b"\r\n" + body
                    ) -> None:
                        s.sendall(data)
                        s.close()

                    answer, read = self.fetch(
                        self.serve(script).address
                    ).unwrap()
                    self.assertEqual(read, b"abc")
                    self.assertEqual(answer.is_framed, is_framed)

    def test_timeout_applies_to_the_whole_exchange(self) -> None:
        """Guards against hanging on a back end that answers very slowly.

        The back end sends single bytes at intervals, so that no single wait
        times out. With a timeout per wait only, the known load of an engine
        could become hours old.
        """

        def script(sock: Any, request: bytes) -> None:
            sock.sendall(build.plain_answer(b"x" * 900)[:-900])
            for _ in range(900):
                sock.sendall(b"x")
                gevent.sleep(0.02)

        server = self.serve(script)
        with gevent.Timeout(10.0):
            error = self.fetch(server.address, timeout_s=0.2).unwrap_err()
        self.assertIsInstance(error, errors.AnswerLostError)

    def test_an_interim_answer_is_skipped(self) -> None:
        data = b"HTTP/1.1 103 Early Hints\r\n\r\n" + build.plain_answer(b"x")
        server = self.serve(lambda s, r: s.sendall(data))
        answer, body = self.fetch(server.address).unwrap()
        self.assertEqual((answer.status_code, body), (200, b"x"))


if __name__ == "__main__":
    unittest.main()

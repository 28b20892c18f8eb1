"""The exchange: written once, read to a checked end, never mixed up."""

import unittest
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from mulberrywharf import _connections, _exchange, errors
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
    def test_nothing_listens_so_nothing_was_sent(self) -> None:
        error = self.fetch(build.closed_address()).unwrap_err()
        self.assertIsInstance(error, errors.EngineUnreachableError)
        self.assertEqual(error.outcome, "not-run")

    def test_stages_go_forward(self) -> None:
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

    def test_a_malformed_request_never_leaves(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"")))
        bad = [
            _exchange.Request("GET /x HTTP/1.1\r\n", "/"),
            _exchange.Request("GET", "/a b"),
            _exchange.Request("GET", "/", {"a": "b\r\nc: d"}),
            _exchange.Request("GET", "/", {"a\r\n": "b"}),
        ]
        for request in bad:
            with self.subTest(request):
                exchange = _exchange.Exchange.open(server.address).unwrap()
                with self.assertRaises(errors.BadRequestError):
                    exchange.send(request, 5.0)
                self.assertEqual(exchange.stage, _exchange.NotSent())
                exchange.close()
        self.assertEqual(server.requests, [])


class ResendTest(ExchangeCase):
    """A GET that is not idempotent runs twice.

    Symptom: a kiosk's GET books two seats. Sequence: the server runs the
    request and closes without an answer. Cause: the library's client takes
    the closed connection for an idle one that went stale and sends again.
    """

    def test_every_method_is_written_once(self) -> None:
        for method in ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST"):
            with self.subTest(method):
                server = self.serve(lambda s, r: s.close())
                error = self.fetch(server.address, method).unwrap_err()
                self.assertIsInstance(error, errors.AnswerLostError)
                self.assertEqual(error.outcome, "unknown")
                self.assertEqual(len(server.requests), 1)

    def test_the_trap_exists_in_the_library_client(self) -> None:
        server = self.serve(lambda s, r: s.close())
        client = HTTPClient(server.address.ip, server.address.port)
        self.addCleanup(client.close)
        with self.assertRaises(Exception):  # noqa: B017 (any failure will do)
            client.get("/")
        self.assertGreater(len(server.requests), 1)


class ReuseTest(ExchangeCase):
    """A connection with a rest of one answer serves the next request.

    Symptom: a caller gets bytes of another caller's answer. Sequence: an
    answer is given up, cancelled or followed by bytes nobody asked for, and
    its connection is used again. Cause: a pool that trusts it.
    """

    def test_a_whole_answer_leaves_its_connection_for_reuse(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"x")))
        for _ in range(3):
            self.assertEqual(self.fetch(server.address).unwrap()[1], b"x")
        self.assertEqual(server.connection_count, 1)

    def test_a_request_without_a_pool_gets_a_fresh_connection(self) -> None:
        server = self.serve(lambda s, r: s.sendall(build.plain_answer(b"x")))
        for _ in range(3):
            self.fetch(server.address, pooled=False).unwrap()
        self.assertEqual(server.connection_count, 3)

    def test_an_unfinished_answer_closes_its_connection(self) -> None:
        answer = build.plain_answer(b"late" * 10)[:-4]
        server = self.serve(lambda s, r: s.sendall(answer))
        error = self.fetch(server.address, timeout_s=0.05).unwrap_err()
        self.assertIsInstance(error, errors.AnswerLostError)
        self.fetch(server.address, timeout_s=0.05).unwrap_err()
        self.assertEqual(server.connection_count, 2)

    def test_a_late_answer_meets_no_other_request(self) -> None:
        def script(sock: Any, request: bytes) -> None:
            gevent.sleep(0.1)
            sock.sendall(build.plain_answer(b"%d" % len(server.requests)))

        server = self.serve(script)
        self.fetch(server.address, timeout_s=0.02).unwrap_err()
        body = self.fetch(server.address).unwrap()[1]
        self.assertEqual(body, b"2")

    def test_a_second_answer_is_never_taken(self) -> None:
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

    def test_an_idle_connection_that_closed_is_not_used(self) -> None:
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
    def test_bounds_and_ends_of_bodies(self) -> None:
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
        for name, (data, kind) in cases.items():
            with self.subTest(name):

                def script(s: Any, r: bytes, data: bytes = data) -> None:
                    s.sendall(data)
                    s.close()

                server = self.serve(script)
                self.assertIsInstance(
                    self.fetch(server.address).unwrap_err(), kind
                )

    def test_a_dripping_answer_ends_in_time(self) -> None:
        """A reader hangs on one back end.

        Symptom: an engine's load is hours old although it answers. Sequence:
        it sends a byte now and then, so no single wait is long. Cause: a
        bound on each wait and none on the whole.
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

    def test_an_interim_answer_is_passed_over(self) -> None:
        data = b"HTTP/1.1 103 Early Hints\r\n\r\n" + build.plain_answer(b"x")
        server = self.serve(lambda s, r: s.sendall(data))
        answer, body = self.fetch(server.address).unwrap()
        self.assertEqual((answer.status_code, body), (200, b"x"))


if __name__ == "__main__":
    unittest.main()

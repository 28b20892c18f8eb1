"""Answers whose status is none that HTTP knows, at each of their readers."""

import time
import unittest
from typing import Any

import gevent
from gevent.server import StreamServer
from geventhttpclient import response
from result import Err

from mulberrywharf import _exchange, errors, fleet
from mulberrywharf.engines import load_client, orders
from mulberrywharf.platform_service import http_calls
from tests import builders_engines, builders_paths, test_broken_answers

UNKNOWN = ("000 None", "001 None", "099 None", "600 None", "999 None")
MALFORMED = ("0200 OK", "20 OK", "2000 OK", "-20 OK", "abc OK", "", "101 Other")
BODY = b'{"engine_id": "e"}'
DEADLINE_S = 3.0
AT_ONCE_S = DEADLINE_S / 2
TIMEOUT_S = 10.0


def answer(status: str) -> bytes:
    return (
        f"HTTP/1.1 {status}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


class ReaderCase(builders_engines.ScriptedServerCase):
    """Guards against a status that is taken for an interim or final one."""

    def check(self, read: Any) -> None:
        for status in (*UNKNOWN, *MALFORMED):
            for interim in (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"):
                raw = interim + answer(status)
                server = self.serve(lambda sock, _, raw=raw: sock.sendall(raw))
                began_s = time.monotonic()
                with self.subTest(status, has_interim=bool(interim)):
                    got = read(server.address)
                    self.assertIsInstance(got, Err)
                    self.check_error(got.err_value)
                    took_s = time.monotonic() - began_s
                    self.assertLess(took_s, AT_ONCE_S)
                    self.assertEqual(len(server.requests), 1)

    def check_error(self, error: Any) -> None:
        self.assertIsInstance(error, errors.AnswerLostError)


class ExchangeTest(ReaderCase):
    def test_exchanges(self) -> None:
        for method in ("GET", "POST", "HEAD"):
            request = _exchange.Request(method, "/x", body=b"{}")
            self.check(
                lambda address, request=request: _exchange.fetch(
                    address, request, timeout_s=TIMEOUT_S, limit_bytes=1000
                )
            )

    def test_offers(self) -> None:
        def offer(address: Any) -> Any:
            exchange = _exchange.Exchange.open(address).unwrap()
            self.addCleanup(exchange.close)
            request = _exchange.Request("POST", "/x", body=b"x")
            if exchange.offer(request, TIMEOUT_S).unwrap():
                exchange.send_body(b"x", TIMEOUT_S).unwrap()
            return exchange.receive(TIMEOUT_S)

        for status in (*UNKNOWN, *MALFORMED):
            for interim in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
                raw = interim + answer(status)

                def accept(sock: Any, raw: bytes = raw) -> None:
                    sock.recv(65536)
                    sock.sendall(raw)
                    sock.recv(65536)

                server = StreamServer(
                    ("127.0.0.1", 0), lambda sock, _, do=accept: do(sock)
                )
                server.start()
                self.addCleanup(server.close)
                began_s = time.monotonic()
                with self.subTest(status, is_accepted=bool(interim)):
                    got = offer(fleet.Address("127.0.0.1", server.server_port))
                    self.assertIsInstance(got.err_value, errors.AnswerLostError)
                    self.assertLess(time.monotonic() - began_s, AT_ONCE_S)


class LoadReportTest(ReaderCase):
    def check_error(self, error: Any) -> None:
        self.assertIsInstance(error, errors.EngineUnreachableError)

    def test_load_reports(self) -> None:
        self.check(
            lambda address: load_client.read_load(address, timeout_s=TIMEOUT_S)
        )


class OrderTest(ReaderCase):
    def check_error(self, error: Any) -> None:
        self.assertIsInstance(error, errors.OrderOutcomeUnknownError)

    def test_orders(self) -> None:
        self.check(
            lambda address: orders.post_once(
                address,
                "/order",
                b"{}",
                {},
                user_timeout_s=TIMEOUT_S,
                before_send=lambda: None,
            )
        )


class StoreTest(ReaderCase):
    def check_error(self, error: Any) -> None:
        self.assertIsInstance(error, errors.WriteOutcomeUnknownError)

    def calls(self, address: Any) -> http_calls.HttpCalls:
        made = http_calls.HttpCalls(
            {"ip": address.ip, "port": address.port}, TIMEOUT_S
        )
        self.addCleanup(made.close)
        return made

    def test_calls(self) -> None:
        self.check(lambda address: self.calls(address).call("POST", "/x", {}))

    def test_streams(self) -> None:
        for status in (*UNKNOWN, *MALFORMED):
            raw = answer(status)
            server = self.serve(lambda sock, _, raw=raw: sock.sendall(raw))
            began_s = time.monotonic()
            with (
                self.subTest(status),
                self.assertRaises((OSError, response.HTTPParseError)),
            ):
                self.calls(server.address).open_stream(
                    "/watch", {}, silence_timeout_s=TIMEOUT_S
                )
            self.assertLess(time.monotonic() - began_s, AT_ONCE_S)


class GatewayTest(test_broken_answers.BrokenAnswerCase):
    """Guards against callers who get such an answer, or wait for another."""

    def check(self, path: str, status: str) -> None:
        for framing, end in (
            ("length", "close"),
            ("none", "close"),
            ("length", "silent"),
        ):
            # Each server that the request may be repeated at answers so.
            raw = {"framing": framing, "end": end, "status": status}
            for server in (*self.decodes, self.plain):
                server.faults = {"raw": raw}
            began_s = time.monotonic()
            with self.subTest(path, status=status, framing=framing, end=end):
                got = self.receive(path)
                self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
                self.assertEqual(got.status, 502, got)
                self.assertNotIn(
                    "x-mulberrywharf-response-signature", got.headers
                )

    def test_calls_and_streams(self) -> None:
        for status in (*UNKNOWN, *MALFORMED):
            for path in ("/safe/x", "/unsafe/x", "/stream/x", "/once/x"):
                self.check(path, status)

    def test_prefills(self) -> None:
        for status in (*UNKNOWN, *MALFORMED):
            self.prefill.faults = {"raw_prefill": {"status": status}}
            began_s = time.monotonic()
            with self.subTest(status):
                got = self.receive(
                    "/stream/x", builders_paths.LONG_PROMPT_FIELDS
                )
                self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
                self.assertEqual(got.body, test_broken_answers.STREAM)
                self.assertEqual(got.end, "marked")


class HopTest(test_broken_answers.BrokenAnswerCase):
    """Guards against the same behind another gateway."""

    gateways_count = 2

    def test_calls_and_streams(self) -> None:
        self.cut([0], "refuse")
        for status in (*UNKNOWN, *MALFORMED):
            for path in ("/unsafe/x", "/once/x"):
                with self.subTest(path, status=status):
                    got = self.receive_once(path, status)
                    self.assertEqual(got.status, 502, got)

    def receive_once(
        self, path: str, status: str
    ) -> test_broken_answers.Received:
        """Returns what became of the call that a server answered so."""
        raws = [{"framing": "length", "status": status}]
        for server in (*self.decodes, self.plain):
            server.faults = {"raws": raws}
        while True:
            began_s = time.monotonic()
            got = self.receive(path)
            self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
            if not raws:
                return got
            # Servers that gave several such answers rest for a moment.
            self.assertEqual(got.status, 503, got)
            gevent.sleep(0.2)


if __name__ == "__main__":
    unittest.main()

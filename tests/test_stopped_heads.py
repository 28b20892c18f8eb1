"""Servers that stop at any byte of their answer, with real processes."""

import itertools
import json
import unittest
from collections.abc import Iterator
from typing import Any

import gevent
import gevent.pool
from gevent import socket

from standins import raw_answers
from tests import (
    builders_paths,
    callers_fixture,
    cluster,
    test_broken_answers,
    test_gateway,
)

REFUSALS = (502, 503, 504)
ROUTER_CUTS_BYTES = range(1, 700, 5)
PREFILL_CUTS_BYTES = range(1, 80)
_CALLERS_COUNT = 6
_HEAD_MOST_BYTES = 260
_HEADERS = (
    ("X-Mulberrywharf-Request-Id", "id-1"),
    ("X-Mulberrywharf-Response-Signature", "dec-1"),
    ("X-Mulberrywharf-Instance-Load", "1,0,6"),
)
_FRAMINGS: tuple[raw_answers.Framing, ...] = (
    "length",
    "chunks",
    "none",
    "http/1.0",
)
_ENDS: tuple[raw_answers.End, ...] = ("close", "reset", "close")


class StoppedAnswerCase(builders_paths.PathCase):
    gateways_count = 1

    def setUp(self) -> None:
        super().setUp()
        self.start_gateways(self.gateways_count, repeats=self.repeats)

    repeats = {"ratio": 1.0, "window_s": 10, "allowance_count": 100_000}

    def cuts(self, whole_bytes: int) -> Iterator[dict[str, Any]]:
        """Yields an answer cut behind each byte, of all kinds by turns."""
        framings = itertools.cycle(_FRAMINGS)
        ends = itertools.cycle(_ENDS)
        interims = itertools.cycle((False, False, False, False, True))
        for cut_at in range(whole_bytes):
            yield {
                "framing": next(framings),
                "end": next(ends),
                "has_interim": next(interims),
                "cut_at": cut_at,
            }

    def receive(
        self, number: int, path: str, fields: str = ""
    ) -> test_broken_answers.Received:
        address = ("127.0.0.1", self.gateways[number].ready["callers"])
        with socket.create_connection(address) as sock:
            sock.settimeout(15)
            sock.sendall(test_gateway.request(path, fields=fields))
            return test_broken_answers.receive(sock)

    def check_all(self, path: str, whole: bytes) -> None:
        fields = builders_paths.prompt_fields(path)
        pool = gevent.pool.Pool(_CALLERS_COUNT)
        for cut in self.cuts(_HEAD_MOST_BYTES + len(whole)):
            for server in (*self.decodes, self.plain):
                server.faults = {"raw": cut}
            tries = [
                pool.spawn(self.receive, 0, path, fields) for _ in range(2)
            ]
            gevent.joinall(tries, raise_error=True)
            for tried in tries:
                with self.subTest(path=path, **cut):
                    self.check(tried.get(), cut, whole)

    def check(
        self,
        got: test_broken_answers.Received,
        cut: dict[str, Any],
        whole: bytes,
    ) -> None:
        if got.status != 200:
            self.assertIn(got.status, REFUSALS)
            return
        shortest = raw_answers.RawAnswer(_HEADERS, [], **cut).encode()
        head_bytes = (
            shortest.rindex(b"\r\n\r\n")
            if (cut["framing"] != "chunks")
            else shortest.rindex(b"\r\n\r\n0")
        )
        self.assertGreaterEqual(cut["cut_at"], head_bytes)
        if got.end == "marked":
            self.assertEqual(got.body, whole)
        else:
            self.assertTrue(whole.startswith(got.body))


class GatewayTest(StoppedAnswerCase):
    """Guards against a success with a short body that looks whole."""

    def test_calls(self) -> None:
        for path in ("/safe/x", "/unsafe/x"):
            self.check_all(path, b"plain-1:body")

    def test_streams(self) -> None:
        for path in ("/stream/x", "/once/x"):
            self.check_all(path, test_broken_answers.STREAM)

    def test_prefills(self) -> None:
        for cut_at in PREFILL_CUTS_BYTES:
            for framing, end in zip(_FRAMINGS, (*_ENDS, "reset"), strict=True):
                cut = {"framing": framing, "end": end, "cut_at": cut_at}
                self.prefill.faults = {"raw_prefill": cut}
                got = self.receive(0, "/stream/x", test_gateway.PROMPT_FIELDS)
                with self.subTest(**cut):
                    if got.status == 200:
                        self.assertEqual(got.body, test_broken_answers.STREAM)
                        self.assertEqual(got.end, "marked")
                    else:
                        self.assertIn(got.status, REFUSALS)


class HopTest(StoppedAnswerCase):
    """Guards against the same behind another gateway."""

    gateways_count = 2

    def test_calls_and_streams(self) -> None:
        self.cut([0], "refuse")
        self.check_all("/unsafe/x", b"plain-1:body")
        self.check_all("/once/x", test_broken_answers.STREAM)


class RouterTest(unittest.TestCase):
    """Guards against the same at routers."""

    def setUp(self) -> None:
        shape = cluster.Shape(backends_per_zone=1, proxied=True)
        self.cluster = cluster.Cluster(shape).start()
        self.addCleanup(self.cluster.close)

    def test_calls_and_streams(self) -> None:
        members = self.cluster.engines + self.cluster.backends
        for cut_bytes in ROUTER_CUTS_BYTES:
            for member in members:
                member.set_proxy_faults(reset_after_down_bytes=cut_bytes)
            for is_stream in (True, False):
                with self.subTest(cut_bytes, is_stream=is_stream):
                    self.check_completion(is_stream)
            with self.subTest(cut_bytes):
                self.check_call(cut_bytes)
        for member in members:
            member.set_proxy_faults(reset_after_down_bytes=None)
        self.assertTrue(self.cluster.caller().complete("hello", 4).is_whole())

    def receive(
        self, path: str, body: dict[str, Any], fields: str = ""
    ) -> test_broken_answers.Received:
        router = self.cluster.routers[0].process
        content = json.dumps(body)
        with socket.create_connection(
            (cluster.LOOPBACK, router.ready["callers"])
        ) as sock:
            sock.settimeout(30)
            sock.sendall(
                (
                    f"POST {path} HTTP/1.1\r\nhost: router\r\n"
                    f"authorization: Bearer {callers_fixture.CUSTOMER_KEY}\r\n"
                    f"connection: close\r\n{fields}"
                    f"content-length: {len(content)}\r\n\r\n{content}"
                ).encode()
            )
            return test_broken_answers.receive(sock)

    def check_completion(self, is_stream: bool) -> None:
        got = self.receive(
            "/v1/completions",
            {
                "model": cluster.MODEL,
                "prompt": "hello",
                "max_tokens": 4,
                "stream": is_stream,
            },
        )
        if got.status != 200:
            self.assertIn(got.status, REFUSALS)
        elif is_stream:
            is_whole = got.body.endswith(b"data: [DONE]\n\n")
            is_error = b'\n\ndata: {"error"' in got.body
            self.assertTrue(is_whole or is_error or got.end == "broken", got)
            self.assertFalse(is_whole and is_error)
        else:
            self.assertEqual(got.end, "marked")
            self.assertTrue(json.loads(got.body)["choices"])

    def check_call(self, number: int) -> None:
        got = self.receive(
            f"/services/{cluster.SERVICE}/echo",
            {"number": number},
            f"idempotency-key: key-{number}\r\n",
        )
        if got.status == 200:
            self.assertEqual(got.end, "marked")
            self.assertEqual(
                json.loads(json.loads(got.body)["body"]), {"number": number}
            )
        else:
            self.assertIn(got.status, (*REFUSALS, 409))


if __name__ == "__main__":
    unittest.main()

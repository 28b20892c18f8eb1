"""Answers whose gateway, helper or both are killed, with real gateways."""

import signal
import unittest
from collections.abc import Sequence
from typing import Any

import gevent
from gevent import socket

from tests import (
    builders_paths,
    builders_platform,
    callers_fixture,
    test_broken_answers,
    test_gateway,
)

PATHS = ("/stream/x", "/once/x", "/safe/x", "/unsafe/x")
VERSIONS = ("HTTP/1.1", "HTTP/1.0")
FRAMINGS = ("none", "chunks", "http/1.0", "length")
CUTS_BYTES = range(1, 120, 2)
LARGE_BYTES = 300_000
_RELAYED_S = 0.3
_REPEATS = {"ratio": 1.0, "window_s": 10, "allowance_count": 100_000}


class KilledCase(builders_paths.PathCase):
    """Guards against an answer that a kill cuts and that looks whole."""

    gateways_count = 1

    def setUp(self) -> None:
        super().setUp()
        self.start_gateways(self.gateways_count, repeats=_REPEATS)
        self.callers: list[Any] = []

    def begin(self, path: str, version: str, *, is_slow: bool = False) -> Any:
        """Sends a request to the first gateway."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        if is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.connect(("127.0.0.1", self.gateways[0].ready["callers"]))
        sock.settimeout(15)
        fields = builders_paths.prompt_fields(path)
        request = test_gateway.request(path, fields=fields)
        request = request.replace(b"HTTP/1.1", version.encode(), 1)
        request = request.replace(b"deadline-ms: 3000", b"deadline-ms: 20000")
        sock.sendall(
            request.replace(b"id-1", f"call-{len(self.callers)}".encode())
        )
        self.callers.append(sock)
        return sock

    def begin_cut(self, cuts: Sequence[dict[str, Any]]) -> None:
        """Begins an answer of each kind behind servers that fall silent."""
        raws = [{**cut, "end": "silent"} for cut in cuts]
        for server in (*self.decodes, self.plain):
            server.faults = {"raws": raws}
        for number in range(len(cuts)):
            path = PATHS[number % 3 if number % 2 else number // 2 % 4]
            version = VERSIONS[number // 4 % 2]
            self.begin(path, version, is_slow=number % 3 == 0)
        builders_platform.wait_until(lambda: not raws, 10.0)
        gevent.sleep(_RELAYED_S)

    def check_behind_kill_of(self, numbers: Sequence[int]) -> None:
        """Kills gateways; no answer of theirs may look whole."""
        for number in numbers:
            self.gateways[number].signal(signal.SIGKILL)
        for number in numbers:
            gevent.get_hub().threadpool.apply(self.gateways[number].wait)
        begun_count = 0
        for sock in self.callers:
            data, is_reset = callers_fixture.read_to_any_end(sock)
            with self.subTest(data[-200:], is_reset=is_reset):
                begun_count += self.check(data, is_reset=is_reset)
        self.assertGreater(begun_count, len(self.callers) // 4)

    def check(self, data: bytes, *, is_reset: bool) -> bool:
        """Checks one answer; returns whether it was cut behind its begin."""
        if not data:
            return False
        answer = test_gateway.Answer(data)
        if answer.status != 200:
            self.assertIn(answer.status, (502, 503, 504))
            return False
        if answer.headers.get("transfer-encoding") == "chunked":
            self.assertFalse(data.endswith(b"\r\n0\r\n\r\n"))
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            self.assertLess(len(answer.body), length)
        else:
            self.assertTrue(is_reset)
        return True


def cuts() -> list[dict[str, Any]]:
    """Returns answers that are cut at different bytes, two in ten large."""
    made: list[dict[str, Any]] = []
    large = [
        b"id: %d\ndata: %s\n\n" % (number, b"x" * LARGE_BYTES)
        for number in range(1, 4)
    ]
    for number, left in enumerate(CUTS_BYTES):
        cut = {"framing": FRAMINGS[number % 3], "cut_at": -left}
        if number % 5 == 0:
            cut.update(body=large)
        made.append(cut)
    return made


class GatewayTest(KilledCase):
    def test_no_cut_answer_of_a_killed_gateway_looks_whole(self) -> None:
        self.begin_cut(cuts())
        self.check_behind_kill_of([0])


class HopTest(KilledCase):
    gateways_count = 2

    def setUp(self) -> None:
        super().setUp()
        self.cut([0], "refuse")

    def test_no_cut_answer_of_a_killed_helper_looks_whole(self) -> None:
        self.begin_cut(cuts())
        self.check_behind_kill_of([1])

    def test_no_cut_answer_before_a_helper_looks_whole(self) -> None:
        self.begin_cut(cuts())
        self.check_behind_kill_of([0])

    def test_no_cut_answer_looks_whole_if_both_are_killed(self) -> None:
        self.begin_cut(cuts())
        self.check_behind_kill_of([0, 1])

    def test_whole_answers_reach_slow_readers(self) -> None:
        """Guards against a reset that discards the end of an answer."""
        large = [
            b"id: %d\ndata: %s\n\n" % (number, b"x" * LARGE_BYTES)
            for number in range(1, 4)
        ]
        for framing in FRAMINGS:
            for version in VERSIONS:
                raws = [{"framing": framing, "body": large}] * len(PATHS)
                for server in (*self.decodes, self.plain):
                    server.faults = {"raws": raws}
                self.callers.clear()
                for path in PATHS:
                    self.begin(path, version, is_slow=True)
                gevent.sleep(_RELAYED_S)
                for path, sock in zip(PATHS, self.callers, strict=True):
                    with self.subTest(path, framing=framing, version=version):
                        got = test_broken_answers.receive(sock)
                        self.assertEqual(got.status, 200)
                        self.assertEqual(got.body, b"".join(large))
                        self.assertNotEqual(got.end, "broken")


if __name__ == "__main__":
    unittest.main()

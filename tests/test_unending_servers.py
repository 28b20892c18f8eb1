"""Tests of gateways before servers that send bytes without end."""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import Any

import gevent

from mulberrywharf.platform import documents
from standins import platform_server
from tests import builders_engines, processes, test_gateway, test_plain_call
from tests import builders_routes as build
from tests.test_unending_answers import HEAD, SLOWLY, WITHOUT_END

MEMORY_GROWTH_LIMIT_BYTES = 60_000_000
SOUND_WITHIN_S = 1.0
ENDED_WITHIN_S = 4.0
"""Callers state a deadline of 3 s."""

SIGNATURE = test_plain_call.RECEIPT + test_plain_call.ECHO.replace(
    b"request-1", b"id-1"
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n" + SIGNATURE + b"\r\n"
)
STREAM_WITHOUT_END = {
    "an event": lambda: itertools.chain(
        [STREAM_HEAD, b"7fffffff\r\n"], itertools.repeat(b"x" * 65536)
    ),
    "trailers": lambda: itertools.chain(
        [STREAM_HEAD, b"8\r\ndata: x\n\r\n0\r\n"],
        itertools.repeat(b"a: b\r\n" * 10_000),
    ),
    "comments": lambda: itertools.chain(
        [STREAM_HEAD, b"7fffffff\r\n"], itertools.repeat(b":" * 65536)
    ),
}
STREAM_SLOWLY = {
    "an event": lambda: itertools.chain(
        [STREAM_HEAD, b"7fffffff\r\n"], itertools.repeat(b"x")
    ),
    "trailers": lambda: itertools.chain(
        [STREAM_HEAD, b"8\r\ndata: x\n\r\n0\r\na: "], itertools.repeat(b"b")
    ),
    "a chunk's extension": lambda: itertools.chain(
        [STREAM_HEAD, b"8;a="], itertools.repeat(b"b")
    ),
}
REPEATS = {"ratio": 0.2, "window_s": 10, "allowance_count": 1600}
"""A gateway has one eighth of the allowance when it starts; that is enough for
a repeat of each call."""

SHORT_PROMPT_FIELDS = (
    "x-mulberrywharf-model: m\r\n"
    "x-mulberrywharf-token-usage: 300,5\r\n"
    "x-mulberrywharf-prompt-prefix: cc:300\r\n"
)
PREFILLED_PROMPT_FIELDS = (
    "x-mulberrywharf-model: m\r\n"
    "x-mulberrywharf-token-usage: 1000,5\r\n"
    "x-mulberrywharf-prompt-prefix: aa:800,bb:200\r\n"
)
"""The engines read twenty such prompts within the callers' deadline."""

_CALLS_AT_ONCE_COUNT = 20
_SLOW_PAUSE_S = 0.01
_ROUNDS_COUNT = 20
_ROUND_PAUSE_S = 0.2
_RECORD_READ_S = 1.0
"""Time in which a gateway reads a changed record."""


def signed(blocks: Iterable[bytes]) -> Iterable[bytes]:
    """Yields the blocks; gateways read no more of an answer without these."""
    for number, block in enumerate(blocks):
        yield block if number else block.replace(HEAD, HEAD + SIGNATURE)


class UnendingServerTest(test_gateway.GatewayCase):
    """Guards against one server that ends any gateway, or delays all callers.

    It sends trailers, a line of a head or the like until it is closed.
    """

    def setUp(self) -> None:
        super().setUp()
        self.bad_sent_bytes = 0
        self.bad_key = ""

    def add_bad_server(
        self,
        service: str,
        blocks: Callable[[], Iterable[bytes]],
        stage: str = "",
        pause_s: float = 0.0,
    ) -> builders_engines.ScriptedServer:
        def script(sock: Any, _: bytes) -> None:
            for block in blocks():
                sock.sendall(block)
                self.bad_sent_bytes += len(block)
                gevent.sleep(pause_s)

        bad = builders_engines.ScriptedServer(script)
        self.addCleanup(bad.close)
        record = build.server_value(
            service=service,
            address=f"127.0.0.1:{bad.address.port}",
            **({"stage": stage} if stage else {}),
        )
        self.bad_key = documents.SERVERS_PREFIX + f"bad-{bad.address.port}"
        self.store.put(self.bad_key, record)
        return bad

    def calls_beside(
        self, blocks: Callable[[], Iterable[bytes]], pause_s: float = 0.0
    ) -> list[tuple[int, float]]:
        """Calls until a new bad server was reached; removes it then.

        A gateway avoids a server that it knows to be bad.
        """
        self.bad_sent_bytes = 0
        self.add_bad_server("plain", blocks, pause_s=pause_s)
        answers = []
        for _ in range(_ROUNDS_COUNT):
            answers += self.calls_at_once("/safe/x")
            if self.bad_sent_bytes:
                break
            gevent.sleep(_ROUND_PAUSE_S)
        self.assertGreater(self.bad_sent_bytes, 0)
        self.store.delete(self.bad_key)
        gevent.sleep(_RECORD_READ_S)
        return answers

    def only_bad(self, *servers: platform_server.PlatformServerStandin) -> None:
        for server in servers:
            self.store.delete(documents.SERVERS_PREFIX + server._server_id)

    def begin(self, **stream_route: Any) -> None:
        self.write_routes(**stream_route)
        self.start(repeats=REPEATS)
        self.wait_ready()

    def memory_bytes(self) -> int:
        assert isinstance(self.gateway, processes.Process)
        return self.gateway.peak_memory_bytes()

    def timed(self, path: str, **changes: Any) -> tuple[int, float]:
        began_s = time.monotonic()
        answer = self.ask(path, **changes)
        return answer.status, time.monotonic() - began_s

    def calls_at_once(self, path: str, **changes: Any) -> list[Any]:
        calls = [
            gevent.spawn(self.timed, path, **changes)
            for _ in range(_CALLS_AT_ONCE_COUNT)
        ]
        return [call.get() for call in calls]

    def test_plain_calls_are_answered_by_the_other_server(self) -> None:
        self.begin()
        before_bytes = self.memory_bytes()
        for name, blocks in WITHOUT_END.items():
            with self.subTest(name):
                for status, took_s in self.calls_beside(
                    lambda blocks=blocks: signed(blocks())
                ):
                    self.assertEqual(status, 200)
                    self.assertLess(took_s, ENDED_WITHIN_S)
        self.assertLess(
            self.memory_bytes() - before_bytes, MEMORY_GROWTH_LIMIT_BYTES
        )

    def test_calls_that_only_the_bad_server_answers_fail_in_time(self) -> None:
        name = "trailers"
        self.add_bad_server("plain", lambda: signed(WITHOUT_END[name]()))
        self.only_bad(self.plain)
        self.begin()
        before_bytes = self.memory_bytes()
        for name in ("trailers", "a line of a head", "an extension of a chunk"):
            with self.subTest(name):
                for status, took_s in self.calls_at_once("/safe/x"):
                    self.assertIn(status, (502, 503, 504))
                    self.assertLess(took_s, ENDED_WITHIN_S)
        self.assertLess(
            self.memory_bytes() - before_bytes, MEMORY_GROWTH_LIMIT_BYTES
        )

    def test_calls_end_in_time_beside_single_bytes_without_end(self) -> None:
        """Guards against a wait that begins anew with each byte."""
        self.begin()
        for name, blocks in SLOWLY.items():
            with self.subTest(name):
                for status, took_s in self.calls_beside(
                    lambda blocks=blocks: signed(blocks()), _SLOW_PAUSE_S
                ):
                    self.assertIn(status, (200, 502, 504))
                    self.assertLess(took_s, ENDED_WITHIN_S)

    def test_streams_end_in_time_beside_single_bytes_without_end(self) -> None:
        """Guards against a stream that outlasts its caller's deadline."""
        name = ""
        self.add_bad_server(
            "engines",
            lambda: STREAM_SLOWLY[name](),
            "decode",
            pause_s=_SLOW_PAUSE_S,
        )
        self.only_bad(*self.decodes)
        self.begin()
        for name in STREAM_SLOWLY:
            with self.subTest(name):
                for status, took_s in self.calls_at_once(
                    "/stream/x", fields=SHORT_PROMPT_FIELDS
                ):
                    self.assertIn(status, (502, 503, 504))
                    self.assertLess(took_s, ENDED_WITHIN_S)

    def test_large_bodies_at_once_are_bounded_together(self) -> None:
        """Guards against large answers that together exceed the memory."""
        size = 15_000_000
        body = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n" % size
        self.add_bad_server(
            "plain",
            lambda: itertools.chain(
                [body + SIGNATURE + b"\r\n"],
                itertools.repeat(b"x" * 65536, size // 65536 + 1),
            ),
        )
        self.only_bad(self.plain)
        self.begin()
        before_bytes = self.memory_bytes()
        self.calls_at_once("/safe/x")
        self.assertLess(self.memory_bytes() - before_bytes, 150_000_000)

    def test_streams_go_on_at_the_other_engine(self) -> None:
        for decode in self.decodes[1:]:
            self.only_bad(decode)
        name = ""
        self.add_bad_server(
            "engines", lambda: STREAM_WITHOUT_END[name](), "decode"
        )
        self.begin()
        before_bytes = self.memory_bytes()
        for name in STREAM_WITHOUT_END:
            with self.subTest(name):
                self.calls_at_once("/stream/x", fields=SHORT_PROMPT_FIELDS)
        self.assertGreater(self.bad_sent_bytes, 0)
        self.assertLess(
            self.memory_bytes() - before_bytes, MEMORY_GROWTH_LIMIT_BYTES
        )

    def test_prefills_without_end_fall_back(self) -> None:
        self.only_bad(self.prefill)
        self.add_bad_server(
            "engines", lambda: WITHOUT_END["trailers"](), "prefill"
        )
        # Refusals by the estimated time of the first token are not tested here.
        self.begin(**{"target-latency-ms": 3000})
        before_bytes = self.memory_bytes()
        for status, took_s in self.calls_at_once(
            "/stream/x", fields=PREFILLED_PROMPT_FIELDS
        ):
            self.assertEqual(status, 200)
            self.assertLess(took_s, ENDED_WITHIN_S)
        self.assertGreater(self.bad_sent_bytes, 0)
        self.assertLess(
            self.memory_bytes() - before_bytes, MEMORY_GROWTH_LIMIT_BYTES
        )

    def test_other_callers_are_served_meanwhile(self) -> None:
        self.add_bad_server(
            "engines", lambda: STREAM_WITHOUT_END["comments"](), "decode"
        )
        for decode in self.decodes:
            self.only_bad(decode)
        self.begin()
        bad = [
            gevent.spawn(self.timed, "/stream/x", fields=SHORT_PROMPT_FIELDS)
            for _ in range(_CALLS_AT_ONCE_COUNT)
        ]
        for _ in range(20):
            status, took_s = self.timed("/safe/x")
            self.assertEqual(status, 200)
            self.assertLess(took_s, SOUND_WITHIN_S)
        gevent.joinall(bad)


if __name__ == "__main__":
    import unittest

    unittest.main()

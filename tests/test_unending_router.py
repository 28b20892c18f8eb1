"""Tests of routers before servers that send bytes without end."""

import json
import time
import unittest
from collections.abc import Callable
from typing import Any

import gevent

from tests import builders_engines, cluster
from tests.test_unending_answers import WITHOUT_END

CALLS_AT_ONCE_COUNT = 20
PAUSE_S = 0.02
ENDED_WITHIN_S = 4.0
PUBLISHED_WITHIN_S = 3.0
DEADLINE_MS = "3000"
MEMORY_GROWTH_LIMIT_BYTES = 60_000_000
KINDS = ("trailers", "a line of a head", "an extension of a chunk")


class UnendingRouterTest(unittest.TestCase):
    """Guards against one server that ends any router, or delays all callers."""

    def setUp(self) -> None:
        self.kind = KINDS[0]
        self.unending_count = 0
        self.reports_load = True
        self.own_port = 0
        self.bad = builders_engines.ScriptedServer(self.send_without_end)
        self.addCleanup(self.bad.close)

    def send_without_end(self, sock: Any, asked: bytes) -> None:
        if self.reports_load and asked.startswith(b"GET /load"):
            load = json.dumps(cluster.get_json(self.own_port, "/load"))
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(load)}\r\n\r\n"
            sock.sendall((head + load).encode())
            return
        self.unending_count += 1
        for block in WITHOUT_END[self.kind]():
            sock.sendall(block)
            gevent.sleep(0)

    def start(self, **shape: int) -> None:
        self.cluster = cluster.Cluster(cluster.Shape(**shape)).start()
        self.addCleanup(self.cluster.close)
        self.router = self.cluster.routers[0].process

    def replace(self, members: list[cluster.Member]) -> None:
        """Lets the last of some servers answer without end."""
        self.own_port = members[-1].port
        members[-1] = members[-1]._replace(port=self.bad.address.port)
        self.cluster.publish()
        gevent.sleep(PUBLISHED_WITHIN_S)

    def check_all(
        self, send: Callable[[cluster.Caller], cluster.Answer]
    ) -> None:
        before_bytes = self.router.peak_memory_bytes()
        for self.kind in KINDS:
            with self.subTest(self.kind):
                calls = [
                    gevent.spawn_later(number * PAUSE_S, self.timed, send)
                    for number in range(CALLS_AT_ONCE_COUNT)
                ]
                answers = [call.get() for call in calls]
                for answer, took_s in answers:
                    self.assertLess(took_s, ENDED_WITHIN_S)
                    if answer.status != 200:
                        self.assertIn(b"retry-budget-spent", answer.body)
                served_count = sum(one.status == 200 for one, _ in answers)
                self.assertGreater(served_count, CALLS_AT_ONCE_COUNT / 3)
        self.assertGreater(self.unending_count, 0)
        self.assertLess(
            self.router.peak_memory_bytes() - before_bytes,
            MEMORY_GROWTH_LIMIT_BYTES,
        )

    def timed(
        self, send: Callable[[cluster.Caller], cluster.Answer]
    ) -> tuple[cluster.Answer, float]:
        began_s = time.monotonic()
        answer = send(self.cluster.caller())
        return answer, time.monotonic() - began_s

    def test_calls_are_answered_by_the_other_backend_server(self) -> None:
        self.start(backends_per_zone=2)
        self.replace(self.cluster.backends)
        self.check_all(
            lambda caller: caller.call(
                "/echo", b"x", **{"x-mulberry-deadline-ms": DEADLINE_MS}
            )
        )

    def test_completions_are_answered_by_the_other_engine(self) -> None:
        self.start(engines_per_zone=2)
        self.replace(self.cluster.engines)
        self.check_all(
            lambda caller: caller.complete(
                "hello", 3, **{"x-mulberry-deadline-ms": DEADLINE_MS}
            )
        )

    def test_load_reports_without_end(self) -> None:
        self.reports_load = False
        self.start(engines_per_zone=2)
        self.replace(self.cluster.engines)
        self.check_all(lambda caller: caller.complete("hello", 3))


if __name__ == "__main__":
    unittest.main()

"""Tests of gateways whose store sends bytes without end that are no answer."""

import json
import unittest
from collections.abc import Iterable
from typing import Any

import gevent

from mulberrywharf.platform import documents
from standins import fault_proxy
from tests import builders_engines, builders_platform
from tests import builders_routes as build
from tests.test_gateway import GatewayCase
from tests.test_unending_answers import HEAD, WITHOUT_END

MEMORY_LIMIT_BYTES = 256_000_000
"""What a node may use for control."""

NEW_ROUTES_BOUND_S = 2.0
LENGTH_S = 2.5
"""Longer than a gateway lets the store be unasked."""

KINDS = {
    **WITHOUT_END,
    "a body": lambda: [
        HEAD + b"content-length: 1000000000\r\n\r\n",
        *[b"x" * 65_536] * 10_000,
    ],
    "a body without a length": lambda: [
        HEAD + b"\r\n",
        *[b"x" * 65_536] * 10_000,
    ],
}


class UnendingStoreTest(GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.blocks: Iterable[bytes] = ()
        self.sent_bytes = 0
        self.bad = builders_engines.ScriptedServer(self.send_without_end)
        self.addCleanup(self.bad.close)
        self.way = fault_proxy.FaultProxy(("127.0.0.1", self.store.port))
        self.way.start()
        self.addCleanup(self.way.close)
        self.put_routes(1)
        self.process = self.start(store=f"127.0.0.1:{self.way.port}")
        self.wait_ready()

    def send_without_end(self, sock: Any, _: bytes) -> None:
        for block in self.kind():
            sock.sendall(block)
            self.sent_bytes += len(block)
            gevent.sleep(0)

    def put_routes(self, version: int) -> None:
        document = build.routes_document(version)
        safe = document["routes"][0]
        document["routes"] = [
            safe,
            {**safe, "name": "new", "prefix": f"/v{version}/"},
        ]
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())

    def test_callers_are_served_and_memory_is_bounded(self) -> None:
        """Guards against a store that ends the gateways that ask it."""
        for version, (name, self.kind) in enumerate(KINDS.items(), start=2):
            with self.subTest(name):
                self.sent_bytes = 0
                self.way.upstream = tuple(self.bad.address)
                self.way.reset_all()
                ends = gevent.spawn_later(LENGTH_S, lambda: None)
                while not ends.ready():
                    self.assertEqual(self.ask("/safe/x").status, 200)
                    gevent.sleep(0.1)
                self.assertGreater(self.sent_bytes, 0)
                self.way.upstream = ("127.0.0.1", self.store.port)
                self.way.reset_all()
                self.put_routes(version)
                path = f"/v{version}/x"
                self.assertTrue(
                    builders_platform.wait_until(
                        lambda path=path: self.ask(path).status == 200,
                        limit_s=NEW_ROUTES_BOUND_S,
                    )
                )
        self.assertLess(self.process.peak_memory_bytes(), MEMORY_LIMIT_BYTES)


if __name__ == "__main__":
    unittest.main()

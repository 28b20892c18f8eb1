"""The ways of docs/OPERATIONS.md lead from an id to the cause, in real logs."""

import json
import pathlib
import unittest
from typing import Any

import gevent

from mulberrywharf.platform import documents
from tests import builders_platform, test_gateway
from tests import builders_routes as build

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/OPERATIONS.md"


class OperationsTest(test_gateway.GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.write_routes()
        self.start()
        self.wait_ready()
        self.page = PAGE.read_text(encoding="utf-8")

    def lines(self, request_id: str) -> list[dict[str, Any]]:
        """Ends the gateway and returns its log lines that hold the id."""
        gateway = self.gateway
        assert gateway is not None
        pool = gevent.get_hub().threadpool
        pool.apply(gateway.stop)
        stdout = gateway._child.stdout
        assert stdout is not None
        logged = [json.loads(line) for line in stdout if line[0] == "{"]
        found = [
            line for line in logged if line.get("request_id") == request_id
        ]
        self.assertTrue(found)
        return found

    def test_a_refused_request(self) -> None:
        """Symptom: 503.

        Sequence: every decode engine drains. Cause: named by the last line of
        the id, `no-engine`.
        """
        for number in (1, 2):
            self.store.put(
                f"{documents.SERVERS_PREFIX}dec-{number}",
                build.server_value(
                    service="engines", stage="decode", state="draining"
                ),
            )
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    self.ask("/stream/x", fields=test_gateway.TOKENS).status
                    == 503
                )
            )
        )
        last = self.lines("id-1")[-1]
        self.assertEqual(last["result"], "no-engine")
        self.assertIn("`no-engine`", self.page)

    def test_a_failed_request(self) -> None:
        """Symptom: 502.

        Sequence: a server runs a request that may run once and closes its
        connection. Cause: named by the last attempt.
        """
        self.plain.faults = {"lose": 1}
        document = build.routes_document(2)
        document["routes"][0]["kind"] = "unsafe"
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.ask("/safe/x").status == 502
            )
        )
        attempts = [
            line for line in self.lines("id-1") if line["message"] == "attempt"
        ]
        self.assertEqual(attempts[-1]["result"], "answer-lost")
        self.assertEqual(attempts[-1]["server_id"], "plain-1")
        self.assertIn("`answer-lost`", self.page)

    def test_a_late_request(self) -> None:
        """Symptom: an answer after its time.

        Sequence: decode engines are slow. Cause: `took_s` of the attempt
        against `first_token_s`.
        """
        for engine in self.decodes:
            engine.faults = {"delay_s": 0.5}
        answer = self.ask("/stream/x", fields=test_gateway.TOKENS)
        self.assertEqual(answer.status, 200)
        lines = self.lines("id-1")
        (placed,) = [line for line in lines if line["message"] == "placed"]
        attempts = [line for line in lines if line["message"] == "attempt"]
        self.assertLess(placed["first_token_s"], 0.5)
        self.assertGreaterEqual(attempts[-1]["took_s"], 0.5)
        self.assertFalse(attempts[-1]["prefill_only"])
        for field in ("`took_s`", "`first_token_s`", "`prefill_only`"):
            self.assertIn(field, self.page)


if __name__ == "__main__":
    unittest.main()

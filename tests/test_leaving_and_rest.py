"""Tests with servers that announce in an answer that they leave or rest."""

import time
import unittest

import gevent

from standins.platform_server import PlatformServerStandin
from tests import test_gateway

LEFT_WITHIN_S = 2.0
"""Time within which operators expect a gateway to stop using a server, from the
answer that announces that it leaves."""

REST_S = 3
REST_FROM_S = 0.5
RESTING_LIMIT_COUNT = 2
"""Requests that operators allow from ``REST_FROM_S`` until a rest ends."""

_PAUSE_S = 0.03


class LeavingTest(test_gateway.GatewayCase):
    """Requests reached servers that had announced that they were leaving."""

    def send_while_leaving(
        self, server: PlatformServerStandin, path: str
    ) -> None:
        """Sends requests while a server leaves and the store is silent."""
        self.write_routes()
        self.start()
        self.wait_ready()
        self.store.faults = {"silent": 60.0}
        server.faults = {"leaving": True}
        fields = test_gateway.PROMPT_FIELDS if path == "/stream/x" else ""
        until_s = time.monotonic() + LEFT_WITHIN_S + 1.5
        while time.monotonic() < until_s:
            answer = self.ask(path, fields=fields)
            self.assertEqual(answer.status, 200)
            self.assertEqual(
                answer.headers.get("server-leaving"),
                self.expected_leaving(answer),
            )
            gevent.sleep(_PAUSE_S)

    def expected_leaving(self, answer: test_gateway.Answer) -> str | None:
        """Returns the ``server-leaving`` value that the server sent."""
        servers_by_id = {
            "dec-1": self.decodes[0],
            "plain-1": self.plain,
        }
        server_id = answer.headers["x-mulberrywharf-response-signature"]
        server = servers_by_id.get(server_id)
        return "1" if server and server.faults.get("leaving") else None

    def assert_no_late_arrivals(self, server: PlatformServerStandin) -> None:
        first_s = server.arrivals[0].at_s
        late = [
            arrival
            for arrival in server.arrivals
            if arrival.at_s - first_s > LEFT_WITHIN_S
        ]
        self.assertEqual(late, [])

    def test_leaving_engine_gets_no_late_requests(self) -> None:
        self.send_while_leaving(self.decodes[0], "/stream/x")
        self.assert_no_late_arrivals(self.decodes[0])

    def test_leaving_plain_server_gets_no_late_requests(self) -> None:
        self.server("plain-2", "plain")
        self.send_while_leaving(self.plain, "/safe/x")
        self.assert_no_late_arrivals(self.plain)


class RestTest(test_gateway.GatewayCase):
    """Requests reached servers that had asked for a rest."""

    def send_while_resting(
        self, server: PlatformServerStandin, path: str
    ) -> None:
        self.write_routes()
        self.start()
        self.wait_ready()
        server.faults = {"rest": REST_S}
        fields = test_gateway.PROMPT_FIELDS if path == "/stream/x" else ""
        until_s = time.monotonic() + REST_S + 1.0
        while time.monotonic() < until_s:
            self.ask(path, fields=fields)
            gevent.sleep(_PAUSE_S)

    def assert_rested(self, server: PlatformServerStandin) -> None:
        refused_s = [arrival.at_s for arrival in server.arrivals]
        for asked_s in refused_s:
            early_s = [
                at_s
                for at_s in refused_s
                if asked_s + REST_FROM_S < at_s < asked_s + REST_S
            ]
            self.assertLessEqual(len(early_s), RESTING_LIMIT_COUNT)

    def test_rest_of_a_decode_engine_is_respected(self) -> None:
        self.send_while_resting(self.decodes[0], "/stream/x")
        self.assert_rested(self.decodes[0])

    def test_rest_of_a_prefill_engine_is_respected(self) -> None:
        self.send_while_resting(self.prefill, "/stream/x")
        self.assert_rested(self.prefill)

    def test_rest_of_a_plain_server_is_respected(self) -> None:
        self.server("plain-2", "plain")
        self.send_while_resting(self.plain, "/safe/x")
        self.assert_rested(self.plain)

    def test_rest_of_the_only_server_is_respected(self) -> None:
        self.send_while_resting(self.plain, "/safe/x")
        self.assert_rested(self.plain)


if __name__ == "__main__":
    unittest.main()

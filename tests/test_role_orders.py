"""Tests of role orders sent by gateway processes."""

import json
import signal
import unittest
from typing import Any

import gevent

from tests import builders_platform, processes, test_gateway

TURN_S = 3.0
TURN_MS = TURN_S * 1000
"""Least time between orders of two VMs to the same engine."""

PREFILL_S = 0.06
"""Prefill time of one prompt on the only prefill engine."""

CALL_PAUSE_S = 0.04
"""Pause between two prompts. It is shorter than PREFILL_S, so that one prefill
engine cannot keep up."""

LIMIT_S = 40.0


class RoleOrdersTest(test_gateway.GatewayCase):
    def setUp(self) -> None:
        super().setUp()
        self.decodes.append(self.server("dec-3", "engines", "decode"))
        self.prefill.report["stage"] = "prefill"
        self.prefill.faults["prefill_s"] = PREFILL_S
        self.write_routes()
        self.gateways: list[processes.Process] = []

    def orders(self) -> list[tuple[float, dict[str, Any]]]:
        engines = [self.prefill, *self.decodes]
        accepted = [order for engine in engines for order in engine.orders]
        return sorted(accepted, key=lambda one: one[0])

    def send_calls(self) -> None:
        """Sends prompts to each running gateway at intervals, forever."""
        while True:
            for process in self.gateways:
                if process.poll() is None:
                    gevent.spawn(self.send_call, process)
            gevent.sleep(CALL_PAUSE_S)

    def send_call(self, process: processes.Process) -> None:
        address = ("127.0.0.1", process.ready["callers"])
        try:
            with gevent.socket.create_connection(address) as sock:
                sock.settimeout(5)
                sock.sendall(
                    test_gateway.request(
                        "/stream/x", fields=test_gateway.PROMPT_FIELDS
                    )
                )
                test_gateway.read_to_end(sock)
        except OSError:
            # The gateway was killed; this test ignores failed calls.
            return

    def start_gateway(self, vm_id: str) -> processes.Process:
        process = self.start(vm_id, roles={"turn_ms": TURN_MS})
        self.gateways.append(process)
        return process

    def test_successor_of_a_killed_holder_waits_and_uses_a_higher_token(
        self,
    ) -> None:
        """Guards against orders from two VMs less than TURN_S apart.

        The VM that holds the authority is killed just after an order, while
        the load still requires another role split. If its successor sent an
        order as soon as it found the lease free, bytes of the last order could
        still be in transit.
        """
        by_vm = {
            name: self.start_gateway(name) for name in ("entry-1", "entry-2")
        }
        calling = gevent.spawn(self.send_calls)
        self.addCleanup(calling.kill)
        self.assertTrue(builders_platform.wait_until(self.orders, LIMIT_S))
        _, first = self.orders()[0]
        by_vm[first["holder"]].signal(signal.SIGKILL)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: any(
                    order["holder"] != first["holder"]
                    for _, order in self.orders()
                ),
                LIMIT_S,
            ),
            json.dumps([order for _, order in self.orders()]),
        )
        second_s, second = next(
            (at_s, order)
            for at_s, order in self.orders()
            if order["holder"] != first["holder"]
        )
        last_s = max(
            at_s
            for at_s, order in self.orders()
            if order["holder"] == first["holder"]
        )
        self.assertGreater(second["fencing-token"], first["fencing-token"])
        self.assertGreaterEqual(second_s - last_s, TURN_S)
        self.assertEqual(first["stage"], "prefill")

    def test_no_role_orders_without_the_setting(self) -> None:
        self.gateways.append(self.start())
        calling = gevent.spawn(self.send_calls)
        self.addCleanup(calling.kill)
        builders_platform.wait_until(self.orders, 8.0)
        self.assertEqual(self.orders(), [])


if __name__ == "__main__":
    unittest.main()

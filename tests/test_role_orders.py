"""Orders of roles by real gateways: one holder, and who follows it."""

import json
import signal
import unittest
from typing import Any

import gevent

from tests import builders_platform, processes, test_gateway

TURN_S = 3.0
TURN_MS = TURN_S * 1000
PREFILL_S = 0.06
"""A prompt keeps the one prefill engine busy for so long."""

CALL_PAUSE_S = 0.04
"""Between two prompts: together they want more than one prefill engine."""

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
        taken = [order for engine in engines for order in engine.orders]
        return sorted(taken, key=lambda one: one[0])

    def call_on(self) -> None:
        """Sends prompts to whichever gateway is alive."""
        while True:
            for process in self.gateways:
                if process.poll() is None:
                    gevent.spawn(self.call, process)
            gevent.sleep(CALL_PAUSE_S)

    def call(self, process: processes.Process) -> None:
        address = ("127.0.0.1", process.ready["callers"])
        try:
            with gevent.socket.create_connection(address) as sock:
                sock.settimeout(5)
                sock.sendall(
                    test_gateway.request(
                        "/stream/x", fields=test_gateway.TOKENS
                    )
                )
                test_gateway.read_to_end(sock)
        except OSError:
            # The gateway was killed; its callers are not looked at here.
            return

    def begin(self, vm_id: str) -> processes.Process:
        made = self.start(vm_id, roles={"turn_ms": TURN_MS})
        self.gateways.append(made)
        return made

    def test_who_follows_a_killed_holder_orders_later_and_higher(self) -> None:
        """An engine gets orders of two VMs within the time of a lease.

        Sequence: the VM that orders is killed just after an order; another
        one takes over, and the fleet still wants another split. Cause:
        whoever found the lease gone ordered at once, while bytes of the last
        order could still be on their way.
        """
        by_vm = {name: self.begin(name) for name in ("entry-1", "entry-2")}
        calling = gevent.spawn(self.call_on)
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

    def test_without_the_setting_nothing_is_ordered(self) -> None:
        self.gateways.append(self.start())
        calling = gevent.spawn(self.call_on)
        self.addCleanup(calling.kill)
        builders_platform.wait_until(self.orders, 8.0)
        self.assertEqual(self.orders(), [])


if __name__ == "__main__":
    unittest.main()

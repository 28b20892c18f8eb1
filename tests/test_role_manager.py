"""Tests that role orders are recorded first and sent one at a time."""

import unittest
from typing import Any

import orjson
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.authority import duty_holder, role_manager
from mulberrywharf.engines import role_orders
from mulberrywharf.platform import orders
from mulberrywharf.platform_service import key_value
from tests import builders_engines
from tests import builders_routes as build

AUTHORITY = duty_holder.Authority(41, key_value.Guard("holder", 7))


def _started(server: fleet.Server, unix_ms: int) -> fleet.Server:
    start = server.start._replace(started_unix_ms=unix_ms)
    return server._replace(start=start)


class _Holder:
    """A holder that tests control."""

    def __init__(self) -> None:
        self.is_held = True
        self.may_send = True
        self.recorded: list[dict[str, Any]] = []

    def authority(
        self,
    ) -> Result[duty_holder.Authority, errors.AuthorityLostError]:
        if self.is_held:
            return Ok(AUTHORITY)
        return Err(errors.AuthorityLostError("not held"))

    def check(self) -> None:
        if not self.may_send:
            raise errors.AuthorityLostError("lost just now")

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        if not self.is_held:
            return Err(errors.AuthorityLostError("not held"))
        self.recorded.append(orjson.loads(value))
        return Ok(None)


class _Engines:
    """A list of engines whose age tests set."""

    age_s = 1000.0
    wanted = 1.4
    blocked_ids: frozenset[str] = frozenset()
    scaled: frozenset[str] = frozenset()

    def engines(self) -> dict[str, tuple[fleet.Server, ...]]:
        return {}

    def accepts_calls(self, server: fleet.Server) -> bool:
        return server.server_id not in self.blocked_ids

    def outage_age_s(self) -> float:
        return self.age_s

    def is_complete(self) -> bool:
        return True

    def is_scaled(self, service: str) -> bool:
        return service in self.scaled

    def wanted_prefill(self, service: str) -> float | None:
        return self.wanted


class _Engine:
    """An engine that reports and accepts orders."""

    def __init__(self, role: str, running_count: int):
        self.role = role
        self.running_count = running_count
        self.accepted_count = 3
        self.orders: list[dict[str, Any]] = []
        self.answers_orders = True
        self.takes_orders = True
        self.status = b"202 Accepted"
        self.born: int | None = None

    def script(self, sock: Any, asked: bytes) -> None:
        if asked.startswith(b"GET /report"):
            self._respond(sock, b"200 OK", self._report())
            return
        self.orders.append(orjson.loads(asked.partition(b"\r\n\r\n")[2]))
        if self.takes_orders:
            self.accepted_count += 1
        if self.answers_orders:
            self._respond(sock, self.status, b"{}")
        else:
            sock.close()

    def _report(self) -> bytes:
        born = {} if self.born is None else {"born": self.born}
        return orjson.dumps(
            {
                **born,
                "stage": self.role,
                "models": [],
                "busy": False,
                "sequence": self.accepted_count,
                "waiting": 0,
                "running": self.running_count,
                "kv-used": 0,
                "kv-total": 1,
                "kv-handles": 0,
            }
        )

    def _respond(self, sock: Any, status: bytes, body: bytes) -> None:
        sock.sendall(
            b"HTTP/1.1 "
            + status
            + b"\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        sock.sendall(body)


class RoleKeeperTest(builders_engines.ScriptedServerCase):
    def setUp(self) -> None:
        self.clock = build.ManualClock()
        self.holder = _Holder()
        self.listed = _Engines()
        self.manager = role_manager.RoleManager(
            self.holder,
            self.listed,
            role_orders.RoleClient(orders.OrderDialect()),
            "vm-1",
            self.clock,
            on_restarted=lambda *starts: self.restarted.append(starts),
        )
        self.restarted: list[tuple[fleet.ServerStart, ...]] = []
        self.addCleanup(self.manager.close)
        self.engines = [_Engine("prefill", 5)]
        self.engines += [_Engine("decode", 2 + n) for n in range(3)]
        self.scripted = [self.serve(one.script) for one in self.engines]
        self.servers = [
            build.server(
                f"e{n}", scripted.address, role=engine.role, slots_count=64
            )
            for n, (engine, scripted) in enumerate(
                zip(self.engines, self.scripted, strict=True)
            )
        ]

    def rounds(self, count: int) -> None:
        for _ in range(count):
            self.manager.round("service", self.servers)
            self.clock.now_s += 1.0

    def sent(self) -> list[dict[str, Any]]:
        return [order for engine in self.engines for order in engine.orders]

    def test_engines_that_may_not_be_asked_receive_nothing(self) -> None:
        """Guards against calls to an engine that asked for a pause."""
        self.listed.blocked_ids = frozenset({"e0", "e1", "e2", "e3"})
        self.rounds(3)
        self.assertEqual([one.requests for one in self.scripted], [[]] * 4)

    def test_engine_that_starts_to_leave_is_not_ordered(self) -> None:
        """Guards against an order to an engine that leaves since its report."""

        def record(value: bytes) -> Result[None, errors.PlatformError]:
            self.fail("an order was recorded")

        self.holder.record = record  # type: ignore[method-assign]
        reports = self.manager._reports

        def leave_after_report(servers: Any) -> Any:
            self.listed.blocked_ids = frozenset()
            found = reports(servers)
            self.listed.blocked_ids = frozenset({"e1", "e2", "e3"})
            return found

        self.manager._reports = leave_after_report  # type: ignore[method-assign]
        self.rounds(12)
        self.assertEqual(self.sent(), [])

    def test_count_that_fits_no_order_is_never_expected(self) -> None:
        """Guards against a report that ends the rounds of all engines."""
        engine: Any = self.engines[1]
        for count in (1e30, -1, True, "3", None):
            with self.subTest(count=count):
                engine.accepted_count = count
                self.rounds(8)
                self.assertEqual(self.sent(), [])
        engine.accepted_count = 3
        self.rounds(8)
        self.assertEqual([one["expected"] for one in self.sent()], [3])

    def test_order_expects_the_count_in_the_report(self) -> None:
        self.rounds(8)
        (order,) = self.sent()
        self.assertEqual(
            order,
            {
                "op": "stage",
                "stage": "prefill",
                "holder": "vm-1",
                "fencing-token": 41,
                "expected": 3,
            },
        )
        (recorded,) = self.holder.recorded
        self.assertEqual(recorded["server_id"], "e1")

    def test_unrecorded_order_is_not_sent(self) -> None:
        self.holder.record = lambda value: Err(  # type: ignore[method-assign]
            errors.PlatformUnavailableError("away")
        )
        self.rounds(12)
        self.assertEqual(self.sent(), [])

    def test_no_order_is_sent_after_the_authority_is_lost(self) -> None:
        """Guards against an order that is sent after a takeover.

        The lease ends after the order was recorded, while its connection is
        being opened. The authority must be checked right before the first byte.
        """
        self.holder.may_send = False
        self.rounds(12)
        self.assertEqual(self.sent(), [])
        self.assertGreater(len(self.holder.recorded), 0)

    def test_unanswered_order_delays_the_next_one(self) -> None:
        """Guards against two engines that change although one was needed.

        The response to an order is lost, and the engine executes it seconds
        later. Another engine must not be ordered meanwhile.
        """
        for engine in self.engines:
            engine.answers_orders = False
            engine.takes_orders = False
        self.rounds(13)
        self.assertEqual(len(self.sent()), 1)
        self.rounds(12)
        self.assertGreater(len(self.sent()), 1)

    def test_reported_order_is_settled(self) -> None:
        self.engines[1].answers_orders = False
        self.rounds(8)
        self.assertEqual(len(self.sent()), 1)
        self.engines[1].role = "prefill"
        self.servers[1] = self.servers[1]._replace(role="prefill")
        self.rounds(8)
        self.assertEqual(len(self.sent()), 1)

    def test_order_that_a_restarted_engine_may_accept_is_not_settled(
        self,
    ) -> None:
        """Guards against two orders to an engine that has just restarted.

        The response to an order is lost, and the engine restarts under the same
        id. Its count of accepted orders then matches again, so it may execute
        the order late. The earlier start must not be treated as gone while the
        order may still arrive.
        """
        for number, engine in enumerate(self.engines):
            engine.born = 1_000
            engine.answers_orders = False
            engine.takes_orders = False
            self.servers[number] = _started(self.servers[number], 1_000)
        self.rounds(8)
        self.assertEqual(len(self.sent()), 1)
        self.engines[1].born = 2_000
        self.servers[1] = _started(self.servers[1], 2_000)
        self.rounds(5)
        self.assertEqual(len(self.sent()), 1)

    def test_restarted_engine_is_not_ordered(self) -> None:
        """Guards against an order for one start that is sent to the next."""
        for number, engine in enumerate(self.engines):
            engine.born = 2_000
            self.servers[number] = _started(self.servers[number], 1_000)
        self.rounds(8)
        self.assertEqual(self.sent(), [])
        starts = fleet.ServerStart("e1", 1_000), fleet.ServerStart("e1", 2_000)
        self.assertIn(starts, self.restarted)

    def test_rejected_order_does_not_delay_the_next_one(self) -> None:
        for engine in self.engines:
            engine.status = b"409 Conflict"
            engine.takes_orders = False
        self.rounds(12)
        self.assertGreater(len(self.sent()), 1)

    def test_no_order_while_too_few_engines_report(self) -> None:
        for number in (2, 3):
            self.servers[number] = self.servers[number]._replace(
                address=fleet.Address("127.0.0.1", 1)
            )
        self.rounds(10)
        self.assertEqual(self.sent(), [])

    def test_no_order_while_the_list_may_be_stale(self) -> None:
        self.listed.age_s = 1.0
        self.rounds(10)
        self.assertEqual(self.sent(), [])


if __name__ == "__main__":
    unittest.main()

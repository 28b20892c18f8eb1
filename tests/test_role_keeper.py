"""Orders of roles: recorded first, one at a time, settled before the next."""

import unittest
from typing import Any

import orjson
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.authority import role_holder, role_keeper
from mulberrywharf.engines import role_orders
from mulberrywharf.platform import orders
from mulberrywharf.platform_service import key_value
from tests import builders_engines
from tests import builders_routes as build

AUTHORITY = role_holder.Authority(41, key_value.Guard("holder", 7))


def _started(server: fleet.Server, unix_ms: int) -> fleet.Server:
    start = server.start._replace(started_unix_ms=unix_ms)
    return server._replace(start=start)


class _Holder:
    """The right to order, as tests set it."""

    def __init__(self) -> None:
        self.is_held = True
        self.may_send = True
        self.recorded: list[dict[str, Any]] = []

    def authority(
        self,
    ) -> Result[role_holder.Authority, errors.AuthorityLostError]:
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
    """A list of engines that is never in doubt."""

    age_s = 1000.0
    wanted = 1.4
    resting: frozenset[str] = frozenset()

    def engines(self) -> dict[str, tuple[fleet.Server, ...]]:
        return {}

    def may_ask(self, server: fleet.Server) -> bool:
        return server.server_id not in self.resting

    def trouble_age_s(self) -> float:
        return self.age_s

    def wanted_prefill(self, service: str) -> float | None:
        return self.wanted


class _Engine:
    """An engine that reports and takes orders."""

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
            self._say(sock, b"200 OK", self._report())
            return
        self.orders.append(orjson.loads(asked.partition(b"\r\n\r\n")[2]))
        if self.takes_orders:
            self.accepted_count += 1
        if self.answers_orders:
            self._say(sock, self.status, b"{}")
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

    def _say(self, sock: Any, status: bytes, body: bytes) -> None:
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
        self.keeper = role_keeper.RoleKeeper(
            self.holder,
            self.listed,
            role_orders.RoleClient(orders.OrderDialect()),
            "vm-1",
            self.clock,
            on_restarted=lambda *starts: self.restarted.append(starts),
        )
        self.restarted: list[tuple[fleet.ServerStart, ...]] = []
        self.addCleanup(self.keeper.close)
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
            self.keeper.round("service", self.servers)
            self.clock.now_s += 1.0

    def sent(self) -> list[dict[str, Any]]:
        return [order for engine in self.engines for order in engine.orders]

    def test_engines_that_want_rest_are_not_asked(self) -> None:
        """Orders and reports reach an engine that has asked for rest."""
        self.listed.resting = frozenset({"e0", "e1", "e2", "e3"})
        self.rounds(3)
        self.assertEqual([one.requests for one in self.scripted], [[]] * 4)

    def test_an_engine_is_ordered_as_its_report_stood(self) -> None:
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

    def test_nothing_leaves_without_a_record(self) -> None:
        self.holder.record = lambda value: Err(  # type: ignore[method-assign]
            errors.PlatformUnavailableError("away")
        )
        self.rounds(12)
        self.assertEqual(self.sent(), [])

    def test_nothing_leaves_once_the_right_is_lost(self) -> None:
        """An order leaves after another holder has taken over.

        Sequence: the order is recorded; while its connection is opened the
        lease runs out. Cause: the right was checked before, not right before
        the first byte.
        """
        self.holder.may_send = False
        self.rounds(12)
        self.assertEqual(self.sent(), [])
        self.assertGreater(len(self.holder.recorded), 0)

    def test_an_order_without_an_answer_is_settled_first(self) -> None:
        """Two engines leave their role although one was to.

        Sequence: an order's answer is lost; the engine carries it out seconds
        later, when another engine was ordered too. Cause: no answer was taken
        for no order.
        """
        for engine in self.engines:
            engine.answers_orders = False
            engine.takes_orders = False
        self.rounds(13)
        self.assertEqual(len(self.sent()), 1)
        self.rounds(12)
        self.assertGreater(len(self.sent()), 1)

    def test_an_order_that_shows_in_a_report_is_settled(self) -> None:
        self.engines[1].answers_orders = False
        self.rounds(8)
        self.assertEqual(len(self.sent()), 1)
        self.engines[1].role = "prefill"
        self.servers[1] = self.servers[1]._replace(role="prefill")
        self.rounds(8)
        self.assertEqual(len(self.sent()), 1)

    def test_an_order_that_a_new_start_may_take_is_not_settled(self) -> None:
        """An engine that has just started is ordered twice.

        Sequence: an order's answer is lost, and the engine starts again under
        its id; the order is carried out late, by the new start, whose count of
        orders matches again. Cause: the engine's earlier start counted as
        left, and another order was sent beside the one under way.
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

    def test_an_engine_that_started_again_is_not_ordered(self) -> None:
        """An order meant for one start is sent to the next one."""
        for number, engine in enumerate(self.engines):
            engine.born = 2_000
            self.servers[number] = _started(self.servers[number], 1_000)
        self.rounds(8)
        self.assertEqual(self.sent(), [])
        starts = fleet.ServerStart("e1", 1_000), fleet.ServerStart("e1", 2_000)
        self.assertIn(starts, self.restarted)

    def test_a_refused_order_is_no_order(self) -> None:
        for engine in self.engines:
            engine.status = b"409 Conflict"
            engine.takes_orders = False
        self.rounds(12)
        self.assertGreater(len(self.sent()), 1)

    def test_engines_that_do_not_report_stop_all(self) -> None:
        for number in (2, 3):
            self.servers[number] = self.servers[number]._replace(
                address=fleet.Address("127.0.0.1", 1)
            )
        self.rounds(10)
        self.assertEqual(self.sent(), [])

    def test_a_list_in_doubt_stops_all(self) -> None:
        self.listed.age_s = 1.0
        self.rounds(10)
        self.assertEqual(self.sent(), [])


if __name__ == "__main__":
    unittest.main()

"""Tests that engines are ordered once, by one holder, and from a true view."""

import json
import unittest
from typing import Any
from unittest import mock

from mulberrywharf.duties import capacity_orders, capacity_records, client
from mulberrywharf.policy import capacity_plan
from tests import builders_capacity as capacity
from tests import builders_routes as build

A_REGULAR = ("zone-a", False)
A_RECLAIMABLE = ("zone-a", True)
B_REGULAR = ("zone-b", False)


class CapacityCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = build.ManualClock()
        self.shared: dict[str, Any] = {}
        self.platform = capacity.FakePlatform(self.clock, self.shared)
        self.platform.add(*A_REGULAR, 2)
        self.platform.add(*B_REGULAR, 2)
        self.plan = capacity.TargetPlan({A_REGULAR: 2, B_REGULAR: 2})
        self.fleet = capacity.FakeFleet(self.platform)
        self.task = capacity.FakeTask(self.shared, 7)
        self.holder = self.make(self.task)

    def make(self, task: capacity.FakeTask) -> capacity_orders.CapacityOrders:
        return capacity.holder(
            task, self.fleet, self.platform, self.clock, self.plan
        )

    def rounds(self, count: int) -> None:
        for _ in range(count):
            self.holder.poll()
            self.clock.now_s += capacity_orders.ROUND_INTERVAL_S

    def sent(self) -> list[tuple[str, bool, int]]:
        return [
            (
                call.order.availability_zone,
                call.order.is_reclaimable,
                call.order.desired_count,
            )
            for call in self.platform.calls
        ]

    def recorded(self, value: bytes | None) -> list[tuple[str, int, bool]]:
        assert value is not None
        return [
            (one["availability_zone"], one["desired_count"], one["is_answered"])
            for one in json.loads(value)["orders"]
        ]


class OrdersTest(CapacityCase):
    def test_order_is_recorded_before_it_is_sent(self) -> None:
        """Guards against orders that the next holder does not know of."""
        self.plan.targets[A_REGULAR] = 3
        self.rounds(1)
        (call,) = self.platform.calls
        self.assertEqual(self.recorded(call.record), [("zone-a", 3, False)])

    def test_unrecorded_order_is_not_sent(self) -> None:
        self.task.fails = True
        self.plan.targets[A_REGULAR] = 3
        self.rounds(3)
        self.assertEqual(self.platform.calls, [])

    def test_accepted_order_is_not_sent_again_while_engines_boot(self) -> None:
        self.plan.targets[A_REGULAR] = 4
        self.rounds(12)
        self.assertEqual(self.sent(), [("zone-a", False, 4)])
        self.assertEqual(self.platform.counts()[A_REGULAR], 4)

    def test_nothing_is_ordered_that_is_there(self) -> None:
        self.rounds(5)
        self.assertEqual((self.sent(), self.task.recorded_count), ([], 0))

    def test_unanswered_order_is_repeated_unchanged(self) -> None:
        """Guards against two orders of one zone that overtake each other."""
        self.platform.modes = ["lose", "busy", "lose"]
        self.plan.targets[A_REGULAR] = 4
        self.rounds(1)
        self.plan.targets.update({A_REGULAR: 3, A_RECLAIMABLE: 1})
        self.rounds(2)
        self.assertEqual(self.sent(), [("zone-a", False, 4)] * 3)
        self.rounds(1)
        self.assertEqual(
            self.sent()[3:],
            [("zone-a", False, 4), ("zone-a", False, 3), ("zone-a", True, 1)],
        )

    def test_zone_with_an_unanswered_order_does_not_delay_others(self) -> None:
        self.platform.modes = ["lose", "lose"]
        self.plan.targets[A_REGULAR] = 4
        self.rounds(1)
        self.plan.targets[B_REGULAR] = 3
        self.rounds(1)
        self.assertEqual(self.platform.counts()[B_REGULAR], 3)

    def test_unavailable_platform_is_called_once_a_round(self) -> None:
        """Guards against planning on while no order is carried out."""
        self.platform.modes = ["lose"] * 100
        self.plan.targets.update({A_REGULAR: 4, B_REGULAR: 4})
        self.rounds(2)
        recorded_count = self.task.recorded_count
        self.fleet.scaled = {
            capacity.SERVICE: capacity.BOUNDS._replace(
                zone_prices={"zone-a": 1.0, "zone-b": 1.0, "zone-c": 1.0}
            )
        }
        self.plan.targets["zone-c", False] = 1
        self.rounds(8)
        self.assertEqual(len(self.platform.calls), 10)
        self.assertEqual(self.task.recorded_count, recorded_count)

    def test_one_round_sends_one_order_a_zone_at_a_time(self) -> None:
        self.plan.targets.update({A_REGULAR: 3, A_RECLAIMABLE: 2})
        self.rounds(1)
        first, second = self.platform.calls
        self.assertEqual(self.recorded(first.record), [("zone-a", 3, False)])
        self.assertEqual(
            self.recorded(second.record),
            [("zone-a", 3, True), ("zone-a", 2, False)],
        )

    def test_service_without_scaling_is_left_alone(self) -> None:
        """Guards against orders for operators who did not ask for them."""
        self.fleet.scaled = {}
        self.plan.targets[A_REGULAR] = 4
        self.rounds(3)
        self.assertEqual(self.plan.seen, [])
        self.assertEqual((self.sent(), self.task.recorded_count), ([], 0))

    def test_service_that_loses_its_scaling_gets_no_repeats(self) -> None:
        self.platform.modes = ["lose"]
        self.plan.targets[A_REGULAR] = 4
        self.rounds(1)
        self.fleet.scaled = {"other": capacity.BOUNDS}
        self.rounds(3)
        services = [call.order.service for call in self.platform.calls]
        self.assertEqual(services.count(capacity.SERVICE), 1)
        self.fleet.scaled = {capacity.SERVICE: capacity.BOUNDS}
        self.rounds(1)
        self.assertEqual(self.platform.counts()[A_REGULAR], 4)


class RefusalTest(CapacityCase):
    def test_kind_that_is_not_available_is_left_for_a_while(self) -> None:
        """Guards against calls that the platform just refused."""
        self.platform.unavailable.add(A_RECLAIMABLE)
        self.plan.targets[A_RECLAIMABLE] = 1
        self.rounds(5)
        self.assertEqual(self.sent().count(("zone-a", True, 1)), 1)
        self.assertIn(("zone-a", False, 3), self.sent())
        self.assertEqual(self.task.number, 7)
        self.platform.unavailable.clear()
        self.rounds(3)
        self.assertEqual(self.platform.counts()[A_RECLAIMABLE], 1)

    def test_holder_that_lost_the_duty_sends_no_more(self) -> None:
        """Guards against a 409 of a newer holder that is taken for another."""
        self.platform.before_send = lambda: setattr(self.task, "fails", True)
        self.platform.unavailable.add(A_RECLAIMABLE)
        self.plan.targets[A_RECLAIMABLE] = 1
        self.rounds(6)
        self.assertEqual(self.sent(), [("zone-a", True, 1)])

    def test_refused_order_is_not_repeated_by_the_next_holder(self) -> None:
        self.platform.unavailable.add(A_RECLAIMABLE)
        self.plan.targets[A_RECLAIMABLE] = 1
        self.rounds(1)
        self.assertEqual(self.recorded(self.shared["record"]), [])

    def test_order_before_a_refused_one_stays_in_force(self) -> None:
        """Guards against replacing engines that are still starting."""
        self.plan.targets[A_RECLAIMABLE] = 1
        self.rounds(1)
        self.platform.unavailable.add(A_RECLAIMABLE)
        self.plan.targets[A_RECLAIMABLE] = 3
        self.rounds(2)
        seen = self.plan.seen[-1][0]["zone-a"]
        self.assertEqual(
            (seen.reclaimable_count, seen.reclaimable_ordered_count), (0, 1)
        )

    def test_plan_may_repeat_an_order(self) -> None:
        """Guards against engines that are lost while others still start."""
        self.plan.targets[A_REGULAR] = 4
        self.rounds(2)
        order = capacity_plan.CapacityOrder("zone-a", False, 4, "missing")
        with mock.patch.object(self.plan, "decide", return_value=[order]):
            self.rounds(4)
        self.assertEqual(self.sent(), [("zone-a", False, 4)] * 3)

    def test_all_reclaimable_engines_of_a_zone_are_taken_back(self) -> None:
        """Guards against waiting for engines that will not come back.

        They were ordered and present; the order must no longer count as if
        they were about to start.
        """
        self.plan.targets[A_RECLAIMABLE] = 3
        self.rounds(8)
        self.assertEqual(self.platform.counts()[A_RECLAIMABLE], 3)
        self.platform.take_back("zone-a")
        self.rounds(1)
        seen = self.plan.seen[-1][0]["zone-a"]
        self.assertEqual(
            (
                seen.reclaimable_count,
                seen.reclaimable_ordered_count,
                seen.leaving_count,
            ),
            (0, None, 3),
        )
        self.rounds(1)
        self.assertEqual(self.platform.counts()[A_REGULAR], 5)


class LateOrdersTest(CapacityCase):
    def test_late_order_is_corrected(self) -> None:
        """Guards against an earlier order that undoes a later one for good."""
        for late_count in (5, 1):
            with self.subTest(late_count=late_count):
                self.plan.targets[A_REGULAR] = late_count
                self.platform.modes = ["late"]
                self.rounds(8)
                self.plan.targets[A_REGULAR] = 3
                self.rounds(8)
                self.assertEqual(self.platform.carry_out_late(), [True])
                self.assertEqual(self.platform.counts()[A_REGULAR], late_count)
                self.rounds(8)
                self.assertEqual(self.platform.counts()[A_REGULAR], 3)

    def test_order_that_brings_too_few_engines_ends(self) -> None:
        """Guards against waiting for engines that never start."""
        self.plan.targets[A_REGULAR] = 4
        self.rounds(1)
        self.platform._ready_s[A_REGULAR].pop()
        self.rounds(12)
        self.assertEqual(self.platform.counts()[A_REGULAR], 4)


class HoldersTest(CapacityCase):
    def take_over(self, number: int = 8) -> None:
        self.holder = self.make(capacity.FakeTask(self.shared, number))

    def test_holder_killed_between_record_and_order(self) -> None:
        """Guards against an order that was decided and never sent."""
        self.platform.modes = ["kill"]
        self.plan.targets[A_REGULAR] = 4
        with self.assertRaises(capacity.KilledError):
            self.rounds(1)
        self.take_over()
        self.plan.targets[A_REGULAR] = 2
        self.rounds(1)
        self.assertEqual(self.sent()[0], ("zone-a", False, 4))
        self.assertEqual(self.platform.calls[0].number, 8)
        self.rounds(8)
        self.assertEqual(self.platform.counts()[A_REGULAR], 2)

    def test_late_order_of_a_former_holder_is_rejected(self) -> None:
        """Guards against two holders whose orders alternate."""
        self.platform.modes = ["late"]
        self.plan.targets[A_REGULAR] = 5
        self.rounds(1)
        former, self.task.fails = self.holder, True
        self.take_over()
        self.plan.targets[A_REGULAR] = 3
        self.rounds(1)
        self.assertEqual(self.platform.carry_out_late(), [False])
        former.poll()
        self.rounds(8)
        former.poll()
        self.assertEqual(self.platform.counts()[A_REGULAR], 3)
        numbers = [call.number for call in self.platform.calls]
        self.assertEqual(numbers.count(7), 2)
        self.assertIsNone(self.task.number)

    def test_next_holder_waits_for_engines_that_boot(self) -> None:
        self.plan.targets[A_REGULAR] = 4
        self.rounds(1)
        self.task.number = None
        self.take_over()
        self.rounds(2)
        seen = self.plan.seen[-1][0]["zone-a"]
        self.assertEqual(
            (seen.regular_count, seen.regular_ordered_count), (2, 4)
        )
        self.assertEqual(self.sent(), [("zone-a", False, 4)] * 2)

    def test_nothing_is_ordered_from_a_stale_view(self) -> None:
        """Guards against replacing a fleet whose records only expired.

        The key-value service was unavailable for longer than an engine takes
        to start, and no record has come back yet.
        """
        self.platform.modes = ["lose"]
        self.plan.targets[A_REGULAR] = 3
        self.rounds(1)
        self.fleet.reason, self.fleet.is_empty = "away", True
        self.rounds(10)
        self.assertEqual(len(self.sent()), 1)
        self.fleet.reason, self.fleet.is_empty = None, False
        self.rounds(8)
        self.assertEqual(self.sent(), [("zone-a", False, 3)] * 2)

    def test_invalid_record_yields_no_orders(self) -> None:
        for value in (b"", b"[1]", b"{}", b'{"orders": [{"service": 1}]}'):
            with self.subTest(value=value):
                self.assertEqual(capacity_records.decode(value), [])

    def test_record_round_trip(self) -> None:
        book = capacity_records.OrderBook()
        order = client.ServiceOrder("engines", "zone-a", True, 3)
        book.put([order])
        (read,) = capacity_records.decode(book.encode(7))
        self.assertEqual((read.order, read.is_answered), (order, False))


if __name__ == "__main__":
    unittest.main()

"""Tests the decision how many engines of which kind each zone has."""

import itertools
import unittest

from mulberrywharf.policy import capacity_plan

ZONE_PRICES = {"a": 0.85, "b": 1.2, "c": 1.0, "d": 1.1}
BOUNDS = capacity_plan.CapacityBounds(1, 12, 4.0, 0.22, ZONE_PRICES)
MODERATE = capacity_plan.CapacityDemand(1.2, 4.0)
"""Needs 16 engines with room for a burst, 8.4 without."""


class Fleet:
    """Engines that start and leave as ordered; the rest is set by tests."""

    def __init__(self, regular_count: int, names: str = "abcd") -> None:
        self.plan = capacity_plan.CapacityPlan()
        self.bounds = BOUNDS
        self.demand: capacity_plan.CapacityDemand | None = None
        self.unavailable: set[capacity_plan.Unavailable] = set()
        self.counts = {(name, False): regular_count for name in names}
        self.counts |= {(name, True): 0 for name in names}
        self.ordered: dict[tuple[str, bool], int] = {}
        self.coming: list[tuple[float, tuple[str, bool]]] = []
        self.now_s = 100.0
        self.orders: list[capacity_plan.CapacityOrder] = []
        self.lowest_total = self.total

    @property
    def total(self) -> int:
        return sum(self.counts.values())

    def run(self, for_s: int) -> list[capacity_plan.CapacityOrder]:
        """Carries out the decisions of some rounds; returns their orders."""
        start = len(self.orders)
        for _ in range(for_s):
            self._step()
        return self.orders[start:]

    def kind_count(self, is_reclaimable: bool) -> int:
        return sum(
            n for kind, n in self.counts.items() if kind[1] == is_reclaimable
        )

    def take_back(self, name: str) -> None:
        """Takes the reclaimable engines of a zone back; none are available."""
        self.counts[name, True] = 0
        self.unavailable.add(capacity_plan.Unavailable(name, True))

    def _step(self) -> None:
        self.now_s += 1.0
        for at_s, kind in list(self.coming):
            if at_s <= self.now_s:
                self.coming.remove((at_s, kind))
                self.counts[kind] += 1
        self.lowest_total = min(self.lowest_total, self.total)
        zones = [
            capacity_plan.ZoneEngines(
                name,
                self.counts[name, False],
                self.counts[name, True],
                0,
                self.ordered.get((name, False)),
                self.ordered.get((name, True)),
            )
            for name, is_reclaimable in self.counts
            if not is_reclaimable
        ]
        for order in self.plan.decide(
            self.bounds,
            zones,
            self.demand,
            frozenset(self.unavailable),
            self.now_s,
        ):
            self._carry_out(order)

    def _carry_out(self, order: capacity_plan.CapacityOrder) -> None:
        self.orders.append(order)
        kind = order.availability_zone, order.is_reclaimable
        self.ordered[kind] = order.desired_count
        if capacity_plan.Unavailable(*kind) in self.unavailable:
            return
        coming = [one for one in self.coming if one[1] == kind]
        change = order.desired_count - self.counts[kind] - len(coming)
        arrival = self.now_s + self.bounds.boot_s, kind
        self.coming += [arrival] * max(0, change)
        self.counts[kind] += min(0, change)


def replaced(demand: capacity_plan.CapacityDemand | None = None) -> Fleet:
    """Returns a fleet of 24 whose engines were replaced before traffic."""
    fleet = Fleet(6)
    fleet.run(16)
    fleet.demand = demand
    return fleet


class BeforeTrafficTest(unittest.TestCase):
    def test_regular_engines_are_replaced_quickly_and_not_too_early(
        self,
    ) -> None:
        """A fleet is paid at the full price, or too small as traffic starts."""
        fleet = Fleet(6)
        first = fleet.run(3)
        self.assertEqual(
            [tuple(order[:3]) for order in first],
            [(name, True, 4) for name in "abcd"],
        )
        fleet.run(10)
        self.assertEqual(fleet.kind_count(False), 8)
        self.assertEqual(fleet.total, 24)
        self.assertEqual(fleet.lowest_total, 24)
        self.assertEqual(fleet.run(30), [])

    def test_zones_are_replaced_one_after_the_other(self) -> None:
        """All prefill engines are given back at once, just before traffic."""
        fleet = Fleet(6)
        released_s = []
        for _ in range(20):
            orders = [one for one in fleet.run(1) if not one.is_reclaimable]
            released_s += [fleet.now_s] * len(orders)
        self.assertEqual(len(released_s), 4)
        for former_s, later_s in itertools.pairwise(released_s):
            self.assertGreaterEqual(later_s - former_s, 2.0)

    def test_regular_engines_stay_where_no_others_are_available(self) -> None:
        """Engines are given back, and none come in their place."""
        fleet = Fleet(6)
        fleet.unavailable.add(capacity_plan.Unavailable("b", True))
        fleet.run(20)
        self.assertEqual(fleet.counts["b", False], 6)
        self.assertEqual(fleet.total, 24)
        fleet.unavailable.clear()
        fleet.run(20)
        self.assertEqual(fleet.counts["b", False], 2)
        self.assertEqual(fleet.lowest_total, 24)

    def test_maximum_holds_while_both_kinds_serve(self) -> None:
        """A zone has more engines than its maximum during the replacement."""
        fleet = Fleet(6)
        fleet.bounds = BOUNDS._replace(max_count=8)
        for _ in range(40):
            fleet.run(1)
            for name in ZONE_PRICES:
                coming = sum(kind[0] == name for _, kind in fleet.coming)
                count = fleet.counts[name, False] + fleet.counts[name, True]
                self.assertLessEqual(count + coming, 8)
        self.assertEqual(fleet.kind_count(False), 8)
        self.assertEqual(fleet.lowest_total, 24)

    def test_nothing_is_ordered_while_engines_register(self) -> None:
        """The first engines that register are taken for the whole fleet."""
        fleet = Fleet(1)
        for count in (2, 4, 6):
            self.assertEqual(fleet.run(1), [])
            fleet.counts = {
                kind: 0 if kind[1] else count for kind in fleet.counts
            }
        fleet.run(16)
        self.assertEqual(fleet.total, 24)

    def test_next_holder_counts_replaced_engines_once(self) -> None:
        """The fleet grows with each change of the holder in a replacement."""
        fleet = Fleet(6)
        fleet.run(6)
        fleet.plan = capacity_plan.CapacityPlan()
        fleet.run(20)
        self.assertEqual((fleet.total, fleet.lowest_total), (24, 24))

    def test_next_holder_keeps_regular_engines_of_a_zone_cut_off(self) -> None:
        """A zone has no regular engines after it was cut off for a while."""
        fleet = replaced(MODERATE)
        fleet.counts["a", False] = fleet.counts["a", True] = 0
        fleet.plan = capacity_plan.CapacityPlan()
        fleet.run(5)
        fleet.coming.clear()
        fleet.counts["a", False], fleet.counts["a", True] = 2, 4
        fleet.run(100)
        self.assertEqual(fleet.counts["a", False], 2)

    def test_without_a_price_of_reclaimable_engines_nothing_is_ordered(
        self,
    ) -> None:
        fleet = Fleet(6)
        fleet.bounds = BOUNDS._replace(reclaimable_price=None)
        self.assertEqual(fleet.run(20), [])


class RegularFloorTest(unittest.TestCase):
    def test_each_zone_keeps_its_regular_engines(self) -> None:
        """A zone that was cut off has no engine once others are taken back."""
        for regular_count in (1, 2, 6):
            with self.subTest(regular_count=regular_count):
                fleet = Fleet(regular_count)
                fleet.bounds = BOUNDS._replace(min_count=0)
                idle = capacity_plan.CapacityDemand(0.0, 0.0)
                for demand in (None, MODERATE, idle):
                    fleet.demand = demand
                    for _ in range(120):
                        fleet.run(1)
                        for name in ZONE_PRICES:
                            self.assertGreaterEqual(
                                fleet.counts[name, False],
                                min(2, regular_count),
                            )
                self.assertEqual(
                    fleet.kind_count(False), 4 * min(2, regular_count)
                )

    def test_idle_zone_keeps_its_only_engine(self) -> None:
        """A zone gives up its last engine when there is little work."""
        fleet = Fleet(1)
        fleet.bounds = BOUNDS._replace(min_count=0)
        fleet.demand = capacity_plan.CapacityDemand(0.0, 0.0)
        self.assertEqual(fleet.run(120), [])

    def test_lost_regular_engine_is_replaced_while_others_stay(self) -> None:
        """Nothing answers in a zone while its regular engine is replaced."""
        fleet = replaced(MODERATE)
        fleet.run(5)
        fleet.counts["a", False] = 0
        for _ in range(12):
            fleet.run(1)
            self.assertEqual(fleet.counts["a", True], 4)
        self.assertEqual(fleet.counts["a", False], 2)

    def test_next_holder_replaces_a_lost_regular_engine(self) -> None:
        """A new holder finds none and takes that for what the zone had."""
        fleet = replaced(MODERATE)
        fleet.counts["a", False] = 0
        fleet.plan = capacity_plan.CapacityPlan()
        for _ in range(16):
            fleet.run(1)
            self.assertEqual(fleet.counts["a", True], 4)
        self.assertEqual(fleet.counts["a", False], 2)


class UnderLoadTest(unittest.TestCase):
    def test_a_plan_that_may_not_grow_keeps_to_the_engines_found(self) -> None:
        """Guards against orders by an estimate that is far above the work."""
        fleet = Fleet(6)
        fleet.plan = capacity_plan.CapacityPlan(may_grow=False)
        fleet.run(20)
        # Reclaimable engines are given back only when regular ones serve.
        fleet.demand = capacity_plan.CapacityDemand(8.0, 8.0)
        fleet.run(80)
        self.assertEqual(fleet.total, 24)
        fleet.demand = capacity_plan.CapacityDemand(30.0, 30.0)
        for _ in range(60):
            fleet.run(1)
            self.assertEqual(fleet.total, 24)

    def test_more_work_adds_engines_at_once(self) -> None:
        """Callers wait until averages have noticed that work has risen."""
        fleet = replaced(MODERATE)
        fleet.run(5)
        fleet.demand = capacity_plan.CapacityDemand(4.0, 11.0)
        orders = fleet.run(1)
        self.assertTrue(orders)
        self.assertTrue(all(order.is_reclaimable for order in orders))
        fleet.run(40)
        # 4.0 / 0.4 + 11.0 / 0.75 engines, times 1.9 for a burst.
        self.assertGreaterEqual(fleet.total, 46)

    def test_less_work_gives_engines_back_late_and_not_all(self) -> None:
        """A quiet moment costs the engines, and the caches, of the next one."""
        fleet = replaced(MODERATE)
        self.assertEqual(fleet.run(10), [])
        fleet.run(120)
        self.assertLessEqual(fleet.total, 18)
        fleet.demand = capacity_plan.CapacityDemand(0.0, 0.0)
        fleet.run(200)
        self.assertEqual(fleet.total, 12)
        self.assertEqual(fleet.kind_count(False), 8)

    def test_steady_swings_undo_at_most_one_order_in_20_s(self) -> None:
        """Engines are ordered and given back with each swing of the work."""
        fleet = replaced()
        turns: list[tuple[float, int]] = []
        for second in range(200):
            factor = 1.27 if second % 11 < 5 else 0.73
            factor *= 1.9 if second % 60 in range(20, 26) else 1.0
            fleet.demand = capacity_plan.CapacityDemand(
                1.5 * factor, 6 * factor
            )
            before = fleet.total + len(fleet.coming)
            fleet.run(1)
            change = fleet.total + len(fleet.coming) - before
            if change and (not turns or turns[-1][1] * change < 0):
                turns.append((fleet.now_s, change))
        for former, later in itertools.pairwise(turns[1:]):
            self.assertGreater(later[0] - former[0], 20.0)

    def test_replacement_under_load_goes_step_by_step(self) -> None:
        """Most caches are lost at once, and engines read everything again."""
        fleet = Fleet(6)
        fleet.demand = MODERATE
        released_s = []
        for _ in range(40):
            orders = fleet.run(1)
            released = [one for one in orders if not one.is_reclaimable]
            self.assertLessEqual(len(released), 1)
            released_s += [fleet.now_s] * len(released)
        self.assertEqual(len(released_s), 4)
        for former_s, later_s in itertools.pairwise(released_s):
            self.assertGreaterEqual(later_s - former_s, 5.0)

    def test_unknown_demand_cuts_nothing(self) -> None:
        """Reports get lost, and the fleet shrinks below the work."""
        fleet = replaced(MODERATE)
        fleet.run(2)
        fleet.demand = None
        self.assertEqual(fleet.run(100), [])

    def test_one_zone_lost_leaves_enough_for_the_work(self) -> None:
        """One zone has most engines, and callers are refused without it."""
        fleet = Fleet(1)
        fleet.counts["a", False] = 12
        fleet.demand = capacity_plan.CapacityDemand(1.2, 5.0)
        fleet.run(20)
        largest = max(
            fleet.counts[name, False] + fleet.counts[name, True]
            for name in ZONE_PRICES
        )
        # 1.2 / 0.4 + 5.0 / 0.75 engines.
        self.assertGreaterEqual(fleet.total - largest, 9.67)

    def test_only_zone_keeps_regular_engines_for_the_work(self) -> None:
        """All engines but two are taken back at once."""
        fleet = Fleet(12, names="a")
        fleet.demand = capacity_plan.CapacityDemand(0.8, 2.0)
        fleet.run(60)
        self.assertGreaterEqual(fleet.counts["a", False], 5)
        self.assertGreater(fleet.counts["a", True], 0)


class LostEnginesTest(unittest.TestCase):
    def test_lost_engines_that_are_not_needed_are_awaited(self) -> None:
        """Regular engines are paid in place of others that soon return."""
        fleet = replaced(MODERATE)
        fleet.run(5)
        fleet.take_back("a")
        self.assertEqual(fleet.run(10), [])
        fleet.unavailable.clear()
        orders = fleet.run(5)
        self.assertEqual(orders[0][:3], ("a", True, 4))

    def test_engines_just_taken_back_are_not_ordered_again_at_once(
        self,
    ) -> None:
        """Orders during a notice bring engines that are taken back, too."""
        fleet = replaced(MODERATE)
        fleet.run(5)
        fleet.counts["a", True] = 0
        self.assertEqual(fleet.run(8), [])
        self.assertEqual(fleet.run(1)[0][:3], ("a", True, 4))

    def test_regular_engines_ordered_for_lost_ones_stay_for_a_while(
        self,
    ) -> None:
        """Engines are ordered and given back as others come and go."""
        fleet = replaced(capacity_plan.CapacityDemand(2.0, 5.5))
        fleet.run(5)
        fleet.counts["a", True] = 0
        ordered = fleet.run(1)
        self.assertEqual([one.is_reclaimable for one in ordered], [False])
        orders = fleet.run(19)
        self.assertTrue(all(one.is_reclaimable for one in orders))

    def test_lost_engines_that_are_needed_are_replaced_at_once(self) -> None:
        """Callers are refused until reclaimable engines are available."""
        fleet = replaced(capacity_plan.CapacityDemand(2.0, 5.5))
        fleet.run(5)
        fleet.take_back("a")
        orders = fleet.run(1)
        self.assertTrue(orders)
        self.assertFalse(any(order.is_reclaimable for order in orders))
        fleet.run(6)
        # 2.0 / 0.4 + 5.5 / 0.75 engines, times 1.9 for a burst.
        self.assertGreaterEqual(fleet.total, 23.4)
        fleet.unavailable.clear()
        fleet.run(60)
        self.assertEqual(fleet.kind_count(False), 8)

    def test_engines_of_a_zone_that_is_gone_are_ordered_elsewhere(self) -> None:
        """Engines are ordered in the zone that fails."""
        fleet = replaced(capacity_plan.CapacityDemand(2.0, 5.5))
        fleet.run(5)
        fleet.take_back("a")
        fleet.counts["a", False] = 0
        orders = fleet.run(1)
        zones = {
            one.availability_zone for one in orders if not one.is_reclaimable
        }
        self.assertTrue(zones - {"a"})

    def test_accepted_order_without_engines_is_repeated_and_blocks_nothing(
        self,
    ) -> None:
        """One zone without engines puts off all savings for good."""
        fleet = Fleet(6)
        fleet.demand = MODERATE
        for _ in range(120):
            fleet.run(1)
            fleet.coming = [
                one for one in fleet.coming if one[1] != ("a", True)
            ]
        repeats = [
            order for order in fleet.orders if order[:3] == ("a", True, 4)
        ]
        self.assertGreater(len(repeats), 3)
        self.assertEqual(fleet.counts["b", False], 2)


if __name__ == "__main__":
    unittest.main()

"""Tests the decision how many engines prefill, and the demand behind it."""

import unittest

from mulberrywharf import fleet
from mulberrywharf.policy import prefill_demand, role_split
from tests import builders_routes as build

SLOTS_COUNT = 64


def load(
    name: str, role: fleet.Role, count: int, **changes: object
) -> role_split.EngineLoad:
    server = build.server(
        name,
        role=role,
        slots_count=SLOTS_COUNT,
        availability_zone=str(changes.pop("zone", "zone-a")),
    )
    made = role_split.EngineLoad(server, count, 0)
    return made._replace(**changes)


def engines(
    decode_count: int, *, prefills: int = 3, decodes: int = 6
) -> list[role_split.EngineLoad]:
    """Returns engines in three zones, decode engines with that many streams."""
    found = [
        load(f"p{n}", "prefill", 1, zone=f"zone-{n % 3}")
        for n in range(prefills)
    ]
    return found + [
        load(f"d{n}", "decode", decode_count, zone=f"zone-{n % 3}")
        for n in range(decodes)
    ]


class RoleSplitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.split = role_split.RoleSplit()
        self.now_s = 100.0

    def simulate(
        self,
        loads: list[role_split.EngineLoad],
        wanted_prefill: float | None,
        for_s: float = 10.0,
    ) -> role_split.Decision:
        """Repeats the same loads for some seconds; returns the last result."""
        decision: role_split.Decision = role_split.Stay("no decision yet")
        for _ in range(int(for_s)):
            decision = self.split.decide(loads, wanted_prefill, self.now_s)
            self.now_s += 1.0
        return decision

    def test_lastingly_faster_engines_prefill(self) -> None:
        """Guards against slow prefill engines, which delay each prompt.

        A prompt of 17,000 tokens takes 460 ms at an engine of speed 0.6, and
        175 ms at one of 1.6. Small differences, and speed alone, order nothing.
        """
        slowdowns = {"d2": 1.05, "d4": 0.62, "p1": 1.6}
        loads = [
            one._replace(slowdown=slowdowns.get(one.server.server_id, 1.0))
            for one in engines(8)
        ]
        to_prefill = self.simulate(loads, 3.5)
        assert isinstance(to_prefill, role_split.Change)
        self.assertEqual(to_prefill.server.server_id, "d4")
        alike = [one._replace(slowdown=1.0) for one in loads]
        alike[-1] = alike[-1]._replace(slowdown=0.95, running_count=9)
        to_prefill = self.simulate(alike, 3.5)
        assert isinstance(to_prefill, role_split.Change)
        self.assertEqual(to_prefill.server.server_id, "d0")
        busy = [
            one._replace(running_count=60)
            if one.server.role == "decode"
            else one
            for one in loads
        ]
        to_decode = self.simulate(busy, 0.5)
        assert isinstance(to_decode, role_split.Change)
        self.assertEqual(to_decode.server.server_id, "p1")
        self.assertIsInstance(self.simulate(loads, 1.5), role_split.Stay)

    def test_high_prefill_demand_changes_a_decode_engine(self) -> None:
        decision = self.simulate(engines(8), 3.5)
        assert isinstance(decision, role_split.Change)
        self.assertEqual(decision.role, "prefill")
        self.assertEqual(decision.server.role, "decode")

    def test_full_batches_change_an_idle_prefill_engine(self) -> None:
        decision = self.simulate(engines(60), 0.5)
        assert isinstance(decision, role_split.Change)
        self.assertEqual(decision.role, "decode")

    def test_no_change_if_the_roles_fit_the_load(self) -> None:
        self.assertIsInstance(self.simulate(engines(20), 2.0), role_split.Stay)

    def test_no_change_if_both_roles_are_busy(self) -> None:
        for count in (40, 60):
            decision = self.simulate(engines(count), 3.5)
            self.assertIsInstance(decision, role_split.Stay)

    def test_short_swings_change_no_roles(self) -> None:
        """Engines are out of service whenever the mix of work swings.

        Work swings between prompts and answers every three seconds, and an
        order follows every few seconds, each of which takes an engine away for
        three. So no assignment of roles ever fits. The decisions used momentary
        loads, and the bounds for the two directions were close to each other.
        """
        for _ in range(8):
            for count, wanted_prefill in ((10, 2.2), (60, 1.2)):
                decision = self.simulate(engines(count), wanted_prefill, 3.0)
                self.assertIsInstance(decision, role_split.Stay)

    def test_no_change_just_after_an_engine_was_lost(self) -> None:
        loads = engines(8)
        self.simulate(loads, 1.0)
        self.assertIsInstance(
            self.simulate(loads[:-1], 3.5, 2.0), role_split.Stay
        )

    def test_no_change_before_the_demand_is_known(self) -> None:
        self.assertIsInstance(self.simulate(engines(8), None), role_split.Stay)

    def test_number_of_changing_engines_is_limited(self) -> None:
        loads = engines(8)
        for number in (3, 4):
            self.assertIsInstance(self.simulate(loads, 6.0), role_split.Change)
            changed = loads[number].server._replace(role="prefill")
            loads[number] = loads[number]._replace(
                server=changed, is_changing=True
            )
        self.assertIsInstance(self.simulate(loads, 6.0), role_split.Stay)

    def test_changing_engine_counts_in_its_next_role(self) -> None:
        loads = engines(8)
        changed = loads[3].server._replace(role="prefill")
        loads[3] = loads[3]._replace(server=changed, is_changing=True)
        self.assertIsInstance(self.simulate(loads, 2.8), role_split.Stay)

    def test_each_zone_keeps_a_decode_engine(self) -> None:
        loads = [
            load("p0", "prefill", 5, zone="zone-0"),
            load("d0", "decode", 1, zone="zone-0"),
            load("d1", "decode", 9, zone="zone-1"),
            load("d2", "decode", 9, zone="zone-1"),
        ]
        decision = self.simulate(loads, 3.0)
        assert isinstance(decision, role_split.Change)
        self.assertEqual(decision.server.availability_zone, "zone-1")
        self.assertIsInstance(self.simulate(loads[:3], 3.0), role_split.Stay)

    def test_engine_with_the_fewest_streams_changes_first(self) -> None:
        loads = engines(8)
        loads[-1] = loads[-1]._replace(running_count=1)
        decision = self.simulate(loads, 3.5)
        assert isinstance(decision, role_split.Change)
        self.assertEqual(decision.server.server_id, "d5")


class MinimumPrefillShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.split = role_split.RoleSplit(min_prefill_share=1 / 3)

    def rounds(
        self, loads: list[role_split.EngineLoad], count: int, start_s: float
    ) -> None:
        """Carries out the decisions of some rounds, one second apart."""
        for number in range(count):
            decision = self.split.decide(loads, None, start_s + number)
            if isinstance(decision, role_split.Change):
                names = [one.server.server_id for one in loads]
                index = names.index(decision.server.server_id)
                changed = decision.server._replace(role=decision.role)
                loads[index] = loads[index]._replace(server=changed)

    def test_prefill_engines_are_replaced_before_traffic(self) -> None:
        """Long prompts find no prefill engine after engines were replaced.

        The prefill engines were among those that went, and roles followed the
        load only, which is unknown or low then.
        """
        loads = engines(0, prefills=0, decodes=9)
        self.rounds(loads, 8, 100.0)
        roles = [one.server.role for one in loads]
        self.assertEqual(roles.count("prefill"), 3)
        zones = {
            one.server.availability_zone
            for one in loads
            if one.server.role == "prefill"
        }
        self.assertEqual(len(zones), 3)

    def test_replacing_zone_by_zone_does_not_delay_orders(self) -> None:
        """The fleet is without prefill engines while its zones are replaced.

        Each change of the set of engines put off all orders by another 3 s.
        """
        loads = engines(0, prefills=0, decodes=9)
        for number in range(4):
            loads[number] = load(f"new-{number}", "decode", 0, zone="zone-0")
            self.rounds(loads, 2, 100.0 + 2 * number)
        roles = [one.server.role for one in loads]
        self.assertEqual(roles.count("prefill"), 3)

    def test_engine_back_within_the_settling_time_causes_no_order(self) -> None:
        loads = engines(0)
        for now_s in range(100, 110):
            seen = loads[1:] if now_s < 103 else loads
            decision = self.split.decide(seen, 1.0, float(now_s))
            self.assertIsInstance(decision, role_split.Stay)

    def test_each_zone_keeps_a_decode_engine(self) -> None:
        loads = [load(f"d{n}", "decode", 0, zone=f"zone-{n}") for n in range(6)]
        self.rounds(loads, 10, 100.0)
        self.assertEqual({one.server.role for one in loads}, {"decode"})

    def test_full_batches_take_no_engine_below_the_minimum(self) -> None:
        for now_s in range(10):
            decision = self.split.decide(engines(60), 0.5, 100.0 + now_s)
            self.assertIsInstance(decision, role_split.Stay)

    def test_nothing_changes_without_a_minimum(self) -> None:
        """Fleets whose engines are never replaced get other role orders."""
        for loads, wanted in (
            (engines(0, prefills=0, decodes=9), None),
            (engines(0, prefills=0, decodes=9), 0.0),
            (engines(0, prefills=1, decodes=8), 0.5),
        ):
            split = role_split.RoleSplit()
            for now_s in range(10):
                decision = split.decide(loads, wanted, 100.0 + now_s)
                self.assertIsInstance(decision, role_split.Stay)


class ReadDemandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = prefill_demand.PrefillDemand()

    def note(self, rate: float, for_s: float) -> None:
        for step in range(int(for_s * 10)):
            self.demand.note(rate / 10, step / 10)

    def test_total_is_unknown_at_the_start(self) -> None:
        self.note(1.0, 1.0)
        self.assertIsNone(self.demand.total_engines(1, 1.0))

    def test_rate_is_not_biased_towards_zero_at_the_start(self) -> None:
        """A fleet takes half a minute to notice that roles must change.

        Traffic starts at its full rate after an idle time, which was included
        in the average.
        """
        self.note(1.0, 3.0)
        total = self.demand.total_engines(1, 3.0)
        assert total is not None
        self.assertAlmostEqual(total, 1.0, delta=0.1)

    def test_demands_of_gateways_are_added_up(self) -> None:
        self.note(1.0, 3.0)
        self.demand.record_report(1, 2.0, 3.0)
        self.demand.record_report(1, 2.5, 3.0)
        total = self.demand.total_engines(2, 3.0)
        assert total is not None
        self.assertAlmostEqual(total, 3.5, delta=0.1)

    def test_gateways_without_a_report_count_like_the_others(self) -> None:
        self.note(1.0, 3.0)
        self.demand.record_report(1, 2.0, -10.0)
        total = self.demand.total_engines(3, 3.0)
        assert total is not None
        self.assertAlmostEqual(total, 3.0, delta=0.3)


if __name__ == "__main__":
    unittest.main()

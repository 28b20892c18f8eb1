"""Tests of matching: the first match, unknown inputs and for_s."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.rules import Reading, Sustain, match, wanted_roles
from mulberrywharf.rules.explain import explain, reason
from mulberrywharf.rules.situation import is_in_window, utc_minute
from mulberrywharf.rules.wanted_roles import largest_remainder
from tests import builders_rules as build

BOUNDED = settings(derandomize=True, max_examples=100, deadline=None)


def _matched(document: Any, situation: Any) -> Any:
    return match(document, situation, sustain=Sustain(), now_s=0.0)


class ConditionsTest(unittest.TestCase):
    def test_rule_matches_only_if_its_conditions_hold(self):
        noon = build.situation(
            0.3,
            queue_delay_s=Reading(0.4, 1),
            engines_lost_count=Reading(2, 1),
            customer_requests_per_s={"dispatch": 5.0},
            model_requests_per_s={"verdict-70b": 3.0},
        )
        cases = [
            ({"prefill_share_above": 0.2}, True),
            ({"prefill_share_above": 0.3}, False),
            ({"prefill_share_below": 0.4}, True),
            ({"prefill_share_below": 0.3}, False),
            ({"queue_delay_above_s": 0.3}, True),
            ({"queue_delay_below_s": 0.3}, False),
            ({"engines_lost_above_count": 1}, True),
            ({"engines_lost_above_count": 2}, False),
            ({"availability_zone": "hall-a"}, True),
            ({"availability_zone": "hall-b"}, False),
            ({"between_utc": ["06:00", "12:00"]}, False),
            ({"between_utc": ["12:00", "14:00"]}, True),
            ({"between_utc": ["22:00", "13:00"]}, True),
            ({"customer": "dispatch"}, True),
            ({"customer": "crew-scheduling"}, False),
            ({"customer": "dispatch", "requests_above_per_s": 5}, False),
            ({"customer": "dispatch", "requests_above_per_s": 4}, True),
            ({"customer": "dispatch", "requests_below_per_s": 6}, True),
            ({"model": "verdict-70b", "requests_above_per_s": 9}, False),
            ({"model": "verdict-70b"}, True),
            ({"prefill_share_above": 0.2, "customer": "nobody"}, False),
        ]
        for when, expected in cases:
            with self.subTest(when=when):
                found = _matched(build.document(build.rule("only", when)), noon)
                self.assertEqual(found.rule_index == 0, expected)
                self.assertFalse(found.undecided)

    def test_default_applies_if_no_rule_matches(self):
        document = build.document(default={"prefer_zone": "hall-b"})
        found = _matched(document, build.situation())
        self.assertEqual(found.rule_name, "default")
        self.assertEqual(found.actions, {"prefer_zone": "hall-b"})

    def test_explanation_names_rule_version_inputs_and_age(self):
        document = build.document(build.rule("long-contracts"))
        found = _matched(document, build.situation(0.7, age_s=2.0))
        for text in (explain(found, 12), reason(found, 12)):
            for part in ("long-contracts", "version 12", "0.7", "2.0 s old"):
                self.assertIn(part, text)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["above", "below"]), st.floats(0, 1)),
            max_size=8,
        ),
        st.floats(0, 1),
    )
    @BOUNDED
    def test_only_the_first_match_counts(self, thresholds, share):
        rules = [
            build.rule(f"rule-{index}", {f"prefill_share_{side}": bound})
            for index, (side, bound) in enumerate(thresholds)
        ]
        holding = [
            index
            for index, (side, bound) in enumerate(thresholds)
            if (share > bound if side == "above" else share < bound)
        ]
        found = _matched(build.document(*rules), build.situation(share))
        self.assertEqual(found.rule_index, holding[0] if holding else -1)


class UnknownInputTest(unittest.TestCase):
    def test_stale_or_unknown_input_leaves_the_fleet_unchanged(self):
        """A node without current load reports must not change the fleet.

        Guards against engines that change roles while load reports are
        delayed. A rule matches, the reports stop and the prefill share
        becomes unknown. If the unknown condition were treated as not holding,
        the default would apply.
        """
        contracts = build.rule("contracts", then=build.roles(prefill=0.5))
        document = build.document(contracts, default=build.roles(decode=1))
        for share, age_s in ((0.7, 60.0), (None, 0.0)):
            with self.subTest(share=share, age_s=age_s):
                found = _matched(document, build.situation(share, age_s=age_s))
                self.assertTrue(found.undecided)
                self.assertEqual(found.actions, {"hold": True})
                self.assertIsNone(wanted_roles(found.actions, 8))

    def test_unknown_rates_leave_the_rule_undecided(self):
        for when in (
            {"customer": "dispatch"},
            {"customer": "dispatch", "requests_below_per_s": 5},
            {"model": "verdict-70b", "requests_above_per_s": 5},
        ):
            with self.subTest(when=when):
                document = build.document(build.rule("rates", when))
                unknown = build.situation(rates_age_s=float("inf"))
                found = _matched(document, unknown)
                self.assertTrue(found.undecided)
                self.assertEqual(found.conditions[0].value, "unknown")

    def test_rule_with_a_false_and_an_unknown_condition_does_not_match(self):
        when = {"prefill_share_above": 0.5, "availability_zone": "hall-b"}
        document = build.document(build.rule("elsewhere", when))
        found = _matched(document, build.situation(None))
        self.assertFalse(found.undecided)
        self.assertEqual(found.rule_name, "default")


class DurationTest(unittest.TestCase):
    def setUp(self):
        when = {"prefill_share_above": 0.5, "for_s": 30}
        self.document = build.document(
            build.rule("contracts", when, build.roles(prefill=0.5)),
            default=build.roles(decode=1),
        )
        self.sustain = Sustain()

    def run_at(self, now_s: float, share: float | None) -> str:
        found = match(
            self.document,
            build.situation(share),
            sustain=self.sustain,
            now_s=now_s,
        )
        return "undecided" if found.undecided else found.rule_name

    def run_all(self, steps: list[tuple[float, float | None]]) -> list[str]:
        return [self.run_at(now_s, share) for now_s, share in steps]

    def test_rule_matches_after_its_conditions_held_for_the_duration(self):
        steps = [(0, 0.1), *((10.0 * tick, 0.9) for tick in range(1, 6))]
        self.assertEqual(
            self.run_all(steps), ["default"] * 4 + ["contracts"] * 2
        )

    def test_interruption_restarts_the_duration(self):
        steps = [(0, 0.1), (10, 0.9), (20, 0.9), (30, 0.1), (40, 0.9)]
        steps += [(50, 0.9), (60, 0.9), (70, 0.9)]
        self.assertEqual(self.run_all(steps), ["default"] * 7 + ["contracts"])

    def test_short_unknown_input_does_not_restart_the_duration(self):
        steps = [(0, 0.1), (10, 0.9), (15, None), (20, 0.9), (30, 0.9)]
        steps.append((40, 0.9))
        self.assertEqual(self.run_all(steps), ["default"] * 5 + ["contracts"])

    def test_new_controller_is_undecided_until_the_duration_has_passed(self):
        """A new controller must not undo the active rule.

        Guards against two unneeded role changes per engine at each takeover:
        from prefill to decode, and back after for_s. A rule with for_s
        matches and its controller fails. If the next controller treated
        unobserved time as time in which the conditions did not hold, it would
        apply the default.
        """
        steps = [(1000, 0.9), (1010, 0.9), (1020, 0.9), (1030, 0.9)]
        self.assertEqual(self.run_all(steps), ["undecided"] * 3 + ["contracts"])

    def test_pause_of_the_process_discards_the_duration(self):
        """The time of a pause must not count towards for_s.

        Guards against a rule that matches although its conditions held only
        for a moment. The conditions hold, the process is paused for longer
        than for_s, the conditions fail during the pause and hold again after
        it. If elapsed time were used instead of observed time, the pause
        would count.
        """
        steps = [(0, 0.1), (10, 0.9), (100, 0.9), (110, 0.9)]
        found = self.run_all(steps)
        self.assertEqual(found, ["default", "default"] + ["undecided"] * 2)

    def test_duration_of_a_rule_after_the_match_is_tracked(self):
        first = build.rule("zone", {"queue_delay_above_s": 1.0})
        self.document["rules"].insert(0, first)
        busy = build.situation(0.9, queue_delay_s=Reading(2.0, 1))
        for now_s, view in ((0, build.situation(0.1)), (10, busy), (20, busy)):
            match(self.document, view, sustain=self.sustain, now_s=now_s)
        self.assertEqual(
            self.run_all([(30, 0.9), (40, 0.9)]), ["default", "contracts"]
        )

    def test_duration_of_a_new_rule_starts_when_it_is_added(self):
        empty = build.document(default={"hold": True})
        for now_s in (0, 10):
            match(
                empty, build.situation(0.9), sustain=self.sustain, now_s=now_s
            )
        steps = [(20, 0.9), (30, 0.9), (40, 0.9), (50, 0.9)]
        self.assertEqual(self.run_all(steps), ["default"] * 3 + ["contracts"])

    @given(
        st.lists(st.sampled_from([True, False, None]), max_size=40),
        st.integers(0, 8),
    )
    @BOUNDED
    def test_true_only_after_seen_true_for_long_enough(self, seen, for_s):
        sustain = Sustain(gap_limit_s=3)
        for now_s, holds in enumerate(seen):
            sustain.start_pass(now_s)
            answer = sustain.observe("r", holds, for_s=for_s, now_s=now_s)
            sustain.end_pass()
            if holds is False:
                self.assertIs(answer, False)
            if answer:
                start_s = now_s - for_s
                self.assertGreaterEqual(start_s, 0)
                self.assertNotIn(False, seen[start_s : now_s + 1])
                known = [was for was in seen[: start_s + 1] if was is not None]
                self.assertIs(known[-1], True)


class WantedRolesTest(unittest.TestCase):
    def test_number_of_engines_per_role(self):
        cases = [
            ({"prefill": 0.25, "decode": 0.75}, 8, (2, 6, 0)),
            ({"prefill": 0.3, "decode": 0.7}, 8, (2, 6, 0)),
            ({"prefill": 0.25}, 8, (2, 0, 6)),
            ({"prefill": 0.1, "decode": 0.9}, 3, (0, 2, 1)),
            ({"prefill": 0.5, "decode": 0.5}, 1, (0, 0, 1)),
            ({"prefill_count": 2, "decode_count": 4}, 8, (2, 4, 2)),
            ({"prefill_count": 2, "decode_count": 6}, 4, (1, 3, 0)),
            ({"mixed": 1}, 0, (0, 0, 0)),
            ({"mixed_count": 0}, 3, (0, 0, 3)),
        ]
        for asked, engines_count, expected in cases:
            with self.subTest(asked=asked, engines_count=engines_count):
                counts = wanted_roles({"roles": asked}, engines_count)
                self.assertEqual(counts, expected)

    @given(
        st.lists(st.floats(0, 1), min_size=1, max_size=5),
        st.integers(0, 500),
    )
    @BOUNDED
    def test_largest_remainder_adds_up_and_is_near(self, weights, count):
        weights = (*weights, 0.5)
        parts = largest_remainder(weights, count)
        self.assertEqual(sum(parts), count)
        for part, weight in zip(parts, weights, strict=True):
            quota = weight * count / sum(weights)
            self.assertLess(abs(part - quota), 1 + 1e-6)

    @given(st.floats(0, 1), st.floats(0, 1), st.integers(0, 500))
    @BOUNDED
    def test_every_engine_has_a_role(self, prefill, decode_part, count):
        asked = {"prefill": prefill, "decode": (1 - prefill) * decode_part}
        counts = wanted_roles({"roles": asked}, count)
        self.assertEqual(sum(counts), count)
        self.assertGreaterEqual(min(counts), 0)


class TimeOfDayTest(unittest.TestCase):
    def test_minute_of_the_day_and_window_across_midnight(self):
        self.assertEqual(utc_minute(86_400 * 9 + 3_661), 61)
        self.assertTrue(is_in_window(0, ["23:00", "01:00"]))
        self.assertFalse(is_in_window(60, ["23:00", "01:00"]))


if __name__ == "__main__":
    unittest.main()

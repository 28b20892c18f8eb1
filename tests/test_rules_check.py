"""Tests of the warnings that ``check`` returns for valid documents."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.rules import FleetSize, Reading, check
from mulberrywharf.rules.match import _all_hold, _evaluate_conditions
from mulberrywharf.rules.shadowing import implies
from tests import builders_rules as build

BOUNDED = settings(derandomize=True, max_examples=300, deadline=None)
FLEET = FleetSize({"hall-a": 8, "hall-b": 4})

_CONDITIONS = st.fixed_dictionaries(
    {},
    optional={
        "prefill_share_above": st.sampled_from([0.0, 0.3, 0.5]),
        "prefill_share_below": st.sampled_from([0.4, 0.6, 1.0]),
        "queue_delay_above_s": st.sampled_from([0.0, 1.0]),
        "availability_zone": st.sampled_from(["hall-a", "hall-b"]),
        "customer": st.sampled_from(["dispatch", "crew-scheduling"]),
        "requests_above_per_s": st.sampled_from([0.0, 2.0]),
        "requests_below_per_s": st.sampled_from([1.0, 4.0]),
        "between_utc": st.sampled_from(
            [["06:00", "14:00"], ["22:00", "08:00"], ["07:00", "08:00"]]
        ),
    },
)


def _paths(*rules, **changes):
    document = build.document(*rules, **changes)
    return [warning.path for warning in check(document, FLEET)]


class ShadowingTest(unittest.TestCase):
    def test_warns_of_rules_that_an_earlier_rule_shadows(self):
        above = {"prefill_share_above": 0.5}
        cases = [
            (above, above, True),
            (above, {"prefill_share_above": 0.6}, True),
            (above, {"prefill_share_above": 0.4}, False),
            (above, above | {"availability_zone": "hall-a"}, True),
            (above | {"availability_zone": "hall-a"}, above, False),
            (above | {"for_s": 30}, above, False),
            (above, above | {"for_s": 30}, True),
            (
                {"between_utc": ["22:00", "06:00"]},
                {"between_utc": ["23:00", "01:00"]},
                True,
            ),
            (
                {"between_utc": ["22:00", "00:00"]},
                {"between_utc": ["23:00", "01:00"]},
                False,
            ),
            (
                {"customer": "dispatch"},
                {"customer": "dispatch", "requests_above_per_s": 3},
                True,
            ),
            (
                {"customer": "dispatch"},
                {"customer": "dispatch", "requests_below_per_s": 3},
                False,
            ),
            ({"customer": "dispatch"}, {"customer": "crew-scheduling"}, False),
        ]
        for first, second, shadowed in cases:
            with self.subTest(first=first, second=second):
                paths = _paths(
                    build.rule("one", first), build.rule("two", second)
                )
                self.assertEqual(paths, ["rules.1"] if shadowed else [])

    @given(
        _CONDITIONS,
        _CONDITIONS,
        st.sampled_from([0.1, 0.35, 0.45, 0.55, 0.9]),
        st.sampled_from([0.0, 0.5, 3.0]),
        st.sampled_from([0.0, 0.5, 1.5, 5.0]),
        st.integers(0, 1439),
    )
    @BOUNDED
    def test_implication_is_never_claimed_wrongly(
        self, when, other, share, delay_s, rate, minute
    ):
        view = build.situation(
            share,
            queue_delay_s=Reading(delay_s, 1),
            customer_requests_per_s={"dispatch": rate},
            utc_minute=minute,
        )
        if implies(when, other) and _all_hold(
            tuple(_evaluate_conditions(when, view, 20.0))
        ):
            self.assertTrue(
                _all_hold(tuple(_evaluate_conditions(other, view, 20.0)))
            )


class FlappingTest(unittest.TestCase):
    def test_warns_of_thresholds_within_the_dead_band(self):
        long = build.roles(prefill=0.5)
        short = build.roles(prefill=0.2)
        cases = [
            # threshold of the second rule, for_s of both rules,
            # actions of the second rule, whether a warning is expected
            (0.5, 0, short, True),
            (0.6, 0, short, True),
            (0.48, 0, short, True),
            (0.3, 0, short, False),
            (0.5, 30, short, False),
            (0.5, 0, long, False),
            (0.5, 0, {"prefer_zone": "hall-a"}, False),
        ]
        for below, for_s, then, warned in cases:
            with self.subTest(below=below, for_s=for_s, then=then):
                high = {"prefill_share_above": 0.5, "for_s": for_s}
                low = {"prefill_share_below": below, "for_s": for_s}
                paths = _paths(
                    build.rule("high", high, long),
                    build.rule("low", low, then),
                )
                self.assertEqual(paths, ["rules.1"] if warned else [])

    def test_no_warning_for_rules_of_different_zones(self):
        high = {"prefill_share_above": 0.5, "availability_zone": "hall-a"}
        low = {"prefill_share_below": 0.5, "availability_zone": "hall-b"}
        rules = (
            build.rule("high", high, build.roles(prefill=0.5)),
            build.rule("low", low, build.roles(prefill=0.2)),
        )
        self.assertEqual(_paths(*rules), [])

    def test_warns_of_flapping_against_a_default_that_changes_roles(self):
        rule = build.rule("high", None, build.roles(prefill=0.5))
        default = build.roles(prefill=0.2)
        self.assertEqual(_paths(rule, default=default), ["rules.0"])
        self.assertEqual(_paths(rule), [])


class FleetTest(unittest.TestCase):
    def test_warns_if_a_rule_requests_more_engines_than_a_zone_has(self):
        counts = build.roles(prefill_count=3, decode_count=4)
        here = {"prefill_share_above": 0.5, "availability_zone": "hall-a"}
        load = {"load": {"model": "verdict-70b", "engines_count": 9}}
        cases = [
            (here, counts, []),
            (None, counts, ["rules.0.then.roles"]),
            (here, load, ["rules.0.then.load.engines_count"]),
        ]
        for when, then, expected in cases:
            with self.subTest(when=when, then=then):
                self.assertEqual(
                    _paths(build.rule("one", when, then)), expected
                )

    def test_warns_of_zones_that_are_not_in_the_vm_list(self):
        rule = build.rule(
            "one", {"availability_zone": "hall-c"}, {"prefer_zone": "hall-d"}
        )
        self.assertEqual(
            _paths(rule),
            ["rules.0.when.availability_zone", "rules.0.then.prefer_zone"],
        )
        self.assertEqual(check(build.document(rule), None), [])


if __name__ == "__main__":
    unittest.main()

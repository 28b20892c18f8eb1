"""Tests the desired states of engines derived from the rule in force."""

import unittest

from mulberrywharf import rules
from mulberrywharf.authority import situation_builder, wanted_states
from mulberrywharf.policy import role_planner
from mulberrywharf.programs import _controller_observer
from tests import builders_authority

_OPTIONS = role_planner.PlannerSettings()
_report = builders_authority.load_report
_record = builders_authority.order_record


def _wanted(actions, reports, records=None, *, undecided=False):
    match = rules.Match("day", 0, actions, (), undecided=undecided)
    zone = wanted_states.Zone(
        {
            report.engine_id: situation_builder.AgedReport(report, 0.5)
            for report in reports
        },
        records or {},
    )
    in_force = wanted_states.RuleInForce(match, 3, "because")
    return wanted_states.wanted_zone(zone, in_force, _OPTIONS, 2_000.0)


class WantedZoneTest(unittest.TestCase):
    def test_split_is_reached_one_engine_at_a_time(self):
        reports = [_report(f"e{i}", role="decode") for i in range(3)]
        wanted = _wanted({"roles": {"prefill_count": 2}}, reports)
        roles = sorted(w.role for w in wanted.engines.values())
        self.assertEqual(len(set(roles)), 2)
        self.assertEqual(roles.count("decode"), 2)

    def test_hold_and_undecided_change_nothing(self):
        reports = [_report("e0"), _report("e1", role="decode")]
        cases = (
            ({"hold": True}, False),
            ({"roles": {"prefill_count": 2}}, True),
        )
        for actions, undecided in cases:
            with self.subTest(actions=actions):
                wanted = _wanted(actions, reports, undecided=undecided)
                self.assertEqual(wanted.engines["e0"].role, "mixed")
                self.assertEqual(wanted.engines["e1"].role, "decode")

    def test_crashed_engine_keeps_its_ordered_role(self):
        report = _report("e0", role="decode", state="failed")
        records = {"e0": _record(phase="failed", role="prefill")}
        wanted = _wanted({"hold": True}, [report], records)
        self.assertEqual(wanted.engines["e0"].role, "prefill")

    def test_obsolete_role_change_is_dropped_while_draining(self):
        """Guards against an engine that is unavailable twice for nothing.

        The rules change back while the engine still drains for the change.
        """
        reports = [
            _report("e0", role="decode", state="draining"),
            _report("e1", role="prefill"),
        ]
        records = {"e0": _record(phase="draining", role="prefill")}
        actions = {"roles": {"prefill_count": 1, "decode_count": 1}}
        wanted = _wanted(actions, reports, records)
        self.assertEqual(wanted.engines["e0"].role, "decode")
        sent = {"e0": _record(phase="sent", role="prefill")}
        wanted = _wanted(actions, reports, sent)
        self.assertEqual(wanted.engines["e0"].role, "prefill")

    def test_engines_that_have_the_model_are_preferred_for_loading(self):
        reports = [
            _report("e0", running_count=0),
            _report("e1", running_count=9, models=("verdict", "waiver")),
            _report("e2", running_count=4),
        ]
        load = {"model": "waiver", "engines_count": 2}
        wanted = _wanted({"hold": False, "load": load}, reports)
        loading = {e for e, w in wanted.engines.items() if w.model}
        self.assertEqual(loading, {"e0", "e1"})

    def test_drained_engine_is_not_counted_for_the_split(self):
        reports = [_report("e0"), _report("e1", role="prefill")]
        actions = {
            "drain": {"engine_id": "e0"},
            "roles": {"prefill_count": 1},
        }
        wanted = _wanted(actions, reports)
        self.assertTrue(wanted.engines["e0"].drained)
        self.assertEqual(wanted.engines["e1"].role, "prefill")


class EnginesToReadTest(unittest.TestCase):
    def test_ready_engines_are_read_in_turn_and_others_always(self):
        ids = [f"e{i:03}" for i in range(100)]
        reports = {
            e: _report(e, reported_unix_s=1_000.0 + i)
            for i, e in enumerate(ids)
        }
        reports["e099"] = _report("e099", state="failed")
        del reports["e098"]
        records = {"e097": _record()}
        due = _controller_observer.engines_to_read(ids, reports, records)
        self.assertEqual(set(due[:3]), {"e097", "e098", "e099"})
        self.assertEqual(due[3:], ids[:16])


if __name__ == "__main__":
    unittest.main()

"""Tests the inputs of the rules and the planner, built from engine reports."""

import unittest

from mulberrywharf.authority import situation_builder
from tests import builders_authority

_report = builders_authority.load_report


def _seen(report, age_s=0.5):
    return situation_builder.AgedReport(report, age_s)


class DemandTrackerTest(unittest.TestCase):
    def _tracked(self, *, waiting=0):
        tracker = situation_builder.DemandTracker()
        last = None
        for second in range(30):
            last = _report(
                prompt_tokens_total=2_000 * second,
                output_tokens_total=500 * second,
                waiting_prompt_tokens=waiting,
                reported_unix_s=1_000.0 + second,
            )
            tracker.observe([last])
        return tracker, last

    def test_rates_follow_the_totals(self):
        tracker, last = self._tracked()
        demand = tracker.demand([_seen(last, 2.0)])
        self.assertAlmostEqual(demand.prompt_tokens_per_s, 2_000.0, delta=1)
        self.assertAlmostEqual(demand.output_tokens_per_s, 500.0, delta=1)
        self.assertEqual(demand.age_s, 2.0)

    def test_backlog_adds_to_the_demand(self):
        tracker, last = self._tracked(waiting=20_000)
        demand = tracker.demand([_seen(last)])
        self.assertGreater(demand.prompt_tokens_per_s, 2_500.0)
        self.assertGreater(demand.output_tokens_per_s, 600.0)

    def test_restarted_engine_causes_no_negative_demand(self):
        tracker, last = self._tracked()
        restarted = last._replace(
            prompt_tokens_total=0,
            output_tokens_total=0,
            reported_unix_s=last.reported_unix_s + 1.0,
        )
        tracker.observe([restarted])
        self.assertGreater(
            tracker.demand([_seen(restarted)]).prompt_tokens_per_s, 0
        )

    def test_repeated_report_changes_nothing(self):
        tracker, last = self._tracked()
        before = tracker.demand([_seen(last)])
        tracker.observe([last])
        self.assertEqual(tracker.demand([_seen(last)]), before)


class BuildTest(unittest.TestCase):
    def test_lost_engines_and_queue_delay(self):
        reports = {
            "e0": _seen(_report("e0", waiting_prompt_tokens=10_000)),
            "e1": _seen(_report("e1", state="failed")),
            "e2": _seen(_report("e2"), age_s=60.0),
        }
        situation = situation_builder.build(
            availability_zone="regina-hall",
            now_unix_s=90.0,
            engine_ids=["e0", "e1", "e2", "e3"],
            reports=reports,
            demand=None,
            vm_list_age_s=1.5,
        )
        self.assertEqual(situation.engines_lost_count.value, 3.0)
        self.assertEqual(situation.engines_lost_count.age_s, 1.5)
        self.assertAlmostEqual(situation.queue_delay_s.value, 10 / 60)
        self.assertIsNone(situation.prefill_share.value)
        self.assertEqual(situation.utc_minute, 1)

    def test_speeds_do_not_depend_on_current_roles(self):
        reports = [
            _report("p", role="prefill", prefill_tokens_per_s=32_000.0),
            _report("d", role="decode", prefill_tokens_per_s=4_000.0),
        ]
        speeds = situation_builder.dedicated_speeds(reports)
        self.assertEqual(speeds["d"].prefill_tokens_per_s, 32_000.0)


if __name__ == "__main__":
    unittest.main()

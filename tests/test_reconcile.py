"""Tests the findings about an engine and the steps that follow from them."""

import unittest

from mulberrywharf.authority import findings, reconcile, steps
from tests import builders_authority

_HOLDER = findings.Holder(
    fencing_number=7, is_waiting=False, clock_margin_s=0.5
)
_PREFILL = findings.WantedEngine(role="prefill", rule="day", config_version=3)
_MIXED = _PREFILL._replace(role="mixed")
_CONTEXT = steps.StepContext(7, "new-order", 2_000.0)

_report = builders_authority.load_report
_record = builders_authority.order_record


def _find(
    *, wanted=_PREFILL, record=None, report=None, holder=_HOLDER
) -> findings.Finding:
    facts = findings.EngineFacts("engine-1", wanted, record, report)
    return reconcile.find(facts, holder)


class FindTest(unittest.TestCase):
    def test_settled_engines(self):
        loading = _PREFILL._replace(role="", model="waiver", adapter="es")
        both = ("verdict", "waiver")
        cases = (
            ("no report", _PREFILL, None, findings.NoReport),
            (
                "as wanted",
                _PREFILL,
                _report(role="prefill"),
                findings.NoOrderNeeded,
            ),
            ("no configuration", None, _report(), findings.NoOrderNeeded),
            ("other role", _PREFILL, _report(), "set-role"),
            ("failed", _MIXED, _report(state="failed"), "set-role"),
            ("no model", loading, _report(), "load-model"),
            ("no adapter", loading, _report(models=both), "load-model"),
            ("drain", _MIXED._replace(drained=True), _report(), "drain"),
            ("resume", _MIXED, _report(state="draining"), "resume"),
            (
                "changing",
                _PREFILL,
                _report(state="changing"),
                findings.Waiting,
            ),
        )
        for name, wanted, report, expected in cases:
            with self.subTest(name):
                finding = _find(wanted=wanted, report=report)
                if isinstance(expected, str):
                    self.assertIsInstance(finding, findings.NotAsDesired)
                    self.assertEqual(finding.action, expected)
                else:
                    self.assertIsInstance(finding, expected)

    def test_orders_in_flight(self):
        done = _report(role="prefill", order_id="order-1")
        fresh = _report(reported_unix_s=901.0)
        other = _record(fencing_number=5)
        draining = _record(phase="draining")
        cases = (
            ("applied", _record(), _PREFILL, done, findings.Applied),
            ("lost", _record(), _PREFILL, fresh, findings.Unfinished),
            ("unwanted, own", _record(), _MIXED, fresh, findings.Unfinished),
            ("unwanted, old", other, _MIXED, fresh, findings.Superseded),
            ("unwanted drain", draining, _MIXED, fresh, findings.Superseded),
            (
                "unknown wanted state",
                draining,
                None,
                fresh,
                findings.Unfinished,
            ),
            (
                "unwanted, old, but the report is older",
                other,
                _MIXED,
                _report(reported_unix_s=900.2),
                findings.Unfinished,
            ),
        )
        for name, record, wanted, report, expected in cases:
            with self.subTest(name):
                finding = _find(wanted=wanted, record=record, report=report)
                self.assertIsInstance(finding, expected)

    def test_crash_during_a_change_is_detected(self):
        """Guards against an engine that stays failed forever.

        It crashes during a change and returns in a state that was not ordered.
        Its order is still in flight, and a repeated order with the same id is
        ignored as a duplicate.
        """
        crashed = (
            _report(state="failed", role="decode"),
            _report(state="ready", role="decode", order_id="order-1"),
        )
        for report in crashed:
            with self.subTest(state=report.state):
                finding = _find(record=_record(), report=report)
                self.assertIsInstance(finding, findings.NotApplied)
        old = _report(state="failed", reported_unix_s=900.1)
        self.assertIsInstance(
            _find(record=_record(), report=old), findings.Unfinished
        )

    def test_accepted_order_ends_if_another_is_reported(self):
        """Guards against an order that stays ``sent`` forever.

        The order is accepted and applied, but a late order of an earlier holder
        follows before the next report, which contains only the last one. The
        engine would never be ordered again. Seen in seeded runs in which a new
        holder did not wait for earlier orders.
        """
        cases = (
            ("prefill", 900.4, findings.Unfinished),
            ("prefill", 902.0, findings.Applied),
            ("decode", 902.0, findings.NotApplied),
        )
        for role, reported_unix_s, expected in cases:
            with self.subTest(role=role, reported_unix_s=reported_unix_s):
                report = _report(
                    role=role,
                    order_id="foreign",
                    reported_unix_s=reported_unix_s,
                )
                facts = findings.EngineFacts(
                    "engine-1", _PREFILL, _record(), report, 901.0
                )
                finding = reconcile.find(facts, _HOLDER)
                self.assertIsInstance(finding, expected)

    def test_engine_that_serves_again_is_drained_again(self):
        """Guards against an order that stays ``draining`` forever.

        A late order ends the drain, and a repeated drain order is ignored
        because the engine has seen its id. Seen in seeded runs in which a new
        holder did not wait for earlier orders.
        """
        record = _record(phase="draining")
        cases = ((901.2, False), (902.0, True))
        for reported_unix_s, is_new_id in cases:
            with self.subTest(reported_unix_s=reported_unix_s):
                report = _report(reported_unix_s=reported_unix_s)
                facts = findings.EngineFacts(
                    "engine-1", _PREFILL, record, report, 901.0
                )
                finding = reconcile.find(facts, _HOLDER)
                step = steps.next_step(finding, _CONTEXT)
                self.assertTrue(step.sends_drain)
                next_record = step.record or record
                changed = next_record.drain_order(7) != record.drain_order(7)
                self.assertEqual(changed, is_new_id)

    def test_engine_that_lost_its_ordered_role_is_detected(self):
        record = _record(phase="applied")
        finding = _find(record=record, report=_report(role="decode"))
        self.assertTrue(finding.unexplained)
        self.assertEqual(finding.wanted.role, "prefill")

    def test_applied_orders_are_noted_while_no_order_may_be_sent(self):
        quiet = _HOLDER._replace(is_waiting=True)
        done = _report(role="prefill", order_id="order-1")
        self.assertIsInstance(
            _find(record=_record(), report=done, holder=quiet),
            findings.Applied,
        )
        for record in (None, _record(), _record(phase="draining")):
            with self.subTest(record=record):
                finding = _find(record=record, report=_report(), holder=quiet)
                self.assertIsInstance(finding, findings.Waiting)


class NextStepTest(unittest.TestCase):
    def test_change_is_sent_after_the_engine_drained(self):
        """Guards against a stream that is cut by a planned change.

        The change is sent only after the engine has reported that it accepts no
        new work and has none left.
        """
        step = steps.next_step(_find(report=_report()), _CONTEXT)
        self.assertEqual(step.record.phase, "draining")
        self.assertTrue(step.planned and step.sends_drain)
        self.assertFalse(step.sends_order)
        cases = (
            ("ready", 0, 0, True, False),
            ("draining", 1, 0, False, False),
            ("draining", 0, 1, False, False),
            ("draining", 0, 0, False, True),
        )
        for state, running, waiting, drains, sends in cases:
            with self.subTest(state=state, running=running, waiting=waiting):
                report = _report(
                    state=state, running_count=running, waiting_count=waiting
                )
                finding = _find(record=_record(phase="draining"), report=report)
                step = steps.next_step(finding, _CONTEXT)
                self.assertEqual(step.sends_drain, drains)
                self.assertEqual(step.sends_order, sends)

    def test_failed_engine_is_not_drained(self):
        step = steps.next_step(_find(report=_report(state="failed")), _CONTEXT)
        self.assertTrue(step.sends_order)
        self.assertEqual(step.record.phase, "sent")

    def test_order_of_an_earlier_holder_is_recorded_again_before_sending(self):
        record = _record(fencing_number=5)
        finding = _find(record=record, report=_report())
        step = steps.next_step(finding, _CONTEXT)
        self.assertEqual(step.record.fencing_number, 7)
        self.assertEqual(step.record.order_id, record.order_id)

    def test_dropped_order_loses_its_role(self):
        finding = findings.Superseded(_record(phase="draining"))
        step = steps.next_step(finding, _CONTEXT)
        self.assertEqual((step.record.phase, step.record.role), ("failed", ""))


if __name__ == "__main__":
    unittest.main()

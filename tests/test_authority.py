"""Controllers as real processes, judged by what the engines saw.

Each run changes the rules while faults strike, heals, waits for calm and
audits the engines' own order logs against the history of the lease key. The
gap between an order's last check and its first byte is widened, so that a
test can stop a process in it. ``bench/authority_runs.py`` does many more.
"""

import time
import unittest

from tests import authority_audit, authority_faults, builders_authority

_SEEDS = range(2)
_MAX_SEEDS_COUNT = 12


def _zone(test: unittest.TestCase, **options) -> builders_authority.Zone:
    zone = builders_authority.Zone(gap_s=authority_faults.GAP_S, **options)
    test.addCleanup(zone.close)
    for index in range(2):
        zone.start_controller(index)
    return zone


def _first_unclean_run(
    zone: builders_authority.Zone, fault: str
) -> authority_faults.RunResult:
    """Runs seeds until one shows what a mechanism is there for.

    The instant at which a process is stopped is not exact, so that not
    every run hits it.
    """
    for seed in range(_MAX_SEEDS_COUNT):
        result = authority_faults.FaultyRun(zone, seed).run([fault])
        if not result.is_clean():
            return result
    raise AssertionError(f"{_MAX_SEEDS_COUNT} runs without the mechanism held")


class AuditTest(unittest.TestCase):
    """The audit itself must notice what it is there for."""

    def _order(self, number: int, unix_s: float, **changes):
        return {
            "order_id": "order-1",
            "fencing_number": number,
            "action": "set-role",
            "role": "decode",
            "model": "",
            "effective": True,
            "reason": "",
            "cut_request_ids": [],
            "unix_s": unix_s,
            "ended_unix_s": unix_s + 1.0,
            **changes,
        }

    def test_each_breach_is_found(self):
        lease_history = [
            {"type": "PUT", "revision": 2, "unix_s": 10.0},
            {"type": "DELETE", "revision": 5, "unix_s": 20.0},
            {"type": "PUT", "revision": 6, "unix_s": 21.0},
        ]
        cases = (
            ([self._order(2, 12.0), self._order(6, 30.0)], []),
            ([self._order(2, 20.5)], ["late"]),
            ([self._order(9, 22.0)], ["late"]),
            (
                [self._order(6, 22.0), self._order(2, 23.5)],
                ["late", "inverted"],
            ),
            ([self._order(6, 22.0), self._order(6, 22.5)], ["overlap"]),
            (
                [self._order(6, 22.0, effective=False, reason="busy")],
                ["busy"],
            ),
            ([self._order(6, 22.0, cut_request_ids=["r"])], ["cut"]),
        )
        for log, kinds in cases:
            with self.subTest(kinds=kinds):
                findings = authority_audit.audit({"e": log}, lease_history)
                self.assertEqual([f.kind for f in findings], kinds)


class ControllerTest(unittest.TestCase):
    def test_it_reaches_the_rules_state_and_stops_gracefully(self):
        zone = _zone(self)
        zone.accept(builders_authority.roles_document(2, 2))
        self.assertTrue(
            builders_authority.wait_for(lambda: zone.has_converged(2, 2))
        )
        self.assertEqual([c.stop() for c in zone.controllers], [0, 0])
        self.assertIsNone(zone.read(builders_authority.LEASE_KEY))
        self.assertTrue(zone.records().holder.settled)

    def test_an_outage_of_the_service_is_waited_for(self):
        """The key-value service is away for longer than the lease.

        Symptom: every controller of the fleet ends by SIGALRM at once and
        has to be started again. Cause: a renewal that hangs held up the step
        down, and the timer is only meant for processes that are frozen.
        """
        zone = _zone(self)
        zone.accept(builders_authority.roles_document(2, 2))
        wait_for = builders_authority.wait_for
        self.assertTrue(wait_for(lambda: zone.has_converged(2, 2)))
        zone.set_key_value_faults(down=True)
        time.sleep(2.5 * zone.timing.lease_ttl_s)
        self.assertEqual([c.poll() for c in zone.controllers], [None, None])
        zone.set_key_value_faults()
        zone.accept(builders_authority.roles_document(3, 1))
        self.assertTrue(wait_for(lambda: zone.has_converged(3, 1)))

    def test_a_silent_watch_does_not_keep_old_rules_in_force(self):
        """The holder obeys rules that were replaced.

        Sequence: a cut drops what the service sends, without telling either
        side; the rules change; the cut heals. The watch stays open and
        silent for most of a minute. Seen in a seeded run, where the engines
        kept the old split for the 25 s that the run waited.
        """
        zone = builders_authority.Zone(controllers=1)
        self.addCleanup(zone.close)
        zone.accept(builders_authority.roles_document(1, 3))
        zone.start_controller(0)
        wait_for = builders_authority.wait_for
        self.assertTrue(wait_for(lambda: zone.has_converged(1, 3)))
        zone.set_proxy_faults("key-value-0", mode="half-open-down")
        zone.accept(builders_authority.roles_document(3, 1))
        time.sleep(0.2)
        zone.set_proxy_faults("key-value-0", mode="pass")
        self.assertTrue(wait_for(lambda: zone.has_converged(3, 1), 20.0))

    def test_a_planned_change_cuts_no_stream(self):
        """An engine is to change its role while it writes an answer.

        Symptom: a verdict ends half way, by a change that somebody planned.
        """
        zone = _zone(self, engines=1)
        stream = builders_authority.Stream(zone, "engine-0", tokens=300)
        zone.accept(builders_authority.roles_document(0, 1))
        self.assertTrue(
            builders_authority.wait_for(lambda: zone.has_converged(0, 1))
        )
        self.assertEqual(stream.finish(), 300)
        findings = authority_audit.audit(
            zone.order_logs(), zone.lease_history()
        )
        self.assertEqual(findings, [])

    def test_loads_wait_for_the_weight_store(self):
        zone = _zone(self, loads_per_s=2.0)
        document = builders_authority.roles_document(0, 0, 4)
        load = {"model": "waiver-2", "engines_count": 3}
        document["default"]["load"] = load
        document["models"] = {"waiver-2": {"adapters": [], "versions": []}}
        zone.accept(document)

        def loaded() -> list[str]:
            return [
                engine_id
                for engine_id, report in zone.loads().items()
                if "waiver-2" in report["models"]
            ]

        self.assertTrue(builders_authority.wait_for(lambda: len(loaded()) == 3))
        self.assertTrue(
            builders_authority.wait_for(lambda: zone.has_converged(0, 0, 4))
        )
        allowed = {load["engine_id"] for load in zone.weight_loads()}
        self.assertEqual(allowed, set(loaded()))
        self.assertEqual(len(loaded()), 3)


class FaultyRunsTest(unittest.TestCase):
    def test_all_holds_under_random_faults(self):
        """Kills, stops across the lease's end, cuts, lost answers.

        Symptom: an order has effect after its sender's authority passed, or
        two orders conflict, or one is left half done.
        """
        zone = _zone(self)
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = authority_faults.FaultyRun(zone, seed).run()
                self.assertTrue(result.is_clean(), result)

    def test_a_holder_frozen_before_its_send(self):
        """A process is stopped between the last check and the first byte.

        It wakes when another holds the lease, and its next instruction is
        the send. Nothing but the kernel's timer can come before it: with
        the fuse off the order has effect late, with it the process ends.
        """
        fault = "freeze_before_send"
        clean = authority_faults.FaultyRun(_zone(self), 0).run([fault])
        self.assertTrue(clean.is_clean(), clean)
        unclean = _first_unclean_run(_zone(self, mechanism_off="fuse"), fault)
        self.assertIn("late", [f.kind for f in unclean.findings])

    def test_an_order_on_its_way_when_the_lease_is_taken_away(self):
        """A late order reaches an engine that ignores fencing numbers.

        Sequence: the holder sends; the network holds the bytes back; an
        operator deletes the lease key; another controller takes over at
        once and orders the engine otherwise; the old order arrives. The
        quiet time lets it arrive before the new holder's first order.
        """
        fault = "send_late_and_lose_lease"
        zone = _zone(self, engines=1)
        for seed in range(2):
            clean = authority_faults.FaultyRun(zone, seed).run([fault])
            self.assertTrue(clean.is_clean(), clean)
        zone = _zone(self, engines=1, mechanism_off="quiet")
        unclean = _first_unclean_run(zone, fault)
        kinds = {f.kind for f in unclean.findings}
        self.assertTrue(kinds & {"busy", "inverted", "overlap"}, unclean)


if __name__ == "__main__":
    unittest.main()

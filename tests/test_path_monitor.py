"""Tests when the own path counts as in use again, by a clock of their own."""

import collections
import random
import unittest
import unittest.mock
from typing import Any

from mulberrywharf import fleet
from mulberrywharf.forwarding import path_monitor, server_tracker
from mulberrywharf.policy import helpers, lost_path, reachability
from tests import builders_routes as build

ENGINES = [build.server(f"dec-{number}") for number in (1, 2, 3)]
SERVICE = ENGINES[0].service
HELPER = fleet.Address("10.0.0.1", 1)


class BrokenAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = build.ManualClock()
        tracker = server_tracker.ServerTracker("zone-a")
        self.servers = tracker.reachability
        self.servers.set_servers(ENGINES)
        self.paths = lost_path.LostPaths(random.Random(1))
        fake: Any = unittest.mock.Mock()
        self.monitor = path_monitor.PathMonitor(
            tracker, self.paths, fake, fake, self.clock
        )
        self.addCleanup(self.monitor.close)
        self.servers.on_change(self.monitor.note_change)

    def interrupt_all(self, cause: reachability.Cause) -> None:
        for engine in ENGINES:
            self.servers.note_confirmed(engine.start, self.clock.now_s)
            self.servers.note_interrupted(
                engine.start, cause, self.clock.now_s + 0.01
            )
        self.clock.now_s += 0.02

    def test_answers_that_all_servers_break_off_lose_no_path(self) -> None:
        """Guards against helpers that refuse for a server's broken stream."""
        self.interrupt_all("interrupted")
        self.assertEqual(self.paths.state(SERVICE), "doubtful")
        self.assertTrue(self.monitor.takes_from_others(SERVICE))

    def test_path_without_recent_answers_takes_nothing(self) -> None:
        self.interrupt_all("interrupted")
        self.clock.now_s += path_monitor.PROVEN_S
        self.assertFalse(self.monitor.takes_from_others(SERVICE))

    def test_servers_that_refuse_or_are_silent_take_nothing(self) -> None:
        self.interrupt_all("silent")
        self.assertFalse(self.monitor.takes_from_others(SERVICE))
        self.interrupt_all("interrupted")
        for engine in ENGINES:
            self.servers.note_connect_failed(
                engine.start, "refused", self.clock.now_s
            )
        self.assertFalse(self.monitor.takes_from_others(SERVICE))


class ReturnTest(unittest.TestCase):
    def test_a_failure_at_the_end_of_a_return_does_not_end_it(self) -> None:
        """Guards against requests lost on a path that has just failed."""
        clock = build.ManualClock()
        tracker = server_tracker.ServerTracker("zone-a")
        servers = tracker.reachability
        servers.set_servers(ENGINES)
        paths = lost_path.LostPaths(random.Random(1))
        client: Any = unittest.mock.Mock()
        monitor = path_monitor.PathMonitor(
            tracker, paths, unittest.mock.Mock(), client, clock
        )
        self.addCleanup(monitor.close)
        servers.on_change(monitor.note_change)
        began_s = clock.now_s
        for engine in ENGINES:
            servers.note_connect_failed(engine.start, "refused", began_s)
        serves = helpers.Report(can_serve=True)
        paths.note_report(SERVICE, HELPER, serves, began_s)
        for engine in ENGINES:
            servers.note_confirmed(engine.start, began_s + 1.0)
        self.assertEqual(paths.state(SERVICE), "returning")
        late_s = began_s + 1.0 + lost_path.RETURN_LIMIT_S + 0.01
        servers.note_connect_failed(ENGINES[0].start, "refused", late_s)
        self.assertEqual(paths.state(SERVICE), "returning")
        self.assertEqual(len(monitor._probing), 2)
        monitor.note_change(SERVICE, late_s + lost_path.RETURN_LIMIT_S)
        self.assertEqual(paths.state(SERVICE), "own")

    def test_gateways_that_return_together_probe_different_servers(
        self,
    ) -> None:
        """Guards against 340 connections a second to each of eight servers."""
        engines = [build.server(f"dec-{number}") for number in range(850)]
        tracker = server_tracker.ServerTracker("zone-a")
        tracker.reachability.set_servers(engines)
        probed: collections.Counter[fleet.ServerStart] = collections.Counter()
        for _ in range(340):
            fake: Any = unittest.mock.Mock()
            monitor = path_monitor.PathMonitor(
                tracker, fake, fake, fake, build.ManualClock()
            )
            with unittest.mock.patch.object(monitor, "_probe") as probe:
                monitor._sweep(SERVICE, 0.0)
            (servers,) = probe.call_args.args
            probed.update(one.start for one in servers)
        self.assertEqual(probed.total(), 340 * path_monitor.SWEEP_LIMIT_COUNT)
        self.assertLess(max(probed.values()), 40)


if __name__ == "__main__":
    unittest.main()

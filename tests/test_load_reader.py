"""Tests of LoadReader: polling engines and counting own requests."""

import json
import random
import unittest
from typing import Any

from mulberrywharf import fleet
from mulberrywharf.engines import engine_load, load_reader
from mulberrywharf.policy import prefix_index
from tests import builders_engines as build


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    def unix_s(self) -> float:
        return self.now_s + 1_000_000


class FakeEngine:
    """Serves /load and /cache_events from its attributes."""

    def __init__(self, engine_id: str = "e1"):
        self.report: dict[str, Any] = {
            "engine_id": engine_id,
            "role": "mixed",
            "state": "ready",
            "models": [build.MODEL],
            "a_later_field": 1,
        }
        self.events: list[dict[str, Any]] = []
        self.last_sequence = 0
        self.requested_after: list[int] = []
        self.server = build.ScriptedServer(self._answer)

    def _answer(self, sock: Any, request: bytes) -> None:
        path = request.split(b" ")[1].decode()
        document: dict[str, Any] = self.report
        if path.startswith("/cache_events"):
            after = int(path.partition("after=")[2])
            self.requested_after.append(after)
            document = {
                "events": [e for e in self.events if e["sequence"] > after],
                "last_sequence": self.last_sequence,
            }
        sock.sendall(build.plain_answer(json.dumps(document).encode()))


class RecordingSink:
    def __init__(self) -> None:
        self.batches: list[tuple[str, list[int], int]] = []
        self.forgotten: list[str] = []

    def apply(
        self, engine_id: str, events: Any, last_sequence: int, now_s: float
    ) -> None:
        sequences = [event.sequence for event in events]
        self.batches.append((engine_id, sequences, last_sequence))

    def forget(self, engine_id: str) -> None:
        self.forgotten.append(engine_id)


def _vm(address: fleet.Address, vm_id: str = "e1", **fields: Any) -> Any:
    return fleet.VmRecord(vm_id, "engine", "regina-hall", address)._replace(
        **fields
    )


class LoadReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = FakeEngine()
        self.addCleanup(self.engine.server.close)
        self.sink = RecordingSink()
        self.reader = load_reader.LoadReader.from_config(
            {"load_interval_s": 0.01}, sink=self.sink, rng=random.Random(1)
        )
        self.addCleanup(self.reader.close)

    def start(self, address: fleet.Address | None = None) -> None:
        vm = _vm(address or self.engine.server.address)
        self.reader.set_vms([vm])
        self.reader.start()

    def wait(self, condition: Any) -> None:
        self.assertTrue(build.wait_until(condition))

    def view(self) -> fleet.EngineView:
        view = self.reader.view("e1")
        assert view is not None
        return view

    def test_polls_repeatedly_on_one_connection(self) -> None:
        self.start()
        self.wait(lambda: len(self.engine.server.requests) >= 8)
        report = self.view().report
        assert report is not None
        self.assertEqual(report.models, (build.MODEL,))
        self.assertEqual(self.engine.server.connection_count, 1)

    def test_report_of_an_unreachable_engine_is_kept_and_ages(self) -> None:
        self.start()
        self.wait(lambda: self.view().report is not None)
        self.engine.server.close()
        self.wait(lambda: self.view().failures_recent_count > 0)
        aged_s = self.view().report_age_s
        self.wait(lambda: self.view().report_age_s > aged_s + 0.05)
        self.assertIsNotNone(self.view().report)

    def test_invalid_reports_count_as_failures(self) -> None:
        invalid: list[dict[str, Any]] = [
            {"engine_id": "another"},
            {"role": "cook"},
            {"kv_used_share": "much"},
            {"kv_used_share": float("nan")},
            {"prefill_tokens_per_s": float("inf")},
            {"waiting_count": -1},
        ]
        valid = self.engine.report
        for change in invalid:
            with self.subTest(change):
                self.engine.report = valid | change
                self.start()
                self.wait(lambda: self.view().failures_recent_count > 0)
                self.assertIsNone(self.view().report)
                self.reader.set_vms([])

    def test_cache_events_reach_the_sink_with_sequence_gaps(self) -> None:
        self.engine.events = [
            {"sequence": n, "kind": "stored", "block_hash": "0a"}
            for n in (1, 2, 5)
        ]
        self.engine.last_sequence = 6
        self.start()
        self.wait(lambda: 6 in self.engine.requested_after)
        self.assertEqual(self.sink.batches[0], ("e1", [1, 2, 5], 6))

    def test_a_malformed_cache_event_does_not_stop_polling(self) -> None:
        """Guards against polling that stops after one malformed cache event.

        If the parse error killed the reader's greenlet, the report of a
        healthy engine would never be refreshed.
        """
        event = {"sequence": 1, "kind": "stored", "block_hash": "not hex"}
        index = prefix_index.PrefixIndex.from_config()
        self.reader = load_reader.LoadReader.from_config(
            {"load_interval_s": 0.01}, sink=index
        )
        self.addCleanup(self.reader.close)
        self.engine.events, self.engine.last_sequence = [event], 1
        self.start()
        self.wait(lambda: len(self.engine.requested_after) >= 3)
        self.assertGreater(self.view().failures_recent_count, 0)

    def test_cache_events_of_a_restarted_engine_are_read_from_the_start(
        self,
    ) -> None:
        self.engine.last_sequence = 9
        self.start()
        self.wait(lambda: 9 in self.engine.requested_after)
        self.engine.last_sequence = 2
        self.wait(lambda: self.engine.requested_after[-1] < 9)
        self.assertIn(0, self.engine.requested_after)

    def test_the_prefix_index_accepts_cache_events(self) -> None:
        index = prefix_index.PrefixIndex.from_config()
        self.reader = load_reader.LoadReader.from_config(
            {"load_interval_s": 0.01}, sink=index
        )
        self.addCleanup(self.reader.close)
        self.engine.events = [
            {"sequence": 1, "kind": "stored", "block_hash": "0a"}
        ]
        self.engine.last_sequence = 1
        self.start()
        self.wait(lambda: index.last_sequence("e1") == 1)

    def test_engines_that_leave_or_change_address_are_forgotten(self) -> None:
        self.start()
        self.wait(lambda: self.view().report is not None)
        self.reader.set_vms([_vm(build.closed_address())])
        self.assertIsNone(self.view().report)
        self.reader.set_vms([])
        self.assertEqual(self.reader.views(), [])
        self.assertEqual(self.sink.forgotten, ["e1", "e1"])

    def test_engines_outside_the_slice_are_not_polled_but_accept_reports(
        self,
    ) -> None:
        self.reader.set_polled_engines([])
        self.start()
        report = fleet.LoadReport("e1", "decode", "ready", ())
        self.reader.record_report(report, age_s=0.5)
        self.assertEqual(self.view().report, report)
        self.assertGreaterEqual(self.view().report_age_s, 0.5)
        self.assertEqual(self.engine.server.requests, [])


class RequestCountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.reader = load_reader.LoadReader.from_config(now=self.clock)
        self.reader.set_vms([_vm(build.closed_address())])

    def view(self) -> fleet.EngineView:
        return self.reader.views()[0]

    def report(self) -> fleet.LoadReport:
        return fleet.LoadReport("e1", "mixed", "ready", ())

    def test_own_requests_are_counted_until_a_report_includes_them(
        self,
    ) -> None:
        """Guards against sending all requests to one seemingly idle engine.

        A node that ignores the requests it sent since the last report keeps
        choosing the same engine until the next report, and its queue grows
        while others idle. The same happens if a node drops them from its count
        on a report whose figures are older than these requests.
        """
        self.reader.request_started("e1", 100)
        self.clock.now_s += 1
        self.reader.request_started("e1", 30)
        self.assertEqual(self.view().own_prompt_tokens_since, 130)
        self.reader.record_report(self.report(), age_s=0.5)
        self.assertEqual(self.view().own_prompt_tokens_since, 30)
        self.assertEqual(self.view().own_in_flight_count, 2)
        self.reader.request_finished("e1", failed=False)
        self.assertEqual(self.view().own_in_flight_count, 1)

    def test_an_older_report_does_not_replace_a_newer_one(self) -> None:
        newer = self.report()._replace(waiting_count=5)
        self.reader.record_report(newer, age_s=0.1)
        self.reader.record_report(self.report(), age_s=2.0)
        self.assertEqual(self.view().report, newer)

    def test_old_failures_are_not_counted(self) -> None:
        self.reader.request_started("e1", 1)
        self.reader.request_finished("e1", failed=True)
        self.assertEqual(self.view().failures_recent_count, 1)
        self.clock.now_s += 60
        self.assertEqual(self.view().failures_recent_count, 0)

    def test_drained_engines_are_marked(self) -> None:
        self.reader.set_drained(["e1"])
        self.assertTrue(self.view().drained)

    def test_lag_of_a_report_is_bounded(self) -> None:
        cases = ((0.0, 0.0), (999.0, 1.0), (1001.0, 0.0), (1.0, 30.0))
        for reported_unix_s, lag_s in cases:
            with self.subTest(reported_unix_s):
                report = self.report()._replace(reported_unix_s=reported_unix_s)
                self.assertEqual(
                    engine_load.report_lag_s(report, 1000.0), lag_s
                )


if __name__ == "__main__":
    unittest.main()

"""Tests the key-value client against the stand-in, with and without faults."""

import unittest
from unittest import mock

import gevent
from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.platform_service import (
    call_budget,
    http_calls,
    key_value,
    watch,
)
from tests import builders_platform as builders


class CallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = self.enterContext(builders.running_key_value())
        self.client = builders.client_for(self.service.port, timeout_s=0.3)
        self.addCleanup(self.client.close)

    def create(self, key: str, value: bytes = b"1") -> key_value.KeyValue:
        return self.client.compare_and_swap(
            key, value, expected_revision=0, purpose="test"
        ).unwrap()

    def test_reads_what_was_written(self) -> None:
        first = self.create("/a/1")
        second = self.create("/a/2", b"\x00\xff")
        self.create("/b")
        self.assertEqual(first.create_revision, first.mod_revision)
        self.assertGreater(second.mod_revision, first.mod_revision)
        self.assertEqual(
            self.client.get_prefix("/a/", purpose="test").unwrap(),
            [first, second],
        )
        self.assertIsNone(self.client.get("/c", purpose="test").unwrap())

    def test_lease_ids_of_63_bits_are_used(self) -> None:
        """Guards against a service whose leases can't be had nor read."""
        lease_id = self.client.grant_lease(10.0, purpose="test").unwrap()
        self.assertGreater(lease_id, 10**18)
        written = self.client.compare_and_swap(
            "/a", b"1", expected_revision=0, purpose="test", lease_id=lease_id
        ).unwrap()
        self.assertEqual(written.lease_id, lease_id)
        self.assertEqual(
            self.client.get("/a", purpose="test").unwrap(), written
        )

    def test_conflict_names_the_key_that_changed(self) -> None:
        guard = self.create("/guard")
        held = self.create("/a")
        stale = guard.mod_revision + 100
        cases = (
            ("/a", 0, guard.mod_revision, "/a"),
            ("/a", held.mod_revision, stale, "/guard"),
        )
        for key, revision, guarded, changed in cases:
            with self.subTest(changed=changed):
                refused = self.client.compare_and_swap(
                    key,
                    b"2",
                    expected_revision=revision,
                    guards=[key_value.Guard("/guard", guarded)],
                    purpose="test",
                ).unwrap_err()
                assert isinstance(refused, errors.RevisionConflictError)
                self.assertEqual(refused.key, changed)
        self.assertEqual(len(self.service.log()["history"]), 2)

    def test_change_of_a_key_is_recognized_without_its_history(self) -> None:
        found = self.create("/a/1")

        def compare() -> bool:
            expected = [key_value.Guard("/a/1", found.mod_revision)]
            changed = self.client.compare_revisions(
                expected, purpose="test"
            ).unwrap()
            return "/a/1" not in changed

        self.create("/a/2")
        self.assertTrue(compare())
        self.client.delete("/a/1", purpose="test").unwrap()
        self.assertFalse(compare())

    def test_delete_is_conditional(self) -> None:
        held = self.create("/a")
        stale = self.client.delete(
            "/a", expected_revision=held.mod_revision + 1, purpose="test"
        )
        self.assertIsInstance(stale, Err)
        self.client.delete(
            "/a", expected_revision=held.mod_revision, purpose="test"
        ).unwrap()
        self.assertIsNone(self.client.get("/a", purpose="test").unwrap())

    def test_refuses_a_value_over_the_limit_without_a_call(self) -> None:
        refused = self.client.compare_and_swap(
            "/a", b"x" * 1_000_001, expected_revision=0, purpose="test"
        ).unwrap_err()
        self.assertIsInstance(refused, errors.PlatformRefusedError)
        self.assertEqual(self.service.calls_by_kind["txn"], 0)

    def test_lost_response_makes_write_outcome_unknown(self) -> None:
        """Guards against writing twice after a lost response.

        The service executes the write and the connection closes before the
        response, which was treated as "nothing was written".
        """
        self.service.set_faults(lose_answers_count=1)
        lost = self.client.compare_and_swap(
            "/a", b"1", expected_revision=0, purpose="test"
        ).unwrap_err()
        self.assertIsInstance(lost, errors.WriteOutcomeUnknownError)
        found = self.client.get("/a", purpose="test").unwrap()
        self.assertIsNotNone(found)
        self.assertEqual(self.service.calls_by_kind["txn"], 1)

    def test_timed_out_write_may_still_be_executed(self) -> None:
        """Guards against a write that is reported as failed but takes effect.

        The service executes the write only after the client's timeout, which
        was treated as "nothing was written".
        """
        self.service.set_faults(delay_s=0.6)
        late = self.client.compare_and_swap(
            "/a", b"1", expected_revision=0, purpose="test"
        ).unwrap_err()
        self.assertIsInstance(late, errors.WriteOutcomeUnknownError)
        self.assertEqual(self.service.log()["history"], [])
        self.assertTrue(
            builders.wait_until(lambda: self.service.log()["history"])
        )

    def test_unexecuted_write_is_reported_unavailable(self) -> None:
        """Guards against "outcome unknown" for all writes in an outage.

        The service refuses connections, or responds that it accepts no writes.
        All failures of a call were treated alike.
        """
        self.service.set_faults(refuse_writes=True)
        refused = self.client.compare_and_swap(
            "/a", b"1", expected_revision=0, purpose="test"
        ).unwrap_err()
        self.assertIsInstance(refused, errors.PlatformUnavailableError)
        self.service.close()
        unreachable = self.client.compare_and_swap(
            "/a", b"1", expected_revision=0, purpose="test"
        ).unwrap_err()
        self.assertIsInstance(unreachable, errors.PlatformUnavailableError)
        self.assertEqual(self.service.log()["history"], [])

    def test_read_in_an_outage_is_unavailable(self) -> None:
        for faults in ({"down": True}, {"delay_s": 0.6}):
            with self.subTest(faults=faults):
                self.service.set_faults(**faults)
                read = self.client.get("/a", purpose="test").unwrap_err()
                self.assertIsInstance(read, errors.PlatformUnavailableError)

    def test_age_counts_from_the_last_successful_call(self) -> None:
        """Guards against an unknown age of the data that a node has.

        Operators ask for this age in an outage. Calls succeed, the service
        becomes unavailable and recovers; the time of the last successful call
        was not recorded.
        """
        mock_clock = mock.Mock()
        mock_clock.monotonic_s.return_value = 100.0
        client = key_value.KeyValueClient(
            [builders.endpoint(self.service.port)],
            timeout_s=0.3,
            purpose_budgets={"test": builders.LARGE_BUDGET},
            system_clock=mock_clock,
        )
        self.addCleanup(client.close)
        self.assertEqual(client.age_s(), float("inf"))
        steps = (
            (200.0, {}, 0.0),
            (230.0, {"down": True}, 30.0),
            (240.0, {"refuse_writes": True}, 40.0),
            (250.0, {}, 0.0),
        )
        for now_s, faults, age_s in steps:
            with self.subTest(now_s=now_s, faults=faults):
                mock_clock.monotonic_s.return_value = now_s
                self.service.set_faults(**faults)
                client.delete("/a", purpose="test")
                self.assertEqual(client.age_s(), age_s)

    def test_unreachable_endpoint_falls_back_to_the_next(self) -> None:
        closed = builders.closed_port()
        client = builders.client_for(closed, self.service.port)
        self.addCleanup(client.close)
        client.compare_and_swap(
            "/a", b"1", expected_revision=0, purpose="test"
        ).unwrap()

    def test_closed_client_sends_nothing(self) -> None:
        self.client.get("/a", purpose="test").unwrap()
        self.client.close()
        refused = self.client.get("/a", purpose="test").unwrap_err()
        self.assertIsInstance(refused, errors.PlatformUnavailableError)
        self.assertEqual(self.service.calls_by_kind["range"], 1)

    def test_killed_callers_leak_no_call_slot(self) -> None:
        """Guards against calls that block forever after days of operation.

        The service stops reading and greenlets are killed while they send. The
        library's connection pool did not release their slots.
        """
        with (
            builders.listener_that_never_reads() as port,
            mock.patch.object(http_calls, "CONCURRENT_CALLS_COUNT", 2),
        ):
            calls = http_calls.HttpCalls(builders.endpoint(port), 0.5)
            self.addCleanup(calls.close)
            body = {"value": "x" * 16_000_000}
            for _ in range(3):
                sender = gevent.spawn(calls.call, "POST", "/", body)
                gevent.sleep(0.1)
                sender.kill()
            last = gevent.spawn(calls.call, "POST", "/", {})
            last.join(timeout=builders.WAIT_LIMIT_S)
            self.assertTrue(last.ready())
            self.assertIsInstance(last.value, Err)

    def test_spent_budget_does_not_affect_other_purposes(self) -> None:
        """Guards against losing a lease while the service is available.

        A loop elsewhere in the process retries without a delay and uses up the
        call rate that the service allows, if all purposes share one budget.
        """
        client = key_value.KeyValueClient(
            [builders.endpoint(self.service.port)],
            purpose_budgets={"loop": call_budget.CallBudget(0.001, 3)},
        )
        self.addCleanup(client.close)
        answers = [client.get("/a", purpose="loop") for _ in range(5)]
        spent = [a for a in answers if isinstance(a, Err)]
        self.assertEqual(len(spent), 2)
        self.assertIsInstance(spent[0].err_value, errors.BudgetExceededError)
        self.assertEqual(self.service.calls_by_kind["range"], 3)
        self.assertIsInstance(client.get("/a", purpose="lease"), Ok)

    def test_rate_limited_write_is_not_executed(self) -> None:
        with builders.running_key_value(writes_per_s=1.0) as service:
            client = builders.client_for(service.port)
            self.addCleanup(client.close)
            outcomes = [
                client.compare_and_swap(
                    f"/{i}", b"1", expected_revision=0, purpose="test"
                )
                for i in range(4)
            ]
            refused = [o for o in outcomes if isinstance(o, Err)]
            self.assertTrue(refused)
            self.assertEqual(len(service.log()["history"]), 4 - len(refused))


class WatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = self.enterContext(builders.running_key_value())
        self.client = builders.client_for(self.service.port)
        self.addCleanup(self.client.close)
        self.events: list[key_value.WatchEvent] = []

    def watch(self) -> None:
        self.client.watch("/a", self.events.append, purpose="test")
        self.assertTrue(
            builders.wait_until(lambda: self.service.store.watchers)
        )

    def put(self, key: str, value: bytes, revision: int = 0) -> int:
        return (
            self.client.compare_and_swap(
                key, value, expected_revision=revision, purpose="test"
            )
            .unwrap()
            .mod_revision
        )

    def seen(self) -> list[tuple[str, str, bytes]]:
        return [
            (e.kind, e.key_value.key, e.key_value.value) for e in self.events
        ]

    def assert_sees(self, *expected: tuple[str, str, bytes]) -> None:
        builders.wait_until(lambda: len(self.events) >= len(expected))
        self.assertEqual(self.seen(), list(expected))

    def test_reports_existing_keys_then_changes(self) -> None:
        revision = self.put("/a1", b"1")
        self.watch()
        self.put("/b", b"other")
        self.put("/a1", b"2", revision)
        self.client.delete("/a1", purpose="test").unwrap()
        self.assert_sees(
            ("put", "/a1", b"1"), ("put", "/a1", b"2"), ("delete", "/a1", b"")
        )

    def test_watch_message_resets_the_age(self) -> None:
        mock_clock = mock.Mock()
        mock_clock.monotonic_s.return_value = 100.0
        watching = key_value.KeyValueClient(
            [builders.endpoint(self.service.port)], system_clock=mock_clock
        )
        self.addCleanup(watching.close)
        watching.watch("/a", self.events.append, purpose="test")
        revision = self.put("/a1", b"0")
        self.assert_sees(("put", "/a1", b"0"))
        self.events.clear()
        mock_clock.monotonic_s.return_value = 130.0
        self.assertEqual(watching.age_s(), 30.0)
        self.put("/a1", b"1", revision)
        self.assert_sees(("put", "/a1", b"1"))
        self.assertEqual(watching.age_s(), 0.0)

    def test_change_during_an_interruption_is_reported_once(self) -> None:
        """Guards against missing a change made while the watch is interrupted.

        The service ends the stream, a key changes, and the watch reconnects. It
        must resume from the last seen revision, not from the current one.
        """
        self.watch()
        self.service.store.cut_watches()
        builders.wait_until(lambda: not self.service.store.watchers)
        self.put("/a1", b"1")
        self.assert_sees(("put", "/a1", b"1"))
        builders.wait_until(lambda: self.service.store.watchers)
        self.put("/a2", b"2")
        self.assert_sees(("put", "/a1", b"1"), ("put", "/a2", b"2"))

    def test_hung_watch_is_reopened(self) -> None:
        """Guards against a node that misses all changes without noticing.

        The stream stays open but sends no more data, which was treated as
        "nothing has changed" without a time limit.
        """
        watched = watch.Watch(
            self.client,
            "/a",
            self.events.append,
            purpose="test",
            timeouts=lambda: watch.WatchTimeouts(0.5),
        )
        self.addCleanup(watched.close)
        watched.start()
        builders.wait_until(lambda: self.service.store.watchers)
        self.service.store.hang_watches()
        self.put("/a1", b"1")
        self.assert_sees(("put", "/a1", b"1"))

    def test_reads_all_keys_when_history_is_dropped(self) -> None:
        """Guards against never catching up after a long interruption.

        The watch is interrupted, keys change, and the service drops its
        history, so it cancels the resumed watch. The watch kept resuming from
        the dropped revision.
        """
        self.put("/a1", b"1")
        self.watch()
        self.assert_sees(("put", "/a1", b"1"))
        self.service.store.cut_watches()
        builders.wait_until(lambda: not self.service.store.watchers)
        self.client.delete("/a1", purpose="test").unwrap()
        self.put("/a2", b"2")
        self.service.store.compact()
        self.assert_sees(
            ("put", "/a1", b"1"), ("delete", "/a1", b""), ("put", "/a2", b"2")
        )

    def test_detects_a_restore_after_revisions_caught_up(self) -> None:
        """Guards against missing a changed key after a restore.

        The service is restored from a backup and executes writes until its
        revision passes that of the watch, which then resumes. Revisions from
        before and after the restore were compared with each other.
        """
        snapshot = self.service.snapshot()
        for index in range(5):
            self.put(f"/a{index}", b"old")
        self.watch()
        builders.wait_until(lambda: len(self.events) == 5)
        self.events.clear()
        self.service.restore(snapshot)
        for index in range(9):
            self.service.store.transact(
                [builders.put_operation(f"/z{index}", b"")]
            )
        self.service.store.transact([builders.put_operation("/a0", b"new")])
        self.service.store.compact()
        self.service.store.compacted_revision = 0
        expected = {
            *(("delete", f"/a{index}", b"") for index in range(1, 5)),
            ("put", "/a0", b"new"),
        }
        builders.wait_until(lambda: len(self.events) >= len(expected))
        self.assertEqual(set(self.seen()), expected)

    def test_reconnects_with_backoff_after_an_outage(self) -> None:
        """Guards against overloading the service again after an outage.

        Many watches are interrupted and the service stays down. They
        reconnected without a delay and at the same time.
        """
        clients = [builders.client_for(self.service.port) for _ in range(20)]
        for client in clients:
            self.addCleanup(client.close)
            client.watch("/a", self.events.append, purpose="test")
        watchers = self.service.store.watchers
        builders.wait_until(lambda: len(watchers) == 20)
        calls_before_count = sum(self.service.calls_by_kind.values())
        self.service.set_faults(down=True)
        gevent.sleep(1.0)
        calls_count = sum(self.service.calls_by_kind.values())
        # A loop without backoff would send thousands of calls.
        self.assertLess(calls_count - calls_before_count, 20 * 20)
        self.service.set_faults()
        self.assertTrue(builders.wait_until(lambda: len(watchers) == 20))

    def test_closed_watch_reports_nothing(self) -> None:
        watched = self.client.watch("/a", self.events.append, purpose="test")
        builders.wait_until(lambda: self.service.store.watchers)
        watched.close()
        self.put("/a1", b"1")
        gevent.sleep(0.05)
        self.assertEqual(self.events, [])


if __name__ == "__main__":
    unittest.main()

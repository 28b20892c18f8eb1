"""Tests of finding changes that a watch does not report."""

import unittest

import gevent

from mulberrywharf.platform import documents
from mulberrywharf.platform_service import (
    key_value,
    key_value_types,
    watch,
    watch_audit,
)
from mulberrywharf.routes import follower, freshness
from tests import builders_platform
from tests import builders_routes as build

PREFIX = documents.SERVERS_PREFIX
FOUND_S = 2.0
"""A server that leaves must be known after this time."""

_MANY_COUNT = 2 * key_value.COMPARE_LIMIT_COUNT
_SWEEP_S = 3 * freshness.INTERVAL_LIMIT_S + 0.5
"""Until all of so many keys have been compared."""


class WatchAuditTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.store.era = 1
        self.view_port = self.store.add_view(lambda _, value: value)
        self.client = build.store_client(self.view_port)
        self.addCleanup(self.client.close)
        self.held: dict[str, bytes] = {}
        self.store.put(documents.ROUTES_KEY, build.routes_value(1))

    def start(self, count: int = 2) -> None:
        """Watches some keys, and audits them."""
        for number in range(count):
            self.store.put(f"{PREFIX}{number}", b"first")
        watched = self.client.watch(
            PREFIX,
            self.on_event,
            purpose="test",
            timeouts=lambda: watch.LONG_TIMEOUTS,
        )
        routes = follower.RouteFollower(
            self.client,
            documents.StoredDocuments(),
            timeouts=lambda: watch.LONG_TIMEOUTS,
        )
        audit = watch_audit.WatchAudit(
            self.client, lambda: watched, purpose="test"
        )
        self.freshness = freshness.RoutesFreshness(
            self.client, routes, None, audit=audit
        )
        for part in (routes, self.freshness):
            part.start()
            self.addCleanup(part.close)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    len(self.held) == count
                    and ("POST", "/kv-txn") in self.store.calls
                ),
                limit_s=5.0,
            )
        )

    def on_event(self, event: key_value_types.WatchEvent) -> None:
        key = event.key_value.key
        if event.kind == "delete":
            self.held.pop(key, None)
        else:
            self.held[key] = event.key_value.value

    def check(
        self, expected: dict[str, bytes], limit_s: float = FOUND_S
    ) -> None:
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.held == expected, limit_s=limit_s
            ),
            self.held,
        )

    def test_change_that_the_watch_skips_is_found(self) -> None:
        """Guards against work for a server that left without its watch."""
        self.start()
        self.store.hold_watches(self.view_port)
        self.store.put(f"{PREFIX}0", b"second")
        self.check({f"{PREFIX}0": b"second", f"{PREFIX}1": b"first"})

    def test_deletion_that_the_watch_skips_is_found(self) -> None:
        """Guards against work for a server whose record is gone."""
        self.start()
        self.store.hold_watches(self.view_port)
        self.store.delete(f"{PREFIX}0")
        self.check({f"{PREFIX}1": b"first"})

    def test_change_is_found_though_the_watch_is_never_answered(self) -> None:
        """Guards against a server that is added and gets no work for 30 s."""
        self.start()
        self.store.hang_watches()
        self.store.put(f"{PREFIX}2", b"added")
        self.store.delete(f"{PREFIX}0")
        self.check({f"{PREFIX}1": b"first", f"{PREFIX}2": b"added"})

    def test_key_that_an_answer_omits_is_not_deleted(self) -> None:
        """Guards against dropping servers because one of them has changed."""
        self.start()
        self.store.hold_watches(self.view_port)
        self.store.faults["omits_items"] = True
        self.store.put(f"{PREFIX}0", b"second")
        self.check({f"{PREFIX}0": b"second", f"{PREFIX}1": b"first"})

    def test_changes_of_many_keys_are_found(self) -> None:
        """Guards against changes that are found in small fleets only."""
        self.start(_MANY_COUNT)
        expected = {f"{PREFIX}{one}": b"first" for one in range(_MANY_COUNT)}
        self.check(expected)
        self.store.hang_watches()
        for number in (0, _MANY_COUNT // 2, _MANY_COUNT - 1):
            self.store.put(f"{PREFIX}{number}", b"second")
            expected[f"{PREFIX}{number}"] = b"second"
        self.store.delete(f"{PREFIX}7")
        del expected[f"{PREFIX}7"]
        self.check(expected)

    def test_many_keys_take_turns_in_comparisons(self) -> None:
        """Guards against changes that no watch call ever reports."""
        self.start(_MANY_COUNT)
        self.store.hold_watches(self.view_port)
        self.store.delete(f"{PREFIX}7")
        busy = gevent.spawn(self.change_other_keys)
        self.addCleanup(busy.kill)
        expected = {f"{PREFIX}{one}": b"first" for one in range(_MANY_COUNT)}
        del expected[f"{PREFIX}7"]
        self.check(expected, _SWEEP_S)

    def change_other_keys(self) -> None:
        while True:
            self.store.put("other", b"again")
            gevent.sleep(0.2)

    def test_dropped_history_is_made_up_for(self) -> None:
        """Guards against changes that are lost with their history."""
        self.start(_MANY_COUNT)
        self.store.hang_watches()
        self.store.put(f"{PREFIX}0", b"second")
        self.store.drop_history()
        expected = {f"{PREFIX}{one}": b"first" for one in range(_MANY_COUNT)}
        self.check({**expected, f"{PREFIX}0": b"second"})

    def test_unchanged_store_is_asked_for_its_revision_alone(self) -> None:
        """Guards against comparisons, which the store allows few of."""
        self.start()
        gevent.sleep(FOUND_S)
        before_count = len(self.store.calls)
        gevent.sleep(2 * FOUND_S)
        calls = self.store.calls[before_count:]
        self.assertNotIn(("POST", "/kv-txn"), calls)
        self.assertLessEqual(calls.count(("GET", "/kv-range")), 4)

    def test_restored_store_is_compared_anew(self) -> None:
        """Guards against revisions that a restored store assigns again."""
        self.start()
        copy = self.store.copy()
        self.store.put("other", b"lost")
        gevent.sleep(FOUND_S)
        self.store.restore(copy)
        gevent.sleep(freshness.RESTORE_HOLD_OFF_S + FOUND_S)
        self.store.hold_watches(self.view_port)
        self.store.delete(f"{PREFIX}0")
        self.check({f"{PREFIX}1": b"first"})

    def test_failed_comparison_changes_nothing(self) -> None:
        """Guards against dropping servers while the store is away."""
        self.start()
        before = dict(self.held)
        self.store.faults["down"] = True
        gevent.sleep(FOUND_S)
        self.assertEqual(self.held, before)
        self.store.faults.clear()
        self.store.hold_watches(self.view_port)
        self.store.delete(f"{PREFIX}0")
        self.check({f"{PREFIX}1": b"first"})


if __name__ == "__main__":
    unittest.main()

"""Tests of comparing keys that a watch does not report with the service."""

import unittest

import gevent

from mulberrywharf.platform_service import (
    key_value_types,
    silent_keys,
    watch,
)
from tests import builders_platform
from tests import builders_routes as build

PREFIX = "records/"
FOUND_S = 2.0
"""A server that leaves must be known after this time."""

_COMPARE = ("POST", "/kv-txn")
_READ_ALL = ("GET", "/kv-range")


class SilentKeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.view_port = self.store.add_view(lambda _, value: value)
        self.client = build.store_client(self.view_port)
        self.addCleanup(self.client.close)
        self.held: dict[str, bytes] = {}
        self.irrelevant: set[str] = set()

    def start(self, count: int = 2) -> None:
        """Watches some keys, and compares the silent ones."""
        for number in range(count):
            self.store.put(f"{PREFIX}{number}", b"first")
        self.keys = silent_keys.SilentKeys(
            self.client,
            lambda: self.watched,
            lambda key: key not in self.irrelevant,
            purpose="test",
        )
        self.watched = self.client.watch(
            PREFIX,
            self.on_event,
            purpose="test",
            timeouts=lambda: watch.LONG_TIMEOUTS,
        )
        self.assertTrue(
            builders_platform.wait_until(lambda: len(self.held) == count)
        )
        self.keys.start()
        self.addCleanup(self.keys.close)

    def on_event(self, event: key_value_types.WatchEvent) -> None:
        key = event.key_value.key
        if event.kind == "delete":
            self.held.pop(key, None)
            self.keys.note_deleted(key)
        else:
            self.held[key] = event.key_value.value
            self.keys.note_written(key)

    def found(self, expected: dict[str, bytes]) -> bool:
        return builders_platform.wait_until(
            lambda: self.held == expected, limit_s=FOUND_S
        )

    def test_change_that_the_watch_skips_is_found(self) -> None:
        """Guards against work for a server that left without its watch."""
        self.start()
        self.store.hold_watches(self.view_port)
        self.store.put(f"{PREFIX}0", b"second")
        expected = {f"{PREFIX}0": b"second", f"{PREFIX}1": b"first"}
        self.assertTrue(self.found(expected))

    def test_deletion_that_the_watch_skips_is_found(self) -> None:
        """Guards against work for a server whose record is gone."""
        self.start()
        self.store.hold_watches(self.view_port)
        self.store.delete(f"{PREFIX}0")
        self.assertTrue(self.found({f"{PREFIX}1": b"first"}))

    def test_key_that_an_answer_omits_is_not_deleted(self) -> None:
        """Guards against dropping servers because one of them has changed."""
        self.start()
        self.store.hold_watches(self.view_port)
        self.store.faults["omits_items"] = True
        self.store.put(f"{PREFIX}0", b"second")
        expected = {f"{PREFIX}0": b"second", f"{PREFIX}1": b"first"}
        self.assertTrue(self.found(expected))

    def test_many_silent_keys_are_read_in_few_calls(self) -> None:
        """Guards against a store that a whole fleet asks key by key."""
        count = silent_keys.COMPARED_LIMIT_COUNT + 1
        self.start(count)
        self.store.hold_watches(self.view_port)
        for number in range(count):
            self.store.put(f"{PREFIX}{number}", b"second")
        before_count = len(self.store.calls)
        expected = {f"{PREFIX}{number}": b"second" for number in range(count)}
        self.assertTrue(self.found(expected))
        calls = self.store.calls[before_count:]
        self.assertNotIn(_COMPARE, calls)
        self.assertLessEqual(calls.count(_READ_ALL), 2)

    def test_renewed_keys_cost_no_call(self) -> None:
        """Guards against calls that grow with the number of servers."""
        self.start()
        ends = gevent.spawn_later(2 * FOUND_S, lambda: None)
        while not ends.ready():
            for number in range(2):
                self.store.put(f"{PREFIX}{number}", b"again")
            gevent.sleep(0.3)
        self.assertNotIn(_COMPARE, self.store.calls)

    def test_silent_keys_are_compared_in_one_call_at_a_time(self) -> None:
        self.start(silent_keys.COMPARED_LIMIT_COUNT // 2)
        self.irrelevant.add(f"{PREFIX}0")
        gevent.sleep(2 * silent_keys.SILENCE_LIMIT_S + 0.5)
        self.assertLessEqual(self.store.calls.count(_COMPARE), 2)
        self.assertGreater(self.store.calls.count(_COMPARE), 0)

    def test_failed_comparison_changes_nothing(self) -> None:
        """Guards against dropping servers while the store is away."""
        self.start()
        before = dict(self.held)
        self.store.faults["down"] = True
        gevent.sleep(silent_keys.SILENCE_LIMIT_S + 0.5)
        self.assertEqual(self.held, before)
        self.store.faults.clear()
        self.store.hold_watches(self.view_port)
        self.store.delete(f"{PREFIX}0")
        self.assertTrue(self.found({f"{PREFIX}1": b"first"}))


if __name__ == "__main__":
    unittest.main()

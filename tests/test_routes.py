"""Tests of matching and splitting routes, request kinds and the follower."""

import collections
import json
import time
import unittest
from typing import Any

import loguru

from mulberrywharf import metrics
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import key_value_types, watch
from mulberrywharf.routes import follower, kinds, split, table
from tests import builders_platform
from tests import builders_routes as build


def _refused() -> float:
    """Returns the version of the routes that could not be taken."""
    gauge = metrics.gauge("mulberry_routes_refused_version", "")
    return float(gauge.get({}))


class MatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.routes = table.RouteTable(
            1,
            [
                build.route(name="short", prefix="/a/"),
                build.route(name="long", prefix="/a/b/"),
                build.route(name="other", host="other.example", prefix="/a/"),
            ],
            {},
        )

    def name(self, host: str, path: str) -> str | None:
        found = self.routes.match(host, path)
        return found.name if found else None

    def test_longest_prefix_of_the_host_wins(self) -> None:
        self.assertEqual(self.name(build.HOST, "/a/x"), "short")
        self.assertEqual(self.name(build.HOST, "/a/b/x"), "long")
        self.assertEqual(self.name("other.example", "/a/b/x"), "other")

    def test_host_may_have_a_port_and_capitals(self) -> None:
        self.assertEqual(self.name("Callers.Example:8080", "/a/x"), "short")

    def test_unmatched_request_has_no_route(self) -> None:
        self.assertIsNone(self.name(build.HOST, "/ab/"))
        self.assertIsNone(self.name("unknown.example", "/a/x"))


class SplitTest(unittest.TestCase):
    def test_shares_follow_the_weights(self) -> None:
        route = build.route(
            destinations=(
                table.Destination("most", 90.0),
                table.Destination("few", 10.0),
            )
        )
        counts = collections.Counter(
            split.service_of(route, f"id-{number}") for number in range(5000)
        )
        self.assertAlmostEqual(counts["few"] / 5000, 0.1, delta=0.02)

    def test_the_same_id_goes_to_the_same_service(self) -> None:
        route = build.route(
            destinations=(
                table.Destination("one", 1.0),
                table.Destination("two", 1.0),
            )
        )
        found = {split.service_of(route, "id") for _ in range(10)}
        self.assertEqual(len(found), 1)


class RedirectedStreamsTest(unittest.TestCase):
    def table(self, **services: str) -> table.RouteTable:
        routes = [
            table.Route(
                prefix,
                "a.example",
                f"/{prefix.replace('_', '/')}/",
                kinds.EventStream(resumable=True),
                5.0,
                tuple(table.Destination(one, 1.0) for one in names.split()),
            )
            for prefix, names in services.items()
        ]
        return table.RouteTable(1, routes, {})

    def test_streams_of_moved_and_split_routes_are_found(self) -> None:
        before = self.table(x="one", y="two", z="three")
        after = self.table(x="two one", x_deep="four", y="two")
        self.assertEqual(
            after.redirected_streams(before),
            {"one": set(), "two": {"one"}, "four": {"one"}},
        )
        self.assertEqual(
            after.shared_streams(),
            {"one": {"two"}, "two": {"one"}, "four": set()},
        )

    def test_thousands_of_routes_are_compared_at_once(self) -> None:
        """Guards against a large change that holds up the event loop."""
        few, many = (
            self.table(**{f"a_{number}": "one" for number in range(count)})
            for count in (300, 2_300)
        )
        began_s = time.process_time()
        self.assertEqual(many.redirected_streams(few), {"one": set()})
        self.assertLess(time.process_time() - began_s, 0.2)

    def test_removed_route_sends_streams_to_the_shorter_one(self) -> None:
        before = self.table(x="one", x_deep="two")
        after = self.table(x="one")
        self.assertEqual(after.redirected_streams(before), {"one": {"two"}})


class KindsTest(unittest.TestCase):
    def test_which_kinds_may_run_again(self) -> None:
        self.assertTrue(kinds.may_run_again(kinds.Idempotent()))
        self.assertFalse(kinds.may_run_again(kinds.AtMostOnce()))
        self.assertTrue(kinds.may_run_again(kinds.EventStream(True)))
        self.assertFalse(kinds.may_run_again(kinds.EventStream(False)))


class FollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        running = build.running_store()
        self.store = self.enterContext(running)
        self.client = build.store_client(self.store.port)
        self.addCleanup(self.client.close)
        self.routes = follower.RouteFollower(
            self.client, documents.StoredDocuments()
        )
        self.routes.start()
        self.addCleanup(self.routes.close)

    def wait_version(self, version: int) -> bool:
        def is_there() -> bool:
            current = self.routes.current()
            return current is not None and current.version == version

        return builders_platform.wait_until(is_there)

    def put(self, version: int) -> None:
        self.store.put(documents.ROUTES_KEY, build.routes_value(version))

    def test_each_newer_version_comes_into_force(self) -> None:
        self.assertIsNone(self.routes.current())
        self.put(3)
        self.assertTrue(self.wait_version(3))
        self.put(8)
        self.assertTrue(self.wait_version(8))

    def test_older_version_is_ignored(self) -> None:
        """Guards against losing a route that callers have already used.

        Version 8 is in force and the store returns version 5, as after a
        late write or a stale read. The last document read must not be
        assumed to be the newest.
        """
        self.put(8)
        self.assertTrue(self.wait_version(8))
        self.put(5)
        self.put(9)
        seen: list[int] = []
        self.routes.on_change(lambda found: seen.append(found.version))
        self.assertTrue(self.wait_version(9))
        self.assertNotIn(5, seen)

    def test_malformed_document_is_ignored(self) -> None:
        """Guards against responding 404 to all callers after a bad document.

        Version 3 is in force and a document without routes follows. A
        document that cannot be decoded must not count as an empty table.
        """
        self.put(3)
        self.assertTrue(self.wait_version(3))
        self.store.put(documents.ROUTES_KEY, b'{"version": 4}')
        self.store.put(documents.ROUTES_KEY, b"not json")
        self.put(6)
        self.assertTrue(self.wait_version(6))

    def test_refused_version_is_told_until_a_newer_one_is_taken(self) -> None:
        """Guards against routes that stay old and nobody knows why."""
        lines: list[Any] = []
        sink = loguru.logger.add(
            lambda line: lines.append(line.record["extra"])
        )
        self.addCleanup(loguru.logger.remove, sink)
        self.put(3)
        self.assertTrue(self.wait_version(3))
        document = build.routes_document(7)
        del document["services"]
        refused = json.dumps(document).encode()
        self.store.put(documents.ROUTES_KEY, refused)
        self.assertTrue(builders_platform.wait_until(lambda: _refused() == 7))
        self.routes.take(key_value_types.KeyValue("", refused, 1, 1))
        told = [line for line in lines if line.get("version") == 7]
        self.assertEqual(len(told), 1)
        self.assertIn("services", f"{told[0]['field']} {told[0]['reason']}")
        self.put(9)
        self.assertTrue(self.wait_version(9))
        self.assertEqual(_refused(), 0)

    def test_change_in_dropped_history_is_found(self) -> None:
        """Guards against a node that stays at an old version.

        An outage breaks the watch, two versions are written, and the store
        drops its history and recovers. The watch must not resume at a
        revision that the store no longer has.
        """
        self.put(3)
        self.assertTrue(self.wait_version(3))
        self.store.faults = {"down": True}
        self.put(4)
        self.put(7)
        self.store.store.compact()
        self.store.faults = {}
        self.assertTrue(self.wait_version(7))

    def test_watch_without_responses_is_reopened(self) -> None:
        """Guards against a change that arrives late and without an error.

        The store drops its history and never completes the pending watch
        call; then a change is made. A node that trusts the call for as long
        as the store lets it wait sees the change many seconds late.
        """
        self.put(3)
        self.assertTrue(self.wait_version(3))
        waiting = build.store_client(self.store.port, wait_s=30.0)
        self.addCleanup(waiting.close)
        routes = follower.RouteFollower(waiting, documents.StoredDocuments())
        routes.start()
        self.addCleanup(routes.close)
        builders_platform.wait_until(lambda: routes.current() is not None)
        builders_platform.wait_until(lambda: False, limit_s=0.2)
        self.store.hang_watches()
        self.put(4)

        def is_new() -> bool:
            current = routes.current()
            return current is not None and current.version == 4

        self.assertTrue(
            builders_platform.wait_until(
                is_new, limit_s=watch.SHORT_SILENCE_TIMEOUT_S + 1.0
            )
        )

    def test_change_arrives_soon_after_a_hung_store_recovers(self) -> None:
        """Guards against 404 for a new route two seconds after the time limit.

        The store hangs for some seconds and the node sends a call with a wait
        of two seconds. The store recovers and a change is made. The call is
        lost; it must not take its whole wait, with a retry delay of up to two
        seconds after it.
        """
        client = build.store_client(self.store.port, wait_s=30.0)
        self.addCleanup(client.close)
        routes = follower.RouteFollower(client, documents.StoredDocuments())
        routes.start()
        self.addCleanup(routes.close)
        self.put(3)
        builders_platform.wait_until(lambda: routes.current() is not None)
        self.store.faults = {"silent": 60.0}
        builders_platform.wait_until(lambda: False, limit_s=6.0)
        self.store.faults = {}
        self.put(4)

        def is_new() -> bool:
            current = routes.current()
            return current is not None and current.version == 4

        self.assertTrue(builders_platform.wait_until(is_new, limit_s=1.9))

    def test_outage_of_the_store_causes_few_calls(self) -> None:
        """Guards against thousands of billed calls in an outage of the store.

        The store closes each connection at once. A failed poll must be
        repeated with increasing delays.
        """
        self.put(3)
        self.assertTrue(self.wait_version(3))
        self.store.faults = {"down": True}
        before = len(self.store.calls)
        builders_platform.wait_until(lambda: False, limit_s=3.0)
        self.assertLess(len(self.store.calls) - before, 25)

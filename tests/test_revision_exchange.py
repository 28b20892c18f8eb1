"""Tests how gateways notify each other of changes that a watch may miss."""

import unittest
from unittest import mock

import gevent

from mulberrywharf.peers import notice_codec, revision_exchange
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import http_calls, watch
from mulberrywharf.routes import follower
from standins import platform_store
from tests import builders_platform
from tests import builders_routes as build

_AFTER_REOPEN_DELAY_S = revision_exchange.REOPEN_DELAY_S + 0.1


class _Watch:
    def __init__(self, changed: int, seen: int):
        self.changed_revision = changed
        self.seen_revision = seen
        self.proven_revision = seen
        self.reopenings_count = 0
        self.readings_count = 0

    def reopen_if_waiting(self) -> None:
        self.reopenings_count += 1

    def read_again_if_waiting(self) -> None:
        self.readings_count += 1


class _Notices:
    def __init__(self) -> None:
        self.sent_count = 0

    def set_seen_callbacks(self, seen: object, on_seen: object) -> None:
        """Ignores both callbacks; the tests call them directly."""

    def send_now(self) -> None:
        self.sent_count += 1


class StoreNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.routes = _Watch(changed=7, seen=9)
        self.servers = _Watch(changed=8, seen=9)
        self.notices = _Notices()
        self.news = revision_exchange.RevisionExchange(
            self.notices,
            lambda: {
                "routes_revision": self.routes,
                "servers_revision": self.servers,
            },
        )

    def test_seen_contains_the_changed_revisions(self) -> None:
        self.assertEqual(self.news.seen(), notice_codec.SeenRevisions(7, 8))

    def test_watch_that_stays_behind_is_reopened(self) -> None:
        """Guards against a gateway that serves old routes for seconds.

        The service silently drops a waiting watch; a peer whose watch was
        opened later receives a change. The gateway waited until its own watch
        ended.
        """
        for _ in range(3):
            self.news.on_seen(notice_codec.SeenRevisions(12, 8))
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.reopenings_count, 1)
        self.assertEqual(self.servers.reopenings_count, 0)

    def test_watch_that_was_just_reopened_is_not_reopened(self) -> None:
        for _ in range(3):
            self.news.on_seen(notice_codec.SeenRevisions(12, 8))
            gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.reopenings_count, 1)

    def test_watch_that_delivers_the_change_late_is_not_reopened(self) -> None:
        self.news.on_seen(notice_codec.SeenRevisions(12, 8))
        self.routes.seen_revision = self.routes.proven_revision = 12
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.reopenings_count, 0)

    def test_watch_that_passed_over_a_change_reads_again(self) -> None:
        """Guards against routes that are lost until the next change.

        The service names a watch a revision without the change up to there.
        """
        self.routes.seen_revision = 14
        self.news.on_seen(notice_codec.SeenRevisions(12, 8))
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.readings_count, 1)
        self.assertEqual(self.routes.reopenings_count, 0)

    def test_watch_that_a_reopening_did_not_help_reads_again(self) -> None:
        """Guards against reopening a watch that hears nothing for ever."""
        self.news.on_seen(notice_codec.SeenRevisions(12, 8))
        gevent.sleep(revision_exchange.MIN_REOPEN_INTERVAL_S + 0.4)
        self.news.on_seen(notice_codec.SeenRevisions(12, 8))
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.reopenings_count, 1)
        self.assertEqual(self.routes.readings_count, 1)

    def test_older_revisions_are_ignored(self) -> None:
        self.news.on_seen(notice_codec.SeenRevisions(9, 3))
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.reopenings_count, 0)

    def test_change_is_sent_unless_enough_peers_did(self) -> None:
        latest_s = revision_exchange.NOTICE_DELAY_RANGE_S[1] + 0.05
        self.news.on_change()
        gevent.sleep(latest_s)
        self.assertEqual(self.notices.sent_count, 1)
        self.news.on_change()
        for _ in range(revision_exchange.SUFFICIENT_NOTICES_COUNT):
            self.news.on_seen(notice_codec.SeenRevisions(7, 8))
        gevent.sleep(latest_s)
        self.assertEqual(self.notices.sent_count, 1)

    def test_second_change_in_a_row_reopens_the_watch_later(self) -> None:
        """Guards against a change that waits for the next one.

        A notice that came less than two seconds behind a reopening was dropped,
        although the watch had lost that change, too.
        """
        self.news.on_seen(notice_codec.SeenRevisions(12, 8))
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.routes.seen_revision = self.routes.proven_revision = 12
        self.news.on_seen(notice_codec.SeenRevisions(14, 8))
        gevent.sleep(_AFTER_REOPEN_DELAY_S)
        self.assertEqual(self.routes.reopenings_count, 1)
        gevent.sleep(revision_exchange.MIN_REOPEN_INTERVAL_S)
        self.assertEqual(self.routes.reopenings_count, 2)


class WatchReopenTest(unittest.TestCase):
    def test_answer_in_transit_is_not_interrupted(self) -> None:
        """Guards against a large change that never arrives over a slow link.

        With saturated links, routes took effect seconds late on a whole
        fleet. A document of 1,700 routes takes most of a second to transfer,
        and peers report the change meanwhile. The watch was taken for dropped
        and reopened, and each time the transfer started again.
        """
        routes = self.follow(watch.WatchTimeouts(30.0, 30.0))
        builders_platform.wait_until(lambda: False, limit_s=0.4)
        self.store.faults = {"pause_in_body_s": 0.6}
        self.put(4)
        watched = routes.watched()
        assert watched is not None
        for _ in range(4):
            gevent.sleep(0.2)
            calls_count = len(self.store.calls)
            watched.reopen_if_waiting()
        arrived = builders_platform.wait_until(
            lambda: _version(routes) == 4, limit_s=0.6
        )
        self.assertTrue(arrived)
        self.assertLessEqual(len(self.store.calls), calls_count + 1)

    def setUp(self) -> None:
        self.store = platform_store.PlatformStoreStandin()
        self.store.start()
        self.addCleanup(self.store.close)
        self.put(3)

    def put(self, version: int) -> None:
        value = build.routes_value(version=version)
        self.store.put(documents.ROUTES_KEY, value)

    def follow(self, timeouts: watch.WatchTimeouts) -> follower.RouteFollower:
        """Returns a started follower that has received the routes."""
        client = build.store_client(self.store.port, wait_s=30.0)
        self.addCleanup(client.close)
        routes = follower.RouteFollower(
            client, documents.StoredDocuments(), timeouts=lambda: timeouts
        )
        routes.start()
        self.addCleanup(routes.close)
        builders_platform.wait_until(lambda: routes.current() is not None)
        return routes

    def reopen_and_check(self, routes: follower.RouteFollower) -> None:
        """Reopens the watch and checks that version 4 arrives."""
        watched = routes.watched()
        assert watched is not None
        self.assertLess(watched.seen_revision, self.store.store.revision)
        watched.reopen_if_waiting()
        arrived = builders_platform.wait_until(
            lambda: _version(routes) == 4, limit_s=1.5
        )
        self.assertTrue(arrived)
        self.assertEqual(watched.changed_revision, self.store.store.revision)

    def test_reopening_interrupts_a_pause_between_calls(self) -> None:
        """Guards against a gateway that lags behind its peers after an outage.

        The service refuses calls for a long time, so that the pause between
        calls has grown. It recovers, and a peer sees a change. Reopening
        interrupted only a waiting call, not a pause, so the gateway was the
        last to learn of the change.
        """
        with mock.patch.object(
            http_calls, "full_jitter_s", lambda count, **_: 30.0 * count
        ):
            routes = self.follow(watch.WatchTimeouts(0.3, 30.0))
            self.store.faults = {"down": True}
            before = len(self.store.calls)
            builders_platform.wait_until(
                lambda: len(self.store.calls) > before + 1
            )
            gevent.sleep(0.3)
            self.store.faults = {}
            self.put(4)
            self.reopen_and_check(routes)

    def test_reopening_recovers_a_silently_dropped_watch(self) -> None:
        """Guards against a gateway that serves old routes until its watch ends.

        The service drops a waiting watch, and a change is made. Only the end of
        the watch caused it to be reopened.
        """
        routes = self.follow(watch.WatchTimeouts(30.0, 30.0))
        builders_platform.wait_until(lambda: False, limit_s=0.4)
        self.store.hang_watches()
        self.put(4)
        self.reopen_and_check(routes)


def _version(routes: follower.RouteFollower) -> int:
    current = routes.current()
    return current.version if current else 0


if __name__ == "__main__":
    unittest.main()

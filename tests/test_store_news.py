"""Gateways that tell each other of changes their watches may miss."""

import time
import unittest
from unittest import mock

import gevent

from mulberrywharf.peers import codec, store_news
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import http_calls, watch
from mulberrywharf.routes import follower
from standins import platform_store
from tests import builders_platform
from tests import builders_routes as build

_SETTLED_S = store_news.PATIENCE_S + 0.1


class _Watch:
    def __init__(self, changed: int, seen: int):
        self.changed_revision = changed
        self.seen_revision = seen
        self.age_s = 0.5
        self.hurries_count = 0

    def hurry(self) -> None:
        self.hurries_count += 1


class _Notices:
    def __init__(self) -> None:
        self.told_at_s = float("-inf")
        self.is_registered = True
        self.is_reader = False
        self.sent_count = 0

    def tell_seen(self, seen: object, on_seen: object) -> None:
        """Needs neither: the tests call them."""

    def tell_now(self) -> None:
        self.sent_count += 1


class StoreNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.routes = _Watch(changed=7, seen=9)
        self.servers = _Watch(changed=8, seen=9)
        self.notices = _Notices()
        self.news = store_news.StoreNews(
            self.notices,
            lambda: {
                "routes_revision": self.routes,
                "servers_revision": self.servers,
            },
        )

    def test_what_is_told(self) -> None:
        self.assertEqual(self.news.seen(), codec.Seen(7, 8, is_reading=True))

    def test_a_watch_that_stays_behind_is_opened_again(self) -> None:
        """A gateway serves old routes for seconds.

        Sequence: the service leaves a waiting watch without a word; a peer
        whose watch was opened later brings the change. Cause: the gateway
        waits for its own watch to end.
        """
        for _ in range(3):
            self.news.on_seen(codec.Seen(12, 8))
        gevent.sleep(_SETTLED_S)
        self.assertEqual(self.routes.hurries_count, 1)
        self.assertEqual(self.servers.hurries_count, 0)

    def test_a_watch_that_was_just_opened_again_is_given_time(self) -> None:
        for _ in range(3):
            self.news.on_seen(codec.Seen(12, 8))
            gevent.sleep(_SETTLED_S)
        self.assertEqual(self.routes.hurries_count, 1)

    def test_a_watch_that_brings_it_a_moment_later_is_left_alone(self) -> None:
        self.news.on_seen(codec.Seen(12, 8))
        self.routes.seen_revision = 12
        gevent.sleep(_SETTLED_S)
        self.assertEqual(self.routes.hurries_count, 0)

    def test_old_news_change_nothing(self) -> None:
        self.news.on_seen(codec.Seen(9, 3))
        gevent.sleep(_SETTLED_S)
        self.assertEqual(self.routes.hurries_count, 0)

    def test_a_change_is_told_unless_enough_peers_did(self) -> None:
        latest_s = store_news.NOTICE_DELAY_RANGE_S[1] + 0.05
        self.news.on_change()
        gevent.sleep(latest_s)
        self.assertEqual(self.notices.sent_count, 1)
        self.news.on_change()
        for _ in range(store_news.SUFFICIENT_NOTICES_COUNT):
            self.news.on_seen(codec.Seen(7, 8))
        gevent.sleep(latest_s)
        self.assertEqual(self.notices.sent_count, 1)

    def test_a_watch_waits_long_while_a_reader_is_heard(self) -> None:
        """Calls to the service grow with the fleet.

        Symptom: three quarters of what a fleet of 18 gateways pays for calls
        goes for opening two watches each every few seconds. Cause: each of
        them looked for itself.
        """
        self.assertEqual(self.news.patience(), watch.BRIEF)
        self.hear_reader()
        self.assertEqual(self.news.patience(), store_news.LONG)
        self.assertEqual(self.hurries_counts(), [0, 0])

    def test_watches_are_opened_again_when_no_reader_is_heard(self) -> None:
        """Routes stay old for half a minute.

        Sequence: the readers are gone, or cut off; the service has left this
        gateway's watches without a word, and a change is made. Cause: the
        watches went on waiting as if somebody read.
        """
        self.hear_reader()
        self.news._reader_heard_at_s -= store_news.READER_TIMEOUT_S
        self.news._look()
        self.assertEqual(self.news.patience(), watch.BRIEF)
        self.assertEqual(self.hurries_counts(), [1, 1])
        self.news._look()
        self.assertEqual(self.hurries_counts(), [1, 1])

    def test_a_peer_that_does_not_read_relieves_nobody(self) -> None:
        """No gateway reads the service any more.

        Sequence: the service turns the readers away; they go on telling their
        placements. Cause: whatever they told counted as a sign of reading.
        """
        self.news.on_seen(codec.Seen(7, 8))
        self.news._look()
        self.assertEqual(self.news.patience(), watch.BRIEF)

    def test_a_gateway_that_peers_do_not_know_counts_on_nobody(self) -> None:
        self.hear_reader()
        self.notices.is_registered = False
        self.news._look()
        self.assertEqual(self.news.patience(), watch.BRIEF)

    def test_a_reader_reads_and_says_so(self) -> None:
        self.notices.is_reader = True
        self.hear_reader()
        self.assertEqual(self.news.patience(), watch.BRIEF)
        self.assertEqual(self.notices.sent_count, 1)
        self.notices.told_at_s = time.monotonic()
        self.news._look()
        self.assertEqual(self.notices.sent_count, 1)

    def test_a_reader_that_the_service_left_does_not_beat(self) -> None:
        """A change is missed by a whole fleet.

        Sequence: the readers are cut off from the service, and not from their
        peers. Cause: they told that they read because they meant to.
        """
        self.notices.is_reader = True
        self.routes.age_s = store_news.READING_AGE_S + 0.1
        self.news._look()
        self.assertEqual(self.notices.sent_count, 0)
        self.assertFalse(self.news.seen().is_reading)

    def test_a_gateway_that_counts_on_readers_does_not_claim_to_read(
        self,
    ) -> None:
        """Gateways wait for each other.

        Sequence: a watch that waits long has just been answered. Cause: that
        counted as reading, though its next answer may be half a minute away.
        """
        self.hear_reader()
        self.assertFalse(self.news.seen().is_reading)

    def hear_reader(self) -> None:
        self.news.on_seen(codec.Seen(7, 8, is_reading=True))
        self.news._look()

    def hurries_counts(self) -> list[int]:
        return [one.hurries_count for one in (self.routes, self.servers)]


class HurryTest(unittest.TestCase):
    def test_an_answer_that_is_on_its_way_is_awaited(self) -> None:
        """A gateway on a slow link never gets a large change.

        Symptom: routes in force seconds late on a whole fleet, while its
        links are full. Sequence: a document of 1,700 routes takes most of a
        second to come; peers tell of it meanwhile. Cause: the watch counted
        as left without a word, was opened again, and the document was sent
        from its beginning each time.
        """
        routes = self.follow(watch.Patience(30.0, 30.0))
        builders_platform.wait_until(lambda: False, limit_s=0.4)
        self.store.faults = {"pause_in_body_s": 0.6}
        self.put(4)
        watched = routes.watched()
        assert watched is not None
        for _ in range(4):
            gevent.sleep(0.2)
            calls_count = len(self.store.calls)
            watched.hurry()
        came = builders_platform.wait_until(
            lambda: _version(routes) == 4, limit_s=0.6
        )
        self.assertTrue(came)
        self.assertLessEqual(len(self.store.calls), calls_count + 1)

    def setUp(self) -> None:
        self.store = platform_store.PlatformStoreStandin()
        self.store.start()
        self.addCleanup(self.store.close)
        self.put(3)

    def put(self, version: int) -> None:
        value = build.routes_value(version=version)
        self.store.put(documents.ROUTES_KEY, value)

    def follow(self, patience: watch.Patience) -> follower.RouteFollower:
        """Returns routes that are followed, once they are known."""
        client = build.store_client(self.store.port, wait_s=30.0)
        self.addCleanup(client.close)
        routes = follower.RouteFollower(
            client, documents.StoredDocuments(), patience=lambda: patience
        )
        routes.start()
        self.addCleanup(routes.close)
        builders_platform.wait_until(lambda: routes.current() is not None)
        return routes

    def hurry(self, routes: follower.RouteFollower) -> None:
        """Hurries the watch and checks that version 4 comes."""
        watched = routes.watched()
        assert watched is not None
        self.assertLess(watched.seen_revision, self.store.store.revision)
        watched.hurry()
        came = builders_platform.wait_until(
            lambda: _version(routes) == 4, limit_s=1.5
        )
        self.assertTrue(came)
        self.assertEqual(watched.changed_revision, self.store.store.revision)

    def test_a_watch_that_pauses_goes_on_when_hurried(self) -> None:
        """A gateway is the last to hear of a change after an outage.

        Sequence: the service refuses calls for long, the pause behind them
        has grown; it comes back, a peer sees a change. Cause: only a waiting
        call was broken off, not a pause.
        """
        with mock.patch.object(
            http_calls, "full_jitter_s", lambda count, **_: 30.0 * count
        ):
            routes = self.follow(watch.Patience(0.3, 30.0))
            self.store.faults = {"down": True}
            before = len(self.store.calls)
            builders_platform.wait_until(
                lambda: len(self.store.calls) > before + 1
            )
            gevent.sleep(0.3)
            self.store.faults = {}
            self.put(4)
            self.hurry(routes)

    def test_a_watch_left_without_a_word_goes_on_when_hurried(self) -> None:
        """A gateway serves old routes until its watch ends.

        Sequence: the service leaves a watch that waits; a change is made.
        Cause: nothing but its end opened the watch again.
        """
        routes = self.follow(watch.Patience(30.0, 30.0))
        builders_platform.wait_until(lambda: False, limit_s=0.4)
        self.store.hang_watches()
        self.put(4)
        self.hurry(routes)


def _version(routes: follower.RouteFollower) -> int:
    current = routes.current()
    return current.version if current else 0


if __name__ == "__main__":
    unittest.main()

"""Gateways of which a few read the store for all: real sockets, one process."""

import itertools
import unittest

import gevent
from gevent import socket

from mulberrywharf import clock, fleet
from mulberrywharf.peers import directory, notices, store_news
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import watch
from mulberrywharf.routes import follower
from tests import builders_platform
from tests import builders_routes as build

ZONE = "zone-a"
GATEWAYS_COUNT = 5
_PLAYS_COUNT = 3

IN_FORCE_S = 3.0
"""What operators are promised of a change that is made while the store leaves
watches without a word."""

IN_FORCE_WITHOUT_READERS_S = 5.0
"""The same while readers are gone, or not heard, from the same moment on."""


class _Gateway:
    """What a gateway runs to hear of changes of the routes."""

    def __init__(self, store_port: int, number: int):
        self.address = fleet.Address("127.0.0.1", _free_port())
        self.client = build.store_client(store_port, wait_s=30.0)
        self.peers = directory.PeerDirectory(
            self.client, f"vm-{number}", self.address, ZONE, "boot"
        )
        self.notices = notices.WorkNotices(
            self.address, self.peers, number, ZONE, clock.SystemClock()
        )
        self.news = store_news.StoreNews(self.notices, self._watches)
        self.routes = follower.RouteFollower(
            self.client,
            documents.StoredDocuments(),
            patience=self.news.patience_for_routes,
        )
        self.routes.on_change(lambda _: self.news.on_change())
        self._parts = [self.routes, self.peers, self.notices, self.news]

    def _watches(self) -> dict[str, store_news.Watched]:
        watched = self.routes.watched()
        return {"routes_revision": watched} if watched else {}

    def start(self) -> None:
        for part in self._parts:
            part.start()

    def close(self) -> None:
        for part in reversed(self._parts):
            part.close()
        self.client.close()

    @property
    def waits_long(self) -> bool:
        return self.news.patience() == store_news.LONG

    @property
    def version(self) -> int:
        current = self.routes.current()
        return current.version if current else 0


class StoreReadersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.versions = itertools.count(1)
        self.put()
        self.gateways = [
            _Gateway(self.store.port, number)
            for number in range(GATEWAYS_COUNT)
        ]
        for one in self.gateways:
            one.start()
            self.addCleanup(one.close)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    len(self.waiting_long()) == self.waiting_count()
                    and all(one.version for one in self.gateways)
                ),
                limit_s=10.0,
            )
        )
        # Calls that were to wait briefly are over by then.
        gevent.sleep(watch.BRIEF.silence_s + 0.5)

    def waiting_long(self) -> list[_Gateway]:
        return [one for one in self.gateways if one.waits_long]

    def waiting_count(self) -> int:
        return GATEWAYS_COUNT - directory.READERS_COUNT

    def put(self) -> int:
        version = next(self.versions)
        self.store.put(
            documents.ROUTES_KEY, build.routes_value(version=version)
        )
        return version

    def wait_for(
        self,
        version: int,
        among: list[_Gateway],
        limit_s: float = IN_FORCE_WITHOUT_READERS_S,
    ) -> None:
        self.assertTrue(
            builders_platform.wait_until(
                lambda: all(one.version == version for one in among),
                limit_s=limit_s,
            ),
            [one.version for one in among],
        )

    def watch_calls_count(self) -> int:
        return sum("/kv-watch" in str(call) for call in self.store.calls)

    def test_only_readers_open_their_watches_again(self) -> None:
        """Calls to the store grow with the fleet.

        Symptom: every gateway opens its watches every two seconds while
        nothing changes. Cause: each looked for itself.
        """
        before_count = self.watch_calls_count()
        quiet_s = 6.0
        gevent.sleep(quiet_s)
        opened_count = self.watch_calls_count() - before_count
        by_all_count = GATEWAYS_COUNT * quiet_s / watch.PROMPT_REOPEN_S
        self.assertLess(opened_count, 0.6 * by_all_count)
        self.assertGreaterEqual(opened_count, 2 * directory.READERS_COUNT)

    def test_a_change_that_no_watch_brought_comes_from_a_reader(self) -> None:
        """A whole fleet serves old routes for half a minute.

        Sequence: the store drops its history and leaves every waiting watch
        without a word; a change is made. Cause: the watches wait long, and
        nobody looks.
        """
        self.store.hang_watches()
        self.wait_for(self.put(), self.gateways, IN_FORCE_S)

    def test_a_change_comes_though_the_only_reader_has_just_asked(
        self,
    ) -> None:
        """Gateways refuse proper requests by old routes.

        The store turns one reader away, and leaves the watches just behind
        the other one's call.
        """
        readers = [one for one in self.gateways if not one.waits_long]
        readers[0].routes.close()
        left = [one for one in self.gateways if one is not readers[0]]
        for _ in range(_PLAYS_COUNT):
            # What was collecting a change is over by then.
            gevent.sleep(3.0)
            before_count = self.watch_calls_count()
            builders_platform.wait_until(
                lambda count=before_count: self.watch_calls_count() > count
            )
            gevent.sleep(0.05)
            self.store.hang_watches()
            self.wait_for(self.put(), left, IN_FORCE_S)

    def test_a_change_comes_though_the_readers_are_gone(self) -> None:
        """A fleet that lost its readers serves old routes for half a minute.

        Sequence: the readers are killed; the store leaves the others' watches
        without a word in the same moment, and a change is made. Cause: the
        others wait for news of readers that are gone.
        """
        left = self.waiting_long()
        for one in self.gateways:
            if one not in left:
                one.notices.close()
                one.news.close()
                one.routes.close()
        self.store.hang_watches()
        self.wait_for(self.put(), left)

    def test_a_change_reaches_whom_the_network_cut_from_peers(self) -> None:
        """A gateway that hears nobody serves old routes.

        Sequence: one gateway's peers no longer reach it; the store leaves its
        watch without a word, and a change is made. Cause: it went on waiting
        for news of readers that it could not hear.
        """
        deaf = self.waiting_long()[0]
        deaf.notices.close()
        self.store.hang_watches()
        self.wait_for(self.put(), [deaf])


def _free_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


if __name__ == "__main__":
    unittest.main()

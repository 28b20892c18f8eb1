"""Tests gateways of which a few read the store on behalf of all.

The gateways use real sockets and run in one process.
"""

import itertools
import unittest

import gevent
from gevent import socket

from mulberrywharf import clock, fleet
from mulberrywharf.peers import directory, notices, revision_exchange
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import watch
from mulberrywharf.routes import follower
from tests import builders_platform
from tests import builders_routes as build

ZONE = "zone-a"
GATEWAYS_COUNT = 5
_REPETITIONS_COUNT = 3

IN_FORCE_S = 3.0
"""Time within which operators are promised that a change is in force if it is
made while the store silently drops watches."""

IN_FORCE_WITHOUT_READERS_S = 5.0
"""The same bound if the readers stop or become unreachable at that moment."""


class _Gateway:
    """The parts of a gateway that follow changes of the routes."""

    def __init__(self, store_port: int, number: int):
        self.address = fleet.Address("127.0.0.1", _free_port())
        self.client = build.store_client(store_port, wait_s=30.0)
        self.peers = directory.PeerDirectory(
            self.client, f"vm-{number}", self.address, ZONE, "boot"
        )
        self.notices = notices.NoticeExchange(
            self.address, self.peers, number, ZONE, clock.SystemClock()
        )
        self.news = revision_exchange.RevisionExchange(
            self.notices, self._watches
        )
        self.routes = follower.RouteFollower(
            self.client,
            documents.StoredDocuments(),
            timeouts=self.news.routes_watch_timeouts,
        )
        self.routes.on_change(lambda _: self.news.on_change())
        self._parts = [self.routes, self.peers, self.notices, self.news]

    def _watches(self) -> dict[str, revision_exchange.WatchState]:
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
        return self.news.watch_timeouts() == revision_exchange.LONG_TIMEOUTS

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
        # Waits until the calls with a short wait have ended.
        gevent.sleep(watch.SHORT_TIMEOUTS.silence_timeout_s + 0.5)

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

    def test_only_readers_reopen_their_watches(self) -> None:
        """Guards against calls to the store that grow with the fleet.

        Every gateway reopened its watches every two seconds while nothing
        changed, because each read the store for itself.
        """
        before_count = self.watch_calls_count()
        quiet_s = 6.0
        gevent.sleep(quiet_s)
        opened_count = self.watch_calls_count() - before_count
        by_all_count = (
            GATEWAYS_COUNT * quiet_s / watch.SHORTEST_SILENCE_TIMEOUT_S
        )
        self.assertLess(opened_count, 0.6 * by_all_count)
        self.assertGreaterEqual(opened_count, 2 * directory.READERS_COUNT)

    def test_change_missed_by_all_watches_comes_from_a_reader(self) -> None:
        """Guards against a fleet that serves old routes for half a minute.

        The store discards its history and silently drops every waiting watch;
        then a change is made. The watches wait long, and no gateway reads the
        store.
        """
        self.store.hang_watches()
        self.wait_for(self.put(), self.gateways, IN_FORCE_S)

    def test_change_arrives_if_the_only_reader_has_just_asked(
        self,
    ) -> None:
        """Guards against valid requests refused because of old routes.

        The store rejects one reader, and drops the watches just after the
        other reader's call.
        """
        readers = [one for one in self.gateways if not one.waits_long]
        readers[0].routes.close()
        left = [one for one in self.gateways if one is not readers[0]]
        for _ in range(_REPETITIONS_COUNT):
            # Waits until the calls that were receiving a change have ended.
            gevent.sleep(3.0)
            before_count = self.watch_calls_count()
            builders_platform.wait_until(
                lambda count=before_count: self.watch_calls_count() > count
            )
            gevent.sleep(0.05)
            self.store.hang_watches()
            self.wait_for(self.put(), left, IN_FORCE_S)

    def test_change_arrives_if_the_readers_have_stopped(self) -> None:
        """Guards against old routes for half a minute after losing the readers.

        The readers are killed; the store silently drops the others' watches at
        the same moment, and a change is made. The others kept waiting for
        notices of the stopped readers.
        """
        left = self.waiting_long()
        for one in self.gateways:
            if one not in left:
                one.notices.close()
                one.news.close()
                one.routes.close()
        self.store.hang_watches()
        self.wait_for(self.put(), left)

    def test_change_reaches_a_gateway_partitioned_from_its_peers(self) -> None:
        """Guards against old routes on a gateway that receives no notices.

        One gateway's peers can no longer reach it; the store silently drops its
        watch, and a change is made. It kept waiting for notices of readers that
        could not reach it.
        """
        isolated = self.waiting_long()[0]
        isolated.notices.close()
        self.store.hang_watches()
        self.wait_for(self.put(), [isolated])


def _free_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


if __name__ == "__main__":
    unittest.main()

"""Tests gateways whose watches of the routes the store drops silently.

The gateways use real sockets and run in one process.
"""

import itertools
import random
import unittest

import gevent
from gevent import socket

from mulberrywharf import clock, fleet
from mulberrywharf.peers import directory, notices, revision_exchange
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import watch
from mulberrywharf.routes import follower, freshness
from tests import builders_platform
from tests import builders_routes as build

ZONE = "zone-a"
GATEWAYS_COUNT = 5
_REPETITIONS_COUNT = 3
_COMPARE = ("POST", "/kv-txn")

IN_FORCE_S = 2.0
"""Time within which operators are promised that a change is in force, whatever
happens to watches and to other gateways."""

CALLS_LIMIT_PER_S = 1.0
"""Of one gateway for the routes while nothing changes."""


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
            timeouts=lambda: watch.LONG_TIMEOUTS,
        )
        self.freshness = freshness.RoutesFreshness(
            self.client, self.routes, None
        )
        self.routes.on_change(lambda _: self.news.on_change())
        self._parts = [self.routes, self.peers, self.notices, self.freshness]

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
    def version(self) -> int:
        current = self.routes.current()
        return current.version if current else 0


class DroppedWatchesTest(unittest.TestCase):
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
                lambda: all(
                    one.version
                    and one.peers.gateways_count == GATEWAYS_COUNT
                    and one.freshness.age_s() < IN_FORCE_S
                    for one in self.gateways
                ),
                limit_s=10.0,
            )
        )

    def put(self) -> int:
        version = next(self.versions)
        self.store.put(
            documents.ROUTES_KEY, build.routes_value(version=version)
        )
        return version

    def check(self, version: int, among: list[_Gateway]) -> None:
        self.assertTrue(
            builders_platform.wait_until(
                lambda: all(one.version == version for one in among),
                limit_s=IN_FORCE_S,
            ),
            [one.version for one in among],
        )

    def test_calls_of_a_gateway_for_the_routes_are_bounded(self) -> None:
        """Guards against calls that a fleet of 340 can't afford."""

        def calls_count() -> int:
            return sum(
                any(kind in call[1] for kind in ("watch", "txn", "range"))
                for call in self.store.calls
            )

        before_count = calls_count()
        quiet_s = 6.0
        gevent.sleep(quiet_s)
        # Each gateway also reads all registrations, once or twice.
        allowed_count = GATEWAYS_COUNT * (quiet_s * CALLS_LIMIT_PER_S + 2)
        self.assertLessEqual(calls_count() - before_count, allowed_count)

    def test_change_missed_by_all_watches_is_found(self) -> None:
        """Guards against a fleet that serves old routes for half a minute.

        The store discards its history and silently drops every waiting watch;
        then a change is made.
        """
        self.store.hang_watches()
        self.check(self.put(), self.gateways)

    def test_change_is_found_right_behind_a_comparison(self) -> None:
        """Guards against requests refused because all have just asked."""
        for _ in range(_REPETITIONS_COUNT):
            gevent.sleep(random.uniform(1.0, 3.0))
            before_count = self.store.calls.count(_COMPARE)
            builders_platform.wait_until(
                lambda count=before_count: (
                    self.store.calls.count(_COMPARE) > count
                )
            )
            self.store.hang_watches()
            self.check(self.put(), self.gateways)

    def test_change_is_found_after_the_other_gateways_stopped(self) -> None:
        """Guards against a gateway that waits for gateways that have ended."""
        left, *stopped = self.gateways
        for one in stopped:
            one.close()
        self.store.hang_watches()
        self.check(self.put(), [left])

    def test_change_is_found_without_datagrams(self) -> None:
        """Guards against old routes on a gateway that receives no notices."""
        for one in self.gateways:
            one.notices.close()
        self.store.hang_watches()
        self.check(self.put(), self.gateways)

    def test_change_is_found_though_watches_skip_it(self) -> None:
        """Guards against routes that stay old until the next change."""
        self.store.hold_watches(0)
        self.check(self.put(), self.gateways)


def _free_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


if __name__ == "__main__":
    unittest.main()

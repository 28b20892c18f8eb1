"""Streams taken up at a gateway whose watch is behind, with real gateways.

Its other calls to the store work, but its watch missed that a newer software
version joined, at which streams have begun through other gateways.
"""

import unittest
from collections.abc import Sequence

import gevent

from tests import builders_out_of_step as build

BEHIND, OTHERS = build.BEHIND, build.OTHERS
OLDER, NEWER = build.OLDER, build.NEWER


class WatchBehindTest(build.OutOfStepCase):
    def take_up_beside_and_without_others(
        self, scene: str, services: Sequence[str]
    ) -> None:
        fleet = self.fleet
        fleet.release_to(services)
        first, second = fleet.begin_streams(services, sets_count=2)
        named, _ = fleet.take_up_both(f"{scene}, others alive", first)
        fleet.kill(OTHERS)
        fleet.take_up_both(f"{scene}, others killed", second)
        self.assert_none_joined()
        with self.subTest(f"{scene}: the older version's streams go on"):
            self.assertGreaterEqual(
                named.older_went_on_count, named.older_count / 2
            )

    def test_gateway_whose_watch_hears_nothing_joins_no_versions(self) -> None:
        """Guards against joins by a watch that skips changes."""
        services = self.fleet.next_services()
        self.fleet.store.hold_watches(self.fleet.view_ports[BEHIND])
        self.take_up_beside_and_without_others("watch held", services)

    def test_gateway_told_of_few_changes_joins_no_versions(self) -> None:
        """Guards against joins by an answer that holds only some changes."""
        services = self.fleet.next_services()
        self.fleet.store.slow_watches(
            self.fleet.view_ports[BEHIND], events_count=1, pause_s=0.3
        )
        for _ in range(10):
            for service in services:
                self.fleet.join(service, OLDER)
        self.take_up_beside_and_without_others("watch slow", services)

    def test_version_that_left_unseen_is_not_forgotten(self) -> None:
        """Guards against joins by a history lent without a passed version."""
        fleet = self.fleet
        with fleet.heartbeats():
            services = fleet.next_services()
            fleet.store.hold_watches(fleet.view_ports[BEHIND])
            fleet.release_to(services)
            first, second = fleet.begin_streams(services, sets_count=2)
            for service in services:
                fleet.part(service, NEWER)
            gevent.sleep(build.SEEN_S)
            fleet.kill(OTHERS)
            fleet.restart([0])
            # It asks for histories once it has read who the others are.
            self.assertTrue(fleet.wait_metric(0, "mulberry_peers_count"))
            fleet.take_up_both("version left, new gateway", first, number=0)
            fleet.take_up_both("version left, gateway behind", second)
        self.assert_none_joined()

    def test_watches_that_lose_their_history_join_no_versions(self) -> None:
        """Guards against joins while the store drops its history.

        A gateway that starts reads all records, while the watches of the others
        hear nothing.
        """
        fleet = self.fleet
        services = fleet.next_services()
        fleet.kill([0])
        for port in fleet.view_ports[1:]:
            fleet.store.stop_watches(port)
        for service in services:
            fleet.join(service, NEWER)
        fleet.restart([0])
        sets = fleet.begin_streams(services, [0], sets_count=3)
        fleet.take_up_both("watches stopped, others alive", sets[0])
        fleet.kill(OTHERS)
        fleet.take_up_both("watches stopped, others killed", sets[1])
        for port in fleet.view_ports:
            fleet.store.free_watches(port)
        fleet.store.hang_watches()
        fleet.store.drop_history()
        fleet.take_up_both("history dropped, others killed", sets[2])
        self.assert_none_joined()


if __name__ == "__main__":
    unittest.main()

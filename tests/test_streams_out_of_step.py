"""Streams taken up at a gateway that is out of step, with real gateways.

It missed that a newer software version joined, at which streams have begun
through other gateways.
"""

import time
import unittest
from collections.abc import Callable, Sequence

import gevent

from standins import datagram_relay
from tests import builders_out_of_step as build

BEHIND, OTHERS = build.BEHIND, build.OTHERS
OLDER, NEWER = build.OLDER, build.NEWER

STORE_MODES = ("silent", "cut", "refuse", "half-open-up", "half-open-down")
PEER_CUTS: dict[str, tuple[datagram_relay.Way, ...]] = {
    "both ways": datagram_relay.WAYS,
    "to it": ("to-first",),
    "from it": ("to-second",),
}
DROPPED_AFTER_S = 1.0
"""How long watches hear nothing before the history is dropped."""


class StoppedTest(build.OutOfStepCase):
    relayed_number = None

    def play(self, pause_s: float, *, are_others_killed: bool) -> None:
        services = self.next_services()
        began_s = time.monotonic()
        self.stop(BEHIND)
        self.release_to(services)
        names = self.begin_streams(services)
        if are_others_killed:
            self.kill(OTHERS)
        left_s = pause_s - (time.monotonic() - began_s)
        self.take_up_both(
            f"stopped for {pause_s} s, others "
            + ("killed" if are_others_killed else "alive"),
            names,
            wake_in_s=max(0.05, left_s),
        )
        if are_others_killed:
            self.restart(OTHERS)

    def test_gateway_that_stood_still_joins_no_versions(self) -> None:
        """Guards against joins by what a gateway knew before it stood still."""
        for are_others_killed in (False, True):
            for pause_s in (0.7, 1.4, 2.2, 3.5):
                self.play(pause_s, are_others_killed=are_others_killed)
        self.assert_newer_began()
        self.assert_none_joined()


class CutOffTest(build.OutOfStepCase):
    def play(
        self, scene: str, cut: Callable[[], None], heal: Callable[[], None]
    ) -> None:
        """Takes streams up beside the others, and some once those are killed."""
        services = self.next_services()
        cut()
        self.release_to(services)
        first = self.begin_streams(services)
        second = self.begin_streams(services, label="later")
        self.take_up_both(f"{scene}, others alive", first)
        self.kill(OTHERS)
        self.take_up_both(f"{scene}, others killed", second)
        heal()
        self.restart(OTHERS)

    def cut_store(self, mode: str) -> None:
        self.store_paths[BEHIND].set_faults(mode=mode)
        if mode == "refuse":
            self.store_paths[BEHIND].reset_all()

    def test_gateway_cut_off_from_the_others_joins_no_versions(self) -> None:
        """Guards against joins where no other gateway can be asked."""
        for scene, ways in PEER_CUTS.items():
            self.play(
                f"no datagrams {scene}",
                lambda ways=ways: self.cut_peers(ways),
                lambda: self.cut_peers(()),
            )
        self.assert_newer_began()
        self.assert_none_joined()

    def test_streams_go_on_at_a_gateway_cut_off_from_the_others(self) -> None:
        """Guards against refusals where one version could begin streams."""
        self.cut_peers(datagram_relay.WAYS)
        names = self.begin_streams(self.next_services())
        for one in self.take_up_both("one version, no datagrams", names):
            with self.subTest(one.scene):
                self.assertEqual(one.joined, [])
                self.assertGreaterEqual(
                    one.older_went_on_count, one.taken_count / 2
                )

    def test_gateway_cut_off_from_the_store_joins_no_versions(self) -> None:
        """Guards against joins by a list that can't be read anew."""
        for mode in STORE_MODES:
            self.play(
                f"store {mode}",
                lambda mode=mode: self.cut_store(mode),
                lambda: self.cut_store("pass"),
            )
        self.assert_newer_began()
        self.assert_none_joined()

    def test_gateway_cut_off_from_all_joins_no_versions(self) -> None:
        """Guards against joins where neither store nor gateways answer."""

        def cut(ways: Sequence[datagram_relay.Way], mode: str) -> None:
            self.cut_peers(ways)
            self.cut_store(mode)

        for mode, way in (
            ("silent", "both ways"),
            ("half-open-up", "from it"),
            ("half-open-down", "to it"),
        ):
            self.play(
                f"store {mode} and no datagrams {way}",
                lambda mode=mode, way=way: cut(PEER_CUTS[way], mode),
                lambda: cut((), "pass"),
            )
        self.assert_newer_began()
        self.assert_none_joined()


class WatchBehindTest(build.OutOfStepCase):
    relayed_number = None

    def assert_older_went_on(self, outcomes: Sequence[build.Outcome]) -> None:
        """Asserts that named streams of the version that it knows went on."""
        named = outcomes[0]
        with self.subTest(f"{named.scene}: the older version's go on"):
            self.assertEqual(named.older_went_on_count, named.older_count)

    def test_gateway_whose_watch_hears_nothing_joins_no_versions(self) -> None:
        """Guards against joins by a watch that skips changes."""
        services = self.next_services()
        self.store.hold_watches(self.view_ports[BEHIND])
        self.release_to(services)
        names = self.begin_streams(services)
        later = self.begin_streams(services, label="later")
        alive = self.take_up_both("watch held, others alive", names)
        self.kill(OTHERS)
        self.take_up_both("watch held, others killed", later)
        self.store.free_watches(self.view_ports[BEHIND])
        self.restart(OTHERS)
        self.assert_newer_began()
        self.assert_none_joined()
        self.assert_older_went_on(alive)

    def test_gateway_told_of_few_changes_joins_no_versions(self) -> None:
        """Guards against joins by an answer that holds only some changes."""
        services = self.next_services()
        port = self.view_ports[BEHIND]
        self.store.slow_watches(port, events_count=1, pause_s=0.3)
        for _ in range(10):
            for service in services:
                self.join(service, OLDER)
        self.release_to(services)
        names = self.begin_streams(services)
        later = self.begin_streams(services, label="later")
        alive = self.take_up_both("watch slow, others alive", names)
        self.kill(OTHERS)
        self.take_up_both("watch slow, others killed", later)
        self.store.free_watches(port)
        self.restart(OTHERS)
        self.assert_newer_began()
        self.assert_none_joined()
        self.assert_older_went_on(alive)

    def test_gateways_whose_history_is_dropped_join_no_versions(self) -> None:
        """Guards against joins while the store drops its history.

        One gateway starts and reads all records, while the watches of the
        others hear nothing.
        """
        services = self.next_services()
        self.kill([0])
        for port in self.view_ports[1:]:
            self.store.stop_watches(port)
        for service in services:
            self.join(service, NEWER)
        self.restart([0])
        names = self.begin_streams(services, [0])
        later = self.begin_streams(services, [0], label="later")
        last = self.begin_streams(services, [0], label="last")
        self.take_up_both("watches hear nothing, others alive", names)
        self.kill([0, 1, 2])
        self.take_up_both("watches hear nothing, others killed", later)
        for port in self.view_ports:
            self.store.free_watches(port)
        self.store.hang_watches()
        self.store.drop_history()
        self.take_up_both("history dropped, others killed", last)
        self.restart([0, 1, 2])
        self.assert_newer_began()
        self.assert_none_joined()

    def test_history_of_a_gateway_that_missed_a_version_joins_none(
        self,
    ) -> None:
        """Guards against joins by a history lent without the passed version."""
        with self.heartbeats():
            services = self.next_services()
            self.store.hold_watches(self.view_ports[BEHIND])
            self.release_to(services)
            names = self.begin_streams(services)
            later = self.begin_streams(services, label="later")
            for service in services:
                self.part(service, NEWER)
            gevent.sleep(build.SEEN_S)
            self.kill(OTHERS)
            self.restart([0])
            self.take_up_both(
                "passed version, at a new gateway", names, number=0
            )
            self.take_up_both("passed version, at the one behind", later)
            self.store.free_watches(self.view_ports[BEHIND])
            self.restart([1, 2])
        self.assert_newer_began()
        self.assert_none_joined()


if __name__ == "__main__":
    unittest.main()

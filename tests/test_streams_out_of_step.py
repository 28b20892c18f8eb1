"""Streams taken up at a gateway that is out of step, with real gateways.

It missed that a newer software version joined, at which streams have begun
through other gateways.
"""

import time
import unittest
from collections.abc import Callable, Sequence

import gevent
from gevent import socket

from standins import datagram_relay
from tests import builders_out_of_step as build
from tests import test_gateway

BEHIND, OTHERS = build.BEHIND, build.OTHERS
OLDER, NEWER = build.OLDER, build.NEWER

STOPPED_S = (0.7, 1.4, 2.2, 3.5)
KILLED_STOPPED_S = (1.4, 3.5)
STORE_MODES = ("silent", "cut", "refuse", "half-open-up", "half-open-down")
KILLED_STORE_MODES = ("silent", "half-open-down")
PEER_CUTS: dict[str, tuple[datagram_relay.Way, ...]] = {
    "both ways": datagram_relay.WAYS,
    "to it": ("to-first",),
    "from it": ("to-second",),
}


class OutOfStepTest(build.OutOfStepCase):
    def play_stopped(self, pause_s: float, *, are_others_killed: bool) -> None:
        fleet = self.fleet
        services = fleet.next_services()
        began_s = time.monotonic()
        fleet.stop(BEHIND)
        fleet.release_to(services)
        (names,) = fleet.begin_streams(services)
        if are_others_killed:
            fleet.kill(OTHERS)
        left_s = pause_s - (time.monotonic() - began_s)
        fleet.take_up_both(
            f"stopped for {pause_s} s, others "
            + ("killed" if are_others_killed else "alive"),
            names,
            wake_in_s=max(0.05, left_s),
        )
        if are_others_killed:
            fleet.restart(OTHERS)

    def test_gateway_that_stood_still_joins_no_versions(self) -> None:
        """Guards against joins by what a gateway knew before it stood still."""
        for pause_s in STOPPED_S:
            self.play_stopped(pause_s, are_others_killed=False)
        for pause_s in KILLED_STOPPED_S:
            self.play_stopped(pause_s, are_others_killed=True)
        self.assert_none_joined()

    def test_attempt_sent_before_a_restart_in_place_joins_no_versions(
        self,
    ) -> None:
        """Guards against joins by a server that replaced the one decided on."""
        fleet = self.fleet
        services = fleet.next_services()
        (names,) = fleet.begin_streams(services)
        paths = [fleet.path_to(service, OLDER) for service in services]
        for path in paths:
            path.set_faults(mode="freeze")
            path.reset_all()
            path.upstream_ports.clear()

        def replace() -> None:
            fleet.stop(BEHIND)
            for service in services:
                fleet.replace_in_place(service)
            for path in paths:
                path.set_faults(mode="pass")

        outcomes = fleet.take_up_both(
            "engine replaced in place",
            names,
            wake_in_s=0.5,
            before_wake=replace,
        )
        for service, path, one in zip(services, paths, outcomes, strict=True):
            with self.subTest(one.scene):
                self.assertTrue(path.upstream_ports)
                self.assertEqual(one.joined, [])
                self.assertEqual(self.status_of(service, OLDER), 421)
                self.assertEqual(self.status_of(service, NEWER), 200)

    def status_of(self, service: str, version: str) -> int:
        """Asks the newer engine as if it were one of a version."""
        engine = self.fleet.engine(service, NEWER)
        with socket.create_connection(("127.0.0.1", engine.port)) as sock:
            sock.sendall(
                test_gateway.request(
                    f"/{service}/x",
                    fields="x-mulberrywharf-expected-instance: "
                    f"{service}-{version}\r\n",
                )
            )
            return test_gateway.Answer(test_gateway.read_to_end(sock)).status

    def play_cut_off(
        self, scene: str, cut: Callable[[], None], *, kills_others: bool = False
    ) -> None:
        """Takes streams up beside the others and, if told, without them."""
        fleet = self.fleet
        services = fleet.next_services()
        cut()
        fleet.release_to(services)
        first, second = fleet.begin_streams(services, sets_count=2)
        fleet.take_up_both(f"{scene}, others alive", first)
        if kills_others:
            fleet.kill(OTHERS)
            fleet.take_up_both(f"{scene}, others killed", second)
        fleet.heal()

    def cut_store(self, mode: str) -> None:
        path = self.fleet.store_paths[BEHIND]
        path.set_faults(mode=mode)
        if mode == "refuse":
            path.reset_all()

    def test_gateway_cut_off_from_the_others_joins_no_versions(self) -> None:
        """Guards against joins where no other gateway can be asked."""
        for scene, ways in PEER_CUTS.items():
            self.play_cut_off(
                f"no datagrams {scene}",
                lambda ways=ways: self.fleet.cut_peers(ways),
            )
        self.assert_none_joined()

    def test_streams_go_on_at_a_gateway_cut_off_from_the_others(self) -> None:
        """Guards against refusals where one version could begin streams."""
        self.fleet.cut_peers(datagram_relay.WAYS)
        (names,) = self.fleet.begin_streams(self.fleet.next_services())
        for one in self.fleet.take_up_both("one version", names):
            with self.subTest(one.scene):
                self.assertEqual(one.joined, [])
                self.assertGreaterEqual(
                    one.older_went_on_count, one.taken_count / 2
                )

    def test_take_up_is_refused_before_its_deadline(self) -> None:
        """Guards against callers that wait for a store until it is too late."""
        (service, _) = self.fleet.next_services()
        name = f"{service}.begun"
        self.fleet.begin(BEHIND, name)
        self.cut_store("silent")
        began_s = time.monotonic()
        fields = "last-event-id: 2\r\nx-mulberrywharf-deadline-ms: 300\r\n"
        got = self.fleet.stream(BEHIND, f"next-{name}", fields)
        self.assertLess(time.monotonic() - began_s, 0.3)
        self.assertEqual(got.status, 503)
        self.assertIn(b"stream-not-resumable", got.body)
        self.assertIn(b'"outcome": "not-run"', got.body)

    def test_gateway_cut_off_from_the_store_joins_no_versions(self) -> None:
        """Guards against joins by a list that can't be read anew."""
        for mode in STORE_MODES:
            self.play_cut_off(
                f"store {mode}",
                lambda mode=mode: self.cut_store(mode),
                kills_others=mode in KILLED_STORE_MODES,
            )
        self.assert_none_joined()

    def test_unreadable_record_of_a_server_joins_no_versions(self) -> None:
        """Guards against joins where a gateway still uses such a server.

        It has been cut off from the store since before the record was
        overwritten, for longer than a version that has left is remembered.
        """
        fleet = self.fleet
        services = fleet.next_services()
        fleet.release_to(services)
        self.cut_store("silent")
        for service in services:
            fleet.overwrite(service, NEWER)
        gevent.sleep(build.HOLD_S + 1.0)
        (names,) = fleet.begin_streams(services, (BEHIND,))
        fleet.take_up_both("unreadable record", names, number=OTHERS[0])
        self.assert_none_joined()

    def test_gateway_cut_off_from_all_joins_no_versions(self) -> None:
        """Guards against joins where neither store nor gateways answer."""

        def cut(ways: Sequence[datagram_relay.Way], mode: str) -> None:
            self.fleet.cut_peers(ways)
            self.cut_store(mode)

        for mode, way in (
            ("silent", "both ways"),
            ("half-open-up", "from it"),
            ("half-open-down", "to it"),
        ):
            self.play_cut_off(
                f"store {mode} and no datagrams {way}",
                lambda mode=mode, way=way: cut(PEER_CUTS[way], mode),
            )
        self.assert_none_joined()


if __name__ == "__main__":
    unittest.main()

"""Tests that no version is inferred from a wrong belief of a stream's start."""

import base64
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent

from mulberrywharf.platform import documents
from tests import builders_out_of_step as build
from tests import builders_platform, test_gateway

BEHIND, OTHERS = build.BEHIND, build.OTHERS
OLDER, NEWER = build.OLDER, build.NEWER

_HEAD_BYTES = 60
"""An acceptance fits, the head of an answer doesn't."""

_LOST_COUNT = 8
_PAUSE_S = 1.0
"""Time after which a helper that was lost is asked again."""

_BEGUN_BEHIND_S = 8.3
_ROUTES_SEEN_S = 1.0
_TAKEN_UP_S = build.HOLD_S + 0.8


class BegunElsewhereTest(build.OutOfStepCase):
    def begin_by_second_helper(self, name: str) -> tuple[list[int], bytes]:
        """Begins a stream through the second of two helpers.

        The first one has begun it at another version, but its answer is lost.

        Returns:
            The gateways that were asked first, and what the caller has.
        """
        fleet = self.fleet
        service = name.partition(".")[0]
        engines = [fleet.engine(service, one) for one in (OLDER, NEWER)]
        proxies = [path._proxies[1] for path in fleet.peer_paths.values()]
        for engine in engines:
            engine.faults = {"pause_s": 0.1, "delay_s": 0.4}
        for proxy in proxies:
            proxy.reset_all()
            proxy.upstream_ports.clear()
            proxy.set_faults(reset_after_down_bytes=_HEAD_BYTES)
        beginning = gevent.spawn(fleet.begin, BEHIND, name)
        builders_platform.wait_until(lambda: bool(self.runs(name)))
        for engine in engines:
            if any(one.request_id == name for one in engine.arrivals):
                engine.faults = {**engine.faults, "refuse": True}
        first = []
        for number, path in fleet.peer_paths.items():
            proxy = path._proxies[1]
            if proxy.upstream_ports:
                first.append(number)
            else:
                proxy.set_faults(reset_after_down_bytes=None)
        beginning.join()
        for proxy in proxies:
            proxy.set_faults(reset_after_down_bytes=None)
        for engine in engines:
            engine.faults = {"pause_s": 0.1}
        return first, beginning.get()

    def runs(self, name: str) -> list[str]:
        """Returns the versions of the runs of a request, by time."""
        service = name.removeprefix("next-").partition(".")[0]
        found = [
            (float(run["at_s"]), version)
            for version in (OLDER, NEWER)
            for run in self.fleet.engine(service, version).runs
            if run["id"] == name
        ]
        return [version for _, version in sorted(found)]

    def test_run_whose_events_reached_nobody_names_no_version(self) -> None:
        """Guards against joins by what a helper kept of a lost answer."""
        fleet = self.fleet
        (service,) = fleet.next_services(1)
        fleet.release_to([service])
        fleet.cut([BEHIND], "refuse")
        begun: dict[str, list[str]] = {}
        joined = []
        for at in range(_LOST_COUNT):
            name = f"{service}.lost-{at}"
            first, received = self.begin_by_second_helper(name)
            if b"id: 2" not in received:
                continue
            begun[name] = self.runs(name)
            for number in first:
                fleet.take_up(number, name)
            if any(
                version != begun[name][-1]
                for version in self.runs(f"next-{name}")
            ):
                joined.append(name)
            gevent.sleep(_PAUSE_S)
        self.assertTrue(any(len(set(one)) > 1 for one in begun.values()))
        self.assertEqual(joined, [], begun)

    def test_version_begins_streams_behind_its_removal(self) -> None:
        """Guards against joins by streams that a late gateway begins.

        Its servers go on serving for a while once their records are gone.
        """
        fleet = self.fleet
        (service,) = fleet.next_services(1)
        fleet.store.hold_watches(fleet.view_ports[BEHIND])
        fleet.join(service, NEWER)
        gevent.sleep(build.SEEN_S)
        fleet.part(service, OLDER)
        gevent.sleep(_BEGUN_BEHIND_S)
        names = [f"{service}.late-{at}" for at in range(build.STREAMS_COUNT)]
        fleet._begin_at([BEHIND], names)
        gevent.sleep(_TAKEN_UP_S - _BEGUN_BEHIND_S)
        for name in names:
            fleet.take_up(0, name, is_named=False)
        self.assertEqual(fleet.joined(names), [])

    def test_version_is_held_as_long_as_callers_wait(self) -> None:
        """Guards against joins by callers without a deadline, which wait."""
        fleet = self.fleet
        (service,) = fleet.next_services(1)
        names = [f"{service}.held-{at}" for at in range(build.STREAMS_COUNT)]
        request = test_gateway.request

        def without_deadline(*args: Any, **fields: Any) -> bytes:
            made = request(*args, **fields)
            return made.replace(b"x-mulberrywharf-deadline-ms: 3000\r\n", b"")

        with mock.patch.object(test_gateway, "request", without_deadline):
            fleet._begin_at(OTHERS, names)
            fleet.join(service, NEWER)
            fleet.part(service, OLDER)
            gevent.sleep(_TAKEN_UP_S)
            for name in names:
                fleet.take_up(0, name, is_named=False)
        self.assertEqual(fleet.joined(names), [])

    def play_other_service(
        self, change: Callable[[dict[str, Any], str], None]
    ) -> None:
        """Takes streams up as a change sends them to another service."""
        fleet = self.fleet
        services = fleet.next_services()
        first, second = services
        fleet.join(second, NEWER)
        fleet.part(second, OLDER)
        gevent.sleep(build.HOLD_S + 1.0)
        names = [f"{first}.moved-{at}" for at in range(build.STREAMS_COUNT)]
        lost = [f"{first}.lost-{at}" for at in range(build.STREAMS_COUNT)]
        fleet._begin_at([0], names)
        fleet._begin_at([1], lost)
        key = documents.ROUTES_KEY.encode()
        document = json.loads(
            base64.b64decode(fleet.store.store.records[key].value)
        )
        document["version"] += 1
        (route,) = [
            one for one in document["routes"] if one["name"] == f"r-{first}"
        ]
        change(route, second)
        fleet.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        gevent.sleep(_ROUTES_SEEN_S)
        fleet.take_up_both("others alive", [names, names], number=2)
        with self.subTest("others alive"):
            self.assertEqual(fleet.joined(names), [])
        fleet.kill([1])
        fleet.take_up_both("others killed", [lost], number=2)
        with self.subTest("gateway of the streams killed, Resumes"):
            self.assertEqual(fleet.joined(lost), [])

    def test_stream_of_a_moved_route_goes_on_at_no_other_version(self) -> None:
        """Guards against joins by the versions of another service."""

        def move(route: dict[str, Any], second: str) -> None:
            route["service"] = second

        self.play_other_service(move)

    def test_stream_of_a_split_route_goes_on_at_no_other_version(self) -> None:
        """Guards against joins by the service that an attempt's id chooses."""

        def divide(route: dict[str, Any], second: str) -> None:
            route["traffic-split"] = [
                {"service": one, "weight": 50}
                for one in (route["service"], second)
            ]

        self.play_other_service(divide)


if __name__ == "__main__":
    unittest.main()

"""Tests of lost paths beside other failures, with real gateways."""

import collections
import itertools
import json
import signal
import time
import unittest
from collections.abc import Iterator, Sequence

import gevent

from mulberrywharf.platform import documents
from mulberrywharf.policy import lost_path
from standins.platform_server import PlatformServerStandin
from tests import builders_paths, builders_platform
from tests import builders_routes as build

EVERY_KIND = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x")
PLAIN = ("/safe/x", "/unsafe/x")
STREAMS = ("/stream/x", "/once/x")
HANDED_OVER = "mulberry_handovers_total"
PATHS_LOST = "mulberry_paths_lost"
FIRST_SECONDS_S = 1.0
"""Time for a gateway to notice that its path is lost."""

_EVENTS = tuple(range(1, 6))
_TRIES_COUNT = 40


def event_numbers(body: bytes) -> list[int]:
    """Returns the numbers of the events in a stream's body."""
    return [
        int(line.rpartition(b" ")[2])
        for line in body.split(b"\n")
        if line.startswith(b"data: ")
    ]


class FailureCase(builders_paths.PathCase):
    def lose(
        self, numbers: Sequence[int], mode: str, server_ids: Sequence[str] = ()
    ) -> None:
        """Cuts gateways off, and lets their callers notice."""
        self.cut(numbers, mode, server_ids or None)
        self.call_all(numbers, EVERY_KIND, 2)
        gevent.sleep(FIRST_SECONDS_S)

    def assert_served(
        self, numbers: Sequence[int], paths: Sequence[str] = EVERY_KIND
    ) -> None:
        tried = self.call_all(numbers, paths, 3)
        failed = [
            (number, one.path, one.status)
            for number, made in tried.items()
            for one in made
            if one.status != 200
        ]
        self.assertEqual(failed, [])

    def servers(self) -> tuple[PlatformServerStandin, ...]:
        return (self.plain, self.prefill, *self.decodes)

    def runs_by_id(self) -> collections.Counter[str]:
        """Counts the runs of each request over all servers."""
        return collections.Counter(
            run["id"] for server in self.servers() for run in server.runs
        )


class ZoneTest(FailureCase):
    """All gateways of a zone lost their paths, so none near could help."""

    def test_callers_of_a_whole_zone_are_served_by_other_zones(self) -> None:
        self.start_gateways(6, ("zone-a", "zone-b", "zone-c"))
        whole_zone = (0, 3)
        self.lose(whole_zone, "silent")
        self.assert_served(whole_zone)
        for number in whole_zone:
            self.assertGreater(self.metric(number, HANDED_OVER), 0)


class PartTest(FailureCase):
    """A gateway reached a part of the servers only."""

    def test_one_service_is_handed_over_and_the_other_is_not(self) -> None:
        self.start_gateways(2)
        self.lose([0], "silent", ["plain-1"])
        self.assert_served([0])
        self.assertEqual(self.metric(0, PATHS_LOST), 1)
        handed_over = self.metric(0, HANDED_OVER)
        self.assert_served([0], STREAMS)
        self.assertEqual(self.metric(0, HANDED_OVER), handed_over)

    def test_without_decode_engines_prompts_are_handed_over(self) -> None:
        self.start_gateways(2)
        self.lose([0], "refuse", ["dec-1", "dec-2"])
        self.assert_served([0])
        self.assertGreater(self.metric(0, HANDED_OVER), 0)

    def test_without_prefill_engines_prompts_are_handed_over(self) -> None:
        self.start_gateways(2)
        self.cut([0], "refuse", ["pre-1"])
        fields = builders_paths.LONG_PROMPT_FIELDS
        for _ in range(4):
            self.call(0, "/stream/x", fields)
        gevent.sleep(FIRST_SECONDS_S)
        before_count = self.metric(0, HANDED_OVER)
        for _ in range(3):
            self.assertEqual(self.call(0, "/stream/x", fields).status, 200)
        self.assertEqual(self.metric(0, HANDED_OVER), before_count + 3)

    def test_failed_servers_are_not_taken_for_a_lost_path(self) -> None:
        """Guards against requests that wander between gateways in vain."""
        self.start_gateways(3)
        for number in range(3):
            self.cut([number], "refuse", ["plain-1"])
        self.call_all(range(3), PLAIN, 3)
        gevent.sleep(FIRST_SECONDS_S)
        tried = self.call_all(range(3), PLAIN, 3)
        statuses = {one.status for made in tried.values() for one in made}
        self.assertEqual(statuses, {503})
        took_s = max(one.took_s for made in tried.values() for one in made)
        self.assertLess(took_s, 0.5)
        lost = [self.metric(number, PATHS_LOST) for number in range(3)]
        self.assertEqual(lost, [0.0] * 3)
        self.assert_served(range(3), STREAMS)


class SeriesTest(FailureCase):
    """A second cut came before the first was forgotten."""

    def test_cuts_in_series_are_each_survived(self) -> None:
        self.start_gateways(3)
        for numbers, mode in (
            ([0], "silent"),
            ([0, 1], "refuse"),
            ([1], "cut"),
            ([0, 2], "silent"),
        ):
            self.lose(numbers, mode)
            self.assert_served(numbers)
            self.cut(range(3), "pass")
            self.assert_served(range(3))
            gevent.sleep(lost_path.RETURN_LIMIT_S)

    def test_return_to_a_lost_path_is_given_up_behind_one_failure(
        self,
    ) -> None:
        """Guards against requests lost on a path whose return had failed."""
        self.start_gateways(2)
        self.lose([0], "cut")
        self.cut([0], "pass")
        # The path is returning then, and no request has used it.
        gevent.sleep(1.5)
        self.cut([0], "cut")
        self.assert_served([0], ["/stream/x"])
        gevent.sleep(lost_path.RETURN_LIMIT_S)
        self.assert_served([0], ["/once/x"])

    def test_own_path_is_used_again(self) -> None:
        self.start_gateways(2)
        self.lose([0], "refuse")
        self.cut([0], "pass")

        def is_back() -> bool:
            self.call_all([0], EVERY_KIND, 1)
            return self.metric(0, PATHS_LOST) == 0

        self.assertTrue(builders_platform.wait_until(is_back, 10.0))
        before_count = self.metric(0, HANDED_OVER)
        self.assert_served([0])
        self.assertEqual(self.metric(0, HANDED_OVER), before_count)


class BesideTest(FailureCase):
    """Lost paths beside a crowd, a release and a silent store."""

    def test_crowd_at_gateways_without_a_path_is_served(self) -> None:
        self.start_gateways(3)
        self.lose([0, 1], "silent")
        tried = self.call_all([0, 1], PLAIN, _TRIES_COUNT)
        for made in tried.values():
            self.assertGreaterEqual(builders_paths.served_share(made), 0.95)

    def test_servers_that_are_replaced_meanwhile_are_used(self) -> None:
        self.start_gateways(2)
        self.lose([0], "refuse")
        self.server("plain-2", "plain")
        self.store.delete(documents.SERVERS_PREFIX + "plain-1")
        gevent.sleep(0.5)
        tried = self.call_all([0], PLAIN, 3)[0]
        self.assertEqual(builders_paths.served_share(tried), 1.0)
        receipts = {
            one.headers["x-mulberrywharf-response-signature"] for one in tried
        }
        self.assertEqual(receipts, {"plain-2"})

    def test_silent_store_does_not_keep_gateways_from_helping(self) -> None:
        self.start_gateways(2)
        self.store.faults = {"silent": 30.0}
        self.lose([0], "silent")
        self.assert_served([0])

    def test_server_that_leaves_by_a_relayed_answer_gets_nothing_more(
        self,
    ) -> None:
        """Guards against requests to a server whose leaving was passed on."""
        self.start_gateways(2)
        self.lose([0], "refuse")
        self.plain.faults = {"leaving": True}
        told = self.call(0, "/safe/x")
        self.assertEqual(told.headers.get("server-leaving"), "1")
        self.cut([0], "pass")
        gevent.sleep(lost_path.RETURN_LIMIT_S + FIRST_SECONDS_S)
        arrived_count = len(self.plain.arrivals)
        self.call_all([0], PLAIN, 3)
        self.assertEqual(len(self.plain.arrivals), arrived_count)

    def test_newer_routes_of_the_first_gateway_hold(self) -> None:
        """Guards against routes that go back for a caller."""
        self.start_gateways(2)
        self.lose([0], "refuse")
        self.views[1].is_held = True
        document = build.routes_document(2)
        document["routes"] = document["routes"][:1]
        document["routes"][0]["prefix"] = "/new/"
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.call(0, "/new/x").status == 200
            )
        )
        self.assertEqual(self.call(1, "/new/x").status, 404)


class ReleaseTest(FailureCase):
    """Gateways stopped for a release while requests were handed over."""

    def setUp(self) -> None:
        super().setUp()
        self.start_gateways(4)
        self.lose([0], "refuse")
        for engine in self.decodes:
            engine.faults = {"pause_s": 0.15}

    def stop(self, number: int) -> None:
        self.gateways[number].signal(signal.SIGTERM)
        pool = gevent.get_hub().threadpool
        pool.apply(self.gateways[number].wait)

    def test_helpers_that_stop_in_turn_cost_no_request(self) -> None:
        def call_until_stopped() -> None:
            while not stopped.is_set():
                tried.extend(self.call_all([0], EVERY_KIND, 1)[0])

        tried: list[builders_paths.Tried] = []
        stopped = gevent.event.Event()
        callers = [gevent.spawn(call_until_stopped) for _ in range(3)]
        for number in (1, 2):
            gevent.sleep(0.5)
            self.stop(number)
        gevent.sleep(0.5)
        stopped.set()
        gevent.joinall(callers, raise_error=True)
        failed = [one for one in tried if one.status != 200]
        self.assertEqual(failed, [])
        events = {
            event_numbers(one.body) == list(_EVENTS)
            for one in tried
            if one.path in STREAMS
        }
        self.assertEqual(events, {True})

    def test_stream_ends_whole_while_its_first_gateway_stops(self) -> None:
        stream = gevent.spawn(
            self.call, 0, "/once/x", builders_paths.SHORT_PROMPT_FIELDS
        )
        gevent.sleep(0.4)
        self.stop(0)
        tried = stream.get(timeout=10)
        self.assertEqual(tried.status, 200)
        self.assertEqual(event_numbers(tried.body), list(_EVENTS))


class HelperTest(FailureCase):
    """Helpers failed while they served requests of another gateway."""

    def helping(self) -> list[int]:
        """Returns the gateways that serve a handed over request now."""
        return [
            number
            for number in range(1, len(self.gateways))
            if self.metric(number, "mulberry_helped_in_flight_count")
        ]

    def test_stream_goes_on_without_a_gap_when_its_helper_is_killed(
        self,
    ) -> None:
        self.start_gateways(3)
        self.lose([0], "refuse")
        for engine in self.decodes:
            engine.faults = {"pause_s": 0.25}
        stream = gevent.spawn(
            self.call, 0, "/stream/x", builders_paths.SHORT_PROMPT_FIELDS
        )
        gevent.sleep(0.6)
        (helper,) = self.helping()
        self.gateways[helper].signal(signal.SIGKILL)
        tried = stream.get(timeout=10)
        self.assertEqual(tried.status, 200)
        self.assertEqual(event_numbers(tried.body), list(_EVENTS))
        runs = [run for engine in self.decodes for run in engine.runs]
        self.assertIn(tried.request_id, {run["id"] for run in runs})

    def assert_cut_answer_is_reset(self, killed: Sequence[int]) -> None:
        self.start_gateways(2)
        self.lose([0], "refuse")
        cut = {"framing": "none", "cut_at": -20, "end": "silent"}
        for engine in self.decodes:
            engine.faults = {"raw": cut}
        stream = gevent.spawn(
            self.call, 0, "/once/x", builders_paths.SHORT_PROMPT_FIELDS
        )
        gevent.sleep(0.6)
        self.assertEqual(self.helping(), [1])
        for number in killed:
            self.gateways[number].signal(signal.SIGKILL)
        self.assertEqual(stream.get(timeout=10).status, 0)

    def test_answer_without_framing_is_reset_if_its_helper_is_killed(
        self,
    ) -> None:
        """Guards against a cut answer that looks complete behind the hop."""
        self.assert_cut_answer_is_reset([1])

    def test_answer_without_framing_is_reset_if_the_gateway_is_killed(
        self,
    ) -> None:
        """Guards against a cut answer that looks complete behind the hop."""
        self.assert_cut_answer_is_reset([0])

    def test_answer_without_framing_is_reset_if_both_are_killed(self) -> None:
        """Guards against a cut answer that looks complete behind the hop."""
        self.assert_cut_answer_is_reset([1, 0])

    def test_stream_on_the_own_path_goes_on_through_a_helper(self) -> None:
        self.start_gateways(2)
        self.call_all(range(2), EVERY_KIND, 1)
        for engine in self.decodes:
            engine.faults = {"pause_s": 0.25}
        stream = gevent.spawn(
            self.call, 0, "/stream/x", builders_paths.SHORT_PROMPT_FIELDS
        )
        gevent.sleep(0.6)
        self.reset([0])
        tried = stream.get(timeout=10)
        self.assertEqual(tried.status, 200)
        self.assertEqual(event_numbers(tried.body), list(_EVENTS))
        self.assertGreater(self.metric(0, HANDED_OVER), 0)

    def test_frozen_helper_costs_no_request_that_it_did_not_accept(
        self,
    ) -> None:
        self.start_gateways(3)
        self.lose([0], "refuse")
        self.gateways[1].signal(signal.SIGSTOP)
        try:
            tried = self.call_all([0], PLAIN, 6)[0]
        finally:
            self.gateways[1].signal(signal.SIGCONT)
        self.assertEqual(builders_paths.served_share(tried), 1.0)
        gevent.sleep(0.5)
        runs = self.runs_by_id()
        self.assertEqual({runs[one.request_id] for one in tried}, {1})

    def test_requests_run_once_whatever_becomes_of_the_helpers(self) -> None:
        """Guards against second runs, and "not run" for what has run."""
        self.start_gateways(4)
        self.lose([0], "refuse")
        self.plain.faults = {"delay_s": 0.05}
        ended = gevent.event.Event()
        harm = gevent.spawn(self._harm_helpers, ended)
        tried = self.call_all([0], ["/unsafe/x"], _TRIES_COUNT)[0]
        ended.set()
        harm.join()
        gevent.sleep(0.5)
        runs = self.runs_by_id()
        for one in tried:
            allowed = {200: (1,), 503: (0,), 502: (0, 1), 504: (0, 1)}
            self.assertIn(runs[one.request_id], allowed[one.status], one.status)
        self.assertGreater(builders_paths.served_share(tried), 0.5)

    def _harm_helpers(self, ended: gevent.event.Event) -> None:
        """Freezes each helper in turn, and kills one of them."""
        for turn, number in zip(
            itertools.count(), self._in_turn(), strict=False
        ):
            if ended.is_set():
                return
            if turn == 2:
                self.gateways[number].signal(signal.SIGKILL)
                continue
            if self.gateways[number].poll() is not None:
                continue
            self.gateways[number].signal(signal.SIGSTOP)
            ended.wait(0.3)
            self.gateways[number].signal(signal.SIGCONT)
            ended.wait(0.2)

    def _in_turn(self) -> Iterator[int]:
        return itertools.cycle(range(1, len(self.gateways)))

    def test_caller_that_leaves_frees_the_server_behind_a_helper(self) -> None:
        self.start_gateways(2)
        self.lose([0], "refuse")
        for engine in self.decodes:
            engine.faults = {"pause_s": 0.2}
        caller = gevent.spawn(
            self.call, 0, "/stream/x", builders_paths.SHORT_PROMPT_FIELDS
        )
        gevent.sleep(0.5)
        caller.kill()
        left_s = time.monotonic()
        in_flight = "mulberry_helped_in_flight_count"
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.metric(1, in_flight) == 0, 5.0
            )
        )
        self.assertLess(time.monotonic() - left_s, 0.5)


if __name__ == "__main__":
    unittest.main()

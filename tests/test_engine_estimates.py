"""Estimates of one gateway about engines: caches, loads and queues."""

import unittest

from mulberrywharf import clock, fleet
from mulberrywharf.forwarding import (
    engine_estimates,
    engine_loads,
    prompt_parts,
    request,
    server_tracker,
)
from mulberrywharf.peers import notice_codec
from mulberrywharf.policy import (
    load_estimates,
    part_caches,
    part_homes,
    prompt_placement,
)
from mulberrywharf.routes import table
from tests import builders_routes as build

_MEMORY_TOKENS = 400_000


_LOCAL = build.server("near", availability_zone="zone-a", role="decode")
_REMOTE = build.server("far", availability_zone="zone-b", role="decode")
_PLAIN = build.server("plain", availability_zone="zone-a")


class _Notices:
    gateways_count = 30

    def receives_notices_for(self, server: fleet.Server) -> bool:
        return server.availability_zone == "zone-a"

    def add_placement(self, *_: object) -> None:
        """Sends no notice."""


def _estimates_at(
    known: tuple[fleet.Server, ...],
) -> tuple[engine_estimates.EngineEstimates, server_tracker.ServerTracker]:
    tracker = server_tracker.ServerTracker("zone-a")
    estimates = engine_estimates.EngineEstimates(
        tracker, clock.SystemClock(), _Notices(), lambda _: _MEMORY_TOKENS
    )
    estimates.set_engines(known)
    return estimates, tracker


class HomeCacheEstimateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimates, _ = _estimates_at((_LOCAL, _REMOTE))

    def cached_tokens(self, server: fleet.Server, *, is_home: bool) -> int:
        prompt = build.prompt(shared_tokens=13_000, own_tokens=3_000)
        parts = prompt_parts.chain_of(prompt)
        view = self.estimates.view(server, parts, 1.0, is_home=is_home)
        return view.cached_tokens

    def announce_part(self, part_key: int) -> None:
        """Applies a notice that the local engine caches a part."""
        key = notice_codec.hash_server_start(_LOCAL.start)
        part = part_caches.HeldPart(part_key, 1_000)
        placement = notice_codec.Placement(key, 0.1, (part,))
        self.estimates.on_notice(notice_codec.Notice(1, 1, (placement,)))

    def test_remote_homes_are_assumed_to_have_the_local_hit_rate(self) -> None:
        """Guards against each availability zone prefilling each part again.

        Gateways get notices of their own zone only. Parts without a notice
        counted as cached nowhere and were prefilled at any idle engine: a third
        of all prefilled tokens were of parts that another engine held.
        """
        for _ in range(10):
            for part_key in range(20):
                self.announce_part(part_key)
        self.assertGreater(self.cached_tokens(_REMOTE, is_home=True), 12_000)
        self.assertEqual(self.cached_tokens(_REMOTE, is_home=False), 0)

    def test_placements_away_from_home_do_not_count_as_hits(self) -> None:
        away = [
            part_key
            for part_key in range(2_000)
            if part_homes.home_engines_of(part_key, (_LOCAL, _REMOTE), 1)
            == [_REMOTE]
        ]
        self.assertGreater(len(away), 100)
        for part_key in away:
            self.announce_part(part_key)
            self.announce_part(part_key)
        self.assertEqual(self.cached_tokens(_REMOTE, is_home=True), 0)

    def record_prompt_at_home(self, number: int, shared_id: str) -> None:
        """Records a prompt whose longest part is new and unshared."""
        parts = (
            request.PromptPart(shared_id, 2_000),
            request.PromptPart(f"own-{number}", 6_000),
        )
        prompt = request.Prompt("m", 8_000, 100, parts)
        plan = prompt_placement.plans(
            prompt_placement.PromptShape(8_000, 2_000, 18_432.0, 46e9),
            self.estimates.speeds("service"),
            [],
            [prompt_placement.EngineView(_LOCAL)],
        )[0]
        self.estimates.record_placement(
            build.routed_request(0.0, prompt=prompt),
            table.Service("service", 100, build.ENGINE),
            plan,
        )

    def test_unshared_parts_do_not_count_as_misses(self) -> None:
        """Guards against homes in other zones being assumed empty.

        Prompts with an unshared part longer than the shared one go to the home
        of the shared part. The longest part of all was checked for a hit; an
        unshared part is always a miss, so that cached parts were prefilled
        again.
        """
        at_home = next(
            shared_id
            for shared_id in map(str, range(100))
            if part_homes.home_engines_of(
                part_caches.chain([(shared_id, 1)])[0].held.key,
                (_LOCAL, _REMOTE),
                1,
            )
            == [_LOCAL]
        )
        for number in range(200):
            self.record_prompt_at_home(number, at_home)
        self.assertGreater(self.cached_tokens(_REMOTE, is_home=True), 12_000)

    def test_remote_homes_are_assumed_empty_while_parts_are_new(self) -> None:
        """Guards against late first prompts after a start of the fleet.

        All caches are empty then. Homes were always assumed to hold their
        parts, whatever the actual hits, so decode engines got the prefills and
        ran them at half the speed.
        """
        for part_key in range(20):
            self.announce_part(part_key)
        self.assertEqual(self.cached_tokens(_REMOTE, is_home=True), 0)


class RelayedLoadTest(unittest.TestCase):
    """Load reports of engines that one gateway relays to others."""

    def setUp(self) -> None:
        self.reporting = _estimates_at((_LOCAL, _REMOTE, _PLAIN))
        self.receiving = _estimates_at((_LOCAL, _REMOTE, _PLAIN))

    def running_share(
        self, estimates: engine_estimates.EngineEstimates
    ) -> float:
        return estimates.view(_LOCAL, (), 1.0).running_share

    def test_a_load_report_reaches_other_gateways(self) -> None:
        """Guards against prompts sent to engines whose batch is full.

        Each of 80 gateways gets an answer with the engine's load every five
        seconds, but batches fill within one. Only the gateway that got the
        answer knew the load.
        """
        estimates, tracker = self.reporting
        now_s = clock.SystemClock().monotonic_s()
        tracker.reported(_LOCAL.start, request.ReportedLoad(6, 3, 6), now_s)
        loads = estimates.loads.recent_reports("zone-a")
        self.assertEqual([load.requests_count for load in loads], [9])
        self.assertEqual(estimates.loads.recent_reports("zone-b"), ())
        receiving, _ = self.receiving
        self.assertEqual(self.running_share(receiving), 0.0)
        receiving.on_notice(notice_codec.Notice(1, 1, (), loads=loads))
        self.assertGreater(self.running_share(receiving), 1.0)

    def test_a_stated_pace_reaches_other_gateways_with_its_age(self) -> None:
        """Guards against paces that count as new wherever they arrive."""
        estimates, tracker = self.reporting
        now_s = clock.SystemClock().monotonic_s()
        load = request.ReportedLoad(0, 0, 6, 2.0)
        tracker.reported(_LOCAL.start, load, now_s - 0.3)
        tracker.reported(_PLAIN.start, load, now_s - 0.3)
        loads = estimates.loads.recent_reports("zone-a")
        self.assertEqual([load.pace for load in loads], [2.0, 2.0])
        receiving, tracker = self.receiving
        receiving.on_notice(notice_codec.Notice(1, 1, (), loads=loads))
        for server in (_LOCAL, _PLAIN):
            stated = tracker.paces.last(server.start, now_s - 1.0)
            assert stated is not None
            self.assertEqual(stated[0], 2.0)
            self.assertAlmostEqual(stated[1], now_s - 0.3, delta=0.1)

    def test_loads_of_plain_servers_without_pace_are_not_relayed(self) -> None:
        estimates, tracker = self.reporting
        now_s = clock.SystemClock().monotonic_s()
        tracker.reported(_PLAIN.start, request.ReportedLoad(3, 0, 6), now_s)
        self.assertEqual(estimates.loads.recent_reports("zone-a"), ())

    def test_an_older_relayed_load_does_not_replace_a_newer_one(self) -> None:
        receiving, tracker = self.receiving
        now_s = clock.SystemClock().monotonic_s()
        tracker.reported(_LOCAL.start, request.ReportedLoad(0, 0, 6), now_s)
        old = notice_codec.Load(
            notice_codec.hash_server_start(_LOCAL.start), 9, 0.4
        )
        receiving.on_notice(notice_codec.Notice(1, 1, (), loads=(old,)))
        self.assertEqual(self.running_share(receiving), 0.0)

    def test_old_loads_are_not_relayed(self) -> None:
        estimates, tracker = self.reporting
        old_s = clock.SystemClock().monotonic_s()
        old_s -= engine_loads.RELAYED_LOAD_MAX_AGE_S + 0.1
        tracker.reported(_LOCAL.start, request.ReportedLoad(6, 3, 6), old_s)
        self.assertEqual(estimates.loads.recent_reports("zone-a"), ())


class LoadReportDecayTest(unittest.TestCase):
    """Load reports of engines lose weight with their age."""

    def setUp(self) -> None:
        self.engines = tuple(
            build.server(f"e{n}", availability_zone="zone-a", role="decode")
            for n in range(4)
        )
        self.estimates, self.tracker = _estimates_at(self.engines)
        self.now_s = clock.SystemClock().monotonic_s()

    def report(self, number: int, count: int, age_s: float = 0.0) -> None:
        self.tracker.note_requests_count(
            self.engines[number].start, count, self.now_s - age_s
        )

    def running_share(self, number: int) -> float:
        return self.estimates.view(self.engines[number], (), 1.0).running_share

    def test_an_engine_without_recent_report_gets_the_mean_load(self) -> None:
        """Guards against stalled streams at an engine without recent report.

        Engines run thirty streams each, and one sends no answer for two
        seconds. Its known load decayed to zero, so all gateways took it for
        idle and sent it their prefills, which run between its streams' tokens.
        """
        for number in range(3):
            self.report(number, 4)
        self.report(3, 4, age_s=5.0)
        reported = self.running_share(0)
        self.assertGreater(reported, 0.0)
        self.assertAlmostEqual(self.running_share(3), reported, places=1)

    def test_an_engine_that_just_reported_idle_is_idle(self) -> None:
        for number in range(3):
            self.report(number, 6)
        self.report(3, 0)
        self.assertLess(self.running_share(3), 0.1)

    def test_without_recent_reports_no_engine_is_busy(self) -> None:
        for number in range(4):
            self.report(number, 6, age_s=20.0)
        self.assertLess(self.running_share(0), 0.01)


class RemoteZoneLoadTest(unittest.TestCase):
    """Engines of other zones, where notices stay within a zone."""

    def setUp(self) -> None:
        self.estimates, self.tracker = _estimates_at((_LOCAL, _REMOTE))
        self.now_s = clock.SystemClock().monotonic_s()

    def view(self, server: fleet.Server) -> prompt_placement.EngineView:
        return self.estimates.view(server, (), 1.0)

    def make_busy(self, server: fleet.Server, requests_count: int) -> None:
        load = request.ReportedLoad(requests_count, 0, server.slots_count)
        self.tracker.reported(server.start, load, self.now_s)

    def test_remote_engines_get_the_mean_load_of_local_ones(self) -> None:
        """Guards against streams that pause too long in a large fleet.

        Gateways get notices of their own zone only. They took their own few
        prompts for the whole load of engines in other zones, which looked idle
        and got their prefills, between the tokens of running streams; gateways
        there did the same in return. With 60 gateways a fifth of the streams
        paused too long, with 18 at the same load per gateway a twentieth.
        """
        self.make_busy(_LOCAL, 4)
        local, remote = self.view(_LOCAL), self.view(_REMOTE)
        self.assertGreater(local.running_share, 0.0)
        self.assertAlmostEqual(
            remote.running_share, local.running_share, places=2
        )

    def test_remote_queues_get_the_mean_length_of_local_ones(self) -> None:
        key = notice_codec.hash_server_start(_LOCAL.start)
        self.estimates.on_notice(
            notice_codec.Notice(1, 1, (notice_codec.Placement(key, 0.8),))
        )
        self.assertGreater(self.view(_LOCAL).wait_s, 0.7)
        self.assertGreater(self.view(_REMOTE).wait_s, 0.7)

    def test_a_higher_known_load_replaces_the_mean(self) -> None:
        self.make_busy(_LOCAL, 2)
        self.make_busy(_REMOTE, 5)
        self.assertGreater(
            self.view(_REMOTE).running_share, self.view(_LOCAL).running_share
        )

    def report(self, load: load_estimates.Load, zone: str = "zone-b") -> None:
        """Applies a notice with the mean load of another zone's engines."""
        reported = notice_codec.RoleLoad(
            notice_codec.hash_name(_REMOTE.service), False, load
        )
        notice = notice_codec.Notice(
            1,
            1,
            (),
            zone_key=notice_codec.hash_name(zone),
            role_loads=(reported,),
        )
        self.estimates.on_notice(notice)

    def test_remote_engines_get_the_load_their_zone_reported(self) -> None:
        """Guards against refused callers while another zone's engines are idle.

        When many callers come in one zone, its gateways took the engines of
        other zones to be as busy as their own, because zones didn't exchange
        their loads.
        """
        self.make_busy(_LOCAL, 6)
        self.report(load_estimates.Load(0.25, 0.125))
        remote = self.view(_REMOTE)
        self.assertAlmostEqual(remote.running_share, 0.25, places=2)
        self.assertAlmostEqual(remote.wait_s, 0.125, places=2)

    def test_a_report_of_a_third_zone_is_not_applied(self) -> None:
        self.report(load_estimates.Load(0.75, 0.5), zone="zone-c")
        self.assertEqual(self.view(_REMOTE).running_share, 0.0)

    def test_an_old_zone_report_expires(self) -> None:
        """Guards against idle engines that get no work.

        A zone reports full engines and is then cut off. Its last report was
        used until a newer one came.
        """
        self.report(load_estimates.Load(2.0, 5.0))
        zone_loads = self.estimates.loads._zone_loads
        for kind, (load, reported_s) in list(zone_loads.items()):
            zone_loads[kind] = (
                load,
                reported_s - load_estimates.MAX_REPORT_AGE_S - 0.1,
            )
        self.assertEqual(self.view(_REMOTE).running_share, 0.0)

    def test_engines_in_use_are_estimated_from_their_reports(self) -> None:
        """Guards against a demand several times the work, or without zones.

        Reports come with answers, so each shows at least the answered request;
        engines of zones without notices count like those that reported.
        """
        self.make_busy(_LOCAL, 1)
        loads = self.estimates.loads
        self.assertEqual(loads.busy_decode_engines(_LOCAL.service), 0.0)
        self.make_busy(_LOCAL, 3)
        self.assertAlmostEqual(
            loads.busy_decode_engines(_LOCAL.service) or 0.0,
            2 * (3 - 1) / _LOCAL.slots_count,
        )
        self.assertIsNone(loads.busy_decode_engines("other"))

    def test_engines_in_use_are_unknown_without_recent_reports(self) -> None:
        """Guards against a demand of nothing at a gateway without callers."""
        self.assertIsNone(
            self.estimates.loads.busy_decode_engines(_LOCAL.service)
        )

    def test_only_local_engines_are_reported_by_role(self) -> None:
        self.make_busy(_LOCAL, 3)
        self.make_busy(_REMOTE, 6)
        (reported,) = self.estimates.loads.mean_load_by_role()
        self.assertEqual(
            reported.service_key, notice_codec.hash_name(_LOCAL.service)
        )
        self.assertFalse(reported.is_prefill)
        share = 3 / _LOCAL.slots_count
        self.assertAlmostEqual(reported.load.running_share, share, places=2)

    def test_without_local_engines_remote_ones_count_as_idle(
        self,
    ) -> None:
        estimates, _ = _estimates_at((_REMOTE,))
        self.assertEqual(estimates.view(_REMOTE, (), 1.0).running_share, 0.0)


class QueueOwnerPartsTest(unittest.TestCase):
    """Cached parts of an engine, as its queue's owner counts them."""

    def setUp(self) -> None:
        self.estimates, _ = _estimates_at((_LOCAL,))
        self.estimates._memory_tokens = lambda _: 10_000
        self.key = notice_codec.hash_server_start(_LOCAL.start)
        self.parts = tuple(
            part_caches.HeldPart(number, 2_000) for number in (1, 2)
        )

    def test_parts_of_other_gateways_prompts_are_cached(self) -> None:
        self.assertEqual(self.estimates.held_count(self.key, (1, 2)), 0)
        self.estimates.record_remote_prompt(self.key, self.parts[:1], 100)
        self.assertEqual(self.estimates.held_count(self.key, (1, 2)), 1)
        self.estimates.record_remote_prompt(self.key, self.parts, 100)
        self.assertEqual(self.estimates.held_count(self.key, (1, 2)), 2)

    def test_unshared_tokens_evict_shared_parts(self) -> None:
        """Guards against parts that count as cached after their eviction.

        Unshared tokens fill the engine's memory too, but only shared parts were
        counted.
        """
        self.estimates.record_remote_prompt(self.key, self.parts, 100)
        for _ in range(4):
            self.estimates.record_remote_prompt(self.key, (), 2_500)
        self.assertEqual(self.estimates.held_count(self.key, (1, 2)), 0)

    def test_an_unlisted_engine_holds_no_parts(self) -> None:
        self.estimates.record_remote_prompt(7, self.parts, 100)
        self.assertEqual(self.estimates.held_count(7, (1,)), 0)


if __name__ == "__main__":
    unittest.main()

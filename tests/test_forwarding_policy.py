"""Server choice, retry budget, caches, queues, load estimates, admission."""

import random
import unittest

from loguru import logger

from mulberrywharf.forwarding import request, server_tracker
from mulberrywharf.policy import (
    background_work,
    engine_queues,
    observed_waits,
    part_caches,
    prompt_admission,
    server_choice,
    slot_waits,
)
from tests import builders_routes as build


class ServerChoiceTest(unittest.TestCase):
    def choose(self, *candidates: server_choice.Candidate) -> str:
        chosen = server_choice.choose(candidates, random.Random(1))
        assert chosen is not None
        return chosen.server.server_id

    def candidate(
        self, name: str, **changes: object
    ) -> server_choice.Candidate:
        made = server_choice.Candidate(build.server(name))
        return made._replace(**changes)

    def test_the_less_loaded_server_is_chosen(self) -> None:
        busy = self.candidate(
            "busy", own_in_flight_count=2, others_in_flight_count=1.0
        )
        self.assertEqual(self.choose(busy, self.candidate("idle")), "idle")

    def test_the_own_zone_is_preferred_until_it_is_more_loaded(self) -> None:
        near = self.candidate("near")
        far = self.candidate("far", is_same_zone=False)
        self.assertEqual(self.choose(near, far), "near")
        fuller = near._replace(own_in_flight_count=2)
        self.assertEqual(self.choose(fuller, far), "far")

    def test_a_server_that_fails_requests_is_avoided(self) -> None:
        """Guards against failed requests that other servers would serve.

        One of three servers fails two fifths of its requests and reports itself
        healthy, and the choice went by load only.
        """
        failing = self.candidate("failing", failure_share=0.4)
        self.assertEqual(
            self.choose(
                failing, self.candidate("sound", own_in_flight_count=3)
            ),
            "sound",
        )

    def test_a_slow_server_is_avoided_at_lower_load(self) -> None:
        slow = self.candidate("slow", slowdown=5.0)
        self.assertEqual(
            self.choose(slow, self.candidate("sound", own_in_flight_count=2)),
            "sound",
        )

    def test_a_suspected_server_is_a_last_resort(self) -> None:
        suspected = self.candidate("suspected", is_suspected=True)
        full = self.candidate("full", own_in_flight_count=12)
        self.assertEqual(self.choose(suspected, full), "full")
        self.assertEqual(self.choose(suspected), "suspected")

    def choose_most_certain(
        self, *candidates: server_choice.Candidate
    ) -> server_choice.Candidate:
        found = server_choice.choose_most_certain(
            candidates, 0.5, random.Random(1)
        )
        assert found is not None
        return found

    def test_a_call_for_one_run_goes_where_it_ends_in_time(self) -> None:
        """Guards against a call that is late and can't be sent again.

        The nearest or least loaded server may need longer than is left.
        """
        late = self.candidate("late")._replace(longest_s=0.6)
        timely = self.candidate("timely", failure_share=0.3)
        timely = timely._replace(longest_s=0.4)
        later = self.candidate("later")._replace(longest_s=0.7)
        self.assertEqual(self.choose_most_certain(late, timely), timely)
        self.assertEqual(self.choose_most_certain(later, late), late)
        suspected = late._replace(is_suspected=True)
        self.assertEqual(self.choose_most_certain(later, suspected), later)

    def test_a_call_for_one_run_where_no_pace_is_stated(self) -> None:
        """Guards against other decisions where loads have three figures."""
        rng = random.Random(4)
        for _ in range(200):
            candidates = [
                self.candidate(f"s{number}", others_in_flight_count=count)
                for number, count in enumerate(rng.choices(range(9), k=4))
            ]
            self.assertEqual(
                self.choose_most_certain(*candidates),
                server_choice.choose(candidates, random.Random(1)),
            )
        self.assertIsNone(server_choice.choose_most_certain([], 0.5, rng))

    def test_without_candidates_none_is_chosen(self) -> None:
        self.assertIsNone(server_choice.choose([], random.Random(1)))


class RetryAfterTest(unittest.TestCase):
    """Servers that ask for a pause with Retry-After."""

    def setUp(self) -> None:
        self.tracker = server_tracker.ServerTracker("zone-a")
        self.one, self.two = build.server("one"), build.server("two")

    def test_a_server_gets_no_requests_until_its_retry_after(self) -> None:
        self.tracker.pause_until_retry_after(self.one.start, 3.0, 10.0)
        reached = self.tracker.reachable([self.one, self.two], 12.9)
        self.assertEqual(reached, [self.two])
        self.assertTrue(self.tracker.may_use(self.one.start, 13.0))

    def test_a_shorter_retry_after_does_not_replace_a_longer_one(self) -> None:
        self.tracker.pause_until_retry_after(self.one.start, 5.0, 10.0)
        self.tracker.pause_until_retry_after(self.one.start, 0.1, 10.0)
        self.assertTrue(self.tracker.is_paused(self.one.start, 14.0))

    def test_a_complete_answer_does_not_clear_the_retry_after(self) -> None:
        self.tracker.pause_until_retry_after(self.one.start, 5.0, 10.0)
        self.tracker.succeeded(self.one.start)
        self.assertTrue(self.tracker.is_paused(self.one.start, 14.0))

    def test_a_retry_after_of_an_hour_is_limited_to_a_minute(self) -> None:
        self.tracker.pause_until_retry_after(self.one.start, 3600.0, 10.0)
        self.assertFalse(self.tracker.may_use(self.one.start, 69.0))
        self.assertTrue(self.tracker.may_use(self.one.start, 70.0))

    def test_callers_get_the_earliest_retry_after_of_all_servers(self) -> None:
        self.tracker.pause_until_retry_after(self.one.start, 3.0, 10.0)
        both = [self.one, self.two]
        self.assertIsNone(self.tracker.retry_after_left_s(both, 11.0))
        self.tracker.pause_until_retry_after(self.two.start, 5.0, 10.0)
        self.assertEqual(self.tracker.retry_after_left_s(both, 11.0), 2.0)
        self.assertIsNone(self.tracker.retry_after_left_s([], 11.0))


class ServerBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = server_tracker.ServerTracker("zone-a")

    def test_others_count_is_the_reported_count_without_own_requests(
        self,
    ) -> None:
        self.tracker.began(build.start("s"), 0.0)
        self.tracker.reported(
            build.start("s"), request.ReportedLoad(3, 1, 6), 10.0
        )
        self.assertAlmostEqual(
            self.tracker.others_in_flight_count(build.start("s"), 10.0), 3.0
        )
        self.assertLess(
            self.tracker.others_in_flight_count(build.start("s"), 12.0), 0.5
        )

    def test_malformed_loads_are_logged_once_per_server(self) -> None:
        """Guards against one log line for each answer of a faulty server."""
        lines: list[str] = []
        handler_id = logger.add(lines.append, format="{extra}")
        self.addCleanup(logger.remove, handler_id)
        self.tracker.reported(
            build.start("s"), request.ReportedLoad(3, 1, 6), 10.0
        )
        for name in ("s", "t") * 50:
            malformed = request.MalformedLoad("9" * 5_000)
            self.tracker.reported(build.start(name), malformed, 11.0)
        self.assertEqual(len(lines), 2)
        self.assertLess(max(map(len, lines)), 200)
        self.assertEqual(
            self.tracker.last_report(build.start("s")),
            request.ReportedLoad(3, 1, 6),
        )

    def test_a_lost_server_is_suspected_for_a_while(self) -> None:
        self.tracker.connection_lost(build.start("s"), 10.0)
        self.assertTrue(self.tracker.is_suspected(build.start("s"), 10.1))
        self.assertTrue(self.tracker.may_use(build.start("s"), 10.1))
        self.assertFalse(
            self.tracker.is_suspected(
                build.start("s"), 10.1 + server_tracker.SUSPECT_S
            )
        )

    def test_an_unreachable_server_gets_no_requests(self) -> None:
        """Guards against callers that wait for each dead server in turn.

        A zone is cut off from all five engines, and each request tried them one
        after the other, 0.2 s each, because unreachable servers were still used
        as a last resort.
        """
        self.tracker.unreachable(build.start("s"), 10.0)
        self.assertEqual(
            self.tracker.reachable(
                [build.server("s"), build.server("t")], 10.5
            ),
            [build.server("t")],
        )

    def test_only_one_request_probes_an_unreachable_server(self) -> None:
        """Guards against many requests that wait for a dead server at once.

        A server stops responding, and the time for which it is avoided ends.
        All requests of that moment were sent to it, because none was held back
        while the first one was still waiting.
        """
        self.tracker.unreachable(build.start("s"), 10.0)
        after_s = 10.1 + server_tracker.AVOID_S
        self.assertTrue(self.tracker.may_use(build.start("s"), after_s))
        self.tracker.began(build.start("s"), after_s)
        self.assertFalse(self.tracker.may_use(build.start("s"), after_s + 0.1))
        self.tracker.unreachable(build.start("s"), after_s + 0.6)
        longer_s = after_s + 0.6 + 1.9 * server_tracker.AVOID_S
        self.assertFalse(self.tracker.may_use(build.start("s"), longer_s))

    def test_an_answer_makes_a_server_usable_again(self) -> None:
        self.tracker.connection_lost(build.start("s"), 10.0)
        self.tracker.unreachable(build.start("s"), 10.0)
        self.tracker.succeeded(build.start("s"), 0.02)
        self.assertFalse(self.tracker.is_suspected(build.start("s"), 10.1))
        self.assertTrue(self.tracker.may_use(build.start("s"), 10.1))

    def test_pace_is_relative_to_the_other_servers(self) -> None:
        servers = [build.server(name) for name in ("a", "b", "c")]
        for name, answer_s in (("a", 0.02), ("b", 0.02), ("c", 0.1)):
            for _ in range(30):
                self.tracker.succeeded(build.start(name), answer_s)
        candidates = self.tracker.candidates(servers, 0.0)
        by_name = {one.server.server_id: one.slowdown for one in candidates}
        self.assertAlmostEqual(by_name["a"], 1.0)
        self.assertAlmostEqual(by_name["c"], 5.0, delta=0.1)

    def test_servers_that_left_are_dropped_once_idle(self) -> None:
        self.tracker.began(build.start("busy"), 0.0)
        self.tracker.failed(build.start("idle"), 0.0)
        self.tracker.keep_only([])
        self.assertEqual(
            self.tracker.own_in_flight_count(build.start("busy")), 1
        )
        (idle,) = self.tracker.candidates([build.server("idle")], 0.0)
        self.assertEqual(idle.failure_share, 0.0)


def _held(number: int, tokens: int = 400) -> part_caches.HeldPart:
    return part_caches.HeldPart(number, tokens)


class PartCachesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.caches = part_caches.PartCaches()
        self.chain = part_caches.chain([("aa", 400), ("bb", 50)])
        self.part = self.chain[0].held

    def cached(self) -> int:
        return self.caches.cached_tokens(build.start("e"), self.chain)

    def note(self, *parts: part_caches.HeldPart) -> None:
        self.caches.record_cached(build.start("e"), parts, 1000)

    def test_a_prefilled_part_is_cached(self) -> None:
        self.assertEqual(self.cached(), 0)
        self.note(self.part)
        self.assertEqual(self.cached(), 400)

    def test_the_least_recently_used_part_is_evicted_first(self) -> None:
        self.note(self.part)
        self.note(_held(1))
        self.note(self.part)
        self.note(_held(2))
        self.assertEqual(self.cached(), 400)
        self.note(_held(3))
        self.note(_held(4))
        self.assertEqual(self.cached(), 0)

    def test_unshared_tokens_evict_parts(self) -> None:
        """Guards against parts that count as cached after their eviction.

        A part is prefilled, then many prompts without shared parts follow. Only
        shared parts were counted against the engine's memory, so prompts went
        where their shared part had been evicted seconds ago.
        """
        self.note(self.part)
        for _ in range(20):
            self.caches.record_unshared(build.start("e"), 50, 1000)
        self.assertEqual(self.cached(), 0)

    def test_an_engine_that_left_has_nothing_cached(self) -> None:
        self.note(self.part)
        self.caches.keep_only(frozenset())
        self.assertEqual(self.cached(), 0)


class PartChainTest(unittest.TestCase):
    """Prompts that begin with several shared parts, one after the other."""

    MEMORY_TOKENS = 10_000

    def setUp(self) -> None:
        self.caches = part_caches.PartCaches()

    def chain(self, *names: str) -> tuple[part_caches.ChainPart, ...]:
        return part_caches.chain([(name, 1_000) for name in names])

    def read(self, *names: str) -> None:
        held = [part.held for part in self.chain(*names)]
        self.caches.record_cached(build.start("e"), held, self.MEMORY_TOKENS)

    def cached(self, *names: str) -> int:
        return self.caches.cached_tokens(build.start("e"), self.chain(*names))

    def test_every_part_of_a_chain_is_cached(self) -> None:
        """Guards against cached parts that are never found.

        Prompts begin with two shared parts of 512 and 4,870 tokens. Only the
        longest part was recorded, but it counted only if the part before it was
        recorded too. None of 1,873 placements had cached tokens, and 1.1
        million tokens of shared parts were prefilled again in 34 s.
        """
        self.read("a", "b", "own 1")
        self.assertEqual(self.cached("a", "b", "own 2"), 2_000)

    def test_chains_of_one_to_four_parts(self) -> None:
        names = ("a", "b", "c", "d")
        for length in range(1, 5):
            self.read(*names[:length], f"own {length}")
            self.assertEqual(self.cached(*names[:length], "x"), length * 1_000)

    def test_the_same_part_after_another_prefix_is_not_cached(self) -> None:
        self.read("a", "b", "own")
        self.assertEqual(self.cached("c", "b", "own"), 0)
        self.assertEqual(self.cached("a", "c", "own"), 1_000)

    def test_the_end_of_a_chain_is_evicted_before_its_beginning(self) -> None:
        self.read("a", "b", "c")
        for number in range(7):
            self.read(f"other {number}")
        self.assertEqual(self.cached("a", "b", "c"), 2_000)
        self.read("one more")
        self.assertEqual(self.cached("a", "b", "c"), 1_000)

    def test_a_reported_part_implies_all_parts_before_it(self) -> None:
        reported = self.chain("a", "b")[-1].held
        self.caches.record_cached(
            build.start("e"), (reported,), self.MEMORY_TOKENS
        )
        self.assertEqual(self.cached("a", "b", "own"), 2_000)


class EngineQueuesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queues = engine_queues.EngineQueues()

    def test_work_adds_up_and_drains_with_time(self) -> None:
        self.queues.add(build.start("e"), 0.1, 0.0)
        self.queues.add(build.start("e"), 0.2, 0.0)
        self.assertAlmostEqual(self.queues.wait_s(build.start("e"), 0.0), 0.3)
        self.assertAlmostEqual(self.queues.wait_s(build.start("e"), 0.25), 0.05)
        self.assertEqual(self.queues.wait_s(build.start("e"), 1.0), 0.0)

    def test_a_finished_prompt_leaves_the_work_queued_after_it(self) -> None:
        """Guards against a queue of one second that counts as empty in a burst.

        An engine is slower than estimated and prefills a prompt long after its
        queue should have drained. The work queued after the prompt counted as
        done by elapsed time alone.
        """
        ticket = self.queues.add(build.start("e"), 0.1, 0.0)
        self.queues.add(build.start("e"), 0.2, 0.0)
        self.queues.finished(ticket, 0.9)
        self.assertAlmostEqual(self.queues.wait_s(build.start("e"), 0.9), 0.2)

    def test_a_queue_that_drained_early_is_shortened(self) -> None:
        ticket = self.queues.add(build.start("e"), 0.5, 0.0)
        self.queues.finished(ticket, 0.1)
        self.assertEqual(self.queues.wait_s(build.start("e"), 0.1), 0.0)

    def test_engines_that_left_are_dropped(self) -> None:
        self.queues.add(build.start("e"), 0.5, 0.0)
        self.queues.keep_only(frozenset({build.start("other")}))
        self.assertEqual(self.queues.wait_s(build.start("e"), 0.0), 0.0)


class ObservedWaitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.waits = observed_waits.ObservedWaits()

    def send(self, sent_s: float) -> observed_waits.PendingPrompt:
        awaited = observed_waits.PendingPrompt("e", "read", sent_s, 0.1)
        self.waits.sent(awaited)
        return awaited

    def wait_s(self, now_s: float) -> float:
        return self.waits.wait_s("e", "read", now_s)

    def test_the_delay_of_an_answer_counts_as_wait(self) -> None:
        """Guards against sending all prompts to a failing engine.

        An engine becomes slow. Its estimated queue drains with time and looks
        empty, because the delay of its answers was ignored.
        """
        for _ in range(10):
            self.waits.answered(self.send(4.0), 5.0)
        self.assertAlmostEqual(self.wait_s(5.0), 0.87, delta=0.02)

    def test_an_outstanding_answer_counts_as_wait(self) -> None:
        """Guards against answers that are one second late in an overload.

        Most engines crash, and the last one gets all prompts and sends no
        answer for a second. Only answers that had come counted as a wait.
        """
        first = self.send(4.0)
        self.send(4.5)
        self.assertAlmostEqual(self.wait_s(5.0), 0.87, delta=0.02)
        self.waits.failed(first)
        self.assertAlmostEqual(self.wait_s(5.0), 0.37, delta=0.02)

    def test_an_observed_wait_decays(self) -> None:
        self.waits.answered(self.send(4.0), 5.0)
        self.assertLess(self.wait_s(7.0), 0.01)

    def test_an_answer_in_time_counts_as_no_wait(self) -> None:
        self.waits.answered(self.send(4.89), 5.0)
        self.assertEqual(self.wait_s(5.0), 0.0)
        self.assertEqual(self.waits.wait_s("e", "start", 5.0), 0.0)
        self.assertEqual(self.waits.wait_s("unknown", "read", 5.0), 0.0)

    def test_engines_that_left_are_dropped(self) -> None:
        self.waits.answered(self.send(4.0), 5.0)
        self.waits.keep_only(frozenset())
        self.assertEqual(self.wait_s(5.0), 0.0)


class SlotWaitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.waits = slot_waits.SlotWaits()

    def test_with_a_free_slot_there_is_no_wait(self) -> None:
        self.assertEqual(self.waits.wait_s("e", 47, 48), 0.0)

    def test_a_full_batch_causes_a_wait(self) -> None:
        """Guards against prompts handed to an engine with a hundred waiting.

        All its slots are taken, and the handover itself takes 15 ms. Only the
        prefill was counted, not the wait for a slot.
        """
        self.assertAlmostEqual(self.waits.wait_s("e", 48, 48), 0.25 / 48)
        self.assertAlmostEqual(self.waits.wait_s("e", 143, 48), 0.5)

    def test_waits_grow_with_the_duration_of_runs(self) -> None:
        for _ in range(100):
            self.waits.note_run("e", 1.0)
        self.assertAlmostEqual(self.waits.wait_s("e", 95, 48), 1.0, delta=0.01)
        self.waits.keep_only(frozenset())
        self.assertLess(self.waits.wait_s("e", 95, 48), 0.3)


class BackgroundWorkTest(unittest.TestCase):
    def test_work_of_all_gateways_is_extrapolated_from_own_work(self) -> None:
        work = background_work.BackgroundWork()
        for step in range(400):
            work.add(0.005, step * 0.1)
        # One of nine gateways has 0.05 s of work per second, on three engines.
        share = work.share(9, 3, 39.9)
        self.assertAlmostEqual(share, 0.15, delta=0.02)

    def test_background_work_decays(self) -> None:
        work = background_work.BackgroundWork()
        work.add(0.05, 0.0)
        self.assertLess(work.share(9, 3, 5.0), 0.01)

    def test_the_share_is_limited(self) -> None:
        work = background_work.BackgroundWork()
        work.add(50.0, 0.0)
        self.assertEqual(work.share(9, 3, 0.0), background_work.MAX_SHARE)


class PromptAdmissionTest(unittest.TestCase):
    def decide(self, **changes: object) -> prompt_admission.Refusal | None:
        estimate = prompt_admission.AdmissionEstimate(
            first_token_s=0.2, queue_s=0.1, target_s=0.4, left_s=5.0
        )
        return prompt_admission.decide(
            estimate._replace(**changes), random.Random(1)
        )

    def test_a_request_in_time_is_admitted(self) -> None:
        self.assertIsNone(self.decide())

    def test_a_request_behind_a_long_queue_is_refused(self) -> None:
        refusal = self.decide(first_token_s=0.9, queue_s=0.7)
        assert refusal is not None
        self.assertGreaterEqual(refusal.retry_after_s, 0.7)
        self.assertLessEqual(refusal.retry_after_s, 1.5)

    def test_a_large_prompt_is_not_refused_for_its_size(self) -> None:
        """Guards against large prompts that are never served.

        A prompt's prefill takes 0.7 s at an idle engine, and the target is
        0.4 s. Its own prefill counted like a queue, so its caller was refused
        at each retry.
        """
        self.assertIsNone(self.decide(first_token_s=0.75, queue_s=0.05))

    def test_a_request_that_would_miss_its_deadline_is_refused(self) -> None:
        self.assertIsNotNone(self.decide(first_token_s=0.75, left_s=0.5))
        self.assertIsNotNone(
            self.decide(first_token_s=0.75, left_s=0.5, target_s=None)
        )

    def test_retry_after_has_jitter(self) -> None:
        rng = random.Random(1)
        estimate = prompt_admission.AdmissionEstimate(0.9, 0.7, 0.4, 5.0)
        waits = set()
        for _ in range(20):
            refusal = prompt_admission.decide(estimate, rng)
            assert refusal is not None
            waits.add(refusal.retry_after_s)
        self.assertGreater(max(waits) - min(waits), 0.3)

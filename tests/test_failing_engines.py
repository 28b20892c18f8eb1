"""Tests that engines which fail requests get few of them."""

import contextlib
import random
import unittest
from collections.abc import Sequence

from mulberrywharf import errors, fleet
from mulberrywharf.forwarding import server_tracker
from mulberrywharf.policy import prompt_placement
from mulberrywharf.routes import kinds
from tests import builders_routes as build
from tests import test_generation, test_plain_call
from tests.test_plain_call import ECHO, RECEIPT
from tests.test_prompt_placement import SHAPE, SHORT, SPEEDS, view

FAILURE = (
    b"HTTP/1.1 500 Broken\r\n" + RECEIPT + ECHO + b"content-length: 3\r\n"
    b"\r\nbad"
)


class FailingEngineTest(test_generation.GenerationCase):
    def test_an_engine_that_answers_500_at_once_gets_few_prompts(self) -> None:
        """Guards against an engine that attracts prompts because it fails.

        An engine answered 500 immediately for 6.5 s. Its queue was empty, so
        253 callers failed. Its failures counted as complete answers.
        """
        failing = self.respond_with(FAILURE)
        sound = self.respond_with(
            test_generation.HEAD
            + test_generation.chunks(test_generation.event(1))
        )
        for _ in range(20):
            self.tracker.note_requests_count(
                build.start("s1"), 10, self.clock.monotonic_s()
            )
            self.body(failing, sound)
        self.assertLessEqual(len(failing[1].requests), 6)
        self.assertGreaterEqual(len(failing[1].requests), 1)


class RepeatedFailureTest(test_generation.GenerationCase):
    def setUp(self) -> None:
        super().setUp()
        self.failing = self.respond_with(FAILURE)
        self.sound = self.respond_with(
            test_generation.HEAD
            + test_generation.chunks(test_generation.event(1))
        )
        # The failing engine is the one that is chosen first.
        self.tracker.note_requests_count(
            build.start("s1"), 10, self.clock.monotonic_s()
        )

    def test_another_engine_answers_in_place_of_a_failure(self) -> None:
        """Guards against a caller that gets a 500 while other engines work."""
        body = self.body(self.failing, self.sound)
        self.assertEqual(body, test_generation.event(1))
        self.assertEqual(len(self.failing[1].requests), 1)

    def test_a_stream_that_cannot_resume_runs_once(self) -> None:
        """Guards against running a request twice that must run once."""
        answer = self.open(
            self.failing, self.sound, kind=test_generation.NOT_RESUMABLE
        )
        self.assertEqual(answer.head.status, 500)
        self.assertEqual(self.sound[1].requests, [])

    def test_a_failure_is_passed_on_where_no_attempt_is_left(self) -> None:
        """Guards against more runs than the route allows."""
        route = build.route(
            kind=test_generation.RESUMABLE,
            timeout_s=1.0,
            target_s=0.5,
            has_prompt=True,
            attempts_limit_count=1,
        )
        answer = self.open(self.failing, self.sound, route=route)
        self.assertEqual(answer.head.status, 500)
        self.assertEqual(self.sound[1].requests, [])


class OnTrial:
    """Stands in for the ejections: one server is on trial."""

    def __init__(self, server_id: str):
        self.server_id = server_id

    def allowed(
        self, servers: Sequence[fleet.Server], *, may_repeat: bool
    ) -> list[fleet.Server]:
        on_trial = [one for one in servers if one.server_id == self.server_id]
        others = [one for one in servers if one.server_id != self.server_id]
        return on_trial if may_repeat and on_trial else others or on_trial


class TrialStreamTest(test_generation.GenerationCase):
    def setUp(self) -> None:
        super().setUp()
        self.ejections = OnTrial("s1")
        self.sound = self.respond_with(
            test_generation.HEAD
            + test_generation.chunks(test_generation.event(1))
        )
        self.failing = self.respond_with(FAILURE)

    def test_a_failed_trial_is_repeated_elsewhere(self) -> None:
        """Guards against callers that fail so that an engine can return."""
        body = self.body(self.sound, self.failing)
        self.assertEqual(body, test_generation.event(1))
        self.assertEqual(len(self.failing[1].requests), 1)

    def test_a_stream_that_cannot_resume_is_no_trial(self) -> None:
        self.body(self.sound, self.failing, kind=test_generation.NOT_RESUMABLE)
        self.assertEqual(self.failing[1].requests, [])
        alone = self.open(self.failing, kind=test_generation.NOT_RESUMABLE)
        self.assertEqual(alone.head.status, 500)


class TrialCallTest(test_plain_call.CallCase):
    def test_a_call_that_runs_at_most_once_is_no_trial(self) -> None:
        """Guards against a payment that is sent to a server as a probe."""
        self.ejections = OnTrial("s0")
        failing = self.respond_with(FAILURE)
        sound = self.respond_with(test_plain_call.answer())
        answer = self.call(failing, sound, kind=kinds.AtMostOnce())
        self.assertEqual(answer.body, b"fine")
        self.assertEqual(failing.requests, [])
        answer = self.call(failing, sound, kind=kinds.Idempotent())
        self.assertEqual(answer.body, b"fine")
        self.assertEqual(len(failing.requests), 1)


class ReportedOutcomesTest(test_plain_call.CallCase):
    def test_only_faults_and_answers_are_reported(self) -> None:
        """Guards against ejections of servers that are full or slow."""
        noted: list[bool] = []
        self.tracker.on_outcome(lambda _, is_failure: noted.append(is_failure))
        late = test_plain_call.answer(status=b"504 Late")
        for data, expected in (
            (test_plain_call.answer(), [False]),
            (FAILURE, [True]),
            (test_plain_call.refusal(), []),
            (late, [False]),
            (b"HTTP/1.1 200 OK\r\n", [True]),
        ):
            noted.clear()
            server = self.serve(
                lambda sock, _, data=data: (sock.sendall(data), sock.close())
            )
            with contextlib.suppress(errors.RequestError):
                self.call(server, kind=kinds.AtMostOnce())
            self.assertEqual(noted, expected, data)

    def test_lost_answers_of_servers_out_of_reach_are_not_reported(
        self,
    ) -> None:
        """Guards against ejections by gateways without a path to the servers.

        A server that is reached again within a second has failed by itself.
        """
        noted: list[bool] = []
        self.tracker.on_outcome(lambda _, is_failure: noted.append(is_failure))
        server = self.serve(lambda sock, _: (server.close(), sock.close()))
        with contextlib.suppress(errors.RequestError):
            self.call(server, kind=kinds.AtMostOnce())
        self.assertEqual(noted, [])
        now_s = self.clock.monotonic_s()
        self.tracker.connection_lost(build.start("s1"), now_s)
        self.tracker.connection_lost(build.start("s1"), now_s, "silent")
        self.tracker.confirmed(build.start("s1"), now_s + 0.9)
        self.assertEqual(noted, [True])
        self.tracker.connection_lost(build.start("s1"), now_s)
        self.tracker.answer_began(build.start("s1"), now_s + 1.1)
        self.assertEqual(noted, [True])


class FaultShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = server_tracker.ServerTracker("zone-a")
        self.start = build.start("s")

    def test_a_refusal_is_not_a_fault(self) -> None:
        """Guards against full engines that are taken for failing ones."""
        for _ in range(20):
            self.tracker.refused(self.start, 10.0)
            self.tracker.unreachable(self.start, 10.0)
        self.assertEqual(self.tracker.fault_share(self.start, 10.0), 0.0)

    def test_faults_are_forgotten_while_no_requests_are_sent(self) -> None:
        """Guards against an engine that is avoided for ever.

        An engine that gets no requests gives no answer that could show that it
        works again.
        """
        for _ in range(30):
            self.tracker.failed(self.start, 10.0)
        self.assertGreater(self.tracker.fault_share(self.start, 10.0), 0.9)
        self.assertLess(self.tracker.fault_share(self.start, 30.0), 0.05)


class PlanCostTest(unittest.TestCase):
    def test_plans_without_failures_cost_as_before(self) -> None:
        """Guards against changed decisions where no engine fails.

        The figures are those of the version that did not count failures.
        """
        prefill = view("p", "prefill", wait_s=0.05, running_share=0.3)
        decode = view("d", "decode", cached_tokens=13_000, running_share=0.5)
        costs = [
            round(plan.cost, 9)
            for shape in (SHAPE, SHORT)
            for plan in prompt_placement.plans(
                shape, SPEEDS, [prefill], [decode]
            )
        ]
        self.assertEqual(
            costs, [0.374189375, 0.477306174, -0.762791869, 0.005586872]
        )

    def test_random_failures_of_a_sound_service_shift_little_load(self) -> None:
        """Guards against moved prompts in a service that fails 14 in 100.

        Engines that fail at random look different for a while, and must not
        look worse than a copy of a shared part or a fuller batch.
        """
        rng = random.Random(3)
        tracker = server_tracker.ServerTracker("zone-a")
        costs_s = []
        for number in range(3_000):
            now_s = number / 20
            if rng.random() < 0.14:
                tracker.failed(build.start(), now_s)
            else:
                tracker.succeeded(build.start())
            share = tracker.fault_share(build.start(), now_s)
            costs_s.append(prompt_placement.failure_cost_s(share))
        costs_s.sort()
        spread_s = costs_s[-len(costs_s) // 20] - costs_s[len(costs_s) // 20]
        self.assertLess(spread_s, prompt_placement.FULL_BATCH_COST_S)

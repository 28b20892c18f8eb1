"""Tests of which arrivals at servers are charged as repeats."""

import contextlib
import random
import unittest
import unittest.mock
from typing import Any

from result import Err, Ok

from mulberrywharf import clock, errors, fleet
from mulberrywharf.forwarding import handover, repeats, request, time_limits
from mulberrywharf.policy import helpers, lost_path, repeat_budget
from mulberrywharf.routes import kinds
from tests import builders_handover as handovers
from tests import builders_routes as build
from tests.test_generation import (
    HEAD,
    NOT_RESUMABLE,
    PREFILLED,
    RESUMABLE,
    GenerationCase,
    chunks,
    event,
)
from tests.test_plain_call import CallCase, answer, refusal

LOST = errors.HelperLostError("the helper is gone")
NOBODY = errors.NoHelperError("no other gateway took the request")
FROM_PEER = request.Handover("other", is_counted=True, is_admitted=True)
FAILED = b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n"
PREFILL_ANSWERS = (PREFILLED, PREFILLED, refusal(), FAILED, b"")
RUN_ANSWERS = (
    HEAD + chunks(event(1)),
    HEAD + chunks(event(1), end=False),
    refusal(),
    FAILED,
    b"",
)


class _CountingBudget(repeat_budget.RepeatBudget):
    """Counts its charges."""

    charged_count = 0

    def decide(self, service: str, now_s: float) -> repeat_budget.Decision:
        decision = super().decide(service, now_s)
        self.charged_count += decision.charge is not None
        return decision

    def refund(self, charge: repeat_budget.Charge) -> None:
        super().refund(charge)
        self.charged_count -= 1


class _Arrivals:
    """Arrivals of one request, counted as operators count them."""

    def __init__(self) -> None:
        self.arrivals_count = 0
        self.is_prefill_accepted = False

    @property
    def repeats_count(self) -> int:
        return max(0, self.arrivals_count - 1)

    def note(self, *, is_prefill: bool, answered: bytes) -> None:
        is_accepted = is_prefill and answered == PREFILLED
        if is_accepted and not self.is_prefill_accepted:
            self.is_prefill_accepted = True
            return
        self.arrivals_count += 1


class ChargesTest(GenerationCase):
    def setUp(self) -> None:
        super().setUp()
        self.budget = self.new_budget(100.0)

    def new_budget(self, allowance_count: float) -> _CountingBudget:
        return _CountingBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=allowance_count)
        )

    def random_engine(
        self, role: str, rng: random.Random, arrivals: _Arrivals
    ) -> tuple[str, Any]:
        is_prefill = role == "prefill"

        def script(sock: Any, asked: bytes) -> None:
            if asked.startswith(b"DELETE"):
                sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                return
            data = rng.choice(PREFILL_ANSWERS if is_prefill else RUN_ANSWERS)
            arrivals.note(is_prefill=is_prefill, answered=data)
            sock.sendall(data)
            if data not in (PREFILLED, refusal(), FAILED):
                sock.close()

        return role, self.serve(script)

    def test_every_repeat_is_charged(self) -> None:
        """Guards against arrivals beyond the first that nobody charged."""
        for seed in range(150):
            rng = random.Random(seed)
            arrivals = _Arrivals()
            budget = self.budget = self.new_budget(rng.choice((2.0, 100.0)))
            self.tracker = type(self.tracker)("zone-a")
            engines = [
                self.random_engine(role, rng, arrivals)
                for role in ("prefill", "prefill", "decode", "decode", "decode")
            ]
            with self.subTest(seed=seed):
                with contextlib.suppress(errors.MulberryError):
                    self.body(
                        *engines,
                        prompt=build.prompt(),
                        kind=rng.choice((RESUMABLE, NOT_RESUMABLE)),
                    )
                self.assertGreaterEqual(
                    budget.charged_count, arrivals.repeats_count
                )

    def test_a_request_that_was_handed_over_is_charged(self) -> None:
        """Guards against a helper that takes a repeat for the first arrival."""
        engine = self.respond_with(HEAD + chunks(event(1)))
        for handed, charged_count in (
            (FROM_PEER, 0),
            (FROM_PEER._replace(has_arrived=True), 1),
        ):
            with self.subTest(handed=handed):
                self.budget = self.new_budget(100.0)
                self.body(engine, handover=handed)
                self.assertEqual(self.budget.charged_count, charged_count)

    def test_a_second_prefill_at_a_helper_is_charged(self) -> None:
        """Guards against a prefill that is free at each gateway."""
        engines = (
            ("prefill", self.serve(lambda sock, _: sock.sendall(PREFILLED))),
            self.respond_with(HEAD + chunks(event(1))),
        )
        for has_arrived, charged_count in ((False, 1), (True, 2)):
            with self.subTest(has_arrived=has_arrived):
                self.budget = self.new_budget(100.0)
                self.body(
                    *engines,
                    prompt=build.prompt(),
                    kind=NOT_RESUMABLE,
                    handover=FROM_PEER._replace(
                        has_arrived=has_arrived, is_prefilled=True
                    ),
                )
                self.assertEqual(self.budget.charged_count, charged_count)

    def test_the_helper_learns_what_was_sent(self) -> None:
        self.handovers = handovers.ScriptedHandovers(NOBODY, prefers=False)
        broken = self.respond_with(b"")
        broken[1].close()
        prefill = (
            "prefill",
            self.serve(lambda sock, _: sock.sendall(PREFILLED)),
        )
        with self.assertRaises(errors.RequestError):
            self.body(
                prefill, broken, prompt=build.prompt(), kind=NOT_RESUMABLE
            )
        (handed,) = self.handovers.handed
        self.assertTrue(handed.is_prefilled)
        self.assertFalse(handed.has_arrived)

    def test_the_own_attempt_behind_a_lost_helper_is_charged(self) -> None:
        engine = self.respond_with(HEAD + chunks(event(1)))
        self.handovers = handovers.ScriptedHandovers(LOST)
        self.body(engine)
        self.assertEqual(self.budget.charged_count, 1)

    def test_an_exhausted_budget_sends_nothing(self) -> None:
        engine = self.respond_with(HEAD + chunks(event(1)))
        self.budget = self.new_budget(0.0)
        with self.assertRaises(errors.RequestError):
            self.body(engine, handover=FROM_PEER._replace(has_arrived=True))
        self.assertEqual(engine[1].requests, [])

    def test_a_refusal_before_an_attempt_is_counted(self) -> None:
        """Guards against refusals that neither a log nor a metric shows."""
        counted = self.enterContext(
            unittest.mock.patch.object(repeats._repeats_total, "inc")
        )
        charging = repeats.Repeats(self.new_budget(0.0), clock.BootClock())
        one = charging.of(build.routed_request(0.0, handover=FROM_PEER), "s")
        self.assertTrue(one.may_send())
        one.note_handed_over()
        self.assertFalse(one.may_send())
        counted.assert_called_once_with(
            {"service": "s", "result": "refused", "part": "run"}
        )


class PlainChargesTest(CallCase):
    def test_a_request_that_was_handed_over_is_charged(self) -> None:
        server = self.respond_with(answer(b"x"))
        self.budget = _CountingBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=100.0)
        )
        self.call(server, handover=FROM_PEER._replace(has_arrived=True))
        self.assertEqual(self.budget.charged_count, 1)

    def test_the_own_attempt_behind_a_lost_helper_is_charged(self) -> None:
        server = self.respond_with(answer(b"x"))
        self.budget = _CountingBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=100.0)
        )
        self.handovers = handovers.ScriptedHandovers(LOST, NOBODY)
        self.call(server)
        self.assertEqual(self.budget.charged_count, 1)


class _ScriptedClient:
    """Accepts each request, and ends it as a test says."""

    def __init__(self, *results: Any):
        self.sent: list[Any] = []
        self._results = list(results)

    def send(
        self,
        helper: Any,
        request_id: str,
        handed: Any,
        wait_s: float,
        on_accepted: Any,
    ) -> Any:
        self.sent.append(handed)
        on_accepted()
        return self._results.pop(0)


class _AnyPath(lost_path.LostPaths):
    def choose_helper(
        self, service: str, zones: Any, excluded: Any, now_s: float
    ) -> fleet.Address | None:
        untried = [one for one in zones.own if one not in excluded]
        return untried[0] if untried else None


class _TwoPeers:
    def zones(self) -> helpers.Zones:
        addresses = [fleet.Address(f"10.0.0.{n}", 7660) for n in (1, 2)]
        return helpers.Zones(addresses, [])

    def token(self, address: fleet.Address) -> str:
        return "token"


class OffersTest(unittest.TestCase):
    def test_the_next_helper_learns_that_the_last_one_had_the_request(
        self,
    ) -> None:
        """Guards against two helpers that both take an arrival for the first.

        The first one's engine refused the request before its path was lost.
        """
        no_path = errors.HelperRefusedError("no path", refusal="no-path")
        client = _ScriptedClient(
            Err(no_path), Err(errors.OverloadedError("full"))
        )
        system_clock = clock.SystemClock()
        offered = handover.PeerHandovers(
            _AnyPath(random.Random(1), lambda _: None),
            _TwoPeers(),
            client,  # type: ignore[arg-type]
            system_clock,
        )
        routed_request = build.routed_request(system_clock.monotonic_s())
        route = build.route(kind=kinds.Idempotent())
        handed = handover.HandedOver(
            routed_request,
            route,
            "service",
            time_limits.TimeLimit.of(routed_request, route, system_clock),
            attempts_left_count=2,
            is_counted=True,
            is_admitted=False,
            reason="test",
        )
        offered.hand_over(handed, lambda: None)
        self.assertEqual(
            [one.has_arrived for one in client.sent], [False, True]
        )


class ResultTest(unittest.TestCase):
    def test_a_charge_ends_with_the_answer(self) -> None:
        budget = _CountingBudget(
            repeat_budget.RepeatBudgetSettings(allowance_count=8.0)
        )
        charging = repeats.Repeats(budget, clock.BootClock())
        one = charging.of(
            build.routed_request(0.0, handover=FROM_PEER), "service"
        )
        one.note_handed_over()
        self.assertTrue(one.on_send("run").is_ok())
        one.note_result(Ok(None))
        self.assertEqual(budget.charged_count, 1)


if __name__ == "__main__":
    unittest.main()

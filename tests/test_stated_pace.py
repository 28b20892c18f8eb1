"""Paces that servers state: how long they hold, and figures that are wrong."""

import random
import unittest
from collections.abc import Callable

from mulberrywharf import fleet
from mulberrywharf.forwarding import (
    engine_estimates,
    request,
    server_tracker,
)
from mulberrywharf.policy import (
    engine_speeds,
    prompt_placement,
    server_choice,
    stated_pace,
)
from mulberrywharf.routes import table
from tests import builders_routes as build

_SERVERS = tuple(build.server(f"s{number}") for number in range(4))
_CHANGE_S = 0.6
_WORK_S = 0.02

_Figure = Callable[[float, int], float | None]
"""Returns what a server states, by its pace and the number of the answer."""


def _pace(server_number: int, at_s: float) -> float:
    rng = random.Random(f"{server_number} {int(at_s / _CHANGE_S)}")
    return 2.5 if rng.random() < 0.15 else 1.0


class _Notices:
    gateways_count = 1

    def receives_notices_for(self, _: fleet.Server) -> bool:
        return True

    def add_placement(self, *_: object) -> None:
        """Sends no notice."""


class HoldingTimeTest(unittest.TestCase):
    """How long a statement counts."""

    def paces(self, change_s: float) -> stated_pace.StatedPaces:
        """Returns what is known after 30 s of paces that change so often."""
        paces = stated_pace.StatedPaces()
        rng = random.Random(1)
        for step in range(1_200):
            now_s = step * 0.025
            number = rng.randrange(4)
            pace = _pace(number, now_s * _CHANGE_S / change_s)
            paces.note(_SERVERS[number], pace, now_s)
        return paces

    def kept(self, change_s: float, age_s: float) -> float:
        """Returns which share of a statement is left at an age."""
        paces = self.paces(change_s)
        paces.note(_SERVERS[0], 2.5, 31.0)
        mean = paces.expected(_SERVERS[0], 35.0).pace
        found = paces.expected(_SERVERS[0], 31.0 + age_s).pace
        return (found - mean) / (2.5 - mean)

    def test_a_statement_counts_for_as_long_as_paces_hold(self) -> None:
        """Guards against work that is sent by a pace that is long over."""
        self.assertGreater(self.kept(_CHANGE_S, 0.1), 0.6)
        self.assertLess(self.kept(_CHANGE_S, 0.5), 0.5)
        self.assertLess(self.kept(_CHANGE_S, 1.0), 0.05)
        self.assertGreater(self.kept(5.0, 1.0), 0.5)
        self.assertLess(self.kept(0.02, 0.1), 0.1)

    def test_no_statement_counts_for_good(self) -> None:
        """Guards against servers that get nothing because of an old pace."""
        paces = stated_pace.StatedPaces()
        for step in range(1_000):
            for number, server in enumerate(_SERVERS):
                paces.note(server, 5.0 if number else 0.5, step * 0.1)
        known = [paces.expected(one, 160.0).pace for one in _SERVERS]
        self.assertAlmostEqual(min(known), max(known), delta=0.02)

    def test_older_statements_do_not_replace_newer_ones(self) -> None:
        paces = stated_pace.StatedPaces()
        paces.note(_SERVERS[0], 2.0, 10.0)
        paces.note(_SERVERS[0], 1.0, 9.9)
        self.assertEqual(paces.last(_SERVERS[0].start, 0.0), (2.0, 10.0))


class ServerListTest(unittest.TestCase):
    """Servers that join and leave."""

    def test_only_listed_servers_are_kept(self) -> None:
        """Guards against paces that other gateways stated being forgotten.

        This gateway may not have sent anything to their servers yet.
        """
        tracker = server_tracker.ServerTracker("zone-a")
        for server in _SERVERS:
            tracker.paces.note(server, 2.0, 10.0)
        tracker.keep_only([_SERVERS[0].start])
        first, second = (
            tracker.paces.last(one.start, 0.0) for one in _SERVERS[:2]
        )
        self.assertEqual((first, second), ((2.0, 10.0), None))


class WrongFigureTest(unittest.TestCase):
    """Servers whose figure is wrong, beside three that state theirs."""

    def shares(self, figure: _Figure) -> list[float]:
        """Returns the share of 4,000 calls that each server gets.

        The first server states ``figure``. Two calls run at a time on average,
        so that the cost of a busy server is felt.
        """
        tracker = server_tracker.ServerTracker(_SERVERS[0].availability_zone)
        rng = random.Random(2)
        counts = [0] * len(_SERVERS)
        running: list[tuple[float, fleet.Server, float]] = []
        for call in range(4_000):
            now_s = call * 0.01
            while running and running[0][0] <= now_s:
                self.end(tracker, *running.pop(0), figure, counts)
            chosen = server_choice.choose(
                tracker.candidates(_SERVERS, now_s), rng
            )
            assert chosen is not None
            number = _SERVERS.index(chosen.server)
            counts[number] += 1
            tracker.began(chosen.server.start, now_s)
            took_s = _WORK_S * _pace(number, now_s) * rng.uniform(0.8, 1.2)
            running.append((now_s + took_s, chosen.server, now_s))
            running.sort(key=lambda one: one[0])
        return [count / sum(counts) for count in counts]

    def end(
        self,
        tracker: server_tracker.ServerTracker,
        now_s: float,
        server: fleet.Server,
        began_s: float,
        figure: _Figure,
        counts: list[int],
    ) -> None:
        number = _SERVERS.index(server)
        stated: float | None = _pace(number, now_s)
        if number == 0:
            stated = figure(_pace(number, now_s), counts[0])
        if stated is not None:
            tracker.paces.note(server, stated, now_s)
        pace = tracker.paces.note_duration(
            server, now_s - began_s, began_s, now_s
        )
        tracker.ended(server.start)
        tracker.succeeded(server.start, (now_s - began_s) / pace)

    def test_no_wrong_figure_draws_all_calls_or_none(self) -> None:
        """Guards against a server that its figure makes idle or overloaded.

        Figures that are not credible reach the policy as not stated.
        """
        wrong: dict[str, _Figure] = {
            "never stated": lambda pace, count: None,
            "always usual": lambda pace, count: 1.0,
            "always least": lambda pace, count: 0.1,
            "always most": lambda pace, count: 20.0,
            "in every second answer": lambda pace, count: (
                pace if count % 2 else None
            ),
            "frozen": lambda pace, count: 2.5,
            "at random": lambda pace, count: random.Random(count).choice(
                (0.1, 20.0)
            ),
            "inverse": lambda pace, count: 3.5 - pace,
        }
        for name, figure in wrong.items():
            with self.subTest(name):
                share = self.shares(figure)[0]
                self.assertGreater(share, 0.1)
                self.assertLess(share, 0.5)


class EngineTest(unittest.TestCase):
    """Use of the pace for engines, and what is learned beside it."""

    def setUp(self) -> None:
        self.clock = build.ManualClock()
        self.tracker = server_tracker.ServerTracker("zone-a")
        self.engine = build.server("engine", role="decode")
        self.estimates = engine_estimates.EngineEstimates(
            self.tracker, self.clock, _Notices(), lambda _: 400_000
        )
        self.estimates.set_engines((self.engine,))

    def run_prompt(
        self, slowdown: float, stated_pace: float | None
    ) -> tuple[prompt_placement.Plan, float]:
        """Lets the engine prefill a prompt, and returns how long it took.

        It takes as long as at the initial speed, times the slowdown.
        """
        parts = (request.PromptPart(f"own-{self.clock.now_s}", 10_000),)
        prompt = request.Prompt("m", 10_000, 100, parts)
        placed = self.estimates.record_placement(
            build.routed_request(self.clock.now_s, prompt=prompt),
            table.Service("service", 100, build.ENGINE),
            self.plan(),
        )
        sent_s = self.clock.now_s
        awaited = self.estimates.prefill_sent(placed)
        usual = engine_speeds.Speeds().decode.prefill_time(10_000, 0)
        self.clock.now_s += usual.total_s * slowdown
        if stated_pace is not None:
            self.tracker.paces.note(self.engine, stated_pace, self.clock.now_s)
        self.estimates.answer_began(placed, awaited)
        return placed.plan, self.clock.now_s - sent_s

    def view(self) -> prompt_placement.EngineView:
        return self.estimates.view(self.engine, (), 1.0)

    def plan(self) -> prompt_placement.Plan:
        shape = prompt_placement.PromptShape(10_000, 0, 18_432.0, 46e9)
        speeds = self.estimates.speeds("service")
        (plan,) = prompt_placement.plans(shape, speeds, [], [self.view()])
        return plan

    def test_a_stated_pace_is_not_learned_as_well(self) -> None:
        """Guards against a slow phase that counts twice.

        The pace would be stated and also be learned from the durations.
        """
        for number in range(200):
            pace = 2.0 if number // 10 % 2 else 1.0
            self.run_prompt(pace, pace)
            self.clock.now_s += 0.5
        learned = self.estimates.speeds("service").decode.token_s
        usual = engine_speeds.Speeds().decode.token_s
        self.assertAlmostEqual(learned / usual, 1.0, delta=0.1)
        self.tracker.paces.note(self.engine, 2.0, self.clock.now_s)
        self.assertAlmostEqual(self.view().slowdown, 2.0, delta=0.2)

    def test_without_a_stated_pace_nothing_changes(self) -> None:
        """Guards against other decisions where loads have three figures."""
        expected = engine_speeds.EngineSpeeds()
        rng = random.Random(3)
        for _ in range(50):
            plan, took_s = self.run_prompt(rng.uniform(0.5, 3.0), None)
            expected.learn_prefill(
                self.engine,
                plan.prefill_time,
                plan.prefill_engine.wait_s + plan.copy_s,
                took_s,
                self.clock.now_s,
            )
            self.assertEqual(
                self.view().slowdown,
                expected.pace("engine", self.clock.now_s),
            )
        self.assertEqual(self.estimates.speeds("service"), expected.speeds)

    def test_plain_servers_without_a_stated_pace(self) -> None:
        """Guards against other decisions where loads have three figures."""
        for number, server in enumerate(_SERVERS):
            load = request.ReportedLoad(number, 0, 6)
            self.tracker.reported(server.start, load, 10.0)
            pace = self.tracker.paces.note_duration(server, 0.1, 9.9, 10.0)
            self.tracker.succeeded(server.start, 0.02 * (number + 1) / pace)
        candidates = self.tracker.candidates(_SERVERS, 10.1)
        self.assertEqual([one.slowdown for one in candidates], [1, 1, 1.5, 2])
        self.assertEqual([one.longest_s for one in candidates], [None] * 4)

    def test_a_slow_phase_lengthens_the_time_until_a_certain_answer(
        self,
    ) -> None:
        for server in _SERVERS:
            self.tracker.succeeded(server.start, 0.02)
            self.tracker.paces.note(server, 1.0, 9.9)
        self.tracker.paces.note(_SERVERS[0], 2.5, 9.99)
        slow, *usual = self.tracker.candidates(_SERVERS, 10.0)
        longest_s = [one.longest_s or 0.0 for one in usual]
        self.assertGreater(slow.longest_s or 0.0, 0.05)
        self.assertGreater(min(longest_s), 0.02)
        self.assertLess(max(longest_s), slow.longest_s or 0.0)


if __name__ == "__main__":
    unittest.main()

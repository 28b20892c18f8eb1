"""Tests prompt placement: home engines, plans, and the cost of copies."""

import random
import unittest

from mulberrywharf.policy import (
    engine_queues,
    engine_speeds,
    part_homes,
    prompt_placement,
)
from mulberrywharf.policy.prompt_placement import EngineView, PromptShape
from tests import builders_routes as build

SPEEDS = engine_speeds.Speeds(
    prefill=engine_speeds.RoleSpeed(0.031, 9.8e-6, 0.218e-9),
    decode=engine_speeds.RoleSpeed(0.031, 22.3e-6, 0.495e-9),
    takeover_s=0.015,
)
SHAPE = PromptShape(
    tokens=16_000,
    shared_tokens=13_000,
    kv_token_bytes=18_432.0,
    link_bytes_per_s=46e9,
)
SHORT = SHAPE._replace(tokens=300, shared_tokens=0)


def view(name: str, role: str, **changes: object) -> EngineView:
    made = EngineView(build.server(name, role=role))
    return made._replace(**changes)


def best(
    shape: PromptShape, prefills: list[EngineView], decodes: list[EngineView]
) -> prompt_placement.Plan:
    return prompt_placement.plans(shape, SPEEDS, prefills, decodes)[0]


class PlansTest(unittest.TestCase):
    def setUp(self) -> None:
        self.prefill = view("p1", "prefill")
        self.decode = view("d1", "decode")

    def test_long_prompt_is_prefilled_at_a_prefill_engine(self) -> None:
        plan = best(SHAPE, [self.prefill], [self.decode])
        self.assertEqual(plan.prefill_engine.server.server_id, "p1")
        self.assertEqual(plan.decode.server.server_id, "d1")

    def test_short_prompt_is_prefilled_at_its_decode_engine(self) -> None:
        plan = best(SHORT, [self.prefill], [self.decode])
        self.assertIsNone(plan.prefill)

    def test_long_prefill_queue_moves_the_prefill_to_a_decode_engine(
        self,
    ) -> None:
        full = self.prefill._replace(wait_s=2.0)
        holder = self.decode._replace(cached_tokens=13_000)
        plan = best(SHAPE, [full], [holder])
        self.assertIsNone(plan.prefill)

    def test_prompt_goes_to_the_engine_that_holds_its_part(self) -> None:
        holder = view("p2", "prefill", cached_tokens=13_000, wait_s=0.03)
        plan = best(SHAPE, [self.prefill, holder], [self.decode])
        self.assertEqual(plan.prefill_engine.server.server_id, "p2")

    def test_prompt_avoids_a_holder_with_a_long_queue(self) -> None:
        holder = view("p2", "prefill", cached_tokens=13_000, wait_s=0.8)
        plan = best(SHAPE, [self.prefill, holder], [self.decode])
        self.assertNotEqual(plan.prefill_engine.server.server_id, "p2")

    def test_missing_part_is_fetched_from_its_holder(self) -> None:
        holder = self.decode._replace(cached_tokens=13_000, wait_s=0.5)
        plan = best(SHAPE, [self.prefill], [holder])
        assert plan.fetch_from is not None
        self.assertEqual(plan.fetch_from.server_id, "d1")
        self.assertLess(plan.first_token_s, 0.12)

    def test_engine_that_holds_the_part_still_gets_a_copy_source(self) -> None:
        """A prompt takes 0.5 s longer than planned.

        An engine evicts a part just before a prompt arrives that was sent there
        for it. Without a source to copy from, the engine prefilled the part
        again although another engine held it.
        """
        first = self.prefill._replace(cached_tokens=13_000)
        second = self.decode._replace(cached_tokens=13_000)
        plan = best(SHAPE, [first], [second])
        assert plan.fetch_from is not None
        self.assertNotEqual(plan.fetch_from, plan.prefill_engine.server)

    def test_nothing_is_fetched_from_a_suspected_engine(self) -> None:
        holder = self.decode._replace(cached_tokens=13_000, is_suspected=True)
        plan = best(SHAPE, [self.prefill], [holder])
        self.assertIsNone(plan.fetch_from)

    def test_suspected_engine_is_used_only_without_an_alternative(self) -> None:
        suspected = self.decode._replace(is_suspected=True)
        other = view("d2", "decode", running_share=0.9)
        plan = best(SHORT, [], [suspected, other])
        self.assertEqual(plan.decode.server.server_id, "d2")
        plan = best(SHORT, [], [suspected])
        self.assertEqual(plan.decode.server.server_id, "d1")

    def test_shorter_queue_in_another_zone_is_preferred(self) -> None:
        """Callers are refused in a large fleet although engines are idle.

        The prefill engines of one zone are busy, and those of another are
        reported idle. A queue whose prompts the node did not follow was assumed
        to be 0.1 s longer than reported.
        """
        far = view("p2", "prefill", wait_s=0.05, is_same_zone=False)
        busy = self.prefill._replace(wait_s=0.05)
        plan = best(SHAPE, [busy, far], [self.decode])
        self.assertEqual(plan.prefill_engine.server.server_id, "p1")
        busier = self.prefill._replace(wait_s=0.08)
        plan = best(SHAPE, [busier, far], [self.decode])
        self.assertEqual(plan.prefill_engine.server.server_id, "p2")

    def test_there_is_no_plan_without_a_decode_engine(self) -> None:
        self.assertEqual(
            prompt_placement.plans(SHAPE, SPEEDS, [self.prefill], []), []
        )

    def test_slow_engine_is_avoided(self) -> None:
        slow = self.prefill._replace(slowdown=4.0)
        plan = best(SHAPE, [slow, view("p2", "prefill")], [self.decode])
        self.assertEqual(plan.prefill_engine.server.server_id, "p2")

    def test_transfer_between_zones_takes_longer(self) -> None:
        far = self.prefill._replace(
            server=self.prefill.server._replace(availability_zone="zone-b")
        )
        near = best(SHAPE, [self.prefill], [self.decode])
        distant = best(SHAPE, [far], [self.decode])
        self.assertGreater(distant.first_token_s, near.first_token_s + 0.005)


class HomesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engines = [build.server(f"e{number}") for number in range(6)]

    def test_homes_do_not_depend_on_the_order_of_engines(self) -> None:
        one = part_homes.home_engines_of(7, self.engines)
        two = part_homes.home_engines_of(7, reversed(self.engines))
        self.assertEqual(one, two)
        self.assertEqual(len(one), part_homes.HOMES_COUNT)

    def test_leaving_engine_moves_only_its_own_parts(self) -> None:
        moved = 0
        for number in range(300):
            before = part_homes.home_engines_of(number, self.engines)[0]
            after = part_homes.home_engines_of(number, self.engines[1:])[0]
            if before == self.engines[0]:
                continue
            moved += before != after
        self.assertEqual(moved, 0)


class SampleTest(unittest.TestCase):
    def test_small_fleet_is_not_sampled(self) -> None:
        engines = [build.server(f"e{number}") for number in range(5)]
        found = part_homes.sample([], engines, random.Random(1))
        self.assertEqual(found, engines)

    def test_sample_of_a_large_fleet_includes_the_homes(self) -> None:
        engines = [build.server(f"e{number}") for number in range(100)]
        homes = part_homes.home_engines_of(7, engines)
        found = part_homes.sample(homes, engines, random.Random(1))
        self.assertEqual(found[:3], homes)
        self.assertEqual(len(set(found)), part_homes.SAMPLE_COUNT)

    def test_sample_does_not_leave_out_the_sound_engines(self) -> None:
        """Guards against plans that compare suspected engines alone."""
        engines = [build.server(f"e{number}") for number in range(100)]
        homes = part_homes.home_engines_of(7, engines)
        sound = {one for one in engines[:8] if one not in homes}
        for seed in range(50):
            found = part_homes.sample(
                homes,
                engines,
                random.Random(seed),
                is_preferred=lambda one: one not in sound,
                is_suspected=lambda one: one not in sound,
            )
            left_out = sound.difference(found)
            self.assertEqual(len(found), part_homes.SAMPLE_COUNT)
            self.assertEqual(len(left_out), max(0, len(sound) - 5))


class BurstTest(unittest.TestCase):
    """Simulates a burst of long prompts.

    Two prefill and three decode engines serve 30 prompts a second for four
    seconds. Their 30 shared parts fit into the memory of all engines together,
    but not of one alone.
    """

    RATE_PER_S = 30
    LENGTH_S = 4.0
    PARTS_COUNT = 30

    def simulate(self, copy_weight: float) -> tuple[float, int]:
        """Returns the longest first-token time and the number of copies."""
        before = prompt_placement.COPY_WEIGHT
        prompt_placement.COPY_WEIGHT = copy_weight
        try:
            return self._simulate()
        finally:
            prompt_placement.COPY_WEIGHT = before

    def _simulate(self) -> tuple[float, int]:
        queues = engine_queues.EngineQueues()
        held: dict[str, dict[int, int]] = {
            name: {} for name in ("p1", "p2", "d1", "d2", "d3")
        }
        longest_s, copies = 0.0, 0
        for number in range(int(self.RATE_PER_S * self.LENGTH_S)):
            now_s = number / self.RATE_PER_S
            part = number * 7 % self.PARTS_COUNT
            views = {
                name: view(
                    name,
                    "prefill" if name[0] == "p" else "decode",
                    wait_s=queues.wait_s(name, now_s),
                    cached_tokens=held[name].get(part, 0),
                )
                for name in held
            }
            plan = best(
                SHAPE,
                [views["p1"], views["p2"]],
                [views["d1"], views["d2"], views["d3"]],
            )
            prefill_engine_id = plan.prefill_engine.server.server_id
            queues.add(prefill_engine_id, plan.prefill_work_s, now_s)
            longest_s = max(longest_s, plan.first_token_s)
            for name in {prefill_engine_id, plan.decode.server.server_id}:
                copies += part not in held[name]
                held[name][part] = SHAPE.shared_tokens
        return longest_s, copies

    def test_copy_cost_reduces_copies_without_longer_waits(self) -> None:
        """Shared parts are prefilled again and again in a burst.

        Each prompt goes to the least loaded engines, so that every engine gets
        a copy of every part and evicts others for it. The
        comparison of plans did not count the cost of a copy.
        """
        longest_without_s, copies_without = self.simulate(0.0)
        longest_s, copies = self.simulate(prompt_placement.COPY_WEIGHT)
        self.assertLess(copies, 0.8 * copies_without)
        self.assertLessEqual(longest_s, longest_without_s)

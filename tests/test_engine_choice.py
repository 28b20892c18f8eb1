"""Tests the choice of the engine that a request runs on."""

import collections
import random
import unittest
from collections.abc import Sequence
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import engine_choice, prefix_index
from tests import builders_fleet

_NOW_S = 1000.0


def _request(**fields: Any) -> engine_choice.RequestShape:
    values: dict[str, Any] = {
        "model": builders_fleet.MODEL,
        "prompt_tokens": 1_000,
        "expected_output_tokens": 100,
        "availability_zone": builders_fleet.ZONE,
    }
    return engine_choice.RequestShape(**(values | fields))


def _choose(
    views: Sequence[fleet.EngineView],
    request: engine_choice.RequestShape | None = None,
    *,
    index: prefix_index.PrefixIndex | None = None,
    seed: int = 1,
    **options: Any,
) -> Result[engine_choice.Choice, errors.NoEngineError]:
    return engine_choice.choose(
        views,
        request or _request(),
        index or prefix_index.PrefixIndex.from_config(),
        random.Random(seed),
        now_s=_NOW_S,
        **options,
    )


class EligibilityTest(unittest.TestCase):
    def test_unavailable_engine_is_never_chosen(self):
        cases: dict[str, dict[str, Any]] = {
            "draining": {"state": "draining"},
            "changing": {"state": "changing"},
            "failed": {"state": "failed"},
            "unknown": {"state": "unknown"},
            "leaving": {"vm_state": "leaving"},
            "drain notice": {"drained": True},
            "other model": {"models": ("tags-1b",)},
        }
        for name, fields in cases.items():
            with self.subTest(name):
                unavailable = builders_fleet.view("barred", **fields)
                alone = _choose([unavailable])
                self.assertIsInstance(alone.unwrap_err(), errors.NoEngineError)
                # It is not chosen even if the alternative has a long queue.
                other = builders_fleet.view(
                    "other", waiting_prompt_tokens=10**7
                )
                for seed in range(5):
                    choice = _choose([unavailable, other], seed=seed).unwrap()
                    self.assertEqual(choice.decode.vm_id, "other")

    def test_adapter_must_be_loaded(self):
        views = [
            builders_fleet.view("plain"),
            builders_fleet.view("adapted", adapters=("venues",)),
        ]
        choice = _choose(views, _request(adapter="venues")).unwrap()
        self.assertEqual(choice.prefill.vm_id, "adapted")

    def test_excluded_engine_is_not_chosen(self):
        views = [builders_fleet.view("a"), builders_fleet.view("b")]
        choice = _choose(views, excluded_engine_ids={"a"}).unwrap()
        self.assertEqual(choice.decode.vm_id, "b")

    def test_engine_without_fresh_report_is_tried_last(self):
        silent = builders_fleet.view("silent", has_report=False)
        old = builders_fleet.view("old", report_age_s=60.0)
        loaded = builders_fleet.view("loaded", waiting_prompt_tokens=50_000)
        for seed in range(5):
            choice = _choose([silent, old, loaded], seed=seed).unwrap()
            self.assertEqual(choice.decode.vm_id, "loaded")
        self.assertEqual(_choose([silent]).unwrap().decode.vm_id, "silent")

    def test_refusal_has_not_run_outcome_and_retry_after(self):
        error = _choose([]).unwrap_err()
        self.assertEqual(error.outcome, "not-run")
        self.assertGreater(error.retry_after_s, 0)


class ScoreTest(unittest.TestCase):
    def _assert_prefers(
        self, better: fleet.EngineView, worse: fleet.EngineView, **options: Any
    ) -> None:
        for seed in range(5):
            for views in ([better, worse], [worse, better]):
                choice = _choose(views, seed=seed, **options).unwrap()
                self.assertEqual(choice.decode.vm_id, better.vm.vm_id)

    def test_engine_with_lower_cost_is_chosen(self):
        view = builders_fleet.view
        cases: dict[str, fleet.EngineView] = {
            "waiting prompts": view("worse", waiting_prompt_tokens=20_000),
            "own prompts since": view("worse", own_prompt_tokens_since=20_000),
            "batch": view("worse", running_count=60),
            "own in flight": view("worse", own_in_flight_count=60),
            "slow prefill": view("worse", prefill_tokens_per_s=500.0),
            "recent failures": view("worse", failures_recent_count=2),
            "zone": view("worse", zone=builders_fleet.OTHER_ZONE),
        }
        for name, worse in cases.items():
            with self.subTest(name):
                self._assert_prefers(view("better"), worse)

    def test_other_zone_is_chosen_if_preferred_zone_is_much_slower(self):
        home = builders_fleet.view("home", waiting_prompt_tokens=50_000)
        away = builders_fleet.view("away", zone=builders_fleet.OTHER_ZONE)
        self._assert_prefers(away, home)

    def test_zone_preferred_by_rule_overrides_own_zone(self):
        home = builders_fleet.view("home")
        away = builders_fleet.view("away", zone=builders_fleet.OTHER_ZONE)
        self._assert_prefers(away, home, prefer_zone=builders_fleet.OTHER_ZONE)

    def test_engine_measured_slow_is_avoided(self):
        views = [builders_fleet.view("slow"), builders_fleet.view("normal")]
        for seed in range(5):
            choice = _choose(views, seed=seed, slow_factors={"slow": 4.0})
            self.assertEqual(choice.unwrap().decode.vm_id, "normal")

    def test_cached_prefix_outweighs_small_difference_in_wait(self):
        prompt = " ".join(f"w{i}" for i in range(6_400))
        hashes = prefix_index.prompt_block_hashes(prompt)
        index = prefix_index.PrefixIndex.from_config()
        index.record_prefill("holder", hashes, _NOW_S)
        holder = builders_fleet.view("holder", waiting_prompt_tokens=1_000)
        others = [builders_fleet.view(f"e{i}") for i in range(30)]
        request = _request(prompt_tokens=6_400, prompt_block_hashes=hashes)
        choice = _choose([*others, holder], request, index=index).unwrap()
        self.assertEqual(choice.prefill.vm_id, "holder")
        self.assertEqual(choice.cached_tokens, 6_400)

    def test_weight_of_report_decays_with_age(self):
        """Guards against routers overloading an engine with an old idle report.

        If the weight of a report did not decay, an engine whose 10 s old
        report says idle would look better to every router than a slightly
        busy engine with a fresh report, until its next report arrives.
        """
        old = builders_fleet.view("old", report_age_s=10.0)
        busy = builders_fleet.view("busy", waiting_prompt_tokens=90_000)
        fresh = builders_fleet.view(
            "fresh", report_age_s=0.0, waiting_prompt_tokens=5_000
        )
        sample_all = engine_choice.ChoiceSettings(preferred_zone_sample_count=3)
        for seed in range(5):
            result = _choose([old, busy, fresh], seed=seed, settings=sample_all)
            self.assertEqual(result.unwrap().decode.vm_id, "fresh")


class SplitTest(unittest.TestCase):
    def _views(self, **decode_fields: Any) -> list[fleet.EngineView]:
        return [
            builders_fleet.view("first", role="prefill"),
            builders_fleet.view("second", role="decode", **decode_fields),
        ]

    def test_long_prompt_is_split_between_engines(self):
        request = _request(prompt_tokens=8_000)
        choice = _choose(self._views(), request).unwrap()
        self.assertTrue(choice.is_split)
        self.assertEqual(choice.prefill.vm_id, "first")
        self.assertEqual(choice.decode.vm_id, "second")

    def test_short_prompt_is_not_split(self):
        request = _request(prompt_tokens=30)
        choice = _choose(self._views(), request).unwrap()
        self.assertFalse(choice.is_split)
        self.assertEqual(choice.decode.vm_id, "second")

    def test_prompt_cached_by_decode_engine_is_not_split(self):
        prompt = " ".join(["w"] * 6_400)
        hashes = prefix_index.prompt_block_hashes(prompt)
        index = prefix_index.PrefixIndex.from_config()
        index.record_prefill("second", hashes, _NOW_S)
        request = _request(prompt_tokens=6_400, prompt_block_hashes=hashes)
        choice = _choose(self._views(), request, index=index).unwrap()
        self.assertFalse(choice.is_split)

    def test_prefill_engine_never_decodes(self):
        only_prefill = [builders_fleet.view("first", role="prefill")]
        self.assertTrue(_choose(only_prefill).is_err())


class ThunderingHerdTest(unittest.TestCase):
    def test_routers_with_the_same_reports_spread_over_engines(self):
        """Guards against all routers choosing the same engine.

        Many routers decide on the same reports, and one of ten engines is
        slightly less loaded. If each router took the engine with the best
        estimate, all would send to that one until the next report.
        """
        views = [
            builders_fleet.view(f"e{i}", waiting_prompt_tokens=200)
            for i in range(9)
        ]
        views.append(builders_fleet.view("best"))
        chosen = collections.Counter(
            _choose(views, seed=seed).unwrap().decode.vm_id
            for seed in range(2_000)
        )
        self.assertEqual(len(chosen), len(views))
        self.assertLess(chosen["best"], 2_000 / 3)


class ChoicePropertyTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["prefill", "decode", "mixed"]),
                st.sampled_from(["ready", "draining", "changing", "failed"]),
                st.booleans(),
                st.floats(0, 60),
                st.integers(0, 10**6),
            ),
            max_size=8,
        ),
        st.integers(0, 100),
    )
    @settings(derandomize=True, deadline=None)
    def test_chosen_engines_can_serve(self, rows, seed):
        views = [
            builders_fleet.view(
                f"e{i}",
                role=role,
                state=state,
                drained=drained,
                report_age_s=age_s,
                waiting_prompt_tokens=waiting,
            )
            for i, (role, state, drained, age_s, waiting) in enumerate(rows)
        ]
        by_id = {view.vm.vm_id: view for view in views}
        request = _request()
        result = _choose(views, request, seed=seed)
        if result.is_err():
            serving = [v for v in views if engine_choice.serves(v, request)]
            self.assertTrue(all(v.report.role == "prefill" for v in serving))
            return
        choice = result.unwrap()
        for vm in (choice.prefill, choice.decode):
            self.assertTrue(engine_choice.serves(by_id[vm.vm_id], request))
        self.assertNotEqual(by_id[choice.decode.vm_id].report.role, "prefill")
        self.assertGreaterEqual(choice.first_token_s, 0)


if __name__ == "__main__":
    unittest.main()

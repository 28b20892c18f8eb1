"""Tests of the adaptive limit on concurrent requests at one engine."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.policy import concurrency

_IDLE_S = 0.1


def _limit() -> concurrency.ConcurrencyLimit:
    return concurrency.ConcurrencyLimit.from_config()


def _feed(
    limit: concurrency.ConcurrencyLimit, capacity_count: int, samples: int
) -> None:
    """Uses the limit fully at an engine that slows beyond a capacity."""
    for _ in range(samples):
        in_flight = limit.limit_count
        overload = max(1.0, in_flight / capacity_count)
        limit.on_first_token(_IDLE_S * 2 * overload, _IDLE_S, in_flight)


class ConcurrencyLimitTest(unittest.TestCase):
    def test_converges_near_the_capacity_of_the_engine(self):
        for capacity_count in (8, 40, 100):
            with self.subTest(capacity_count=capacity_count):
                limit = _limit()
                _feed(limit, capacity_count, 500)
                self.assertGreater(limit.limit_count, capacity_count)
                self.assertLess(limit.limit_count, capacity_count * 3)

    def test_shrinks_when_the_engine_slows_down(self):
        limit = _limit()
        _feed(limit, 100, 500)
        before_count = limit.limit_count
        _feed(limit, 10, 100)
        self.assertLess(limit.limit_count, before_count / 3)

    def test_unused_limit_does_not_grow(self):
        limit = _limit()
        before_count = limit.limit_count
        for _ in range(100):
            limit.on_first_token(_IDLE_S, _IDLE_S, 1)
        self.assertEqual(limit.limit_count, before_count)

    def test_delay_of_a_long_prompt_does_not_count_as_overload(self):
        limit = _limit()
        before_count = limit.limit_count
        for _ in range(50):
            limit.on_first_token(2.0, 1.9, before_count)
        self.assertGreaterEqual(limit.limit_count, before_count)

    def test_slow_token_rate_shrinks_the_limit_despite_early_first_tokens(self):
        """Guards against slow token generation at engines with a full batch.

        Short prompts fill the batch: each first token arrives early, while all
        answers slow down. A limit that considers only the delay of first
        tokens keeps growing.
        """
        limit = _limit()
        for _ in range(100):
            in_flight = limit.limit_count
            limit.on_first_token(_IDLE_S, _IDLE_S, in_flight)
            limit.on_answer(0.002 * in_flight, 0.028, in_flight)
        self.assertLessEqual(0.002 * limit.limit_count, 0.032)
        self.assertGreaterEqual(limit.limit_count, 8)

    def test_token_rate_within_the_target_keeps_the_limit(self):
        limit = _limit()
        before_count = limit.limit_count
        limit.on_answer(0.01, 0.028, before_count)
        self.assertEqual(limit.limit_count, before_count)

    def test_simultaneous_refusals_reduce_the_limit_once(self):
        limit = concurrency.ConcurrencyLimit.from_config(
            concurrency.ConcurrencySettings(initial_limit_count=100.0)
        )
        for _ in range(20):
            limit.on_refused(10.0)
        self.assertEqual(limit.limit_count, 70)
        limit.on_refused(12.0)
        self.assertEqual(limit.limit_count, 49)

    @given(
        st.lists(
            st.tuples(
                st.floats(0, 100), st.floats(0, 100), st.integers(0, 500)
            ),
            max_size=100,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_stays_within_its_bounds(self, samples):
        limit = _limit()
        for number, (delay_s, idle_delay_s, in_flight) in enumerate(samples):
            limit.on_first_token(delay_s, idle_delay_s, in_flight)
            if number % 3 == 0:
                limit.on_refused(float(number))
            self.assertGreaterEqual(limit.limit_count, 2)
            self.assertLessEqual(limit.limit_count, 256)


if __name__ == "__main__":
    unittest.main()

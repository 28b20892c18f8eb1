"""Tests the detection of engines that are slower than they report."""

import unittest

from mulberrywharf.policy import pace


def _meter(paces_s: dict[str, float], times: int = 10) -> pace.PaceMeter:
    meter = pace.PaceMeter.from_config()
    for _ in range(times):
        for engine_id, between_tokens_s in paces_s.items():
            meter.on_pace(engine_id, between_tokens_s, 0.0)
    return meter


class PaceMeterTest(unittest.TestCase):
    _PACES_S = {"a": 0.02, "b": 0.022, "c": 0.025, "slow": 0.08}

    def test_slow_engine_is_detected_without_its_report(self):
        """A slow engine keeps being chosen.

        Its accelerator is throttled, but its reports state the usual speeds.
        Only reports were considered.
        """
        factors = _meter(self._PACES_S).slow_factors(0.0)
        self.assertEqual(list(factors), ["slow"])
        self.assertGreater(factors["slow"], 3)

    def test_slow_factor_decays_without_new_answers(self):
        meter = _meter(self._PACES_S)
        factors = meter.slow_factors(100.0)
        self.assertLess(factors["slow"], 1.01)

    def test_recovered_engine_has_no_slow_factor(self):
        meter = _meter(self._PACES_S)
        for _ in range(10):
            meter.on_pace("slow", 0.02, 1.0)
        self.assertFalse(meter.slow_factors(1.0))

    def test_few_engines_are_not_compared(self):
        meter = _meter({"a": 0.02, "slow": 0.2})
        self.assertFalse(meter.slow_factors(0.0))

    def test_engine_that_left_is_forgotten(self):
        meter = _meter(self._PACES_S)
        meter.forget("slow")
        self.assertFalse(meter.slow_factors(0.0))


if __name__ == "__main__":
    unittest.main()

"""The seeded workload and the counts by second of what became of it."""

import unittest

from bench import load, workload

_CUSTOMERS = ["crew-scheduling", "dispatch"]
_SWING = [
    workload.Phase(20.0, 25.0, 0.1),
    workload.Phase(20.0, 25.0, 0.7),
]


class OpenWorkloadTest(unittest.TestCase):
    def test_the_seed_alone_decides(self) -> None:
        calls = workload.open_workload(_SWING, _CUSTOMERS, 7)
        self.assertEqual(calls, workload.open_workload(_SWING, _CUSTOMERS, 7))
        self.assertNotEqual(
            calls, workload.open_workload(_SWING, _CUSTOMERS, 8)
        )

    def test_phases_keep_their_time_rate_and_mix(self) -> None:
        calls = workload.open_workload(_SWING, _CUSTOMERS, 7)
        self.assertEqual(calls, sorted(calls, key=lambda call: call.at_s))
        for index, phase in enumerate(_SWING):
            with self.subTest(phase=index):
                own = [call for call in calls if call.phase_index == index]
                begin_s = 20.0 * index
                self.assertGreaterEqual(own[0].at_s, begin_s)
                self.assertLess(own[-1].at_s, begin_s + phase.duration_s)
                rate_per_s = len(own) / phase.duration_s
                self.assertAlmostEqual(rate_per_s, phase.rate_per_s, delta=5.0)
                contracts = [c for c in own if len(c.prompt.split()) > 1000]
                self.assertAlmostEqual(
                    len(contracts) / len(own), phase.contract_share, delta=0.1
                )


class CountsBySecondTest(unittest.TestCase):
    def test_instants_fall_into_their_second(self) -> None:
        cases = [
            ([], 2.0, [0, 0]),
            ([0.0, 0.99, 1.0], 2.0, [2, 1]),
            ([1.7], 1.5, [0, 1]),
            ([-0.5, 2.0], 2.0, [0, 0]),
        ]
        for instants_s, duration_s, expected in cases:
            with self.subTest(instants_s=instants_s):
                self.assertEqual(
                    load.count_by_second(instants_s, duration_s), expected
                )

    def test_good_answers_count_when_their_call_was_due(self) -> None:
        outcomes = [
            _outcome(0.2, first_token_ms=1200.0),
            _outcome(0.9, first_token_ms=1400.0),
            _outcome(1.1, first_token_ms=20.0),
        ]
        counts = load.by_second(outcomes, load.Targets(), 2.0)
        self.assertEqual(counts, load.SecondCounts([2, 1], [1, 1]))


def _outcome(at_s: float, first_token_ms: float) -> load.CallOutcome:
    call = workload.Call(at_s, "dispatch", "ping", 4, 0)
    return load.CallOutcome(call, 200, "", True, first_token_ms, 8.0, 2000.0)


if __name__ == "__main__":
    unittest.main()

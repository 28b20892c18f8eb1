"""Plays the division of a server's request limit in virtual time."""

import unittest

from bench import limit_play

SEEDS = (1, 2)
FULLY_USED = (
    "calm",
    "few gateways with callers",
    "low limit",
    "high limit",
    "registrations are lost",
)
LEAST_USED_SHARE = 0.95
LEAST_USED_WITHOUT_OWNER_SHARE = 0.1


class LimitPlayTest(unittest.TestCase):
    def play_all(self, gateways_count: int) -> None:
        for name, scene in limit_play.SCENES.items():
            sized = scene._replace(gateways_count=gateways_count)
            for seed in SEEDS:
                with self.subTest(scene=name, seed=seed):
                    outcome = limit_play.play(sized, seed)
                    self.assertLessEqual(outcome.most_over, 0)
                    least_used_share = (
                        LEAST_USED_SHARE
                        if name in FULLY_USED
                        else LEAST_USED_WITHOUT_OWNER_SHARE
                    )
                    self.assertGreaterEqual(
                        outcome.used_share, least_used_share
                    )

    def test_9_gateways(self) -> None:
        self.play_all(9)

    def test_60_gateways(self) -> None:
        self.play_all(60)

    def test_195_gateways(self) -> None:
        self.play_all(195)


if __name__ == "__main__":
    unittest.main()

"""Plays the budget of repeats at all gateways of a fleet in virtual time."""

import unittest

from bench import repeat_play

SMALLEST, SMALL, LARGE, LARGEST = repeat_play.SIZES
LARGE_SCENES = (
    "crashes 9.7 s apart",
    "leases lapse, then a restart",
    "VMs are replaced",
)


class RepeatPlayTest(unittest.TestCase):
    """Guards against more repeats than operators allow over all gateways."""

    def check(self, name: str, size: repeat_play.Size, seed: int) -> None:
        with self.subTest(scene=name, size=size, seed=seed):
            scene = repeat_play.sized(repeat_play.SCENES[name], size)
            outcome = repeat_play.play(scene, seed)
            self.assertLessEqual(outcome.excess_count, 0)

    def test_9_gateways(self) -> None:
        for name in repeat_play.SCENES:
            for seed in (1, 2):
                self.check(name, SMALLEST, seed)

    def test_61_gateways(self) -> None:
        for name in repeat_play.SCENES:
            self.check(name, SMALL, 1)

    def test_195_gateways(self) -> None:
        for name in LARGE_SCENES:
            self.check(name, LARGE, 1)

    def test_340_gateways(self) -> None:
        self.check(LARGE_SCENES[1], LARGEST, 1)


if __name__ == "__main__":
    unittest.main()

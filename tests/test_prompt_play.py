"""The same code places well on engines of unlike speed, told nothing of it."""

import unittest

from loguru import logger

from bench import prompt_play


class PromptPlayTest(unittest.TestCase):
    """Plays 400 prompts at 0.7 of what the prefill engines can read."""

    def setUp(self) -> None:
        logger.disable("mulberrywharf")
        self.addCleanup(logger.enable, "mulberrywharf")

    def play(
        self, speed: str, chain_length: int, *, learns: bool = True
    ) -> prompt_play.Outcome:
        prompts = prompt_play.Prompts(chain_length=chain_length)
        return prompt_play.Play(
            prompt_play.SPEEDS[speed], prompts, learns=learns
        ).run(400)

    def test_callers_are_served_in_time_at_any_speed(self) -> None:
        for speed in prompt_play.SPEEDS:
            for chain_length in (1, 2):
                with self.subTest(speed=speed, chain_length=chain_length):
                    outcome = self.play(speed, chain_length)
                    self.assertGreater(outcome.in_time_share, 0.9)
                    self.assertGreater(outcome.estimate_ratio, 0.8)
                    self.assertLess(outcome.estimate_ratio, 1.3)

    def test_chains_of_any_length_are_found_again(self) -> None:
        """Nothing is believed cached where prompts begin with two parts.

        Cause: the longest part alone was in account. Of the shared tokens of
        chains of two parts none were believed held before; now 0.8 of them
        are found where prompts are sent, of chains of four 0.6, which don't
        fit into the engines.
        """
        for chain_length, least in ((1, 0.9), (2, 0.7), (4, 0.5)):
            outcome = self.play("slow", chain_length)
            self.assertGreater(outcome.hit_share, least, chain_length)

    def test_speeds_of_one_operator_fail_another(self) -> None:
        """Half of all prompts come late on engines of half the speed.

        Cause: estimates went by one operator's engines: answers took 3.0
        times what was estimated, and 0.52 of 800 prompts with chains of four
        parts were in time. Learned, it is 1.2 times, and 0.74.
        """
        fixed = self.play("slow", 4, learns=False)
        learned = self.play("slow", 4)
        self.assertGreater(fixed.estimate_ratio, 2.0)
        self.assertLess(learned.estimate_ratio, 1.5)
        self.assertGreater(learned.in_time_share, fixed.in_time_share + 0.1)


class LargeFleetTest(unittest.TestCase):
    """Plays 2,000 prompts on 60 gateways that are told of work by zones."""

    def setUp(self) -> None:
        logger.disable("mulberrywharf")
        self.addCleanup(logger.enable, "mulberrywharf")

    def play(
        self, prompts: prompt_play.Prompts | None = None
    ) -> prompt_play.Outcome:
        return prompt_play.Play(
            prompt_play.SPEEDS["slow"],
            prompts or prompt_play.Prompts(),
            shape=prompt_play.LARGE,
        ).run(2_000)

    def test_queues_are_known_within_what_notices_may_cost(self) -> None:
        """Half of all long prompts come late on a fleet of 60 gateways.

        Sequence: each placement is told to the 20 gateways of the engine's
        zone, which takes three times the bytes that a gateway may spend; so
        notices wait for a second and more, and each gateway sends to queues
        that look empty. Short prompts are not told at all. Cause: what it
        takes to tell a queue grew with the number of gateways, and what they
        may spend did not.

        Evidence: on a played day prefills of long prompts took 2.2 times what
        was expected at engines of the own zone; with forty times the bytes
        0.44 of them were in time instead of 0.33, and 0.55 with short prompts
        told as well.
        """
        for prompts in (prompt_play.Prompts(), prompt_play.MIXED):
            outcome = self.play(prompts)
            with self.subTest(short_share=prompts.short_share):
                self.assertGreater(outcome.in_time_share, 0.9)

    def test_streams_of_other_zones_are_left_in_peace(self) -> None:
        """Streams pause for longer than callers accept in a large fleet.

        Sequence: gateways hear of the work of their own zone's engines; those
        of other zones look idle to all of them, so long prompts are read
        there, between the tokens of the streams that they run. Cause: not to
        hear of work was taken for there being none. Of 2,000 prompts' streams
        0.61 paused without the loads that zones tell each other and without
        owners of queues.
        """
        outcome = self.play()
        # Either of the two keeps them in peace: who asks for the true queues
        # of engines elsewhere does not take them for idle.
        with (
            prompt_play.without("owners of queues"),
            prompt_play.without("loads of other zones"),
        ):
            before = self.play()
        self.assertLess(outcome.paused_share, 0.1)
        self.assertGreater(before.paused_share, 0.1)
        self.assertGreater(outcome.in_time_share, 0.9)


if __name__ == "__main__":
    unittest.main()

"""Tests of the bound on large answers that a gateway holds together."""

import random
import unittest

from mulberrywharf import errors
from mulberrywharf.forwarding import held_answers
from tests.test_plain_call import CallCase, answer

LARGE_BYTES = 2 * held_answers.SMALL_LIMIT_BYTES


class HeldAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.held = held_answers.HeldAnswers(limit_bytes=3 * LARGE_BYTES)

    def test_large_answers_are_bounded_together(self) -> None:
        holds = [self.held.hold() for _ in range(4)]
        self.assertEqual(
            [hold.add(LARGE_BYTES) for hold in holds], [True] * 3 + [False]
        )
        holds[0].close()
        self.assertTrue(self.held.hold().add(LARGE_BYTES))

    def test_small_answers_need_no_room(self) -> None:
        holds = [self.held.hold() for _ in range(3)]
        self.assertTrue(all(hold.add(LARGE_BYTES) for hold in holds))
        small = self.held.hold()
        self.assertTrue(small.add(held_answers.SMALL_LIMIT_BYTES))
        self.assertFalse(small.add(1))

    def test_whatever_ends_a_hold_releases_it_once(self) -> None:
        """Guards against room that is lost with callers who have left."""
        rng = random.Random(1)
        for _ in range(1000):
            hold = self.held.hold()
            while hold.add(rng.randrange(LARGE_BYTES)) and rng.random() < 0.8:
                pass
            for _ in range(rng.randrange(3)):
                hold.close()
        del hold
        self.assertTrue(self.held.take(3 * LARGE_BYTES))


class HeldCallTest(CallCase):
    held = held_answers.HeldAnswers(limit_bytes=LARGE_BYTES)

    def test_an_answer_without_room_says_nothing_of_its_server(self) -> None:
        """Guards against sound servers that a full gateway avoids."""
        server = self.respond_with(answer(b"x" * LARGE_BYTES))
        first = self.call(server)
        with self.assertRaises(errors.BackEndLostError):
            self.call(server)
        self.assertFalse(
            self.tracker.is_suspected(
                first.head.server, self.clock.monotonic_s()
            )
        )
        first.close()
        self.assertEqual(len(self.call(server).body), LARGE_BYTES)


if __name__ == "__main__":
    unittest.main()

"""Which requests are blocked for the ends of servers under them."""

import itertools
import unittest

from mulberrywharf.policy import crash_suspects

CULPRIT = 1
OTHER = 2


def end(
    server_key: int, at_s: float = 0.0, *, made_output: bool = False
) -> crash_suspects.End:
    return crash_suspects.End(server_key, made_output, at_s)


class BlockedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()

    def blocked(self, now_s: float = 1.0) -> list[int]:
        return self.suspects.blocked(now_s)

    def test_an_end_without_output_makes_a_request_suspected(self) -> None:
        self.suspects.note_end(CULPRIT, end(10))
        self.suspects.note_end(OTHER, end(10, made_output=True))
        self.assertTrue(self.suspects.is_recent_suspect(CULPRIT, 0.0))
        self.assertFalse(self.suspects.is_recent_suspect(OTHER, 0.0))
        self.assertFalse(
            self.suspects.is_recent_suspect(
                CULPRIT, crash_suspects.RECENT_END_S
            )
        )
        self.assertEqual(self.suspects.ended_servers(), {10})

    def test_one_end_blocks_nobody(self) -> None:
        self.suspects.note_end(CULPRIT, end(10))
        self.assertEqual(self.blocked(), [])

    def test_who_was_at_both_alone_is_blocked(self) -> None:
        for fingerprint, server_key in [
            (CULPRIT, 10),
            (OTHER, 10),
            (CULPRIT, 11),
            (3, 11),
        ]:
            self.suspects.note_end(fingerprint, end(server_key))
        self.assertEqual(self.blocked(), [CULPRIT])

    def test_two_that_were_at_both_are_not_told_apart(self) -> None:
        for fingerprint, server_key in itertools.product(
            (CULPRIT, OTHER), (10, 11)
        ):
            self.suspects.note_end(fingerprint, end(server_key))
        self.assertEqual(self.blocked(), [])
        self.suspects.note_whole(OTHER, 0.5)
        self.assertEqual(self.blocked(), [CULPRIT])

    def test_output_speaks_for_a_request_up_to_the_third_end(self) -> None:
        for server_key in (10, 11, 12):
            self.assertEqual(self.blocked(), [])
            self.suspects.note_end(CULPRIT, end(server_key, made_output=True))
        self.assertEqual(self.blocked(), [CULPRIT])

    def test_the_same_end_counts_once(self) -> None:
        self.assertTrue(self.suspects.note_end(CULPRIT, end(10)))
        self.assertFalse(self.suspects.note_end(CULPRIT, end(10, 0.2)))
        self.assertEqual(self.blocked(), [])

    def test_what_is_heard_in_any_order_gives_one_verdict(self) -> None:
        heard = [
            (CULPRIT, end(10)),
            (CULPRIT, end(11)),
            (OTHER, end(10)),
            (OTHER, end(11, made_output=True)),
        ]
        for order in itertools.permutations(heard):
            suspects = crash_suspects.CrashSuspects()
            for fingerprint, one in order:
                suspects.note_end(fingerprint, one)
            self.assertEqual(suspects.blocked(1.0), [CULPRIT])

    def test_it_is_blocked_for_a_time(self) -> None:
        for server_key, at_s in ((10, 0.0), (11, 5.0)):
            self.suspects.note_end(CULPRIT, end(server_key, at_s))
        self.assertEqual(self.suspects.blocked_for_s(CULPRIT, 65.0), 540.0)
        self.assertEqual(self.blocked(604.0), [CULPRIT])
        self.assertEqual(self.blocked(605.0), [])
        self.assertTrue(self.suspects.is_empty)


class ClearedTest(unittest.TestCase):
    def test_a_request_of_many_callers_outlives_the_end_of_all_servers(
        self,
    ) -> None:
        suspects = crash_suspects.CrashSuspects()
        suspects.note_whole(OTHER, 0.0)
        for server_key in (10, 11, 12):
            suspects.note_end(OTHER, end(server_key, 1.0))
        self.assertEqual(suspects.blocked(1.0), [])

    def test_it_is_suspected_again_some_time_after_it_ended_whole(
        self,
    ) -> None:
        suspects = crash_suspects.CrashSuspects()
        suspects.note_whole(CULPRIT, 0.0)
        for number in range(3):
            suspects.note_end(CULPRIT, end(number, 11.0 + number))
        self.assertEqual(suspects.blocked(14.0), [CULPRIT])


class BoundedTest(unittest.TestCase):
    def test_the_oldest_makes_room(self) -> None:
        suspects = crash_suspects.CrashSuspects()
        limit_count = crash_suspects.SUSPECTS_LIMIT_COUNT
        for fingerprint in range(limit_count + 5):
            suspects.note_end(fingerprint, end(1, fingerprint * 0.001))
        self.assertEqual(suspects.ends(0, 2.0), ())
        self.assertEqual(len(suspects.ends(5, 2.0)), 1)


if __name__ == "__main__":
    unittest.main()

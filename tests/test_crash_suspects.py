"""Tests of which requests are blocked because servers ended running them."""

import itertools
import unittest

from mulberrywharf.policy import crash_suspects
from tests.builders_crashes import blocked_requests, end, record_end, traits

CULPRIT = 1
OTHER = 2


class BlockedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()

    def blocked(self, now_s: float = 1.0) -> list[int]:
        return blocked_requests(self.suspects, now_s)

    def test_request_is_a_recent_suspect_only_without_output(self) -> None:
        record_end(self.suspects, CULPRIT, end(10))
        record_end(self.suspects, OTHER, end(10, made_output=True))
        self.assertTrue(self.suspects.is_recent_suspect(traits(CULPRIT), 0.0))
        self.assertFalse(self.suspects.is_recent_suspect(traits(OTHER), 0.0))
        self.assertFalse(
            self.suspects.is_recent_suspect(
                traits(CULPRIT), crash_suspects.RECENT_END_S
            )
        )
        self.assertEqual(self.suspects.ended_servers(), {10})

    def test_one_end_blocks_no_request(self) -> None:
        record_end(self.suspects, CULPRIT, end(10))
        self.assertEqual(self.blocked(), [])

    def test_only_request_on_both_ended_servers_is_blocked(self) -> None:
        for fingerprint, server_key in [
            (CULPRIT, 10),
            (OTHER, 10),
            (CULPRIT, 11),
            (3, 11),
        ]:
            record_end(self.suspects, fingerprint, end(server_key))
        self.assertEqual(self.blocked(), [CULPRIT])

    def test_two_common_requests_are_not_blocked_until_one_completes(
        self,
    ) -> None:
        for fingerprint, server_key in itertools.product(
            (CULPRIT, OTHER), (10, 11)
        ):
            record_end(self.suspects, fingerprint, end(server_key))
        self.assertEqual(self.blocked(), [])
        self.suspects.record_completed(OTHER, 0.5)
        self.assertEqual(self.blocked(), [CULPRIT])

    def test_request_with_output_is_blocked_only_at_the_third_end(self) -> None:
        for server_key in (10, 11, 12):
            self.assertEqual(self.blocked(), [])
            record_end(
                self.suspects, CULPRIT, end(server_key, made_output=True)
            )
        self.assertEqual(self.blocked(), [CULPRIT])

    def test_the_same_end_counts_once(self) -> None:
        self.assertTrue(record_end(self.suspects, CULPRIT, end(10)))
        self.assertFalse(record_end(self.suspects, CULPRIT, end(10, 0.2)))
        self.assertEqual(self.blocked(), [])

    def test_blocking_does_not_depend_on_the_order_of_reports(self) -> None:
        reports = [
            (CULPRIT, end(10)),
            (CULPRIT, end(11)),
            (OTHER, end(10)),
            (OTHER, end(11, made_output=True)),
        ]
        for order in itertools.permutations(reports):
            suspects = crash_suspects.CrashSuspects()
            for fingerprint, server_end in order:
                record_end(suspects, fingerprint, server_end)
            self.assertEqual(blocked_requests(suspects, 1.0), [CULPRIT])

    def test_blocked_request_is_tried_again_some_time_later(self) -> None:
        for server_key, at_s in ((10, 0.0), (11, 5.0)):
            record_end(self.suspects, CULPRIT, end(server_key, at_s))
        (block,) = self.suspects.blocks(65.0)
        self.assertEqual(self.suspects.retry_after_s(block, 65.0), 540.0)
        self.assertFalse(self.suspects.may_try(block, 604.0))
        self.assertTrue(self.suspects.may_try(block, 605.0))
        self.assertEqual(self.blocked(605.0), [CULPRIT])

    def test_one_trial_at_a_time(self) -> None:
        for server_key in (10, 11):
            record_end(self.suspects, CULPRIT, end(server_key))
        (block,) = self.suspects.blocks(600.0)
        self.suspects.record_trial(block.key, 600.0)
        self.assertFalse(self.suspects.may_try(block, 601.0))
        self.assertTrue(
            self.suspects.may_try(block, 600.0 + crash_suspects.TRIAL_RESULT_S)
        )

    def test_a_trial_that_ends_a_server_blocks_the_request_again(self) -> None:
        for server_key, at_s in ((10, 0.0), (11, 0.0), (12, 600.0)):
            record_end(self.suspects, CULPRIT, end(server_key, at_s))
        (block,) = self.suspects.blocks(600.0)
        self.assertFalse(self.suspects.may_try(block, 1199.0))

    def test_a_trial_that_completes_ends_the_block(self) -> None:
        for server_key in (10, 11):
            record_end(self.suspects, CULPRIT, end(server_key))
        self.suspects.record_completed(CULPRIT, 601.0)
        self.assertEqual(self.blocked(602.0), [])
        self.assertTrue(self.suspects.is_empty)

    def test_evidence_expires_unless_it_is_the_reason_of_a_block(self) -> None:
        record_end(self.suspects, OTHER, end(9))
        for server_key in (10, 11):
            record_end(self.suspects, CULPRIT, end(server_key))
        kept_s = crash_suspects.SUSPECT_KEPT_S
        self.assertEqual(len(self.suspects.ends(OTHER, kept_s - 1.0)), 1)
        self.assertEqual(self.suspects.ends(OTHER, kept_s + 1.0), ())
        self.assertEqual(self.blocked(kept_s + 1.0), [CULPRIT])
        self.assertEqual(
            self.blocked(kept_s + crash_suspects.TRIAL_KEPT_S + 1.0), []
        )
        self.assertTrue(self.suspects.is_empty)


class ClearedTest(unittest.TestCase):
    def test_completed_request_is_not_blocked_when_all_servers_end(
        self,
    ) -> None:
        suspects = crash_suspects.CrashSuspects()
        suspects.record_completed(OTHER, 0.0)
        for server_key in (10, 11, 12):
            record_end(suspects, OTHER, end(server_key, 1.0))
        self.assertEqual(blocked_requests(suspects, 1.0), [])

    def test_request_can_be_blocked_again_some_time_after_it_completed(
        self,
    ) -> None:
        suspects = crash_suspects.CrashSuspects()
        suspects.record_completed(CULPRIT, 0.0)
        for number in range(3):
            record_end(suspects, CULPRIT, end(number, 11.0 + number))
        self.assertEqual(blocked_requests(suspects, 14.0), [CULPRIT])


class BoundedTest(unittest.TestCase):
    def test_oldest_suspect_is_evicted_when_full(self) -> None:
        suspects = crash_suspects.CrashSuspects()
        limit_count = crash_suspects.SUSPECTS_LIMIT_COUNT
        for fingerprint in range(limit_count + 5):
            record_end(suspects, fingerprint, end(1, fingerprint * 0.001))
        self.assertEqual(suspects.ends(0, 2.0), ())
        self.assertEqual(len(suspects.ends(5, 2.0)), 1)


if __name__ == "__main__":
    unittest.main()

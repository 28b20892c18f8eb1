"""Plays releases beside gateways that are out of step, in virtual time."""

import unittest
from typing import Any

from bench import out_of_step_play, stream_version_play

SHORTEST_S, MIDDLE_S, LONGEST_S = out_of_step_play.OUT_S


class OutOfStepPlayTest(unittest.TestCase):
    """No stream holds events of two versions.

    One that its gateway can find is refused only where the gateway can't read
    the store or ask others.
    """

    def play(
        self, gateways_count: int, **changes: Any
    ) -> out_of_step_play.Outcome:
        scene = out_of_step_play.Scene(
            gateways_count=gateways_count,
            zones_count=stream_version_play.SIZES[gateways_count],
        )
        outcome = out_of_step_play.play(scene._replace(**changes))
        self.assertGreaterEqual(outcome.taken_up_count, 12)
        return outcome

    def play_faults(self, gateways_count: int, **changes: Any) -> None:
        for fault in out_of_step_play.FAULTS:
            with self.subTest(fault=fault, **changes):
                outcome = self.play(gateways_count, fault=fault, **changes)
                self.assertEqual(outcome.joined_count, 0)
                # Killed gateways take along where streams began.
                if changes.get("kills_others"):
                    continue
                self.assertEqual(outcome.refused_in_contact_count, 0)

    def test_no_versions_are_joined_at_9_gateways(self) -> None:
        """Guards against a stream that goes on at another version."""
        for out_s in out_of_step_play.OUT_S:
            self.play_faults(9, out_s=out_s)
            self.play_faults(9, out_s=out_s, named_share=0.0)
            self.play_faults(9, out_s=out_s, kills_others=True)

    def test_no_versions_are_joined_at_60_gateways(self) -> None:
        """Guards against a stream that goes on at another version."""
        self.play_faults(60, out_s=MIDDLE_S)
        self.play_faults(60, out_s=MIDDLE_S, named_share=0.0)
        self.play_faults(60, out_s=SHORTEST_S, kills_others=True)

    def test_no_version_that_has_left_is_joined(self) -> None:
        """Guards against a lent history without a version that has left."""
        for fault in out_of_step_play.FAULTS:
            if fault == "late watch":
                continue
            for count, out_s in (
                (9, SHORTEST_S),
                (9, LONGEST_S),
                (60, SHORTEST_S),
            ):
                self.check_canary(count, fault, out_s)

    def test_no_version_that_the_store_never_showed_is_joined(self) -> None:
        """Guards against a late watch that is confirmed by as late a reading.

        The version leaves before the records are read.
        """
        for out_s in (SHORTEST_S, MIDDLE_S):
            self.check_canary(60, "late watch", out_s)

    def check_canary(
        self, count: int, fault: out_of_step_play.Fault, out_s: float
    ) -> None:
        with self.subTest(count=count, fault=fault, out_s=out_s):
            outcome = self.play(
                count,
                fault=fault,
                out_s=out_s,
                kills_others=True,
                is_canary=True,
            )
            self.assertEqual(outcome.joined_count, 0)

    def test_all_go_on_while_there_is_one_version(self) -> None:
        for gateways_count in (9, 60):
            outcome = self.play(gateways_count, joins=False)
            self.assertEqual(outcome.went_on_share, 1.0)

    def test_late_watch_that_confirms_itself_joins_versions(self) -> None:
        """Guards against scenes in which nothing can be joined."""
        outcome = self.play(
            9, fault="late watch", way="changes", named_share=0.0
        )
        self.assertGreater(outcome.joined_count, 0)


if __name__ == "__main__":
    unittest.main()

"""Tests when a new lease holder may order an engine."""

import unittest

from mulberrywharf.authority import takeover_delay

_QUIET = takeover_delay.TakeoverDelay(10.0, 2.0, 0.5, frozenset(("careful",)))


class QuietTimeTest(unittest.TestCase):
    def test_only_engines_that_ignore_fencing_numbers_are_waited_for(self):
        cases = (
            ("careful", True, 100.0),
            ("careless", True, 112.5),
            ("careless", False, 100.0),
            ("unknown-kind", True, 112.5),
        )
        for kind, unsettled, ends_s in cases:
            with self.subTest(kind=kind, unsettled=unsettled):
                takeover = takeover_delay.Takeover(100.0, unsettled)
                self.assertEqual(_QUIET.ends_s(takeover, kind), ends_s)

    def test_holder_that_leaves_early_does_not_end_its_predecessors_wait(
        self,
    ):
        """Guards against an order of the last holder but one arriving late.

        A holder releases the lease before its own wait has ended. It must not
        record that all orders are settled, or the next holder orders
        immediately.
        """
        takeover = takeover_delay.Takeover(100.0, True)
        self.assertFalse(_QUIET.has_ended(takeover, 112.0))
        self.assertTrue(_QUIET.has_ended(takeover, 112.5))
        settled = takeover_delay.Takeover(100.0, False)
        self.assertTrue(_QUIET.has_ended(settled, 100.0))


if __name__ == "__main__":
    unittest.main()

"""When a new lease holder may order which engine."""

import unittest

from mulberrywharf.authority import quiet_time

_QUIET = quiet_time.QuietTime(10.0, 2.0, 0.5, frozenset(("careful",)))


class QuietTimeTest(unittest.TestCase):
    def test_only_engines_that_ignore_the_number_need_it(self):
        cases = (
            ("careful", True, 100.0),
            ("careless", True, 112.5),
            ("careless", False, 100.0),
            ("unknown-kind", True, 112.5),
        )
        for kind, unsettled, ends_s in cases:
            with self.subTest(kind=kind, unsettled=unsettled):
                takeover = quiet_time.Takeover(100.0, unsettled)
                self.assertEqual(_QUIET.ends_s(takeover, kind), ends_s)

    def test_a_holder_that_leaves_early_does_not_end_its_predecessors_time(
        self,
    ):
        """A holder is released within its own quiet time.

        Symptom: the next holder orders at once and an order of the last but
        one arrives after it. Cause: "settled" was taken for more than the
        releasing holder could know.
        """
        takeover = quiet_time.Takeover(100.0, True)
        self.assertFalse(_QUIET.all_over(takeover, 112.0))
        self.assertTrue(_QUIET.all_over(takeover, 112.5))
        settled = quiet_time.Takeover(100.0, False)
        self.assertTrue(_QUIET.all_over(settled, 100.0))


if __name__ == "__main__":
    unittest.main()

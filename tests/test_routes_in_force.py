"""Tests of which version of the routes callers find in force."""

import unittest

from proofs import routes_in_force, routes_in_force_runs

_LENGTH_S = 10.0
_SEED = 1


def write(version: int, at_s: float) -> routes_in_force.Write:
    return routes_in_force.Write(version, at_s, at_s)


def seen(
    at_s: float, added: int | None, service: int | None, boot: int = 1
) -> routes_in_force.Seen:
    return routes_in_force.Seen(0, boot, at_s, at_s, added, service)


class JudgeTest(unittest.TestCase):
    """The judge finds what it is meant to find."""

    writes = [write(1, 0.0), write(2, 10.0), write(3, 11.0)]

    def forms(
        self, *answers: routes_in_force.Seen, is_in_touch: bool = True
    ) -> list[str]:
        judged = routes_in_force.judge(
            answers, self.writes, lambda *_: is_in_touch
        )
        return [case.form for case in judged.cases]

    def test_lateness_counts_from_the_oldest_change_that_is_missing(
        self,
    ) -> None:
        self.assertEqual(self.forms(seen(12.1, 2, None)), ["late"])
        self.assertEqual(self.forms(seen(12.9, 3, None)), [])
        self.assertEqual(self.forms(seen(13.1, 3, None)), ["late"])
        self.assertEqual(self.forms(seen(12.1, None, 1)), ["late"])

    def test_answers_in_time_or_by_the_newest_version_pass(self) -> None:
        self.assertEqual(self.forms(seen(11.9, 2, None)), [])
        self.assertEqual(self.forms(seen(20.0, 3, 0)), [])
        self.assertEqual(self.forms(seen(20.0, None, 0)), [])

    def test_gateways_out_of_touch_may_be_late_and_not_return(self) -> None:
        self.assertEqual(self.forms(seen(20.0, 3, None), is_in_touch=False), [])
        found = self.forms(
            seen(11.1, 3, 0), seen(11.5, 2, None), is_in_touch=False
        )
        self.assertEqual(found, ["older"])

    def test_a_new_process_may_begin_with_an_older_version(self) -> None:
        found = self.forms(seen(11.1, 3, 0), seen(11.5, 2, None, boot=2))
        self.assertEqual(found, [])

    def test_answers_that_no_version_allows_are_found(self) -> None:
        self.assertEqual(self.forms(seen(11.5, 4, 0)), ["older"])


class RunTest(unittest.TestCase):
    def test_changes_are_in_force_in_time_beside_troubles(self) -> None:
        played = routes_in_force_runs.play(_SEED, length_s=_LENGTH_S)
        self.assertEqual(played.cases, [], played.fleet.troubles)
        self.assertGreater(len(played.fleet.seen), 1_000)
        self.assertGreater(len(played.fleet.writes), 3)


if __name__ == "__main__":
    unittest.main()

"""Runs every test module and prints one plain closing line.

A test that is listed in ``KNOWN-RED.txt`` (one line each: test id, cause,
issue; three at most) is run and printed, and its failure alone doesn't fail
the run. A listed test that passes does: the list must then be shortened.
"""

import pathlib
import sys
import unittest
from collections.abc import Iterable

_KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")
_KNOWN_RED_LIMIT_COUNT = 3


def known_red_ids(lines: Iterable[str]) -> list[str]:
    """Reads the test ids of a known-red list; blank lines are skipped."""
    return [line.split(",")[0].strip() for line in lines if line.strip()]


def judge(known: list[str], failed: list[str]) -> list[str]:
    """Lists why a run fails, given the ids that failed; empty when green."""
    reasons = [f"failed: {test}" for test in failed if test not in known]
    reasons += [f"listed but green: {t}" for t in known if t not in failed]
    if len(known) > _KNOWN_RED_LIMIT_COUNT:
        reasons.append(f"{len(known)} known-red tests, 3 at most")
    return reasons


def main() -> int:
    """Discovers and runs the tests; returns the exit code."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = sorted(
        {_test_id(test) for test, _ in outcome.failures + outcome.errors}
        | {_test_id(test) for test in outcome.unexpectedSuccesses}
    )
    known = []
    if _KNOWN_RED_PATH.exists():
        known = known_red_ids(_KNOWN_RED_PATH.read_text().splitlines())
        print("KNOWN RED:\n" + _KNOWN_RED_PATH.read_text())
    reasons = judge(known, failed)
    print("\n".join(reasons))
    skipped_count = len(outcome.skipped)
    passed_count = outcome.testsRun - len(failed) - skipped_count
    print(
        f"{passed_count} passed, {len(failed)} failed, {skipped_count} skipped"
    )
    return 1 if reasons or not outcome.testsRun else 0


def _test_id(test: unittest.TestCase) -> str:
    """Names the whole test, also when only one of its sub-tests failed."""
    return getattr(test, "test_case", test).id()


if __name__ == "__main__":
    sys.exit(main())

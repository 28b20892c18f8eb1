"""Runs every test module and prints one plain closing line."""

import sys
import unittest


def main() -> int:
    """Discovers and runs the tests; returns the exit code."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    runner = unittest.TextTestRunner(verbosity=1)
    outcome = runner.run(suite)
    failed_count = len(outcome.failures) + len(outcome.errors)
    skipped_count = len(outcome.skipped)
    passed_count = outcome.testsRun - failed_count - skipped_count
    print(
        f"{passed_count} passed, {failed_count} failed, {skipped_count} skipped"
    )
    return 1 if failed_count or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())

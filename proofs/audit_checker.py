"""Checks collected logs against every invariant.

``python -m proofs.audit_checker FILE.json`` prints each violation on a line
of its own and exits with 1 if there is any, with 2 if the file can't be used,
and with 3 if a log was lost, so that what was seen proves too little.
"""

import argparse
import sys
from collections.abc import Sequence

from result import Err

from proofs import (
    configuration_checks,
    histories,
    order_checks,
    request_checks,
)
from proofs.violations import Violation

_EXIT_VIOLATIONS = 1
_EXIT_BAD_FILE = 2
_EXIT_LOST_LOGS = 3


def check(history: histories.History) -> list[Violation]:
    """Returns every violation of every invariant; empty is good.

    Checks against the key-value service's writes need them: they are left out
    if the history has no ``key_value_writes`` at all.
    """
    return [
        *check_orders(history),
        *check_requests(history),
        *configuration_checks.check_versions(history),
        *configuration_checks.check_none_lost(history),
        *order_checks.check_final_state(history),
    ]


def check_orders(history: histories.History) -> list[Violation]:
    """Returns the violations that concern orders to engines."""
    logs = history.get("engines", [])
    violations = [
        *order_checks.check_fencing(logs),
        *order_checks.check_overlap(logs),
        *order_checks.check_cuts(logs),
    ]
    if "key_value_writes" in history:
        writes = history["key_value_writes"]
        early_ended = history.get("early_ended_fencing_numbers", [])
        violations += order_checks.check_recorded_first(logs, writes)
        violations += order_checks.check_authority(logs, writes, early_ended)
    return violations


def check_requests(history: histories.History) -> list[Violation]:
    """Returns the violations that concern callers' requests."""
    return [
        *request_checks.check_at_most_once(history),
        *request_checks.check_not_run(history),
        *request_checks.check_answers(history),
        *request_checks.check_leaving(history),
    ]


def main(arguments: Sequence[str] | None = None) -> int:
    """Checks one file; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", help="JSON document of the collected logs")
    path = parser.parse_args(arguments).file
    loaded = histories.load(path)
    if isinstance(loaded, Err):
        print(loaded.err_value.message, file=sys.stderr)
        return _EXIT_BAD_FILE
    history = loaded.ok_value
    violations = check(history)
    for violation in violations:
        print(f"{violation.kind} {violation.subject}: {violation.detail}")
    lost = history.get("lost_logs", [])
    print(f"{len(violations)} violation(s), {len(lost)} lost log(s) {lost}")
    if violations:
        return _EXIT_VIOLATIONS
    return _EXIT_LOST_LOGS if lost else 0


if __name__ == "__main__":
    sys.exit(main())

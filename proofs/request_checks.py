"""Invariants of callers' requests."""

import collections
from collections.abc import Iterator

from proofs import histories
from proofs.violations import Violation
from standins import engine_tokens

LEAVING_GRACE_S = 5.0
"""How long after its listing a leaving VM may still receive new work."""

_DEFAULT_IDEMPOTENT_PATHS = ("/echo",)


def check_at_most_once(history: histories.History) -> Iterator[Violation]:
    """Finds non-idempotent calls that ran twice, by request and by key."""
    by_request: collections.Counter[str] = collections.Counter()
    by_key: collections.defaultdict[
        tuple[str, str], list[histories.BackendRun]
    ] = collections.defaultdict(list)
    for run in _non_idempotent_runs(history):
        by_request[run["request_id"]] += 1
        if run["idempotency_key"]:
            by_key[run["path"], run["idempotency_key"]].append(run)
    for request_id, count in by_request.items():
        if request_id and count > 1:
            detail = f"the request ran {count} times"
            yield Violation("ran-twice", request_id, detail)
    customers = {
        record["request_id"]: record.get("customer", "")
        for record in history.get("callers", [])
    }
    for (path, key), runs in by_key.items():
        count = _highest_count(runs, customers)
        if count > 1:
            ids = [run["request_id"] for run in runs]
            detail = f"{path} ran {count} times with that key: {ids}"
            yield Violation("ran-twice", key, detail)


def check_not_run(history: histories.History) -> Iterator[Violation]:
    """Finds requests that were told not to have run, and did."""
    places = _places_of_runs(history)
    for record in history.get("callers", []):
        if record["outcome"] != "not-run":
            continue
        if record["request_id"] in places:
            detail = f"ran at {places[record['request_id']]}"
            yield Violation("not-run-ran", record["request_id"], detail)


def check_answers(history: histories.History) -> Iterator[Violation]:
    """Finds answers taken as whole that are not, or are another's."""
    keyed_runs = {
        (run["request_id"], run["path"], run["idempotency_key"])
        for log in history.get("backend_servers", [])
        for run in log["runs"]
    }
    for record in history.get("callers", []):
        request_id = record["request_id"]
        if record["outcome"] == "none":
            detail = "the caller got neither an answer nor a refusal"
            yield Violation("unanswered", request_id, detail)
        if record["outcome"] != "answered":
            continue
        if "prompt" in record:
            fault = _completion_fault(record)
        else:
            fault = _service_fault(record, keyed_runs)
        if fault:
            yield Violation("foreign-answer", request_id, fault)


def check_leaving(history: histories.History) -> Iterator[Violation]:
    """Finds new work at a VM that had long been listed as leaving."""
    for leaving in history.get("leaving", []):
        vm_id = leaving["vm_id"]
        for request_id, unix_s in _arrivals(history, vm_id):
            late_s = unix_s - leaving["listed_unix_s"]
            if late_s > LEAVING_GRACE_S:
                detail = f"{request_id} came {late_s:.3f} s after the listing"
                yield Violation("work-after-leaving", vm_id, detail)


def _non_idempotent_runs(
    history: histories.History,
) -> Iterator[histories.BackendRun]:
    idempotent = history.get("idempotent_paths", _DEFAULT_IDEMPOTENT_PATHS)
    for log in history.get("backend_servers", []):
        for run in log["runs"]:
            if run["path"] not in idempotent:
                yield run


def _highest_count(
    runs: list[histories.BackendRun], customers: dict[str, str]
) -> int:
    """Returns how often one customer's key may have run.

    A run whose customer nobody recorded counts for each of them: it may be a
    repeat that the system made under an id of its own.
    """
    known = [customers.get(run["request_id"]) for run in runs]
    unknown_count = known.count(None)
    counts = collections.Counter(c for c in known if c is not None)
    return max(counts.values(), default=0) + unknown_count


def _places_of_runs(history: histories.History) -> dict[str, list[str]]:
    places = collections.defaultdict(list)
    for log in history.get("engines", []):
        for run in log["runs"]:
            places[run["request_id"]].append(log["engine_id"])
    for backend_log in history.get("backend_servers", []):
        for backend_run in backend_log["runs"]:
            places[backend_run["request_id"]].append(backend_log["vm_id"])
    return dict(places)


def _completion_fault(record: histories.CallerRecord) -> str:
    expected = engine_tokens.answer_text(
        record["model"], record["prompt"], record.get("max_tokens")
    )
    got = record.get("answer_text", "")
    if got == expected:
        return ""
    if expected.startswith(got):
        return f"only {len(got.split())} of {len(expected.split())} tokens"
    return f"got {got[:40]!r}, expected {expected[:40]!r}"


def _service_fault(
    record: histories.CallerRecord, keyed_runs: set[tuple[str, str, str]]
) -> str:
    answer = record.get("answer_body", {})
    if answer.get("body") != record.get("request_body", ""):
        return f"the answer belongs to the body {answer.get('body')!r}"
    answered_id = str(answer.get("request_id"))
    if answered_id == record["request_id"]:
        return ""
    key = record.get("idempotency_key", "")
    if key and (answered_id, record.get("path"), key) in keyed_runs:
        # A second press meets the answer of the first.
        return ""
    return f"the answer belongs to {answered_id}"


def _arrivals(
    history: histories.History, vm_id: str
) -> Iterator[tuple[str, float]]:
    for log in history.get("engines", []):
        if log["engine_id"] == vm_id:
            for run in log["runs"]:
                yield run["request_id"], run["came_unix_s"]
    for backend_log in history.get("backend_servers", []):
        if backend_log["vm_id"] == vm_id:
            for backend_run in backend_log["runs"]:
                yield backend_run["request_id"], backend_run["unix_s"]

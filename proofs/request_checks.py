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
    by_request: collections.defaultdict[str, list[str]] = (
        collections.defaultdict(list)
    )
    by_key: collections.defaultdict[
        tuple[str, str], list[histories.BackendRun]
    ] = collections.defaultdict(list)
    for run in _non_idempotent_runs(history):
        caller_id = histories.caller_request_id(run["request_id"])
        by_request[caller_id].append(run["request_id"])
        if run["idempotency_key"]:
            by_key[run["path"], run["idempotency_key"]].append(run)
    asked = _asked_counts(history)
    for caller_id, run_ids in by_request.items():
        if caller_id and _is_repeated(run_ids, asked[caller_id]):
            detail = f"the request ran {len(run_ids)} times: {run_ids}"
            yield Violation("ran-twice", caller_id, detail)
    customers = _customers(history)
    for (path, key), runs in by_key.items():
        count = _highest_count(runs, customers)
        if count > 1:
            ids = [run["request_id"] for run in runs]
            detail = f"{path} ran {count} times with that key: {ids}"
            yield Violation("ran-twice", key, detail)


def check_not_run(history: histories.History) -> Iterator[Violation]:
    """Finds requests that were told not to have run, and did."""
    places = _places_of_runs(history)
    told = collections.Counter(
        record["request_id"]
        for record in history.get("callers", [])
        if record["outcome"] == "not-run"
    )
    sent = collections.Counter(
        record["request_id"] for record in history.get("callers", [])
    )
    for caller_id in told:
        ran = places.get(caller_id, {})
        # Callers may share an id: the others of that id may have run.
        if len(ran) > sent[caller_id] - told[caller_id]:
            yield Violation("not-run-ran", caller_id, f"ran at {ran}")


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
        fault = _ids_fault(record)
        if record["outcome"] == "answered" and not fault:
            if "prompt" in record:
                fault = _completion_fault(record)
            else:
                fault = _service_fault(record, keyed_runs)
        if fault:
            yield Violation("foreign-answer", request_id, fault)
    yield from _shared_answers(history)


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


def _asked_counts(history: histories.History) -> collections.Counter[str]:
    """Returns how many calls under each id may have run."""
    idempotent = history.get("idempotent_paths", _DEFAULT_IDEMPOTENT_PATHS)
    return collections.Counter(
        record["request_id"]
        for record in history.get("callers", [])
        if record["outcome"] != "not-run"
        and "path" in record
        and record["path"] not in idempotent
    )


def _is_repeated(run_ids: list[str], max_asked_owners_count: int) -> bool:
    """Whether the runs under one caller's id are more than its calls."""
    by_run_id = collections.Counter(run_ids)
    return max(by_run_id.values()) > 1 or len(run_ids) > max(
        1, max_asked_owners_count
    )


def _customers(history: histories.History) -> dict[str, str]:
    """Returns the customer of each id that only one customer used."""
    found: collections.defaultdict[str, set[str]] = collections.defaultdict(set)
    for record in history.get("callers", []):
        found[record["request_id"]].add(record.get("customer", ""))
    return {
        request_id: next(iter(names))
        for request_id, names in found.items()
        if len(names) == 1
    }


def _highest_count(
    runs: list[histories.BackendRun], customers: dict[str, str]
) -> int:
    """Returns how often one customer's key may have run.

    A run whose customer nobody recorded counts for each of them: it may be a
    repeat that the system made under an id of its own.
    """
    known = [
        customers.get(histories.caller_request_id(run["request_id"]))
        for run in runs
    ]
    unknown_count = known.count(None)
    counts = collections.Counter(c for c in known if c is not None)
    return max(counts.values(), default=0) + unknown_count


def _places_of_runs(
    history: histories.History,
) -> dict[str, dict[str, list[str]]]:
    """Returns where each run was, by the caller's id and the run's."""
    places: dict[str, dict[str, list[str]]] = {}
    for vm_id, run_id in _run_places(history):
        caller_id = histories.caller_request_id(run_id)
        by_run_id = places.setdefault(caller_id, {})
        by_run_id.setdefault(run_id, []).append(vm_id)
    return places


def _run_places(history: histories.History) -> Iterator[tuple[str, str]]:
    for log in history.get("engines", []):
        for run in log["runs"]:
            yield log["engine_id"], run["request_id"]
    for backend_log in history.get("backend_servers", []):
        for backend_run in backend_log["runs"]:
            yield backend_log["vm_id"], backend_run["request_id"]


def _ids_fault(record: histories.CallerRecord) -> str:
    """Checks what arrived of a stream, whole or not."""
    ids = record.get("answer_ids", [])
    foreign = [
        run_id
        for run_id in ids
        if histories.caller_request_id(run_id) != record["request_id"]
    ]
    if foreign:
        return f"events belong to {foreign}"
    if len(set(ids)) > 1:
        return f"events belong to several requests: {ids}"
    return ""


def _shared_answers(history: histories.History) -> Iterator[Violation]:
    """Finds one run whose answer two requests got.

    Second presses of one key get the answer of the first and may.
    """
    owners: dict[str, str] = {}
    for record in history.get("callers", []):
        run_ids = set(record.get("answer_ids", []))
        key = record.get("idempotency_key", "")
        answer = record.get("answer_body", {})
        if record["outcome"] == "answered" and "request_id" in answer:
            run_ids.add(str(answer["request_id"]))
        for run_id in run_ids:
            if run_id not in owners:
                owners[run_id] = key
            elif not key or owners[run_id] != key:
                detail = f"{run_id} answered another request as well"
                yield Violation("foreign-answer", record["request_id"], detail)


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
    if histories.caller_request_id(answered_id) == record["request_id"]:
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

"""What callers asked and got, as the audit checker reads it."""

import json
from collections.abc import Iterable

from mulberrywharf import fleet
from proofs import audit_checker, collect, histories
from proofs.violations import Violation
from tests import callers_fixture, cluster


def completion(
    request_id: str, prompt: str, max_tokens: int, answer: cluster.Answer
) -> histories.CallerRecord:
    """Returns the record of a streamed completion."""
    if answer.status == 200:
        outcome: histories.CallerOutcome = (
            "answered" if answer.is_whole() else "broken"
        )
    else:
        outcome = _refusal(answer)
    record: histories.CallerRecord = {
        "request_id": request_id,
        "outcome": outcome,
        "model": cluster.MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
    }
    if answer.status == 200:
        record["answer_text"] = answer.text()
        record["answer_ids"] = _event_ids(answer)
    return record


def _event_ids(answer: cluster.Answer) -> list[str]:
    """Returns each id that a stream's events carry."""
    documents = [
        json.loads(event) for event in answer.events() if event != "[DONE]"
    ]
    return sorted({d["id"] for d in documents if "id" in d})


def press(
    request_id: str,
    path: str,
    body: bytes,
    key: str,
    answer: cluster.Answer,
) -> histories.CallerRecord:
    """Returns the record of a call to the plain service."""
    record: histories.CallerRecord = {
        "request_id": request_id,
        "outcome": "answered" if answer.status == 200 else _refusal(answer),
        "customer": callers_fixture.CUSTOMER,
        "path": path,
        "request_body": body.decode(),
        "idempotency_key": key,
    }
    if answer.status == 200:
        record["answer_body"] = answer.json()
    return record


def _refusal(answer: cluster.Answer) -> histories.CallerOutcome:
    return "not-run" if answer.outcome == "not-run" else "unknown"


def violations(
    running: cluster.Cluster, records: Iterable[histories.CallerRecord]
) -> list[Violation]:
    """Checks the records against the stand-ins' logs.

    Raises:
        AssertionError: A log could not be read, so nothing is proved.
    """
    history = collect.collect(
        engines=_addresses(running.engines),
        backend_servers=_addresses(running.backends),
    )
    history["callers"] = list(records)
    if history["lost_logs"]:
        raise AssertionError(f"lost logs: {history['lost_logs']}")
    return audit_checker.check_requests(history)


def _addresses(
    members: Iterable[cluster.Member],
) -> dict[str, fleet.Address]:
    return {
        member.vm_id: fleet.Address(cluster.LOOPBACK, member.own_port)
        for member in members
    }

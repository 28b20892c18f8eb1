"""Builders of collected logs for the audit checker's tests."""

import base64
import json
from typing import Any

from proofs import histories
from standins import engine_tokens

DRAIN_ID = "o1/drain/98900"
ENGINE_ID = "engine-1"
LEASE_NUMBER = 10
NEXT_LEASE_NUMBER = 40
LEASE_END_UNIX_S = 200.0


def order(order_id: str, unix_s: float, **changes: Any) -> Any:
    """Returns an order that took effect at once under the first lease."""
    entry = {
        "order_id": order_id,
        "fencing_number": LEASE_NUMBER,
        "action": "set-role",
        "effective": True,
        "cut_request_ids": [],
        "unix_s": unix_s,
        "ended_unix_s": unix_s + 1.0,
    }
    return {**entry, **changes}


def write(revision: int, key: str, value: Any, unix_s: float) -> Any:
    """Returns a PUT of a JSON value."""
    return {
        "revision": revision,
        "type": "PUT",
        "key": key,
        "value": base64.b64encode(json.dumps(value).encode()).decode(),
        "unix_s": unix_s,
    }


def delete(revision: int, key: str, unix_s: float) -> Any:
    """Returns a DELETE."""
    return {
        "revision": revision,
        "type": "DELETE",
        "key": key,
        "value": "",
        "unix_s": unix_s,
    }


def records(
    order_id: str, phase: str, recorded_unix_s: float = 0.0
) -> dict[str, Any]:
    """Returns the zone's order records with one engine's."""
    record = {
        "order_id": order_id,
        "phase": phase,
        "recorded_unix_s": recorded_unix_s,
    }
    return {"records": {ENGINE_ID: record}}


def configuration(version: int, change_ids: list[str]) -> dict[str, Any]:
    """Returns a stored configuration whose audit holds these changes."""
    first = version - len(change_ids) + 1
    audit = [
        {"version": first + number, "change_id": change_id}
        for number, change_id in enumerate(change_ids)
    ]
    return {"version": version, "change_id": change_ids[-1], "audit": audit}


def key_value_writes() -> list[Any]:
    """Returns two leases, two recorded orders and two configurations."""
    lease_key = "/mulberry/D/controllers/Z"
    orders_key = "/mulberry/D/orders/Z"
    config_key = "/mulberry/D/config"
    return [
        write(5, config_key, configuration(1, ["a"]), 50.0),
        write(LEASE_NUMBER, lease_key, {}, 90.0),
        write(11, orders_key, records("o1", "draining", 98.9), 99.0),
        write(12, orders_key, records("o1", "applied"), 102.0),
        write(20, config_key, configuration(2, ["a", "b"]), 150.0),
        delete(30, lease_key, LEASE_END_UNIX_S),
        write(NEXT_LEASE_NUMBER, lease_key, {}, 210.0),
        write(41, orders_key, records("o2", "recorded"), 219.0),
        write(42, orders_key, records("o2", "applied"), 222.0),
    ]


def run(request_id: str, path: str, unix_s: float, key: str = "") -> Any:
    """Returns a run of a backend server."""
    return {
        "path": path,
        "request_id": request_id,
        "idempotency_key": key,
        "unix_s": unix_s,
    }


def completion(request_id: str, **changes: Any) -> Any:
    """Returns the record of a caller that got its whole completion."""
    record = {
        "request_id": request_id,
        "outcome": "answered",
        "model": "tagger",
        "prompt": request_id,
        "max_tokens": 4,
        "answer_text": engine_tokens.answer_text("tagger", request_id, 4),
    }
    return {**record, **changes}


def call(request_id: str, **changes: Any) -> Any:
    """Returns the record of a caller whose payment was answered."""
    record = {
        "request_id": request_id,
        "outcome": "answered",
        "customer": "solano",
        "path": "/payment",
        "idempotency_key": "k1",
        "request_body": "fee",
        "answer_body": {"request_id": request_id, "body": "fee"},
    }
    return {**record, **changes}


def history() -> histories.History:
    """Returns logs of a run in which everything held."""
    return {
        "engines": [
            {
                "engine_id": ENGINE_ID,
                "orders": [
                    order(DRAIN_ID, 99.5, ended_unix_s=99.5, action="drain"),
                    order("o1", 100.0),
                    order("o0", 150.0, effective=False),
                    order("o2", 220.0, fencing_number=NEXT_LEASE_NUMBER),
                ],
                "runs": [{"request_id": "c1", "came_unix_s": 303.0}],
            }
        ],
        "backend_servers": [
            {
                "vm_id": "backend-1",
                "runs": [
                    run("p1", "/payment", 300.0, "k1"),
                    run("e1", "/echo", 301.0),
                    run("e1", "/echo", 302.0),
                ],
            }
        ],
        "key_value_writes": key_value_writes(),
        "callers": [
            completion("c1"),
            completion("c2", outcome="not-run", answer_text=""),
            completion("c3", outcome="broken", answer_text=""),
            call("p1"),
            call("p2", answer_body={"request_id": "p1", "body": "fee"}),
        ],
        "leaving": [
            {"vm_id": "backend-1", "listed_unix_s": 298.0},
            {"vm_id": ENGINE_ID, "listed_unix_s": 299.0},
        ],
        "accepted_changes": [
            {"version": 1, "change_id": "a"},
            {"version": 2, "change_id": "b"},
        ],
        "seen_versions": [
            {"vm_id": "v", "process_id": 1, "version": 2, "unix_s": 1.0},
            {"vm_id": "v", "process_id": 2, "version": 0, "unix_s": 2.0},
            {"vm_id": "v", "process_id": 2, "version": 2, "unix_s": 3.0},
        ],
        "wanted": {ENGINE_ID: {"role": "decode", "model": "tagger"}},
        "final": {
            ENGINE_ID: {
                "role": "decode",
                "state": "ready",
                "models": ["tagger"],
                "adapters": [],
                "version": "",
            }
        },
    }

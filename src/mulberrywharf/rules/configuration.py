"""The audit trail of a configuration and the difference of two documents.

The configuration itself, with its version and its stored bytes, is in
``platform_service.configuration``.
"""

import json

from typing_extensions import TypedDict

from mulberrywharf.rules.document import ADAPTER, Document

AUDIT_LIMIT_COUNT = 100
"""Changes that the stored value keeps; older ones are in the logs."""


class DiffLine(TypedDict):
    """One place that a change touched.

    Attributes:
        path: Such as ``rules.night.when.prefill_share_above``.
        before: The old value as JSON, or empty when there was none.
        after: The new value as JSON, or empty when there is none.
    """

    path: str
    before: str
    after: str


class AuditEntry(TypedDict):
    """One accepted change of the configuration."""

    version: int
    change_id: str
    author: str
    changed_unix_s: float
    note: str
    diff: list[DiffLine]


def diff(before: Document | None, after: Document) -> list[DiffLine]:
    """Lists every place in which two documents differ.

    Rules are compared by name, so that a rule that moved shows as a change of
    the order and not as a change of every rule behind it.

    Args:
        before: The document in force, or None when there is none yet.
        after: The new one.
    """
    old = _flat(before) if before is not None else {}
    new = _flat(after)
    return [
        DiffLine(path=path, before=old.get(path, ""), after=new.get(path, ""))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flat(document: Document) -> dict[str, str]:
    value = ADAPTER.dump_python(document)
    rules = value.pop("rules")
    if rules:
        value["rules"] = {
            rule["name"]: {"when": rule["when"], "then": rule["then"]}
            for rule in rules
        }
    value["rules order"] = [rule["name"] for rule in rules]
    flat: dict[str, str] = {}
    _flatten("", value, flat)
    return flat


def _flatten(prefix: str, value: object, flat: dict[str, str]) -> None:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            _flatten(f"{prefix}.{key}" if prefix else key, item, flat)
    else:
        flat[prefix] = json.dumps(value, sort_keys=True)

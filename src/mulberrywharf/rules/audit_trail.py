"""Audit entries of the configuration, and the diff of two documents.

The configuration itself, with its version and its stored form, is in
``platform_service.configuration``.
"""

import json
from typing import Annotated

import pydantic
from typing_extensions import TypedDict

from mulberrywharf.rules.document import ADAPTER, Document

AUDIT_LIMIT_COUNT = 100
"""Number of changes kept in the stored value; older ones are in the logs."""


Version = Annotated[int, pydantic.Field(ge=1, le=2**62, strict=True)]
"""Routers send the version to each other in a field of 64 bits."""

UnixTime = Annotated[
    float,
    pydantic.Field(ge=0, le=253_402_300_799, strict=True, allow_inf_nan=False),
]
"""Until the end of the year 9999, the last one that a date can show."""


class DiffLine(TypedDict):
    """One field that a change of the configuration added, set or removed.

    Attributes:
        path: Path of the field, such as
            ``rules.night.when.prefill_share_above``.
        before: The old value as JSON, or empty if there was none.
        after: The new value as JSON, or empty if there is none.
    """

    path: str
    before: str
    after: str


class AuditEntry(TypedDict):
    """One accepted change of the configuration."""

    version: Version
    change_id: str
    author: str
    changed_unix_s: UnixTime
    note: str
    diff: list[DiffLine]


def diff(before: Document | None, after: Document) -> list[DiffLine]:
    """Returns every field in which two documents differ.

    Rules are compared by name, so a rule that moved appears as a change of
    the order and not as a change of every rule after it.

    Args:
        before: The document in force, or None if there is none yet.
        after: The new document.
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

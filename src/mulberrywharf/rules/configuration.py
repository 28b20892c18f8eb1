"""A configuration as it is stored: document, version and recent changes."""

import json
from typing import Annotated, NamedTuple

import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf.errors import Fault, RulesError
from mulberrywharf.rules.document import ADAPTER, Document
from mulberrywharf.rules.parse import check_value

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


class Configuration(NamedTuple):
    """A configuration that was accepted.

    Attributes:
        version: Rises by one with each change.
        change_id: Chosen by the author; tells whether a write took effect.
        author: The operator.
        changed_unix_s: When it was accepted.
        document: What the operator wrote.
        audit: The latest changes, oldest first.
    """

    version: int
    change_id: str
    author: str
    changed_unix_s: float
    document: Document
    audit: tuple[AuditEntry, ...] = ()


class _Stored(TypedDict):
    """The stored value, whose document is checked apart."""

    version: Annotated[int, pydantic.Field(ge=1)]
    change_id: str
    author: str
    changed_unix_s: float
    document: object
    audit: list[AuditEntry]


_STORED_ADAPTER: pydantic.TypeAdapter[_Stored] = pydantic.TypeAdapter(_Stored)


def to_bytes(configuration: Configuration) -> bytes:
    """Writes a configuration as the key-value service stores it."""
    value = configuration._asdict()
    value["audit"] = list(configuration.audit[-AUDIT_LIMIT_COUNT:])
    return json.dumps(value, separators=(",", ":")).encode()


def from_bytes(stored: bytes, source: str) -> Result[Configuration, RulesError]:
    """Reads and checks a stored configuration.

    Args:
        stored: The value of the key.
        source: Where it came from, for messages.

    Returns:
        The configuration, or every fault found in it.
    """
    try:
        value = _STORED_ADAPTER.validate_json(stored)
    except pydantic.ValidationError as error:
        found = [
            Fault(
                ".".join(map(str, detail["loc"])) or "configuration",
                detail["msg"],
                "look who wrote the key; mulberryctl writes it in this form",
            )
            for detail in error.errors()
        ]
        return Err(RulesError(source, found))
    document = check_value(value["document"], source)
    if isinstance(document, Err):
        return document
    return Ok(
        Configuration(
            version=value["version"],
            change_id=value["change_id"],
            author=value["author"],
            changed_unix_s=value["changed_unix_s"],
            document=document.ok_value,
            audit=tuple(value["audit"]),
        )
    )


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

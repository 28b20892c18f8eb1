"""The operators' configuration as stored in the key-value service.

The document, its version and the latest audit entries are one value, so that
a change and its audit entry are written atomically.
"""

import json
from collections.abc import Sequence
from typing import Annotated, Any, NamedTuple

import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import errors
from mulberrywharf.rules.audit_trail import (
    AUDIT_LIMIT_COUNT,
    AuditEntry,
    DiffLine,
    UnixTime,
    Version,
)
from mulberrywharf.rules.document import Document
from mulberrywharf.rules.parse import check_value

__all__ = [
    "AuditEntry",
    "Configuration",
    "DiffLine",
    "build",
    "config_key",
    "decode",
    "decode_unchecked",
]

VALUE_LIMIT_BYTES = 950_000
"""Limit of the service for one value, less a reserve for encoding overhead."""

DIFF_LINES_LIMIT_COUNT = 20
DIFF_TEXT_LIMIT_CHARS = 200

_SOURCE = "stored configuration"


class Configuration(NamedTuple):
    """An accepted configuration.

    Attributes:
        version: Number that increases by one with each change.
        change_id: Id of the change, chosen by the author; used to find out
            whether a write took effect.
        author: The operator who made the change.
        changed_unix_s: Unix time in seconds at which it was accepted.
        document: The document that the operator wrote.
        audit: Audit entries of the latest changes, oldest first.
        raw: The stored bytes, which nodes send to each other unchanged.
    """

    version: int
    change_id: str
    author: str
    changed_unix_s: float
    document: Document
    audit: tuple[AuditEntry, ...]
    raw: bytes

    def rank(self) -> tuple[int, float, str]:
        """Returns the sort key that decides which configuration is in force.

        The higher version wins. Two configurations have the same version only
        after the service lost data. The later change then wins on every node;
        if each node kept its own, they would differ permanently.
        """
        return (self.version, self.changed_unix_s, self.change_id)


class _Stored(TypedDict):
    """The stored value; its document is validated separately."""

    version: Version
    change_id: Annotated[str, pydantic.Field(min_length=1)]
    author: str
    changed_unix_s: UnixTime
    document: dict[str, Any]
    audit: list[AuditEntry]


_ADAPTER: pydantic.TypeAdapter[_Stored] = pydantic.TypeAdapter(_Stored)


def config_key(deployment: str) -> str:
    """Returns the key that holds a deployment's configuration."""
    return f"/mulberry/{deployment}/config"


def decode(raw: bytes) -> Result[Configuration, errors.DocumentError]:
    """Decodes a stored configuration and validates its document.

    Args:
        raw: The value of the key, or the bytes received from another node.

    Returns:
        The configuration, or all faults found in it.
    """
    decoded = decode_unchecked(raw)
    if isinstance(decoded, Err):
        return decoded
    configuration = decoded.ok_value
    checked = check_value(configuration.document, _SOURCE)
    if isinstance(checked, Err):
        return checked
    return Ok(configuration._replace(document=checked.ok_value))


def decode_unchecked(
    raw: bytes,
) -> Result[Configuration, errors.DocumentError]:
    """Decodes a stored configuration without validating its document.

    A change has to read the configuration that it replaces. If faults in the
    document were an error here, a document that another release accepted
    could never be corrected.
    """
    try:
        stored = _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as error:
        faults = [
            errors.Fault(
                ".".join(str(part) for part in detail["loc"]) or "value",
                detail["msg"],
                "only mulberryctl may write this key; find what else wrote it",
            )
            for detail in error.errors()
        ]
        return Err(errors.StoredConfigurationError(_SOURCE, faults))
    return Ok(_from_stored(stored, raw))


def _from_stored(stored: _Stored, raw: bytes) -> Configuration:
    document: Any = stored["document"]
    return Configuration(
        stored["version"],
        stored["change_id"],
        stored["author"],
        stored["changed_unix_s"],
        document,
        tuple(stored["audit"]),
        raw,
    )


def bounded_diff(diff: Sequence[DiffLine]) -> list[DiffLine]:
    """Truncates a diff for its audit entry.

    Every node reads the whole value at each change. The complete diff of one
    change to all customers would make the value several times as large for
    the next hundred changes.

    Returns:
        The first lines, followed by a line whose path states how many were
        omitted, if any.
    """
    kept = [
        DiffLine(
            path=line["path"],
            before=_truncate(line["before"]),
            after=_truncate(line["after"]),
        )
        for line in diff[:DIFF_LINES_LIMIT_COUNT]
    ]
    omitted_count = len(diff) - len(kept)
    if omitted_count:
        path = f"({omitted_count} more)"
        kept.append(DiffLine(path=path, before="", after=""))
    return kept


def _truncate(text: str) -> str:
    if len(text) <= DIFF_TEXT_LIMIT_CHARS:
        return text
    return text[:DIFF_TEXT_LIMIT_CHARS] + "..."


def build(
    *,
    version: int,
    change_id: str,
    author: str,
    changed_unix_s: float,
    document: Document,
    audit: Sequence[AuditEntry],
) -> Configuration:
    """Builds a configuration and encodes its stored value.

    The oldest audit entries are dropped if there are more than
    ``AUDIT_LIMIT_COUNT`` or if the value would exceed ``VALUE_LIMIT_BYTES``,
    so that a long history never prevents a change from being stored.
    """
    kept = list(audit)[-AUDIT_LIMIT_COUNT:]
    while True:
        stored: _Stored = {
            "version": version,
            "change_id": change_id,
            "author": author,
            "changed_unix_s": changed_unix_s,
            "document": dict(document),
            "audit": kept,
        }
        raw = json.dumps(stored, separators=(",", ":")).encode()
        if len(raw) <= VALUE_LIMIT_BYTES or len(kept) <= 1:
            return _from_stored(stored, raw)
        kept = kept[len(kept) // 2 :]

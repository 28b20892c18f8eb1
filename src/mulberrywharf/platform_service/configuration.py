"""The operators' configuration as the key-value service stores it.

Document, version and the latest audit entries are one value, so that a
change and its audit entry take effect in one write or not at all.
"""

import json
from collections.abc import Sequence
from typing import Annotated, Any, NamedTuple

import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import errors
from mulberrywharf.rules.configuration import (
    AUDIT_LIMIT_COUNT,
    AuditEntry,
    DiffLine,
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
"""What the service takes, less room for what encodings add."""

DIFF_LINES_LIMIT_COUNT = 20
DIFF_TEXT_LIMIT_CHARS = 200

_SOURCE = "stored configuration"


class Configuration(NamedTuple):
    """A configuration that was accepted.

    Attributes:
        version: Rises by one with each change.
        change_id: Chosen by the author; tells whether a write took effect.
        author: The operator.
        changed_unix_s: When it was accepted.
        document: What the operator wrote.
        audit: The latest changes, oldest first.
        raw: The stored bytes, which neighbours pass on as they are.
    """

    version: int
    change_id: str
    author: str
    changed_unix_s: float
    document: Document
    audit: tuple[AuditEntry, ...]
    raw: bytes

    def rank(self) -> tuple[int, float, str]:
        """Returns what decides which of two configurations is in force.

        The version decides. Two with the same version exist only after the
        service lost data; the later change then wins on every node, where
        "keep what you have" would leave nodes apart for good.
        """
        return (self.version, self.changed_unix_s, self.change_id)


class _Stored(TypedDict):
    """The stored value; its document is checked apart."""

    version: Annotated[int, pydantic.Field(ge=1)]
    change_id: Annotated[str, pydantic.Field(min_length=1)]
    author: str
    changed_unix_s: float
    document: dict[str, Any]
    audit: list[AuditEntry]


_ADAPTER: pydantic.TypeAdapter[_Stored] = pydantic.TypeAdapter(_Stored)


def config_key(deployment: str) -> str:
    """Returns the key that holds a deployment's configuration."""
    return f"/mulberry/{deployment}/config"


def decode(raw: bytes) -> Result[Configuration, errors.DocumentError]:
    """Reads a stored configuration and checks its document.

    Args:
        raw: The value of the key, or what a neighbour offers.

    Returns:
        The configuration, or every fault found in it.
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
    """Reads a stored configuration whose document may have faults.

    Whoever replaces a document must be able to read it: refused here, a
    document that an older release accepted could never be corrected.
    """
    try:
        stored = _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as error:
        faults = [
            errors.Fault(
                ".".join(str(part) for part in detail["loc"]) or "value",
                detail["msg"],
                "only mulberryctl writes this key; see who else did",
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
    """Cuts a diff to what an audit entry keeps.

    Every node reads the whole value at each change. One change of all
    customers, kept line by line for the next hundred changes, would make
    each of them several times as large.

    Returns:
        The first lines; a last one whose path says how many were left out.
    """
    kept = [
        DiffLine(
            path=line["path"],
            before=_cut(line["before"]),
            after=_cut(line["after"]),
        )
        for line in diff[:DIFF_LINES_LIMIT_COUNT]
    ]
    left_out_count = len(diff) - len(kept)
    if left_out_count:
        path = f"({left_out_count} more)"
        kept.append(DiffLine(path=path, before="", after=""))
    return kept


def _cut(text: str) -> str:
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
    """Builds a configuration and the bytes to store.

    The oldest audit entries are left out when there are more than
    ``AUDIT_LIMIT_COUNT`` or the value would exceed ``VALUE_LIMIT_BYTES``: a
    long history must never be the reason why a change cannot be stored.
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

"""Decides what becomes of a change of the configuration.

Plain functions over what the service holds and what an author asks for;
``config_store`` does the reading and writing.
"""

import json
from collections.abc import Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.platform_service import (
    configuration as configuration_module,
)
from mulberrywharf.platform_service.configuration import (
    AuditEntry,
    Configuration,
)
from mulberrywharf.rules import configuration as rules_configuration
from mulberrywharf.rules.document import Document
from mulberrywharf.rules.parse import check_value

ConfigError = errors.PlatformError | errors.DocumentError


class Held(NamedTuple):
    """What the service holds, and at which revision (0: nothing)."""

    configuration: Configuration | None
    mod_revision: int

    def version(self) -> int:
        """Returns the version held, 0 if none is."""
        return self.configuration.version if self.configuration else 0


class Change(NamedTuple):
    """One change that an author asks for."""

    document: Document
    author: str
    note: str
    change_id: str
    expected_version: int
    seen_version: int


def is_behind(held: Held, configuration: Configuration) -> bool:
    """Tells whether the service holds less than a node runs."""
    if held.configuration is None:
        return True
    return held.configuration.rank() < configuration.rank()


def settled(
    change: Change, held: Held
) -> Result[Configuration, ConfigError] | None:
    """Decides a change that must not be written; None if it may be."""
    own_entry = _entry_of(change.change_id, held)
    if own_entry is not None:
        return _already_accepted(change, held, own_entry)
    if held.version() < change.seen_version:
        return Err(
            errors.ConfigStoreBehindError(
                held_version=held.version(), seen_version=change.seen_version
            )
        )
    if held.version() != change.expected_version:
        return Err(_conflict(change, held))
    return None


def includes(held: Held, accepted: Configuration) -> bool:
    """Tells whether an accepted change is part of what is held."""
    if held.version() < accepted.version or held.configuration is None:
        return False
    if _entry_of(accepted.change_id, held) is not None:
        return True
    audit = held.configuration.audit
    return bool(audit) and audit[0]["version"] > accepted.version


def _entry_of(change_id: str, held: Held) -> AuditEntry | None:
    if held.configuration is None:
        return None
    for entry in held.configuration.audit:
        if entry["change_id"] == change_id:
            return entry
    return None


def _already_accepted(
    change: Change, held: Held, entry: AuditEntry
) -> Result[Configuration, ConfigError]:
    """Answers the repeat of a change that took effect earlier.

    The document of a change that another has replaced is no longer stored;
    then author and note tell a repeat from an id that was used twice.
    """
    current = held.configuration
    assert current is not None
    if current.change_id == change.change_id:
        if current.document != as_stored(change.document):
            return Err(errors.ChangeIdReusedError(change.change_id))
        return Ok(current)
    if (entry["author"], entry["note"]) != (change.author, change.note):
        return Err(errors.ChangeIdReusedError(change.change_id))
    position = current.audit.index(entry)
    return Ok(
        configuration_module.build(
            version=entry["version"],
            change_id=entry["change_id"],
            author=entry["author"],
            changed_unix_s=entry["changed_unix_s"],
            document=change.document,
            audit=current.audit[: position + 1],
        )
    )


def as_stored(document: Document) -> object:
    """Returns a document as it reads after it was written as JSON."""
    return json.loads(json.dumps(document))


def _conflict(change: Change, held: Held) -> errors.ConfigConflictError:
    current = held.configuration
    others: Sequence[AuditEntry] = ()
    if current is not None:
        others = [
            entry
            for entry in current.audit
            if entry["version"] > change.expected_version
        ]
    return errors.ConfigConflictError(
        expected_version=change.expected_version,
        held_version=held.version(),
        others=others,
        diff=_diff(held, change.document),
    )


def _diff(held: Held, document: Document) -> list[rules_configuration.DiffLine]:
    """Lists what a document changes; all of it if the held one is faulty."""
    before = held.configuration.document if held.configuration else None
    if before is not None and isinstance(check_value(before, "held"), Err):
        before = None
    return rules_configuration.diff(before, document)


def next_configuration(
    change: Change, held: Held, now_unix_s: float
) -> Configuration:
    """Builds what a change makes of what is held."""
    version = held.version() + 1
    entry = AuditEntry(
        version=version,
        change_id=change.change_id,
        author=change.author,
        changed_unix_s=now_unix_s,
        note=change.note,
        diff=configuration_module.bounded_diff(_diff(held, change.document)),
    )
    earlier = held.configuration.audit if held.configuration else ()
    return configuration_module.build(
        version=version,
        change_id=change.change_id,
        author=change.author,
        changed_unix_s=now_unix_s,
        document=change.document,
        audit=[*earlier, entry],
    )

"""Decides whether a change of the configuration is accepted.

Pure functions of the stored configuration and the requested change;
``config_store`` reads and writes the configuration.
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
from mulberrywharf.rules import audit_trail as rules_configuration
from mulberrywharf.rules.document import Document
from mulberrywharf.rules.parse import check_value

ConfigError = errors.PlatformError | errors.DocumentError


class StoredConfiguration(NamedTuple):
    """The configuration that the service stores.

    Attributes:
        configuration: The configuration, None if there is none.
        mod_revision: Revision of the key, 0 if it does not exist.
    """

    configuration: Configuration | None
    mod_revision: int

    def version(self) -> int:
        """Returns the stored version, 0 if there is none."""
        return self.configuration.version if self.configuration else 0


class Change(NamedTuple):
    """A change that an author requests, see ``ConfigStore.change``."""

    document: Document
    author: str
    note: str
    change_id: str
    expected_version: int
    seen_version: int


def is_behind(
    stored: StoredConfiguration, configuration: Configuration
) -> bool:
    """Tells whether a node's configuration is newer than the stored one."""
    if stored.configuration is None:
        return True
    return stored.configuration.rank() < configuration.rank()


def result_without_write(
    change: Change, stored: StoredConfiguration
) -> Result[Configuration, ConfigError] | None:
    """Returns the result of a change that must not be written.

    Returns:
        The configuration that an earlier attempt of the change wrote, or the
        error that refuses it; None if the change can be written.
    """
    own_entry = _find_audit_entry(change.change_id, stored)
    if own_entry is not None:
        return _result_of_repeat(change, stored, own_entry)
    if stored.version() < change.seen_version:
        return Err(
            errors.ConfigStoreBehindError(
                held_version=stored.version(), seen_version=change.seen_version
            )
        )
    if stored.version() != change.expected_version:
        return Err(_conflict(change, stored))
    return None


def includes(stored: StoredConfiguration, accepted: Configuration) -> bool:
    """Tells whether the stored configuration includes an accepted change."""
    if stored.version() < accepted.version or stored.configuration is None:
        return False
    if _find_audit_entry(accepted.change_id, stored) is not None:
        return True
    audit = stored.configuration.audit
    return bool(audit) and audit[0]["version"] > accepted.version


def _find_audit_entry(
    change_id: str, stored: StoredConfiguration
) -> AuditEntry | None:
    if stored.configuration is None:
        return None
    for entry in stored.configuration.audit:
        if entry["change_id"] == change_id:
            return entry
    return None


def _result_of_repeat(
    change: Change, stored: StoredConfiguration, entry: AuditEntry
) -> Result[Configuration, ConfigError]:
    """Returns the result for a repeat of a change that already took effect.

    The document of a change is no longer stored once another change has
    replaced it. The author and the note then distinguish a repeat from
    another change with the same id.
    """
    current = stored.configuration
    assert current is not None
    if current.change_id == change.change_id:
        if current.document != json_round_trip(change.document):
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


def json_round_trip(document: Document) -> object:
    """Returns a document as it is after encoding to and decoding from JSON."""
    return json.loads(json.dumps(document))


def _conflict(
    change: Change, stored: StoredConfiguration
) -> errors.ConfigConflictError:
    current = stored.configuration
    others: Sequence[AuditEntry] = ()
    if current is not None:
        others = [
            entry
            for entry in current.audit
            if entry["version"] > change.expected_version
        ]
    return errors.ConfigConflictError(
        expected_version=change.expected_version,
        held_version=stored.version(),
        others=others,
        diff=_diff(stored, change.document),
    )


def _diff(
    stored: StoredConfiguration, document: Document
) -> list[rules_configuration.DiffLine]:
    """Returns what a document changes; all of it if the old one is invalid."""
    before = stored.configuration.document if stored.configuration else None
    if before is not None and isinstance(check_value(before, "held"), Err):
        before = None
    return rules_configuration.diff(before, document)


def next_configuration(
    change: Change, stored: StoredConfiguration, now_unix_s: float
) -> Configuration:
    """Builds the configuration that results from a change."""
    version = stored.version() + 1
    entry = AuditEntry(
        version=version,
        change_id=change.change_id,
        author=change.author,
        changed_unix_s=now_unix_s,
        note=change.note,
        diff=configuration_module.bounded_diff(_diff(stored, change.document)),
    )
    earlier = stored.configuration.audit if stored.configuration else ()
    return configuration_module.build(
        version=version,
        change_id=change.change_id,
        author=change.author,
        changed_unix_s=now_unix_s,
        document=change.document,
        audit=[*earlier, entry],
    )

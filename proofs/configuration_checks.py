"""Invariants of the operators' configuration."""

import base64
import json
from collections.abc import Iterator
from typing import Any

from proofs import histories
from proofs.violations import Violation

_CONFIG_SUFFIX = "/config"


def check_versions(history: histories.History) -> Iterator[Violation]:
    """Finds stored versions that do not rise, and nodes that went back."""
    last_version = 0
    for version, change_id in _stored(history):
        if version <= last_version:
            detail = f"change {change_id} came after version {last_version}"
            yield Violation("configuration-reverted", str(version), detail)
        last_version = version
    yield from _nodes_that_went_back(history)


def check_none_lost(history: histories.History) -> Iterator[Violation]:
    """Finds accepted changes that the stored configurations do not hold.

    A change is lost when it was never stored, or when a later configuration's
    audit entries no longer reach back to it although they reach further.
    """
    stored = dict(_stored(history))
    for change in history.get("accepted_changes", []):
        version = change["version"]
        if stored.get(version) != change["change_id"]:
            detail = f"accepted {change['change_id']}, stored " + str(
                stored.get(version)
            )
            yield Violation("configuration-lost", str(version), detail)
    for configuration in _configurations(history):
        yield from _missing_audit_entries(configuration, stored)


def _missing_audit_entries(
    configuration: dict[str, Any], stored: dict[int, str]
) -> Iterator[Violation]:
    audit = {e["version"]: e["change_id"] for e in configuration["audit"]}
    if not audit:
        return
    for version, change_id in stored.items():
        is_covered = min(audit) <= version <= configuration["version"]
        if is_covered and audit.get(version) != change_id:
            detail = (
                f"change {change_id} is missing from the audit entries of "
                f"version {configuration['version']}"
            )
            yield Violation("configuration-lost", str(version), detail)


def _nodes_that_went_back(history: histories.History) -> Iterator[Violation]:
    highest: dict[tuple[str, int], int] = {}
    seen = sorted(history.get("seen_versions", []), key=lambda s: s["unix_s"])
    for look in seen:
        life = (look["vm_id"], look["process_id"])
        if look["version"] < highest.get(life, 0):
            detail = f"ran {look['version']} after {highest[life]}"
            yield Violation("configuration-reverted", look["vm_id"], detail)
        highest[life] = max(highest.get(life, 0), look["version"])


def _stored(history: histories.History) -> Iterator[tuple[int, str]]:
    for configuration in _configurations(history):
        yield configuration["version"], configuration["change_id"]


def _configurations(history: histories.History) -> Iterator[dict[str, Any]]:
    for write in history.get("key_value_writes", []):
        if write["type"] == "PUT" and write["key"].endswith(_CONFIG_SUFFIX):
            yield json.loads(base64.b64decode(write["value"]))

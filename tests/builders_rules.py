"""Builders of test data for the operators' rules."""

import hashlib
from typing import Any

from mulberrywharf.rules import Reading, Situation
from mulberrywharf.rules.document import Document, Rule


def key_hash(key: str) -> str:
    """Returns the hash of a customer's key, as it is in a document."""
    return hashlib.sha256(key.encode()).hexdigest()


def customer(key: str = "secret", **changes: Any) -> dict[str, Any]:
    """Builds a customer as it is in a document."""
    return {
        "key_sha256_hex": key_hash(key),
        "requests_per_s": 100,
        "tokens_per_s": 50_000,
        "weight": 1,
        "priority": 5,
    } | changes


def rule(
    name: str,
    when: dict[str, Any] | None = None,
    then: dict[str, Any] | None = None,
) -> Rule:
    """Builds a rule.

    By default it holds all engines if the prefill share is above 0.5.
    """
    built: Any = {
        "name": name,
        "when": {"prefill_share_above": 0.5} if when is None else when,
        "then": {"hold": True} if then is None else then,
    }
    return built


def document(*rules: Rule, **changes: Any) -> Document:
    """Builds a document with two customers and one model."""
    built: Any = {
        "rules": list(rules),
        "default": {"hold": True},
        "customers": {
            "crew-scheduling": customer("crew"),
            "dispatch": customer("dispatch", priority=0),
        },
        "models": {"verdict-70b": {"adapters": ["tags"], "versions": ["v1"]}},
    }
    return built | changes


def roles(**shares: float) -> dict[str, Any]:
    """Builds the action that sets the roles of engines."""
    return {"roles": shares}


def situation(
    prefill_share: float | None = 0.3, *, age_s: float = 1.0, **changes: Any
) -> Situation:
    """Builds a situation with low load in zone hall-a at 12:00 UTC."""
    quiet = Situation(
        availability_zone="hall-a",
        utc_minute=12 * 60,
        prefill_share=Reading(prefill_share, age_s),
        queue_delay_s=Reading(0.1, age_s),
        engines_lost_count=Reading(0, age_s),
        rates_age_s=age_s,
    )
    return quiet._replace(**changes)

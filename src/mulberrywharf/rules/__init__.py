"""Parses, checks, evaluates and explains the operators' ordered rules."""

from mulberrywharf.rules.audit_trail import AuditEntry
from mulberrywharf.rules.check import FleetSize, check
from mulberrywharf.rules.document import Actions, Conditions, Document, Rule
from mulberrywharf.rules.explain import explain
from mulberrywharf.rules.match import Match, match
from mulberrywharf.rules.parse import parse
from mulberrywharf.rules.situation import Reading, Situation
from mulberrywharf.rules.sustain import Sustain
from mulberrywharf.rules.wanted_roles import WantedRoles, wanted_roles

__all__ = [
    "Actions",
    "AuditEntry",
    "Conditions",
    "Document",
    "FleetSize",
    "Match",
    "Reading",
    "Rule",
    "Situation",
    "Sustain",
    "WantedRoles",
    "check",
    "explain",
    "match",
    "parse",
    "wanted_roles",
]

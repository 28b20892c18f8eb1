"""Mulberrywharf serves language-model requests on a fixed fleet.

The public API is the names in ``__all__``: the base class of all errors and
the errors of documents, the settings, the operators' rules, and the choice of
an engine and the planning of roles, which can be used on their own. These
names are typed and keep their meaning within a minor version. All other
modules and names that begin with an underscore may change at any time. The
wire formats are described in ``docs/design/interfaces.md``.

Functions that can fail return a ``result.Result``:

    >>> from mulberrywharf import check_rules, parse_rules
    >>> document = parse_rules(text, "rules.json").unwrap()
    >>> faults = check_rules(document, None)

Public names are imported on first access. The programs replace Python's
sockets and locks with gevent's as their first step, but this package is
imported before that. Modules that it imported would keep thread locks, and a
greenlet that waits for a thread lock blocks the whole process.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mulberrywharf.errors import (
        Fault,
        MulberryError,
        RulesError,
        SettingsError,
    )
    from mulberrywharf.policy.engine_choice import choose as choose_engine
    from mulberrywharf.policy.role_planner import plan as plan_roles
    from mulberrywharf.rules.check import check as check_rules
    from mulberrywharf.rules.explain import explain as explain_match
    from mulberrywharf.rules.match import match as match_rules
    from mulberrywharf.rules.parse import parse as parse_rules
    from mulberrywharf.settings import Settings
    from mulberrywharf.settings import load as load_settings

__all__ = [
    "Fault",
    "MulberryError",
    "RulesError",
    "Settings",
    "SettingsError",
    "check_rules",
    "choose_engine",
    "explain_match",
    "load_settings",
    "match_rules",
    "parse_rules",
    "plan_roles",
]

_SOURCES = {
    "Fault": ("mulberrywharf.errors", "Fault"),
    "MulberryError": ("mulberrywharf.errors", "MulberryError"),
    "RulesError": ("mulberrywharf.errors", "RulesError"),
    "Settings": ("mulberrywharf.settings", "Settings"),
    "SettingsError": ("mulberrywharf.errors", "SettingsError"),
    "check_rules": ("mulberrywharf.rules.check", "check"),
    "choose_engine": ("mulberrywharf.policy.engine_choice", "choose"),
    "explain_match": ("mulberrywharf.rules.explain", "explain"),
    "load_settings": ("mulberrywharf.settings", "load"),
    "match_rules": ("mulberrywharf.rules.match", "match"),
    "parse_rules": ("mulberrywharf.rules.parse", "parse"),
    "plan_roles": ("mulberrywharf.policy.role_planner", "plan"),
}
"""Module and attribute that define each public name."""


def __getattr__(name: str) -> Any:
    """Imports a public name on first access."""
    if name not in _SOURCES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module_name, attribute = _SOURCES[name]
    value = getattr(importlib.import_module(module_name), attribute)
    globals()[name] = value
    return value

"""Mulberrywharf serves language-model requests on a fixed fleet.

What other code may rely upon are the names in ``__all__``: the base of all
failures and those of documents, the settings, the operators' rules, and the
two decisions that can be used on their own. They keep their names and meaning
within a minor version, and are typed. All other modules, and whatever begins
with an underscore, may change at any time; the wire formats are described in
``docs/design/interfaces.md``.

Functions that can fail return a ``result.Result``:

    >>> from mulberrywharf import check_rules, parse_rules
    >>> document = parse_rules(text, "rules.json").unwrap()
    >>> faults = check_rules(document, None)

The names are loaded when they are first asked for. The programs replace
Python's sockets and locks by gevent's as their first step, and this module is
imported even before that. Whatever it imported would keep the locks of
threads: one greenlet that waits for such a lock stops the whole process.
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
"""Where each public name is defined: module and name there."""


def __getattr__(name: str) -> Any:
    """Loads a public name when it is first asked for."""
    if name not in _SOURCES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module_name, attribute = _SOURCES[name]
    value = getattr(importlib.import_module(module_name), attribute)
    globals()[name] = value
    return value

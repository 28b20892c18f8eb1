"""Validates constraints that span several fields of a document.

These faults follow from the document alone and not from the state of the
fleet, so a document with such a fault is always rejected.
"""

from collections.abc import Iterator

from mulberrywharf.errors import Fault
from mulberrywharf.rules.document import Actions, Conditions, Document, Roles

DEFAULT_RULE_NAME = "default"
"""Name of the default in explanations; no rule may have this name."""

_SHARE_KEYS = ("prefill", "decode", "mixed")
_SUM_TOLERANCE = 1e-9
_BOUND_KEYS = (
    ("prefill_share_above", "prefill_share_below"),
    ("queue_delay_above_s", "queue_delay_below_s"),
    ("requests_above_per_s", "requests_below_per_s"),
)


def faults(document: Document) -> list[Fault]:
    """Returns every inconsistency of a document whose types are correct."""
    return [
        *_name_faults(document),
        *_key_faults(document),
        *_rule_faults(document),
        *_actions_faults("default", document["default"], document),
    ]


def _name_faults(document: Document) -> Iterator[Fault]:
    seen: dict[str, int] = {}
    for index, rule in enumerate(document["rules"]):
        path = f"rules.{index}.name"
        name = rule["name"]
        if name == DEFAULT_RULE_NAME:
            yield Fault(
                path, "this name is reserved for the default", "rename the rule"
            )
        if name in seen:
            yield Fault(
                path,
                f"{name} is also the name of rules.{seen[name]}",
                "give each rule a unique name",
            )
        seen.setdefault(name, index)


def _key_faults(document: Document) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for name, customer in document.get("customers", {}).items():
        other = owners.setdefault(customer["key_sha256_hex"], name)
        if other != name:
            yield Fault(
                f"customers.{name}.key_sha256_hex",
                f"{other} has the same key, so a request with this key can't "
                "be assigned to either customer",
                "give each customer a unique key",
            )


def _rule_faults(document: Document) -> Iterator[Fault]:
    for index, rule in enumerate(document["rules"]):
        path = f"rules.{index}"
        yield from _conditions_faults(f"{path}.when", rule["when"], document)
        if not rule["then"]:
            yield Fault(f"{path}.then", "no action", 'write {"hold": true}')
        yield from _actions_faults(f"{path}.then", rule["then"], document)


def _conditions_faults(
    path: str, when: Conditions, document: Document
) -> Iterator[Fault]:
    if not set(when) - {"for_s"}:
        yield Fault(path, "no condition", "move the actions to the default")
    for above, below in _BOUND_KEYS:
        low, high = when.get(above), when.get(below)
        if low is None or high is None:
            continue
        if low >= high:  # type: ignore[operator]
            yield Fault(
                f"{path}.{below}",
                f"nothing is above {low} and below {high}",
                f"make {above} smaller than {below}",
            )
    window = when.get("between_utc")
    if window and window[0] == window[1]:
        yield Fault(
            f"{path}.between_utc",
            "the window is empty",
            "set two different times, or omit the field for the whole day",
        )
    yield from _rate_faults(path, when)
    yield from _reference_faults(
        path, when.get("customer"), when.get("model"), document
    )


def _rate_faults(path: str, when: Conditions) -> Iterator[Fault]:
    subjects = [key for key in ("customer", "model") if key in when]
    for key in ("requests_above_per_s", "requests_below_per_s"):
        if key in when and len(subjects) != 1:
            yield Fault(
                f"{path}.{key}",
                "it is ambiguous whose requests are counted",
                "name exactly one customer or one model in the same conditions",
            )


def _reference_faults(
    path: str, customer: str | None, model: str | None, document: Document
) -> Iterator[Fault]:
    if customer is not None and customer not in document.get("customers", {}):
        yield Fault(
            f"{path}.customer",
            f"no customer {customer}",
            "add it under customers, or correct the name",
        )
    if model is not None and model not in document.get("models", {}):
        yield Fault(
            f"{path}.model",
            f"no model {model}",
            "add it under models, or correct the name",
        )


def _actions_faults(
    path: str, actions: Actions, document: Document
) -> Iterator[Fault]:
    if "roles" in actions:
        yield from _roles_faults(f"{path}.roles", actions["roles"])
    if actions.get("hold") and set(actions) & {"roles", "load", "drain"}:
        yield Fault(
            f"{path}.hold",
            "hold leaves engines unchanged, but another action changes them",
            "remove hold, or remove roles, load and drain",
        )
    limit, load = actions.get("limit"), actions.get("load")
    if limit:
        yield from _reference_faults(
            f"{path}.limit", limit["customer"], None, document
        )
    if load:
        yield from _reference_faults(
            f"{path}.load", None, load["model"], document
        )
        yield from _load_faults(f"{path}.load", actions, document)


def _load_faults(
    path: str, actions: Actions, document: Document
) -> Iterator[Fault]:
    load = actions["load"]
    model = document.get("models", {}).get(load["model"])
    if model is None:
        return
    adapter, version = load.get("adapter"), load.get("version")
    if adapter is not None and adapter not in model["adapters"]:
        yield Fault(
            f"{path}.adapter",
            f"{load['model']} has no adapter {adapter}",
            "list it under the model's adapters, or correct the name",
        )
    if version is not None and version not in model["versions"]:
        yield Fault(
            f"{path}.version",
            f"{load['model']} has no version {version}",
            "list it under the model's versions, or correct the name",
        )


def _roles_faults(path: str, roles: Roles) -> Iterator[Fault]:
    shares = [roles[key] for key in _SHARE_KEYS if key in roles]  # type: ignore[literal-required]
    if not roles:
        yield Fault(path, "no role", "set a share or a count of engines")
    if shares and len(shares) != len(roles):
        yield Fault(
            path,
            "shares and counts are mixed",
            "use only shares or only counts",
        )
    if sum(shares) > 1 + _SUM_TOLERANCE:
        yield Fault(
            path,
            f"shares add up to {sum(shares):.3f}",
            "make them add up to at most 1; the other engines are mixed",
        )

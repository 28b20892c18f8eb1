"""What is doubtful in a document, given the fleet it is meant for.

A document with faults is never accepted; ``parse`` refuses it. What this
module adds are warnings: the document can be accepted, but does not do what
its author probably means. Whatever depends on the fleet is a warning only,
because operators must be able to change the rules also while half of the
fleet is away.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from mulberrywharf.errors import Fault
from mulberrywharf.rules.document import Actions, Document, Roles, Rule
from mulberrywharf.rules.flapping import flapping_warnings
from mulberrywharf.rules.shadowing import shadowing_warnings

_COUNT_KEYS = ("prefill_count", "decode_count", "mixed_count")


class FleetSize(NamedTuple):
    """The engines that a deployment has.

    Attributes:
        engines_count_by_zone: By availability zone.
    """

    engines_count_by_zone: Mapping[str, int]


def check(document: Document, fleet_size: FleetSize | None) -> list[Fault]:
    """Lists what is doubtful in a document that ``parse`` accepted.

    Args:
        document: What the operator wrote.
        fleet_size: What the VM list shows, or None when it is not known;
            then only what follows from the document is checked.

    Returns:
        Warnings, in the order of the document.
    """
    found = [
        *shadowing_warnings(document["rules"]),
        *flapping_warnings(document),
    ]
    if fleet_size is not None:
        found += _fleet_warnings(document, fleet_size)
    return found


def _fleet_warnings(
    document: Document, fleet_size: FleetSize
) -> Iterator[Fault]:
    zones = fleet_size.engines_count_by_zone
    for index, rule in enumerate(document["rules"]):
        path = f"rules.{index}"
        zone = rule["when"].get("availability_zone")
        if zone is not None and zone not in zones:
            yield _unknown_zone(f"{path}.when.availability_zone", zone, zones)
        ruled = _ruled_zones(rule, zones)
        yield from _action_warnings(f"{path}.then", rule["then"], zones, ruled)
    yield from _action_warnings("default", document["default"], zones, zones)


def _ruled_zones(rule: Rule, zones: Mapping[str, int]) -> Mapping[str, int]:
    zone = rule["when"].get("availability_zone")
    if zone is None:
        return zones
    return {zone: zones[zone]} if zone in zones else {}


def _action_warnings(
    path: str,
    actions: Actions,
    zones: Mapping[str, int],
    ruled: Mapping[str, int],
) -> Iterator[Fault]:
    prefer = actions.get("prefer_zone")
    if prefer is not None and prefer not in zones:
        yield _unknown_zone(f"{path}.prefer_zone", prefer, zones)
    for zone, engines_count in ruled.items():
        asked_count = _asked_count(actions.get("roles"))
        if asked_count > engines_count:
            yield _too_many(f"{path}.roles", zone, asked_count, engines_count)
        load = actions.get("load")
        if load is not None and load["engines_count"] > engines_count:
            yield _too_many(
                f"{path}.load.engines_count",
                zone,
                load["engines_count"],
                engines_count,
            )


def _asked_count(roles: Roles | None) -> int:
    if roles is None:
        return 0
    return sum(roles.get(key, 0) for key in _COUNT_KEYS)  # type: ignore[misc]


def _too_many(
    path: str, zone: str, asked_count: int, engines_count: int
) -> Fault:
    return Fault(
        path,
        f"asks for {asked_count} engines; {zone} has {engines_count}",
        "ask for fewer, use shares, or name the zone in the conditions",
    )


def _unknown_zone(path: str, zone: str, zones: Mapping[str, int]) -> Fault:
    return Fault(
        path,
        f"the VM list shows no engine in {zone}",
        f"one of {', '.join(sorted(zones)) or 'no zone'}, unless it is away",
    )

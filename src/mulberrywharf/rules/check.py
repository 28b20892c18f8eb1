"""Warnings about a valid document, given the fleet that it is meant for.

``parse`` rejects invalid documents. The warnings of this module concern
documents that can be accepted, but probably do not do what their author
intends. Everything that depends on the fleet is only a warning, because
operators must be able to change the rules while half of the fleet is down.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from mulberrywharf.errors import Fault
from mulberrywharf.rules.document import Actions, Document, Roles, Rule
from mulberrywharf.rules.flapping import flapping_warnings
from mulberrywharf.rules.shadowing import shadowing_warnings

_COUNT_KEYS = ("prefill_count", "decode_count", "mixed_count")


class FleetSize(NamedTuple):
    """The number of engines in a deployment.

    Attributes:
        engines_count_by_zone: Number of engines of each availability zone.
    """

    engines_count_by_zone: Mapping[str, int]


def check(document: Document, fleet_size: FleetSize | None) -> list[Fault]:
    """Returns warnings about a document that ``parse`` accepted.

    Args:
        document: The document that the operator wrote.
        fleet_size: Number of engines according to the VM list. If it is None,
            the checks that depend on the fleet are skipped.

    Returns:
        Warnings about shadowed rules, then about rules that may flap, then
        about the fleet.
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
        affected_zones = _affected_zones(rule, zones)
        yield from _action_warnings(
            f"{path}.then", rule["then"], zones, affected_zones
        )
    yield from _action_warnings("default", document["default"], zones, zones)


def _affected_zones(rule: Rule, zones: Mapping[str, int]) -> Mapping[str, int]:
    zone = rule["when"].get("availability_zone")
    if zone is None:
        return zones
    return {zone: zones[zone]} if zone in zones else {}


def _action_warnings(
    path: str,
    actions: Actions,
    zones: Mapping[str, int],
    affected_zones: Mapping[str, int],
) -> Iterator[Fault]:
    prefer = actions.get("prefer_zone")
    if prefer is not None and prefer not in zones:
        yield _unknown_zone(f"{path}.prefer_zone", prefer, zones)
    for zone, engines_count in affected_zones.items():
        requested_count = _requested_count(actions.get("roles"))
        if requested_count > engines_count:
            yield _too_many_engines(
                f"{path}.roles", zone, requested_count, engines_count
            )
        load = actions.get("load")
        if load is not None and load["engines_count"] > engines_count:
            yield _too_many_engines(
                f"{path}.load.engines_count",
                zone,
                load["engines_count"],
                engines_count,
            )


def _requested_count(roles: Roles | None) -> int:
    if roles is None:
        return 0
    return sum(roles.get(key, 0) for key in _COUNT_KEYS)  # type: ignore[misc]


def _too_many_engines(
    path: str, zone: str, requested_count: int, engines_count: int
) -> Fault:
    return Fault(
        path,
        f"asks for {requested_count} engines; {zone} has {engines_count}",
        "request fewer, use shares, or name the zone in the conditions",
    )


def _unknown_zone(path: str, zone: str, zones: Mapping[str, int]) -> Fault:
    return Fault(
        path,
        f"the VM list shows no engine in {zone}",
        f"use a zone of the VM list ({', '.join(sorted(zones)) or 'none now'}),"
        " unless the zone is down",
    )

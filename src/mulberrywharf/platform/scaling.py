"""Decodes the ``scaling`` of a service in the routes."""

import math
from collections.abc import Mapping
from typing import Any

from mulberrywharf import errors
from mulberrywharf.policy import capacity_plan

_COUNT_LIMIT = 100_000
"""More engines than any fleet has; catches a figure in a wrong unit."""

_BOOT_LIMIT_S = 86_400
"""Longest time until engines that have not come are ordered again."""

_COUNTS = ("min-instances", "max-instances")


def decode(
    path: str, service: Mapping[str, Any], faults: list[errors.Fault]
) -> capacity_plan.CapacityBounds | None:
    """Decodes the bounds of a service.

    Args:
        path: Path of the service in the document, for faults.
        service: The service.
        faults: List to which the faults of the bounds are added.

    Returns:
        The bounds, None if the service's engines are not ordered, as they have
        none or faulty ones.
    """
    fields = service.get("scaling")
    if fields is None:
        return None
    found = _faults(f"{path}.scaling", fields)
    faults += found
    if found:
        return None
    price = fields.get("spot-price")
    return capacity_plan.CapacityBounds(
        min_count=fields["min-instances"],
        max_count=fields["max-instances"],
        boot_s=float(fields["boot-timeout-s"]),
        reclaimable_price=None if price is None else float(price),
        zone_prices={
            zone: float(zone_price)
            for zone, zone_price in fields.get("zone-prices", {}).items()
        },
    )


def _faults(path: str, fields: object) -> list[errors.Fault]:
    if not isinstance(fields, dict):
        return [
            errors.Fault(
                path, "it is not an object", "use an object or omit it"
            )
        ]
    faults = [
        *_count_faults(path, fields),
        *_number_faults(
            f"{path}.boot-timeout-s",
            fields.get("boot-timeout-s"),
            _BOOT_LIMIT_S,
        ),
        *_zone_price_faults(path, fields.get("zone-prices", {})),
    ]
    if fields.get("spot-price") is not None:
        faults += _number_faults(f"{path}.spot-price", fields["spot-price"], 1)
    return faults


def _count_faults(path: str, fields: Mapping[str, Any]) -> list[errors.Fault]:
    faults = [
        errors.Fault(
            f"{path}.{name}",
            f"{fields.get(name)!r:.40} is not a number of engines",
            f"use an integer from 0 to {_COUNT_LIMIT}",
        )
        for name in _COUNTS
        if not _is_count(fields.get(name))
    ]
    if faults:
        return faults
    min_count, max_count = (fields[name] for name in _COUNTS)
    if min_count <= max_count:
        return []
    return [
        errors.Fault(
            f"{path}.min-instances",
            f"the minimum {min_count} is above the maximum {max_count}",
            "use a minimum of at most max-instances",
        )
    ]


def _zone_price_faults(path: str, prices: object) -> list[errors.Fault]:
    path = f"{path}.zone-prices"
    if not isinstance(prices, dict):
        return [
            errors.Fault(path, "it is not an object", "give a price by zone")
        ]
    faults = []
    for zone, price in prices.items():
        if not zone.strip():
            faults.append(
                errors.Fault(path, "the name of a zone is empty", "name it")
            )
        faults += _number_faults(f"{path}.{zone}", price, math.inf)
    return faults


def _number_faults(
    path: str, value: object, maximum: float
) -> list[errors.Fault]:
    if (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and math.isfinite(value)
        and 0 <= value <= maximum
    ):
        return []
    limit = "" if math.isinf(maximum) else f" to {maximum:g}"
    return [
        errors.Fault(
            path,
            f"{value!r:.40} is out of range",
            f"use a finite number from 0{limit}",
        )
    ]


def _is_count(value: object) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= _COUNT_LIMIT
    )

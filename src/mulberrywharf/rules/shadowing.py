"""Finds rules that never apply because an earlier rule always matches first.

A rule is shadowed when its conditions imply those of an earlier rule. It is
compared with one earlier rule at a time; a rule that only several earlier
rules together cover is not found.
"""

from collections.abc import Iterator

from mulberrywharf.errors import Fault
from mulberrywharf.rules.document import Conditions, Rule
from mulberrywharf.rules.situation import MINUTES_IN_DAY, is_in_window

_LOWER_BOUND_KEYS = (
    "prefill_share_above",
    "queue_delay_above_s",
    "engines_lost_above_count",
)
_UPPER_BOUND_KEYS = ("prefill_share_below", "queue_delay_below_s")
_EXACT_KEYS = ("availability_zone", "customer", "model")


def shadowing_warnings(rules: list[Rule]) -> Iterator[Fault]:
    """Yields a warning for each rule that an earlier rule shadows."""
    for index, rule in enumerate(rules):
        for earlier in rules[:index]:
            if implies(rule["when"], earlier["when"]):
                yield Fault(
                    f"rules.{index}",
                    f"{rule['name']} never counts: whenever it matches, "
                    f"{earlier['name']} matches first",
                    f"move it before {earlier['name']}, or remove it",
                )
                break


def implies(when: Conditions, other: Conditions) -> bool:
    """Returns whether ``other`` is true whenever ``when`` is true."""
    return (
        _thresholds_imply(when, other)
        and all(
            when.get(key) == other[key]  # type: ignore[literal-required]
            for key in _EXACT_KEYS
            if key in other
        )
        and _rates_imply(when, other)
        and _window_implies(when, other)
        and when.get("for_s", 0.0) >= other.get("for_s", 0.0)
    )


def _thresholds_imply(when: Conditions, other: Conditions) -> bool:
    above = all(
        key in when and when[key] >= other[key]  # type: ignore[literal-required]
        for key in _LOWER_BOUND_KEYS
        if key in other
    )
    below = all(
        key in when and when[key] <= other[key]  # type: ignore[literal-required]
        for key in _UPPER_BOUND_KEYS
        if key in other
    )
    return above and below


def _rates_imply(when: Conditions, other: Conditions) -> bool:
    if not other.keys() & {"customer", "model"}:
        return True
    above, below = _rate_range(when)
    other_above, other_below = _rate_range(other)
    return above >= other_above and below <= other_below


def _rate_range(when: Conditions) -> tuple[float, float]:
    below = when.get("requests_below_per_s", float("inf"))
    # Without any bound the rate must be above 0, since the condition means
    # that requests arrive. An upper bound alone is also true at a rate of 0, so
    # the lower bound is then -1.
    lowest = 0.0 if "requests_below_per_s" not in when else -1.0
    return when.get("requests_above_per_s", lowest), below


def _window_implies(when: Conditions, other: Conditions) -> bool:
    outer = other.get("between_utc")
    if outer is None:
        return True
    inner = when.get("between_utc")
    return all(
        is_in_window(minute, outer)
        for minute in range(MINUTES_IN_DAY)
        if inner is None or is_in_window(minute, inner)
    )

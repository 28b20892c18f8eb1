"""Finds rules between which a noisy input would switch back and forth.

Each switch takes an engine away for seconds, so a threshold that a noisy
figure crosses every few seconds costs more than either state.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from mulberrywharf.errors import Fault
from mulberrywharf.rules.document import Actions, Conditions, Document, Rule

_COSTLY = ("roles", "load", "drain")


class _NoisyInput(NamedTuple):
    """An input that moves with every report.

    Attributes:
        above: Condition that holds above a threshold.
        below: Condition that holds below one.
        dead_band: Least distance between the two thresholds that a noisy
            input does not cross by itself.
    """

    above: str
    below: str
    dead_band: float


_NOISY = (
    _NoisyInput("prefill_share_above", "prefill_share_below", 0.05),
    _NoisyInput("queue_delay_above_s", "queue_delay_below_s", 0.1),
    _NoisyInput("requests_above_per_s", "requests_below_per_s", 0.0),
)


def flapping_warnings(document: Document) -> Iterator[Fault]:
    """Points out pairs of rules, or a rule and the default, that may flap."""
    rules = document["rules"]
    numbered = list(enumerate(rules))
    for (_, first), (index, second) in combinations(numbered, 2):
        noisy = _shared_threshold(first["when"], second["when"])
        if noisy is None or not _differ(first["then"], second["then"]):
            continue
        if _sustained(first) and _sustained(second):
            continue
        if not _can_meet(first["when"], second["when"]):
            continue
        yield Fault(
            f"rules.{index}",
            f"{second['name']} and {first['name']} meet at one threshold "
            f"({noisy.above}, {noisy.below}) and may switch back and forth",
            f"leave a gap of more than {noisy.dead_band} between the "
            "thresholds and give both rules a for_s",
        )
    yield from _against_default(document)


def _against_default(document: Document) -> Iterator[Fault]:
    default = document["default"]
    if not set(default) & set(_COSTLY):
        return
    for index, rule in enumerate(document["rules"]):
        if _sustained(rule) or not _differ(rule["then"], default):
            continue
        if any(
            n.above in rule["when"] or n.below in rule["when"] for n in _NOISY
        ):
            yield Fault(
                f"rules.{index}",
                f"{rule['name']} and the default change engines, and a short "
                "swing switches between them",
                "give the rule a for_s, or make the default hold",
            )


def _shared_threshold(
    first: Conditions, second: Conditions
) -> _NoisyInput | None:
    for noisy in _NOISY:
        for one, other in ((first, second), (second, first)):
            above, below = one.get(noisy.above), other.get(noisy.below)
            if not isinstance(above, (int, float)):
                continue
            if not isinstance(below, (int, float)):
                continue
            if below >= above - noisy.dead_band:
                return noisy
    return None


def _differ(first: Actions, second: Actions) -> bool:
    """Says whether a switch between the two would change engines."""
    return any(
        key in first and key in second and first[key] != second[key]  # type: ignore[literal-required]
        for key in _COSTLY
    )


def _sustained(rule: Rule) -> bool:
    return rule["when"].get("for_s", 0.0) > 0


def _can_meet(first: Conditions, second: Conditions) -> bool:
    """Says whether both rules may be evaluated in one zone for one subject."""
    return all(
        first[key] == second[key]
        for key in ("availability_zone", "customer", "model")
        if key in first and key in second
    )

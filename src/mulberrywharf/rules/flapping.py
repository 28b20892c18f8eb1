"""Finds rules between which a noisy input would switch back and forth.

Each switch makes an engine unavailable for seconds. If a noisy input crosses
a threshold every few seconds, the switches cost more than staying in either
state.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from mulberrywharf.errors import Fault
from mulberrywharf.rules.document import Actions, Conditions, Document, Rule

_ENGINE_ACTIONS = ("roles", "load", "drain")


class _NoisyInput(NamedTuple):
    """An input that changes with every report.

    Attributes:
        above: Name of the condition that is true above a threshold.
        below: Name of the condition that is true below a threshold.
        dead_band: Noise alone does not cross a gap between the two
            thresholds that is wider than this.
    """

    above: str
    below: str
    dead_band: float


_NOISY_INPUTS = (
    _NoisyInput("prefill_share_above", "prefill_share_below", 0.05),
    _NoisyInput("queue_delay_above_s", "queue_delay_below_s", 0.1),
    _NoisyInput("requests_above_per_s", "requests_below_per_s", 0.0),
)


def flapping_warnings(document: Document) -> Iterator[Fault]:
    """Yields a warning for each pair of rules that may flap.

    The default is compared with each rule as well.
    """
    rules = document["rules"]
    numbered = list(enumerate(rules))
    for (_, first), (index, second) in combinations(numbered, 2):
        noisy = _input_within_dead_band(first["when"], second["when"])
        if noisy is None or not _switch_changes_engines(
            first["then"], second["then"]
        ):
            continue
        if _has_duration(first) and _has_duration(second):
            continue
        if not _scopes_overlap(first["when"], second["when"]):
            continue
        yield Fault(
            f"rules.{index}",
            f"{second['name']} and {first['name']} meet at one threshold "
            f"({noisy.above}, {noisy.below}) and may switch back and forth",
            f"leave a gap of more than {noisy.dead_band} between the "
            "thresholds and give both rules a for_s",
        )
    yield from _default_warnings(document)


def _default_warnings(document: Document) -> Iterator[Fault]:
    default = document["default"]
    if not set(default) & set(_ENGINE_ACTIONS):
        return
    for index, rule in enumerate(document["rules"]):
        if _has_duration(rule) or not _switch_changes_engines(
            rule["then"], default
        ):
            continue
        if any(
            n.above in rule["when"] or n.below in rule["when"]
            for n in _NOISY_INPUTS
        ):
            yield Fault(
                f"rules.{index}",
                f"{rule['name']} and the default change engines, and a short "
                "swing switches between them",
                "give the rule a for_s, or set hold in the default",
            )


def _input_within_dead_band(
    first: Conditions, second: Conditions
) -> _NoisyInput | None:
    for noisy in _NOISY_INPUTS:
        for one, other in ((first, second), (second, first)):
            above, below = one.get(noisy.above), other.get(noisy.below)
            if not isinstance(above, (int, float)):
                continue
            if not isinstance(below, (int, float)):
                continue
            if below >= above - noisy.dead_band:
                return noisy
    return None


def _switch_changes_engines(first: Actions, second: Actions) -> bool:
    """Returns whether switching between the two would change engines."""
    return any(
        key in first and key in second and first[key] != second[key]  # type: ignore[literal-required]
        for key in _ENGINE_ACTIONS
    )


def _has_duration(rule: Rule) -> bool:
    return rule["when"].get("for_s", 0.0) > 0


def _scopes_overlap(first: Conditions, second: Conditions) -> bool:
    """Returns whether both may concern the same zone, customer and model."""
    return all(
        first[key] == second[key]
        for key in ("availability_zone", "customer", "model")
        if key in first and key in second
    )

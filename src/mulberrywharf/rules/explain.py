"""Explains in words which rule applies and why."""

import json
import math

from mulberrywharf.rules.match import ConditionResult, Match


def explain(match: Match, config_version: int) -> str:
    """Describes a match: the rule, its version, its inputs and their age.

    Args:
        match: The match to explain.
        config_version: Version of the configuration that was evaluated.

    Returns:
        Text of several lines, for operators.
    """
    lines = [_headline(match, config_version)]
    lines += [f"  {describe_condition(result)}" for result in match.conditions]
    lines.append(f"  then {json.dumps(match.actions, sort_keys=True)}")
    return "\n".join(lines)


def reason(match: Match, config_version: int) -> str:
    """Describes a match on one line, for order records and the audit trail."""
    conditions = "; ".join(
        describe_condition(result) for result in match.conditions
    )
    headline = _headline(match, config_version)
    return f"{headline}: {conditions}" if conditions else headline


def describe_condition(result: ConditionResult) -> str:
    """Describes one condition and the value that it was compared with.

    For example ``queue_delay_above_s 1.0: seen 2, 0.5 s old, holds``.
    """
    state = {True: "holds", False: "does not hold", None: "unknown"}
    age = (
        "age unknown"
        if math.isinf(result.age_s)
        else f"{result.age_s:.1f} s old"
    )
    return (
        f"{result.condition} {result.wanted}: seen {result.value}, {age}, "
        f"{state[result.holds]}"
    )


def _headline(match: Match, config_version: int) -> str:
    where = f"configuration version {config_version}"
    if match.undecided:
        return (
            f"undecided at rule {match.rule_name} (#{match.rule_index + 1}) of "
            f"{where}: it may match, so nothing is changed"
        )
    if match.rule_index < 0:
        return f"no rule of {where} matches; the default applies"
    return (
        f"rule {match.rule_name} (#{match.rule_index + 1}) of {where} matches"
    )

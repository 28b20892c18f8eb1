"""Says in words why the rules ask for what they ask for."""

import json
import math

from mulberrywharf.rules.match import Match, SeenInput


def explain(match: Match, config_version: int) -> str:
    """Names the rule, the configuration version, the inputs and their age.

    Args:
        match: What was found.
        config_version: Version of the configuration it was found in.

    Returns:
        Several lines for an operator.
    """
    lines = [_headline(match, config_version)]
    lines += [f"  {describe_input(seen)}" for seen in match.inputs]
    lines.append(f"  then {json.dumps(match.actions, sort_keys=True)}")
    return "\n".join(lines)


def reason(match: Match, config_version: int) -> str:
    """Returns the same on one line, for order records and the audit trail."""
    inputs = "; ".join(describe_input(seen) for seen in match.inputs)
    headline = _headline(match, config_version)
    return f"{headline}: {inputs}" if inputs else headline


def describe_input(seen: SeenInput) -> str:
    """Describes one condition, such as ``x > 0.4: seen 0.5, 2.1 s old``."""
    state = {True: "holds", False: "does not hold", None: "unknown"}
    age = "no age" if math.isinf(seen.age_s) else f"{seen.age_s:.1f} s old"
    return (
        f"{seen.condition} {seen.wanted}: seen {seen.value}, {age}, "
        f"{state[seen.holds]}"
    )


def _headline(match: Match, config_version: int) -> str:
    where = f"configuration version {config_version}"
    if match.undecided:
        return (
            f"undecided at rule {match.rule_name} (#{match.rule_index + 1}) of "
            f"{where}: it may match, so nothing is changed"
        )
    if match.rule_index < 0:
        return f"no rule of {where} matches; the default counts"
    return (
        f"rule {match.rule_name} (#{match.rule_index + 1}) of {where} matches"
    )

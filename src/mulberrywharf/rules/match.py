"""Finds the first rule that matches; only that one counts.

Each condition holds, does not hold, or is unknown because its input is
missing or too old. A rule that may match, but is not known to, stops the
search: whether a later rule counts depends on it. The answer is then
undecided and carries ``hold``, so that a node without current readings does not
change the fleet.
"""

import json
import math
from collections.abc import Iterator
from typing import NamedTuple

from mulberrywharf.rules import consistency
from mulberrywharf.rules.document import Actions, Conditions, Document
from mulberrywharf.rules.situation import Reading, Situation, within
from mulberrywharf.rules.sustain import Sustain

STALE_AFTER_S = 20.0
"""Age from which a reading no longer says what holds now."""

_HOLD: Actions = {"hold": True}


class SeenInput(NamedTuple):
    """One condition of a rule and what it was compared with.

    Attributes:
        condition: Name of the condition.
        wanted: Its value in the rule, as JSON.
        value: The input's value, as text; ``unknown`` if there was none.
        age_s: The input's age.
        holds: Whether the condition holds; None when unknown.
    """

    condition: str
    wanted: str
    value: str
    age_s: float
    holds: bool | None


class Match(NamedTuple):
    """What the rules say now.

    Attributes:
        rule_name: The rule that counts, or ``default``.
        rule_index: Its place in the document; -1 for the default.
        actions: What is to be done.
        inputs: Conditions of that rule with what they were compared with.
        undecided: It is not known whether the rule matches. The actions are
            then ``hold``: leave engines, limits and preferences as they are.
    """

    rule_name: str
    rule_index: int
    actions: Actions
    inputs: tuple[SeenInput, ...]
    undecided: bool = False


def match(
    document: Document,
    situation: Situation,
    *,
    sustain: Sustain,
    now_s: float,
    stale_after_s: float = STALE_AFTER_S,
) -> Match:
    """Returns the first rule that matches, or the default.

    Args:
        document: The configuration in force.
        situation: The zone's state.
        sustain: What this process remembers between evaluations.
        now_s: Monotonic time.
        stale_after_s: Older readings count as unknown.
    """
    found: Match | None = None
    sustain.start_pass(now_s)
    for index, rule in enumerate(document["rules"]):
        when = rule["when"]
        inputs = tuple(_seen_inputs(when, situation, stale_after_s))
        matches = sustain.observe(
            rule["name"] + json.dumps(when, sort_keys=True),
            _all_hold(inputs),
            for_s=when.get("for_s", 0.0),
            now_s=now_s,
        )
        if found is None and matches is not False:
            actions = rule["then"] if matches else _HOLD
            found = Match(
                rule["name"], index, actions, inputs, undecided=not matches
            )
    sustain.end_pass()
    return found or Match(consistency.DEFAULT_NAME, -1, document["default"], ())


def match_once(document: Document, situation: Situation) -> Match:
    """Returns what would match if the situation lasted, whatever ``for_s``.

    For dry runs, which see one instant and have no memory.
    """
    at_once: Document = {**document, "rules": []}
    for rule in document["rules"]:
        when = rule["when"].copy()
        when.pop("for_s", None)
        at_once["rules"].append({**rule, "when": when})
    return match(at_once, situation, sustain=Sustain(), now_s=0.0)


def _all_hold(inputs: tuple[SeenInput, ...]) -> bool | None:
    if any(seen.holds is False for seen in inputs):
        return False
    if any(seen.holds is None for seen in inputs):
        return None
    return True


def _seen_inputs(
    when: Conditions, situation: Situation, stale_after_s: float
) -> Iterator[SeenInput]:
    yield from _level_inputs(when, situation, stale_after_s)
    yield from _rate_inputs(when, situation, stale_after_s)
    zone = situation.availability_zone
    if "availability_zone" in when:
        wanted = when["availability_zone"]
        yield _exact("availability_zone", wanted, zone, zone == wanted)
    if "between_utc" in when:
        minute = situation.utc_minute
        clock = f"{minute // 60:02}:{minute % 60:02}"
        window = when["between_utc"]
        holds = within(minute, window)
        yield _exact("between_utc", "-".join(window), clock, holds)


def _level_inputs(
    when: Conditions, situation: Situation, stale_after_s: float
) -> Iterator[SeenInput]:
    levels = (
        ("prefill_share_above", situation.prefill_share, True),
        ("prefill_share_below", situation.prefill_share, False),
        ("queue_delay_above_s", situation.queue_delay_s, True),
        ("queue_delay_below_s", situation.queue_delay_s, False),
        ("engines_lost_above_count", situation.engines_lost_count, True),
    )
    for condition, reading, above in levels:
        bound = when.get(condition)
        if isinstance(bound, (int, float)):
            yield _compare(condition, bound, reading, above, stale_after_s)


def _rate_inputs(
    when: Conditions, situation: Situation, stale_after_s: float
) -> Iterator[SeenInput]:
    subjects = (
        ("customer", when.get("customer"), situation.customer_requests_per_s),
        ("model", when.get("model"), situation.model_requests_per_s),
    )
    for condition, name, rates in subjects:
        if name is None:
            continue
        known = not math.isinf(situation.rates_age_s)
        absent_per_s = situation.absent_requests_per_s
        rate = rates.get(name, absent_per_s) if known else None
        reading = Reading(rate, situation.rates_age_s)
        above = when.get("requests_above_per_s")
        below = when.get("requests_below_per_s")
        if above is not None or below is None:
            label = f"{condition} {name} requests_above_per_s"
            seen = _compare(label, above or 0.0, reading, True, stale_after_s)
            yield _unless_given_up(seen, situation)
        if below is not None:
            label = f"{condition} {name} requests_below_per_s"
            seen = _compare(label, below, reading, False, stale_after_s)
            yield _unless_given_up(seen, situation)


def _unless_given_up(seen: SeenInput, situation: Situation) -> SeenInput:
    # While nobody tells the rates, a rule on them would hold the zone for
    # ever and with it the rules behind, whose figures may all be there.
    if seen.holds is None and situation.rates_given_up:
        return seen._replace(holds=False)
    return seen


def _compare(
    condition: str,
    bound: float,
    reading: Reading,
    above: bool,
    stale_after_s: float,
) -> SeenInput:
    value, age_s = reading
    wanted = json.dumps(bound)
    if value is None or age_s > stale_after_s:
        shown = "unknown" if value is None else f"{value:.3g}"
        return SeenInput(condition, wanted, shown, age_s, None)
    holds = value > bound if above else value < bound
    return SeenInput(condition, wanted, f"{value:.3g}", age_s, holds)


def _exact(condition: str, wanted: str, value: str, holds: bool) -> SeenInput:
    return SeenInput(condition, wanted, value, 0.0, holds)

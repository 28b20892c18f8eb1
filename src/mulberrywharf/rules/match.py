"""Finds the first rule that matches; only this rule applies.

Each condition is true, false, or unknown because its input is missing or
stale. A rule whose match is unknown ends the search, since it determines
whether a later rule applies. The result is then undecided and its action is
``hold``, so that a process without current readings does not change the fleet.
"""

import json
import math
from collections.abc import Iterator
from typing import NamedTuple

from mulberrywharf.rules import consistency
from mulberrywharf.rules.document import Actions, Conditions, Document
from mulberrywharf.rules.situation import Reading, Situation, is_in_window
from mulberrywharf.rules.sustain import Sustain

STALE_AFTER_S = 20.0
"""Age above which a reading counts as unknown."""

_HOLD: Actions = {"hold": True}


class ConditionResult(NamedTuple):
    """The result of evaluating one condition of a rule.

    Attributes:
        condition: Name of the condition.
        wanted: Value of the condition in the rule, as text.
        value: Value of the input, as text; ``unknown`` if there is none.
        age_s: Age of the input, in seconds.
        holds: Whether the condition is true; None if unknown.
    """

    condition: str
    wanted: str
    value: str
    age_s: float
    holds: bool | None


class Match(NamedTuple):
    """The rule that applies now, with its actions.

    Attributes:
        rule_name: Name of the rule that applies, or ``default``.
        rule_index: Index of the rule in the document; -1 for the default.
        actions: The actions to take.
        conditions: Results of the rule's conditions; empty for the default.
        undecided: Whether it is unknown if the rule matches. The actions are
            then ``hold``: leave engines, limits and preferences unchanged.
    """

    rule_name: str
    rule_index: int
    actions: Actions
    conditions: tuple[ConditionResult, ...]
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
        situation: State of the zone.
        sustain: Records between evaluations how long each rule's conditions
            have been true.
        now_s: Monotonic time, in seconds.
        stale_after_s: Age in seconds above which readings count as unknown.
    """
    found: Match | None = None
    sustain.start_pass(now_s)
    for index, rule in enumerate(document["rules"]):
        when = rule["when"]
        results = tuple(_evaluate_conditions(when, situation, stale_after_s))
        matches = sustain.observe(
            rule["name"] + json.dumps(when, sort_keys=True),
            _all_hold(results),
            for_s=when.get("for_s", 0.0),
            now_s=now_s,
        )
        if found is None and matches is not False:
            actions = rule["then"] if matches else _HOLD
            found = Match(
                rule["name"], index, actions, results, undecided=not matches
            )
    sustain.end_pass()
    return found or Match(
        consistency.DEFAULT_RULE_NAME, -1, document["default"], ()
    )


def match_once(document: Document, situation: Situation) -> Match:
    """Returns the rule that matches when ``for_s`` is ignored.

    A dry run sees a single point in time and has no earlier evaluations, so
    the result is the rule that would match if the situation persisted.
    """
    without_durations: Document = {**document, "rules": []}
    for rule in document["rules"]:
        when = rule["when"].copy()
        when.pop("for_s", None)
        without_durations["rules"].append({**rule, "when": when})
    return match(without_durations, situation, sustain=Sustain(), now_s=0.0)


def _all_hold(results: tuple[ConditionResult, ...]) -> bool | None:
    if any(result.holds is False for result in results):
        return False
    if any(result.holds is None for result in results):
        return None
    return True


def _evaluate_conditions(
    when: Conditions, situation: Situation, stale_after_s: float
) -> Iterator[ConditionResult]:
    yield from _evaluate_thresholds(when, situation, stale_after_s)
    yield from _evaluate_rates(when, situation, stale_after_s)
    zone = situation.availability_zone
    if "availability_zone" in when:
        wanted = when["availability_zone"]
        yield _known_result("availability_zone", wanted, zone, zone == wanted)
    if "between_utc" in when:
        minute = situation.utc_minute
        time_of_day = f"{minute // 60:02}:{minute % 60:02}"
        window = when["between_utc"]
        holds = is_in_window(minute, window)
        yield _known_result("between_utc", "-".join(window), time_of_day, holds)


def _evaluate_thresholds(
    when: Conditions, situation: Situation, stale_after_s: float
) -> Iterator[ConditionResult]:
    thresholds = (
        ("prefill_share_above", situation.prefill_share, True),
        ("prefill_share_below", situation.prefill_share, False),
        ("queue_delay_above_s", situation.queue_delay_s, True),
        ("queue_delay_below_s", situation.queue_delay_s, False),
        ("engines_lost_above_count", situation.engines_lost_count, True),
    )
    for condition, reading, above in thresholds:
        bound = when.get(condition)
        if isinstance(bound, (int, float)):
            yield _compare_threshold(
                condition, bound, reading, above, stale_after_s
            )


def _evaluate_rates(
    when: Conditions, situation: Situation, stale_after_s: float
) -> Iterator[ConditionResult]:
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
            result = _compare_threshold(
                label, above or 0.0, reading, True, stale_after_s
            )
            yield _false_if_rates_given_up(result, situation)
        if below is not None:
            label = f"{condition} {name} requests_below_per_s"
            result = _compare_threshold(
                label, below, reading, False, stale_after_s
            )
            yield _false_if_rates_given_up(result, situation)


def _false_if_rates_given_up(
    result: ConditionResult, situation: Situation
) -> ConditionResult:
    # While the rates are unknown, a rule that depends on them is undecided and
    # leaves the zone unchanged. If this lasted indefinitely, the later rules
    # would never apply, although all of their inputs may be known.
    if result.holds is None and situation.rates_given_up:
        return result._replace(holds=False)
    return result


def _compare_threshold(
    condition: str,
    bound: float,
    reading: Reading,
    above: bool,
    stale_after_s: float,
) -> ConditionResult:
    value, age_s = reading
    wanted = json.dumps(bound)
    if value is None or age_s > stale_after_s:
        shown = "unknown" if value is None else f"{value:.3g}"
        return ConditionResult(condition, wanted, shown, age_s, None)
    holds = value > bound if above else value < bound
    return ConditionResult(condition, wanted, f"{value:.3g}", age_s, holds)


def _known_result(
    condition: str, wanted: str, value: str, holds: bool
) -> ConditionResult:
    """Returns the result of a condition whose input is always known."""
    return ConditionResult(condition, wanted, value, 0.0, holds)

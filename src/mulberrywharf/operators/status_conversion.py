"""Converts the rules' inputs for a controller's status report and back.

As a dry run, mulberryctl evaluates rules that are not in force yet on the
inputs in a report.
"""

import math

from mulberrywharf.operators.status import RuleStatus, SituationStatus
from mulberrywharf.rules.explain import explain
from mulberrywharf.rules.match import STALE_AFTER_S, Match
from mulberrywharf.rules.situation import Reading, Situation


def rule_status(match: Match, config_version: int) -> RuleStatus:
    """Returns the last evaluation of the rules as /status shows it."""
    return RuleStatus(
        rule_name=match.rule_name,
        undecided=match.undecided,
        explanation=explain(match, config_version),
    )


def situation_status(situation: Situation) -> SituationStatus:
    """Returns the rules' inputs as /status shows them; stale ones are None."""
    age_s = situation.rates_age_s
    return SituationStatus(
        availability_zone=situation.availability_zone,
        utc_minute=situation.utc_minute,
        prefill_share=_value_if_fresh(situation.prefill_share),
        queue_delay_s=_value_if_fresh(situation.queue_delay_s),
        engines_lost_count=_value_if_fresh(situation.engines_lost_count),
        customer_requests_per_s=dict(situation.customer_requests_per_s),
        model_requests_per_s=dict(situation.model_requests_per_s),
        absent_requests_per_s=situation.absent_requests_per_s,
        rates_age_s=None if math.isinf(age_s) else age_s,
        rates_given_up=situation.rates_given_up,
    )


def situation_from_status(status: SituationStatus) -> Situation:
    """Returns the inputs in a status report.

    Readings that were fresh when the report was made get an age of 0.
    """
    age_s = status["rates_age_s"]
    return Situation(
        availability_zone=status["availability_zone"],
        utc_minute=status["utc_minute"],
        prefill_share=Reading(status["prefill_share"], 0.0),
        queue_delay_s=Reading(status["queue_delay_s"], 0.0),
        engines_lost_count=Reading(status["engines_lost_count"], 0.0),
        customer_requests_per_s=status["customer_requests_per_s"],
        model_requests_per_s=status["model_requests_per_s"],
        absent_requests_per_s=status.get("absent_requests_per_s", 0.0),
        rates_age_s=math.inf if age_s is None else age_s,
        rates_given_up=status.get("rates_given_up", False),
    )


def _value_if_fresh(reading: Reading) -> float | None:
    return reading.value if reading.age_s <= STALE_AFTER_S else None

"""What the rules are evaluated on: the zone's state as one node sees it."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

MINUTES_IN_DAY = 24 * 60
SECONDS_IN_MINUTE = 60

_NO_RATES: Mapping[str, float] = MappingProxyType({})


class Reading(NamedTuple):
    """A figure that came from afar.

    Attributes:
        value: The figure, or None when nothing is known.
        age_s: How old the figure is.
    """

    value: float | None
    age_s: float


UNKNOWN = Reading(None, float("inf"))


class Situation(NamedTuple):
    """The inputs of the rules in one zone at one instant.

    Attributes:
        availability_zone: The zone whose engines are ruled.
        utc_minute: Minute of the day, 0 to 1439.
        prefill_share: Prefill's share of the work, 0 to 1.
        queue_delay_s: How long requests wait for an engine.
        engines_lost_count: Engines of the zone that should serve and do not.
        customer_requests_per_s: By customer.
        model_requests_per_s: By model.
        absent_requests_per_s: Rate of customers and models that are absent
            there: none, or None when only some were asked for.
        rates_age_s: Age of both kinds of rates; infinite when unknown.
        rates_given_up: They have been unknown for so long that no condition
            on them holds.
    """

    availability_zone: str
    utc_minute: int
    prefill_share: Reading = UNKNOWN
    queue_delay_s: Reading = UNKNOWN
    engines_lost_count: Reading = UNKNOWN
    customer_requests_per_s: Mapping[str, float] = _NO_RATES
    model_requests_per_s: Mapping[str, float] = _NO_RATES
    absent_requests_per_s: float | None = 0.0
    rates_age_s: float = float("inf")
    rates_given_up: bool = False


def utc_minute(unix_s: float) -> int:
    """Returns the minute of the UTC day, 0 to 1439."""
    return int(unix_s // SECONDS_IN_MINUTE) % MINUTES_IN_DAY


def minute_of(time_of_day: str) -> int:
    """Returns the minute of the day of a time such as ``06:30``."""
    hours, minutes = time_of_day.split(":")
    return int(hours) * 60 + int(minutes)


def within(minute: int, window: list[str]) -> bool:
    """Says whether a minute lies in a window, which may pass midnight."""
    start, end = minute_of(window[0]), minute_of(window[1])
    if start < end:
        return start <= minute < end
    return minute >= start or minute < end

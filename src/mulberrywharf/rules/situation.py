"""Inputs of the rules: the state of one zone as seen by one process."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

MINUTES_IN_DAY = 24 * 60
SECONDS_IN_MINUTE = 60

_NO_RATES: Mapping[str, float] = MappingProxyType({})


class Reading(NamedTuple):
    """A value that was measured elsewhere, and its age.

    Attributes:
        value: The value, or None if it is unknown.
        age_s: Age of the value, in seconds.
    """

    value: float | None
    age_s: float


UNKNOWN_READING = Reading(None, float("inf"))


class Situation(NamedTuple):
    """The inputs of the rules in one zone at one instant.

    Attributes:
        availability_zone: The zone whose engines the rules control.
        utc_minute: Minute of the UTC day, 0 to 1439.
        prefill_share: Prefill's share of the zone's work, 0 to 1.
        queue_delay_s: How long prefilling the waiting prompts would take, in
            seconds.
        engines_lost_count: Engines of the zone that should serve but do not.
        customer_requests_per_s: Request rates by customer.
        model_requests_per_s: Request rates by model.
        absent_requests_per_s: Rate of customers and models that are missing
            from the two mappings: 0, or None (unknown) if only some rates
            were queried.
        rates_age_s: Age of all request rates, in seconds; infinite when they
            are unknown.
        rates_given_up: Whether the rates have been unknown for so long that
            conditions on them count as false.
    """

    availability_zone: str
    utc_minute: int
    prefill_share: Reading = UNKNOWN_READING
    queue_delay_s: Reading = UNKNOWN_READING
    engines_lost_count: Reading = UNKNOWN_READING
    customer_requests_per_s: Mapping[str, float] = _NO_RATES
    model_requests_per_s: Mapping[str, float] = _NO_RATES
    absent_requests_per_s: float | None = 0.0
    rates_age_s: float = float("inf")
    rates_given_up: bool = False


def utc_minute(unix_s: float) -> int:
    """Returns the minute of the UTC day of a Unix time, 0 to 1439."""
    return int(unix_s // SECONDS_IN_MINUTE) % MINUTES_IN_DAY


def minute_of_day(time_of_day: str) -> int:
    """Returns the minute of the day for a time of day such as ``06:30``."""
    hours, minutes = time_of_day.split(":")
    return int(hours) * 60 + int(minutes)


def is_in_window(minute: int, window: list[str]) -> bool:
    """Returns whether a minute of the day is in a window.

    Args:
        minute: Minute of the day, 0 to 1439.
        window: Start (inclusive) and end (exclusive) as times of day; the
            window may span midnight.
    """
    start, end = minute_of_day(window[0]), minute_of_day(window[1])
    if start < end:
        return start <= minute < end
    return minute >= start or minute < end

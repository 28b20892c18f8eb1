"""Request limits that servers state in their answers.

A server in need states how many requests per second it accepts from all
gateways together. The limit holds until an answer of the server states another
one, or none.
"""

import re
from collections.abc import Sequence
from typing import NamedTuple

MAX_REQUESTS_PER_S = 100_000.0
"""A higher limit counts as none; no server serves as many requests."""

_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


class NoLimit(NamedTuple):
    """The answer states no limit."""


class RequestLimit(NamedTuple):
    """The answer states a limit.

    Attributes:
        requests_per_s: Requests per second from all gateways together; 0 if the
            server accepts none.
    """

    requests_per_s: float


class MalformedLimit(NamedTuple):
    """The answer states a limit that can't be read.

    Attributes:
        text: The value as received.
    """

    text: str


StatedLimit = NoLimit | RequestLimit | MalformedLimit


def parse(values: Sequence[str]) -> StatedLimit:
    """Reads the limit from the values of an answer's header field.

    Args:
        values: One value for each time that the field occurs. If it is
            repeated, the lowest limit holds.
    """
    if not values:
        return NoLimit()
    limits = []
    for value in values:
        if not _DECIMAL.fullmatch(value.strip(" \t")):
            return MalformedLimit(", ".join(values))
        limits.append(float(value))
    lowest_per_s = min(limits)
    if lowest_per_s > MAX_REQUESTS_PER_S:
        return NoLimit()
    return RequestLimit(lowest_per_s)

"""Numbers as the fields of frames and datagrams hold them.

The Cap'n Proto library raises an exception for a number that a field can't
hold, and an exception in an encoder would cost all other records of a datagram.
"""

import sys
from collections.abc import Iterable

UINT8_LIMIT = 2**8 - 1
UINT16_LIMIT = 2**16 - 1
UINT32_LIMIT = 2**32 - 1
UINT64_LIMIT = 2**64 - 1
FLOAT32_LIMIT = (2.0 - 2.0**-23) * 2.0**127
FLOAT64_LIMIT = sys.float_info.max


def saturated(value: float, limit: int) -> int:
    """Returns the whole number nearest to a value that a field holds.

    Args:
        value: Any number; NaN counts as 0.
        limit: Maximum of the field.
    """
    if not value > 0:  # also true for NaN
        return 0
    return limit if value >= limit else round(value)


def saturated_all(values: Iterable[float], limit: int) -> list[int]:
    """Returns the nearest whole numbers that a field holds, in order."""
    return [saturated(value, limit) for value in values]


def nonnegative(value: float, limit: float = FLOAT64_LIMIT) -> float:
    """Returns the finite number of at least 0 that is nearest to a value.

    Args:
        value: Any number; NaN counts as 0.
        limit: Maximum of the field.
    """
    if not value > 0:  # also true for NaN
        return 0.0
    return limit if value >= limit else float(value)


def milliseconds(duration_s: float, limit: int = UINT32_LIMIT) -> int:
    """Returns a duration in whole milliseconds, saturated."""
    return saturated(duration_s * 1000, limit)


def microseconds(duration_s: float, limit: int = UINT32_LIMIT) -> int:
    """Returns a duration in whole microseconds, saturated."""
    return saturated(duration_s * 1_000_000, limit)

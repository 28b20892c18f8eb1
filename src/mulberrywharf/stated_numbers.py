"""Numbers that other programs state, checked where they are decoded.

JSON has one kind of number: a parser returns huge integers as floats, accepts
signs and fractions, and in Python a bool is an integer.
"""

import math
import re
from typing import Any

INT64_LIMIT = 2**63 - 1
"""Maximum of what every encoder of this package and of others can write."""

_DIGITS = re.compile(r"[0-9]{1,19}")


def from_digits(text: str) -> int | None:
    """Returns the number that a text of decimal digits states, None if none.

    Numbers above ``INT64_LIMIT`` count as none.

    ``int`` alone accepts signs, underscores and other scripts' digits, and
    raises ValueError for thousands of digits.
    """
    if not _DIGITS.fullmatch(text):
        return None
    number = int(text)
    return number if number <= INT64_LIMIT else None


def count(
    value: Any, name: str, *, minimum: int = 0, limit: int = INT64_LIMIT
) -> int:
    """Returns a stated number of things.

    Args:
        value: The number as it was parsed.
        name: What it states, for the error.
        minimum: Least value that makes sense.
        limit: Highest value that makes sense.

    Raises:
        ValueError: It is no integer, or out of range.
    """
    if type(value) is not int or not minimum <= value <= limit:
        raise ValueError(
            f"{name} is {value!r:.40}, not an integer from {minimum} to {limit}"
        )
    return value


def count_or_text(value: Any, name: str) -> int:
    """Returns a stated number of things that may be written as a text.

    Raises:
        ValueError: It is no integer, or out of range.
    """
    return count(from_digits(value) if type(value) is str else value, name)


def figure(value: Any, name: str, *, limit: float = math.inf) -> float:
    """Returns a stated quantity, a finite number of 0 or more.

    Args:
        value: The number as it was parsed.
        name: What it states, for the error.
        limit: Highest value that makes sense.

    Raises:
        ValueError: It is no number, or out of range.
    """
    # A long integer fits no float; comparing does not convert it.
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"{name} is {value!r:.40}, not a finite number from 0")
    if value > min(limit, float(INT64_LIMIT)):
        raise ValueError(f"{name} is {value!r:.40}, above {limit:g}")
    return float(value)

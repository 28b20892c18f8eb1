"""Header fields that are read or left out wherever they come."""

import math
from collections.abc import Iterable

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""RFC 9110 section 7.6.1, with the fields that older senders add."""


def retry_after_s(value: str | None) -> float | None:
    """Returns the seconds that a ``Retry-After`` field names.

    Returns:
        None where there is no field, or it names no time from now: it is
        negative, zero, a date, or no number at all.
    """
    try:
        seconds = float(value or "")
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


def end_to_end(fields: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Leaves out what concerns only one connection.

    Args:
        fields: Header fields as they were received.

    Returns:
        The others, names in lower case. A name with an underscore is left
        out: some servers read it as the name with a hyphen, so it could
        stand in for a field that was dropped.
    """
    lowered = [(name.lower(), value) for name, value in fields]
    named = {
        option.strip().lower()
        for name, value in lowered
        if name == "connection"
        for option in value.split(",")
    }
    dropped = _HOP_BY_HOP | named
    return [
        (name, value)
        for name, value in lowered
        if name not in dropped and "_" not in name
    ]

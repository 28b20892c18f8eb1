"""Handling of HTTP header fields that several modules share."""

import re
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
"""Fields of RFC 9110 section 7.6.1, and those that older senders add."""


BODILESS_STATUSES = frozenset({204, 304})
"""Answers of these statuses have no body."""

RETRY_AFTER_LIMIT_S = 86_400.0
"""A longer delay counts as this one."""

REQUEST_LIMIT = "server-limit"
"""Requests per second that the responding server accepts from all nodes."""


_DELAY_S = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
"""``float`` alone would accept signs, underscores, other scripts' digits and
exponents."""


def retry_after_s(value: str | None) -> float | None:
    """Returns the delay in seconds that a ``Retry-After`` field states.

    Returns:
        At most ``RETRY_AFTER_LIMIT_S``. None if there is no field or its value
        is not a positive decimal number; a date also gives None.
    """
    text = (value or "").strip(" \t")
    if not _DELAY_S.fullmatch(text):
        return None
    return min(float(text), RETRY_AFTER_LIMIT_S) or None


def end_to_end(fields: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Removes the hop-by-hop header fields.

    Args:
        fields: Header fields as they were received.

    Returns:
        The remaining fields, with names in lower case. Names with an
        underscore are removed too: some servers treat them like the name with
        a hyphen, so such a field could replace one that was removed.
    """
    lowered = [(name.lower(), value) for name, value in fields]
    connection_options = {
        option.strip().lower()
        for name, value in lowered
        if name == "connection"
        for option in value.split(",")
    }
    dropped = _HOP_BY_HOP | connection_options
    return [
        (name, value)
        for name, value in lowered
        if name not in dropped and "_" not in name
    ]

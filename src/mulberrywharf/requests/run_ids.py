"""Creates the request IDs that are sent to engines and backend servers.

Callers choose their own request IDs, so two callers may choose the same one.
Engines cancel requests by ID, and an echoed ID shows whether an answer belongs
to another request. With the callers' own IDs, one caller's cancellation could
end another caller's run, whose stream would break off without a visible
reason, and swapped answers would go undetected. The ID that is sent is
therefore the caller's ID plus a random part that nobody can guess.
"""

import secrets

SEPARATOR = "~"
"""Separates the random part from the caller's ID, which cannot contain it."""

_RANDOM_BYTES = 16


def make(request_id: str) -> str:
    """Returns a new ID that all attempts of one request share.

    Args:
        request_id: The caller's ID, validated by ``callers.request``: 1 to 128
            letters, digits or ``._:-``.

    Returns:
        The caller's ID, the separator and 32 hexadecimal digits: at most 161
        characters, all of which are allowed in a header field.
    """
    return f"{request_id}{SEPARATOR}{secrets.token_hex(_RANDOM_BYTES)}"

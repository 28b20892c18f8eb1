"""The id that one request carries towards engines and backend servers.

Callers choose their request ids, so two of them may choose the same. Engines
cancel by id, and an echoed id is what shows a crossed answer. With the
callers' own ids one caller's cancel would end the other's run, seen as a
stream that breaks off for no reason, and two answers that were swapped would
look right. So what goes out is the caller's id and a part that nobody else
has or can guess.
"""

import secrets

SEPARATOR = "~"
"""Between the caller's id, which cannot contain it, and the unique part."""

_UNIQUE_BYTES = 16


def make(request_id: str) -> str:
    """Returns a fresh id for one request, for all of its attempts.

    Args:
        request_id: The caller's id, checked by ``callers.request``: 1 to 128
            letters, digits or ``._:-``.

    Returns:
        The caller's id, the separator and 32 hexadecimal digits: at most 161
        characters that are allowed in a header field.
    """
    return f"{request_id}{SEPARATOR}{secrets.token_hex(_UNIQUE_BYTES)}"

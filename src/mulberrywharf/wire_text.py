"""Text as the fields of frames and datagrams hold it.

The Cap'n Proto library raises an exception for text that UTF-8 can't represent,
and an exception in an encoder would cost all other records of a datagram.
"""


def encodable(text: str) -> str:
    """Returns a text with ``?`` in place of each lone surrogate."""
    return text.encode(errors="replace").decode()

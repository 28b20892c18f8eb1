"""Decodes packed Cap'n Proto messages of other gateways.

Two faults of the library end the process when a message is malformed. Its
reader of packed bytes throws from a destructor if they are truncated, so they
are unpacked here. And its exceptions don't bear the stack of a greenlet, see
``main_stack``.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import capnp
from result import Err, Ok, Result

from mulberrywharf import errors, main_stack

T = TypeVar("T")

UNPACKED_LIMIT_BYTES = 65_536
"""Maximum size of an unpacked message. Those of a datagram need a tenth."""

TRAVERSAL_LIMIT_WORDS = 4 * UNPACKED_LIMIT_BYTES // 8
"""Maximum number of words that are read of a message. Pointers to the same
words could otherwise make a small message a large one."""

_NESTING_LIMIT = 8
_WORD_BYTES = 8
_ZERO_WORDS_TAG = 0x00
_LITERAL_WORDS_TAG = 0xFF
_POSITIONS = tuple(
    tuple(bit for bit in range(_WORD_BYTES) if tag >> bit & 1)
    for tag in range(256)
)
"""For each tag, the positions of the bytes of a word that are not zero."""


def decode(
    schema: Any, body: bytes, read: Callable[[Any], T]
) -> Result[T, errors.BadFrameError]:
    """Decodes a packed message.

    Args:
        schema: Type of the message.
        body: Its packed bytes.
        read: Converts the message; may raise a ValueError.

    Returns:
        What ``read`` returned, or an error if the bytes are no valid message.
    """
    return main_stack.call(lambda: _decode(schema, body, read))


def _decode(
    schema: Any, body: bytes, read: Callable[[Any], T]
) -> Result[T, errors.BadFrameError]:
    try:
        with schema.from_bytes(
            _unpack(body),
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=_NESTING_LIMIT,
        ) as message:
            return Ok(read(message))
    except (capnp.KjException, ValueError) as error:
        name = schema.schema.node.displayName.rpartition(":")[2]
        return Err(errors.BadFrameError(f"invalid {name}: {error}"))


def _unpack(packed: bytes) -> bytes:
    """Returns the message that was packed.

    Raises:
        ValueError: The bytes are truncated, or the message is too large.
    """
    flat = bytearray()
    position = 0
    length = len(packed)
    while position < length:
        if len(flat) > UNPACKED_LIMIT_BYTES:
            raise ValueError("the message is too large")
        tag = packed[position]
        position += 1
        if tag == _LITERAL_WORDS_TAG:
            end = position + _WORD_BYTES + 1
            if end > length:
                raise ValueError("the message is truncated")
            end += packed[end - 1] * _WORD_BYTES
            flat += packed[position : position + _WORD_BYTES]
            flat += packed[position + _WORD_BYTES + 1 : end]
            position = end
        elif tag == _ZERO_WORDS_TAG:
            if position == length:
                raise ValueError("the message is truncated")
            flat += bytes(_WORD_BYTES * (1 + packed[position]))
            position += 1
        else:
            word = bytearray(_WORD_BYTES)
            for offset, index in enumerate(_POSITIONS[tag], position):
                if offset >= length:
                    raise ValueError("the message is truncated")
                word[index] = packed[offset]
            flat += word
            position += tag.bit_count()
    if position != length:
        raise ValueError("the message is truncated")
    return bytes(flat)

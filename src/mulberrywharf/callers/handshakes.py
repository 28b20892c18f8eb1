"""Keeps new connections away from a listener that is about to close.

Between the last ``accept`` and the close of a listener the kernel may
complete one more connection, whose caller sends its request and sees it
reset. One would notice a few such callers in every rollout under load. A
socket filter that drops only SYN segments ends that: handshakes that have
begun complete and can be accepted, new ones do not begin, and their callers'
next SYN, a second later, is refused in the plain way.
"""

import ctypes
import socket
import struct
from typing import Any

from loguru import logger

_SO_ATTACH_FILTER = 26
_INSTRUCTION = struct.Struct("=HBBI")
_LOAD_BYTE = 0x30
_JUMP_IF_ANY_BIT = 0x45
_RETURN = 0x06
_FLAGS_OFFSET_BYTES = 13
_SYN = 0x02
_KEEP_WHOLE = 0xFFFF_FFFF
_DROP = 0

# The kernel shows the filter each segment from its TCP header on.
_PROGRAM = (
    _INSTRUCTION.pack(_LOAD_BYTE, 0, 0, _FLAGS_OFFSET_BYTES),
    _INSTRUCTION.pack(_JUMP_IF_ANY_BIT, 0, 1, _SYN),
    _INSTRUCTION.pack(_RETURN, 0, 0, _DROP),
    _INSTRUCTION.pack(_RETURN, 0, 0, _KEEP_WHOLE),
)


def refuse_new(listener: Any) -> bool:
    """Drops every new SYN to a listening socket.

    Returns:
        Whether the kernel took the filter. Without it the listener closes
        all the same, with the small gap that the module tells of.
    """
    program = ctypes.create_string_buffer(b"".join(_PROGRAM))
    head = struct.pack("HP", len(_PROGRAM), ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, head)
    except OSError as error:
        logger.warning("no filter on the closing listener: {}", error)
        return False
    return True

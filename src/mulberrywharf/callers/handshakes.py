"""Prevents new TCP handshakes on a listening socket that is about to close.

Between the last ``accept`` and the close of a listening socket the kernel may
complete another connection. The close resets it, together with a request that
was already sent. Every rollout under load would reset the connections of a few
callers. A socket filter that drops only SYN segments prevents this race:
handshakes in progress complete and can be accepted, and no new ones begin. A
caller whose SYN was dropped retransmits it after a second, and the kernel then
refuses the connection.
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
_KEEP_WHOLE_SEGMENT = 0xFFFF_FFFF
_DROP = 0

# A classic BPF program. The kernel passes it each segment from the TCP header
# on, so the offset counts from there. It returns how many bytes of the segment
# to keep.
_FILTER_PROGRAM = (
    _INSTRUCTION.pack(_LOAD_BYTE, 0, 0, _FLAGS_OFFSET_BYTES),
    _INSTRUCTION.pack(_JUMP_IF_ANY_BIT, 0, 1, _SYN),
    _INSTRUCTION.pack(_RETURN, 0, 0, _DROP),
    _INSTRUCTION.pack(_RETURN, 0, 0, _KEEP_WHOLE_SEGMENT),
)


def drop_new_syns(listening_socket: Any) -> bool:
    """Makes the kernel drop every new SYN to a listening socket.

    Returns:
        Whether the kernel accepted the filter. Without it the socket can still
        be closed, with the race described in the module docstring.
    """
    program = ctypes.create_string_buffer(b"".join(_FILTER_PROGRAM))
    # The kernel's ``struct sock_fprog``: number of instructions and address.
    sock_fprog = struct.pack(
        "HP", len(_FILTER_PROGRAM), ctypes.addressof(program)
    )
    try:
        listening_socket.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, sock_fprog
        )
    except OSError as error:
        logger.warning(
            "cannot attach a SYN filter to the closing listener: {}", error
        )
        return False
    return True

"""Sockets that this process listens on."""

import socket
from typing import Any

from gevent import socket as gevent_socket

from mulberrywharf import errors


def listening_socket(ip: str, port: int, *, backlog_count: int) -> Any:
    """Binds a TCP socket and listens on it.

    Args:
        ip: IP number of this machine, or one that stands for all of them.
        port: 0 lets the kernel choose.
        backlog_count: Connections that may wait to be accepted.

    Returns:
        A gevent socket.

    Raises:
        ListenError: The address is not of this machine, the port is taken,
            or this user may not use it.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = gevent_socket.socket(family)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(backlog_count)
    except OSError as error:
        listener.close()
        raise errors.ListenError(f"{ip}:{port}: {error.strerror}") from error
    return listener

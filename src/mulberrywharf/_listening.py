"""Creation of the listening sockets of this process."""

import socket
from typing import Any

from gevent import socket as gevent_socket

from mulberrywharf import errors


def listening_socket(ip: str, port: int, *, backlog_count: int) -> Any:
    """Creates a TCP socket that listens on an address.

    Args:
        ip: IP address of this machine, or the wildcard address.
        port: TCP port; with 0, the kernel chooses one.
        backlog_count: Maximum number of connections not yet accepted.

    Returns:
        A gevent socket.

    Raises:
        ListenError: The address does not belong to this machine, the port is
            in use, or the user may not use it.
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

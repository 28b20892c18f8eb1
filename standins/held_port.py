"""A TCP port that stays with its holder while nobody listens on it.

The kernel may give a port whose listener was closed to any process at once,
for a listener or for a connection of its own.
"""

from typing import Any

from gevent import socket


class HeldPort:
    """A TCP port on which only listeners of its holder are opened.

    Attributes:
        port: Its number.
    """

    def __init__(self, ip: str, port: int = 0):
        """Takes a port.

        Args:
            ip: Local address.
            port: Its number, 0 for any that is free.
        """
        self._ip = ip
        self.port = port
        self._place: Any = None
        self.take()

    def take(self) -> None:
        """Takes the port, if it was given back."""
        if self._place is not None:
            return
        place = socket.socket()
        # Listeners that are opened on the port set the option, too.
        place.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            place.bind((self._ip, self.port))
        except OSError:
            place.close()
            raise
        self.port = place.getsockname()[1]
        self._place = place

    def close(self) -> None:
        """Gives the port back."""
        if self._place is not None:
            self._place.close()
            self._place = None

"""Accepts connections from other VMs, with one task for each connection."""

import os
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
import gevent.pool
import gevent.server
from loguru import logger
from result import Err

from mulberrywharf import _listening, settings
from mulberrywharf.nodes import codec, frames, link, messages

Handler = Callable[[str, Any], messages.Message | None]
"""Takes the sender's vm_id and the message; returns the reply, if any."""

IDLE_TIMEOUT_S = 120.0
"""A connection on which nothing is received for this time is closed.

A VM that fails does not close its connections. Without the timeout, these
connections, and those of clients that never send an authenticated frame, would
stay open until the connection limit is reached and no router can connect any
more. A live peer reconnects at once.
"""

_WRITE_TIMEOUT_S = 10.0
_CONNECTION_LIMIT_COUNT = 2048
_BACKLOG_COUNT = 256
_HANDSHAKE_TIMEOUT_S = 5.0
_WAITING_HANDLERS_LIMIT_COUNT = 4096


class _Registration(NamedTuple):
    handler: Handler
    may_wait: bool


class NodeServer:
    """Passes each authenticated message to the handler of its type.

    Attributes:
        traffic: Counters of the bytes and frames of all connections.
        port: The TCP port; the actual one after ``start``.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        vm_id: str,
        shared_key: bytes,
        *,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ):
        self.traffic = frames.Traffic()
        self.port = port
        self._ip = ip
        self._vm_id = vm_id
        self._shared_key = shared_key
        self._idle_timeout_s = idle_timeout_s
        self._handlers: dict[type, _Registration] = {}
        self._handler_pool = gevent.pool.Pool(_WAITING_HANDLERS_LIMIT_COUNT)
        self._connections: set[frames.FrameSocket] = set()
        self._server: gevent.server.StreamServer | None = None

    @classmethod
    def from_config(cls, config: settings.Settings) -> "NodeServer":
        """Creates the server from the settings."""
        nodes = config["nodes"]
        return cls(
            nodes["listen"]["ip"],
            nodes["listen"]["port"],
            config["vm_id"],
            bytes.fromhex(nodes["key_hex"]),
        )

    def register(
        self, message_type: type, handler: Handler, *, may_wait: bool = False
    ) -> None:
        """Sets the handler of a type of message.

        Args:
            message_type: One of the message classes.
            handler: Called for each message of this type.
            may_wait: Whether the handler may block. Such a handler runs in a
                greenlet of its own, so that the next message of the
                connection can be read meanwhile.
        """
        self._handlers[message_type] = _Registration(handler, may_wait)

    def start(self) -> None:
        """Binds the port and starts accepting connections.

        Raises:
            ListenError: The server cannot listen on the port.
        """
        listener = _listening.listening_socket(
            self._ip, self.port, backlog_count=_BACKLOG_COUNT
        )
        self.port = int(listener.getsockname()[1])
        self._server = gevent.server.StreamServer(
            listener,
            self._serve,
            spawn=gevent.pool.Pool(_CONNECTION_LIMIT_COUNT),
        )
        self._server.start()

    def close(self) -> None:
        """Stops accepting and closes every connection."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None
        for connection in list(self._connections):
            connection.close()
        self._handler_pool.kill()

    def _serve(self, sock: Any, peer: Any) -> None:
        try:
            link.configure_socket(sock)
            sock.settimeout(_HANDSHAKE_TIMEOUT_S)
            connection = frames.handshake_as_server(
                sock,
                self._shared_key,
                os.urandom(codec.NONCE_BYTES),
                self.traffic,
            )
            sock.settimeout(self._idle_timeout_s)
        except OSError:
            sock.close()
            return
        self._connections.add(connection)
        try:
            self._read_messages(connection, peer)
        finally:
            self._connections.discard(connection)
            connection.close()

    def _read_messages(self, connection: frames.FrameSocket, peer: Any) -> None:
        sender_vm_id = ""
        while True:
            received = connection.read()
            if isinstance(received, Err):
                if received.err_value.code == "bad-frame":
                    logger.warning(
                        "refused a frame of {}: {}", peer, received.err_value
                    )
                return
            envelope = received.ok_value
            if sender_vm_id and envelope.sender_vm_id != sender_vm_id:
                logger.warning(
                    "{} sent frames with different vm_ids; closing it", peer
                )
                return
            sender_vm_id = envelope.sender_vm_id
            self._dispatch(connection, envelope)

    def _dispatch(
        self, connection: frames.FrameSocket, envelope: messages.Envelope
    ) -> None:
        registration = self._handlers.get(type(envelope.message))
        if registration is None:
            return
        if registration.may_wait:
            self._handler_pool.spawn(
                self._handle, connection, envelope, registration.handler
            )
        else:
            self._handle(connection, envelope, registration.handler)

    def _handle(
        self,
        connection: frames.FrameSocket,
        envelope: messages.Envelope,
        handler: Handler,
    ) -> None:
        reply = handler(envelope.sender_vm_id, envelope.message)
        if reply is not None and envelope.correlation:
            connection.write(
                messages.Envelope(self._vm_id, envelope.correlation, reply),
                _WRITE_TIMEOUT_S,
            )

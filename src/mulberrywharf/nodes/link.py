"""An outgoing connection to another entry VM, kept open by a task.

The task connects, reads replies until the connection ends, and connects again
after a delay with jitter. Callers write from their own greenlets and wait for
the reply with the correlation number of their message.
"""

import os
import random
import socket
from typing import Any

import gevent
import gevent.event
from gevent import socket as gevent_socket
from result import Err, Ok, Result

from mulberrywharf import errors, fleet, supervised_task
from mulberrywharf.nodes import codec, frames, messages

CONNECT_TIMEOUT_S = 2.0
_CONNECT_WAIT_S = 1.0
_WRITE_TIMEOUT_S = 10.0
_SEND_TIMEOUT_S = 0.2
_RECONNECT_DELAY_S = 0.1
_MAX_RECONNECT_DELAY_S = 5.0


class Link:
    """Connection to one router that reconnects until it is closed."""

    def __init__(
        self,
        address: fleet.Address,
        own_vm_id: str,
        shared_key: bytes,
        traffic: frames.Traffic,
    ):
        self.address = address
        self._own_vm_id = own_vm_id
        self._shared_key = shared_key
        self._traffic = traffic
        self._task: gevent.Greenlet | None = None
        self._frames: frames.FrameSocket | None = None
        self._connected = gevent.event.Event()
        self._pending: dict[int, gevent.event.AsyncResult] = {}
        self._last_correlation = 0

    @property
    def connected(self) -> bool:
        """Whether the connection is established."""
        return self._connected.is_set()

    @property
    def is_busy(self) -> bool:
        """Whether any call waits for a reply."""
        return bool(self._pending)

    def start(self) -> None:
        """Starts the task that keeps the connection open."""
        self._task = supervised_task.spawn("link", self._run)

    def close(self) -> None:
        """Closes the connection and fails the pending calls."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._disconnect()

    def send(self, message: messages.Message) -> Result[None, errors.NodeError]:
        """Sends a message that has no reply.

        Does not wait for a connection: without one, the message is not sent.
        The write times out after a short time if the peer does not read.
        """
        envelope = messages.Envelope(self._own_vm_id, 0, message)
        return self._write(envelope, _SEND_TIMEOUT_S)

    def call(
        self, message: messages.Message, timeout_s: float
    ) -> Result[messages.Message, errors.NodeError]:
        """Sends a message and waits for its reply.

        Args:
            message: The message.
            timeout_s: Timeout for connecting and the reply together.

        Returns:
            The reply. After an error, the peer may still have handled the
            message.
        """
        self._last_correlation += 1
        correlation = self._last_correlation
        reply = gevent.event.AsyncResult()
        self._pending[correlation] = reply
        try:
            with gevent.Timeout(timeout_s, False):
                self._connected.wait(_CONNECT_WAIT_S)
                written = self._write(
                    messages.Envelope(self._own_vm_id, correlation, message),
                    _WRITE_TIMEOUT_S,
                )
                if isinstance(written, Err):
                    return written
                received: Result[messages.Message, errors.NodeError] = (
                    reply.get()
                )
                return received
        finally:
            self._pending.pop(correlation, None)
        return Err(
            errors.NodeUnreachableError(
                f"{self.address} sent no reply within {timeout_s} s"
            )
        )

    def _write(
        self, envelope: messages.Envelope, timeout_s: float
    ) -> Result[None, errors.NodeError]:
        if self._frames is None:
            return Err(
                errors.NodeUnreachableError(f"no connection to {self.address}")
            )
        return self._frames.write(envelope, timeout_s)

    def _run(self) -> None:
        delay_s = _RECONNECT_DELAY_S
        while True:
            try:
                self._frames = self._connect()
                self._connected.set()
                if self._read_replies():
                    delay_s = _RECONNECT_DELAY_S
            except OSError:
                pass
            self._disconnect()
            # Without jitter, all neighbours of a restarted router would
            # reconnect at the same time and delay its first heartbeats.
            gevent.sleep(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(2 * delay_s, _MAX_RECONNECT_DELAY_S)

    def _connect(self) -> frames.FrameSocket:
        sock: Any = gevent_socket.create_connection(
            (self.address.ip, self.address.port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            configure_socket(sock)
            connected = frames.handshake_as_client(
                sock,
                self._shared_key,
                os.urandom(codec.NONCE_BYTES),
                self._traffic,
            )
        except OSError:
            sock.close()
            raise
        sock.settimeout(None)
        return connected

    def _read_replies(self) -> bool:
        """Reads until the connection ends.

        Returns:
            Whether any frame was received.
        """
        connection = self._frames
        assert connection is not None
        any_received = False
        while True:
            envelope = connection.read()
            if isinstance(envelope, Err):
                return any_received
            any_received = True
            reply = self._pending.get(envelope.ok_value.correlation)
            if reply is not None:
                reply.set(Ok(envelope.ok_value.message))

    def _disconnect(self) -> None:
        self._connected.clear()
        if self._frames is not None:
            self._frames.close()
            self._frames = None
        lost = errors.NodeUnreachableError(
            f"lost the connection to {self.address}"
        )
        for reply in list(self._pending.values()):
            reply.set(Err(lost))


def configure_socket(sock: Any) -> None:
    """Sets the socket options of every connection between entry VMs.

    Without TCP_NODELAY, a small frame waits about 40 ms for the peer's
    delayed ACK. Without TCP_USER_TIMEOUT, a connection across a network
    partition accepts heartbeats for many minutes and delivers them when the
    partition ends.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(_WRITE_TIMEOUT_S * 1000),
    )

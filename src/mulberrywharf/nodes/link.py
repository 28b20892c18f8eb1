"""The outgoing connection to one other entry VM, one task for each.

The task connects, reads answers until the connection ends, and connects again
after a jittered delay. Callers write from their own greenlets and wait for the
answer that carries their correlation number.
"""

import os
import random
import socket
from typing import Any

import gevent
import gevent.event
from gevent import socket as gevent_socket
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.nodes import codec, frames, messages

_CONNECT_TIMEOUT_S = 2.0
_CONNECT_WAIT_S = 1.0
_WRITE_TIMEOUT_S = 10.0
_SEND_TIMEOUT_S = 0.2
_FIRST_DELAY_S = 0.1
_LONGEST_DELAY_S = 5.0


class Link:
    """Talks to one node; reconnects until it is closed."""

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
        """Whether a connection stands at this instant."""
        return self._connected.is_set()

    @property
    def is_busy(self) -> bool:
        """Whether somebody waits for an answer."""
        return bool(self._pending)

    def start(self) -> None:
        """Starts the task that keeps the connection."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Ends the connection and fails whoever waits for an answer."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._drop()

    def send(self, message: messages.Message) -> Result[None, errors.NodeError]:
        """Sends a message that has no answer.

        It is not sent if there is no connection now, and hardly waits for a
        peer that does not read.
        """
        envelope = messages.Envelope(self._own_vm_id, 0, message)
        return self._write(envelope, _SEND_TIMEOUT_S)

    def call(
        self, message: messages.Message, timeout_s: float
    ) -> Result[messages.Message, errors.NodeError]:
        """Sends a question and waits for its answer.

        Args:
            message: The question.
            timeout_s: For connecting and the answer together.

        Returns:
            The answer. After an error the question may have been handled.
        """
        self._last_correlation += 1
        correlation = self._last_correlation
        answer = gevent.event.AsyncResult()
        self._pending[correlation] = answer
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
                    answer.get()
                )
                return received
        finally:
            self._pending.pop(correlation, None)
        return Err(
            errors.NodeUnreachableError(
                f"{self.address} gave no answer within {timeout_s} s"
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
        delay_s = _FIRST_DELAY_S
        while True:
            try:
                self._frames = self._connect()
                self._connected.set()
                if self._read_answers():
                    delay_s = _FIRST_DELAY_S
            except OSError:
                pass
            self._drop()
            # Without jitter all neighbours of a restarted node would come
            # back in the same instant and delay its first heartbeats.
            gevent.sleep(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(2 * delay_s, _LONGEST_DELAY_S)

    def _connect(self) -> frames.FrameSocket:
        sock: Any = gevent_socket.create_connection(
            (self.address.ip, self.address.port), timeout=_CONNECT_TIMEOUT_S
        )
        try:
            configure_socket(sock)
            connected = frames.greet_as_client(
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

    def _read_answers(self) -> bool:
        """Reads until the connection ends; returns whether any frame came."""
        connection = self._frames
        assert connection is not None
        any_came = False
        while True:
            envelope = connection.read()
            if isinstance(envelope, Err):
                return any_came
            any_came = True
            waiting = self._pending.get(envelope.ok_value.correlation)
            if waiting is not None:
                waiting.set(Ok(envelope.ok_value.message))

    def _drop(self) -> None:
        self._connected.clear()
        if self._frames is not None:
            self._frames.close()
            self._frames = None
        lost = errors.NodeUnreachableError(f"lost {self.address}")
        for waiting in list(self._pending.values()):
            waiting.set(Err(lost))


def configure_socket(sock: Any) -> None:
    """Sets the options that every connection between nodes carries.

    Without TCP_NODELAY a small frame waits for the other side's delayed ACK,
    some 40 ms. Without TCP_USER_TIMEOUT a link into a partition keeps
    accepting heartbeats for many minutes and delivers them when it heals.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(_WRITE_TIMEOUT_S * 1000),
    )

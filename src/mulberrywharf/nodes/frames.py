"""Reads and writes frames on one connected socket."""

import contextlib
import socket
from typing import Any, NoReturn

import gevent
from gevent.lock import BoundedSemaphore
from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.nodes import codec, messages

_PREAMBLE = b"MWN1"
HANDSHAKE_BYTES = len(_PREAMBLE) + codec.NONCE_BYTES


class Traffic:
    """Counts the bytes and frames of a process for metrics and benches."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_count = 0
        self.received_count = 0
        self.refused_count = 0


class FrameSocket:
    """One authenticated connection; greenlets may share its writing side."""

    def __init__(
        self, sock: Any, send_key: bytes, receive_key: bytes, traffic: Traffic
    ):
        self._sock = sock
        self._sealer = codec.FrameSealer(send_key)
        self._opener = codec.FrameOpener(receive_key)
        self._traffic = traffic
        self._write_lock = BoundedSemaphore(1)

    def write(
        self, envelope: messages.Envelope, timeout_s: float
    ) -> Result[None, errors.NodeError]:
        """Sends one message, whole frames in order of their sequence.

        A peer that is paused stops reading; once the buffers are full a
        write would wait for as long as the pause, and with it the task that
        tells all the others. After ``timeout_s`` the connection is closed.
        """
        try:
            with gevent.Timeout(timeout_s, TimeoutError()), self._write_lock:
                return self._write_frame(envelope)
        except OSError as error:
            # Half a frame may be out; nothing more may follow it.
            self.close()
            return Err(errors.NodeUnreachableError(f"no write: {error!r}"))

    def _write_frame(
        self, envelope: messages.Envelope
    ) -> Result[None, errors.NodeError]:
        sealed = self._sealer.seal(envelope)
        if isinstance(sealed, Err):
            return sealed
        self._sock.sendall(sealed.ok_value)
        self._traffic.sent_bytes += len(sealed.ok_value)
        self._traffic.sent_count += 1
        return Ok(None)

    def read(self) -> Result[messages.Envelope, errors.NodeError]:
        """Waits for one message; any error ends the connection's use."""
        try:
            header = _receive_exactly(self._sock, codec.HEADER.size)
            length = self._opener.payload_bytes(header)
            if isinstance(length, Err):
                self._traffic.refused_count += 1
                return length
            payload = _receive_exactly(self._sock, length.ok_value)
        except OSError as error:
            return Err(errors.NodeUnreachableError(str(error)))
        self._traffic.received_bytes += len(header) + len(payload)
        self._traffic.received_count += 1
        opened = self._opener.open(header, payload)
        if isinstance(opened, Err):
            self._traffic.refused_count += 1
        return opened

    def close(self) -> None:
        """Closes the socket and wakes whoever reads from it."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def greet_as_client(
    sock: Any, shared_key: bytes, nonce: bytes, traffic: Traffic
) -> FrameSocket:
    """Exchanges nonces on a new outgoing connection.

    Raises:
        OSError: The peer closed, timed out or speaks something else.
    """
    sock.sendall(_PREAMBLE + nonce)
    server_nonce = _read_greeting(sock)
    keys = codec.session_keys(shared_key, nonce, server_nonce)
    return FrameSocket(
        sock, keys.client_to_server, keys.server_to_client, traffic
    )


def greet_as_server(
    sock: Any, shared_key: bytes, nonce: bytes, traffic: Traffic
) -> FrameSocket:
    """Exchanges nonces on an accepted connection.

    Raises:
        OSError: The peer closed, timed out or speaks something else.
    """
    client_nonce = _read_greeting(sock)
    sock.sendall(_PREAMBLE + nonce)
    keys = codec.session_keys(shared_key, client_nonce, nonce)
    return FrameSocket(
        sock, keys.server_to_client, keys.client_to_server, traffic
    )


def _read_greeting(sock: Any) -> bytes:
    greeting = _receive_exactly(sock, HANDSHAKE_BYTES)
    if not greeting.startswith(_PREAMBLE):
        _refuse("the peer speaks another protocol")
    return greeting[len(_PREAMBLE) :]


def _receive_exactly(sock: Any, count: int) -> bytes:
    chunks: list[bytes] = []
    missing = count
    while missing:
        chunk = sock.recv(missing)
        if not chunk:
            _refuse("the peer closed the connection")
        chunks.append(chunk)
        missing -= len(chunk)
    return b"".join(chunks)


def _refuse(reason: str) -> NoReturn:
    raise ConnectionError(reason)

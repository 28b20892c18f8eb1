"""Reads and writes authenticated frames on a connected socket."""

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
    """Counters of bytes and frames, for metrics and benchmarks."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_count = 0
        self.received_count = 0
        self.refused_count = 0


class FrameSocket:
    """An authenticated connection; several greenlets may write to it."""

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
        """Sends one message; frames are written whole and in sequence order.

        A paused peer does not read. Once the buffers are full, a write without
        a timeout would block for as long as the pause, and so would the task
        that sends the heartbeats to all other peers. The connection is closed
        after ``timeout_s``.
        """
        try:
            with gevent.Timeout(timeout_s, TimeoutError()), self._write_lock:
                return self._write_frame(envelope)
        except OSError as error:
            # Part of a frame may have been sent, so no other may follow.
            self.close()
            return Err(errors.NodeUnreachableError(f"write failed: {error!r}"))

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
        """Waits for one message; after an error the connection is unusable."""
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
        """Closes the socket, which also ends a blocked ``read``."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def handshake_as_client(
    sock: Any, shared_key: bytes, nonce: bytes, traffic: Traffic
) -> FrameSocket:
    """Exchanges nonces on a new outgoing connection.

    Raises:
        OSError: The peer closed the connection, timed out or uses another
            protocol.
    """
    sock.sendall(_PREAMBLE + nonce)
    server_nonce = _read_handshake(sock)
    keys = codec.session_keys(shared_key, nonce, server_nonce)
    return FrameSocket(
        sock, keys.client_to_server, keys.server_to_client, traffic
    )


def handshake_as_server(
    sock: Any, shared_key: bytes, nonce: bytes, traffic: Traffic
) -> FrameSocket:
    """Exchanges nonces on an accepted connection.

    Raises:
        OSError: The peer closed the connection, timed out or uses another
            protocol.
    """
    client_nonce = _read_handshake(sock)
    sock.sendall(_PREAMBLE + nonce)
    keys = codec.session_keys(shared_key, client_nonce, nonce)
    return FrameSocket(
        sock, keys.server_to_client, keys.client_to_server, traffic
    )


def _read_handshake(sock: Any) -> bytes:
    handshake = _receive_exactly(sock, HANDSHAKE_BYTES)
    if not handshake.startswith(_PREAMBLE):
        _raise_connection_error("the peer uses another protocol")
    return handshake[len(_PREAMBLE) :]


def _receive_exactly(sock: Any, count: int) -> bytes:
    chunks: list[bytes] = []
    missing = count
    while missing:
        chunk = sock.recv(missing)
        if not chunk:
            _raise_connection_error("the peer closed the connection")
        chunks.append(chunk)
        missing -= len(chunk)
    return b"".join(chunks)


def _raise_connection_error(reason: str) -> NoReturn:
    raise ConnectionError(reason)

"""Encodes and decodes messages: Cap'n Proto in authenticated frames.

A payload is a flat Cap'n Proto message, compressed by zlib (deflate).

A frame is ``length:uint32 sequence:uint64 mac:16 bytes payload``, big endian.
The MAC is keyed BLAKE2b over the sequence number and the payload. Its key is
derived for each connection and direction from the shared key and a nonce of
each side, so a frame recorded on one connection cannot be replayed on another.
The increasing sequence number prevents replay on the same connection.
"""

import hashlib
import hmac
import pathlib
import struct
import zlib
from typing import NamedTuple

import capnp
from result import Err, Ok, Result

from mulberrywharf import errors, main_stack, wire_numbers, wire_text
from mulberrywharf.nodes import messages, wire_forms

FRAME_LIMIT_BYTES = 2 * 1024 * 1024
NONCE_BYTES = 16
MAC_BYTES = 16
HEADER = struct.Struct(f">IQ{MAC_BYTES}s")

_SEQUENCE = struct.Struct(">Q")
_DEFLATE_LEVEL = 1
# A small compressed payload can inflate to gigabytes and exhaust the memory.
_INFLATED_LIMIT_BYTES = FRAME_LIMIT_BYTES
# A message can contain many pointers to the same bytes. The reader rejects a
# message whose traversal exceeds this many 8-byte words.
_TRAVERSAL_LIMIT_WORDS = 2 * FRAME_LIMIT_BYTES // 8
_NESTING_LIMIT = 8

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))


class SessionKeys(NamedTuple):
    """The keys of one connection.

    Attributes:
        client_to_server: Authenticates frames of the connecting side.
        server_to_client: Authenticates frames of the accepting side.
    """

    client_to_server: bytes
    server_to_client: bytes


def session_keys(
    shared_key: bytes, client_nonce: bytes, server_nonce: bytes
) -> SessionKeys:
    """Derives the keys of one connection from both sides' nonces."""

    def derive(direction: bytes) -> bytes:
        seed = direction + client_nonce + server_nonce
        return hashlib.blake2b(seed, key=shared_key, digest_size=32).digest()

    return SessionKeys(derive(b"client"), derive(b"server"))


class FrameSealer:
    """Creates the authenticated frames of one direction of a connection."""

    def __init__(self, key: bytes):
        self._key = key
        self._sequence = 0

    def seal(
        self, envelope: messages.Envelope
    ) -> Result[bytes, errors.BadFrameError]:
        """Returns the next frame, or an error if the message is too long."""
        flat = _serialize(envelope)
        # The limit applies before compression, because the receiver applies it
        # after decompression: a message that is only small enough when
        # compressed would be rejected and sent again forever.
        if len(flat) > FRAME_LIMIT_BYTES:
            return Err(
                errors.BadFrameError(
                    f"a message of {len(flat)} bytes exceeds the size limit"
                )
            )
        payload = zlib.compress(flat, _DEFLATE_LEVEL)
        self._sequence += 1
        mac = _mac(self._key, self._sequence, payload)
        return Ok(HEADER.pack(len(payload), self._sequence, mac) + payload)


class FrameOpener:
    """Verifies the frames of one direction of a connection."""

    def __init__(self, key: bytes):
        self._key = key
        self._last_sequence = 0

    def payload_bytes(self, header: bytes) -> Result[int, errors.BadFrameError]:
        """Returns the payload's length, checked before the payload is read."""
        if len(header) != HEADER.size:
            return Err(errors.BadFrameError("a frame header is truncated"))
        length_bytes, _, _ = HEADER.unpack(header)
        if length_bytes > FRAME_LIMIT_BYTES:
            return Err(
                errors.BadFrameError(
                    f"a frame of {length_bytes} bytes exceeds the size limit"
                )
            )
        return Ok(length_bytes)

    def open(
        self, header: bytes, payload: bytes
    ) -> Result[messages.Envelope, errors.BadFrameError]:
        """Returns the envelope of a frame that is authentic and no replay."""
        length = self.payload_bytes(header)
        if isinstance(length, Err):
            return length
        _, sequence, mac = HEADER.unpack(header)
        expected = _mac(self._key, sequence, payload)
        if not hmac.compare_digest(mac, expected):
            return Err(errors.BadFrameError("a frame fails authentication"))
        # A replayed frame has a valid MAC; only its sequence number shows that
        # it was received before.
        if sequence <= self._last_sequence:
            return Err(errors.BadFrameError("a frame was replayed"))
        self._last_sequence = sequence
        return decode(payload)


def encode(envelope: messages.Envelope) -> bytes:
    """Returns the payload of an envelope."""
    return zlib.compress(_serialize(envelope), _DEFLATE_LEVEL)


def _serialize(envelope: messages.Envelope) -> bytes:
    builder = _SCHEMA.Envelope.new_message()
    builder.senderVmId = wire_text.encodable(envelope.sender_vm_id)
    builder.correlation = wire_numbers.saturated(
        envelope.correlation, wire_numbers.UINT64_LIMIT
    )
    wire_forms.write(envelope.message, builder)
    return bytes(builder.to_bytes())


def decode(payload: bytes) -> Result[messages.Envelope, errors.BadFrameError]:
    """Decodes a payload; any malformed payload gives a BadFrameError."""
    return main_stack.call(lambda: _decode(payload))


def _decode(payload: bytes) -> Result[messages.Envelope, errors.BadFrameError]:
    try:
        return Ok(_read(_inflate(payload)))
    except (
        capnp.KjException,
        errors.BadFrameError,
        KeyError,
        UnicodeDecodeError,
        ValueError,
        MemoryError,
        zlib.error,
    ) as error:
        return Err(errors.BadFrameError(f"a payload is malformed: {error}"))


def _inflate(payload: bytes) -> bytes:
    inflater = zlib.decompressobj()
    flat = inflater.decompress(payload, _INFLATED_LIMIT_BYTES)
    if not inflater.eof:
        raise errors.BadFrameError("a payload is truncated or too large")
    return flat


def _read(flat: bytes) -> messages.Envelope:
    # ``from_bytes_packed`` must not be used: if the packed bytes are truncated,
    # its reader throws from a C++ destructor, which Python cannot catch, and
    # the process aborts with "Premature EOF". The length of a flat message is
    # checked before it is read.
    with _SCHEMA.Envelope.from_bytes(
        flat,
        traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        nesting_limit=_NESTING_LIMIT,
    ) as reader:
        return messages.Envelope(
            reader.senderVmId, reader.correlation, wire_forms.read(reader)
        )


def _mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    mac = hashlib.blake2b(
        _SEQUENCE.pack(sequence), key=key, digest_size=MAC_BYTES
    )
    mac.update(payload)
    return mac.digest()

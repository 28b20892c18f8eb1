"""Encodes and decodes messages on the software versions of streams."""

import struct
from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, wire_numbers
from mulberrywharf.policy import stream_keepers, stream_version

_NOTE = struct.Struct(">QQI")
_QUESTION = struct.Struct(">QI")
_REPLY = struct.Struct(">QIB")
_KEPT = struct.Struct(">QI")
_VERSION = struct.Struct(">Q")

_NOTE_KIND = b"\x01"
_QUESTION_KIND = b"\x02"
_REPLY_KIND = b"\x03"
_IS_KEPT = 1
_IS_COMPLETE = 2


class StreamNote(NamedTuple):
    """Tells that a stream began at a version, or goes on at it.

    Attributes:
        stream_key: Key of the stream, see ``stream_keepers.key_of``.
        kept: What is to be kept of it.
    """

    stream_key: int
    kept: stream_keepers.KeptStream


class StreamQuestion(NamedTuple):
    """Asks at which version a stream began.

    Attributes:
        stream_key: Key of the stream, or of a question for versions alone.
        service_key: Hash of the service whose versions are asked for, too, see
            ``notice_codec.hash_name``; or ``NO_SERVICE_KEY``.
    """

    stream_key: int
    service_key: int


class StreamReply(NamedTuple):
    """The reply to a question.

    Attributes:
        stream_key: As in the question.
        service_key: As in the question.
        kept: What is known of the stream, None if nothing is.
        recent: The versions that may have begun a stream of the service, if the
            replying gateway knows all of them; else None.
    """

    stream_key: int
    service_key: int
    kept: stream_keepers.KeptStream | None
    recent: tuple[stream_version.VersionKey, ...] | None


class StreamNotes(NamedTuple):
    """The notes of one message."""

    notes: tuple[StreamNote, ...]


Message = StreamNotes | StreamQuestion | StreamReply


NO_SERVICE_KEY = 0
"""In a question: no versions are asked for."""

NOTES_LIMIT_COUNT = 60
"""Most notes in one message."""


def encode_notes(notes: Iterable[StreamNote]) -> bytes:
    """Encodes notes as the body of a message of topic ``s``."""
    return _NOTE_KIND + b"".join(
        _NOTE.pack(
            _key(note.stream_key),
            _key(note.kept.version_key),
            _short_key(note.kept.scope),
        )
        for note in notes
    )


def encode_question(question: StreamQuestion) -> bytes:
    """Encodes a question as the body of a message of topic ``s``."""
    return _QUESTION_KIND + _QUESTION.pack(
        _key(question.stream_key), _short_key(question.service_key)
    )


def encode_reply(reply: StreamReply) -> bytes:
    """Encodes a reply as the body of a message of topic ``s``."""
    flags = _IS_KEPT if reply.kept is not None else 0
    recent = reply.recent
    if recent is not None and len(recent) > stream_version.VERSIONS_LIMIT_COUNT:
        recent = None
    flags |= _IS_COMPLETE if recent is not None else 0
    body = _REPLY.pack(
        _key(reply.stream_key), _short_key(reply.service_key), flags
    )
    if reply.kept is not None:
        body += _KEPT.pack(
            _key(reply.kept.version_key), _short_key(reply.kept.scope)
        )
    versions = b"".join(
        _VERSION.pack(_key(version)) for version in recent or ()
    )
    return _REPLY_KIND + body + versions


def _key(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT64_LIMIT)


def _short_key(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT32_LIMIT)


def decode(body: bytes) -> Result[Message, errors.BadFrameError]:
    """Decodes the body of a message of topic ``s``."""
    kind, record = body[:1], body[1:]
    if kind == _NOTE_KIND and record and not len(record) % _NOTE.size:
        return Ok(
            StreamNotes(
                tuple(
                    StreamNote(key, stream_keepers.KeptStream(*kept))
                    for key, *kept in _NOTE.iter_unpack(record)
                )
            )
        )
    if kind == _QUESTION_KIND and len(record) == _QUESTION.size:
        return Ok(StreamQuestion(*_QUESTION.unpack(record)))
    if kind == _REPLY_KIND and len(record) >= _REPLY.size:
        return _decode_reply(record)
    return Err(_invalid(body))


def _decode_reply(record: bytes) -> Result[Message, errors.BadFrameError]:
    stream_key, service_key, flags = _REPLY.unpack(record[: _REPLY.size])
    rest = record[_REPLY.size :]
    kept = None
    if flags & _IS_KEPT:
        if len(rest) < _KEPT.size:
            return Err(_invalid(record))
        kept = stream_keepers.KeptStream(*_KEPT.unpack(rest[: _KEPT.size]))
        rest = rest[_KEPT.size :]
    count, odd = divmod(len(rest), _VERSION.size)
    if odd or count > stream_version.VERSIONS_LIMIT_COUNT:
        return Err(_invalid(record))
    recent = None
    if flags & _IS_COMPLETE:
        recent = tuple(key for (key,) in _VERSION.iter_unpack(rest))
    return Ok(StreamReply(stream_key, service_key, kept, recent))


def _invalid(body: bytes) -> errors.BadFrameError:
    return errors.BadFrameError(f"invalid stream message of {len(body)} bytes")

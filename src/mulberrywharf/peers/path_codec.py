"""Encodes and decodes questions about paths to services, and the replies."""

import ipaddress
import struct
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, fleet, wire_numbers, wire_records
from mulberrywharf.policy import helpers

_QUESTION = struct.Struct(">I")
_REPLY = struct.Struct(">I?H")
_ADDRESS = struct.Struct(">4sH")

_QUESTION_KIND = b"\x01"
_REPLY_KIND = b"\x02"


class PathQuestion(NamedTuple):
    """Asks a gateway whether it can serve requests for a service.

    Attributes:
        service_key: Hash of the service's name, see ``notice_codec.hash_name``.
    """

    service_key: int


class PathReply(NamedTuple):
    """The reply to a question.

    Attributes:
        service_key: As in the question.
        report: Whether the gateway can serve requests.
    """

    service_key: int
    report: helpers.Report


def encode_question(question: PathQuestion) -> bytes:
    """Encodes a question as the body of a message of topic ``p``."""
    return _QUESTION_KIND + _QUESTION.pack(_key(question.service_key))


def encode_reply(reply: PathReply) -> bytes:
    """Encodes a reply as the body of a message of topic ``p``."""
    report = reply.report
    head = _REPLY.pack(
        _key(reply.service_key),
        report.can_serve,
        wire_numbers.saturated(report.load, wire_numbers.UINT16_LIMIT),
    )
    named = [
        record
        for one in report.helpers
        if (record := _encode_address(one)) is not None
    ]
    return _REPLY_KIND + head + b"".join(named[: helpers.NAMED_LIMIT_COUNT])


def _key(service_key: int) -> int:
    return wire_numbers.saturated(service_key, wire_numbers.UINT32_LIMIT)


def _encode_address(address: fleet.Address) -> bytes | None:
    try:
        packed = ipaddress.IPv4Address(address.ip).packed
    except ValueError:
        wire_records.note_left_out("helper", address)
        return None
    port = wire_numbers.saturated(address.port, wire_numbers.UINT16_LIMIT)
    return _ADDRESS.pack(packed, port)


def decode(
    body: bytes,
) -> Result[PathQuestion | PathReply, errors.BadFrameError]:
    """Decodes the body of a message of topic ``p``."""
    kind, record = body[:1], body[1:]
    if kind == _QUESTION_KIND and len(record) == _QUESTION.size:
        return Ok(PathQuestion(*_QUESTION.unpack(record)))
    named = record[_REPLY.size :]
    if (
        kind != _REPLY_KIND
        or len(record) < _REPLY.size
        or len(named) % _ADDRESS.size
        or len(named) > helpers.NAMED_LIMIT_COUNT * _ADDRESS.size
    ):
        return Err(
            errors.BadFrameError(f"invalid path message of {len(body)} bytes")
        )
    service_key, can_serve, load = _REPLY.unpack(record[: _REPLY.size])
    addresses = tuple(
        fleet.Address(str(ipaddress.IPv4Address(packed)), port)
        for packed, port in _ADDRESS.iter_unpack(named)
    )
    return Ok(
        PathReply(service_key, helpers.Report(can_serve, load, addresses))
    )

"""Encodes and decodes claims of repeats at other gateways, and the replies."""

import struct
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, wire_numbers

_CLAIM = struct.Struct(">BII")
_REPLY = struct.Struct(">BI?")
_CLAIM_KIND = 1
_REPLY_KIND = 2


class RepeatClaim(NamedTuple):
    """Asks a gateway to charge a repeat that the sender will send.

    Attributes:
        number: Repeated in the reply.
        service_key: Hash of the service's name, see ``notice_codec.hash_name``.
    """

    number: int
    service_key: int


class RepeatReply(NamedTuple):
    """The reply to a claim.

    Attributes:
        number: As in the claim.
        is_granted: Whether the repeat was charged.
    """

    number: int
    is_granted: bool


def encode_claim(claim: RepeatClaim) -> bytes:
    """Encodes a claim as the body of a message of topic ``r``."""
    return _CLAIM.pack(
        _CLAIM_KIND,
        *wire_numbers.saturated_all(claim, wire_numbers.UINT32_LIMIT),
    )


def encode_reply(reply: RepeatReply) -> bytes:
    """Encodes a reply as the body of a message of topic ``r``."""
    number = wire_numbers.saturated(reply.number, wire_numbers.UINT32_LIMIT)
    return _REPLY.pack(_REPLY_KIND, number, reply.is_granted)


def decode(
    body: bytes,
) -> Result[RepeatClaim | RepeatReply, errors.BadFrameError]:
    """Decodes the body of a message of topic ``r``."""
    if len(body) == _CLAIM.size and body[0] == _CLAIM_KIND:
        _, number, service_key = _CLAIM.unpack(body)
        return Ok(RepeatClaim(number, service_key))
    if len(body) == _REPLY.size and body[0] == _REPLY_KIND:
        _, number, is_granted = _REPLY.unpack(body)
        return Ok(RepeatReply(number, is_granted))
    return Err(
        errors.BadFrameError(f"invalid repeat message of {len(body)} bytes")
    )

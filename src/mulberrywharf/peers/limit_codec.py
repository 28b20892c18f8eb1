"""Encodes and decodes claims of requests to servers with a limit."""

import pathlib
from functools import singledispatch
from typing import Any, NamedTuple

import capnp
from result import Result

from mulberrywharf import errors, wire_messages, wire_numbers
from mulberrywharf.policy import limit_grants

_MS_PER_S = 1000.0

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("limit.capnp")))


class ClaimMessage(NamedTuple):
    """A claim on its way to a gateway that may grant it.

    Attributes:
        number: Number of the claim, repeated in the reply.
        claim: The claim. Times of its statement are by the receiver's clock.
    """

    number: int
    claim: limit_grants.Claim


class GrantMessage(NamedTuple):
    """The reply to a claim.

    Attributes:
        number: Number of the claim.
        grant: The decision. Times of its statement are by the receiver's clock.
    """

    number: int
    grant: limit_grants.Grant


LimitMessage = ClaimMessage | GrantMessage


def encode(message: LimitMessage, now_s: float) -> bytes:
    """Returns the body of the datagram that carries a message.

    Args:
        message: The message.
        now_s: Monotonic time, from which ages are counted.
    """
    wire = _SCHEMA.LimitMessage.new_message()
    _encode_into(message, wire, now_s)
    return bytes(wire.to_bytes_packed())


@singledispatch
def _encode_into(message: Any, wire: Any, now_s: float) -> None:
    raise TypeError(f"not a limit message: {message!r}")


@_encode_into.register
def _(message: ClaimMessage, wire: Any, now_s: float) -> None:
    claim = wire.init("claim")
    claim.number = wire_numbers.saturated(
        message.number, wire_numbers.UINT32_LIMIT
    )
    claim.server = wire_numbers.saturated(
        message.claim.server_key, wire_numbers.UINT32_LIMIT
    )
    claim.rank = wire_numbers.saturated(
        message.claim.rank, wire_numbers.UINT8_LIMIT
    )
    claim.settled = message.claim.is_settled
    claim.maxWaitMs = wire_numbers.milliseconds(
        message.claim.max_wait_s, wire_numbers.UINT16_LIMIT
    )
    _encode_statement(claim.init("statement"), message.claim.statement, now_s)


@_encode_into.register
def _(message: GrantMessage, wire: Any, now_s: float) -> None:
    grant = wire.init("grant")
    grant.number = wire_numbers.saturated(
        message.number, wire_numbers.UINT32_LIMIT
    )
    grant.granted = message.grant.is_granted
    grant.waitMs = wire_numbers.milliseconds(message.grant.wait_s)
    _encode_statement(grant.init("statement"), message.grant.statement, now_s)


def _encode_statement(
    wire: Any, statement: limit_grants.LimitStatement, now_s: float
) -> None:
    if statement.requests_per_s is not None:
        wire.hasLimit = True
        wire.perS = statement.requests_per_s
    wire.ageMs = wire_numbers.milliseconds(now_s - statement.stated_s)


def decode(
    body: bytes, now_s: float
) -> Result[LimitMessage, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Args:
        body: The bytes.
        now_s: Monotonic time, to which ages are added.

    Returns:
        The message, or an error if the bytes are not a valid message.
    """
    return wire_messages.decode(
        _SCHEMA.LimitMessage, body, lambda wire: _decode(wire, now_s)
    )


def _decode(wire: Any, now_s: float) -> LimitMessage:
    if str(wire.which()) == "claim":
        return _decode_claim(wire.claim, now_s)
    return _decode_grant(wire.grant, now_s)


def _decode_claim(wire: Any, now_s: float) -> ClaimMessage:
    return ClaimMessage(
        wire.number,
        limit_grants.Claim(
            wire.server,
            wire.rank,
            wire.settled,
            _decode_statement(wire.statement, now_s),
            wire.maxWaitMs / _MS_PER_S,
        ),
    )


def _decode_grant(wire: Any, now_s: float) -> GrantMessage:
    return GrantMessage(
        wire.number,
        limit_grants.Grant(
            wire.granted,
            wire.waitMs / _MS_PER_S,
            _decode_statement(wire.statement, now_s),
        ),
    )


def _decode_statement(wire: Any, now_s: float) -> limit_grants.LimitStatement:
    limit_per_s = float(wire.perS)
    # NaN and negative numbers fail the comparison.
    if wire.hasLimit and not 0 <= limit_per_s < float("inf"):
        raise ValueError(f"a limit of {limit_per_s} requests per second")
    return limit_grants.LimitStatement(
        limit_per_s if wire.hasLimit else None, now_s - wire.ageMs / _MS_PER_S
    )

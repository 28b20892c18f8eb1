"""Encodes and decodes messages about confirmed routes, with Cap'n Proto."""

import pathlib
from typing import Any, NamedTuple

import capnp
from result import Result

from mulberrywharf import errors, wire_messages, wire_numbers

_MS_PER_S = 1000.0
_HALF_MS_S = 0.0005

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("freshness.capnp")))


class Question(NamedTuple):
    """Asks how recently the routes were confirmed.

    Attributes:
        nonce: Identifies the question.
    """

    nonce: int


class Reply(NamedTuple):
    """The reply to a question.

    Attributes:
        nonce: Nonce of the question.
        version: Version of the routes in force at the replying gateway.
        age_s: Time since they were confirmed as the newest.
    """

    nonce: int
    version: int
    age_s: float


def encode(message: Question | Reply) -> bytes:
    """Encodes a message as the body of a datagram."""
    wire = _SCHEMA.FreshnessMessage.new_message()
    wire.nonce = wire_numbers.saturated(
        message.nonce, wire_numbers.UINT64_LIMIT
    )
    if isinstance(message, Question):
        wire.question = None
    else:
        reply = wire.init("reply")
        reply.version = wire_numbers.saturated(
            message.version, wire_numbers.UINT64_LIMIT
        )
        # Rounded up so that a confirmation never looks newer than it is.
        reply.ageMs = wire_numbers.milliseconds(message.age_s + _HALF_MS_S)
    return bytes(wire.to_bytes_packed())


def decode(body: bytes) -> Result[Question | Reply, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The message, or an error if the body is invalid.
    """
    return wire_messages.decode(_SCHEMA.FreshnessMessage, body, _decode)


def _decode(wire: Any) -> Question | Reply:
    if wire.which() == "question":
        return Question(wire.nonce)
    reply = wire.reply
    return Reply(wire.nonce, reply.version, reply.ageMs / _MS_PER_S)

"""Messages on engines' queues to datagrams and back, by Cap'n Proto."""

import pathlib
from functools import singledispatch
from typing import Any, Literal, NamedTuple

import capnp
from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.policy import part_caches

ENGINES_LIMIT_COUNT = 16
"""Engines in one question; a gateway keeps the queues of a few."""

PARTS_LIMIT_COUNT = 4
"""Parts of one prompt in one message, as many as notices tell."""

_UINT16_LIMIT = 0xFFFF
_MS_PER_S = 1000.0
_US_PER_S = 1e6

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("queue.capnp")))

WorkMatter = Literal["placed", "read", "withdrawn"]
"""What became of a prompt; ``withdrawn`` ones will not be read."""

_MATTERS: tuple[WorkMatter, ...] = ("placed", "read", "withdrawn")
"""In the order of their numbers in the schema."""


class Ask(NamedTuple):
    """How long would a prompt wait at these engines, and what do they hold?

    Attributes:
        number: Repeated in the answer.
        priority: Of the prompt, 0 is read first.
        engine_keys: See ``codec.key_of_server``.
        part_keys: Of the prompt's long shared parts, in order.
    """

    number: int
    priority: int
    engine_keys: tuple[int, ...]
    part_keys: tuple[int, ...] = ()


class EngineWait(NamedTuple):
    """How long a prompt would wait at one engine.

    Attributes:
        engine_key: See ``codec.key_of_server``.
        wait_s: Until the engine reads it.
        known_s: For how long all of the engine's work has been counted. What
            was placed before that is not in ``wait_s``.
        held_count: How many of the prompt's parts the engine holds, from the
            first one on.
    """

    engine_key: int
    wait_s: float
    known_s: float
    held_count: int = 0


class Waits(NamedTuple):
    """The answer to a question, with the engines that are known.

    Attributes:
        number: Of the question.
        waits: One of each engine.
    """

    number: int
    waits: tuple[EngineWait, ...]


class Work(NamedTuple):
    """What became of a prompt at an engine.

    Attributes:
        engine_key: See ``codec.key_of_server``.
        sender: Names the start of the process that placed it.
        number: The sender's for the prompt.
        matter: What became of it.
        priority: Of the prompt, 0 is read first.
        work_s: What reading it takes; of placed ones only.
        parts: Its long shared parts, in order; of placed ones only.
        own_tokens: Its other tokens; of placed ones only.
    """

    engine_key: int
    sender: int
    number: int
    matter: WorkMatter
    priority: int = 0
    work_s: float = 0.0
    parts: tuple[part_caches.HeldPart, ...] = ()
    own_tokens: int = 0


QueueMessage = Ask | Waits | Work


def encode(message: QueueMessage) -> bytes:
    """Returns a message as the bytes of a datagram."""
    wire = _SCHEMA.QueueMessage.new_message()
    _fill(message, wire)
    return bytes(wire.to_bytes_packed())


@singledispatch
def _fill(message: Any, wire: Any) -> None:
    raise TypeError(f"no message on queues: {message!r}")


@_fill.register
def _(message: Ask, wire: Any) -> None:
    ask = wire.init("ask")
    ask.number = message.number
    ask.priority = message.priority
    ask.engines = list(message.engine_keys[:ENGINES_LIMIT_COUNT])
    ask.parts = list(message.part_keys[:PARTS_LIMIT_COUNT])


@_fill.register
def _(message: Waits, wire: Any) -> None:
    answer = wire.init("waits")
    answer.number = message.number
    waits = answer.init("waits", len(message.waits))
    for told, wait in zip(waits, message.waits, strict=True):
        told.engine = wait.engine_key
        told.waitMs = _to_ms(wait.wait_s)
        told.knownMs = _to_ms(wait.known_s)
        told.heldCount = wait.held_count


@_fill.register
def _(message: Work, wire: Any) -> None:
    work = wire.init("work")
    work.engine = message.engine_key
    work.sender = message.sender
    work.number = message.number
    work.matter = message.matter
    work.priority = message.priority
    work.workUs = int(message.work_s * _US_PER_S)
    work.ownTokens = message.own_tokens
    parts = message.parts[:PARTS_LIMIT_COUNT]
    if not parts:
        # Without a list it takes no pointer.
        return
    for told, part in zip(work.init("parts", len(parts)), parts, strict=True):
        told.key = part.key
        told.tokens = part.tokens


def _to_ms(seconds: float) -> int:
    return max(0, min(int(seconds * _MS_PER_S), _UINT16_LIMIT))


def decode(datagram: bytes) -> Result[QueueMessage, errors.BadFrameError]:
    """Reads the bytes of a datagram.

    Returns:
        The message, or why it is none.
    """
    try:
        wire = _SCHEMA.QueueMessage.from_bytes_packed(datagram)
        kind = str(wire.which())
        if kind == "ask":
            return Ok(_decode_ask(wire.ask))
        if kind == "waits":
            return Ok(_decode_waits(wire.waits))
        return Ok(_decode_work(wire.work))
    except (capnp.KjException, ValueError) as error:
        return Err(errors.BadFrameError(f"no message on queues: {error}"))


def _decode_ask(wire: Any) -> Ask:
    return Ask(
        wire.number, wire.priority, tuple(wire.engines), tuple(wire.parts)
    )


def _decode_waits(wire: Any) -> Waits:
    return Waits(
        wire.number,
        tuple(
            EngineWait(
                told.engine,
                told.waitMs / _MS_PER_S,
                told.knownMs / _MS_PER_S,
                told.heldCount,
            )
            for told in wire.waits
        ),
    )


def _decode_work(wire: Any) -> Work:
    # By its number: the library raises on one that the schema doesn't name.
    number = wire.matter.raw
    if number >= len(_MATTERS):
        raise ValueError(f"unknown matter {number}")
    return Work(
        wire.engine,
        wire.sender,
        wire.number,
        _MATTERS[number],
        wire.priority,
        wire.workUs / _US_PER_S,
        tuple(
            part_caches.HeldPart(part.key, part.tokens) for part in wire.parts
        ),
        wire.ownTokens,
    )

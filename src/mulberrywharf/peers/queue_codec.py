"""Encodes and decodes messages about engines' queues with Cap'n Proto."""

import math
import pathlib
from functools import singledispatch
from typing import Any, Literal, NamedTuple

import capnp
from result import Result

from mulberrywharf import errors, wire_messages, wire_numbers
from mulberrywharf.policy import part_caches

ENGINES_LIMIT_COUNT = 16
"""Maximum number of engines in one question; a gateway owns a few queues."""

PARTS_LIMIT_COUNT = 4
"""Maximum number of a prompt's long shared parts in one message, the same as in
notices."""

_PERCENT = 100.0
_MS_PER_S = 1000.0
_US_PER_S = 1e6

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("queue.capnp")))

PromptEvent = Literal["placed", "read", "withdrawn"]
"""State change of a prompt: it was sent to the engine (``placed``), its prefill
was completed (``read``) or will not be completed (``withdrawn``)."""

_EVENTS: tuple[PromptEvent, ...] = ("placed", "read", "withdrawn")
"""Ordered by their numbers in the schema."""


class WaitQuery(NamedTuple):
    """Asks how long a prompt would wait at engines and which parts they hold.

    Attributes:
        number: Number of the question, repeated in the reply.
        priority: Priority of the prompt; 0 is the most urgent.
        engine_keys: Keys of the engines, see
            ``notice_codec.hash_server_start``.
        part_keys: Keys of the prompt's long shared parts, in order.
    """

    number: int
    priority: int
    engine_keys: tuple[int, ...]
    part_keys: tuple[int, ...] = ()


class EngineWait(NamedTuple):
    """How long a prompt would wait at one engine.

    Attributes:
        engine_key: Key of the engine, see ``notice_codec.hash_server_start``.
        wait_s: Time until the engine starts its prefill, in seconds.
        counted_s: Time in seconds for which all work of the engine has been
            counted. Earlier placements are not included in ``wait_s``.
        held_count: Number of the prompt's leading parts that the engine holds.
        slowdown: Lasting slowdown of the engine, None if unknown.
    """

    engine_key: int
    wait_s: float
    counted_s: float
    held_count: int = 0
    slowdown: float | None = None


class Waits(NamedTuple):
    """The reply to a question.

    Attributes:
        number: Number of the question.
        waits: One wait for each engine.
    """

    number: int
    waits: tuple[EngineWait, ...]


class PromptUpdate(NamedTuple):
    """Reports a state change of a prompt at an engine.

    Attributes:
        engine_key: Key of the engine, see ``notice_codec.hash_server_start``.
        sender: Identifies the run of the process that placed the prompt.
        number: Number that the sender gave the prompt.
        event: The state change.
        priority: Priority of the prompt; 0 is the most urgent.
        work_s: Duration of its prefill in seconds; only if placed.
        parts: Its long shared parts, in order, at least 1,000 tokens each; only
            if placed.
        own_tokens: Number of its tokens outside these parts; only if placed.
        slowdown: Slowdown of the engine, None if unknown. If placed, as an
            owner told the sender; if read, as the sender measured it.
    """

    engine_key: int
    sender: int
    number: int
    event: PromptEvent
    priority: int = 0
    work_s: float = 0.0
    parts: tuple[part_caches.HeldPart, ...] = ()
    own_tokens: int = 0
    slowdown: float | None = None


QueueMessage = WaitQuery | Waits | PromptUpdate


def encode(message: QueueMessage) -> bytes:
    """Returns the body of the datagram that carries a message."""
    wire = _SCHEMA.QueueMessage.new_message()
    _encode_into(message, wire)
    return bytes(wire.to_bytes_packed())


@singledispatch
def _encode_into(message: Any, wire: Any) -> None:
    raise TypeError(f"not a queue message: {message!r}")


@_encode_into.register
def _(message: WaitQuery, wire: Any) -> None:
    ask = wire.init("ask")
    ask.number = _key(message.number)
    ask.priority = wire_numbers.saturated(
        message.priority, wire_numbers.UINT8_LIMIT
    )
    ask.engines = wire_numbers.saturated_all(
        message.engine_keys[:ENGINES_LIMIT_COUNT], wire_numbers.UINT32_LIMIT
    )
    ask.parts = wire_numbers.saturated_all(
        message.part_keys[:PARTS_LIMIT_COUNT], wire_numbers.UINT64_LIMIT
    )


@_encode_into.register
def _(message: Waits, wire: Any) -> None:
    reply = wire.init("waits")
    reply.number = _key(message.number)
    waits = reply.init("waits", len(message.waits))
    for wire_wait, wait in zip(waits, message.waits, strict=True):
        wire_wait.engine = _key(wait.engine_key)
        wire_wait.waitMs = _to_ms(wait.wait_s)
        wire_wait.knownMs = _to_ms(wait.counted_s)
        wire_wait.heldCount = wire_numbers.saturated(
            wait.held_count, wire_numbers.UINT8_LIMIT
        )
        wire_wait.slowdownPercent = _to_percent(wait.slowdown)


@_encode_into.register
def _(message: PromptUpdate, wire: Any) -> None:
    work = wire.init("work")
    work.engine = _key(message.engine_key)
    work.sender = _key(message.sender)
    work.number = _key(message.number)
    work.matter = message.event
    work.priority = wire_numbers.saturated(
        message.priority, wire_numbers.UINT8_LIMIT
    )
    work.workUs = wire_numbers.microseconds(message.work_s)
    work.ownTokens = wire_numbers.saturated(
        message.own_tokens, wire_numbers.UINT32_LIMIT
    )
    work.slowdownPercent = _to_percent(message.slowdown)
    parts = message.parts[:PARTS_LIMIT_COUNT]
    if not parts:
        # Omitting the list saves its pointer.
        return
    for wire_part, part in zip(
        work.init("parts", len(parts)), parts, strict=True
    ):
        wire_part.key = wire_numbers.saturated(
            part.key, wire_numbers.UINT64_LIMIT
        )
        wire_part.tokens = wire_numbers.saturated(
            part.tokens, wire_numbers.UINT32_LIMIT
        )


def _key(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT32_LIMIT)


def _to_ms(seconds: float) -> int:
    return wire_numbers.milliseconds(seconds, wire_numbers.UINT16_LIMIT)


def _to_percent(slowdown: float | None) -> int:
    if slowdown is None or math.isnan(slowdown) or slowdown <= 0:
        return 0
    percent = slowdown * _PERCENT
    return max(1, wire_numbers.saturated(percent, wire_numbers.UINT16_LIMIT))


def _from_percent(percent: int) -> float | None:
    return percent / _PERCENT if percent else None


def decode(body: bytes) -> Result[QueueMessage, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The message, or an error if the bytes are not a valid message.
    """
    return wire_messages.decode(_SCHEMA.QueueMessage, body, _decode)


def _decode(wire: Any) -> QueueMessage:
    kind = str(wire.which())
    if kind == "ask":
        return _decode_ask(wire.ask)
    if kind == "waits":
        return _decode_waits(wire.waits)
    return _decode_work(wire.work)


def _decode_ask(wire: Any) -> WaitQuery:
    return WaitQuery(
        wire.number, wire.priority, tuple(wire.engines), tuple(wire.parts)
    )


def _decode_waits(wire: Any) -> Waits:
    return Waits(
        wire.number,
        tuple(
            EngineWait(
                wait.engine,
                wait.waitMs / _MS_PER_S,
                wait.knownMs / _MS_PER_S,
                wait.heldCount,
                _from_percent(wait.slowdownPercent),
            )
            for wait in wire.waits
        ),
    )


def _decode_work(wire: Any) -> PromptUpdate:
    # Uses the number, as the library raises if the schema has no name for it.
    number = wire.matter.raw
    if number >= len(_EVENTS):
        raise ValueError(f"unknown matter {number}")
    return PromptUpdate(
        wire.engine,
        wire.sender,
        wire.number,
        _EVENTS[number],
        wire.priority,
        wire.workUs / _US_PER_S,
        tuple(
            part_caches.HeldPart(part.key, part.tokens) for part in wire.parts
        ),
        wire.ownTokens,
        _from_percent(wire.slowdownPercent),
    )

"""Encodes and decodes requests that one gateway hands over to another."""

import pathlib
from functools import singledispatch
from typing import Any, NamedTuple

import capnp
import xxhash
from result import Err, Ok, Result

from mulberrywharf import errors, main_stack, wire_numbers, wire_text
from mulberrywharf.routes import kinds

_MS_PER_S = 1000.0
CHECKSUM_BYTES = 8

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("handover.capnp")))

_KINDS: dict[str, kinds.RequestKind] = {
    "atMostOnce": kinds.AtMostOnce(),
    "idempotent": kinds.Idempotent(),
    "stream": kinds.EventStream(resumable=False),
    "resumableStream": kinds.EventStream(resumable=True),
}


class HandedRoute(NamedTuple):
    """What the route of a handed over request permits.

    Attributes:
        name: Name of the route.
        kind: Kind of the request.
        attempts_left_count: Number of servers that may still run it.
        priority: Its priority, 0 is the highest.
        target_s: See ``table.Route``.
        gap_target_s: See ``table.Route``.
    """

    name: str
    kind: kinds.RequestKind
    attempts_left_count: int
    priority: int
    target_s: float | None = None
    gap_target_s: float | None = None


class HandedRequest(NamedTuple):
    """A request that another gateway is to serve.

    The gateway that received it has chosen the route and the service, and has
    identified the customer.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        host: The ``Host`` field as received.
        fields: End-to-end header fields.
        body: The complete body.
        service: The service that is to answer.
        route: What its route permits.
        left_s: Time in seconds until its answer must be complete.
        waited_s: Time in seconds since it arrived.
        last_event_id: See ``request.RoutedRequest``.
        customer: Name of the customer, empty if none was identified.
        is_counted: Whether the retry budget of the sender already includes it.
        is_admitted: Whether the sender has admitted it and counts its demand.
        version_key: Software version at which the stream must go on, None if it
            begins anew.
        has_arrived: Whether it may have arrived at a server.
        is_prefilled: Whether a server may have prefilled its prompt.
    """

    method: str
    target: str
    host: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    service: str
    route: HandedRoute
    left_s: float
    waited_s: float = 0.0
    last_event_id: str | None = None
    customer: str = ""
    is_counted: bool = False
    is_admitted: bool = False
    version_key: int | None = None
    has_arrived: bool = False
    is_prefilled: bool = False


def encode(handed: HandedRequest) -> bytes:
    """Returns the bytes that carry a request."""
    wire = _SCHEMA.HandedOver.new_message()
    wire.method = wire_text.encodable(handed.method)
    wire.target = wire_text.encodable(handed.target)
    wire.host = wire_text.encodable(handed.host)
    fields = wire.init("fields", len(handed.fields))
    for field, (name, value) in zip(fields, handed.fields, strict=True):
        field.name = wire_text.encodable(name)
        field.value = wire_text.encodable(value)
    wire.body = handed.body
    if handed.last_event_id is not None:
        wire.hasLastEventId = True
        wire.lastEventId = wire_text.encodable(handed.last_event_id)
    wire.customer = wire_text.encodable(handed.customer)
    wire.service = wire_text.encodable(handed.service)
    wire.leftMs = wire_numbers.milliseconds(handed.left_s)
    wire.waitedMs = wire_numbers.milliseconds(handed.waited_s)
    wire.isCounted = handed.is_counted
    wire.isAdmitted = handed.is_admitted
    wire.hasArrived = handed.has_arrived
    wire.isPrefilled = handed.is_prefilled
    if handed.version_key is not None:
        wire.hasVersionKey = True
        wire.versionKey = wire_numbers.saturated(
            handed.version_key, wire_numbers.UINT64_LIMIT
        )
    _encode_route(handed.route, wire.init("route"))
    encoded = bytes(wire.to_bytes())
    return xxhash.xxh3_64_digest(encoded) + encoded


def decode(data: bytes) -> Result[HandedRequest, errors.BadFrameError]:
    """Reads the bytes that carry a request.

    The checksum only tells damaged bytes apart.
    """
    checksum, encoded = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if xxhash.xxh3_64_digest(encoded) != checksum:
        return Err(errors.BadFrameError(f"corrupt frame of {len(data)} bytes"))
    return main_stack.call(lambda: _read(encoded))


def _read(encoded: bytes) -> Result[HandedRequest, errors.BadFrameError]:
    try:
        with _SCHEMA.HandedOver.from_bytes(encoded) as wire:
            return Ok(_decode(wire))
    except (capnp.KjException, KeyError, ValueError) as error:
        return Err(errors.BadFrameError(f"malformed request: {error}"))


def _decode(wire: Any) -> HandedRequest:
    return HandedRequest(
        method=wire.method,
        target=wire.target,
        host=wire.host,
        fields=tuple((field.name, field.value) for field in wire.fields),
        body=bytes(wire.body),
        service=wire.service,
        route=_decode_route(wire.route),
        left_s=wire.leftMs / _MS_PER_S,
        waited_s=wire.waitedMs / _MS_PER_S,
        last_event_id=wire.lastEventId if wire.hasLastEventId else None,
        customer=wire.customer,
        is_counted=wire.isCounted,
        is_admitted=wire.isAdmitted,
        version_key=wire.versionKey if wire.hasVersionKey else None,
        has_arrived=wire.hasArrived,
        is_prefilled=wire.isPrefilled,
    )


def _encode_route(route: HandedRoute, wire: Any) -> None:
    wire.name = wire_text.encodable(route.name)
    wire.kind = _kind_name(route.kind)
    wire.attemptsLeft = wire_numbers.saturated(
        route.attempts_left_count, wire_numbers.UINT16_LIMIT
    )
    wire.priority = wire_numbers.saturated(
        route.priority, wire_numbers.UINT8_LIMIT
    )
    if route.target_s is not None:
        wire.hasTarget = True
        wire.targetMs = wire_numbers.milliseconds(route.target_s)
    if route.gap_target_s is not None:
        wire.hasGapTarget = True
        wire.gapTargetMs = wire_numbers.milliseconds(route.gap_target_s)


def _decode_route(wire: Any) -> HandedRoute:
    return HandedRoute(
        name=wire.name,
        kind=_KINDS[str(wire.kind)],
        attempts_left_count=wire.attemptsLeft,
        priority=wire.priority,
        target_s=wire.targetMs / _MS_PER_S if wire.hasTarget else None,
        gap_target_s=wire.gapTargetMs / _MS_PER_S
        if wire.hasGapTarget
        else None,
    )


@singledispatch
def _kind_name(kind: Any) -> str:
    raise TypeError(f"not a kind of request: {kind!r}")


@_kind_name.register
def _(kind: kinds.AtMostOnce) -> str:
    return "atMostOnce"


@_kind_name.register
def _(kind: kinds.Idempotent) -> str:
    return "idempotent"


@_kind_name.register
def _(kind: kinds.EventStream) -> str:
    return "resumableStream" if kind.resumable else "stream"

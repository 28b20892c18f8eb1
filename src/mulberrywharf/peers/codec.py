"""Notices to datagrams and back, by Cap'n Proto."""

import pathlib
from collections.abc import Iterable
from typing import NamedTuple

import capnp
import xxhash
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import part_caches, usual_load

PLACEMENTS_LIMIT_COUNT = 36
"""Placements in one notice: some 31 bytes each, so that a notice stays below
the 1,472 bytes that a datagram carries unfragmented. A part beyond the first
of a placement counts as a placement of its own."""

LOADS_LIMIT_COUNT = 6
"""Loads in one notice: some 7 bytes each as they are packed. A gateway with 4
answers a second tells those of the last second and a half."""

_UINT16_LIMIT = 0xFFFF
_MS_PER_S = 1000.0
_MILLI = 1000.0

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("notice.capnp")))


class Placement(NamedTuple):
    """Work that a gateway gave an engine.

    Attributes:
        engine_key: Of the engine, see ``key_of_server``.
        work_s: Engine time that it takes.
        parts: Long parts that the engine holds now, in order.
        own_tokens: Other tokens that the engine holds now.
    """

    engine_key: int
    work_s: float
    parts: tuple[part_caches.HeldPart, ...] = ()
    own_tokens: int = 0


class Load(NamedTuple):
    """What an engine said of its requests.

    Attributes:
        engine_key: Of the engine, see ``key_of_server``.
        requests_count: Requests that it ran or kept waiting.
        age_s: How long ago it said so.
    """

    engine_key: int
    requests_count: int
    age_s: float


class Demand(NamedTuple):
    """What a gateway's callers ask of the engines of a service.

    Attributes:
        service_key: Of the service, see ``key_of``.
        engines: Prefill engines that reading their prompts keeps busy.
    """

    service_key: int
    engines: float


class RoleLoad(NamedTuple):
    """How busy engines of a role in an availability zone are on the mean.

    Attributes:
        service_key: Of the service, see ``key_of``.
        is_prefill: Whether of its prefill engines, or of the others.
        load: The mean of their loads.
    """

    service_key: int
    is_prefill: bool
    load: usual_load.Load


class Seen(NamedTuple):
    """The last changes in the key-value service that a gateway has seen.

    Attributes:
        routes_revision: Revision of the last change of the routes.
        servers_revision: Revision of the last change of a server's record.
        is_reading: Whether the gateway asked the service a moment ago, so
            that it would have seen a later change.
        era: Of the service, that the revisions belong to.
    """

    routes_revision: int = 0
    servers_revision: int = 0
    is_reading: bool = False
    era: int = 0


class Notice(NamedTuple):
    """What one gateway placed since its last notice, and what it has seen.

    Attributes:
        sender: Names the start of the sending process.
        sequence: Rises by one with each notice of a sender.
        placements: What it placed.
        seen: The last changes that it has seen.
        loads: What engines told it of their load lately.
        demands: What its callers ask for.
        changing: Keys of engines that it ordered to change their role.
        zone_key: Of the availability zone that ``role_loads`` are of.
        role_loads: How busy the engines of that zone are.
    """

    sender: int
    sequence: int
    placements: tuple[Placement, ...]
    seen: Seen = Seen()
    loads: tuple[Load, ...] = ()
    demands: tuple[Demand, ...] = ()
    changing: tuple[int, ...] = ()
    zone_key: int = 0
    role_loads: tuple[RoleLoad, ...] = ()


def key_of(name: str) -> int:
    """Returns the 32 bits that stand for an engine or a service in notices.

    Among 850 engines two share a key with a chance of one in 12,000; the
    queue of one would then be believed too long by the other's.
    """
    return xxhash.xxh32_intdigest(name.encode())


def key_of_server(start: fleet.ServerStart) -> int:
    """Returns the key of one start of a server.

    What a peer tells of an earlier start has another key and is not heard.
    """
    return key_of(str(start))


def encode(notice: Notice) -> bytes:
    """Returns a notice as one datagram."""
    message = _SCHEMA.Notice.new_message()
    message.sender = notice.sender
    message.sequence = notice.sequence
    message.routesRevision = notice.seen.routes_revision
    message.serversRevision = notice.seen.servers_revision
    message.isReading = notice.seen.is_reading
    message.storeEra = notice.seen.era
    placements = message.init("placements", len(notice.placements))
    for wire, placement in zip(placements, notice.placements, strict=True):
        wire.engine = placement.engine_key
        wire.workUs = int(placement.work_s * 1e6)
        wire.ownTokens = placement.own_tokens
        _encode_parts(wire, placement.parts)
    loads = message.init("loads", len(notice.loads))
    for wire, load in zip(loads, notice.loads, strict=True):
        wire.engine = load.engine_key
        wire.requests = min(load.requests_count, _UINT16_LIMIT)
        wire.ageMs = min(int(load.age_s * _MS_PER_S), _UINT16_LIMIT)
    demands = message.init("demands", len(notice.demands))
    for wire, demand in zip(demands, notice.demands, strict=True):
        wire.service = demand.service_key
        wire.milliEngines = int(demand.engines * _MILLI)
    message.changing = list(notice.changing)
    message.zone = notice.zone_key
    role_loads = message.init("roleLoads", len(notice.role_loads))
    for wire, told in zip(role_loads, notice.role_loads, strict=True):
        _encode_role_load(wire, told)
    return bytes(message.to_bytes_packed())


def _encode_role_load(
    wire: capnp.lib.capnp._DynamicStructBuilder, told: RoleLoad
) -> None:
    wire.service = told.service_key
    wire.isPrefill = told.is_prefill
    wire.milliShare = min(int(told.load.running_share * _MILLI), _UINT16_LIMIT)
    wire.queueMs = min(int(told.load.queue_s * _MS_PER_S), _UINT16_LIMIT)


def fitting(placements: Iterable[Placement]) -> tuple[Placement, ...]:
    """Returns the first placements, as many as one datagram holds."""
    found = []
    room_count = PLACEMENTS_LIMIT_COUNT
    for placement in placements:
        room_count -= max(1, len(placement.parts))
        if room_count < 0:
            break
        found.append(placement)
    return tuple(found)


def _encode_parts(
    wire: capnp.lib.capnp._DynamicStructBuilder,
    parts: tuple[part_caches.HeldPart, ...],
) -> None:
    # Most placements have one part; without a list it takes no pointer.
    if not parts:
        return
    *before, last = parts
    wire.part = last.key
    wire.partTokens = last.tokens
    if not before:
        return
    for wire_part, part in zip(
        wire.init("before", len(before)), before, strict=True
    ):
        wire_part.key = part.key
        wire_part.tokens = part.tokens


def decode(datagram: bytes) -> Result[Notice, errors.BadFrameError]:
    """Reads a datagram.

    Returns:
        The notice, or why the datagram is none.
    """
    try:
        message = _SCHEMA.Notice.from_bytes_packed(datagram)
        return Ok(
            Notice(
                message.sender,
                message.sequence,
                tuple(_placement(wire) for wire in message.placements),
                Seen(
                    message.routesRevision,
                    message.serversRevision,
                    message.isReading,
                    message.storeEra,
                ),
                tuple(_load(wire) for wire in message.loads),
                tuple(
                    Demand(wire.service, wire.milliEngines / _MILLI)
                    for wire in message.demands
                ),
                tuple(message.changing),
                message.zone,
                tuple(_role_load(wire) for wire in message.roleLoads),
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(errors.BadFrameError(f"not a notice: {error}"))


def _placement(wire: capnp.lib.capnp._DynamicStructReader) -> Placement:
    parts = [
        part_caches.HeldPart(part.key, part.tokens) for part in wire.before
    ]
    if wire.part:
        parts.append(part_caches.HeldPart(wire.part, wire.partTokens))
    return Placement(
        wire.engine, wire.workUs / 1e6, tuple(parts), wire.ownTokens
    )


def _load(wire: capnp.lib.capnp._DynamicStructReader) -> Load:
    return Load(wire.engine, wire.requests, wire.ageMs / _MS_PER_S)


def _role_load(wire: capnp.lib.capnp._DynamicStructReader) -> RoleLoad:
    load = usual_load.Load(wire.milliShare / _MILLI, wire.queueMs / _MS_PER_S)
    return RoleLoad(wire.service, wire.isPrefill, load)

"""Encodes and decodes notices between gateways with Cap'n Proto."""

import math
import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import capnp
import xxhash
from result import Result

from mulberrywharf import errors, fleet, wire_messages, wire_numbers
from mulberrywharf.policy import load_estimates, part_caches

PLACEMENTS_LIMIT_COUNT = 36
"""Maximum number of placements in one notice. Each takes about 31 bytes, so a
notice stays below the 1,472 bytes that a datagram carries unfragmented. Each
part of a placement after its first counts as one more placement."""

LOADS_LIMIT_COUNT = 6
"""Maximum number of load reports in one notice, about 7 bytes each when packed.
Each engine's answer carries a load report, so a gateway that receives 4 answers
per second sends the reports of the last 1.5 s."""

_PACE_BITS = 5
_PACE_CODE_LIMIT = 2**_PACE_BITS - 1
_USUAL_PACE_CODE = 10
_PACE_CODES_PER_DECADE = 30
"""Paces of 0.5 to 5 are sent with an error of up to 4 %, in 4 bytes for all
loads of a notice."""

_MS_PER_S = 1000.0
_MILLI = 1000.0

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("notice.capnp")))


class Placement(NamedTuple):
    """Work that a gateway sent to an engine.

    Attributes:
        engine_key: Key of the engine, see ``hash_server_start``.
        work_s: Engine time that the work takes, in seconds.
        parts: Long shared parts of the prompt, in order, at least 1,000 tokens
            each. The engine now holds them.
        own_tokens: Number of prompt tokens outside these parts, which the
            engine now holds as well.
    """

    engine_key: int
    work_s: float
    parts: tuple[part_caches.HeldPart, ...] = ()
    own_tokens: int = 0


class Load(NamedTuple):
    """Number of requests that an engine reported.

    Attributes:
        engine_key: Key of the engine, see ``hash_server_start``.
        requests_count: Running and waiting requests of the engine.
        age_s: Age of the report in seconds.
        pace: The pace that the engine stated with it, see ``stated_pace``;
            None if it stated none.
    """

    engine_key: int
    requests_count: int
    age_s: float
    pace: float | None = None


class Demand(NamedTuple):
    """Prefill work that one gateway's callers request from a model service.

    Attributes:
        service_key: Key of the service, see ``hash_name``.
        engines: Number of prefill engines that this work keeps busy, with
            fractions.
    """

    service_key: int
    engines: float


class RoleLoad(NamedTuple):
    """Mean load of a model service's engines in one zone, by role.

    Attributes:
        service_key: Key of the service, see ``hash_name``.
        is_prefill: True for its prefill engines, False for all others.
        load: Mean load of these engines.
    """

    service_key: int
    is_prefill: bool
    load: load_estimates.Load


class SeenRevisions(NamedTuple):
    """The latest changes in the key-value service that a gateway has seen.

    Attributes:
        routes_revision: Revision of the latest change to the routes.
        servers_revision: Revision of the latest change to a server record.
        era: Era of the key-value service to which the revisions belong.
    """

    routes_revision: int = 0
    servers_revision: int = 0
    era: int = 0


class Notice(NamedTuple):
    """State that one gateway shares with others, and its recent placements.

    Attributes:
        sender: Identifies the run of the sending process.
        sequence: Increases by one with each notice of a sender.
        placements: Work placed since the last notice.
        seen: The latest key-value service changes that the sender has seen.
        loads: Loads that engines recently reported to the sender.
        demands: Prefill work that the sender's callers request.
        changing: Keys of engines that the sender ordered to change role.
        zone_key: Key of the availability zone described by ``role_loads``.
        role_loads: Mean loads of the engines in that zone.
    """

    sender: int
    sequence: int
    placements: tuple[Placement, ...]
    seen: SeenRevisions = SeenRevisions()
    loads: tuple[Load, ...] = ()
    demands: tuple[Demand, ...] = ()
    changing: tuple[int, ...] = ()
    zone_key: int = 0
    role_loads: tuple[RoleLoad, ...] = ()


def hash_name(name: str) -> int:
    """Returns the 32-bit hash that identifies a name in notices.

    Among 850 engines, the probability that two share a key is 1 in 12,000.
    The queue of each would then be overestimated by the work of the other.
    """
    return xxhash.xxh32_intdigest(name.encode())


def hash_server_start(start: fleet.ServerStart) -> int:
    """Returns the key of one run of a server's process.

    Each run has its own key, so reports about an earlier run are ignored.
    """
    return hash_name(str(start))


def encode(notice: Notice) -> bytes:
    """Returns the body of the datagram that carries a notice."""
    message = _SCHEMA.Notice.new_message()
    message.sender = _key(notice.sender)
    message.sequence = _key(notice.sequence)
    message.routesRevision = wire_numbers.saturated(
        notice.seen.routes_revision, wire_numbers.UINT64_LIMIT
    )
    message.serversRevision = wire_numbers.saturated(
        notice.seen.servers_revision, wire_numbers.UINT64_LIMIT
    )
    message.storeEra = wire_numbers.saturated(
        notice.seen.era, wire_numbers.UINT32_LIMIT
    )
    placements = message.init("placements", len(notice.placements))
    for wire, placement in zip(placements, notice.placements, strict=True):
        wire.engine = _key(placement.engine_key)
        wire.workUs = wire_numbers.microseconds(placement.work_s)
        wire.ownTokens = wire_numbers.saturated(
            placement.own_tokens, wire_numbers.UINT32_LIMIT
        )
        _encode_parts(wire, placement.parts)
    loads = message.init("loads", len(notice.loads))
    for wire, load in zip(loads, notice.loads, strict=True):
        wire.engine = _key(load.engine_key)
        wire.requests = wire_numbers.saturated(
            load.requests_count, wire_numbers.UINT16_LIMIT
        )
        wire.ageMs = wire_numbers.milliseconds(
            load.age_s, wire_numbers.UINT16_LIMIT
        )
    message.paces = _encode_paces(notice.loads)
    demands = message.init("demands", len(notice.demands))
    for wire, demand in zip(demands, notice.demands, strict=True):
        wire.service = _key(demand.service_key)
        wire.milliEngines = wire_numbers.saturated(
            demand.engines * _MILLI, wire_numbers.UINT32_LIMIT
        )
    message.changing = wire_numbers.saturated_all(
        notice.changing, wire_numbers.UINT32_LIMIT
    )
    message.zone = _key(notice.zone_key)
    role_loads = message.init("roleLoads", len(notice.role_loads))
    for wire, role_load in zip(role_loads, notice.role_loads, strict=True):
        _encode_role_load(wire, role_load)
    return bytes(message.to_bytes_packed())


def _key(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT32_LIMIT)


def _part_key(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT64_LIMIT)


def _encode_role_load(
    wire: capnp.lib.capnp._DynamicStructBuilder, role_load: RoleLoad
) -> None:
    wire.service = _key(role_load.service_key)
    wire.isPrefill = role_load.is_prefill
    wire.milliShare = wire_numbers.saturated(
        role_load.load.running_share * _MILLI, wire_numbers.UINT16_LIMIT
    )
    wire.queueMs = wire_numbers.milliseconds(
        role_load.load.queue_s, wire_numbers.UINT16_LIMIT
    )


def _encode_paces(loads: tuple[Load, ...]) -> int:
    codes = 0
    for number, load in enumerate(loads[:LOADS_LIMIT_COUNT]):
        if load.pace is not None and 0 < load.pace < math.inf:
            code = round(_PACE_CODES_PER_DECADE * math.log10(load.pace))
            code = min(_PACE_CODE_LIMIT, max(1, _USUAL_PACE_CODE + code))
            codes |= code << (_PACE_BITS * number)
    return codes


def fit_datagram(placements: Iterable[Placement]) -> tuple[Placement, ...]:
    """Returns the first placements, as many as fit in one datagram."""
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
    # Most placements have one part. It is stored in scalar fields, which saves
    # the pointer that a list needs.
    if not parts:
        return
    *before, last = parts
    wire.part = _part_key(last.key)
    wire.partTokens = wire_numbers.saturated(
        last.tokens, wire_numbers.UINT32_LIMIT
    )
    if not before:
        return
    for wire_part, part in zip(
        wire.init("before", len(before)), before, strict=True
    ):
        wire_part.key = _part_key(part.key)
        wire_part.tokens = wire_numbers.saturated(
            part.tokens, wire_numbers.UINT32_LIMIT
        )


def decode(body: bytes) -> Result[Notice, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The notice, or an error if the bytes are not a valid notice.
    """
    return wire_messages.decode(_SCHEMA.Notice, body, _decode)


def _decode(message: Any) -> Notice:
    return Notice(
        message.sender,
        message.sequence,
        tuple(_decode_placement(wire) for wire in message.placements),
        SeenRevisions(
            message.routesRevision,
            message.serversRevision,
            message.storeEra,
        ),
        tuple(
            _decode_load(wire, message.paces >> (_PACE_BITS * number))
            for number, wire in enumerate(message.loads)
        ),
        tuple(
            Demand(wire.service, wire.milliEngines / _MILLI)
            for wire in message.demands
        ),
        tuple(message.changing),
        message.zone,
        tuple(_decode_role_load(wire) for wire in message.roleLoads),
    )


def _decode_placement(wire: capnp.lib.capnp._DynamicStructReader) -> Placement:
    parts = [
        part_caches.HeldPart(part.key, part.tokens) for part in wire.before
    ]
    if wire.part:
        parts.append(part_caches.HeldPart(wire.part, wire.partTokens))
    return Placement(
        wire.engine, wire.workUs / 1e6, tuple(parts), wire.ownTokens
    )


def _decode_load(
    wire: capnp.lib.capnp._DynamicStructReader, pace_codes: int
) -> Load:
    code = pace_codes & _PACE_CODE_LIMIT
    exponent = (code - _USUAL_PACE_CODE) / _PACE_CODES_PER_DECADE
    return Load(
        wire.engine,
        wire.requests,
        wire.ageMs / _MS_PER_S,
        float(10.0**exponent) if code else None,
    )


def _decode_role_load(wire: capnp.lib.capnp._DynamicStructReader) -> RoleLoad:
    load = load_estimates.Load(
        wire.milliShare / _MILLI, wire.queueMs / _MS_PER_S
    )
    return RoleLoad(wire.service, wire.isPrefill, load)

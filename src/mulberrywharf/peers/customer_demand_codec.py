"""Encodes and decodes messages about customers' demand, with Cap'n Proto."""

import math
import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import capnp
from result import Result

from mulberrywharf import errors, wire_messages, wire_numbers, wire_records
from mulberrywharf.policy import customer_meter

BELOW = 255
"""Share byte of a customer that is below the level."""

_SHARE_STEPS = 250

capnp.remove_import_hook()
_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name("customer_demand.capnp"))
)


class Report(NamedTuple):
    """The demand for a service at one gateway.

    Attributes:
        service: Hash of the name of the service.
        number: Identifies the report.
        demand: The demand.
    """

    service: int
    number: int
    demand: customer_meter.DemandReport


class Reply(NamedTuple):
    """The reply to a report.

    Attributes:
        service: Hash of the name of the service.
        number: Number of the report.
        level: Fair level, in engine-seconds per second.
        reported_shares: Admitted share of each customer of the report, None if
            it is below the level.
        other_shares: Admitted share of other customers above the level, by
            their key.
        is_rest_below: Whether all other customers are below the level.
    """

    service: int
    number: int
    level: float
    reported_shares: tuple[float | None, ...]
    other_shares: dict[int, float]
    is_rest_below: bool


def encode(message: Report | Reply) -> bytes:
    """Encodes a message as the body of a datagram."""
    wire = _SCHEMA.DemandMessage.new_message()
    wire.service = wire_numbers.saturated(
        message.service, wire_numbers.UINT32_LIMIT
    )
    wire.number = wire_numbers.saturated(
        message.number, wire_numbers.UINT16_LIMIT
    )
    if isinstance(message, Report):
        demand = message.demand
        report = wire.init("report")
        named = [one for one in demand.customers if _is_sound(one)]
        named = named[: customer_meter.REPORTED_CUSTOMERS_COUNT]
        report.customers = wire_numbers.saturated_all(
            (one.key for one in named), wire_numbers.UINT32_LIMIT
        )
        report.demands = [one.demand for one in named]
        report.restDemand = demand.rest_demand
        report.restCount = wire_numbers.saturated(
            demand.rest_count, wire_numbers.UINT16_LIMIT
        )
        report.admitted = demand.admitted
        report.unserved = demand.unserved
    else:
        reply = wire.init("reply")
        reply.level = message.level
        reply.reported = _share_bytes(message.reported_shares)
        reply.others = wire_numbers.saturated_all(
            message.other_shares, wire_numbers.UINT32_LIMIT
        )
        reply.otherShares = _share_bytes(message.other_shares.values())
        reply.isRestBelow = message.is_rest_below
    return bytes(wire.to_bytes_packed())


def decode(body: bytes) -> Result[Report | Reply, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The message, or an error if the body is invalid.
    """
    return wire_messages.decode(_SCHEMA.DemandMessage, body, _decode)


def _decode(wire: Any) -> Report | Reply:
    if wire.which() == "report":
        return _decode_report(wire)
    return _decode_reply(wire)


def _decode_report(wire: capnp.lib.capnp._DynamicStructReader) -> Report:
    report = wire.report
    if len(report.customers) > customer_meter.REPORTED_CUSTOMERS_COUNT:
        raise ValueError("a report names too many customers")
    demand = customer_meter.DemandReport(
        tuple(
            customer_meter.CustomerDemand(key, _rate(value))
            for key, value in zip(report.customers, report.demands, strict=True)
        ),
        _rate(report.restDemand),
        report.restCount,
        _rate(report.admitted),
        _rate(report.unserved),
    )
    return Report(wire.service, wire.number, demand)


def _decode_reply(wire: capnp.lib.capnp._DynamicStructReader) -> Reply:
    reply = wire.reply
    others = zip(reply.others, _shares(reply.otherShares), strict=True)
    return Reply(
        wire.service,
        wire.number,
        _rate(reply.level),
        _shares(reply.reported),
        {key: share for key, share in others if share is not None},
        reply.isRestBelow,
    )


def _rate(value: float) -> float:
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"a rate is {value}")
    return value


def _is_sound(reported: customer_meter.CustomerDemand) -> bool:
    """Returns whether the decoder accepts a customer's demand."""
    if 0 <= reported.demand < wire_numbers.FLOAT32_LIMIT:
        return True
    wire_records.note_left_out("demand", reported)
    return False


def _share_bytes(shares: Iterable[float | None]) -> bytes:
    return bytes(
        BELOW
        if share is None
        else round(min(1.0, max(0.0, share)) * _SHARE_STEPS)
        for share in shares
    )


def _shares(data: bytes) -> tuple[float | None, ...]:
    if any(_SHARE_STEPS < value < BELOW for value in data):
        raise ValueError("a share is above 1")
    return tuple(
        None if value == BELOW else value / _SHARE_STEPS for value in data
    )

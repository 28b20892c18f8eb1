"""Encodes and decodes reports on ended servers with Cap'n Proto."""

import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import capnp
from result import Result

from mulberrywharf import errors, wire_messages, wire_numbers

REPORT_LIMIT_BYTES = 1_400
"""Bound of the estimated size of a report, so that the datagram is not
fragmented."""

CLEARED_LIMIT_COUNT = 32
"""Maximum number of cleared requests and parts in one report."""

_REPORT_BYTES = 64
_END_BYTES = 42
_PART_BYTES = 10
_CLEARED_BYTES = 30

_MS_PER_S = 1000.0

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("crash.capnp")))


class ReportedEnd(NamedTuple):
    """The end of a server while it processed a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        server_key: Key of the server process, see
            ``notice_codec.hash_server_start``.
        made_output: Whether any part of the answer had arrived.
        age_s: Time since the end.
        customer: Hash of the customer.
        parts: Keys of the parts of its prompt that are suspected.
    """

    fingerprint: int
    server_key: int
    made_output: bool
    age_s: float
    customer: int = 0
    parts: frozenset[int] = frozenset()


class ClearedPart(NamedTuple):
    """A part with which an answer began.

    Attributes:
        part: Key of the part.
        customer: Hash of the customer whose request was answered.
        age_s: Time since the answer began.
    """

    part: int
    customer: int
    age_s: float


class CrashReport(NamedTuple):
    """A report on ended servers from one gateway to others.

    Attributes:
        ends: The ends of servers, one for each request at the server.
        cleared: Fingerprints of requests that have completed since.
        is_reply: Whether this replies to a report on a request that the
            sender already blocks.
        cleared_parts: Parts with which answers began.
        trials: Keys of blocks and parts of which the sender tries a request.
    """

    ends: tuple[ReportedEnd, ...] = ()
    cleared: tuple[int, ...] = ()
    is_reply: bool = False
    cleared_parts: tuple[ClearedPart, ...] = ()
    trials: tuple[int, ...] = ()


def batches(
    report: CrashReport,
) -> Iterator[CrashReport]:
    """Splits a report into reports that each fit into one datagram."""
    rest = report._replace(ends=())
    size_bytes = _REPORT_BYTES + _CLEARED_BYTES * (
        len(rest.cleared) + len(rest.cleared_parts) + len(rest.trials)
    )
    batch: list[ReportedEnd] = []
    for end in report.ends:
        end_bytes = _END_BYTES + _PART_BYTES * len(end.parts)
        if batch and size_bytes + end_bytes > REPORT_LIMIT_BYTES:
            yield rest._replace(ends=tuple(batch))
            rest = CrashReport(is_reply=report.is_reply)
            batch, size_bytes = [], _REPORT_BYTES
        batch.append(end)
        size_bytes += end_bytes
    yield rest._replace(ends=tuple(batch))


def encode(report: CrashReport) -> bytes:
    """Encodes a report as the body of a datagram."""
    message = _SCHEMA.CrashReport.new_message()
    message.cleared = _keys(report.cleared)
    message.isReply = report.is_reply
    ends = message.init("ends", len(report.ends))
    for wire, end in zip(ends, report.ends, strict=True):
        wire.request = _key(end.fingerprint)
        wire.server = wire_numbers.saturated(
            end.server_key, wire_numbers.UINT32_LIMIT
        )
        wire.madeOutput = end.made_output
        wire.ageMs = wire_numbers.milliseconds(end.age_s)
        wire.customer = _key(end.customer)
        if end.parts:
            wire.parts = _keys(sorted(end.parts))
    if report.cleared_parts:
        cleared = message.init("clearedParts", len(report.cleared_parts))
        for wire, one in zip(cleared, report.cleared_parts, strict=True):
            wire.part = _key(one.part)
            wire.customer = _key(one.customer)
            wire.ageMs = wire_numbers.milliseconds(one.age_s)
    message.trials = _keys(report.trials)
    return bytes(message.to_bytes_packed())


def _key(value: int) -> int:
    return wire_numbers.saturated(value, wire_numbers.UINT64_LIMIT)


def _keys(values: Iterable[int]) -> list[int]:
    return wire_numbers.saturated_all(values, wire_numbers.UINT64_LIMIT)


def decode(body: bytes) -> Result[CrashReport, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The report, or an error if the body is invalid.
    """
    return wire_messages.decode(_SCHEMA.CrashReport, body, _decode)


def _decode(message: Any) -> CrashReport:
    return CrashReport(
        tuple(
            ReportedEnd(
                wire.request,
                wire.server,
                wire.madeOutput,
                wire.ageMs / _MS_PER_S,
                wire.customer,
                frozenset(wire.parts),
            )
            for wire in message.ends
        ),
        tuple(message.cleared),
        message.isReply,
        tuple(
            ClearedPart(wire.part, wire.customer, wire.ageMs / _MS_PER_S)
            for wire in message.clearedParts
        ),
        tuple(message.trials),
    )

"""Encodes and decodes messages about failing servers."""

import struct
from typing import NamedTuple

from result import Err, Ok, Result

from mulberrywharf import errors, wire_numbers, wire_records
from mulberrywharf.policy import ejected_servers, outcome_counts

_KIND = struct.Struct(">B")
_COUNTS = struct.Struct(">IHHHHHHHH")
_QUESTION = struct.Struct(">I")
_DECISION = struct.Struct(">I?BH")

_MS_PER_S = 1000.0

ENTRIES_LIMIT_COUNT = 70
"""Maximum number of servers in a report, 20 bytes each."""


class ServerCounts(NamedTuple):
    """What a gateway counted of one server.

    Attributes:
        server_key: Key of the server's start, see
            ``notice_codec.hash_server_start``.
        counted: The counts.
    """

    server_key: int
    counted: outcome_counts.Windows


class OutcomeReport(NamedTuple):
    """Counts that a gateway sends because servers failed, or when asked.

    Attributes:
        is_reply: Whether the gateway was asked.
        entries: The counts.
    """

    is_reply: bool
    entries: tuple[ServerCounts, ...]


class Question(NamedTuple):
    """Asks a gateway for its counts of a server."""

    server_key: int


def encode_report(report: OutcomeReport) -> bytes:
    """Encodes a report as the body of a message of topic ``o``."""
    parts = [_KIND.pack(2 if report.is_reply else 1)]
    for entry in report.entries[:ENTRIES_LIMIT_COUNT]:
        if not _is_sound(entry.counted):
            wire_records.note_left_out("outcomes", entry)
            continue
        figures = (
            figure
            for window in entry.counted
            for outcomes in window
            for figure in outcomes
        )
        parts.append(
            _COUNTS.pack(
                _key(entry.server_key),
                *wire_numbers.saturated_all(figures, wire_numbers.UINT16_LIMIT),
            )
        )
    return b"".join(parts)


def _is_sound(counted: outcome_counts.Windows) -> bool:
    """Returns whether the decoder accepts the counts."""
    return all(
        one.failures_count <= one.answers_count
        for window in counted
        for one in window
    )


def _key(server_key: int) -> int:
    return wire_numbers.saturated(server_key, wire_numbers.UINT32_LIMIT)


def decode_report(body: bytes) -> Result[OutcomeReport, errors.BadFrameError]:
    """Decodes the body of a message of topic ``o``."""
    if body[:1] not in (b"\x01", b"\x02"):
        return _bad("outcome report", body)
    records = body[_KIND.size :]
    if not records or len(records) % _COUNTS.size:
        return _bad("outcome report", body)
    entries = []
    for key, *figures in _COUNTS.iter_unpack(records):
        outcomes = [
            outcome_counts.Outcomes(*pair)
            for pair in zip(figures[::2], figures[1::2], strict=True)
        ]
        if any(one.failures_count > one.answers_count for one in outcomes):
            return _bad("outcome report", body)
        windows = outcome_counts.Windows(
            outcome_counts.Compared(*outcomes[:2]),
            outcome_counts.Compared(*outcomes[2:]),
        )
        entries.append(ServerCounts(key, windows))
    return Ok(OutcomeReport(body[:1] == b"\x02", tuple(entries)))


def encode_question(question: Question) -> bytes:
    """Encodes a question as the body of a message of topic ``e``."""
    return b"\x01" + _QUESTION.pack(_key(question.server_key))


def encode_decision(decision: ejected_servers.Decision) -> bytes:
    """Encodes a decision as the body of a message of topic ``e``."""
    return b"\x02" + _DECISION.pack(
        _key(decision.server_key),
        decision.is_ejected,
        wire_numbers.saturated(decision.times_count, wire_numbers.UINT8_LIMIT),
        wire_numbers.milliseconds(decision.left_s, wire_numbers.UINT16_LIMIT),
    )


def decode_ejection(
    body: bytes,
) -> Result[Question | ejected_servers.Decision, errors.BadFrameError]:
    """Decodes the body of a message of topic ``e``."""
    kind, record = body[:1], body[_KIND.size :]
    if kind == b"\x01" and len(record) == _QUESTION.size:
        return Ok(Question(*_QUESTION.unpack(record)))
    if kind == b"\x02" and len(record) == _DECISION.size:
        key, is_ejected, times_count, left_ms = _DECISION.unpack(record)
        return Ok(
            ejected_servers.Decision(
                key, is_ejected, times_count, left_ms / _MS_PER_S
            )
        )
    return _bad("ejection message", body)


def _bad(name: str, body: bytes) -> Err[errors.BadFrameError]:
    return Err(errors.BadFrameError(f"invalid {name} of {len(body)} bytes"))

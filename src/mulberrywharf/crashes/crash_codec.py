"""Encodes and decodes reports on ended servers with Cap'n Proto."""

import pathlib
from typing import NamedTuple

import capnp
from result import Err, Ok, Result

from mulberrywharf import errors

ENDS_LIMIT_COUNT = 48
"""Maximum number of server ends in one report. Each takes about 20 bytes
packed, so that the datagram is not fragmented."""

_UINT32_LIMIT = 0xFFFFFFFF
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
    """

    fingerprint: int
    server_key: int
    made_output: bool
    age_s: float


class CrashReport(NamedTuple):
    """A report on ended servers from one gateway to others.

    Attributes:
        ends: The ends of servers, one for each request at the server.
        cleared: Fingerprints of requests that have completed since.
        is_reply: Whether this replies to a report on a request that the
            sender already blocks.
    """

    ends: tuple[ReportedEnd, ...] = ()
    cleared: tuple[int, ...] = ()
    is_reply: bool = False


def encode(report: CrashReport) -> bytes:
    """Encodes a report as the body of a datagram."""
    message = _SCHEMA.CrashReport.new_message()
    message.cleared = list(report.cleared)
    message.isReply = report.is_reply
    ends = message.init("ends", len(report.ends))
    for wire, end in zip(ends, report.ends, strict=True):
        wire.request = end.fingerprint
        wire.server = end.server_key
        wire.madeOutput = end.made_output
        wire.ageMs = min(int(max(0.0, end.age_s) * _MS_PER_S), _UINT32_LIMIT)
    return bytes(message.to_bytes_packed())


def decode(body: bytes) -> Result[CrashReport, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The report, or an error if the body is invalid.
    """
    try:
        message = _SCHEMA.CrashReport.from_bytes_packed(body)
        return Ok(
            CrashReport(
                tuple(
                    ReportedEnd(
                        wire.request,
                        wire.server,
                        wire.madeOutput,
                        wire.ageMs / _MS_PER_S,
                    )
                    for wire in message.ends
                ),
                tuple(message.cleared),
                message.isReply,
            )
        )
    except (capnp.KjException, ValueError) as error:
        return Err(errors.BadFrameError(f"invalid crash report: {error}"))

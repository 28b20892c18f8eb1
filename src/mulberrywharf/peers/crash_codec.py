"""Reports on servers that ended to datagrams and back, by Cap'n Proto."""

import pathlib
from typing import NamedTuple

import capnp
from result import Err, Ok, Result

from mulberrywharf import errors

ENDS_LIMIT_COUNT = 48
"""Ends in one report, some 20 bytes each as they are packed: a datagram that
holds them all is sent unfragmented."""

_UINT32_LIMIT = 0xFFFFFFFF
_MS_PER_S = 1000.0

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("crash.capnp")))


class ToldEnd(NamedTuple):
    """A server that ended while it worked on a request.

    Attributes:
        fingerprint: Of the request.
        server_key: See ``codec.key_of_server``.
        made_output: Whether any of the answer had come.
        age_s: How long ago it ended.
    """

    fingerprint: int
    server_key: int
    made_output: bool
    age_s: float


class CrashReport(NamedTuple):
    """What a gateway tells of servers that ended.

    Attributes:
        ends: The ends.
        cleared: Fingerprints of requests that ended whole since.
        is_reply: Whether it answers a report on a request that the sender
            has blocked already.
    """

    ends: tuple[ToldEnd, ...] = ()
    cleared: tuple[int, ...] = ()
    is_reply: bool = False


def encode(report: CrashReport) -> bytes:
    """Returns a report as the bytes of a datagram."""
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


def decode(datagram: bytes) -> Result[CrashReport, errors.BadFrameError]:
    """Reads the bytes of a datagram.

    Returns:
        The report, or why it is none.
    """
    try:
        message = _SCHEMA.CrashReport.from_bytes_packed(datagram)
        return Ok(
            CrashReport(
                tuple(
                    ToldEnd(
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
        return Err(errors.BadFrameError(f"no report on ends: {error}"))

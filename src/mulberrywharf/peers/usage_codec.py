"""Encodes and decodes usage messages with Cap'n Proto."""

import pathlib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import capnp
from result import Result

from mulberrywharf import errors, wire_messages, wire_numbers, wire_text

COUNTS_LIMIT_BYTES = 1_100
"""Maximum size of the customer entries in one message, so that its datagram is
not fragmented."""

_ENTRY_OVERHEAD_BYTES = 12

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("usage.capnp")))


class Announcement(NamedTuple):
    """Announces the gateway that collects the counts.

    Attributes:
        number: Fencing number of the collector; the highest one wins.
        reported_window: The last window whose report is recorded, see
            ``usage_exchange``. Counts up to this window are no longer needed.
    """

    number: int
    reported_window: int


class Counts(NamedTuple):
    """Counts of one gateway for one window.

    Attributes:
        incarnation: Identifies one run of the gateway.
        window: Window number.
        is_final: Whether these counts will not change any more.
        by_customer: Started requests of some or all customers.
        total_count: Started requests of all customers.
    """

    incarnation: int
    window: int
    is_final: bool
    by_customer: Mapping[str, int]
    total_count: int


def split_counts(counts: Counts) -> Iterator[Counts]:
    """Yields at least one batch, each small enough for a datagram."""
    batch: dict[str, int] = {}
    size_bytes = 0
    for name, count in counts.by_customer.items():
        cost_bytes = (
            len(wire_text.encodable(name).encode()) + _ENTRY_OVERHEAD_BYTES
        )
        if batch and size_bytes + cost_bytes > COUNTS_LIMIT_BYTES:
            yield counts._replace(by_customer=batch)
            batch, size_bytes = {}, 0
        batch[name] = count
        size_bytes += cost_bytes
    yield counts._replace(by_customer=batch)


def encode_announcement(announcement: Announcement) -> bytes:
    """Encodes an announcement as the body of a datagram."""
    message = _SCHEMA.UsageMessage.new_message()
    wire = message.init("announcement")
    wire.number = wire_numbers.saturated(
        announcement.number, wire_numbers.UINT64_LIMIT
    )
    wire.reportedWindow = wire_numbers.saturated(
        announcement.reported_window, wire_numbers.UINT64_LIMIT
    )
    return bytes(message.to_bytes_packed())


def encode_counts(counts: Counts) -> bytes:
    """Encodes counts as the body of a datagram."""
    message = _SCHEMA.UsageMessage.new_message()
    wire = message.init("counts")
    wire.incarnation = wire_numbers.saturated(
        counts.incarnation, wire_numbers.UINT32_LIMIT
    )
    wire.window = wire_numbers.saturated(
        counts.window, wire_numbers.UINT64_LIMIT
    )
    wire.isFinal = counts.is_final
    wire.totalCount = wire_numbers.saturated(
        counts.total_count, wire_numbers.UINT64_LIMIT
    )
    customers = wire.init("customers", len(counts.by_customer))
    for entry, (name, count) in zip(
        customers, counts.by_customer.items(), strict=True
    ):
        entry.name = wire_text.encodable(name)
        entry.count = wire_numbers.saturated(count, wire_numbers.UINT32_LIMIT)
    return bytes(message.to_bytes_packed())


def decode(
    body: bytes,
) -> Result[Announcement | Counts, errors.BadFrameError]:
    """Decodes the body of a datagram.

    Returns:
        The message, or an error if the body is invalid.
    """
    return wire_messages.decode(_SCHEMA.UsageMessage, body, _decode)


def _decode(message: Any) -> Announcement | Counts:
    if message.which() == "announcement":
        wire = message.announcement
        return Announcement(wire.number, wire.reportedWindow)
    wire = message.counts
    by_customer = {entry.name: entry.count for entry in wire.customers}
    return Counts(
        wire.incarnation,
        wire.window,
        wire.isFinal,
        by_customer,
        wire.totalCount,
    )

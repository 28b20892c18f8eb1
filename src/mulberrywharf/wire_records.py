"""Counts records that messages to other nodes leave out."""

from loguru import logger

from mulberrywharf import metrics

_left_out_total = metrics.counter(
    "mulberry_records_left_out_total",
    "Records that a message to other nodes can't hold and leaves out.",
)


def note_left_out(kind: str, record: object) -> None:
    """Counts and logs a record that is left out of a message.

    Args:
        kind: Kind of the record, a label of the metric.
        record: The record, for the log.
    """
    _left_out_total.inc({"kind": kind})
    logger.bind(kind=kind).warning("a record is not sent: {!r:.200}", record)

"""Audits what engines were ordered, from the outside's own logs.

The order logs are the engines', the history of the lease key is the
key-value service's. Nothing that a controller says of itself counts.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

_TOLERANCE_S = 0.01
"""Between the writing of two logs on one machine."""

Log = Sequence[Mapping[str, Any]]


class Finding(NamedTuple):
    """One breach of what must always hold.

    Attributes:
        kind: ``late``: effect after the authority passed; ``inverted``: an
            older holder's order after a newer one's; ``overlap``: an order
            began while another was carried out; ``busy``: an engine had to
            refuse a second order in mid-change; ``cut``: a stream was cut.
        engine_id: The engine.
        detail: What the logs say.
    """

    kind: str
    engine_id: str
    detail: str


class Tenure(NamedTuple):
    """One holder's time as the service saw it.

    Attributes:
        fencing_number: Revision that created the lease key.
        ended_unix_s: When the key was deleted or created anew.
    """

    fencing_number: int
    ended_unix_s: float


def tenures(lease_history: Log) -> list[Tenure]:
    """Reads the holders' times from the history of the lease key."""
    found: list[Tenure] = []
    for event in lease_history:
        if found and found[-1].ended_unix_s == float("inf"):
            found[-1] = found[-1]._replace(ended_unix_s=event["unix_s"])
        if event["type"] == "PUT":
            found.append(Tenure(event["revision"], float("inf")))
    return found


def audit(
    order_logs: Mapping[str, Log],
    lease_history: Log,
    *,
    late_allowed: frozenset[int] = frozenset(),
) -> list[Finding]:
    """Lists every breach.

    Args:
        order_logs: Of each engine.
        lease_history: Every change of the lease key.
        late_allowed: Fencing numbers whose lease key was deleted before its
            time. Bytes that are on their way then can't be recalled; they
            must still not come after an order of the next holder.
    """
    ended = {t.fencing_number: t.ended_unix_s for t in tenures(lease_history)}
    findings: list[Finding] = []
    for engine_id, log in order_logs.items():
        effective = [order for order in log if order["effective"]]
        findings += _late(engine_id, effective, ended, late_allowed)
        findings += _inverted(engine_id, effective)
        findings += _overlapping(engine_id, effective)
        findings += _refused_busy(engine_id, log)
        findings += _cut(engine_id, effective)
    return findings


def _late(
    engine_id: str,
    effective: Log,
    ended: Mapping[int, float],
    late_allowed: frozenset[int],
) -> Iterator[Finding]:
    for order in effective:
        number = order["fencing_number"]
        if number in late_allowed:
            continue
        late_s = order["unix_s"] - ended.get(number, float("-inf"))
        if late_s > _TOLERANCE_S:
            detail = f"{_text(order)}, {late_s:.3f} s after its lease"
            yield Finding("late", engine_id, detail)


def _inverted(engine_id: str, effective: Log) -> Iterator[Finding]:
    highest = 0
    for order in effective:
        if order["fencing_number"] < highest:
            detail = f"{_text(order)} after one of {highest}"
            yield Finding("inverted", engine_id, detail)
        highest = max(highest, order["fencing_number"])


def _overlapping(engine_id: str, effective: Log) -> Iterator[Finding]:
    last_end_s = float("-inf")
    for order in effective:
        if order["unix_s"] < last_end_s:
            yield Finding("overlap", engine_id, _text(order))
        last_end_s = order["ended_unix_s"] or float("inf")


def _refused_busy(engine_id: str, log: Log) -> Iterator[Finding]:
    for order in log:
        if order["reason"] == "busy":
            yield Finding("busy", engine_id, _text(order))


def _cut(engine_id: str, effective: Log) -> Iterator[Finding]:
    for order in effective:
        if order["cut_request_ids"]:
            yield Finding("cut", engine_id, _text(order))


def _text(order: Mapping[str, Any]) -> str:
    return (
        f"{order['action']} {order['role'] or order['model']} "
        f"{order['order_id'][:8]} of {order['fencing_number']}"
    )

"""Audits the orders of engines, using only logs from outside the controllers.

The engines provide the order logs and the key-value service provides the
history of the lease key. Logs of the controllers are not used.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

_TOLERANCE_S = 0.01
"""Time differences between the logs of two processes on one machine."""

Log = Sequence[Mapping[str, Any]]


class Finding(NamedTuple):
    """One violation.

    Attributes:
        kind: ``late``: an order took effect after its sender's lease had ended;
            ``inverted``: an order of an older holder took effect after one of a
            newer holder; ``overlap``: an order took effect while another was
            being executed; ``busy``: an engine rejected an order during a
            change; ``cut``: a stream was cut.
        engine_id: Id of the engine.
        detail: Description for the reader of the test.
    """

    kind: str
    engine_id: str
    detail: str


class Tenure(NamedTuple):
    """The time for which one holder held the lease, according to the service.

    Attributes:
        fencing_number: Revision that created the lease key.
        ended_unix_s: Wall clock time at which the key was deleted or created
            again; infinite if it still exists.
    """

    fencing_number: int
    ended_unix_s: float


def tenures(lease_history: Log) -> list[Tenure]:
    """Returns the tenures from the history of the lease key."""
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
    """Returns all violations.

    Args:
        order_logs: Order log of each engine, by engine id.
        lease_history: All changes of the lease key.
        late_allowed: Fencing numbers whose lease key was deleted while the
            lease was valid. Orders in transit at that time cannot be recalled,
            so they may be late. They must still not take effect after an order
            of the next holder.
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

"""Joins the wanted and the reported state of each engine."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mulberrywharf.authority.order_records import OrderRecord
from mulberrywharf.operators.order_status import order_status
from mulberrywharf.operators.status import (
    EngineStatus,
    OrderStatus,
    StatusReport,
)


class EngineLine(NamedTuple):
    """One engine: its wanted state, its reported state, and its latest order.

    Attributes:
        engine_id: The engine's VM.
        availability_zone: Empty if no node reported the engine.
        wanted: The wanted role, or empty if none is wanted.
        seen: The reported role, followed by the state unless the engine is
            ready; ``unknown`` if no node reported the engine.
        seen_age_s: Age of the engine's report, or None.
        order: The latest order to the engine, or None.
    """

    engine_id: str
    availability_zone: str
    wanted: str
    seen: str
    seen_age_s: float | None
    order: OrderStatus | None

    def differs(self) -> bool:
        """Returns whether a state is wanted and the reported one differs."""
        return self.wanted not in ("", self.seen)


def join_engines(
    reports: Sequence[StatusReport], records: Mapping[str, OrderRecord]
) -> list[EngineLine]:
    """Joins the newest report of each engine with its latest order.

    Args:
        reports: Status reports of the nodes.
        records: Latest order by engine, from the key-value service. Engines
            missing here get the order in the nodes' reports, if any.
    """
    seen: dict[str, EngineStatus] = {}
    wanted: dict[str, str] = {}
    orders: dict[str, OrderStatus] = {}
    for report in reports:
        for engine in report["engines"]:
            engine_id = engine["engine_id"]
            if _is_newer(engine, seen.get(engine_id)):
                seen[engine_id] = engine
            if role := engine.get("wanted_role"):
                wanted[engine_id] = role
            if order := engine.get("order"):
                orders[engine_id] = order
    orders |= {name: order_status(record) for name, record in records.items()}
    return [
        _engine_line(
            engine_id,
            seen.get(engine_id),
            wanted.get(engine_id),
            orders.get(engine_id),
        )
        for engine_id in sorted(seen.keys() | orders.keys())
    ]


def _engine_line(
    engine_id: str,
    status: EngineStatus | None,
    wanted: str | None,
    order: OrderStatus | None,
) -> EngineLine:
    ordered = ""
    if order is not None and order["action"] == "set-role":
        ordered = order["wanted"]
    return EngineLine(
        engine_id=engine_id,
        availability_zone=status["availability_zone"] if status else "",
        wanted=wanted or ordered,
        seen=_seen_text(status),
        seen_age_s=status["report_age_s"] if status else None,
        order=order,
    )


def _seen_text(status: EngineStatus | None) -> str:
    if status is None:
        return "unknown"
    if status["seen_state"] == "ready":
        return status["seen_role"]
    return f"{status['seen_role']} {status['seen_state']}"


def _is_newer(engine: EngineStatus, other: EngineStatus | None) -> bool:
    if other is None or other["report_age_s"] is None:
        return True
    age_s = engine["report_age_s"]
    return age_s is not None and age_s < other["report_age_s"]

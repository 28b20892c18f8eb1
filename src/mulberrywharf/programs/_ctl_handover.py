"""``mulberryctl handover``: all that the next shift must know."""

import time
from typing import NamedTuple

from result import Err

from mulberrywharf.authority.order_records import OrderRecord
from mulberrywharf.operators.client import NodeAnswer
from mulberrywharf.operators.status import EngineStatus
from mulberrywharf.programs import _ctl_show
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_nodes import (
    active_controllers,
    ask_nodes,
    explanation_lines,
    missing_lines,
    reports,
)
from mulberrywharf.programs._ctl_result import (
    CommandResult,
    ExitCode,
    error_result,
)

_LATEST_CHANGES_COUNT = 3
_LONG_IN_FLIGHT_S = 60.0


class _EngineLine(NamedTuple):
    """One engine: what is wanted of it, what is seen, and its order."""

    engine_id: str
    availability_zone: str
    wanted: str
    seen: str
    seen_age_s: float | None
    order: OrderRecord | None

    def differs(self) -> bool:
        """Tells whether what is seen is known not to be what is wanted."""
        return self.wanted not in ("", self.seen)


def run(context: Context) -> CommandResult:
    """Shows the rules, the engines and the orders in flight."""
    current = context.configuration()
    if isinstance(current, Err):
        return error_result(current.err_value)
    configuration = current.ok_value
    if configuration is None:
        return error_result(_ctl_show.no_configuration())
    orders = context.order_records()
    if isinstance(orders, Err):
        return error_result(orders.err_value)
    asked = ask_nodes(context)
    if isinstance(asked, Err):
        return error_result(asked.err_value)
    answers = asked.ok_value
    engines = _engines(answers, orders.ok_value)
    lines = [
        f"RULES: version {configuration.version}, changed "
        f"{_ctl_show.time_text(configuration.changed_unix_s)} by "
        f"{configuration.author}",
    ]
    for entry in reversed(configuration.audit[-_LATEST_CHANGES_COUNT:]):
        lines.append(f"  {_ctl_show.entry_lines(entry)[0]}")
    lines += _zone_lines(answers)
    lines += _engine_lines(engines)
    lines += _order_lines(engines, time.time())
    lines += _node_lines(answers, configuration.version)
    value = {
        "version": configuration.version,
        "changes": list(configuration.audit[-_LATEST_CHANGES_COUNT:]),
        "zones": {
            zone: report.get("rule")
            for zone, report in active_controllers(answers).items()
        },
        "engines": [_engine_value(engine) for engine in engines],
        "nodes": reports(answers),
        "not_reached": missing_lines(answers),
    }
    return CommandResult(ExitCode.OK, value, lines)


def _engines(
    answers: list[NodeAnswer], orders: dict[str, OrderRecord]
) -> list[_EngineLine]:
    """Joins the newest report of each engine with its order record."""
    seen: dict[str, EngineStatus] = {}
    wanted: dict[str, str] = {}
    for report in reports(answers):
        for engine in report["engines"]:
            engine_id = engine["engine_id"]
            if _is_newer(engine, seen.get(engine_id)):
                seen[engine_id] = engine
            if engine.get("wanted_role"):
                wanted[engine_id] = str(engine.get("wanted_role"))
    return [
        _engine_line(engine_id, seen.get(engine_id), wanted, orders)
        for engine_id in sorted(seen.keys() | orders.keys())
    ]


def _engine_line(
    engine_id: str,
    status: EngineStatus | None,
    wanted: dict[str, str],
    orders: dict[str, OrderRecord],
) -> _EngineLine:
    order = orders.get(engine_id)
    ordered = order.role if order and order.action == "set-role" else ""
    return _EngineLine(
        engine_id=engine_id,
        availability_zone=status["availability_zone"] if status else "",
        wanted=wanted.get(engine_id, ordered),
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


def _zone_lines(answers: list[NodeAnswer]) -> list[str]:
    lines = ["ZONES:"]
    controllers = active_controllers(answers)
    zones = {report["availability_zone"] for report in reports(answers)}
    for zone in sorted(zones):
        report = controllers.get(zone)
        if report is None:
            lines.append(f"  {zone}: no active controller answers")
            continue
        lines.append(f"  {zone}: controller on {report['vm_id']}")
        lines += [f"  {line}" for line in explanation_lines(report)]
    return lines


def _engine_lines(engines: list[_EngineLine]) -> list[str]:
    lines = ["ENGINES (wanted / seen):"]
    for engine in engines:
        age_s = engine.seen_age_s
        age = "never" if age_s is None else f"{age_s:.1f} s ago"
        mark = "  DIFFERS" if engine.differs() else ""
        lines.append(
            f"  {engine.availability_zone} {engine.engine_id}: "
            f"{engine.wanted or 'as it is'} / {engine.seen}, "
            f"reported {age}{mark}"
        )
    return lines


def _order_lines(engines: list[_EngineLine], now_unix_s: float) -> list[str]:
    lines = []
    for engine in engines:
        order = engine.order
        if order is None or not order.in_flight():
            continue
        age_s = now_unix_s - order.recorded_unix_s
        late = "  LONG" if age_s > _LONG_IN_FLIGHT_S else ""
        lines.append(
            f"  {engine.engine_id}: {order.action} {order.role}{order.model} "
            f"{order.phase} for {age_s:.0f} s{late}; rule {order.rule} of "
            f"version {order.config_version}: {order.reason}"
        )
    return ["ORDERS IN FLIGHT:", *(lines or ["  none"])]


def _node_lines(answers: list[NodeAnswer], version: int) -> list[str]:
    behind = [
        f"  {report['vm_id']} {report['program']} runs version "
        f"{report['config_version']}"
        for report in reports(answers)
        if report["config_version"] < version
    ]
    missing = [f"  {line}" for line in missing_lines(answers)]
    everything = f"  all {len(answers)} asked run version {version}"
    return ["NODES:", *(behind + missing or [everything])]


def _engine_value(engine: _EngineLine) -> dict[str, object]:
    order = engine.order
    value = engine._asdict() | {"differs": engine.differs()}
    value["order"] = order._asdict() if order else None
    value["in_flight"] = bool(order and order.in_flight())
    return value

"""``mulberryctl handover``: all that the next shift must know.

It has three sources that can fail independently: the configuration and the
order records, both in the key-value service, and the nodes. Shifts also change
during an outage, so the command shows what it could read and lists what it
could not.
"""

import time
from typing import NamedTuple

from result import Err

from mulberrywharf.errors import MulberryError, NotAuthorisedError, UsageError
from mulberrywharf.operators.client import NodeAnswer
from mulberrywharf.platform_service.configuration import Configuration
from mulberrywharf.programs import _ctl_show
from mulberrywharf.programs._ctl_context import Context
from mulberrywharf.programs._ctl_engines import EngineLine, join_engines
from mulberrywharf.programs._ctl_nodes import (
    NO_CONTROLLER_ADVICE,
    active_controllers,
    explanation_lines,
    missing_lines,
    query_nodes,
    reports,
)
from mulberrywharf.programs._ctl_result import (
    CommandResult,
    ExitCode,
    error_result,
)

_LATEST_CHANGES_COUNT = 3
_LONG_IN_FLIGHT_S = 60.0
_SOURCES_COUNT = 3


class _Overview(NamedTuple):
    """The data that could be read.

    Attributes:
        configuration: The configuration in force, or None if there is none
            or it could not be read.
        is_configured: False if the key-value service holds no configuration;
            True also if it could not be read.
        answers: Answers of the nodes.
        engines: Wanted and reported state of each engine, with its order.
        failures: Errors of the sources that could not be read, by source.
    """

    configuration: Configuration | None
    is_configured: bool
    answers: list[NodeAnswer]
    engines: list[EngineLine]
    failures: dict[str, MulberryError]


def run(context: Context) -> CommandResult:
    """Shows the rules, the engines and the orders in flight."""
    overview = _read_sources(context)
    # The operator can correct a wrong command line or token at once, so no
    # partial result is shown.
    for error in overview.failures.values():
        if isinstance(error, (UsageError, NotAuthorisedError)):
            return error_result(error)
    if len(overview.failures) == _SOURCES_COUNT:
        return error_result(next(iter(overview.failures.values())))
    lines = [
        *_rule_lines(overview),
        *_zone_lines(overview.answers),
        *_engine_lines(overview.engines),
        *_order_lines(overview.engines, time.time()),
        *_node_lines(overview),
        *_failure_lines(overview.failures),
    ]
    is_partial = (
        overview.failures
        or missing_lines(overview.answers)
        or _zones_without_controller(overview.answers)
    )
    code = ExitCode.INCOMPLETE if is_partial else ExitCode.OK
    return CommandResult(code, _value(overview), lines)


def _read_sources(context: Context) -> _Overview:
    failures: dict[str, MulberryError] = {}
    current = context.configuration()
    if isinstance(current, Err):
        failures["the rules"] = current.err_value
    orders = context.order_records()
    if isinstance(orders, Err):
        failures["the orders"] = orders.err_value
    queried = query_nodes(context)
    if isinstance(queried, Err):
        failures["the nodes"] = queried.err_value
    answers = queried.unwrap_or([])
    return _Overview(
        configuration=current.unwrap_or(None),
        is_configured=isinstance(current, Err) or current.ok_value is not None,
        answers=answers,
        engines=join_engines(reports(answers), orders.unwrap_or({})),
        failures=failures,
    )


def _rule_lines(overview: _Overview) -> list[str]:
    if not overview.is_configured:
        error = _ctl_show.no_configuration()
        return [f"RULES: {error.message}", f"  next: {error.advice}"]
    configuration = overview.configuration
    if configuration is None:
        return ["RULES: none could be read"]
    lines = [
        f"RULES: version {configuration.version}, changed "
        f"{_ctl_show.time_text(configuration.changed_unix_s)} by "
        f"{configuration.author}",
    ]
    for entry in reversed(configuration.audit[-_LATEST_CHANGES_COUNT:]):
        lines.append(f"  {_ctl_show.entry_lines(entry)[0]}")
    return lines


def _zone_lines(answers: list[NodeAnswer]) -> list[str]:
    lines = ["ZONES:"]
    controllers = active_controllers(answers)
    zones = {report["availability_zone"] for report in reports(answers)}
    for zone in sorted(zones):
        report = controllers.get(zone)
        if report is None:
            lines.append(f"  {zone}: no active controller answers")
            lines.append(f"    next: {NO_CONTROLLER_ADVICE}")
            continue
        lines.append(f"  {zone}: controller on {report['vm_id']}")
        lines += [f"  {line}" for line in explanation_lines(report)]
    return lines


def _zones_without_controller(answers: list[NodeAnswer]) -> set[str]:
    zones = {report["availability_zone"] for report in reports(answers)}
    return zones - active_controllers(answers).keys()


def _engine_lines(engines: list[EngineLine]) -> list[str]:
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


def _order_lines(engines: list[EngineLine], now_unix_s: float) -> list[str]:
    lines = []
    for engine in engines:
        order = engine.order
        if order is None or not order["in_flight"]:
            continue
        age_s = now_unix_s - order["recorded_unix_s"]
        late = "  LONG" if age_s > _LONG_IN_FLIGHT_S else ""
        lines.append(
            f"  {engine.engine_id}: {order['action']} {order['wanted']} "
            f"{order['phase']} for {age_s:.0f} s{late}; rule {order['rule']} "
            f"of version {order['config_version']}: {order['reason']}"
        )
    return ["ORDERS IN FLIGHT:", *(lines or ["  none known"])]


def _node_lines(overview: _Overview) -> list[str]:
    found = reports(overview.answers)
    configuration = overview.configuration
    # Without a configuration from the key-value service, the nodes are compared
    # with the highest version that any of them runs.
    versions = [report["config_version"] for report in found]
    version = configuration.version if configuration else max([0, *versions])
    behind = [
        f"  {report['vm_id']} {report['program']} runs version "
        f"{report['config_version']}, not {version}"
        for report in found
        if report["config_version"] < version
    ]
    missing = [f"  {line}" for line in missing_lines(overview.answers)]
    up_to_date = f"  all {len(found)} that answer run version {version}"
    return ["NODES:", *(behind or [up_to_date]), *missing]


def _failure_lines(failures: dict[str, MulberryError]) -> list[str]:
    if not failures:
        return []
    lines = ["NOT KNOWN:"]
    for source, error in failures.items():
        message = error.message.replace("\n", "\n    ")
        lines.append(f"  {source}: {error.code}: {message}")
        lines.append(f"    next: {error.advice}")
    return lines


def _value(overview: _Overview) -> dict[str, object]:
    configuration = overview.configuration
    audit = configuration.audit if configuration else ()
    return {
        "version": configuration.version if configuration else None,
        "changes": list(audit[-_LATEST_CHANGES_COUNT:]),
        "zones": {
            zone: report.get("rule")
            for zone, report in active_controllers(overview.answers).items()
        },
        "engines": [
            engine._asdict() | {"differs": engine.differs()}
            for engine in overview.engines
        ],
        "nodes": reports(overview.answers),
        "not_reached": missing_lines(overview.answers),
        "not_known": [
            f"{source}: {error.message}"
            for source, error in overview.failures.items()
        ],
    }

"""Invariants of orders to engines."""

import base64
import collections
import json
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from proofs import histories
from proofs.violations import Violation

_CLOCK_TOLERANCE_S = 0.01
"""Between the key-value service's log of a lapse and an engine's log."""

_CONTROLLERS_PART = "/controllers/"
_ORDERS_PART = "/orders/"
_IN_FLIGHT_PHASES = ("recorded", "draining", "sent")


def effective_orders(
    logs: Iterable[histories.EngineLog],
) -> dict[str, list[histories.OrderEntry]]:
    """Returns each engine's orders with effect, over all its lives."""
    by_engine: collections.defaultdict[str, list[histories.OrderEntry]]
    by_engine = collections.defaultdict(list)
    for log in logs:
        orders = (o for o in log["orders"] if o["effective"])
        by_engine[log["engine_id"]].extend(orders)
    for entries in by_engine.values():
        entries.sort(key=lambda o: o["unix_s"])
    return dict(by_engine)


def check_fencing(
    logs: Sequence[histories.EngineLog],
) -> Iterator[Violation]:
    """Finds orders with effect after one with a higher fencing number."""
    for engine_id, orders in effective_orders(logs).items():
        highest = 0
        for order in orders:
            if order["fencing_number"] < highest:
                detail = f"{_describe(order)} took effect after {highest}"
                yield Violation("stale-order", engine_id, detail)
            highest = max(highest, order["fencing_number"])


def check_overlap(
    logs: Sequence[histories.EngineLog],
) -> Iterator[Violation]:
    """Finds orders that took effect while another was in flight."""
    for log in logs:
        orders = [o for o in log["orders"] if o["effective"]]
        last_end_unix_s = float("-inf")
        for order in sorted(orders, key=lambda o: o["unix_s"]):
            if order["unix_s"] < last_end_unix_s:
                detail = f"{_describe(order)} came while another was in flight"
                yield Violation("overlapping-orders", log["engine_id"], detail)
            end_unix_s = order["ended_unix_s"]
            if end_unix_s is None:
                end_unix_s = float("inf")
            last_end_unix_s = max(last_end_unix_s, end_unix_s)


def check_cuts(logs: Sequence[histories.EngineLog]) -> Iterator[Violation]:
    """Finds requests that an order cut."""
    for engine_id, orders in effective_orders(logs).items():
        for order in orders:
            if order["cut_request_ids"]:
                detail = f"{_describe(order)} cut {order['cut_request_ids']}"
                yield Violation("cut-by-order", engine_id, detail)


def check_authority(
    logs: Sequence[histories.EngineLog],
    writes: Sequence[histories.KeyValueWrite],
    early_ended: Iterable[int] = (),
) -> Iterator[Violation]:
    """Finds orders with effect outside the time of their lease.

    Args:
        logs: The engines'.
        writes: The key-value service's; a lease's time is from the creation
            of a controllers' key to its deletion, its fencing number the
            revision of the creation.
        early_ended: Fencing numbers whose lease ended before its time. Bytes
            on their way can't be recalled then; ``check_fencing`` still
            holds for them.
    """
    tenures = _tenures(writes)
    excused = frozenset(early_ended)
    for engine_id, orders in effective_orders(logs).items():
        for order in orders:
            number = order["fencing_number"]
            if number not in tenures:
                detail = f"{_describe(order)}: no lease has that number"
                yield Violation("order-without-authority", engine_id, detail)
                continue
            began_unix_s, ended_unix_s = tenures[number]
            late_s = order["unix_s"] - ended_unix_s
            early_s = began_unix_s - order["unix_s"]
            if early_s > _CLOCK_TOLERANCE_S:
                detail = f"{_describe(order)}, {early_s:.3f} s before its lease"
                yield Violation("order-without-authority", engine_id, detail)
            if late_s > _CLOCK_TOLERANCE_S and number not in excused:
                detail = f"{_describe(order)}, {late_s:.3f} s after its lease"
                yield Violation("order-without-authority", engine_id, detail)


def check_recorded_first(
    logs: Sequence[histories.EngineLog],
    writes: Sequence[histories.KeyValueWrite],
) -> Iterator[Violation]:
    """Finds orders with effect that no earlier write had recorded."""
    recorded_unix_s = _first_recorded(writes)
    for engine_id, orders in effective_orders(logs).items():
        for order in orders:
            first_unix_s = recorded_unix_s.get((engine_id, order["order_id"]))
            if first_unix_s is None:
                detail = f"{_describe(order)} was never recorded"
                yield Violation("unrecorded-order", engine_id, detail)
            elif first_unix_s > order["unix_s"]:
                late_s = first_unix_s - order["unix_s"]
                detail = f"{_describe(order)} was recorded {late_s:.3f} s later"
                yield Violation("unrecorded-order", engine_id, detail)


def check_final_state(history: histories.History) -> Iterator[Violation]:
    """Finds engines that end otherwise than wanted, and half-done orders."""
    final = history.get("final", {})
    for engine_id, wanted in history.get("wanted", {}).items():
        if engine_id not in final:
            yield Violation("unwanted-state", engine_id, "gave no last report")
            continue
        for name, value, seen in _differences(wanted, final[engine_id]):
            detail = f"{name} is {seen!r}, wanted {value!r}"
            yield Violation("unwanted-state", engine_id, detail)
    if not final:
        return
    for engine_id, record in _last_records(history.get("key_value_writes", [])):
        if record["phase"] in _IN_FLIGHT_PHASES:
            detail = f"order {record['order_id']} ends as {record['phase']}"
            yield Violation("half-done-order", engine_id, detail)


def _tenures(
    writes: Sequence[histories.KeyValueWrite],
) -> dict[int, tuple[float, float]]:
    held: dict[str, int] = {}
    tenures: dict[int, tuple[float, float]] = {}
    for write in writes:
        key = write["key"]
        if _CONTROLLERS_PART not in key:
            continue
        if write["type"] == "DELETE":
            number = held.pop(key, None)
            if number is not None:
                tenures[number] = (tenures[number][0], write["unix_s"])
        elif key not in held:
            held[key] = write["revision"]
            tenures[write["revision"]] = (write["unix_s"], float("inf"))
    return tenures


def _first_recorded(
    writes: Sequence[histories.KeyValueWrite],
) -> dict[tuple[str, str], float]:
    first: dict[tuple[str, str], float] = {}
    for write in writes:
        for engine_id, record in _records(write).items():
            for order_id in _recorded_order_ids(record):
                first.setdefault((engine_id, order_id), write["unix_s"])
    return first


def _recorded_order_ids(record: dict[str, Any]) -> list[str]:
    """Returns the ids that a record entitles to send.

    While it drains, that is also the id of this drain, which names the
    instant of the record: a drain of another instant was not recorded.
    """
    order_id = record["order_id"]
    if record["phase"] != "draining":
        return [order_id]
    recorded_ms = round(record["recorded_unix_s"] * 1000)
    return [order_id, f"{order_id}/drain/{recorded_ms}"]


def _last_records(
    writes: Sequence[histories.KeyValueWrite],
) -> list[tuple[str, Any]]:
    last = {}
    for write in writes:
        if _ORDERS_PART in write["key"]:
            last[write["key"]] = _records(write)
    return [pair for records in last.values() for pair in records.items()]


def _records(write: histories.KeyValueWrite) -> dict[str, Any]:
    if write["type"] == "DELETE" or _ORDERS_PART not in write["key"]:
        return {}
    records = json.loads(base64.b64decode(write["value"]))["records"]
    return dict(records)


def _differences(
    wanted: histories.WantedEngine, seen: histories.FinalEngine
) -> Iterator[tuple[str, str, object]]:
    for name in ("role", "state", "version"):
        value = wanted.get(name)
        if value is not None and seen[name] != value:
            yield name, str(value), seen[name]
    if "model" in wanted and wanted["model"] not in seen["models"]:
        yield "model", wanted["model"], seen["models"]
    if "adapter" in wanted and wanted["adapter"] not in seen["adapters"]:
        yield "adapter", wanted["adapter"], seen["adapters"]


def _describe(order: histories.OrderEntry) -> str:
    return (
        f"{order['action']} {order['order_id']} of {order['fencing_number']}"
        f" at {order['unix_s']:.3f}"
    )

"""Order records of a zone, stored as one value in the key-value service.

All engines of a zone share one value, so the number of writes grows with the
number of zones, not of engines. An order is recorded before it is sent, so the
zone's next lease holder finds here which orders may be partly executed.
"""

import json
from collections.abc import Collection
from typing import Annotated, Any, Literal, NamedTuple

import orjson
import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import errors
from mulberrywharf.engines import orders

OrderPhase = Literal["recorded", "draining", "sent", "applied", "failed"]
"""Phase of an order.

``recorded``: nothing was sent yet. ``draining``: routers send the engine no new
work, and the engine may have been told to drain. ``sent``: the order itself may
have been sent. ``applied`` and ``failed`` are final.
"""

_REMOVED_ENGINE_RETENTION_S = 86_400.0

IN_FLIGHT_PHASES: frozenset[OrderPhase] = frozenset(
    ("recorded", "draining", "sent")
)


_UnixTime = Annotated[
    float, pydantic.Field(ge=0.0, le=2.0**53, allow_inf_nan=False)
]


class OrderRecordFields(TypedDict):
    """One record as JSON; fields as in ``OrderRecord``."""

    order_id: str
    rule: str
    config_version: int
    fencing_number: int
    action: orders.OrderAction
    role: str
    model: str
    adapter: str
    version: str
    phase: OrderPhase
    recorded_unix_s: _UnixTime
    reason: str


class OrderRecord(NamedTuple):
    """The latest order of one engine.

    Attributes:
        order_id: Unique id; the engine reports the last one that it applied.
        rule: Name of the rule that caused the order.
        config_version: Version of the configuration that contains the rule.
        fencing_number: Fencing number of the lease under which the order was
            last recorded. This is the revision of the lease key, without an
            era as in ``duty_holder``.
        action: What the engine is to do.
        role: Role of the engine after the order. It is sent only with
            ``set-role``. Other actions record it so that the role can be
            restored if the engine loses it in a crash.
        model: Model to load, for ``load-model``.
        adapter: Adapter to load, for ``load-model``, or empty.
        version: Version of the weights, for ``load-model``, or empty.
        phase: Phase of the order.
        recorded_unix_s: Wall clock time at which this phase was recorded.
        reason: Why it was ordered, for operators.
    """

    order_id: str
    rule: str
    config_version: int
    fencing_number: int
    action: orders.OrderAction
    role: str = ""
    model: str = ""
    adapter: str = ""
    version: str = ""
    phase: OrderPhase = "recorded"
    recorded_unix_s: float = 0.0
    reason: str = ""

    def in_flight(self) -> bool:
        """Tells whether the order is not in a final phase yet."""
        return self.phase in IN_FLIGHT_PHASES

    def order(self, fencing_number: int) -> orders.Order:
        """Returns the order to send under a lease."""
        return orders.Order(
            order_id=self.order_id,
            fencing_number=fencing_number,
            action=self.action,
            role=self.role if self.action == "set-role" else "",
            model=self.model,
            adapter=self.adapter,
            version=self.version,
        )

    def drain_order_id(self) -> str:
        """Returns the id of the order that drains the engine first.

        The id changes each time the phase is recorded. An engine ignores an id
        that it has seen, so this allows draining again after it has resumed
        work.
        """
        return f"{self.order_id}/drain/{round(self.recorded_unix_s * 1000)}"

    def awaited_order_id(self) -> str:
        """Returns the id of the order that is sent in this phase."""
        if self.phase == "draining":
            return self.drain_order_id()
        return self.order_id

    def drain_order(self, fencing_number: int) -> orders.Order:
        """Returns the order that tells the engine to drain first."""
        return orders.Order(
            order_id=self.drain_order_id(),
            fencing_number=fencing_number,
            action="drain",
        )


class HolderFields(TypedDict):
    """The holder that last wrote the records, as JSON.

    Attributes:
        vm_id: Entry VM of the holder.
        fencing_number: Fencing number of its lease.
        settled: True if it has released the lease when all its orders were in
            a final phase, so that none of them can still arrive.
    """

    vm_id: str
    fencing_number: int
    settled: bool


class ZoneRecordsFields(TypedDict):
    """The stored value of a zone, as JSON."""

    write_id: str
    holder: HolderFields
    records: dict[str, OrderRecordFields]


_TYPE_ADAPTER = pydantic.TypeAdapter(ZoneRecordsFields)


class Holder(NamedTuple):
    """The lease holder that last wrote the records.

    The fields are those of ``HolderFields``.
    """

    vm_id: str
    fencing_number: int
    settled: bool


class ZoneRecords(NamedTuple):
    """The latest order of each engine, and the holder that wrote them.

    Attributes:
        holder: The writer, or None if the value does not exist yet.
        records: Order records by engine id.
    """

    holder: Holder | None
    records: dict[str, OrderRecord]

    def without_removed_engines(
        self, engine_ids: Collection[str], now_unix_s: float
    ) -> "ZoneRecords":
        """Returns these records without those of engines removed long ago.

        VMs are replaced daily, and all records share one value of limited size.
        The VM list may lag, so a record is kept for a day after it was written
        even if the list does not contain its engine.

        Args:
            engine_ids: Engines in the VM list.
            now_unix_s: Wall clock time.
        """
        kept_from_unix_s = now_unix_s - _REMOVED_ENGINE_RETENTION_S
        kept = {
            engine_id: record
            for engine_id, record in self.records.items()
            if engine_id in engine_ids
            or record.recorded_unix_s > kept_from_unix_s
        }
        return ZoneRecords(self.holder, kept)

    def drained_engine_ids(self) -> frozenset[str]:
        """Returns the engines to which routers send no new work."""
        return frozenset(
            engine_id
            for engine_id, record in self.records.items()
            if _blocks_new_work(record)
        )


def _blocks_new_work(record: OrderRecord) -> bool:
    if record.action == "resume":
        return False
    if record.action == "drain":
        return record.phase != "failed"
    return record.phase in ("draining", "sent")


EMPTY = ZoneRecords(None, {})


def encode(zone_records: ZoneRecords, write_id: str) -> bytes:
    """Encodes records for storage.

    Args:
        zone_records: Records, with the holder set.
        write_id: Unique id of this write. If the response to the write is lost,
            the id tells whether the stored value is this one.
    """
    assert zone_records.holder is not None
    fields = {
        "write_id": write_id,
        "holder": zone_records.holder._asdict(),
        "records": {
            engine_id: record._asdict()
            for engine_id, record in zone_records.records.items()
        },
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(value: bytes) -> Result[ZoneRecords, errors.OrderRecordsError]:
    """Decodes a stored value."""
    fields = _parse(value)
    if isinstance(fields, Err):
        return fields
    holder = Holder(**fields.ok_value["holder"])
    records = {
        engine_id: OrderRecord(**record)
        for engine_id, record in fields.ok_value["records"].items()
    }
    return Ok(ZoneRecords(holder, records))


def write_id_of(value: bytes) -> str:
    """Returns the id of the write that stored a value, or an empty string."""
    fields = _parse(value)
    return "" if isinstance(fields, Err) else fields.ok_value["write_id"]


def _parse(
    value: bytes,
) -> Result[ZoneRecordsFields, errors.OrderRecordsError]:
    try:
        document: Any = orjson.loads(value)
        return Ok(_TYPE_ADAPTER.validate_python(document))
    except ValueError as error:
        return Err(
            errors.OrderRecordsError(
                f"cannot decode the order records: {error}",
                advice="Run mulberryctl handover to see what can be read.",
            )
        )

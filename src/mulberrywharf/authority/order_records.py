"""The zone's order records: one value in the key-value service.

All engines of a zone share one value, so that writes grow with the zones and
not with the engines. An order is recorded before it is sent; whoever holds
the zone's lease next finds here what may be half done.
"""

import json
from collections.abc import Collection
from typing import Any, Literal, NamedTuple

import pydantic
from result import Err, Ok, Result
from typing_extensions import TypedDict

from mulberrywharf import errors
from mulberrywharf.engines import orders

OrderPhase = Literal["recorded", "draining", "sent", "applied", "failed"]
"""``recorded``: nothing left. ``draining``: routers stop new work and the
engine was told to. ``sent``: the order itself may have left. ``applied`` and
``failed`` are final."""

_GONE_KEPT_S = 86_400.0

IN_FLIGHT_PHASES: frozenset[OrderPhase] = frozenset(
    ("recorded", "draining", "sent")
)


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
    recorded_unix_s: float
    reason: str


class OrderRecord(NamedTuple):
    """The latest order of one engine.

    Attributes:
        order_id: Unique; the engine reports the last one that it applied.
        rule: Name of the rule that the order follows from.
        config_version: Version of the configuration that holds the rule.
        fencing_number: Of the lease under which it was last recorded.
        action: What the engine shall do.
        role: Role that the engine is to have after it. Sent only with
            ``set-role``; other actions carry it along, so that an engine
            which loses its role in a crash can be given it back.
        model: For ``load-model``.
        adapter: For ``load-model``, or empty.
        version: For ``load-model``, or empty.
        phase: How far it is.
        recorded_unix_s: When this phase was recorded.
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
        """Tells whether the order is not settled yet."""
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
        """Returns the id under which the engine is told to drain first.

        It changes with each time that the phase is recorded, so that an
        engine that took up work again in between can be drained anew.
        """
        return f"{self.order_id}/drain/{round(self.recorded_unix_s * 1000)}"

    def awaited_order_id(self) -> str:
        """Returns the id that was sent, or is to be sent, in this phase."""
        if self.phase == "draining":
            return self.drain_order_id()
        return self.order_id

    def drain_order(self, fencing_number: int) -> orders.Order:
        """Returns the order that makes the engine finish its work first."""
        return orders.Order(
            order_id=self.drain_order_id(),
            fencing_number=fencing_number,
            action="drain",
        )


class HolderFields(TypedDict):
    """Who last wrote the records, as JSON.

    Attributes:
        vm_id: Its entry VM.
        fencing_number: Of its lease.
        settled: True once it has ended with every order of its own settled,
            so that none of its bytes can still arrive.
    """

    vm_id: str
    fencing_number: int
    settled: bool


class ZoneRecordsFields(TypedDict):
    """The zone's value as JSON."""

    write_id: str
    holder: HolderFields
    records: dict[str, OrderRecordFields]


_ADAPTER = pydantic.TypeAdapter(ZoneRecordsFields)


class Holder(NamedTuple):
    """Who last wrote the records; fields as in ``HolderFields``."""

    vm_id: str
    fencing_number: int
    settled: bool


class ZoneRecords(NamedTuple):
    """Every engine's latest order, and who wrote them.

    Attributes:
        holder: The writer, or None while the value doesn't exist.
        records: By engine id.
    """

    holder: Holder | None
    records: dict[str, OrderRecord]

    def without_gone(
        self, engine_ids: Collection[str], now_unix_s: float
    ) -> "ZoneRecords":
        """Returns these records without those of engines long gone.

        VMs are replaced daily and all records share one value of limited
        size. The VM list lags, so a record outlives its engine for a day.

        Args:
            engine_ids: Engines that the VM list names.
            now_unix_s: Wall clock.
        """
        kept_from_unix_s = now_unix_s - _GONE_KEPT_S
        kept = {
            engine_id: record
            for engine_id, record in self.records.items()
            if engine_id in engine_ids
            or record.recorded_unix_s > kept_from_unix_s
        }
        return ZoneRecords(self.holder, kept)

    def drained_engine_ids(self) -> frozenset[str]:
        """Returns the engines that routers give no new work."""
        return frozenset(
            engine_id
            for engine_id, record in self.records.items()
            if _keeps_work_away(record)
        )


def _keeps_work_away(record: OrderRecord) -> bool:
    if record.action == "resume":
        return False
    if record.action == "drain":
        return record.phase != "failed"
    return record.phase in ("draining", "sent")


EMPTY = ZoneRecords(None, {})


def encode(zone_records: ZoneRecords, write_id: str) -> bytes:
    """Returns the value to store.

    Args:
        zone_records: With its holder set.
        write_id: Unique name of this write; read back when the write's
            answer was lost.
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
    """Reads a stored value."""
    fields = _checked(value)
    if isinstance(fields, Err):
        return fields
    holder = Holder(**fields.ok_value["holder"])
    records = {
        engine_id: OrderRecord(**record)
        for engine_id, record in fields.ok_value["records"].items()
    }
    return Ok(ZoneRecords(holder, records))


def write_id_of(value: bytes) -> str:
    """Returns the name of the write that stored the value, or empty."""
    fields = _checked(value)
    return "" if isinstance(fields, Err) else fields.ok_value["write_id"]


def _checked(
    value: bytes,
) -> Result[ZoneRecordsFields, errors.OrderRecordsError]:
    try:
        document: Any = json.loads(value)
        return Ok(_ADAPTER.validate_python(document))
    except ValueError as error:
        return Err(
            errors.OrderRecordsError(
                f"order records: {error}",
                advice="Look at the value with mulberrywharf's handover page.",
            )
        )

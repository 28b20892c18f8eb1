"""Reads and writes the zone's order records under the lease."""

from collections.abc import Collection, Mapping

from result import Err, Ok, Result

from mulberrywharf import clock as clocks
from mulberrywharf import metrics
from mulberrywharf.authority import order_records, record_store, takeover_delay
from mulberrywharf.operators import audit
from mulberrywharf.programs import _controller_lease, _controller_options

_ROLE_CHANGES_KEPT_COUNT = 200

_role_changes = metrics.counter(
    "mulberry_controller_role_changes_total",
    "Role changes that engines have carried out.",
)


class ZoneRecords:
    """Takes over the zone's order records for a lease, then updates them.

    Attributes:
        takeover: When the lease was acquired, and whether orders of the
            predecessor may still arrive.
        change_ends_unix_s: Wall-clock times at which recent role changes
            ended.
    """

    def __init__(
        self,
        options: _controller_options.ZoneOptions,
        store: record_store.RecordStore,
        clock: clocks.Clock,
        audit_log: audit.AuditLog,
    ):
        self._options = options
        self._store = store
        self._clock = clock
        self._audit = audit_log
        self._held: _controller_lease.HeldLease | None = None
        self.takeover = takeover_delay.Takeover(0.0, True)
        self.change_ends_unix_s: tuple[float, ...] = ()

    @property
    def by_engine(self) -> Mapping[str, order_records.OrderRecord]:
        """The latest order of each engine that has one."""
        return self._store.zone_records.records

    def claim(
        self, held: _controller_lease.HeldLease
    ) -> Result[None, record_store.StoreError]:
        """Takes over the records, once for each lease.

        The first write under a lease changes the revision of the records. From
        then on the service refuses a write that an earlier holder still has in
        flight.
        """
        if self._held is held and not self._store.must_load:
            return Ok(None)
        loaded = self._store.load()
        if isinstance(loaded, Err):
            return loaded
        if self._held is held:
            return Ok(None)
        predecessor = loaded.ok_value.holder
        claimed = self._write(held, loaded.ok_value.records, settled=False)
        if isinstance(claimed, Err):
            return claimed
        self._held = held
        self.takeover = takeover_delay.Takeover(
            acquired_s=held.acquired_s,
            predecessor_unsettled=(
                predecessor is not None and not predecessor.settled
            ),
        )
        return Ok(None)

    def store_changes(
        self,
        held: _controller_lease.HeldLease,
        changed: Mapping[str, order_records.OrderRecord],
        engine_ids: Collection[str],
    ) -> Result[None, record_store.StoreError]:
        """Stores all changed records in one write.

        Args:
            held: The lease under which they were changed.
            changed: The changed records, by engine id.
            engine_ids: Engines in the VM list.
        """
        if not changed:
            return Ok(None)
        before = self._store.zone_records.without_removed_engines(
            engine_ids, self._clock.unix_s()
        ).records
        written = self._write(held, {**before, **changed}, settled=False)
        if isinstance(written, Ok):
            for engine_id, record in changed.items():
                self._report_change(engine_id, before.get(engine_id), record)
        return written

    def mark_failed(
        self,
        held: _controller_lease.HeldLease,
        engine_id: str,
        order_id: str,
        reason: str,
    ) -> Result[None, record_store.StoreError]:
        """Marks an order as failed that the engine will never carry out."""
        record = self.by_engine.get(engine_id)
        if record is None or record.order_id != order_id:
            return Ok(None)
        failed = record._replace(phase="failed", reason=reason)
        return self.store_changes(
            held, {engine_id: failed}, self.by_engine.keys()
        )

    def mark_settled(self, held: _controller_lease.HeldLease) -> None:
        """Records for the next holder that no order can still arrive.

        The caller ensures this for its own orders. Those of its predecessor
        may still arrive until the takeover delay has ended.
        """
        if self._held is not held:
            return
        if self._options.delay_after_takeover.has_ended(
            self.takeover, self._clock.monotonic_s()
        ):
            self._write(held, self.by_engine, settled=True)

    def _write(
        self,
        held: _controller_lease.HeldLease,
        records: Mapping[str, order_records.OrderRecord],
        *,
        settled: bool,
    ) -> Result[None, record_store.StoreError]:
        holder = order_records.Holder(
            self._options.vm_id, held.fencing_number, settled
        )
        zone_records = order_records.ZoneRecords(holder, dict(records))
        return self._store.write(zone_records, held.lease_key())

    def _report_change(
        self,
        engine_id: str,
        before: order_records.OrderRecord | None,
        record: order_records.OrderRecord,
    ) -> None:
        self._audit.record(
            audit.OrderChanged(
                engine_id,
                record.order_id,
                f"{record.action} {record.model or record.role}",
                record.phase,
                record.fencing_number,
                record.reason,
            )
        )
        if record.phase != "applied" or record.action != "set-role":
            return
        if before is not None and before.phase == "applied":
            return
        _role_changes.inc({"role": record.role})
        ends = (*self.change_ends_unix_s, record.recorded_unix_s)
        self.change_ends_unix_s = ends[-_ROLE_CHANGES_KEPT_COUNT:]

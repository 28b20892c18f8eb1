"""Audit trail: writes each state change to the log and keeps it for /status.

The VMs have no disks, so the trail is kept in memory, is bounded, and is lost
when the process ends. Permanent records are kept elsewhere: configuration
changes in the stored configuration, orders in the order records of the zone,
and log lines where the platform collects them.
"""

from collections import deque
from functools import singledispatch
from typing import NamedTuple

from loguru import logger
from typing_extensions import TypedDict

from mulberrywharf.clock import Clock

DEFAULT_LIMIT_COUNT = 200


class AuditRecord(TypedDict):
    """One state change as /status shows it.

    Attributes:
        at_unix_s: Unix time at which this process saw or made the change.
        kind: Kind of change, such as ``order``.
        subject: What changed, such as an engine.
        detail: The new state.
        reason: Reason for the change.
    """

    at_unix_s: float
    kind: str
    subject: str
    detail: str
    reason: str


class ConfigurationActivated(NamedTuple):
    """This process now uses another version of the configuration."""

    version: int
    author: str
    change_id: str


class OrderChanged(NamedTuple):
    """An order was recorded or entered another phase."""

    engine_id: str
    order_id: str
    action: str
    phase: str
    fencing_number: int
    reason: str


class RoleChanged(NamedTuple):
    """An engine reports a different role than before."""

    engine_id: str
    before: str
    after: str


class DrainStarted(NamedTuple):
    """A process or an engine gets no new work from now on."""

    subject: str
    reason: str


class LeaseAcquired(NamedTuple):
    """This process acquired a lease and may now act as its holder."""

    lease: str
    fencing_number: int


class LeaseLost(NamedTuple):
    """This process lost a lease and must no longer act as its holder."""

    lease: str
    fencing_number: int
    reason: str


AuditEvent = (
    ConfigurationActivated
    | OrderChanged
    | RoleChanged
    | DrainStarted
    | LeaseAcquired
    | LeaseLost
)


class AuditLog:
    """The audit trail of one process.

    Writes each event to the process's log, as a structured log line, and keeps
    the latest ones in memory.
    """

    def __init__(self, clock: Clock, *, limit_count: int = DEFAULT_LIMIT_COUNT):
        self._clock = clock
        self._latest_records: deque[AuditRecord] = deque(maxlen=limit_count)

    def record(self, event: AuditEvent) -> None:
        """Logs an event and adds it to the trail."""
        kind, subject, detail, reason = _record_parts(event)
        audit_record = AuditRecord(
            at_unix_s=self._clock.unix_s(),
            kind=kind,
            subject=subject,
            detail=detail,
            reason=reason,
        )
        self._latest_records.append(audit_record)
        logger.bind(audit=audit_record).info("{}: {} {}", kind, subject, detail)

    def latest_records(self) -> list[AuditRecord]:
        """Returns the latest records, oldest first."""
        return list(self._latest_records)


class _RecordParts(NamedTuple):
    kind: str
    subject: str
    detail: str
    reason: str


@singledispatch
def _record_parts(event: object) -> _RecordParts:
    raise TypeError(f"{type(event).__name__} is not an audit event")


@_record_parts.register
def _(event: ConfigurationActivated) -> _RecordParts:
    return _RecordParts(
        "configuration",
        f"version {event.version}",
        f"change {event.change_id}",
        f"written by {event.author}",
    )


@_record_parts.register
def _(event: OrderChanged) -> _RecordParts:
    return _RecordParts(
        "order",
        event.engine_id,
        f"{event.action} {event.phase}, order {event.order_id}, "
        f"fencing number {event.fencing_number}",
        event.reason,
    )


@_record_parts.register
def _(event: RoleChanged) -> _RecordParts:
    return _RecordParts(
        "role-change",
        event.engine_id,
        f"{event.before} to {event.after}",
        "reported by the engine",
    )


@_record_parts.register
def _(event: DrainStarted) -> _RecordParts:
    return _RecordParts("drain", event.subject, "no new work", event.reason)


@_record_parts.register
def _(event: LeaseAcquired) -> _RecordParts:
    return _RecordParts(
        "lease-taken",
        event.lease,
        f"fencing number {event.fencing_number}",
        "",
    )


@_record_parts.register
def _(event: LeaseLost) -> _RecordParts:
    return _RecordParts(
        "lease-lost",
        event.lease,
        f"fencing number {event.fencing_number}",
        event.reason,
    )

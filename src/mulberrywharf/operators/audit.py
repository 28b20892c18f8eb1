"""Audit trail: records each state change as a log line and for /status.

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


class AuditLine(TypedDict):
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
    """Writes each event as a structured log line and keeps the latest ones."""

    def __init__(self, clock: Clock, *, limit_count: int = DEFAULT_LIMIT_COUNT):
        self._clock = clock
        self._lines: deque[AuditLine] = deque(maxlen=limit_count)

    def record(self, event: AuditEvent) -> None:
        """Logs an event and adds it to the trail."""
        kind, subject, detail, reason = _line_parts(event)
        line = AuditLine(
            at_unix_s=self._clock.unix_s(),
            kind=kind,
            subject=subject,
            detail=detail,
            reason=reason,
        )
        self._lines.append(line)
        logger.bind(audit=line).info("{}: {} {}", kind, subject, detail)

    def lines(self) -> list[AuditLine]:
        """Returns the latest lines, oldest first."""
        return list(self._lines)


class _LineParts(NamedTuple):
    kind: str
    subject: str
    detail: str
    reason: str


@singledispatch
def _line_parts(event: object) -> _LineParts:
    raise TypeError(f"{type(event).__name__} is not an audit event")


@_line_parts.register
def _(event: ConfigurationActivated) -> _LineParts:
    return _LineParts(
        "configuration",
        f"version {event.version}",
        f"change {event.change_id}",
        f"written by {event.author}",
    )


@_line_parts.register
def _(event: OrderChanged) -> _LineParts:
    return _LineParts(
        "order",
        event.engine_id,
        f"{event.action} {event.phase}, order {event.order_id}, "
        f"fencing number {event.fencing_number}",
        event.reason,
    )


@_line_parts.register
def _(event: RoleChanged) -> _LineParts:
    return _LineParts(
        "role-change",
        event.engine_id,
        f"{event.before} to {event.after}",
        "reported by the engine",
    )


@_line_parts.register
def _(event: DrainStarted) -> _LineParts:
    return _LineParts("drain", event.subject, "no new work", event.reason)


@_line_parts.register
def _(event: LeaseAcquired) -> _LineParts:
    return _LineParts(
        "lease-taken",
        event.lease,
        f"fencing number {event.fencing_number}",
        "",
    )


@_line_parts.register
def _(event: LeaseLost) -> _LineParts:
    return _LineParts(
        "lease-lost",
        event.lease,
        f"fencing number {event.fencing_number}",
        event.reason,
    )

"""The audit trail: each change of state, as a log line and in /status.

The VMs have no disks, so the trail in memory is bounded and dies with the
process. What must last is elsewhere: changes of the configuration are in the
configuration's own value, orders in the zone's order records, and the log
lines go wherever the platform collects them.
"""

from collections import deque
from functools import singledispatch
from typing import NamedTuple

from loguru import logger
from typing_extensions import TypedDict

from mulberrywharf.clock import Clock

LIMIT_COUNT = 200


class AuditLine(TypedDict):
    """One change of state as /status shows it.

    Attributes:
        at_unix_s: When this process saw or made the change.
        kind: What kind of change, such as ``order``.
        subject: What changed, such as an engine.
        detail: What it changed to.
        reason: Why.
    """

    at_unix_s: float
    kind: str
    subject: str
    detail: str
    reason: str


class ConfigurationInForce(NamedTuple):
    """This process now runs another version of the configuration."""

    version: int
    author: str
    change_id: str


class OrderChanged(NamedTuple):
    """An order was recorded or reached another phase."""

    engine_id: str
    order_id: str
    action: str
    phase: str
    fencing_number: int
    reason: str


class RoleChanged(NamedTuple):
    """An engine reports another role than before."""

    engine_id: str
    before: str
    after: str


class DrainBegan(NamedTuple):
    """A process or an engine gets no new work from now on."""

    subject: str
    reason: str


class LeaseTaken(NamedTuple):
    """This process may act for others from now on."""

    lease: str
    fencing_number: int


class LeaseLost(NamedTuple):
    """This process may no longer act for others."""

    lease: str
    fencing_number: int
    reason: str


AuditEvent = (
    ConfigurationInForce
    | OrderChanged
    | RoleChanged
    | DrainBegan
    | LeaseTaken
    | LeaseLost
)


class AuditLog:
    """Writes each event as a structured log line and keeps the latest."""

    def __init__(self, clock: Clock, *, limit_count: int = LIMIT_COUNT):
        self._clock = clock
        self._lines: deque[AuditLine] = deque(maxlen=limit_count)

    def record(self, event: AuditEvent) -> None:
        """Adds an event to the trail."""
        kind, subject, detail, reason = _parts(event)
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


class _Parts(NamedTuple):
    kind: str
    subject: str
    detail: str
    reason: str


@singledispatch
def _parts(event: object) -> _Parts:
    raise TypeError(f"{type(event).__name__} is not an audit event")


@_parts.register
def _(event: ConfigurationInForce) -> _Parts:
    return _Parts(
        "configuration",
        f"version {event.version}",
        f"change {event.change_id}",
        f"written by {event.author}",
    )


@_parts.register
def _(event: OrderChanged) -> _Parts:
    return _Parts(
        "order",
        event.engine_id,
        f"{event.action} {event.phase}, order {event.order_id}, "
        f"fencing number {event.fencing_number}",
        event.reason,
    )


@_parts.register
def _(event: RoleChanged) -> _Parts:
    return _Parts(
        "role-change",
        event.engine_id,
        f"{event.before} to {event.after}",
        "reported by the engine",
    )


@_parts.register
def _(event: DrainBegan) -> _Parts:
    return _Parts("drain", event.subject, "no new work", event.reason)


@_parts.register
def _(event: LeaseTaken) -> _Parts:
    return _Parts(
        "lease-taken",
        event.lease,
        f"fencing number {event.fencing_number}",
        "",
    )


@_parts.register
def _(event: LeaseLost) -> _Parts:
    return _Parts(
        "lease-lost",
        event.lease,
        f"fencing number {event.fencing_number}",
        event.reason,
    )

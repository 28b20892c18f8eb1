"""What to record and what to send after a finding about an engine."""

import functools
from typing import NamedTuple

from mulberrywharf.authority import findings, order_records

OrderRecord = order_records.OrderRecord


class Step(NamedTuple):
    """What follows from a finding.

    Attributes:
        record: The record to store first, or None.
        sends_drain: Whether the engine is then told to drain.
        sends_order: Whether the record's order is then sent.
        planned: Whether it starts a planned change, which is paced.
    """

    record: OrderRecord | None = None
    sends_drain: bool = False
    sends_order: bool = False
    planned: bool = False


class StepContext(NamedTuple):
    """What a step needs besides the finding.

    Attributes:
        fencing_number: Of the lease.
        new_order_id: Unused so far; taken when a new order is recorded.
        now_unix_s: Wall clock.
    """

    fencing_number: int
    new_order_id: str
    now_unix_s: float


@functools.singledispatch
def next_step(finding: object, context: StepContext) -> Step:
    """Returns what to record and what to send after a finding."""
    raise TypeError(f"not a finding: {finding!r}")


@next_step.register(findings.InOrder)
@next_step.register(findings.Unseen)
@next_step.register(findings.Waiting)
def _nothing(finding: object, context: StepContext) -> Step:
    return Step()


@next_step.register
def _applied(finding: findings.Applied, context: StepContext) -> Step:
    return Step(_moved(finding.record, "applied", context))


@next_step.register
def _broken(finding: findings.Broken, context: StepContext) -> Step:
    record = finding.record._replace(reason="the engine failed in the change")
    return Step(_moved(record, "failed", context))


@next_step.register
def _undrained(finding: findings.Undrained, context: StepContext) -> Step:
    record = _moved(finding.record, "draining", context)
    return Step(record, sends_drain=True)


@next_step.register
def _superseded(finding: findings.Superseded, context: StepContext) -> Step:
    # Without its role the record no longer says what the engine is to be.
    record = finding.record._replace(
        role="", reason="dropped before it was carried out"
    )
    return Step(_moved(record, "failed", context))


@next_step.register
def _unfinished(finding: findings.Unfinished, context: StepContext) -> Step:
    record = finding.record
    if record.phase == "draining" and not finding.idle:
        taken_over = _under_own_lease(record, context)
        return Step(taken_over, sends_drain=not finding.draining)
    if record.phase == "sent":
        return Step(_under_own_lease(record, context), sends_order=True)
    return Step(_moved(record, "sent", context), sends_order=True)


@next_step.register
def _astray(finding: findings.Astray, context: StepContext) -> Step:
    wanted = finding.wanted
    loads = finding.action == "load-model"
    record = OrderRecord(
        order_id=context.new_order_id,
        rule=wanted.rule,
        config_version=wanted.config_version,
        fencing_number=context.fencing_number,
        action=finding.action,
        role=wanted.role,
        model=wanted.model if loads else "",
        adapter=wanted.adapter if loads else "",
        version=wanted.version if loads else "",
        phase="draining" if finding.needs_drain else "sent",
        recorded_unix_s=context.now_unix_s,
        reason=wanted.reason,
    )
    return Step(
        record,
        sends_drain=finding.needs_drain,
        sends_order=not finding.needs_drain,
        planned=finding.needs_drain,
    )


def _moved(
    record: OrderRecord,
    phase: order_records.OrderPhase,
    context: StepContext,
) -> OrderRecord:
    return record._replace(
        phase=phase,
        fencing_number=context.fencing_number,
        recorded_unix_s=context.now_unix_s,
    )


def _under_own_lease(
    record: OrderRecord, context: StepContext
) -> OrderRecord | None:
    """Returns the record taken over, or None when it is own already."""
    if record.fencing_number == context.fencing_number:
        return None
    return record._replace(
        fencing_number=context.fencing_number,
        recorded_unix_s=context.now_unix_s,
    )

"""Determines what to record and what to send after a finding."""

import functools
from typing import NamedTuple

from mulberrywharf.authority import findings, order_records

OrderRecord = order_records.OrderRecord


class Step(NamedTuple):
    """Actions that follow from a finding.

    Attributes:
        record: Record to store before anything is sent, or None.
        sends_drain: Whether to send the drain order after that.
        sends_order: Whether to send the record's order after that.
        planned: Whether this makes the engine drain for a change. Only one
            engine of a zone does so at a time.
    """

    record: OrderRecord | None = None
    sends_drain: bool = False
    sends_order: bool = False
    planned: bool = False


class StepContext(NamedTuple):
    """Inputs of a step besides the finding.

    Attributes:
        fencing_number: Fencing number of the lease.
        new_order_id: Id for a new order, if one is recorded.
        now_unix_s: Wall clock time.
    """

    fencing_number: int
    new_order_id: str
    now_unix_s: float


@functools.singledispatch
def next_step(finding: object, context: StepContext) -> Step:
    """Returns what to record and what to send after a finding."""
    raise TypeError(f"not a finding: {finding!r}")


@next_step.register(findings.NoOrderNeeded)
@next_step.register(findings.NoReport)
@next_step.register(findings.Waiting)
def _no_step(finding: object, context: StepContext) -> Step:
    return Step()


@next_step.register
def _applied(finding: findings.Applied, context: StepContext) -> Step:
    return Step(_in_phase(finding.record, "applied", context))


@next_step.register
def _not_applied(finding: findings.NotApplied, context: StepContext) -> Step:
    record = finding.record._replace(
        reason="the order ended, but the engine is not in the ordered state"
    )
    return Step(_in_phase(record, "failed", context))


@next_step.register
def _drain_ended(finding: findings.DrainEnded, context: StepContext) -> Step:
    record = _in_phase(finding.record, "draining", context)
    return Step(record, sends_drain=True)


@next_step.register
def _superseded(finding: findings.Superseded, context: StepContext) -> Step:
    # The role is cleared so that the record no longer states the engine's
    # wanted role.
    record = finding.record._replace(
        role="", reason="dropped before it was carried out"
    )
    return Step(_in_phase(record, "failed", context))


@next_step.register
def _unfinished(finding: findings.Unfinished, context: StepContext) -> Step:
    record = finding.record
    if record.phase == "draining" and not finding.idle:
        taken_over = _under_own_lease(record, context)
        return Step(taken_over, sends_drain=not finding.draining)
    if record.phase == "sent":
        return Step(_under_own_lease(record, context), sends_order=True)
    return Step(_in_phase(record, "sent", context), sends_order=True)


@next_step.register
def _new_order(finding: findings.NotAsDesired, context: StepContext) -> Step:
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


def _in_phase(
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
    """Returns the record with this lease's fencing number.

    None if the record already has that number.
    """
    if record.fencing_number == context.fencing_number:
        return None
    return record._replace(
        fencing_number=context.fencing_number,
        recorded_unix_s=context.now_unix_s,
    )

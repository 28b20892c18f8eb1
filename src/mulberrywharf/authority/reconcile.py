"""Compares what is wanted of an engine with its record and its own word.

``find`` says what is the matter with one engine; ``next_record`` says which
record follows from it. Both are pure. At most one order of an engine is in
flight, since the next one only follows once the record is settled or nothing
irrevocable of it has left.
"""

import functools
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.authority import order_records
from mulberrywharf.engines import orders

ADAPTER_LOAD_LIMIT_S = 60.0
"""After this an accepted load of an adapter has ended, one way or other."""

OrderRecord = order_records.OrderRecord


class WantedEngine(NamedTuple):
    """The state that the rules describe for one engine.

    Attributes:
        role: Role to play, or empty when the rules leave it open.
        model: Model to have loaded, or empty when left open.
        adapter: Adapter to have loaded, or empty.
        version: Version of the weights, or empty.
        drained: Whether it shall take no work.
        rule: Name of the rule that says so.
        config_version: Version of the configuration that holds the rule.
        reason: Why, for operators.
    """

    role: str = ""
    model: str = ""
    adapter: str = ""
    version: str = ""
    drained: bool = False
    rule: str = ""
    config_version: int = 0
    reason: str = ""


class EngineFacts(NamedTuple):
    """All that is known of one engine at one instant.

    Attributes:
        engine_id: The engine.
        wanted: What the rules want, None while that is unknown.
        record: Its latest order record, or None.
        report: What it says of itself, or None. Reports lag.
        accepted_unix_s: Wall clock at which it last accepted the order in
            flight from this process, or 0.
    """

    engine_id: str
    wanted: WantedEngine | None
    record: OrderRecord | None
    report: fleet.LoadReport | None
    accepted_unix_s: float = 0.0


class Holder(NamedTuple):
    """Who reconciles.

    Attributes:
        fencing_number: Of the lease.
        quiet: True while old orders may still arrive at the engine.
        clock_margin_s: Allowed error between the engine's clock and ours.
    """

    fencing_number: int
    quiet: bool
    clock_margin_s: float = 0.0


class InOrder(NamedTuple):
    """Nothing is to be done."""


class Unseen(NamedTuple):
    """The engine gave no report; nothing is ordered blindly."""


class Waiting(NamedTuple):
    """An order is on its way and runs as recorded.

    Attributes:
        why: What is waited for.
    """

    why: str


class Applied(NamedTuple):
    """The engine says that it has carried out the order in flight."""

    record: OrderRecord


class Broken(NamedTuple):
    """The engine took the order on and failed in the middle of it."""

    record: OrderRecord


class Unfinished(NamedTuple):
    """The order in flight is still wanted; go on with it.

    Attributes:
        record: The order.
        draining: Whether the engine says that it takes no new work.
        idle: Whether it has finished all its work besides.
    """

    record: OrderRecord
    draining: bool
    idle: bool


class Superseded(NamedTuple):
    """The order in flight is not wanted any more and can be dropped."""

    record: OrderRecord


class Astray(NamedTuple):
    """The engine is in a state that the rules don't describe.

    Attributes:
        action: The order that mends it.
        wanted: What the rules want.
        unordered: True when its last settled order doesn't explain the state
            either, as after a crash in mid-change.
        needs_drain: Whether it has to finish its work first.
    """

    action: orders.OrderAction
    wanted: WantedEngine
    unordered: bool
    needs_drain: bool


Finding = (
    InOrder
    | Unseen
    | Waiting
    | Applied
    | Broken
    | Unfinished
    | Superseded
    | Astray
)


def find(facts: EngineFacts, holder: Holder) -> Finding:
    """Says what is the matter with one engine."""
    if facts.report is None:
        return Unseen()
    if facts.report.state == "changing":
        return Waiting("the engine is in mid-change")
    record = facts.record
    if record is not None and record.in_flight():
        return _find_in_flight(facts, record, facts.report, holder)
    if holder.quiet:
        return Waiting("old orders may still arrive")
    if facts.wanted is None:
        return InOrder()
    return _find_settled(facts.wanted, record, facts.report)


def _find_in_flight(
    facts: EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: Holder,
) -> Finding:
    if _carried_out(record, report):
        return Applied(record)
    if holder.quiet:
        return Waiting("old orders may still arrive")
    fresh_from_unix_s = record.recorded_unix_s + holder.clock_margin_s
    fresh = report.reported_unix_s > fresh_from_unix_s
    if fresh and _gave_up(record, report):
        return Broken(record)
    if _is_over(facts, record, report, holder):
        return Applied(record) if _effect(record, report) else Broken(record)
    if _still_wanted(record, facts.wanted):
        return _unfinished_finding(record, report)
    if record.phase != "sent":
        return Superseded(record)
    if fresh and record.fencing_number != holder.fencing_number:
        # The quiet time is over and the engine neither runs the order nor
        # has applied it: the predecessor's order never arrived.
        return Superseded(record)
    # Its own order may still arrive. Repeating it is harmless and settles
    # it; only then may another follow.
    return _unfinished_finding(record, report)


def _unfinished_finding(
    record: OrderRecord, report: fleet.LoadReport
) -> Unfinished:
    # The counts mean something only in a report that was taken after the
    # engine stopped new work; an older one may say idle while a stream has
    # just begun.
    draining = report.state in ("draining", "failed")
    return Unfinished(record, draining, draining and _idle(report))


def _gave_up(record: OrderRecord, report: fleet.LoadReport) -> bool:
    """Tells whether the order ended without being carried out.

    An engine that crashed in the change comes back failed, or serving in a
    state that nobody ordered. Repeating the same id wouldn't help: it has
    seen it.
    """
    if record.phase != "sent":
        return False
    return report.state == "failed" or report.order_id == record.order_id


def _is_over(
    facts: EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: Holder,
) -> bool:
    """Tells whether an accepted order has ended, whatever the report names.

    An engine reports the last order that it applied. If another came right
    after this one, such as one of a process without authority, the report
    never names this one, and repeating it changes nothing: it would stay in
    flight for ever. But an engine that has accepted a change and isn't in
    one any more has ended it.
    """
    if record.phase != "sent" or not facts.accepted_unix_s:
        return False
    ends_unix_s = facts.accepted_unix_s + holder.clock_margin_s
    if record.adapter:
        # Loaded beside the work; the engine doesn't say that it is loading.
        ends_unix_s += ADAPTER_LOAD_LIMIT_S
    return report.reported_unix_s > ends_unix_s


def _carried_out(record: OrderRecord, report: fleet.LoadReport) -> bool:
    if report.order_id != record.order_id or record.phase != "sent":
        return False
    return _effect(record, report)


def _effect(record: OrderRecord, report: fleet.LoadReport) -> bool:
    """Tells whether the engine is as the order makes it."""
    if report.state == "failed":
        return False
    if record.action == "set-role":
        return report.role == record.role
    if record.action == "load-model":
        return _has_model(report, record.model, record.adapter, record.version)
    return (report.state == "draining") == (record.action == "drain")


def _still_wanted(record: OrderRecord, wanted: WantedEngine | None) -> bool:
    if wanted is None:
        return True
    if record.action == "set-role":
        return wanted.role in ("", record.role)
    if record.action == "load-model":
        return (
            wanted.model == record.model
            and wanted.version == record.version
            and record.adapter in ("", wanted.adapter)
        )
    return wanted.drained == (record.action == "drain")


def _find_settled(
    wanted: WantedEngine, record: OrderRecord | None, report: fleet.LoadReport
) -> Finding:
    if report.state == "failed":
        role = wanted.role or report.role
        return Astray(
            "set-role", wanted._replace(role=role), True, needs_drain=False
        )
    if wanted.role and report.role != wanted.role:
        unordered = not _explained(record, report)
        return Astray("set-role", wanted, unordered, needs_drain=True)
    if wanted.model and not _has_model(
        report, wanted.model, "", wanted.version
    ):
        base = wanted._replace(adapter="")
        return Astray("load-model", base, False, needs_drain=True)
    if wanted.adapter and wanted.adapter not in report.adapters:
        # An adapter is loaded beside the work that goes on.
        return Astray("load-model", wanted, False, needs_drain=False)
    if wanted.drained and report.state != "draining":
        return Astray("drain", wanted, False, needs_drain=False)
    if not wanted.drained and report.state == "draining":
        return Astray("resume", wanted, False, needs_drain=False)
    return InOrder()


def _explained(record: OrderRecord | None, report: fleet.LoadReport) -> bool:
    if record is None:
        return True
    return record.role in ("", report.role)


def _has_model(
    report: fleet.LoadReport, model: str, adapter: str, version: str
) -> bool:
    if model not in report.models:
        return False
    if adapter and adapter not in report.adapters:
        return False
    return version in ("", report.version)


def _idle(report: fleet.LoadReport) -> bool:
    return report.running_count == 0 and report.waiting_count == 0


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


@next_step.register(InOrder)
@next_step.register(Unseen)
@next_step.register(Waiting)
def _nothing(finding: object, context: StepContext) -> Step:
    return Step()


@next_step.register
def _applied(finding: Applied, context: StepContext) -> Step:
    return Step(_moved(finding.record, "applied", context))


@next_step.register
def _broken(finding: Broken, context: StepContext) -> Step:
    record = finding.record._replace(reason="the engine failed in the change")
    return Step(_moved(record, "failed", context))


@next_step.register
def _superseded(finding: Superseded, context: StepContext) -> Step:
    # Without its role the record no longer says what the engine is to be.
    record = finding.record._replace(
        role="", reason="dropped before it was carried out"
    )
    return Step(_moved(record, "failed", context))


@next_step.register
def _unfinished(finding: Unfinished, context: StepContext) -> Step:
    record = finding.record
    if record.phase == "draining" and not finding.idle:
        taken_over = _under_own_lease(record, context)
        return Step(taken_over, sends_drain=not finding.draining)
    if record.phase == "sent":
        return Step(_under_own_lease(record, context), sends_order=True)
    return Step(_moved(record, "sent", context), sends_order=True)


@next_step.register
def _astray(finding: Astray, context: StepContext) -> Step:
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

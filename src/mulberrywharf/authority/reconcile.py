"""Compares what is wanted of an engine with its record and its own word.

``find`` says what is the matter with one engine; ``steps.next_step`` says what
follows from it. Both are pure. At most one order of an engine is in flight,
since the next one only follows once the record is settled or nothing
irrevocable of it has left.
"""

from mulberrywharf import fleet
from mulberrywharf.authority import findings, order_records

ADAPTER_LOAD_LIMIT_S = 60.0
"""After this an accepted load of an adapter has ended, one way or other."""

OrderRecord = order_records.OrderRecord


def find(
    facts: findings.EngineFacts, holder: findings.Holder
) -> findings.Finding:
    """Says what is the matter with one engine."""
    if facts.report is None:
        return findings.Unseen()
    if facts.report.state == "changing":
        return findings.Waiting("the engine is in mid-change")
    record = facts.record
    if record is not None and record.in_flight():
        return _find_in_flight(facts, record, facts.report, holder)
    if holder.quiet:
        return findings.Waiting("old orders may still arrive")
    if facts.wanted is None:
        return findings.InOrder()
    return _find_settled(facts.wanted, record, facts.report)


def _find_in_flight(
    facts: findings.EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: findings.Holder,
) -> findings.Finding:
    if _carried_out(record, report):
        return findings.Applied(record)
    if holder.quiet:
        return findings.Waiting("old orders may still arrive")
    fresh_from_unix_s = record.recorded_unix_s + holder.clock_margin_s
    fresh = report.reported_unix_s > fresh_from_unix_s
    if fresh and _gave_up(record, report):
        return findings.Broken(record)
    if _is_over(facts, record, report, holder):
        return (
            findings.Applied(record)
            if _effect(record, report)
            else findings.Broken(record)
        )
    if _still_wanted(record, facts.wanted):
        if _serves_again(facts, record, report, holder):
            return findings.Undrained(record)
        return _unfinished_finding(record, report)
    if record.phase != "sent":
        return findings.Superseded(record)
    if fresh and record.fencing_number != holder.fencing_number:
        # The quiet time is over and the engine neither runs the order nor
        # has applied it: the predecessor's order never arrived.
        return findings.Superseded(record)
    # Its own order may still arrive. Repeating it is harmless and settles
    # it; only then may another follow.
    return _unfinished_finding(record, report)


def _unfinished_finding(
    record: OrderRecord, report: fleet.LoadReport
) -> findings.Unfinished:
    # The counts mean something only in a report that was taken after the
    # engine stopped new work; an older one may say idle while a stream has
    # just begun.
    draining = report.state in ("draining", "failed")
    return findings.Unfinished(record, draining, draining and _idle(report))


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
    facts: findings.EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: findings.Holder,
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


def _serves_again(
    facts: findings.EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: findings.Holder,
) -> bool:
    """Tells whether an engine that was drained takes work once more.

    A late order of a process without authority may have ended the draining.
    Repeating the same drain would do nothing: the engine has seen it.
    """
    if record.phase != "draining" or not facts.accepted_unix_s:
        return False
    drained_unix_s = facts.accepted_unix_s + holder.clock_margin_s
    return report.state == "ready" and report.reported_unix_s > drained_unix_s


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


def _still_wanted(
    record: OrderRecord, wanted: findings.WantedEngine | None
) -> bool:
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
    wanted: findings.WantedEngine,
    record: OrderRecord | None,
    report: fleet.LoadReport,
) -> findings.Finding:
    if report.state == "failed":
        role = wanted.role or report.role
        return findings.Astray(
            "set-role", wanted._replace(role=role), True, needs_drain=False
        )
    if wanted.role and report.role != wanted.role:
        unordered = not _explained(record, report)
        return findings.Astray("set-role", wanted, unordered, needs_drain=True)
    if wanted.model and not _has_model(
        report, wanted.model, "", wanted.version
    ):
        base = wanted._replace(adapter="")
        return findings.Astray("load-model", base, False, needs_drain=True)
    if wanted.adapter and wanted.adapter not in report.adapters:
        # An adapter is loaded beside the work that goes on.
        return findings.Astray("load-model", wanted, False, needs_drain=False)
    if wanted.drained and report.state != "draining":
        return findings.Astray("drain", wanted, False, needs_drain=False)
    if not wanted.drained and report.state == "draining":
        return findings.Astray("resume", wanted, False, needs_drain=False)
    return findings.InOrder()


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

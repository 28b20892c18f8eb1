"""Compares the wanted state of an engine with its order record and report.

``find`` returns a finding about one engine, and ``steps.next_step`` returns
what to do about it. Both are pure functions. At most one order per engine is in
flight: the next one is sent only after the record is in a final phase, or if
the order itself was not sent yet.
"""

from mulberrywharf import fleet
from mulberrywharf.authority import findings, order_records

ADAPTER_LOAD_LIMIT_S = 60.0
"""Time after which an accepted load of an adapter has succeeded or failed."""

OrderRecord = order_records.OrderRecord


def find(
    facts: findings.EngineFacts, holder: findings.Holder
) -> findings.Finding:
    """Returns the finding about one engine: how its states compare."""
    if facts.report is None:
        return findings.NoReport()
    if facts.report.state == "changing":
        return findings.Waiting("the engine is carrying out a change")
    record = facts.record
    if record is not None and record.in_flight():
        return _find_in_flight(facts, record, facts.report, holder)
    if holder.is_waiting:
        return findings.Waiting("orders of a previous holder may still arrive")
    if facts.wanted is None:
        return findings.NoOrderNeeded()
    return _find_settled(facts.wanted, record, facts.report)


def _find_in_flight(
    facts: findings.EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: findings.Holder,
) -> findings.Finding:
    if _is_applied(record, report):
        return findings.Applied(record)
    if holder.is_waiting:
        return findings.Waiting("orders of a previous holder may still arrive")
    fresh_from_unix_s = record.recorded_unix_s + holder.clock_margin_s
    fresh = report.reported_unix_s > fresh_from_unix_s
    if fresh and _ended_unapplied(record, report):
        return findings.NotApplied(record)
    if _has_ended(facts, record, report, holder):
        return (
            findings.Applied(record)
            if _matches_order(record, report)
            else findings.NotApplied(record)
        )
    if _still_wanted(record, facts.wanted):
        if _takes_work_again(facts, record, report, holder):
            return findings.DrainEnded(record)
        return _unfinished_finding(record, report)
    if record.phase != "sent":
        return findings.Superseded(record)
    if fresh and record.fencing_number != holder.fencing_number:
        # Orders of the previous holder can no longer arrive, and the engine has
        # neither started nor applied this one: it was lost.
        return findings.Superseded(record)
    # An order of this holder may still arrive. Repeating it is harmless and
    # settles it, after which another order may be sent.
    return _unfinished_finding(record, report)


def _unfinished_finding(
    record: OrderRecord, report: fleet.LoadReport
) -> findings.Unfinished:
    # The request counts are valid only in a report from after the engine
    # stopped accepting work. An older report may show an idle engine although a
    # stream has just begun.
    draining = report.state in ("draining", "failed")
    return findings.Unfinished(record, draining, draining and _idle(report))


def _ended_unapplied(record: OrderRecord, report: fleet.LoadReport) -> bool:
    """Tells whether the order has ended without being executed.

    An engine that crashed during the change reports that it failed, or serves
    in a state that was not ordered. It ignores a repeated order, because it has
    seen the id.
    """
    if record.phase != "sent":
        return False
    return report.state == "failed" or report.order_id == record.order_id


def _has_ended(
    facts: findings.EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: findings.Holder,
) -> bool:
    """Tells whether an accepted order has ended, even if not reported.

    An engine reports only the last order that it applied. If another one
    follows immediately, for example from a process without authority, the
    report never contains this one, and a repeated order is ignored. The order
    would stay in flight forever. But an engine that has accepted a change and
    is no longer changing has ended it.
    """
    if record.phase != "sent" or not facts.accepted_unix_s:
        return False
    ends_unix_s = facts.accepted_unix_s + holder.clock_margin_s
    if record.adapter:
        # An adapter is loaded while the engine serves, and the engine does not
        # report that it is loading.
        ends_unix_s += ADAPTER_LOAD_LIMIT_S
    return report.reported_unix_s > ends_unix_s


def _takes_work_again(
    facts: findings.EngineFacts,
    record: OrderRecord,
    report: fleet.LoadReport,
    holder: findings.Holder,
) -> bool:
    """Tells whether a drained engine accepts work again.

    A late order of a process without authority may have ended the drain. The
    engine would ignore a repeated drain order, because it has seen the id.
    """
    if record.phase != "draining" or not facts.accepted_unix_s:
        return False
    drained_unix_s = facts.accepted_unix_s + holder.clock_margin_s
    return report.state == "ready" and report.reported_unix_s > drained_unix_s


def _is_applied(record: OrderRecord, report: fleet.LoadReport) -> bool:
    if report.order_id != record.order_id or record.phase != "sent":
        return False
    return _matches_order(record, report)


def _matches_order(record: OrderRecord, report: fleet.LoadReport) -> bool:
    """Tells whether the engine is in the state that the order requires."""
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
        return findings.NotAsDesired(
            "set-role", wanted._replace(role=role), True, needs_drain=False
        )
    if wanted.role and report.role != wanted.role:
        unexplained = not _explains_role(record, report)
        return findings.NotAsDesired(
            "set-role", wanted, unexplained, needs_drain=True
        )
    if wanted.model and not _has_model(
        report, wanted.model, "", wanted.version
    ):
        base = wanted._replace(adapter="")
        return findings.NotAsDesired(
            "load-model", base, False, needs_drain=True
        )
    if wanted.adapter and wanted.adapter not in report.adapters:
        # An adapter is loaded while the engine serves.
        return findings.NotAsDesired(
            "load-model", wanted, False, needs_drain=False
        )
    if wanted.drained and report.state != "draining":
        return findings.NotAsDesired("drain", wanted, False, needs_drain=False)
    if not wanted.drained and report.state == "draining":
        return findings.NotAsDesired("resume", wanted, False, needs_drain=False)
    return findings.NoOrderNeeded()


def _explains_role(
    record: OrderRecord | None, report: fleet.LoadReport
) -> bool:
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

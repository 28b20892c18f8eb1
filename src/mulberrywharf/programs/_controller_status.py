"""Builds the controller's response to ``GET /status``."""

from mulberrywharf import settings
from mulberrywharf.authority import findings
from mulberrywharf.operators import order_status, status, status_conversion
from mulberrywharf.programs import _controller_lease, _controller_observer


def build(
    config: settings.Settings,
    view: _controller_observer.ZoneView,
    held: _controller_lease.HeldLease | None,
    *,
    config_version: int,
    ready: bool,
    key_value_age_s: float,
    vm_list_age_s: float,
    now_unix_s: float,
) -> status.StatusReport:
    """Returns the status report for operators.

    Args:
        config: Settings of the process.
        view: Observations and decisions of the last round.
        held: The lease, or None on standby.
        config_version: Version of the configuration in force here, 0 for none.
        ready: Whether the process reports itself as ready.
        key_value_age_s: Time since the key-value service last answered; inf
            before the first answer.
        vm_list_age_s: Age of the VM list; inf before the first list.
        now_unix_s: Wall-clock time.
    """
    report = status.StatusReport(
        vm_id=config["vm_id"],
        availability_zone=config["availability_zone"],
        program="controller",
        config_version=config_version,
        ready=ready,
        engines=[
            _engine(config["availability_zone"], fact, now_unix_s)
            for _, fact in sorted(view.facts.items())
        ],
        platform=status.PlatformStatus(
            key_value_age_s=_age_or_none(key_value_age_s),
            vm_list_age_s=_age_or_none(vm_list_age_s),
        ),
        lease=status.LeaseStatus(
            held=held is not None,
            fencing_number=0 if held is None else held.fencing_number,
        ),
    )
    if view.match is not None:
        report["rule"] = status_conversion.rule_status(
            view.match, view.config_version
        )
    if view.situation is not None:
        report["situation"] = status_conversion.situation_status(view.situation)
    return report


def _engine(
    availability_zone: str, fact: findings.EngineFacts, now_unix_s: float
) -> status.EngineStatus:
    engine = status.EngineStatus(
        engine_id=fact.engine_id,
        availability_zone=availability_zone,
        seen_role="unknown",
        seen_state="unknown",
        report_age_s=None,
        wanted_role=None if fact.wanted is None else fact.wanted.role,
        order=None
        if fact.record is None
        else order_status.order_status(fact.record),
    )
    if fact.report is not None:
        engine["seen_role"] = fact.report.role
        engine["seen_state"] = fact.report.state
        engine["report_age_s"] = _age_or_none(
            now_unix_s - fact.report.reported_unix_s
        )
    return engine


def _age_or_none(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s, 3)

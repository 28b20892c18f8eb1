"""Builds the parts of a router's status report for operators."""

import math
from collections.abc import Iterable

from mulberrywharf import fleet
from mulberrywharf.operators import status


def engine_statuses(
    views: Iterable[fleet.EngineView],
) -> list[status.EngineStatus]:
    """Returns the status of each engine as this router sees it."""
    return [_engine_status(view) for view in views]


def _engine_status(view: fleet.EngineView) -> status.EngineStatus:
    report = view.report
    state = "unknown" if report is None else report.state
    return status.EngineStatus(
        engine_id=view.vm.vm_id,
        availability_zone=view.vm.availability_zone,
        seen_role="unknown" if report is None else report.role,
        seen_state="draining" if view.drained else state,
        report_age_s=age_or_none(view.report_age_s),
    )


def age_or_none(age_s: float) -> float | None:
    """Returns an age rounded to milliseconds, or None if not yet known."""
    return round(age_s, 3) if math.isfinite(age_s) else None

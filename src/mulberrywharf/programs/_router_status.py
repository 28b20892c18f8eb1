"""What a router tells operators about itself."""

import math
from collections.abc import Iterable

from mulberrywharf import fleet
from mulberrywharf.operators import status


def engine_statuses(
    views: Iterable[fleet.EngineView],
) -> list[status.EngineStatus]:
    """Returns the engines as this router sees them."""
    return [_engine_status(view) for view in views]


def _engine_status(view: fleet.EngineView) -> status.EngineStatus:
    report = view.report
    state = "unknown" if report is None else report.state
    return status.EngineStatus(
        engine_id=view.vm.vm_id,
        availability_zone=view.vm.availability_zone,
        seen_role="unknown" if report is None else report.role,
        seen_state="draining" if view.drained else state,
        report_age_s=finite(view.report_age_s),
    )


def finite(age_s: float) -> float | None:
    """Returns an age, or None for one that is not known yet."""
    return round(age_s, 3) if math.isfinite(age_s) else None

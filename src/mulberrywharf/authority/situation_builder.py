"""Measures a zone's demand, queue delay and lost engines, with their ages."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import role_planner
from mulberrywharf.rules import situation

_SMOOTHING_S = 3.0
_BACKLOG_CLEAR_S = 20.0
_STALE_REPORT_S = 10.0


class AgedReport(NamedTuple):
    """A load report and its age.

    Attributes:
        report: Report of the engine.
        age_s: Time since the engine measured the values.
    """

    report: fleet.LoadReport
    age_s: float


class _Totals(NamedTuple):
    prompt_tokens: int
    output_tokens: int
    reported_unix_s: float


class DemandTracker:
    """Estimates the demand of callers from the reports of the engines.

    Engines report completed work, which is less than the demand while a queue
    grows. The backlog is therefore added, as the rate that would clear it
    within ``_BACKLOG_CLEAR_S``.
    """

    def __init__(self, smoothing_s: float = _SMOOTHING_S):
        self._smoothing_s = smoothing_s
        self._totals: dict[str, _Totals] = {}
        self._rates: dict[str, tuple[float, float]] = {}

    def observe(self, reports: Sequence[fleet.LoadReport]) -> None:
        """Updates the rates from the latest report of each engine."""
        for report in reports:
            self._observe_one(report)
        known = {report.engine_id for report in reports}
        for engine_id in self._totals.keys() - known:
            del self._totals[engine_id]
            self._rates.pop(engine_id, None)

    def demand(
        self, reports: Sequence[AgedReport]
    ) -> role_planner.Demand | None:
        """Returns the estimate, or None until an engine has reported twice."""
        if not self._rates:
            return None
        prompt = sum(rate[0] for rate in self._rates.values())
        output = sum(rate[1] for rate in self._rates.values())
        backlog = sum(aged.report.waiting_prompt_tokens for aged in reports)
        offered_prompt = prompt + backlog / _BACKLOG_CLEAR_S
        offered_output = self._scaled_output(prompt, output, offered_prompt)
        waiting_ratio = _decode_waiting_ratio(reports)
        return role_planner.Demand(
            prompt_tokens_per_s=offered_prompt,
            output_tokens_per_s=offered_output * (1 + waiting_ratio),
            age_s=max((aged.age_s for aged in reports), default=float("inf")),
        )

    def _observe_one(self, report: fleet.LoadReport) -> None:
        current = _Totals(
            report.prompt_tokens_total,
            report.output_tokens_total,
            report.reported_unix_s,
        )
        previous = self._totals.get(report.engine_id)
        self._totals[report.engine_id] = current
        if previous is None:
            return
        span_s = current.reported_unix_s - previous.reported_unix_s
        if span_s <= 0:
            self._totals[report.engine_id] = previous
            return
        if current.prompt_tokens < previous.prompt_tokens:
            # The engine restarted, so its totals started from zero again.
            return
        prompt = (current.prompt_tokens - previous.prompt_tokens) / span_s
        output = (current.output_tokens - previous.output_tokens) / span_s
        weight = span_s / (span_s + self._smoothing_s)
        smoothed = self._rates.get(report.engine_id, (prompt, output))
        self._rates[report.engine_id] = (
            smoothed[0] + weight * (prompt - smoothed[0]),
            smoothed[1] + weight * (output - smoothed[1]),
        )

    def _scaled_output(
        self, prompt: float, output: float, offered_prompt: float
    ) -> float:
        if prompt <= 0:
            return output
        return output * offered_prompt / prompt


def _decode_waiting_ratio(reports: Sequence[AgedReport]) -> float:
    """Returns the ratio of waiting to running requests of decode engines."""
    decoding = [s.report for s in reports if s.report.role == "decode"]
    running = sum(report.running_count for report in decoding)
    waiting = sum(report.waiting_count for report in decoding)
    return waiting / running if running else 0.0


def build(
    *,
    availability_zone: str,
    now_unix_s: float,
    engine_ids: Sequence[str],
    reports: Mapping[str, AgedReport],
    demand: role_planner.Demand | None,
    vm_list_age_s: float,
) -> situation.Situation:
    """Builds the situation on which the rules are evaluated.

    Args:
        availability_zone: The zone.
        now_unix_s: Wall clock time.
        engine_ids: Live engines of the zone, according to the VM list.
        reports: Latest report of each engine that has reported.
        demand: Estimate of a ``DemandTracker``, or None.
        vm_list_age_s: Age of the VM list.
    """
    aged_reports = list(reports.values())
    return situation.Situation(
        availability_zone=availability_zone,
        utc_minute=situation.utc_minute(now_unix_s),
        prefill_share=_prefill_share(aged_reports, demand),
        queue_delay_s=_queue_delay(aged_reports),
        engines_lost_count=_lost_engines(engine_ids, reports, vm_list_age_s),
    )


def _prefill_share(
    reports: Sequence[AgedReport], demand: role_planner.Demand | None
) -> situation.Reading:
    """Returns the share of the required engine time that prefill needs."""
    if demand is None:
        return situation.UNKNOWN_READING
    speeds = dedicated_speeds([aged.report for aged in reports])
    prefill_speed = _mean_of_positive(
        [s.prefill_tokens_per_s for s in speeds.values()]
    )
    decode_speed = _mean_of_positive(
        [s.decode_tokens_per_s for s in speeds.values()]
    )
    if prefill_speed <= 0 or decode_speed <= 0:
        return situation.UNKNOWN_READING
    prefill = demand.prompt_tokens_per_s / prefill_speed
    decode = demand.output_tokens_per_s / decode_speed
    if prefill + decode <= 0:
        return situation.UNKNOWN_READING
    return situation.Reading(prefill / (prefill + decode), demand.age_s)


class Speeds(NamedTuple):
    """Speeds of an engine in the dedicated role for each kind of work."""

    prefill_tokens_per_s: float
    decode_tokens_per_s: float


def dedicated_speeds(
    reports: Sequence[fleet.LoadReport],
) -> dict[str, Speeds]:
    """Estimates each engine's speeds in the dedicated roles, by engine id.

    An engine reports its speeds in its current role. Engines are alike, so its
    speed in another role is the mean of the engines that have that role, or
    is derived from mixed engines if there are none.
    """
    prefill_mean = _dedicated_mean(
        [(r.role, r.prefill_tokens_per_s) for r in reports], "prefill"
    )
    decode_mean = _dedicated_mean(
        [(r.role, r.decode_tokens_per_s) for r in reports], "decode"
    )
    return {
        r.engine_id: Speeds(
            r.prefill_tokens_per_s if r.role == "prefill" else prefill_mean,
            r.decode_tokens_per_s if r.role == "decode" else decode_mean,
        )
        for r in reports
    }


def _dedicated_mean(
    speeds: Sequence[tuple[fleet.Role, float]], role: fleet.Role
) -> float:
    dedicated = [speed for r, speed in speeds if r == role]
    if dedicated:
        return _mean_of_positive(dedicated)
    mixed = [speed for r, speed in speeds if r == "mixed"]
    if mixed:
        return _mean_of_positive(mixed) / role_planner.MIXED_EFFICIENCY
    return _mean_of_positive([speed for _, speed in speeds])


def _queue_delay(reports: Sequence[AgedReport]) -> situation.Reading:
    """Returns how long prefilling the waiting prompts would take."""
    prefilling = [aged for aged in reports if aged.report.role != "decode"]
    speed = sum(aged.report.prefill_tokens_per_s for aged in prefilling)
    if speed <= 0:
        return situation.UNKNOWN_READING
    waiting = sum(aged.report.waiting_prompt_tokens for aged in reports)
    age_s = max(aged.age_s for aged in reports)
    return situation.Reading(waiting / speed, age_s)


def _lost_engines(
    engine_ids: Sequence[str],
    reports: Mapping[str, AgedReport],
    vm_list_age_s: float,
) -> situation.Reading:
    lost_count = sum(1 for e in engine_ids if _is_lost(reports.get(e)))
    return situation.Reading(float(lost_count), vm_list_age_s)


def _is_lost(aged: AgedReport | None) -> bool:
    if aged is None or aged.age_s > _STALE_REPORT_S:
        return True
    return aged.report.state in ("failed", "unknown")


def _mean_of_positive(values: Sequence[float]) -> float:
    positive = [value for value in values if value > 0]
    return sum(positive) / len(positive) if positive else 0.0

"""Measures the zone: demand, queue delay, engines lost, with their ages."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from mulberrywharf import fleet
from mulberrywharf.policy import role_planner
from mulberrywharf.rules import situation

_SMOOTHING_S = 3.0
_BACKLOG_CLEAR_S = 20.0
_STALE_REPORT_S = 10.0


class SeenReport(NamedTuple):
    """A report and its age.

    Attributes:
        report: What the engine said.
        age_s: How long ago the engine took the figures.
    """

    report: fleet.LoadReport
    age_s: float


class _Totals(NamedTuple):
    prompt_tokens: int
    output_tokens: int
    reported_unix_s: float


class DemandTracker:
    """Estimates what callers ask, from what the engines say they did.

    Engines report what they have done, which is less than what was asked
    while a queue grows; the backlog is therefore added, as a rate that would
    clear it within some seconds.
    """

    def __init__(self, smoothing_s: float = _SMOOTHING_S):
        self._smoothing_s = smoothing_s
        self._totals: dict[str, _Totals] = {}
        self._rates: dict[str, tuple[float, float]] = {}

    def observe(self, reports: Sequence[fleet.LoadReport]) -> None:
        """Takes in the latest report of each engine that gave one."""
        for report in reports:
            self._observe_one(report)
        known = {report.engine_id for report in reports}
        for engine_id in self._totals.keys() - known:
            del self._totals[engine_id]
            self._rates.pop(engine_id, None)

    def demand(
        self, reports: Sequence[SeenReport]
    ) -> role_planner.Demand | None:
        """Returns the estimate, or None before two reports of any engine."""
        if not self._rates:
            return None
        prompt = sum(rate[0] for rate in self._rates.values())
        output = sum(rate[1] for rate in self._rates.values())
        backlog = sum(seen.report.waiting_prompt_tokens for seen in reports)
        offered_prompt = prompt + backlog / _BACKLOG_CLEAR_S
        output_of_backlog = self._scaled_output(prompt, output, offered_prompt)
        waiting = _decode_waiting_share(reports)
        return role_planner.Demand(
            prompt_tokens_per_s=offered_prompt,
            output_tokens_per_s=output_of_backlog * (1 + waiting),
            age_s=max((seen.age_s for seen in reports), default=float("inf")),
        )

    def _observe_one(self, report: fleet.LoadReport) -> None:
        now = _Totals(
            report.prompt_tokens_total,
            report.output_tokens_total,
            report.reported_unix_s,
        )
        before = self._totals.get(report.engine_id)
        self._totals[report.engine_id] = now
        if before is None:
            return
        span_s = now.reported_unix_s - before.reported_unix_s
        if span_s <= 0:
            self._totals[report.engine_id] = before
            return
        if now.prompt_tokens < before.prompt_tokens:
            # The engine started anew; its totals began again at zero.
            return
        prompt = (now.prompt_tokens - before.prompt_tokens) / span_s
        output = (now.output_tokens - before.output_tokens) / span_s
        weight = span_s / (span_s + self._smoothing_s)
        old = self._rates.get(report.engine_id, (prompt, output))
        self._rates[report.engine_id] = (
            old[0] + weight * (prompt - old[0]),
            old[1] + weight * (output - old[1]),
        )

    def _scaled_output(
        self, prompt: float, output: float, offered_prompt: float
    ) -> float:
        if prompt <= 0:
            return output
        return output * offered_prompt / prompt


def _decode_waiting_share(reports: Sequence[SeenReport]) -> float:
    """Returns waiting over running requests of engines that only decode."""
    decoding = [s.report for s in reports if s.report.role == "decode"]
    running = sum(report.running_count for report in decoding)
    waiting = sum(report.waiting_count for report in decoding)
    return waiting / running if running else 0.0


def build(
    *,
    availability_zone: str,
    now_unix_s: float,
    engine_ids: Sequence[str],
    reports: Mapping[str, SeenReport],
    demand: role_planner.Demand | None,
    vm_list_age_s: float,
) -> situation.Situation:
    """Puts together what the rules are evaluated on.

    Args:
        availability_zone: The zone.
        now_unix_s: Wall clock.
        engine_ids: Live engines of the zone by the VM list.
        reports: The latest report of each engine that gave one.
        demand: The tracker's estimate.
        vm_list_age_s: Age of the VM list.
    """
    seen = list(reports.values())
    return situation.Situation(
        availability_zone=availability_zone,
        utc_minute=situation.utc_minute(now_unix_s),
        prefill_share=_prefill_share(seen, demand),
        queue_delay_s=_queue_delay(seen),
        engines_lost_count=_lost_engines(engine_ids, reports, vm_list_age_s),
    )


def _prefill_share(
    seen: Sequence[SeenReport], demand: role_planner.Demand | None
) -> situation.Reading:
    """Returns prefill's share of the engine time that the demand needs."""
    if demand is None:
        return situation.UNKNOWN
    speeds = dedicated_speeds([s.report for s in seen])
    prefill_speed = _mean_of_positive(
        [s.prefill_tokens_per_s for s in speeds.values()]
    )
    decode_speed = _mean_of_positive(
        [s.decode_tokens_per_s for s in speeds.values()]
    )
    if prefill_speed <= 0 or decode_speed <= 0:
        return situation.UNKNOWN
    prefill = demand.prompt_tokens_per_s / prefill_speed
    decode = demand.output_tokens_per_s / decode_speed
    if prefill + decode <= 0:
        return situation.UNKNOWN
    return situation.Reading(prefill / (prefill + decode), demand.age_s)


class Speeds(NamedTuple):
    """How fast an engine would be in the role made for the work."""

    prefill_tokens_per_s: float
    decode_tokens_per_s: float


def dedicated_speeds(
    reports: Sequence[fleet.LoadReport],
) -> dict[str, Speeds]:
    """Estimates each engine's speeds in a dedicated role, by engine id.

    An engine reports its speeds in the role that it has. What it would do
    in another is taken from the engines that have that one, as they are
    alike; failing those, from engines that do both.
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


def _queue_delay(seen: Sequence[SeenReport]) -> situation.Reading:
    """Returns how long the prompts that wait would take to prefill."""
    able = [s for s in seen if s.report.role != "decode"]
    speed = sum(s.report.prefill_tokens_per_s for s in able)
    if speed <= 0:
        return situation.UNKNOWN
    waiting = sum(s.report.waiting_prompt_tokens for s in seen)
    age_s = max(s.age_s for s in seen)
    return situation.Reading(waiting / speed, age_s)


def _lost_engines(
    engine_ids: Sequence[str],
    reports: Mapping[str, SeenReport],
    vm_list_age_s: float,
) -> situation.Reading:
    lost_count = sum(1 for e in engine_ids if _is_lost(reports.get(e)))
    return situation.Reading(float(lost_count), vm_list_age_s)


def _is_lost(seen: SeenReport | None) -> bool:
    if seen is None or seen.age_s > _STALE_REPORT_S:
        return True
    return seen.report.state in ("failed", "unknown")


def _mean_of_positive(figures: Sequence[float]) -> float:
    positive = [figure for figure in figures if figure > 0]
    return sum(positive) / len(positive) if positive else 0.0

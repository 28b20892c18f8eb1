"""What an engine would take for a request, from an old report of it.

A report of the engine's queue is believed less the older it is: what it said
fades into the mean of the fleet, since a queue that was long or short seconds
ago has most likely moved towards the others. What this node sent itself after
the report is known exactly and added in full.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_DECODE_TOKENS_PER_S = 1_000.0


class FleetMean(NamedTuple):
    """The mean of the engines that might serve a request.

    Attributes:
        wait_s: Mean time to prefill what waits at an engine.
        request_count: Mean requests at an engine, waiting or running.
        prefill_tokens_per_s: Mean prefill speed.
        decode_tokens_per_s: Mean decode speed of a whole batch.
    """

    wait_s: float = 0.0
    request_count: float = 0.0
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    decode_tokens_per_s: float = DEFAULT_DECODE_TOKENS_PER_S


class EngineEstimate(NamedTuple):
    """What one engine would take.

    Attributes:
        wait_s: Until its steps reach the new prompt.
        prefill_s: For the part of the prompt that it does not hold.
        between_tokens_s: Between two tokens once it generates.
    """

    wait_s: float
    prefill_s: float
    between_tokens_s: float


def fleet_mean(views: Sequence[fleet.EngineView]) -> FleetMean:
    """Returns the mean over the views that have a report."""
    reports = [view.report for view in views if view.report is not None]
    if not reports:
        return FleetMean()
    count = len(reports)
    prefill = sum(_prefill_rate(report) for report in reports) / count
    decode = sum(_decode_rate(report) for report in reports) / count
    wait = sum(_reported_wait_s(report) for report in reports) / count
    requests = sum(_request_count(report) for report in reports) / count
    return FleetMean(wait, requests, prefill, decode)


def estimate(
    view: fleet.EngineView,
    uncached_tokens: int,
    mean: FleetMean,
    age_constant_s: float,
) -> EngineEstimate:
    """Estimates what the engine would take for a request.

    Args:
        view: The engine as this node sees it.
        uncached_tokens: Prompt tokens it would have to prefill.
        mean: What an old report fades into.
        age_constant_s: Age at which a report is believed by 1/e.
    """
    report = view.report
    if report is None:
        prefill_rate = mean.prefill_tokens_per_s
        decode_rate = mean.decode_tokens_per_s
        wait_s = mean.wait_s
        request_count = mean.request_count
    else:
        prefill_rate = _prefill_rate(report)
        decode_rate = _decode_rate(report)
        trust = math.exp(-max(0.0, view.report_age_s) / age_constant_s)
        wait_s = _fade(_reported_wait_s(report), mean.wait_s, trust)
        request_count = _fade(_request_count(report), mean.request_count, trust)
    wait_s += view.own_prompt_tokens_since / prefill_rate
    request_count = max(request_count, view.own_in_flight_count)
    return EngineEstimate(
        wait_s=wait_s,
        prefill_s=uncached_tokens / prefill_rate,
        between_tokens_s=(request_count + 1) / decode_rate,
    )


def _fade(reported: float, mean: float, trust: float) -> float:
    return trust * reported + (1.0 - trust) * mean


def _prefill_rate(report: fleet.LoadReport) -> float:
    if report.prefill_tokens_per_s > 0:
        return report.prefill_tokens_per_s
    return DEFAULT_PREFILL_TOKENS_PER_S


def _decode_rate(report: fleet.LoadReport) -> float:
    if report.decode_tokens_per_s > 0:
        return report.decode_tokens_per_s
    return DEFAULT_DECODE_TOKENS_PER_S


def _reported_wait_s(report: fleet.LoadReport) -> float:
    return report.waiting_prompt_tokens / _prefill_rate(report)


def _request_count(report: fleet.LoadReport) -> float:
    return report.waiting_count + report.running_count

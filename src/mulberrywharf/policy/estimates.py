"""Estimates how long an engine takes for a request, from an aging report.

The weight of a load report decays with its age, and the mean of the fleet
takes over: a queue that was unusually long or short some seconds ago has most
likely moved toward the mean. The prompt tokens that this router has sent to the
engine since the report are known exactly and are added in full.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_DECODE_TOKENS_PER_S = 1_000.0


class FleetMean(NamedTuple):
    """Mean load and speed of the engines that can serve a request.

    Attributes:
        wait_s: Mean time that an engine needs to prefill its waiting prompts.
        request_count: Mean number of requests at an engine, waiting or
            running.
        prefill_tokens_per_s: Mean prefill speed.
        decode_tokens_per_s: Mean decode speed over the whole batch.
    """

    wait_s: float = 0.0
    request_count: float = 0.0
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    decode_tokens_per_s: float = DEFAULT_DECODE_TOKENS_PER_S


class EngineEstimate(NamedTuple):
    """Estimated times of one request at one engine.

    Attributes:
        wait_s: Time until the engine starts to prefill the prompt.
        prefill_s: Time to prefill the part of the prompt that is not cached.
        between_tokens_s: Time between two output tokens.
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
    report_decay_constant_s: float,
) -> EngineEstimate:
    """Estimates how long the engine takes for a request.

    Args:
        view: The engine as this router sees it.
        uncached_tokens: Prompt tokens that the engine has to prefill.
        mean: Mean of the fleet, which replaces the report as it ages.
        report_decay_constant_s: Time constant: the age, in seconds, at which
            the weight of a report has fallen to 1/e.
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
        report_weight = math.exp(
            -max(0.0, view.report_age_s) / report_decay_constant_s
        )
        wait_s = _weighted_mean(
            _reported_wait_s(report), mean.wait_s, report_weight
        )
        request_count = _weighted_mean(
            _request_count(report), mean.request_count, report_weight
        )
    wait_s += view.own_prompt_tokens_since / prefill_rate
    request_count = max(request_count, view.own_in_flight_count)
    return EngineEstimate(
        wait_s=wait_s,
        prefill_s=uncached_tokens / prefill_rate,
        between_tokens_s=(request_count + 1) / decode_rate,
    )


def _weighted_mean(reported: float, mean: float, report_weight: float) -> float:
    return report_weight * reported + (1.0 - report_weight) * mean


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

"""Estimates how much prefill time the callers of all gateways ask for.

Queues show a lack of prefill engines only when it is too late, and don't show
prompts that were refused, or prefilled at decode engines for lack of capacity.
So each gateway counts what its own callers ask for and reports it to the
others.
"""

import math
from collections.abc import Iterable

from mulberrywharf.policy import decaying_rate

RATE_TIME_CONSTANT_S = 5.0
"""Time constant of the average, which covers a swing or two: the mix of work
swings within 3 to 15 s, and an engine that changes its role is away for some of
them."""

MAX_REPORT_AGE_S = 4.0
"""Older reports of other gateways are ignored; a gateway with callers reports a
few times a second."""

FORGET_REPORT_S = 60.0
"""A gateway whose last report is older has stopped, or has no callers that ask
for prefill."""

_SENDERS_LIMIT_COUNT = 1_000

MIN_OBSERVATION_S = 2.5
"""No demand is reported until prompts have arrived for this long, because the
few prompts of the first second say little."""


class PrefillDemand:
    """The prefill demand on the engines of one service."""

    def __init__(self) -> None:
        self._own = decaying_rate.DecayingRate(RATE_TIME_CONSTANT_S)
        self._first_prompt_s: float | None = None
        self._reports: dict[int, tuple[float, float]] = {}

    def note(self, work_s: float, now_s: float) -> None:
        """Counts a prompt whose prefill takes a prefill engine ``work_s``."""
        if self._first_prompt_s is None:
            self._first_prompt_s = now_s
        self._own.add(work_s, now_s)

    def own_engines(self, now_s: float) -> float:
        """Returns how many engines this gateway's prompts keep busy."""
        return self._own.per_s(now_s)

    def record_report(self, sender: int, engines: float, now_s: float) -> None:
        """Records the report of another gateway.

        Args:
            sender: Id of the other gateway's process since its last start.
            engines: Number of engines that its prompts keep busy.
            now_s: The current time.
        """
        self._reports.pop(sender, None)
        self._reports[sender] = engines, now_s
        if len(self._reports) > _SENDERS_LIMIT_COUNT:
            # The reports are ordered by their time.
            del self._reports[next(iter(self._reports))]

    def total_engines(self, gateways_count: int, now_s: float) -> float | None:
        """Returns how many engines the prompts of all gateways keep busy.

        Args:
            gateways_count: Number of gateways, including this one. Those
                without a recent report count like the mean of the others.
            now_s: The current time.

        Returns:
            The number of engines, or None while there is too little data.
        """
        if (
            self._first_prompt_s is None
            or now_s - self._first_prompt_s < MIN_OBSERVATION_S
        ):
            return None
        recent = list(self._recent_reports(now_s))
        known = self.own_engines(now_s) + sum(recent)
        return known * max(1.0, gateways_count / (1 + len(recent)))

    def mean_engines(self, gateways_count: int, now_s: float) -> float:
        """Returns how many engines the prompts of all gateways keep busy.

        In large fleets gateways report only with a prompt, and those that just
        had one are the busiest. So a report counts until it has decayed like
        the average that it states, instead of standing for gateways that had
        no prompt.

        Args:
            gateways_count: Number of gateways, including this one. Those that
                never reported count like the mean of the others.
            now_s: The current time.
        """
        decayed = [
            engines * math.exp(-(now_s - at_s) / RATE_TIME_CONSTANT_S)
            for engines, at_s in self._reports.values()
            if now_s - at_s <= FORGET_REPORT_S
        ]
        known = self.own_engines(now_s) + sum(decayed)
        return known * max(1.0, gateways_count / (1 + len(decayed)))

    def _recent_reports(self, now_s: float) -> Iterable[float]:
        return (
            engines
            for engines, at_s in self._reports.values()
            if now_s - at_s <= MAX_REPORT_AGE_S
        )

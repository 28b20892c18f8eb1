"""Simple engine choices that the benchmarks compare ``engine_choice`` with.

Each has the signature of ``engine_choice.choose``. They leave out engines that
cannot serve the request, and otherwise use only their own criterion.
"""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import engine_choice, prefix_index

EngineSelector = Callable[
    [Sequence[fleet.EngineView], random.Random], fleet.EngineView
]
"""Selects one engine from a non-empty list of eligible engines."""


class Chooser(Protocol):
    """A function that chooses an engine for a request."""

    def __call__(
        self,
        views: Sequence[fleet.EngineView],
        request: engine_choice.RequestShape,
        index: prefix_index.PrefixIndex,
        rng: random.Random,
        *,
        now_s: float,
        prefer_zone: str = "",
        excluded_engine_ids: Collection[str] = (),
    ) -> Result[engine_choice.Choice, errors.NoEngineError]:
        """Chooses as ``engine_choice.choose`` does."""
        ...


class Baseline:
    """Chooses by one simple criterion among the eligible engines."""

    def __init__(self, select: EngineSelector):
        self._select = select

    def __call__(
        self,
        views: Sequence[fleet.EngineView],
        request: engine_choice.RequestShape,
        index: prefix_index.PrefixIndex,
        rng: random.Random,
        *,
        now_s: float,
        prefer_zone: str = "",
        excluded_engine_ids: Collection[str] = (),
    ) -> Result[engine_choice.Choice, errors.NoEngineError]:
        """Chooses one engine for both prefill and decode."""
        eligible = _eligible(views, request, excluded_engine_ids)
        if not eligible:
            return Err(errors.NoEngineError("no engine"))
        return Ok(_single_engine_choice(self._select(eligible, rng)))


class RoundRobin(Baseline):
    """Chooses the engines in rotation."""

    def __init__(self) -> None:
        super().__init__(self._select_next)
        self._turn = 0

    def _select_next(
        self, eligible: Sequence[fleet.EngineView], rng: random.Random
    ) -> fleet.EngineView:
        del rng
        self._turn += 1
        return eligible[self._turn % len(eligible)]


def _select_random(
    eligible: Sequence[fleet.EngineView], rng: random.Random
) -> fleet.EngineView:
    return rng.choice(eligible)


def _select_least_reported(
    eligible: Sequence[fleet.EngineView], rng: random.Random
) -> fleet.EngineView:
    del rng
    return min(eligible, key=_reported_count)


choose_random: Chooser = Baseline(_select_random)
"""Chooses a random engine that can serve the request."""

choose_least_reported: Chooser = Baseline(_select_least_reported)
"""Chooses the engine whose last report counts the fewest requests."""


def _eligible(
    views: Sequence[fleet.EngineView],
    request: engine_choice.RequestShape,
    excluded_engine_ids: Collection[str],
) -> list[fleet.EngineView]:
    return [
        view
        for view in views
        if view.vm.vm_id not in excluded_engine_ids
        and engine_choice.serves(view, request)
        and (view.report is None or view.report.role != "prefill")
    ]


def _reported_count(view: fleet.EngineView) -> int:
    if view.report is None:
        return 0
    return view.report.waiting_count + view.report.running_count


def _single_engine_choice(view: fleet.EngineView) -> engine_choice.Choice:
    return engine_choice.Choice(
        prefill=view.vm,
        decode=view.vm,
        first_token_s=0.0,
        between_tokens_s=0.0,
    )

"""Simple choices of engine that the bench compares ours with.

Each has the signature of ``engine_choice.choose``. They leave out engines
that must not get work, and look at nothing else that they do not name.
"""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import engine_choice, prefix_index

Pick = Callable[[Sequence[fleet.EngineView], random.Random], fleet.EngineView]
"""Picks one of the engines that serve the request; there is at least one."""


class Chooser(Protocol):
    """Any way to choose an engine."""

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
    """Chooses by one simple criterion among the engines that serve."""

    def __init__(self, pick: Pick):
        self._pick = pick

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
        """Chooses an engine that does the whole request."""
        usable = _usable(views, request, excluded_engine_ids)
        if not usable:
            return Err(errors.NoEngineError("no engine"))
        return Ok(_whole(self._pick(usable, rng)))


class RoundRobin(Baseline):
    """Chooses the engines in turn."""

    def __init__(self) -> None:
        super().__init__(self._pick_next)
        self._turn = 0

    def _pick_next(
        self, usable: Sequence[fleet.EngineView], rng: random.Random
    ) -> fleet.EngineView:
        del rng
        self._turn += 1
        return usable[self._turn % len(usable)]


def _pick_random(
    usable: Sequence[fleet.EngineView], rng: random.Random
) -> fleet.EngineView:
    return rng.choice(usable)


def _pick_least_reported(
    usable: Sequence[fleet.EngineView], rng: random.Random
) -> fleet.EngineView:
    del rng
    return min(usable, key=_reported_count)


choose_random: Chooser = Baseline(_pick_random)
"""Chooses any engine that serves the request."""

choose_least_reported: Chooser = Baseline(_pick_least_reported)
"""Chooses the engine whose last report names the fewest requests."""


def _usable(
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


def _whole(view: fleet.EngineView) -> engine_choice.Choice:
    return engine_choice.Choice(
        prefill=view.vm,
        decode=view.vm,
        first_token_s=0.0,
        between_tokens_s=0.0,
    )

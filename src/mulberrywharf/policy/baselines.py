"""Simple choices of engine that the bench compares ours with.

Each has the signature of ``engine_choice.choose``. They leave out engines
that must not get work, and look at nothing else that they do not name.
"""

import random
from collections.abc import Collection, Sequence
from typing import Protocol

from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.policy import engine_choice, prefix_index


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


def choose_random(
    views: Sequence[fleet.EngineView],
    request: engine_choice.RequestShape,
    index: prefix_index.PrefixIndex,
    rng: random.Random,
    *,
    now_s: float,
    prefer_zone: str = "",
    excluded_engine_ids: Collection[str] = (),
) -> Result[engine_choice.Choice, errors.NoEngineError]:
    """Chooses any engine that serves the request."""
    usable = _usable(views, request, excluded_engine_ids)
    if not usable:
        return Err(errors.NoEngineError("no engine"))
    return Ok(_whole(rng.choice(usable)))


def choose_least_reported(
    views: Sequence[fleet.EngineView],
    request: engine_choice.RequestShape,
    index: prefix_index.PrefixIndex,
    rng: random.Random,
    *,
    now_s: float,
    prefer_zone: str = "",
    excluded_engine_ids: Collection[str] = (),
) -> Result[engine_choice.Choice, errors.NoEngineError]:
    """Chooses the engine whose last report names the fewest requests."""
    usable = _usable(views, request, excluded_engine_ids)
    if not usable:
        return Err(errors.NoEngineError("no engine"))
    return Ok(_whole(min(usable, key=_reported_count)))


class RoundRobin:
    """Chooses the engines in turn."""

    def __init__(self) -> None:
        self._turn = 0

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
        """Chooses the next engine that serves the request."""
        usable = _usable(views, request, excluded_engine_ids)
        if not usable:
            return Err(errors.NoEngineError("no engine"))
        self._turn += 1
        return Ok(_whole(usable[self._turn % len(usable)]))


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

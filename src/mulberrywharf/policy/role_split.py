"""Decides how many engines of a service prefill and how many decode.

In a fixed fleet the mix of prompt and output work swings within seconds. With
too few prefill engines prompts wait, and the excess is prefilled at decode
engines between the tokens of running streams, which then pause for too long.
With too few decode engines batches fill up, and the loss of one engine ends
more streams.

A role change takes an engine out of service for seconds, so decisions use
averages over some seconds rather than short swings, and only some engines
change at a time.
"""

import functools
import math
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the load average. A change takes an engine out of service
for about 3 s and pays off only afterwards; swings can be as short as 3 s."""

SETTLE_TIME_S = 3.0
"""No engine changes its role for this long after the set of engines has
changed: a lost engine is often back, or replaced, within this time."""

ADD_PREFILL_ABOVE_SHARE = 0.75
"""Utilization of the prefill engines above which one more is needed. By the
usual queueing formula for random arrivals, the wait exceeds the prefill time
itself above two thirds to three quarters, and bursts add to that."""

RELEASE_PREFILL_UP_TO_SHARE = 0.55
"""Utilization of the remaining prefill engines up to which one can be given up;
well below the other bound, so that engines don't switch back and forth."""

RELEASE_DECODE_UP_TO_SHARE = 0.3
"""Share of the remaining decode engines' slots that may be in use after one has
left them. Prompts can be prefilled anywhere, but streams need decode engines,
and the mix swings: the share can rise from 0.28 to 1.0 within 20 s. If engines
have left before such a swing, one caller in ten may get no answer in time."""

ADD_DECODE_ABOVE_SHARE = 0.75
"""Share of the decode engines' slots in use above which one more is needed: a
burst of a third more would fill them."""

MIN_DECODE_COUNT = 2
"""Minimum number of decode engines; with only one, its loss ends all
streams."""

SPEED_CLASS_LOG = 0.3
"""Logarithm of the ratio of slowdowns by which engines differ in speed. A
smaller difference, such as errors of measurement, doesn't decide which engine
changes its role. Prefill engines should be fast, because a slow one delays the
first token of each of its prompts."""

MAX_CHANGING_SHARE = 0.25
"""Maximum share of a service's engines that change their role at the same time;
one is always allowed."""


_LIMIT_REACHED = "the maximum number of engines is already changing roles"


class EngineLoad(NamedTuple):
    """Recent report of an engine.

    Attributes:
        server: The engine, with the role that it reports.
        running_count: Requests that it is working on.
        waiting_count: Requests in its queue.
        is_changing: Whether it is carrying out a role order.
        slowdown: Its lasting slowdown relative to its role, 1 if unknown.
    """

    server: fleet.Server
    running_count: int
    waiting_count: int
    is_changing: bool = False
    slowdown: float = 1.0

    @property
    def requests_count(self) -> int:
        """Running and waiting requests."""
        return self.running_count + self.waiting_count


class Pressure(NamedTuple):
    """Average load of the engines of a service.

    Attributes:
        wanted_prefill: Number of prefill engines that the prefill work would
            keep busy.
        decode_share: Running and waiting requests per slot of the decode
            engines; above 1 if more requests wait than slots are free.
    """

    wanted_prefill: float
    decode_share: float


class Change(NamedTuple):
    """One engine changes its role.

    Attributes:
        server: The engine.
        role: Its next role.
        pressure: The load that the decision is based on, None if it is unknown.
    """

    server: fleet.Server
    role: fleet.Role
    pressure: Pressure | None


class Stay(NamedTuple):
    """No engine changes its role now.

    Attributes:
        reason: Explanation for operators.
        pressure: The load that the decision is based on, None if it is unknown.
    """

    reason: str
    pressure: Pressure | None = None


Decision = Change | Stay
"""Result of ``RoleSplit.decide``."""


@functools.singledispatch
def describe(decision: object) -> str:
    """Describes a decision and its reason in one line."""
    raise TypeError(f"not a decision: {decision!r}")


@describe.register
def _describe_change(decision: Change) -> str:
    return f"{decision.server.server_id} changes its role to {decision.role}"


@describe.register
def _describe_stay(decision: Stay) -> str:
    return f"no change: {decision.reason}"


class RoleSplit:
    """Decides on role changes of one service from the loads of its engines."""

    def __init__(self, min_prefill_share: float | None = None) -> None:
        """Creates it.

        Args:
            min_prefill_share: Minimum share of the engines that prefill,
                whatever the load; None if there is no minimum. Where engines
                are replaced, new ones start in the decode role, and those that
                go may be the prefill engines.
        """
        self._min_prefill_share = min_prefill_share
        self._short_since_s: float | None = None
        self._engines: frozenset[fleet.ServerStart] = frozenset()
        self._changed_at_s = 0.0
        self._decode_share = _MovingAverage()

    def decide(
        self,
        loads: Sequence[EngineLoad],
        wanted_prefill: float | None,
        now_s: float,
    ) -> Decision:
        """Decides on the next role change.

        Args:
            loads: Current loads of all engines of the service; an engine that
                is changing its role counts in its next one.
            wanted_prefill: Number of prefill engines that prefill work keeps
                busy, None if unknown.
            now_s: The current time.
        """
        engines = frozenset(load.server.start for load in loads)
        if engines != self._engines:
            self._engines = engines
            self._changed_at_s = now_s
        pressure = self._pressure(loads, wanted_prefill, now_s)
        if self._is_short_for_long(loads, now_s):
            if _is_limit_reached(loads):
                return Stay(_LIMIT_REACHED, pressure)
            return _restore_prefill(loads, pressure)
        if pressure is None:
            return Stay("not enough load data yet")
        if now_s - self._changed_at_s < SETTLE_TIME_S:
            return Stay("the set of engines has just changed", pressure)
        if _is_limit_reached(loads):
            return Stay(_LIMIT_REACHED, pressure)
        decision = _decide(loads, pressure)
        if (
            isinstance(decision, Change)
            and decision.role == "decode"
            and self._is_short(loads, _prefill_count(loads) - 1)
        ):
            return Stay("the minimum share of engines prefills", pressure)
        return decision

    def _pressure(
        self,
        loads: Sequence[EngineLoad],
        wanted_prefill: float | None,
        now_s: float,
    ) -> Pressure | None:
        share = _decode_share(loads)
        if share is None or wanted_prefill is None:
            return None
        return Pressure(wanted_prefill, self._decode_share.note(share, now_s))

    def _is_short(
        self, loads: Sequence[EngineLoad], prefill_count: int
    ) -> bool:
        """Tells whether that many prefill engines are below the minimum."""
        if self._min_prefill_share is None:
            return False
        # Without the margin, 0.1 of 30 engines would be above 3.
        return prefill_count < self._min_prefill_share * len(loads) - 1e-6

    def _is_short_for_long(
        self, loads: Sequence[EngineLoad], now_s: float
    ) -> bool:
        """Tells whether too few have prefilled for the settling time.

        The time runs from the first round with too few, and not from the last
        change of the set of engines: where engines are replaced one zone after
        the other, the set might not be unchanged for that long before most
        prefill engines are gone. An engine that is lost and back within the
        time causes no order, as elsewhere.
        """
        if not self._is_short(loads, _prefill_count(loads)):
            self._short_since_s = None
            return False
        if self._short_since_s is None:
            self._short_since_s = now_s
        return now_s - self._short_since_s >= SETTLE_TIME_S


class _MovingAverage:
    """Exponentially weighted moving average."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum = 0.0
        self._updated_s = 0.0

    def note(self, value: float, now_s: float) -> float:
        decay = math.exp(-(now_s - self._updated_s) / LOAD_TIME_CONSTANT_S)
        self._updated_s = now_s
        self._weight = self._weight * decay + 1.0
        self._sum = self._sum * decay + value
        return self._sum / self._weight


def _decode_share(loads: Sequence[EngineLoad]) -> float | None:
    decodes = _not_changing(loads, "decode")
    slots_count = sum(load.server.slots_count for load in decodes)
    if not slots_count:
        return None
    return sum(load.requests_count for load in decodes) / slots_count


def _prefill_count(loads: Sequence[EngineLoad]) -> int:
    return sum(load.server.role == "prefill" for load in loads)


def _is_limit_reached(loads: Sequence[EngineLoad]) -> bool:
    """Tells whether no further engine may change its role now."""
    changing_count = sum(load.is_changing for load in loads)
    return changing_count >= max(1, int(MAX_CHANGING_SHARE * len(loads)))


def _restore_prefill(
    loads: Sequence[EngineLoad], pressure: Pressure | None
) -> Decision:
    """Changes a decode engine's role, however busy both roles are."""
    movable = _movable_decodes(loads)
    if len(_not_changing(loads, "decode")) <= MIN_DECODE_COUNT or not movable:
        return Stay("no decode engine can be spared", pressure)
    return Change(movable[0].server, "prefill", pressure)


def _decide(loads: Sequence[EngineLoad], pressure: Pressure) -> Decision:
    prefill_count = _prefill_count(loads)
    if pressure.wanted_prefill > ADD_PREFILL_ABOVE_SHARE * prefill_count:
        return _change_to_prefill(loads, pressure)
    if pressure.decode_share > ADD_DECODE_ABOVE_SHARE:
        return _change_to_decode(loads, pressure)
    return Stay("the split fits the load", pressure)


def _change_to_prefill(
    loads: Sequence[EngineLoad], pressure: Pressure
) -> Decision:
    decodes = _not_changing(loads, "decode")
    remaining_count = len(decodes) - 1
    movable = _movable_decodes(loads)
    if remaining_count < MIN_DECODE_COUNT or not movable:
        return Stay("no decode engine can be spared", pressure)
    after_share = pressure.decode_share * len(decodes) / remaining_count
    if after_share > RELEASE_DECODE_UP_TO_SHARE:
        return Stay("both roles have much to do", pressure)
    return Change(movable[0].server, "prefill", pressure)


def _change_to_decode(
    loads: Sequence[EngineLoad], pressure: Pressure
) -> Decision:
    prefills = _not_changing(loads, "prefill")
    remaining_count = len(prefills) - 1
    if remaining_count < 1:
        return Stay("no prefill engine can be spared", pressure)
    if pressure.wanted_prefill > RELEASE_PREFILL_UP_TO_SHARE * remaining_count:
        return Stay("both roles have much to do", pressure)
    slowest = min(
        prefills, key=lambda load: (-_speed_class(load), load.requests_count)
    )
    return Change(slowest.server, "decode", pressure)


def _movable_decodes(loads: Sequence[EngineLoad]) -> list[EngineLoad]:
    """Returns decode engines that may become prefill engines, best first.

    An availability zone keeps at least one decode engine, so that it can still
    answer when it is cut off from the others. Engines in zones with few prefill
    engines come first, among them lastingly faster ones, and among these those
    with few streams, which have to end before the change.
    """
    decodes = _not_changing(loads, "decode")
    zones = [load.server.availability_zone for load in decodes]
    prefill_zones = [
        load.server.availability_zone
        for load in loads
        if load.server.role == "prefill"
    ]
    movable = [
        load
        for load in decodes
        if zones.count(load.server.availability_zone) > 1
    ]
    return sorted(
        movable,
        key=lambda load: (
            prefill_zones.count(load.server.availability_zone),
            _speed_class(load),
            load.requests_count,
            load.server.server_id,
        ),
    )


def _speed_class(load: EngineLoad) -> int:
    """Returns the class of an engine's speed, lower for faster engines."""
    return round(math.log(load.slowdown) / SPEED_CLASS_LOG)


def _not_changing(
    loads: Sequence[EngineLoad], role: fleet.Role
) -> list[EngineLoad]:
    return [
        load
        for load in loads
        if load.server.role == role and not load.is_changing
    ]

"""How many engines prefill and how many decode, by what callers ask for.

The load it answers: a fixed fleet whose mix of prompt and output work swings
within seconds. With too few prefill engines prompts wait, and what they can't
take is read at decode engines between the tokens of others, whose streams then
pause too long. With too few decode engines batches fill, and each engine that
is lost takes more streams with it.

A change takes an engine away for seconds, so what counts is the mean over some
seconds and not a swing. Only some engines change at a time.
"""

import functools
import math
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet

MEAN_CONSTANT_S = 5.0
"""Loads are averaged over about so long. A change takes an engine away for
about 3 s and pays in what follows; swings are as short as 3 s."""

SETTLED_AFTER_S = 3.0
"""Means are acted on so long after the fleet has changed by itself: an engine
that was lost is often back, or another one is, within that time."""

FULL_PREFILL_SHARE = 0.75
"""Part of the time of prefill engines that reading takes, from which they need
one more. Beyond two thirds to three quarters a queue's wait exceeds the reading
itself, by the usual formula for random arrivals, and bursts come on top."""

SPARE_PREFILL_SHARE = 0.55
"""Part of the time of the remaining prefill engines up to which one of them can
be spared; well below the other bound, so that no engine goes to and fro."""

MOST_DECODE_SHARE = 0.3
"""Part of the slots of the remaining decode engines that may be taken after one
has left them. Prompts can be read anywhere, streams can not; and the mix
swings: on one load the share went from 0.28 to 1.0 within 20 s, and engines
that had left at 0.28 cost every tenth caller an answer in time."""

FULL_DECODE_SHARE = 0.75
"""Part of the slots of decode engines that are taken, from which they need one
more: a burst of a third would fill them."""

LEAST_DECODE_COUNT = 2
"""Decode engines that a fleet keeps; with one, each loss of it ends all."""

CHANGING_SHARE = 0.25
"""Part of a service's engines that may be away for a change at once; at least
one."""


class EngineLoad(NamedTuple):
    """What an engine said of itself a moment ago.

    Attributes:
        server: The engine, with the role that it says it plays.
        running_count: Requests that it works on.
        waiting_count: Requests in its queue.
        is_changing: Whether an order is being carried out.
    """

    server: fleet.Server
    running_count: int
    waiting_count: int
    is_changing: bool = False

    @property
    def requests_count(self) -> int:
        """Requests that it has."""
        return self.running_count + self.waiting_count


class Pressure(NamedTuple):
    """How much the engines of a service have to do on the mean.

    Attributes:
        wanted_prefill: Prefill engines that reading would keep busy.
        decode_share: Part of the slots of the decode engines that is taken.
    """

    wanted_prefill: float
    decode_share: float


class Change(NamedTuple):
    """One engine is to change its role.

    Attributes:
        server: The engine.
        role: Its next role.
        pressure: What decided it.
    """

    server: fleet.Server
    role: fleet.Role
    pressure: Pressure


class Stay(NamedTuple):
    """No engine changes its role now.

    Attributes:
        reason: Why, for operators.
        pressure: What decided it, None if nothing is known.
    """

    reason: str
    pressure: Pressure | None = None


Decision = Change | Stay
"""What ``RoleSplit.decide`` returns."""


@functools.singledispatch
def describe(decision: object) -> str:
    """Says in a line what was decided and why."""
    raise TypeError(f"not a decision: {decision!r}")


@describe.register
def _describe_change(decision: Change) -> str:
    return f"{decision.server.server_id} is to {decision.role}"


@describe.register
def _describe_stay(decision: Stay) -> str:
    return f"no change: {decision.reason}"


class RoleSplit:
    """Watches the loads of the engines of one service."""

    def __init__(self) -> None:
        self._engines: frozenset[fleet.ServerStart] = frozenset()
        self._since_s = 0.0
        self._decode_share = _Mean()

    def decide(
        self,
        loads: Sequence[EngineLoad],
        wanted_prefill: float | None,
        now_s: float,
    ) -> Decision:
        """Decides on the next change.

        Args:
            loads: All engines of the service, as they are now; one that is
                changing counts in the role that it is to have.
            wanted_prefill: Prefill engines that reading would keep busy, None
                while that isn't known.
            now_s: The present.
        """
        engines = frozenset(load.server.start for load in loads)
        if engines != self._engines:
            self._engines = engines
            self._since_s = now_s
        share = _decode_share(loads)
        if share is None or wanted_prefill is None:
            return Stay("too little is known of the load")
        pressure = Pressure(
            wanted_prefill, self._decode_share.note(share, now_s)
        )
        if now_s - self._since_s < SETTLED_AFTER_S:
            return Stay("the fleet has just changed", pressure)
        changing_count = sum(load.is_changing for load in loads)
        if changing_count >= max(1, int(CHANGING_SHARE * len(loads))):
            return Stay("enough engines are changing", pressure)
        return _decide(loads, pressure)


class _Mean:
    """The mean of what is noted, the newest counting most."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum = 0.0
        self._noted_s = 0.0

    def note(self, seen: float, now_s: float) -> float:
        kept = math.exp(-(now_s - self._noted_s) / MEAN_CONSTANT_S)
        self._noted_s = now_s
        self._weight = self._weight * kept + 1.0
        self._sum = self._sum * kept + seen
        return self._sum / self._weight


def _decode_share(loads: Sequence[EngineLoad]) -> float | None:
    decodes = _staying(loads, "decode")
    slots_count = sum(load.server.slots_count for load in decodes)
    if not slots_count:
        return None
    return sum(load.requests_count for load in decodes) / slots_count


def _decide(loads: Sequence[EngineLoad], pressure: Pressure) -> Decision:
    prefill_count = sum(load.server.role == "prefill" for load in loads)
    if pressure.wanted_prefill > FULL_PREFILL_SHARE * prefill_count:
        return _to_prefill(loads, pressure)
    if pressure.decode_share > FULL_DECODE_SHARE:
        return _to_decode(loads, pressure)
    return Stay("the split fits the load", pressure)


def _to_prefill(loads: Sequence[EngineLoad], pressure: Pressure) -> Decision:
    decodes = _staying(loads, "decode")
    left_count = len(decodes) - 1
    movable = _movable_decodes(loads)
    if left_count < LEAST_DECODE_COUNT or not movable:
        return Stay("no decode engine can be spared", pressure)
    after_share = pressure.decode_share * len(decodes) / left_count
    if after_share > MOST_DECODE_SHARE:
        return Stay("both roles have much to do", pressure)
    return Change(movable[0].server, "prefill", pressure)


def _to_decode(loads: Sequence[EngineLoad], pressure: Pressure) -> Decision:
    prefills = _staying(loads, "prefill")
    left_count = len(prefills) - 1
    if left_count < 1:
        return Stay("no prefill engine can be spared", pressure)
    if pressure.wanted_prefill > SPARE_PREFILL_SHARE * left_count:
        return Stay("both roles have much to do", pressure)
    least = min(prefills, key=lambda load: load.requests_count)
    return Change(least.server, "decode", pressure)


def _movable_decodes(loads: Sequence[EngineLoad]) -> list[EngineLoad]:
    """Returns decode engines that may become prefill engines, best first.

    An availability zone that has a decode engine keeps one: cut off from the
    others it can then still answer. Zones with few prefill engines come
    first, and engines with few streams, which have to end before the change.
    """
    decodes = _staying(loads, "decode")
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
            load.requests_count,
            load.server.server_id,
        ),
    )


def _staying(loads: Sequence[EngineLoad], role: fleet.Role) -> list[EngineLoad]:
    return [
        load
        for load in loads
        if load.server.role == role and not load.is_changing
    ]

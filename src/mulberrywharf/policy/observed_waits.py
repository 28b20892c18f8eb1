"""How long engines let prompts wait, by the answers that came and that don't.

A queue that is followed by what was placed there is wrong when engines fail or
turn slow, when prompts come again, or when what a gateway counts for all is not
what the others send. What an answer took beyond its own reading is the wait
that the engine had, and holds for a moment. A prompt that is still unanswered
shows a wait even sooner: at the onset of an overload no answers come at all for
a second, and a gateway that goes by answers alone sends on all the while.
"""

import math
from typing import Literal, NamedTuple

from mulberrywharf import fleet

AGE_CONSTANT_S = 0.4
"""A wait fades by 1/e in this time: a gateway has an answer of each engine
some four times a second, and a burst is over within seconds."""

WEIGHT = 0.4
"""Of a new answer against what is left of earlier ones."""

NOISE_S = 0.03
"""Taken off each wait: a step of a full batch and the ways there and back."""


Matter = Literal["read", "start"]
"""A prompt that an engine reads, or one that it goes on from a prefill."""


class Awaited(NamedTuple):
    """A prompt whose answer has not begun.

    Attributes:
        engine: Where it is.
        matter: What the engine does first.
        sent_s: When it was sent.
        unqueued_s: What it would take at an idle engine.
    """

    engine: fleet.ServerStart
    matter: Matter
    sent_s: float
    unqueued_s: float


class _Wait:
    """The wait of one matter at one engine, and when it was last observed."""

    __slots__ = ("at_s", "awaited", "wait_s")

    def __init__(self) -> None:
        self.wait_s = 0.0
        self.at_s = 0.0
        # In the order of sending: the first one has waited longest.
        self.awaited: dict[int, Awaited] = {}


class ObservedWaits:
    """The waits of all engines, as this gateway's own requests meet them."""

    def __init__(self) -> None:
        self._waits: dict[tuple[fleet.ServerStart, Matter], _Wait] = {}

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that left."""
        self._waits = {
            key: wait
            for key, wait in self._waits.items()
            if key[0] in engines or wait.awaited
        }

    def sent(self, awaited: Awaited) -> None:
        """Notes that a prompt was sent; ``answered`` or ``failed`` follows."""
        wait = self._wait(awaited.engine, awaited.matter)
        wait.awaited[id(awaited)] = awaited

    def failed(self, awaited: Awaited) -> None:
        """Notes that a prompt's answer will not come."""
        wait = self._wait(awaited.engine, awaited.matter)
        wait.awaited.pop(id(awaited), None)

    def answered(self, awaited: Awaited, now_s: float) -> None:
        """Notes that a prompt's answer has begun."""
        self.failed(awaited)
        seen_s = _over_s(awaited, now_s)
        wait = self._wait(awaited.engine, awaited.matter)
        held_s = _faded_s(wait, now_s)
        wait.wait_s = held_s + WEIGHT * (seen_s - held_s)
        wait.at_s = now_s

    def wait_s(
        self, engine: fleet.ServerStart, matter: Matter, now_s: float
    ) -> float:
        """Returns how long a prompt would wait at an engine, by all that."""
        wait = self._waits.get((engine, matter))
        if wait is None:
            return 0.0
        oldest = next(iter(wait.awaited.values()), None)
        shown_s = _over_s(oldest, now_s) if oldest is not None else 0.0
        return max(shown_s, _faded_s(wait, now_s))

    def _wait(self, engine: fleet.ServerStart, matter: Matter) -> _Wait:
        return self._waits.setdefault((engine, matter), _Wait())


def _over_s(awaited: Awaited, now_s: float) -> float:
    took_s = now_s - awaited.sent_s
    return max(0.0, took_s - awaited.unqueued_s - NOISE_S)


def _faded_s(wait: _Wait, now_s: float) -> float:
    return wait.wait_s * math.exp(-(now_s - wait.at_s) / AGE_CONSTANT_S)

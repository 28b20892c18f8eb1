"""Estimates how long prompts wait at engines, from answers and their absence.

A queue length derived from placements is wrong if engines fail or slow down, if
prompts are retried, or if what a gateway assumes of the other gateways' prompts
is not what they send. The time that an answer took beyond its own prefill is
the wait at the engine, and stays valid for a moment. A prompt that is still
unanswered shows a wait even earlier: at the onset of an overload no answers
arrive for a second, and a gateway that relied on answers alone would keep
sending.
"""

import math
from typing import Literal, NamedTuple

from mulberrywharf import fleet

WAIT_TIME_CONSTANT_S = 0.4
"""An observed wait decays by 1/e in this time: a gateway gets an answer from
each engine about four times a second, and a burst is over within seconds."""

EWMA_WEIGHT = 0.4
"""Weight of a new answer against the decayed earlier ones."""

STEP_AND_NETWORK_S = 0.03
"""Subtracted from each wait: a step of a full batch and the network round
trip."""


WorkKind = Literal["read", "start"]
"""Whether an engine prefills a prompt or continues a prefilled one."""


class PendingPrompt(NamedTuple):
    """A prompt whose answer has not begun.

    Attributes:
        engine: The engine that it was sent to.
        kind: What the engine does first.
        sent_s: When it was sent.
        unloaded_s: Time to its answer at an idle engine.
    """

    engine: fleet.ServerStart
    kind: WorkKind
    sent_s: float
    unloaded_s: float


class _Wait:
    """Observed wait and unanswered prompts of one kind at one engine."""

    __slots__ = ("at_s", "awaited", "wait_s")

    def __init__(self) -> None:
        self.wait_s = 0.0
        self.at_s = 0.0
        # In the order of sending, so the first has waited longest.
        self.awaited: dict[int, PendingPrompt] = {}


class ObservedWaits:
    """Waits at all engines, as seen by this gateway's own requests."""

    def __init__(self) -> None:
        self._waits: dict[tuple[fleet.ServerStart, WorkKind], _Wait] = {}

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets other engines, except those with unanswered prompts."""
        self._waits = {
            key: wait
            for key, wait in self._waits.items()
            if key[0] in engines or wait.awaited
        }

    def sent(self, awaited: PendingPrompt) -> None:
        """Records a sent prompt; ``answered`` or ``failed`` must follow."""
        wait = self._wait(awaited.engine, awaited.kind)
        wait.awaited[id(awaited)] = awaited

    def failed(self, awaited: PendingPrompt) -> None:
        """Records that a prompt will not be answered."""
        wait = self._wait(awaited.engine, awaited.kind)
        wait.awaited.pop(id(awaited), None)

    def answered(
        self, awaited: PendingPrompt, now_s: float, slowdown: float = 1.0
    ) -> None:
        """Records that a prompt's answer has begun.

        Args:
            awaited: The prompt.
            now_s: The current time.
            slowdown: Factor by which the engine states that it was slower than
                assumed when the prompt was sent.
        """
        self.failed(awaited)
        unloaded_s = awaited.unloaded_s * slowdown
        observed_s = _excess_s(awaited._replace(unloaded_s=unloaded_s), now_s)
        wait = self._wait(awaited.engine, awaited.kind)
        previous_s = _decayed_s(wait, now_s)
        wait.wait_s = previous_s + EWMA_WEIGHT * (observed_s - previous_s)
        wait.at_s = now_s

    def wait_s(
        self, engine: fleet.ServerStart, kind: WorkKind, now_s: float
    ) -> float:
        """Returns the estimated wait of a prompt at an engine."""
        wait = self._waits.get((engine, kind))
        if wait is None:
            return 0.0
        oldest = next(iter(wait.awaited.values()), None)
        oldest_wait_s = _excess_s(oldest, now_s) if oldest is not None else 0.0
        return max(oldest_wait_s, _decayed_s(wait, now_s))

    def _wait(self, engine: fleet.ServerStart, kind: WorkKind) -> _Wait:
        return self._waits.setdefault((engine, kind), _Wait())


def _excess_s(awaited: PendingPrompt, now_s: float) -> float:
    took_s = now_s - awaited.sent_s
    return max(0.0, took_s - awaited.unloaded_s - STEP_AND_NETWORK_S)


def _decayed_s(wait: _Wait, now_s: float) -> float:
    return wait.wait_s * math.exp(-(now_s - wait.at_s) / WAIT_TIME_CONSTANT_S)

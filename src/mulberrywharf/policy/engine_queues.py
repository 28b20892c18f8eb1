"""Estimates the length of each engine's prefill queue at one gateway.

Load reports arrive late, and asking for one takes a call. A burst can be over
before the report arrives. So each queue is modelled as a fluid: each prompt
adds its prefill time, and the queue shrinks as time passes. Prompts that other
gateways send to an engine are added when those gateways report them.

This is an estimate. ``prefill_queue`` is the queue as its owner counts it from
the placements of all gateways.
"""

from typing import NamedTuple

from mulberrywharf import fleet


class Ticket(NamedTuple):
    """A prompt's position in an engine's queue.

    Attributes:
        engine: The engine.
        cumulative_work_s: All work ever added to the queue, up to and including
            this prompt.
    """

    engine: fleet.ServerStart
    cumulative_work_s: float


class EngineQueues:
    """The queue of each engine, stored as the time when it will be empty."""

    def __init__(self) -> None:
        self._empty_at_s: dict[fleet.ServerStart, float] = {}
        self._cumulative_work_s: dict[fleet.ServerStart, float] = {}

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that are not in ``engines``."""
        for by_engine in (self._empty_at_s, self._cumulative_work_s):
            for engine in by_engine.keys() - engines:
                del by_engine[engine]

    def wait_s(self, engine: fleet.ServerStart, now_s: float) -> float:
        """Returns how long a new prompt would wait at an engine."""
        return max(0.0, self._empty_at_s.get(engine, 0.0) - now_s)

    def add(
        self, engine: fleet.ServerStart, work_s: float, now_s: float
    ) -> Ticket:
        """Adds a prompt whose prefill takes an engine ``work_s``."""
        waited_s = self.wait_s(engine, now_s)
        self._empty_at_s[engine] = now_s + waited_s + work_s
        self._cumulative_work_s[engine] = (
            self._cumulative_work_s.get(engine, 0.0) + work_s
        )
        return Ticket(engine, self._cumulative_work_s[engine])

    def set_wait(
        self, engine: fleet.ServerStart, wait_s: float, now_s: float
    ) -> None:
        """Replaces the estimate of a queue by the wait that its owner reported.

        The queue owner is the gateway that counts all prompts of the engine;
        see ``prefill_queue``.
        """
        self._empty_at_s[engine] = now_s + wait_s

    def finished(self, ticket: Ticket, now_s: float) -> None:
        """Corrects a queue after the prefill of a prompt.

        Engines prefill prompts of equal priority in the order of arrival. So
        the work that was added up to this prompt is done, and the work that was
        added after it is not. Call this only for prompts in that order: after a
        prompt that overtook others, a queue that takes one second would look
        empty.
        """
        engine = ticket.engine
        work_behind_s = (
            self._cumulative_work_s.get(engine, 0.0) - ticket.cumulative_work_s
        )
        self._empty_at_s[engine] = now_s + max(0.0, work_behind_s)

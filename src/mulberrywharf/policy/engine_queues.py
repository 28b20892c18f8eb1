"""How long each engine's prefill queue is believed to be.

Reports of load come late or cost a call, and a burst is over in the time that
they take. So a queue is followed like a fluid: each prompt adds the time that
reading it takes, and the queue drains as time passes. Prompts that other nodes
send there are added when they tell of them.
"""

from typing import NamedTuple

from mulberrywharf import fleet


class Ticket(NamedTuple):
    """A prompt's place in an engine's queue.

    Attributes:
        engine: The engine.
        added_s: All work ever added there, up to and with this prompt.
    """

    engine: fleet.ServerStart
    added_s: float


class EngineQueues:
    """The queue of each engine, by when it will have drained."""

    def __init__(self) -> None:
        self._drained_s: dict[fleet.ServerStart, float] = {}
        self._added_s: dict[fleet.ServerStart, float] = {}

    def keep_only(self, engines: frozenset[fleet.ServerStart]) -> None:
        """Forgets engines that left."""
        for by_engine in (self._drained_s, self._added_s):
            for engine in by_engine.keys() - engines:
                del by_engine[engine]

    def wait_s(self, engine: fleet.ServerStart, now_s: float) -> float:
        """Returns how long a new prompt would wait at an engine."""
        return max(0.0, self._drained_s.get(engine, 0.0) - now_s)

    def add(
        self, engine: fleet.ServerStart, work_s: float, now_s: float
    ) -> Ticket:
        """Adds a prompt that takes an engine ``work_s`` to read."""
        waited_s = self.wait_s(engine, now_s)
        self._drained_s[engine] = now_s + waited_s + work_s
        self._added_s[engine] = self._added_s.get(engine, 0.0) + work_s
        return Ticket(engine, self._added_s[engine])

    def told(
        self, engine: fleet.ServerStart, wait_s: float, now_s: float
    ) -> None:
        """Takes in how long a prompt would wait, by whoever counts them all."""
        self._drained_s[engine] = now_s + wait_s

    def finished(self, ticket: Ticket, now_s: float) -> None:
        """Corrects a queue by a prompt that was just read.

        Whatever was added before that prompt is read too, and nothing that
        was added after it: an engine reads prompts of equal priority in the
        order in which they come. Only such a prompt may be told of here; one
        that overtakes the others says nothing of them, and taken for one in
        the order it would make a queue of a second look empty.
        """
        engine = ticket.engine
        behind_s = self._added_s.get(engine, 0.0) - ticket.added_s
        self._drained_s[engine] = now_s + max(0.0, behind_s)

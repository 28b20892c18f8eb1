"""Faults that tests ask the stand-in engine for."""

from typing import Any, NamedTuple

import gevent
import gevent.event

from standins import engine_batch

_PARTNER_WAIT_S = 5.0


class StreamFault(NamedTuple):
    """What happens to one answer after some tokens.

    Attributes:
        kind: ``cut`` breaks the connection, ``silent`` leaves it open and
            says no more, ``short`` ends it cleanly without a finish reason.
        after_tokens: Tokens sent before.
    """

    kind: str
    after_tokens: int


_STREAM_FAULTS = {
    "cut_stream_after_tokens": "cut",
    "silent_after_tokens": "silent",
    "short_stream": "short",
}
_PLAIN_FAULTS = (
    "crash_mid_change",
    "crash_on",
    "slow_factor",
    "cross_answers",
    "late_answer_s",
    "drop_order_answers",
    "limit",
    "stream_fault_count",
    *_STREAM_FAULTS,
)


class Faults:
    """The faults in force; each POST lays its fields over them.

    Attributes:
        late_answer_s: Wait before each answer's first byte.
        cross_answers: So many pairs of concurrent answers are swapped.
        drop_order_answers: So many orders are taken without an answer.
        crash_on: The process ends under each prompt that holds this text.
        limit: Value of the request limit field in each answer; no field if it
            is empty.
    """

    def __init__(self) -> None:
        self.late_answer_s = 0.0
        self.cross_answers = 0
        self.drop_order_answers = 0
        self.crash_on = ""
        self.limit = ""
        self._stream_fault: StreamFault | None = None
        self._stream_fault_count = 0
        self._lone: engine_batch.Run | None = None
        self._partners: dict[engine_batch.Run, engine_batch.Run] = {}
        self._paired = gevent.event.Event()

    def update(self, fields: dict[str, Any]) -> list[str]:
        """Lays fields over the faults in force.

        Args:
            fields: As posted; a stream fault that is 0 or more holds for the
                next ``stream_fault_count`` answers (default 1).

        Returns:
            The unknown names, in which case nothing changed.
        """
        unknown = [name for name in fields if name not in _PLAIN_FAULTS]
        if unknown:
            return unknown
        self.late_answer_s = fields.get("late_answer_s", self.late_answer_s)
        self.cross_answers = fields.get("cross_answers", self.cross_answers)
        self.drop_order_answers = fields.get(
            "drop_order_answers", self.drop_order_answers
        )
        self.crash_on = fields.get("crash_on", self.crash_on)
        self.limit = fields.get("limit", self.limit)
        for name, kind in _STREAM_FAULTS.items():
            if fields.get(name) is not None:
                self._stream_fault = StreamFault(kind, fields[name])
                self._stream_fault_count = fields.get("stream_fault_count", 1)
        return []

    def take_stream_fault(self) -> StreamFault | None:
        """Returns the fault of the answer that begins now, if any."""
        if self._stream_fault_count <= 0:
            return None
        self._stream_fault_count -= 1
        return self._stream_fault

    def take_order_drop(self) -> bool:
        """Tells whether the order that came now gets no answer."""
        if self.drop_order_answers <= 0:
            return False
        self.drop_order_answers -= 1
        return True

    def source_of(self, run: engine_batch.Run) -> engine_batch.Run:
        """Returns the run whose answer goes to this run's caller.

        That is the run itself, or, while answers are to be crossed, the next
        concurrent one, for which this waits a bounded time.
        """
        if self.cross_answers <= 0:
            return run
        if self._lone is None:
            return self._await_partner(run)
        partner, self._lone = self._lone, None
        self.cross_answers -= 1
        self._partners[partner] = run
        self._paired.set()
        return partner

    def _await_partner(self, run: engine_batch.Run) -> engine_batch.Run:
        self._lone = run
        self._paired.clear()
        self._paired.wait(_PARTNER_WAIT_S)
        if self._lone is run:
            self._lone = None
        return self._partners.pop(run, run)

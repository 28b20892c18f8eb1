"""The prefill queue of one engine, counted by its owner for all gateways.

In a large fleet many gateways each place a prompt or two a second. A queue of a
few tenths of a second is gone before all of them have received a notice of each
placement. So one gateway, the queue owner, counts all placements at an engine.
The others ask it how long a prompt would wait before they place one.

An engine finishes the prefill of one prompt before it starts the next: the most
urgent one that waits, in order of arrival among equals. So a prompt waits for
the rest of the current prefill, and for all waiting prompts of the same or a
more urgent priority. A prompt counts in full until its prefill is reported, and
only the work of the current prefill decreases with time. So if an estimate is
too short, only the work of the current prompt is missing from the wait; all
waiting prompts still count.
"""

import collections
from typing import NamedTuple

OVERDUE_S = 2.0
"""A prompt whose end was not reported is dropped this long after its prefill
was due to end: its gateway is gone, or the datagram with the report was lost. A
first token that is so late is worth little anyway."""

MAX_WORK_S = 10.0
"""Maximum work counted for one prompt, so that a gateway whose estimates are
far too high can't make an engine look full to all others."""

MAX_PROMPTS_PER_PRIORITY = 2_000
"""Maximum number of prompts kept per priority; an engine takes minutes to
prefill as many."""


class _Prompt(NamedTuple):
    """A prompt that waits for its prefill, or whose prefill is running."""

    work_s: float
    due_s: float


_PlacementId = tuple[int, int]
"""Id of the sender of a prompt, and the sender's number for the prompt."""


class PrefillQueue:
    """The prefill queue of one engine, from the placements of all gateways."""

    def __init__(self, now_s: float):
        """Makes an empty queue.

        Args:
            now_s: Time from which all placements are counted.
        """
        self._counted_since_s = now_s
        self._last_added_s = now_s
        self._waiting: dict[
            int, collections.OrderedDict[_PlacementId, _Prompt]
        ] = {}
        self._current: tuple[_PlacementId, _Prompt] | None = None
        self._current_began_s = now_s

    def counted_s(self, now_s: float) -> float:
        """Returns for how long all placements have been counted."""
        return now_s - self._counted_since_s

    def idle_s(self, now_s: float) -> float:
        """Returns the time since the last placement; the queue may be long."""
        return now_s - self._last_added_s

    def add(
        self,
        placement: _PlacementId,
        work_s: float,
        priority: int,
        now_s: float,
    ) -> None:
        """Adds a prompt.

        Args:
            placement: Id of the prompt.
            work_s: Estimated prefill time.
            priority: 0 is the most urgent.
            now_s: The current time.
        """
        self._last_added_s = now_s
        work_s = min(work_s, MAX_WORK_S)
        due_s = now_s + self.wait_s(priority, now_s) + work_s
        level = self._waiting.setdefault(priority, collections.OrderedDict())
        level[placement] = _Prompt(work_s, due_s)
        if len(level) > MAX_PROMPTS_PER_PRIORITY:
            level.popitem(last=False)
        if self._current is None:
            self._start_next(now_s)

    def finish(self, placement: _PlacementId, now_s: float) -> None:
        """Removes a prompt whose prefill has ended, and those before it."""
        for level in self._waiting.values():
            if placement not in level:
                continue
            # The prompt that was thought current, and all earlier ones of this
            # priority, must have been prefilled too.
            self._current = None
            while level.popitem(last=False)[0] != placement:
                pass
        self._finish_current(placement, now_s)

    def withdraw(self, placement: _PlacementId, now_s: float) -> None:
        """Removes a prompt that will not be prefilled."""
        for level in self._waiting.values():
            level.pop(placement, None)
        self._finish_current(placement, now_s)

    def wait_s(self, priority: int, now_s: float) -> float:
        """Returns how long a new prompt of a priority would wait."""
        self._drop_overdue(now_s)
        if self._current is None:
            return 0.0
        _, first = self._current
        left_s = max(0.0, first.work_s - (now_s - self._current_began_s))
        return left_s + sum(
            prompt.work_s
            for level_priority, level in self._waiting.items()
            if level_priority <= priority
            for prompt in level.values()
        )

    def _finish_current(self, placement: _PlacementId, now_s: float) -> None:
        if self._current is None or self._current[0] == placement:
            self._start_next(now_s)

    def _start_next(self, now_s: float) -> None:
        self._current = None
        self._current_began_s = now_s
        for priority in sorted(self._waiting):
            level = self._waiting[priority]
            if level:
                self._current = level.popitem(last=False)
                return

    def _drop_overdue(self, now_s: float) -> None:
        for level in self._waiting.values():
            while level:
                first = next(iter(level))
                if now_s < level[first].due_s + OVERDUE_S:
                    break
                del level[first]
        if self._current is not None:
            _, prompt = self._current
            if now_s >= prompt.due_s + OVERDUE_S:
                self._start_next(now_s)

"""The prompts that one engine has yet to read, kept by one gateway for all.

The load it answers: many gateways that each place a prompt or two a second. In
the time that it takes to tell all of them of each placement, a queue of a few
tenths of a second has come and gone. Here every placement is counted in one
place, and whoever is about to place a prompt asks how long it would wait.

An engine reads one prompt to its end, then the most urgent of those that wait,
the first of them that came. So a prompt waits for the rest of the one that is
being read, and for what waits and is as urgent as itself or more. Prompts count
in full until they are told as read, and work goes down with time at the one
that is being read only: an estimate that is too short then makes a queue look
shorter by one prompt, not empty.
"""

import collections
from typing import NamedTuple

OVERDUE_S = 2.0
"""A prompt that nobody told the end of is dropped so long after it was to be
read: its gateway is gone, or the datagram that told it was lost. A late first
token is worth little after so long anyway."""

WORK_LIMIT_S = 10.0
"""Of one prompt. Whatever is said to take longer is counted with this: one
gateway whose estimates ran away must not close an engine for all."""

PROMPTS_LIMIT_COUNT = 2_000
"""Kept of one priority, more than an engine reads in minutes."""


class _Prompt(NamedTuple):
    """A prompt that waits, or is being read."""

    work_s: float
    due_s: float


_PlacementId = tuple[int, int]
"""Who placed a prompt, and their number for it."""


class ReadingQueue:
    """What one engine has yet to read."""

    def __init__(self, now_s: float):
        """Makes an empty queue.

        Args:
            now_s: From when on all placements are counted.
        """
        self._since_s = now_s
        self._last_s = now_s
        self._waiting: dict[
            int, collections.OrderedDict[_PlacementId, _Prompt]
        ] = {}
        self._being_read: tuple[_PlacementId, _Prompt] | None = None
        self._began_s = now_s

    def known_s(self, now_s: float) -> float:
        """Returns for how long all placements have been counted here."""
        return now_s - self._since_s

    def idle_s(self, now_s: float) -> float:
        """Returns how long ago a placement was counted."""
        return now_s - self._last_s

    def add(
        self,
        placement: _PlacementId,
        work_s: float,
        priority: int,
        now_s: float,
    ) -> None:
        """Counts a prompt in.

        Args:
            placement: Names it.
            work_s: What reading it takes.
            priority: 0 is read first.
            now_s: The present.
        """
        self._last_s = now_s
        work_s = min(work_s, WORK_LIMIT_S)
        due_s = now_s + self.wait_s(priority, now_s) + work_s
        level = self._waiting.setdefault(priority, collections.OrderedDict())
        level[placement] = _Prompt(work_s, due_s)
        if len(level) > PROMPTS_LIMIT_COUNT:
            level.popitem(last=False)
        if self._being_read is None:
            self._read_next(now_s)

    def read(self, placement: _PlacementId, now_s: float) -> None:
        """Takes out a prompt that was read, and those of before it."""
        for level in self._waiting.values():
            if placement not in level:
                continue
            # The one that was taken for being read, and all of this priority
            # that came before, must have been read, too.
            self._being_read = None
            while level.popitem(last=False)[0] != placement:
                pass
        self._take_out(placement, now_s)

    def withdraw(self, placement: _PlacementId, now_s: float) -> None:
        """Takes out a prompt that will not be read."""
        for level in self._waiting.values():
            level.pop(placement, None)
        self._take_out(placement, now_s)

    def wait_s(self, priority: int, now_s: float) -> float:
        """Returns how long a new prompt of a priority would wait."""
        self._drop_overdue(now_s)
        if self._being_read is None:
            return 0.0
        _, first = self._being_read
        left_s = max(0.0, first.work_s - (now_s - self._began_s))
        return left_s + sum(
            prompt.work_s
            for level_priority, level in self._waiting.items()
            if level_priority <= priority
            for prompt in level.values()
        )

    def _take_out(self, placement: _PlacementId, now_s: float) -> None:
        if self._being_read is None or self._being_read[0] == placement:
            self._read_next(now_s)

    def _read_next(self, now_s: float) -> None:
        self._being_read = None
        self._began_s = now_s
        for priority in sorted(self._waiting):
            level = self._waiting[priority]
            if level:
                self._being_read = level.popitem(last=False)
                return

    def _drop_overdue(self, now_s: float) -> None:
        for level in self._waiting.values():
            while level:
                first = next(iter(level))
                if now_s < level[first].due_s + OVERDUE_S:
                    break
                del level[first]
        if self._being_read is not None:
            _, prompt = self._being_read
            if now_s >= prompt.due_s + OVERDUE_S:
                self._read_next(now_s)

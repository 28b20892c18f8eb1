"""How long a rule's conditions have held, as far as one process can know.

A process that starts, or wakes from a pause, has not seen the past. If it
took "not seen" for "did not hold", a controller that takes over would drop
the rule in force until ``for_s`` had passed again: engines would change roles
and change back at each takeover. So the answer is three-valued, and "unknown"
makes the caller leave the fleet as it is.
"""

import math
from typing import NamedTuple

GAP_LIMIT_S = 15.0
"""Silence between two evaluations after which the past counts as unseen."""


class _Held(NamedTuple):
    """Since when conditions hold.

    Attributes:
        possible_since_s: They may have held from here on without a break.
        certain_since_s: They were seen to hold from here on, or None.
        last_true_s: When they were last seen to hold.
        was_false: The last evaluation saw that they did not hold.
    """

    possible_since_s: float
    certain_since_s: float | None
    last_true_s: float
    was_false: bool


class Sustain:
    """Remembers since when each rule's conditions hold.

    One evaluation calls ``start_pass`` once, ``observe`` for every rule, also
    for those after the first match, and ``end_pass``.
    """

    def __init__(self, gap_limit_s: float = GAP_LIMIT_S):
        self._gap_limit_s = gap_limit_s
        self._held: dict[str, _Held] = {}
        self._seen: set[str] = set()
        self._last_pass_s: float | None = None
        self._blind = True

    def start_pass(self, now_s: float) -> None:
        """Begins an evaluation; forgets the past after a gap.

        Args:
            now_s: Monotonic time.
        """
        last_s = self._last_pass_s
        self._blind = last_s is None or now_s - last_s > self._gap_limit_s
        if self._blind:
            self._held.clear()
        self._last_pass_s = now_s
        self._seen = set()

    def observe(
        self, key: str, holds: bool | None, *, for_s: float, now_s: float
    ) -> bool | None:
        """Records what was seen and says whether it has held long enough.

        Args:
            key: Stands for the rule and its conditions; a rule whose
                conditions were changed has another key.
            holds: Whether the conditions hold now; None when unknown.
            for_s: How long they must have held.
            now_s: Monotonic time.

        Returns:
            None when that cannot be known.
        """
        self._seen.add(key)
        held = self._next(self._held.get(key), holds, now_s)
        self._held[key] = held
        if holds is False or now_s - held.possible_since_s < for_s:
            return False
        certain_s = held.certain_since_s
        if holds and certain_s is not None and now_s - certain_s >= for_s:
            return True
        return None

    def end_pass(self) -> None:
        """Forgets rules that are no longer in the document."""
        for key in self._held.keys() - self._seen:
            del self._held[key]

    def _next(
        self, held: _Held | None, holds: bool | None, now_s: float
    ) -> _Held:
        if held is None:
            # A rule that was just accepted was not in force before, so the
            # time before counts only when this process has not seen it.
            since_s = -math.inf if self._blind else now_s
            held = _Held(since_s, None, -math.inf, was_false=False)
        if holds is None:
            certain_s = held.certain_since_s
            if now_s - held.last_true_s > self._gap_limit_s:
                certain_s = None
            return held._replace(certain_since_s=certain_s, was_false=False)
        if not holds:
            return _Held(now_s, None, -math.inf, was_false=True)
        if held.was_false:
            return _Held(now_s, now_s, now_s, was_false=False)
        certain_s = held.certain_since_s
        if now_s - held.last_true_s > self._gap_limit_s:
            certain_s = None
        return held._replace(
            certain_since_s=now_s if certain_s is None else certain_s,
            last_true_s=now_s,
        )

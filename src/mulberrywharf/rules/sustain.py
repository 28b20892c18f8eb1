"""Tracks for how long each rule's conditions have been true.

A process that has just started or was paused does not know the past. If it
treated unobserved time as time in which the conditions were false, a
controller that takes over would drop the rule in force until ``for_s`` had
passed again: engines would change roles and change back at each takeover.
The result is therefore true, false or unknown, and on unknown the caller
leaves the fleet unchanged.
"""

import math
from typing import NamedTuple

GAP_LIMIT_S = 15.0
"""Time between two evaluations after which the past counts as unknown."""


class _ConditionHistory(NamedTuple):
    """Since when a rule's conditions have been true; times are monotonic.

    Attributes:
        possible_since_s: Earliest time since which the conditions may have
            been true continuously.
        certain_since_s: Time since which the conditions were observed to
            be true, or None.
        last_true_s: Time at which the conditions were last observed to be
            true.
        was_false: Whether the conditions were false at the last evaluation.
    """

    possible_since_s: float
    certain_since_s: float | None
    last_true_s: float
    was_false: bool


class Sustain:
    """Records since when each rule's conditions have been true.

    Each evaluation calls ``start_pass``, then ``observe`` for every rule,
    including those after the first match, and then ``end_pass``.
    """

    def __init__(self, gap_limit_s: float = GAP_LIMIT_S):
        self._gap_limit_s = gap_limit_s
        self._states: dict[str, _ConditionHistory] = {}
        self._observed_keys: set[str] = set()
        self._last_evaluation_s: float | None = None
        self._history_unknown = True

    def start_pass(self, now_s: float) -> None:
        """Starts an evaluation; discards all state after a long gap.

        Args:
            now_s: Monotonic time, in seconds.
        """
        last_s = self._last_evaluation_s
        self._history_unknown = (
            last_s is None or now_s - last_s > self._gap_limit_s
        )
        if self._history_unknown:
            self._states.clear()
        self._last_evaluation_s = now_s
        self._observed_keys = set()

    def observe(
        self, key: str, holds: bool | None, *, for_s: float, now_s: float
    ) -> bool | None:
        """Records an evaluation of one rule's conditions.

        Args:
            key: Identifies the rule with its conditions; a rule whose
                conditions have changed has another key.
            holds: Whether the conditions are true now; None if unknown.
            for_s: How long the conditions must have been true, in seconds.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether the conditions have been true for ``for_s``; None if
            unknown.
        """
        self._observed_keys.add(key)
        state = self._next_state(self._states.get(key), holds, now_s)
        self._states[key] = state
        if holds is False or now_s - state.possible_since_s < for_s:
            return False
        certain_s = state.certain_since_s
        if holds and certain_s is not None and now_s - certain_s >= for_s:
            return True
        return None

    def end_pass(self) -> None:
        """Ends an evaluation; discards rules that were not observed in it."""
        for key in self._states.keys() - self._observed_keys:
            del self._states[key]

    def _next_state(
        self, state: _ConditionHistory | None, holds: bool | None, now_s: float
    ) -> _ConditionHistory:
        if state is None:
            # If this process made the previous evaluation at most
            # ``gap_limit_s`` ago, the rule is new in the configuration, and
            # its duration starts now. Otherwise the rule may have been in
            # force, and its conditions may always have been true.
            since_s = -math.inf if self._history_unknown else now_s
            state = _ConditionHistory(since_s, None, -math.inf, was_false=False)
        if holds is None:
            certain_s = state.certain_since_s
            if now_s - state.last_true_s > self._gap_limit_s:
                certain_s = None
            return state._replace(certain_since_s=certain_s, was_false=False)
        if not holds:
            return _ConditionHistory(now_s, None, -math.inf, was_false=True)
        if state.was_false:
            return _ConditionHistory(now_s, now_s, now_s, was_false=False)
        certain_s = state.certain_since_s
        if now_s - state.last_true_s > self._gap_limit_s:
            certain_s = None
        return state._replace(
            certain_since_s=now_s if certain_s is None else certain_s,
            last_true_s=now_s,
        )

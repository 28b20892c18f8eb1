"""Tells which ordered engines may still come and which are overdue.

An order that was accepted doesn't say when its engines serve, or whether they
do: the platform may have none, or take them back.
"""

import math
from typing import NamedTuple

START_MARGIN_S = 2.0
"""Time beyond the start of an engine within which it registers. A later one is
taken to be lost and ordered again."""

EngineKind = tuple[str, bool]
"""A zone, and whether its reclaimable engines are meant."""


class _Ordered(NamedTuple):
    """A number of engines that was ordered, and when."""

    wanted_count: int
    since_s: float
    repeated_s: float


class CapacityArrivals:
    """The engines of one service that come and go, by zone and kind."""

    def __init__(self) -> None:
        self._ordered: dict[EngineKind, _Ordered] = {}
        self._present: dict[EngineKind, int] = {}
        self._lost_at_s: dict[EngineKind, float] = {}

    def note(
        self,
        kind: EngineKind,
        present_count: int,
        ordered_count: int | None,
        now_s: float,
    ) -> None:
        """Notes the engines that serve, and how many are ordered if any."""
        known = self._ordered.get(kind)
        if ordered_count is None:
            self._ordered.pop(kind, None)
        elif known is None or known.wanted_count != ordered_count:
            self._ordered[kind] = _Ordered(ordered_count, now_s, now_s)
        is_wanted = ordered_count is None or present_count < ordered_count
        if present_count < self._present.get(kind, 0) and is_wanted:
            self._lost_at_s[kind] = now_s
            self.note_unavailable(kind)
        self._present[kind] = present_count

    def note_unavailable(self, kind: EngineKind) -> None:
        """Notes that engines were refused or taken back, so none is coming."""
        known = self._ordered.get(kind)
        if known is not None:
            self._ordered[kind] = known._replace(
                since_s=-math.inf, repeated_s=-math.inf
            )

    def lost_at_s(self, kind: EngineKind) -> float:
        """Returns when engines last vanished without an order."""
        return self._lost_at_s.get(kind, -math.inf)

    def note_repeated(self, kind: EngineKind, now_s: float) -> None:
        """Notes that an order was repeated.

        Engines are awaited anew only if those before were refused or taken
        back. Otherwise a platform that accepts orders and has no engines would
        put off for good whatever waits until no engine is starting.
        """
        known = self._ordered.get(kind)
        if known is not None:
            since_s = now_s if known.since_s == -math.inf else known.since_s
            self._ordered[kind] = _Ordered(known.wanted_count, since_s, now_s)

    def is_awaited(self, kind: EngineKind, boot_s: float, now_s: float) -> bool:
        """Tells whether engines of the order may be starting."""
        known = self._ordered.get(kind)
        return known is not None and (
            now_s - known.since_s <= boot_s + START_MARGIN_S
        )

    def is_repeat_due(
        self, kind: EngineKind, boot_s: float, now_s: float
    ) -> bool:
        """Tells whether engines that have not come should be ordered again."""
        known = self._ordered.get(kind)
        return known is not None and (
            now_s - known.repeated_s > boot_s + START_MARGIN_S
        )

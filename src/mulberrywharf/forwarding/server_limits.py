"""Request limits of servers, as their answers stated them to this gateway."""

from collections.abc import Iterable
from functools import singledispatchmethod
from typing import NamedTuple

from loguru import logger

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.policy import request_limits

_changes_total = metrics.counter(
    "mulberry_server_limit_changes_total",
    "Changes of a server's request limit, by kind: set, changed or ended.",
)
_malformed_total = metrics.counter(
    "mulberry_server_limits_malformed_total",
    "Answers with a request limit that can't be read; it was ignored.",
)
_limited_gauge = metrics.gauge(
    "mulberry_limited_servers_count", "Servers that state a request limit."
)

_LOGGED_TEXT_LIMIT = 64


class KnownLimit(NamedTuple):
    """The latest limit that a server stated.

    Attributes:
        requests_per_s: Requests per second from all gateways together.
        stated_s: Monotonic time of the answer that stated it.
    """

    requests_per_s: float
    stated_s: float


class ServerLimits:
    """The limits in force, by server."""

    def __init__(self, system_clock: clock.Clock):
        self._clock = system_clock
        self._limits: dict[fleet.ServerStart, KnownLimit] = {}
        self._malformed: set[fleet.ServerStart] = set()

    def keep_only(self, starts: Iterable[fleet.ServerStart]) -> None:
        """Drops the limits of servers that have ended."""
        kept = frozenset(starts)
        self._malformed &= kept
        self._limits = {
            start: limit
            for start, limit in self._limits.items()
            if start in kept
        }
        _limited_gauge.set({}, len(self._limits))

    def limit(self, start: fleet.ServerStart) -> KnownLimit | None:
        """Returns the limit in force at a server, None if there is none."""
        return self._limits.get(start)

    def note_answer(
        self,
        start: fleet.ServerStart,
        stated: request_limits.StatedLimit,
        *,
        may_end: bool,
    ) -> None:
        """Records what an answer states.

        Args:
            start: The server that answered.
            stated: The limit that the answer states.
            may_end: Whether the limit ends if the answer states none. A
                refusal or a failure may come from a part of the server that
                doesn't know the limit.
        """
        if isinstance(stated, request_limits.NoLimit) and not may_end:
            return
        self._apply(stated, start)

    @singledispatchmethod
    def _apply(
        self, stated: request_limits.StatedLimit, start: fleet.ServerStart
    ) -> None:
        raise TypeError(f"not a stated limit: {stated!r}")

    @_apply.register
    def _(
        self, stated: request_limits.NoLimit, start: fleet.ServerStart
    ) -> None:
        known = self._limits.pop(start, None)
        if known is not None:
            self._log_change(start, "ended", known, None)

    @_apply.register
    def _(
        self, stated: request_limits.RequestLimit, start: fleet.ServerStart
    ) -> None:
        known = self._limits.get(start)
        limit = KnownLimit(stated.requests_per_s, self._clock.monotonic_s())
        self._limits[start] = limit
        if known is None:
            self._log_change(start, "set", known, limit)
        elif known.requests_per_s != limit.requests_per_s:
            self._log_change(start, "changed", known, limit)

    @_apply.register
    def _(
        self, stated: request_limits.MalformedLimit, start: fleet.ServerStart
    ) -> None:
        _malformed_total.inc({})
        if start in self._malformed:
            return
        self._malformed.add(start)
        logger.bind(
            server_id=start.server_id, text=stated.text[:_LOGGED_TEXT_LIMIT]
        ).warning("a server stated a request limit that can't be read")

    def _log_change(
        self,
        start: fleet.ServerStart,
        kind: str,
        before: KnownLimit | None,
        after: KnownLimit | None,
    ) -> None:
        _changes_total.inc({"kind": kind})
        _limited_gauge.set({}, len(self._limits))
        logger.bind(
            server_id=start.server_id,
            limit_per_s=after.requests_per_s if after else None,
            before_per_s=before.requests_per_s if before else None,
        ).info("server limit {}", kind)

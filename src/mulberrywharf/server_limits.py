"""Keeps the request limits that servers state in their answers.

Each request to a server needs a ``SendPermit``. Servers without a limit permit
every request. The requests to all others are granted by the owners of their
limits, see ``limit_grants``, which count the requests of all gateways.
"""

from collections.abc import Iterable
from functools import singledispatchmethod
from typing import NamedTuple

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, limit_claims, metrics
from mulberrywharf.policy import limit_grants, request_limits

PERMIT_LIFETIME_S = 0.25
"""A request must be sent within this time from its time slot. After a pause of
the process the slot has passed, and later ones have been granted to others."""

RETRY_AFTER_LIMIT_S = 10.0
"""Longest Retry-After of a refused caller. The limit may have risen or ended by
then, which is not known in advance."""

MIN_RETRY_AFTER_S = 0.1
"""Retry-After of a refused caller if a limit has just become free again."""

SILENT_RETRY_S = 0.3
"""Time after which a request is claimed again if no owner of the limit has
replied."""

ASK_AGAIN_S = 1.0 / limit_grants.TRIAL_PER_S
"""Time after which a refused request is claimed again, however long it would
have to wait. The owner may know by then that the limit has changed."""

_LOGGED_TEXT_LIMIT = 64

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


class SendPermit(NamedTuple):
    """Permits one request to a server.

    Attributes:
        start: The server.
        expires_s: Monotonic time until which the request may be sent.
        limit_per_s: The server's limit, None if it has none.
        waited_s: How long the request waited for its time slot.
    """

    start: fleet.ServerStart
    expires_s: float = float("inf")
    limit_per_s: float | None = None
    waited_s: float = 0.0


class _Entry:
    """The limit of one server, and what its owner last replied.

    Attributes:
        requests_per_s: The limit.
        stated_s: Monotonic time of the answer that stated it.
        next_s: Monotonic time at which the next request can probably be sent.
        ask_s: Monotonic time from which the owner is asked again, even if
            ``next_s`` is later.
        return_s: Monotonic time at which the last refused caller may return.
        claimed: The server of the last claim, None before the first.
    """

    def __init__(self, requests_per_s: float, stated_s: float):
        self.requests_per_s = requests_per_s
        self.stated_s = stated_s
        self.next_s = float("-inf")
        self.ask_s = float("-inf")
        self.return_s = float("-inf")
        self.claimed: fleet.Server | None = None


class ServerLimits:
    """The limits in force, and the permits to send requests."""

    def __init__(
        self,
        system_clock: clock.Clock,
        claims: limit_claims.LimitClaims | None = None,
    ):
        """Creates it without any limits.

        Args:
            system_clock: Times statements and permits.
            claims: Claims requests; None for a node without peers.
        """
        self._clock = system_clock
        self._claims = claims or limit_claims.LimitClaims.standalone(
            system_clock
        )
        self._entries: dict[fleet.ServerStart, _Entry] = {}
        self._malformed: set[fleet.ServerStart] = set()

    def keep_only(self, starts: Iterable[fleet.ServerStart]) -> None:
        """Drops the limits of servers that have ended."""
        kept = frozenset(starts)
        self._malformed &= kept
        self._entries = {
            start: entry
            for start, entry in self._entries.items()
            if start in kept
        }
        _limited_gauge.set({}, len(self._entries))

    @property
    def is_any_in_force(self) -> bool:
        """Whether any server states a limit."""
        return bool(self._entries)

    def limit_per_s(self, start: fleet.ServerStart) -> float | None:
        """Returns the limit in force at a server, None if there is none."""
        entry = self._entries.get(start)
        return entry.requests_per_s if entry is not None else None

    def wait_s(self, start: fleet.ServerStart) -> float:
        """Estimates how long a request to a server waits for its limit."""
        entry = self._entries.get(start)
        now_s = self._clock.monotonic_s()
        if entry is None or now_s >= entry.ask_s:
            return 0.0
        return max(0.0, entry.next_s - now_s)

    def waiting_ids(self) -> frozenset[str]:
        """Returns the ids of the servers that make requests wait now."""
        return frozenset(
            start.server_id for start in self._entries if self.wait_s(start) > 0
        )

    def shortest_wait_s(self, servers: Iterable[fleet.Server]) -> float:
        """Returns the shortest of the servers' waits, 0 without servers."""
        waits_s = (self.wait_s(server.start) for server in servers)
        return min(waits_s, default=0.0)

    def retry_after_s(self, servers: Iterable[fleet.Server]) -> float | None:
        """Schedules the return of a caller that no server can take in time.

        Callers return one after the other at the rate of the limit. If all came
        back when the next request can be sent, all but one would be refused
        again.

        Args:
            servers: The servers that could run the request.

        Returns:
            The delay in seconds; None unless each server makes the request
            wait for its limit.
        """
        now_s = self._clock.monotonic_s()
        entries = [self._entries.get(server.start) for server in servers]
        limited = [one for one in entries if one and one.next_s > now_s]
        if not entries or len(limited) < len(entries):
            return None
        soonest = min(limited, key=lambda one: max(one.next_s, one.return_s))
        rate_per_s = max(limit_grants.TRIAL_PER_S, soonest.requests_per_s)
        soonest.return_s = (
            max(soonest.next_s, soonest.return_s) + 1.0 / rate_per_s
        )
        return min(RETRY_AFTER_LIMIT_S, soonest.return_s - now_s)

    def exceeded(self, server: fleet.Server) -> errors.ServerLimitError:
        """Returns the error of a request beyond a server's limit."""
        limit_per_s = self.limit_per_s(server.start) or 0.0
        return errors.ServerLimitError(
            f"{server.server_id} accepts {limit_per_s:g} requests per second",
            retry_after_s=self.wait_s(server.start),
        )

    def overloaded(
        self, servers: Iterable[fleet.Server]
    ) -> errors.OverloadedError:
        """Returns the refusal of a request that no server can take in time.

        Args:
            servers: The servers that could run the request, at least one.
        """
        servers = list(servers)
        soonest = min(servers, key=lambda server: self.wait_s(server.start))
        return errors.OverloadedError(
            f"not run: {self.exceeded(soonest).message}",
            retry_after_s=self.retry_after_s(servers) or MIN_RETRY_AFTER_S,
        )

    def acquire(
        self, server: fleet.Server, max_wait_s: float = 0.0
    ) -> Result[SendPermit, errors.ServerLimitError]:
        """Waits until a request may be sent to a server.

        Args:
            server: The server.
            max_wait_s: Longest time in seconds that the request can wait. If
                it would wait longer, this returns the error at once.
        """
        entry = self._entries.get(server.start)
        if entry is None:
            return Ok(SendPermit(server.start))
        if self.wait_s(server.start) > max_wait_s:
            return Err(self.exceeded(server))
        entry.claimed = server
        grant = self._claim(server, entry, max_wait_s)
        if grant is None:
            return Err(self.exceeded(server))
        now_s = self._clock.monotonic_s()
        self._adopt(server.start, grant.statement)
        if not grant.is_granted:
            entry.next_s = now_s + grant.wait_s
            entry.ask_s = now_s + ASK_AGAIN_S
            return Err(self.exceeded(server))
        slot_s = now_s + grant.wait_s
        if grant.wait_s > 0:
            entry.next_s = entry.ask_s = slot_s
            gevent.sleep(grant.wait_s)
        return Ok(
            SendPermit(
                server.start,
                slot_s + PERMIT_LIFETIME_S,
                self.limit_per_s(server.start),
                grant.wait_s,
            )
        )

    def _claim(
        self, server: fleet.Server, entry: _Entry, max_wait_s: float
    ) -> limit_grants.Grant | None:
        """Claims a request; while no owner replies, claims it again."""
        ends_s = self._clock.monotonic_s() + max_wait_s
        while True:
            statement = limit_grants.LimitStatement(
                entry.requests_per_s, entry.stated_s
            )
            left_s = max(0.0, ends_s - self._clock.monotonic_s())
            grant = self._claims.claim(server, statement, left_s)
            if grant is not None:
                return grant
            entry.next_s = self._clock.monotonic_s() + SILENT_RETRY_S
            entry.ask_s = entry.next_s
            if entry.next_s > ends_s:
                return None
            gevent.sleep(SILENT_RETRY_S)

    def check(
        self, permit: SendPermit, server: fleet.Server
    ) -> Result[None, errors.ServerLimitError]:
        """Checks a permit at the moment at which its request is sent."""
        if permit.start != server.start:
            raise ValueError(f"a permit for {permit.start}, not {server.start}")
        if self._clock.monotonic_s() <= permit.expires_s:
            return Ok(None)
        return Err(
            errors.ServerLimitError(
                f"the time slot of a request to {server.address} has passed",
                retry_after_s=0.0,
            )
        )

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
        self._note(stated, start)

    @singledispatchmethod
    def _note(
        self, stated: request_limits.StatedLimit, start: fleet.ServerStart
    ) -> None:
        raise TypeError(f"not a stated limit: {stated!r}")

    @_note.register
    def _(
        self, stated: request_limits.NoLimit, start: fleet.ServerStart
    ) -> None:
        if start in self._entries:
            self._set(start, None, self._clock.monotonic_s(), "answer")

    @_note.register
    def _(
        self, stated: request_limits.RequestLimit, start: fleet.ServerStart
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._set(start, stated.requests_per_s, now_s, "answer")

    @_note.register
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

    def _adopt(
        self, start: fleet.ServerStart, statement: limit_grants.LimitStatement
    ) -> None:
        """Takes over a newer limit that the owner knows from other gateways."""
        entry = self._entries.get(start)
        if entry is None or statement.requests_per_s == entry.requests_per_s:
            return
        if statement.stated_s > entry.stated_s:
            self._set(
                start, statement.requests_per_s, statement.stated_s, "owner"
            )

    def _set(
        self,
        start: fleet.ServerStart,
        per_s: float | None,
        stated_s: float,
        source: str,
    ) -> None:
        entry = self._entries.get(start)
        before_per_s = entry.requests_per_s if entry is not None else None
        if per_s is None:
            self._entries.pop(start, None)
        elif entry is None:
            self._entries[start] = _Entry(per_s, stated_s)
        else:
            entry.requests_per_s = per_s
            entry.stated_s = stated_s
        statement = limit_grants.LimitStatement(per_s, stated_s)
        self._claims.note_statement(start, statement)
        has_ended = per_s is None and source == "answer"
        if has_ended and entry is not None and entry.claimed is not None:
            # No further claim of this node would bring the owner the news.
            gevent.spawn(self._claims.tell_owner, entry.claimed, statement)
        if before_per_s != per_s:
            self._log_change(start, before_per_s, per_s, source)

    def _log_change(
        self,
        start: fleet.ServerStart,
        before_per_s: float | None,
        after_per_s: float | None,
        source: str,
    ) -> None:
        kind = "changed"
        if before_per_s is None:
            kind = "set"
        elif after_per_s is None:
            kind = "ended"
        _changes_total.inc({"kind": kind})
        _limited_gauge.set({}, len(self._entries))
        logger.bind(
            server_id=start.server_id,
            limit_per_s=after_per_s,
            before_per_s=before_per_s,
            source=source,
        ).info("server limit {}", kind)

"""Divides a server's request limit among the gateways, request by request.

A gateway that wants to send a request to a server with a limit claims it at
the owner of the limit, see ``limit_ownership``. The owner grants one time slot
after the other at the rate of the limit. So a gateway gets as much of the limit
as it claims, and nothing is reserved for gateways without requests.

The owner grants the whole limit. Another gateway that is asked, because the
owner is unreachable or because gateways disagree on the owner, grants a small
share of it. All shares add up to 1.45. So in any time T, all gateways together
grant at most 1.45 * limit * (T + BURST_S) requests, and one more for each lane
(see ``Lane``), as long as there is one settled and one unsettled owner at a
time.
"""

from typing import NamedTuple

UNSETTLED_SHARE = 0.25
"""Share of a limit that its owner grants to gateways that have not known it
for long. Others may still claim at another owner; the server tolerates a little
more than its limit for a while."""

STANDBY_SHARES = (0.15, 0.05)
"""Shares of a limit that the gateways behind the owner grant, by rank."""

BURST_S = 0.1
"""Time slots that pass unused are granted later for this long. Requests come in
bursts, and the server's limit is a rate."""

TRIAL_PER_S = 0.5
"""A lower limit is kept as this one. Otherwise no request would bring the news
that the limit has ended, and the server would stay unused."""

SCHEDULES_LIMIT_COUNT = 1_000
"""Maximum number of servers in memory, more than any fleet has."""


class LimitStatement(NamedTuple):
    """What a server stated last.

    Attributes:
        requests_per_s: Its limit, None if it states none any more.
        stated_s: Monotonic time of the answer.
    """

    requests_per_s: float | None
    stated_s: float


class Claim(NamedTuple):
    """A gateway's claim of one request to a server.

    Attributes:
        server_key: Key of the server.
        rank: Rank of the gateway that is asked, 0 for the owner.
        is_settled: Whether every gateway knows that owner.
        statement: The server's limit, as the claiming gateway knows it.
        max_wait_s: Longest time in seconds that the request can wait.
    """

    server_key: int
    rank: int
    is_settled: bool
    statement: LimitStatement
    max_wait_s: float


class Grant(NamedTuple):
    """The decision on a claim.

    Attributes:
        is_granted: Whether the request may be sent.
        wait_s: Time until it may be sent. If it is not granted, the time that
            it would have had to wait.
        statement: The newest limit that the deciding gateway knows.
    """

    is_granted: bool
    wait_s: float
    statement: LimitStatement


class Lane(NamedTuple):
    """Claims that one gateway grants at a rate of their own.

    Attributes:
        server_key: Key of the server.
        rank: Rank of the granting gateway.
        is_settled: Whether every gateway knows the owner.
    """

    server_key: int
    rank: int
    is_settled: bool

    @property
    def share(self) -> float:
        """Share of the server's limit."""
        if self.rank:
            return STANDBY_SHARES[min(self.rank, len(STANDBY_SHARES)) - 1]
        return 1.0 if self.is_settled else UNSETTLED_SHARE


class _Schedule:
    """The time slots of one server that one gateway grants."""

    def __init__(self, now_s: float):
        self._next_s = now_s
        self._interval_s = 0.0

    @property
    def next_s(self) -> float:
        """Start of the first time slot that is not granted."""
        return self._next_s

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Changes the rate; slots granted ahead count at the new one."""
        interval_s = 1.0 / per_s
        if self._interval_s and self._next_s > now_s:
            ahead_s = self._next_s - now_s
            self._next_s = now_s + ahead_s * interval_s / self._interval_s
        self._interval_s = interval_s

    def reserve(self, max_wait_s: float, now_s: float) -> tuple[bool, float]:
        """Takes the next slot if it begins in time; returns its wait too."""
        self._next_s = max(self._next_s, now_s - BURST_S)
        wait_s = max(0.0, self._next_s - now_s)
        if wait_s > max_wait_s:
            return False, wait_s
        self._next_s += self._interval_s
        return True, wait_s


class LimitGrants:
    """The claims that one gateway decides."""

    def __init__(self) -> None:
        self._schedules: dict[Lane, _Schedule] = {}
        self._statements: dict[int, LimitStatement] = {}

    def note_statement(
        self, server_key: int, statement: LimitStatement
    ) -> LimitStatement:
        """Records what a server stated; returns the newest statement."""
        newest = self._statements.get(server_key)
        if newest is None or newest.stated_s < statement.stated_s:
            newest = self._statements[server_key] = statement
        return newest

    def decide(self, claim: Claim, now_s: float) -> Grant:
        """Decides a claim."""
        self._limit_memory(now_s)
        newest = self.note_statement(claim.server_key, claim.statement)
        if newest.requests_per_s is None:
            return Grant(True, 0.0, newest)
        if claim.statement.requests_per_s is None:
            # It tells that the limit has ended, and brings no request.
            return Grant(False, 0.0, newest)
        lane = Lane(
            claim.server_key, claim.rank, claim.is_settled or claim.rank > 0
        )
        schedule = self._schedules.setdefault(lane, _Schedule(now_s))
        limit_per_s = max(TRIAL_PER_S, newest.requests_per_s)
        schedule.set_rate(limit_per_s * lane.share, now_s)
        is_granted, wait_s = schedule.reserve(claim.max_wait_s, now_s)
        return Grant(is_granted, wait_s, newest)

    def _limit_memory(self, now_s: float) -> None:
        if len(self._statements) < SCHEDULES_LIMIT_COUNT:
            return
        # A slot that has passed can be granted anew without this record.
        self._schedules = {
            lane: schedule
            for lane, schedule in self._schedules.items()
            if schedule.next_s > now_s
        }
        kept = {lane.server_key for lane in self._schedules}
        self._statements = {
            server_key: statement
            for server_key, statement in self._statements.items()
            if server_key in kept
        }

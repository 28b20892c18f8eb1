"""What this node knows of each server from its own exchanges."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from mulberrywharf import fleet, metrics
from mulberrywharf.forwarding import request
from mulberrywharf.policy import server_choice

REPORT_AGE_CONSTANT_S = 1.0
"""What a server said of other nodes' requests fades by 1/e in this time; the
work of a request at a plain service takes 20 to 50 ms, so an older figure says
little about now."""

FAILURE_WEIGHT = 0.1
"""Weight of one answer in the share of failures: about twenty answers decide,
a second's worth at one of three servers."""

PACE_WEIGHT = 0.15
PACE_LIMIT = 10.0
SUSPECT_S = 0.3
"""A server that broke off is passed over so long if there is another one. A
restart shows in refused connections then; single lost answers don't."""

AVOID_S = 1.0
AVOID_LIMIT_S = 2.0
"""A server that can't be reached gets no work for the first, then one request
tries it again; each further failure doubles the time up to the limit. Cuts
last seconds, and the list drops a dead server after some four."""

PROBE_S = 0.5
"""While one request tries a server again the others pass it over: each would
wait for the same silence, a fifth of a second or more."""


REFUSED_S = 0.5
"""An engine that refused what it was sent is passed over so long if there is
another one. It is full, or it changes its role, which its record shows up to a
second later: without this each gateway sent what it had to the one engine that
looked empty, and 400 prompts were refused in 6 s for two changes."""

CHANGING_LIMIT_S = 12.0
"""An engine that changes its role lets its streams end and is away for some
seconds more; its record shows when it is back. An order that came to nothing
costs its work for so long."""


REST_LIMIT_S = 60.0
"""A server that asks for a longer rest is asked again behind it: what it says
may be a mistake, and it would be lost to this node without a sign."""

_rests_total = metrics.counter(
    "mulberry_server_rests_total",
    "Refusals that named a time for which the server wants nothing.",
)


class ToldLoad(NamedTuple):
    """What a server last said of other nodes' requests.

    Attributes:
        requests_count: Running and waiting.
        weight: How much it says of now, from 1 when it was just told to 0.
    """

    requests_count: int
    weight: float


class _Entry:
    """One server, as far as this node has seen it."""

    def __init__(self) -> None:
        self.own_count = 0
        self.others_count = 0
        self.others_at_s = float("-inf")
        self.reported: request.ReportedLoad | None = None
        self.reported_at_s = float("-inf")
        self.failure_share = 0.0
        self.answer_s: float | None = None
        self.suspected_until_s = float("-inf")
        self.avoided_until_s = float("-inf")
        self.changing_until_s = float("-inf")
        self.resting_until_s = float("-inf")
        self.failed_tries_count = 0


class ServerBook:
    """Counts requests at servers and remembers how they answered."""

    def __init__(self, availability_zone: str):
        self._availability_zone = availability_zone
        self._entries: dict[fleet.ServerStart, _Entry] = {}

    def keep_only(self, starts: Iterable[fleet.ServerStart]) -> None:
        """Forgets starts of servers that ended and hold no request of ours."""
        kept = set(starts)
        self._entries = {
            start: entry
            for start, entry in self._entries.items()
            if start in kept or entry.own_count
        }

    def began(self, start: fleet.ServerStart, now_s: float) -> None:
        """Counts a request in; to a server that was lost it is the one try."""
        entry = self._entry(start)
        entry.own_count += 1
        if entry.failed_tries_count:
            until_s = now_s + PROBE_S
            entry.avoided_until_s = max(entry.avoided_until_s, until_s)

    def ended(self, start: fleet.ServerStart) -> None:
        """Counts a request out."""
        self._entry(start).own_count -= 1

    def own_count(self, start: fleet.ServerStart) -> int:
        """Returns the requests that this node has at a server."""
        return self._entry(start).own_count

    def reported(
        self,
        start: fleet.ServerStart,
        load: request.ReportedLoad | None,
        now_s: float,
    ) -> None:
        """Takes in the load that came with an answer.

        The answered request itself still counts in it.
        """
        if load is None:
            return
        entry = self._entry(start)
        entry.reported = load
        entry.reported_at_s = now_s
        self.heard(start, load.requests_count, now_s)

    def heard(
        self, start: fleet.ServerStart, requests_count: int, at_s: float
    ) -> None:
        """Takes in how many requests a server had, by whomever it was told.

        Args:
            start: The server's start.
            requests_count: Running and waiting, this node's own included.
            at_s: When it said so; what was known later than that stays.
        """
        entry = self._entry(start)
        if at_s < entry.others_at_s:
            return
        entry.others_count = max(0, requests_count - entry.own_count)
        entry.others_at_s = at_s

    def reported_since(
        self, since_s: float
    ) -> list[tuple[fleet.ServerStart, request.ReportedLoad, float]]:
        """Returns what servers told this node since then, the newest first.

        Each with the server's start and the time at which it was told.
        """
        found = [
            (start, entry.reported, entry.reported_at_s)
            for start, entry in self._entries.items()
            if entry.reported is not None and entry.reported_at_s >= since_s
        ]
        return sorted(found, key=lambda one: one[2], reverse=True)

    def last_report(
        self, start: fleet.ServerStart
    ) -> request.ReportedLoad | None:
        """Returns what a server last said of its load, None before that."""
        return self._entry(start).reported

    def succeeded(
        self, start: fleet.ServerStart, answer_s: float | None = None
    ) -> None:
        """Notes a whole answer.

        Args:
            start: Who gave it.
            answer_s: How long it took, if that says something of its pace.
        """
        entry = self._entry(start)
        entry.failure_share *= 1 - FAILURE_WEIGHT
        entry.suspected_until_s = float("-inf")
        entry.avoided_until_s = float("-inf")
        entry.failed_tries_count = 0
        if answer_s is None:
            return
        before_s = entry.answer_s if entry.answer_s is not None else answer_s
        entry.answer_s = before_s + PACE_WEIGHT * (answer_s - before_s)

    def failed(self, start: fleet.ServerStart) -> None:
        """Notes an answer that is a failure."""
        entry = self._entry(start)
        entry.failure_share += FAILURE_WEIGHT * (1 - entry.failure_share)

    def refused(self, start: fleet.ServerStart, now_s: float) -> None:
        """Notes that a server did not run what it was sent."""
        self.failed(start)
        entry = self._entry(start)
        until_s = now_s + REFUSED_S
        entry.suspected_until_s = max(entry.suspected_until_s, until_s)

    def rests(
        self, start: fleet.ServerStart, rest_s: float, now_s: float
    ) -> None:
        """Notes that a server wants nothing of this node for a time."""
        _rests_total.inc({})
        entry = self._entry(start)
        until_s = now_s + min(rest_s, REST_LIMIT_S)
        entry.resting_until_s = max(entry.resting_until_s, until_s)

    def is_resting(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Tells whether a server wants nothing of this node now."""
        return now_s < self._entry(start).resting_until_s

    def rest_left_s(
        self, among: Iterable[fleet.Server], now_s: float
    ) -> float | None:
        """Returns when the first of some servers may be asked again.

        Returns:
            None unless all of them want rest.
        """
        lefts_s = [
            self._entry(server.start).resting_until_s - now_s
            for server in among
        ]
        if not lefts_s or min(lefts_s) <= 0:
            return None
        return min(lefts_s)

    def changing(self, start: fleet.ServerStart, now_s: float) -> None:
        """Notes that an engine was ordered to change its role."""
        self._entry(start).changing_until_s = now_s + CHANGING_LIMIT_S

    def changed(self, start: fleet.ServerStart) -> None:
        """Notes that an engine's record shows another role."""
        self._entry(start).changing_until_s = float("-inf")

    def lost(self, start: fleet.ServerStart, now_s: float) -> None:
        """Notes that a server broke off."""
        self.failed(start)
        self._entry(start).suspected_until_s = now_s + SUSPECT_S

    def unreachable(self, start: fleet.ServerStart, now_s: float) -> None:
        """Notes that a server could not be reached, or went silent."""
        self.failed(start)
        entry = self._entry(start)
        if now_s >= entry.avoided_until_s or not entry.failed_tries_count:
            # Requests that failed together count as one try.
            entry.failed_tries_count += 1
        doubled_s = AVOID_S * 2 ** (entry.failed_tries_count - 1)
        entry.avoided_until_s = now_s + min(AVOID_LIMIT_S, doubled_s)

    def may_use(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Tells whether a server may be reached, as far as this node knows.

        A node that is cut off from all of them refuses its callers at once
        instead of letting each wait for every silent server in turn.
        """
        entry = self._entry(start)
        return now_s >= max(
            entry.avoided_until_s,
            entry.changing_until_s,
            entry.resting_until_s,
        )

    def reachable(
        self, among: Iterable[fleet.Server], now_s: float
    ) -> list[fleet.Server]:
        """Returns those of the servers that may be reached."""
        return [one for one in among if self.may_use(one.start, now_s)]

    def is_suspected(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Tells whether a server failed to answer a moment ago."""
        return now_s < self._entry(start).suspected_until_s

    def others_count(self, start: fleet.ServerStart, now_s: float) -> float:
        """Returns the requests that other nodes are believed to have there."""
        told = self.told(start, now_s)
        return told.requests_count * told.weight

    def told(self, start: fleet.ServerStart, now_s: float) -> ToldLoad:
        """Returns what a server last said of other nodes' requests."""
        entry = self._entry(start)
        age_s = now_s - entry.others_at_s
        weight = math.exp(-age_s / REPORT_AGE_CONSTANT_S)
        return ToldLoad(entry.others_count, weight)

    def candidates(
        self, among: Iterable[fleet.Server], now_s: float
    ) -> list[server_choice.Candidate]:
        """Returns servers of one service as the choice wants them."""
        among = list(among)
        usual_s = self._usual_answer_s(among)
        return [self._candidate(server, usual_s, now_s) for server in among]

    def _candidate(
        self, server: fleet.Server, usual_s: float | None, now_s: float
    ) -> server_choice.Candidate:
        entry = self._entry(server.start)
        pace = 1.0
        if usual_s and entry.answer_s is not None:
            pace = min(PACE_LIMIT, max(1.0, entry.answer_s / usual_s))
        return server_choice.Candidate(
            server=server,
            own_count=entry.own_count,
            others_count=self.others_count(server.start, now_s),
            failure_share=entry.failure_share,
            pace=pace,
            is_suspected=self.is_suspected(server.start, now_s),
            is_near=server.availability_zone == self._availability_zone,
        )

    def _usual_answer_s(self, among: list[fleet.Server]) -> float | None:
        known = sorted(
            answer_s
            for server in among
            if (answer_s := self._entry(server.start).answer_s) is not None
        )
        return known[(len(known) - 1) // 2] if known else None

    def _entry(self, start: fleet.ServerStart) -> _Entry:
        entry = self._entries.get(start)
        if entry is None:
            entry = self._entries[start] = _Entry()
        return entry

"""Tracks requests and health of each server, as this gateway sees them."""

import functools
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from mulberrywharf import fleet, metrics
from mulberrywharf.forwarding import request
from mulberrywharf.policy import (
    held_failures,
    reachability,
    server_choice,
    stated_pace,
)

REPORT_TIME_CONSTANT_S = 1.0
"""A reported count of other gateways' requests decays by 1/e in this time. The
work of a request at a plain service takes 20 to 50 ms, so an older count says
little about the present."""

FAILURE_WEIGHT = 0.1
"""Weight of one answer in the moving average of the failure share. It reflects
about the last twenty answers, which a server gets in about one second if its
service has three servers."""

FAULT_TIME_CONSTANT_S = 5.0
"""The share of faults decays by 1/e in this time. A gateway of a large fleet
gets an answer of an engine every few seconds, and an engine that is passed over
gives none that could show that it works again."""

PACE_WEIGHT = 0.15
PACE_LIMIT = 10.0
CERTAIN_DEVIATIONS_COUNT = 3.0
"""Standard deviations of the pace within which an answer almost certainly
comes. Paces are far from normally distributed: one of 2.5 where 85 of 100 are 1
is 2.4 deviations above the mean."""

SUSPECT_S = 0.3
"""How long a server that broke off an exchange is used only as a last resort.
A restarting server refuses connections before this time has passed, and counts
as unreachable then; a server that lost a single answer accepts them."""

AVOID_S = 1.0
AVOID_LIMIT_S = 2.0
"""An unreachable server gets no requests for ``AVOID_S``, then one trial
request. Each further failure doubles the time, up to ``AVOID_LIMIT_S``. Network
partitions last seconds, and a server that ended leaves the server list after
some four seconds."""

TRIAL_S = 0.5
"""How long other requests avoid a server after it got a trial request. Each of
them would wait for the same unresponsive server, 0.2 s or more."""


REFUSED_S = 0.5
"""How long an engine that refused a request is used only as a last resort. It
is full, or it is changing its role, which its record shows up to a second
later. Without this, each gateway would send its prompts to the one engine that
looks empty: two role changes caused 400 refusals in 6 s."""

CHANGING_LIMIT_S = 12.0
"""Longest time that an engine ordered to change its role gets no requests. It
lets its streams end and is away for some more seconds; its record shows when it
is back. If the order has no effect, the engine stays unused for this time."""


RETRY_AFTER_LIMIT_S = 60.0
"""Longest Retry-After that is honored. A longer one may be a mistake, and this
gateway would silently stop using the server."""

_retry_afters_total = metrics.counter(
    "mulberry_server_rests_total",
    "Answers with a Retry-After, until which their servers get no requests.",
)

_malformed_loads_total = metrics.counter(
    "mulberry_malformed_loads_total",
    "Answers that state a load which can't be read.",
)
_LOGGED_TEXT_LIMIT = 64


class OthersLoad(NamedTuple):
    """Other gateways' requests at a server, by its last report.

    Attributes:
        requests_count: Requests running and waiting.
        weight: Decays with the report's age from 1 to 0.
    """

    requests_count: int
    weight: float


class _Entry:
    """The state of one server."""

    def __init__(self) -> None:
        self.own_in_flight_count = 0
        self.others_in_flight_count = 0
        self.others_reported_at_s = float("-inf")
        self.reported: request.ReportedLoad | None = None
        self.reported_at_s = float("-inf")
        self.has_logged_malformed_load = False
        self.failure_share = 0.0
        self.fault_share = 0.0
        self.fault_at_s = float("-inf")
        self.mean_answer_s: float | None = None
        self.suspected_until_s = float("-inf")
        self.is_doubted = False
        self.avoided_until_s = float("-inf")
        self.changing_until_s = float("-inf")
        self.retry_after_until_s = float("-inf")
        self.failed_attempts_count = 0


class ServerTracker:
    """Request counts and recent outcomes of all servers.

    Attributes:
        paces: The paces that servers state.
        reachability: Which servers this gateway reaches.
    """

    def __init__(self, availability_zone: str):
        self._availability_zone = availability_zone
        self._entries: dict[fleet.ServerStart, _Entry] = {}
        self._start_by_address: dict[fleet.Address, fleet.ServerStart] = {}
        self.paces = stated_pace.StatedPaces()
        self.reachability = reachability.Reachability()
        self._held_failures = held_failures.HeldFailures()
        self._on_outcome: Callable[[fleet.ServerStart, bool], None] = (
            lambda _, __: None
        )

    def on_outcome(
        self, callback: Callable[[fleet.ServerStart, bool], None]
    ) -> None:
        """Sets the callback for the outcomes that servers are responsible for.

        Args:
            callback: Called with the server and whether it failed, when the
                head of an answer was received. A lost answer counts as a
                failure once the server is reached again.
        """
        self._on_outcome = callback

    def keep_only(self, starts: Iterable[fleet.ServerStart]) -> None:
        """Drops ended servers, except those with requests of this gateway."""
        kept = set(starts)
        self._entries = {
            start: entry
            for start, entry in self._entries.items()
            if start in kept or entry.own_in_flight_count
        }
        self.paces.keep_only(kept | self._entries.keys())
        self._held_failures.keep_only(kept)
        self._start_by_address = {
            address: start
            for address, start in self._start_by_address.items()
            if start in kept
        }

    def began(self, start: fleet.ServerStart, now_s: float) -> None:
        """Counts a new request; at an unreachable server it is the trial."""
        entry = self._entry(start)
        entry.own_in_flight_count += 1
        if entry.failed_attempts_count:
            until_s = now_s + TRIAL_S
            entry.avoided_until_s = max(entry.avoided_until_s, until_s)

    def ended(self, start: fleet.ServerStart) -> None:
        """Counts a request as ended."""
        self._entry(start).own_in_flight_count -= 1

    def own_in_flight_count(self, start: fleet.ServerStart) -> int:
        """Returns how many requests this gateway has at a server."""
        return self._entry(start).own_in_flight_count

    def reported(
        self,
        start: fleet.ServerStart,
        load: request.StatedLoad | None,
        now_s: float,
    ) -> None:
        """Records the load report that came with an answer.

        The report still includes the answered request. A load that can't be
        read is counted, and logged once for each start of a server.
        """
        if load is not None:
            self._note_load(load, start, now_s)

    @functools.singledispatchmethod
    def _note_load(
        self,
        load: request.ReportedLoad,
        start: fleet.ServerStart,
        now_s: float,
    ) -> None:
        entry = self._entry(start)
        entry.reported = load
        entry.reported_at_s = now_s
        self.note_requests_count(start, load.requests_count, now_s)

    @_note_load.register
    def _(
        self,
        load: request.MalformedLoad,
        start: fleet.ServerStart,
        now_s: float,
    ) -> None:
        _malformed_loads_total.inc({})
        entry = self._entry(start)
        if entry.has_logged_malformed_load:
            return
        entry.has_logged_malformed_load = True
        logger.bind(
            server_id=start.server_id, text=load.text[:_LOGGED_TEXT_LIMIT]
        ).warning("a server stated a load that can't be read")

    def note_requests_count(
        self, start: fleet.ServerStart, requests_count: int, at_s: float
    ) -> None:
        """Records how many requests a server had, by its or a peer's report.

        Args:
            start: The server.
            requests_count: Requests running and waiting, this gateway's
                included.
            at_s: When the server reported it; ignored if a newer report exists.
        """
        entry = self._entry(start)
        if at_s < entry.others_reported_at_s:
            return
        entry.others_in_flight_count = max(
            0, requests_count - entry.own_in_flight_count
        )
        entry.others_reported_at_s = at_s

    def reported_since(
        self, since_s: float
    ) -> list[tuple[fleet.ServerStart, request.ReportedLoad, float]]:
        """Returns the load reports that servers sent to this gateway.

        Args:
            since_s: Time of the oldest report to return.

        Returns:
            Each server with its last report and the report's time, the newest
            report first.
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
        """Returns a server's last load report, None if it sent none."""
        return self._entry(start).reported

    def succeeded(
        self, start: fleet.ServerStart, answer_s: float | None = None
    ) -> None:
        """Records a complete answer.

        Args:
            start: The server.
            answer_s: Its duration, None if that doesn't reflect the server's
                speed.
        """
        entry = self._entry(start)
        entry.failure_share *= 1 - FAILURE_WEIGHT
        entry.fault_share *= 1 - FAILURE_WEIGHT
        entry.suspected_until_s = float("-inf")
        entry.is_doubted = False
        entry.avoided_until_s = float("-inf")
        entry.failed_attempts_count = 0
        if answer_s is None:
            return
        before_s = (
            entry.mean_answer_s if entry.mean_answer_s is not None else answer_s
        )
        entry.mean_answer_s = before_s + PACE_WEIGHT * (answer_s - before_s)

    def answer_began(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that the head of an answer has arrived, whatever it says."""
        self.reachability.note_answered(start, now_s)
        self._count_held_failures(start, now_s)

    def answered(self, start: fleet.ServerStart) -> None:
        """Records the head of an answer that is no fault of the server."""
        self._on_outcome(start, False)

    def _count_held_failures(
        self, start: fleet.ServerStart, now_s: float
    ) -> None:
        for _ in range(self._held_failures.take(start, now_s)):
            self._note_fault(start, now_s)
            self._on_outcome(start, True)

    def failed(
        self, start: fleet.ServerStart, now_s: float, *, is_fault: bool = True
    ) -> None:
        """Records a failed answer.

        Args:
            start: The server.
            now_s: The current time.
            is_fault: Whether it is a fault of the server. A full server that
                refuses a request has none.
        """
        entry = self._entry(start)
        entry.failure_share += FAILURE_WEIGHT * (1 - entry.failure_share)
        if not is_fault:
            return
        self._note_fault(start, now_s)
        self._on_outcome(start, True)

    def _note_fault(self, start: fleet.ServerStart, now_s: float) -> None:
        entry = self._entry(start)
        share = self.fault_share(start, now_s)
        entry.fault_share = share + FAILURE_WEIGHT * (1 - share)
        entry.fault_at_s = now_s

    def fault_share(self, start: fleet.ServerStart, now_s: float) -> float:
        """Returns the share of recent answers that were a server's faults."""
        entry = self._entry(start)
        age_s = now_s - entry.fault_at_s
        return entry.fault_share * math.exp(-age_s / FAULT_TIME_CONSTANT_S)

    def refused(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a server refused a request without running it."""
        self.failed(start, now_s, is_fault=False)
        entry = self._entry(start)
        until_s = now_s + REFUSED_S
        entry.suspected_until_s = max(entry.suspected_until_s, until_s)

    def misdirected(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a request for a server reached another one.

        The server has ended, or it has another role than its record shows. It
        stays a last resort until it answers a request or writes its record
        again; one that has ended does neither.
        """
        self.refused(start, now_s)
        self._entry(start).is_doubted = True

    def registered(self, server: fleet.Server) -> None:
        """Records that a server has written its record, so it is running.

        Any other one that registered at its address before has ended.
        """
        before = self._start_by_address.get(server.address, server.start)
        self._start_by_address[server.address] = server.start
        self._entry(server.start).is_doubted = False
        if before != server.start:
            self._entry(before).is_doubted = True

    def pause_until_retry_after(
        self, start: fleet.ServerStart, retry_after_s: float, now_s: float
    ) -> None:
        """Records a server's Retry-After; it gets no requests until then."""
        _retry_afters_total.inc({})
        entry = self._entry(start)
        until_s = now_s + min(retry_after_s, RETRY_AFTER_LIMIT_S)
        entry.retry_after_until_s = max(entry.retry_after_until_s, until_s)

    def is_paused(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Tells whether a server's Retry-After has not yet passed."""
        return now_s < self._entry(start).retry_after_until_s

    def retry_after_left_s(
        self, among: Iterable[fleet.Server], now_s: float
    ) -> float | None:
        """Returns the time until the first server's Retry-After has passed.

        Returns:
            None unless all servers are waiting for their Retry-After.
        """
        lefts_s = [
            self._entry(server.start).retry_after_until_s - now_s
            for server in among
        ]
        if not lefts_s or min(lefts_s) <= 0:
            return None
        return min(lefts_s)

    def role_change_ordered(
        self, start: fleet.ServerStart, now_s: float
    ) -> None:
        """Records that an engine was ordered to change its role."""
        self._entry(start).changing_until_s = now_s + CHANGING_LIMIT_S

    def role_change_seen(self, start: fleet.ServerStart) -> None:
        """Records that an engine's record shows its new role."""
        self._entry(start).changing_until_s = float("-inf")

    def connection_lost(
        self,
        start: fleet.ServerStart,
        now_s: float,
        cause: reachability.Cause = "interrupted",
    ) -> None:
        """Records that a server, or the network, broke off an exchange."""
        self.reachability.note_interrupted(start, cause, now_s)
        self.failed(start, now_s, is_fault=False)
        if cause != "silent":
            self._held_failures.note(start, now_s)
        self._entry(start).suspected_until_s = now_s + SUSPECT_S

    def unreachable(
        self,
        start: fleet.ServerStart,
        now_s: float,
        cause: reachability.Cause = "silent",
    ) -> None:
        """Records that no connection to a server could be opened."""
        self.reachability.note_connect_failed(start, cause, now_s)
        self._avoid(start, now_s)

    def confirmed(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a server accepts a connection and keeps it open."""
        self.reachability.note_confirmed(start, now_s)
        self._on_contact(start, now_s)

    def briefly_open(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a server accepts a connection, open for a moment."""
        if self.reachability.note_briefly_open(start, now_s):
            self._on_contact(start, now_s)

    def _on_contact(self, start: fleet.ServerStart, now_s: float) -> None:
        self._count_held_failures(start, now_s)
        entry = self._entry(start)
        entry.avoided_until_s = float("-inf")
        entry.failed_attempts_count = 0

    def fell_silent(self, start: fleet.ServerStart, now_s: float) -> None:
        """Records that a server stopped responding during an exchange."""
        self.reachability.note_interrupted(start, "silent", now_s)
        self._avoid(start, now_s)

    def _avoid(self, start: fleet.ServerStart, now_s: float) -> None:
        self.failed(start, now_s, is_fault=False)
        entry = self._entry(start)
        if now_s >= entry.avoided_until_s or not entry.failed_attempts_count:
            # Requests that fail at the same time count as one failure.
            entry.failed_attempts_count += 1
        doubled_s = AVOID_S * 2 ** (entry.failed_attempts_count - 1)
        entry.avoided_until_s = now_s + min(AVOID_LIMIT_S, doubled_s)

    def may_use(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Tells whether requests may be sent to a server now.

        A gateway that can reach no server thereby refuses its callers at once,
        instead of letting each wait for every unresponsive server in turn.
        """
        entry = self._entry(start)
        return now_s >= max(
            entry.avoided_until_s,
            entry.changing_until_s,
            entry.retry_after_until_s,
        )

    def reachable(
        self, among: Iterable[fleet.Server], now_s: float
    ) -> list[fleet.Server]:
        """Returns the servers that requests may be sent to now."""
        return [one for one in among if self.may_use(one.start, now_s)]

    def is_suspected(self, start: fleet.ServerStart, now_s: float) -> bool:
        """Tells whether a server is used only as a last resort.

        It recently broke off or refused a request, or another server seems to
        be at its address.
        """
        entry = self._entry(start)
        return entry.is_doubted or now_s < entry.suspected_until_s

    def others_in_flight_count(
        self, start: fleet.ServerStart, now_s: float
    ) -> float:
        """Estimates the number of other gateways' requests at a server."""
        load = self.others_load(start, now_s)
        return load.requests_count * load.weight

    def others_load(self, start: fleet.ServerStart, now_s: float) -> OthersLoad:
        """Returns other gateways' requests at a server, by its last report."""
        entry = self._entry(start)
        age_s = now_s - entry.others_reported_at_s
        weight = math.exp(-age_s / REPORT_TIME_CONSTANT_S)
        return OthersLoad(entry.others_in_flight_count, weight)

    def candidates(
        self, among: Iterable[fleet.Server], now_s: float
    ) -> list[server_choice.Candidate]:
        """Returns servers of one service as input for the server choice.

        The slowdown of each is its answer time relative to the median of all,
        times its expected pace. Answer times are corrected by the stated pace,
        so that it counts once.
        """
        among = list(among)
        median_s = self._median_answer_s(among)
        return [self._candidate(server, median_s, now_s) for server in among]

    def _candidate(
        self, server: fleet.Server, median_s: float | None, now_s: float
    ) -> server_choice.Candidate:
        entry = self._entry(server.start)
        # Engines are chosen by their views, which contain the pace.
        expected = (
            self.paces.expected(server, now_s)
            if server.role is None
            else stated_pace.NOT_STATED
        )
        slowdown = 1.0
        if median_s and entry.mean_answer_s is not None:
            slowdown = max(expected.offset, entry.mean_answer_s / median_s)
        others_in_flight_count = self.others_in_flight_count(
            server.start, now_s
        )
        longest_s = None
        if median_s and expected.spread is not None:
            busy_count = entry.own_in_flight_count + others_in_flight_count + 1
            longest_s = (
                (entry.mean_answer_s or median_s)
                * (expected.pace + CERTAIN_DEVIATIONS_COUNT * expected.spread)
                * max(1.0, busy_count / max(1, server.slots_count))
            )
        return server_choice.Candidate(
            server=server,
            own_in_flight_count=entry.own_in_flight_count,
            others_in_flight_count=others_in_flight_count,
            failure_share=entry.failure_share,
            slowdown=min(PACE_LIMIT, slowdown * expected.pace),
            is_suspected=self.is_suspected(server.start, now_s),
            is_same_zone=server.availability_zone == self._availability_zone,
            longest_s=longest_s,
        )

    def _median_answer_s(self, among: list[fleet.Server]) -> float | None:
        """Returns the median answer time, None if none is known."""
        known = sorted(
            answer_s
            for server in among
            if (answer_s := self._entry(server.start).mean_answer_s) is not None
        )
        return known[(len(known) - 1) // 2] if known else None

    def _entry(self, start: fleet.ServerStart) -> _Entry:
        entry = self._entries.get(start)
        if entry is None:
            entry = self._entries[start] = _Entry()
        return entry

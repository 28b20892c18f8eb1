"""Estimates the load of engines from this gateway's and peers' reports."""

from typing import Protocol

from mulberrywharf import clock, fleet
from mulberrywharf.forwarding import request, server_tracker
from mulberrywharf.peers import notice_codec
from mulberrywharf.policy import engine_queues, load_estimates, server_choice

BUSY_REPORT_MAX_AGE_S = 2.0
"""Age up to which a report counts for the number of busy engines. A gateway of
a large fleet gets some ten answers of engines in this time."""

RELAYED_LOAD_MAX_AGE_S = 0.5
"""Oldest engine load that is passed on to peers. A batch of short answers is
replaced within that time."""

MIN_REPORTS_WEIGHT = 0.5
"""Least total weight of recent load reports from which the load of engines
without a recent report is estimated; below it these count as idle."""

_ServiceRole = tuple[str, fleet.Role | None]
"""Name of a service, and a role of its engines."""

_ZoneServiceRole = tuple[int, int, bool]
"""Keys of an availability zone and of a service, and whether the engines are
prefill engines."""

_NO_LOAD = load_estimates.IDLE, float("-inf")


class NoticeScope(Protocol):
    """Tells which engines' placements this gateway gets notices of."""

    def receives_notices_for(self, server: fleet.Server) -> bool:
        """Tells whether this gateway gets notices of all work at an engine."""
        ...


class EngineLoads:
    """Loads reported by engines and peers, and estimates for other engines.

    An engine has full notices if this gateway gets notices of all its work. For
    any other engine, the load is estimated as the mean that its availability
    zone reported. Without a recent report of the zone, it is the mean of the
    engines with full notices.

    An engine's own report decays toward the mean of the reports of its role.
    If it decayed to zero, an engine without a report for two seconds would look
    idle and get prompts that stall its streams: with 61 gateways, 0.17 of the
    streams in 12 s paused too long, instead of 0.12.
    """

    def __init__(
        self,
        tracker: server_tracker.ServerTracker,
        queues: engine_queues.EngineQueues,
        notices: NoticeScope,
        system_clock: clock.Clock,
    ):
        """Initializes the loads; no engine is known.

        Args:
            tracker: Own and reported requests per engine.
            queues: Estimated prefill queues of the engines.
            notices: Tells which engines have full notices.
            system_clock: Source of monotonic time.
        """
        self._tracker = tracker
        self._queues = queues
        self._notices = notices
        self._clock = system_clock
        self._server_by_key: dict[int, fleet.Server] = {}
        self._zone_by_start: dict[fleet.ServerStart, str] = {}
        self._decode_engines: dict[str, list[fleet.Server]] = {}
        self._engine_starts: frozenset[fleet.ServerStart] = frozenset()
        self._mean_loads: dict[
            _ServiceRole, tuple[load_estimates.Load, float]
        ] = {}
        self._reported_shares: dict[_ServiceRole, tuple[float, float]] = {}
        self._zone_loads: dict[
            _ZoneServiceRole, tuple[load_estimates.Load, float]
        ] = {}

    def set_engines(self, known: dict[int, fleet.Server]) -> None:
        """Replaces the known servers, given by their keys in notices."""
        self._server_by_key = known
        self._zone_by_start = {
            server.start: server.availability_zone for server in known.values()
        }
        self._decode_engines = {}
        for server in known.values():
            if server.role not in (None, "prefill") and not server.is_draining:
                engines = self._decode_engines.setdefault(server.service, [])
                engines.append(server)
        self._engine_starts = frozenset(
            server.start for server in known.values() if server.role is not None
        )

    def load(
        self, candidate: server_choice.Candidate, now_s: float
    ) -> load_estimates.Load:
        """Returns the estimated load of an engine."""
        if self._notices.receives_notices_for(candidate.server):
            return self._observed_load(candidate, now_s)
        return load_estimates.raised_to(
            self._known_load(candidate, now_s),
            self._believed(candidate.server, now_s),
        )

    def recent_reports(
        self, availability_zone: str
    ) -> tuple[notice_codec.Load, ...]:
        """Returns the recent load reports of a zone's engines.

        Other servers are included if they state their pace, which no gateway
        learns often enough from its own calls.
        """
        now_s = self._clock.monotonic_s()
        return tuple(
            notice_codec.Load(
                notice_codec.hash_server_start(start),
                load.requests_count,
                now_s - reported_s,
                load.pace,
            )
            for start, load, reported_s in self._tracker.reported_since(
                now_s - RELAYED_LOAD_MAX_AGE_S
            )
            if self._zone_by_start.get(start) == availability_zone
            and (start in self._engine_starts or load.pace is not None)
        )

    def mean_load_by_role(self) -> tuple[notice_codec.RoleLoad, ...]:
        """Returns the mean load of the engines with full notices, by role."""
        now_s = self._clock.monotonic_s()
        kinds = {
            (one.service, one.role)
            for one in self._server_by_key.values()
            if one.role is not None and self._notices.receives_notices_for(one)
        }
        return tuple(
            notice_codec.RoleLoad(
                notice_codec.hash_name(service),
                role == "prefill",
                self._mean_load((service, role), now_s),
            )
            for service, role in sorted(kinds)
        )

    def busy_decode_engines(self, service: str) -> float | None:
        """Returns how many engines generation keeps in use, over all zones.

        Slots in use count as fractions of an engine. The mean of the engines'
        own reports is used. Each report came with an answer and includes the
        answered request, which is left out: an engine is seen only when it
        works, and would otherwise look busier than it is. Requests that wait
        are left out, too, because they wait for prefills rather than slots.

        Returns:
            The number of engines, None if no engine has reported lately.
        """
        now_s = self._clock.monotonic_s()
        engines = self._decode_engines.get(service, ())
        slots_by_start = {one.start: max(1, one.slots_count) for one in engines}
        shares = [
            max(0, load.running_count - 1) / slots_by_start[start]
            for start, load, _ in self._tracker.reported_since(
                now_s - BUSY_REPORT_MAX_AGE_S
            )
            if start in slots_by_start
        ]
        if not shares:
            return None
        return len(engines) * sum(shares) / len(shares)

    def on_notice(self, notice: notice_codec.Notice) -> None:
        """Applies the loads in another gateway's notice."""
        now_s = self._clock.monotonic_s()
        for load in notice.loads:
            server = self._server_by_key.get(load.engine_key)
            if server is None:
                continue
            reported_s = now_s - load.age_s
            self._tracker.reachability.note_others_contact(
                server.start, reported_s
            )
            most_count = (
                1 + request.WAITING_PER_SLOT_LIMIT
            ) * server.slots_count
            self._tracker.note_requests_count(
                server.start, min(load.requests_count, most_count), reported_s
            )
            if load.pace is not None:
                self._tracker.paces.note(server, load.pace, reported_s)
        for report in notice.role_loads:
            kind = notice.zone_key, report.service_key, report.is_prefill
            self._zone_loads[kind] = report.load, now_s

    def _known_load(
        self, candidate: server_choice.Candidate, now_s: float
    ) -> load_estimates.Load:
        """Returns an engine's load by the work that this gateway knows of."""
        server = candidate.server
        running_count = (
            candidate.own_in_flight_count + candidate.others_in_flight_count
        )
        return load_estimates.Load(
            running_count / max(1, server.slots_count),
            self._queues.wait_s(server.start, now_s),
        )

    def _observed_load(
        self, candidate: server_choice.Candidate, now_s: float
    ) -> load_estimates.Load:
        """Returns the load of an engine with full notices."""
        server = candidate.server
        known = self._known_load(candidate, now_s)
        unknown_share = (
            1.0 - self._tracker.others_load(server.start, now_s).weight
        )
        mean_share = self._told_share((server.service, server.role), now_s)
        return known._replace(
            running_share=known.running_share + unknown_share * mean_share
        )

    def _believed(
        self, server: fleet.Server, now_s: float
    ) -> load_estimates.Load:
        """Returns the estimated load of an engine without full notices."""
        kind = (
            notice_codec.hash_name(server.availability_zone),
            notice_codec.hash_name(server.service),
            server.role == "prefill",
        )
        load, reported_s = self._zone_loads.get(kind, _NO_LOAD)
        if now_s - reported_s <= load_estimates.MAX_REPORT_AGE_S:
            return load
        return self._mean_load((server.service, server.role), now_s)

    def _told_share(self, kind: _ServiceRole, now_s: float) -> float:
        """Returns the mean share of slots taken by others' requests."""
        found, found_s = self._reported_shares.get(kind, (0.0, float("-inf")))
        if now_s - found_s < load_estimates.MEAN_CACHE_S:
            return found
        reports = [
            (self._tracker.others_load(one.start, now_s), one.slots_count)
            for one in self._engines_with_full_notices(kind)
        ]
        weight = sum(load.weight for load, _ in reports)
        found = 0.0
        if weight >= MIN_REPORTS_WEIGHT:
            found = sum(
                load.weight * load.requests_count / max(1, slots_count)
                for load, slots_count in reports
            )
            found /= weight
        self._reported_shares[kind] = found, now_s
        return found

    def _engines_with_full_notices(
        self, kind: _ServiceRole
    ) -> list[fleet.Server]:
        """Returns the engines of a kind with full notices."""
        return [
            one
            for one in self._server_by_key.values()
            if (one.service, one.role) == kind
            and not one.is_draining
            and self._notices.receives_notices_for(one)
        ]

    def _mean_load(
        self, kind: _ServiceRole, now_s: float
    ) -> load_estimates.Load:
        """Returns the mean load of a kind's engines with full notices."""
        found, found_s = self._mean_loads.get(kind, _NO_LOAD)
        if now_s - found_s < load_estimates.MEAN_CACHE_S:
            return found
        observed = self._tracker.candidates(
            self._engines_with_full_notices(kind), now_s
        )
        found = load_estimates.mean(
            [self._observed_load(candidate, now_s) for candidate in observed]
        )
        self._mean_loads[kind] = found, now_s
        return found

"""Follows whether this gateway's paths to the servers work.

While a service has servers that can't be reached, it opens connections to them
and asks other gateways, so that no caller's request has to try.
"""

import math
import random
from collections.abc import Iterable
from typing import Protocol

import gevent
from loguru import logger
from result import Err, Result

from mulberrywharf import clock, errors, fleet, metrics, supervised_task
from mulberrywharf.forwarding import server_tracker
from mulberrywharf.policy import lost_path, reachability

TICK_S = 0.05
PROBE_INTERVAL_S = 0.25
"""Interval between two probes of a role without a reachable server. A failing
probe takes up to 0.2 s, or three times ``PROBE_CONFIRM_S`` if its connections
open and are reset."""

PROBE_CONFIRM_S = 0.25
"""How long a probe's connection must stay open. On a broken path, what accepts
the connection may reset it only later; the request that then tries the own path
is lost if it may not be repeated."""

SWEEP_PAUSE_S = 1.0
"""Shortest interval between two sweeps of a service. A sweep probes its other
servers after one has fallen silent, or has failed while the own path is tried
again. Without it, each silent server would cost a request the timeout of a
connection."""

CONTACT_S = 0.2
"""Age of the last answer of a service up to which there is no sweep. An answer
that came while the connection to the silent server was awaited shows that the
path works."""

SWEEP_LIMIT_COUNT = 8
"""Maximum number of servers probed at once; more than the unreachable servers
from which a role counts as unreachable."""

WITNESSES_COUNT = 3
"""Maximum number of servers that are connected to, to tell whether another one
or the path to all has failed."""

FAILED_TOGETHER_S = 0.2
"""Servers that became unreachable within this time may have done so for the
same reason. Earlier ones had failed before, and show nothing."""

PROVEN_S = 0.5
"""How long an answer of a server shows that its role can be reached. A gateway
without recent answers connects to servers before it tells others that it can
serve their requests."""

IDLE_S = 0.2
"""Time without a byte after which an exchange with a silent server is repeated
through another gateway. Engines send a token at least every 0.1 s; answers to
plain calls may take longer, but connections to their server time out."""

_lost_total = metrics.counter(
    "mulberry_paths_lost_total",
    "How often this gateway lost its own path to a service.",
)
_lost_gauge = metrics.gauge(
    "mulberry_paths_lost",
    "Whether requests for a service are handed over to other gateways.",
)
_interrupted_total = metrics.counter(
    "mulberry_exchanges_interrupted_total",
    "Exchanges with silent servers that were repeated through a gateway.",
)


class Questions(Protocol):
    """Asks other gateways whether they can serve requests."""

    def ask(self) -> None:
        """Sends the questions that are due."""
        ...


class Client(Protocol):
    """Has the exchanges with the servers."""

    def can_connect(self, address: fleet.Address) -> bool:
        """Tells whether a server accepts a connection."""
        ...

    def interrupt_idle(
        self, starts: Iterable[fleet.ServerStart], idle_s: float
    ) -> int:
        """Ends exchanges without a byte for a time that may be repeated."""
        ...

    def probe(
        self, address: fleet.Address, confirm_s: float
    ) -> Result[None, errors.EngineUnreachableError]:
        """Connects to a server and checks that the connection stays open."""
        ...


class PathMonitor:
    """Keeps ``LostPaths`` up to date while servers are unreachable."""

    def __init__(
        self,
        tracker: server_tracker.ServerTracker,
        paths: lost_path.LostPaths,
        questions: Questions,
        client: Client,
        system_clock: clock.Clock,
    ):
        """Creates it.

        Args:
            tracker: Tells which servers are reachable.
            paths: Decides which paths are lost.
            questions: Asks other gateways.
            client: Probes servers, and interrupts exchanges with them.
            system_clock: Source of monotonic time.
        """
        self._tracker = tracker
        self._servers = tracker.reachability
        self._paths = paths
        self._questions = questions
        self._client = client
        self._clock = system_clock
        self._probing: set[fleet.ServerStart] = set()
        self._probed_s: dict[tuple[str, fleet.Role | None], float] = {}
        self._next_probe: dict[tuple[str, fleet.Role | None], int] = {}
        self._swept_s: dict[str, float] = {}
        self._task: gevent.Greenlet | None = None

    def close(self) -> None:
        """Stops probing."""
        if self._task is not None:
            self._task.kill()

    def is_path_working(self, start: fleet.ServerStart) -> bool:
        """Tells whether other servers accept connections.

        The servers of the same service are tried, and those of other services
        only if there are none. Without any, nothing speaks against the path.

        Args:
            start: The server that failed.
        """
        now_s = self._clock.monotonic_s()
        own_service = self._servers.service_of(start)
        others: list[fleet.Server] = []
        if own_service is not None:
            others = self._witnesses(own_service, start, now_s)
        if not others:
            others = [
                server
                for service in self._servers.services()
                if service != own_service
                for server in self._witnesses(service, start, now_s)
            ]
        tries = [
            gevent.spawn(self._client.can_connect, server.address)
            for server in others[:WITNESSES_COUNT]
        ]
        try:
            for tried in gevent.iwait(tries):
                if tried.value:
                    return True
            return not tries
        finally:
            gevent.killall(tries, block=False)

    def can_serve(self, service: str) -> bool:
        """Tells whether a server of each role of a service is reachable.

        Connects to servers of roles that have not answered for a while.
        """
        if not self._paths.can_serve(service):
            return False
        proven_s = self._clock.monotonic_s() - PROVEN_S
        roles = self._servers.answered_s_by_role(service)
        doubtful = [role for role, at_s in roles.items() if at_s < proven_s]
        connecting = [
            gevent.spawn(self._can_reach, service, role) for role in doubtful
        ]
        gevent.joinall(connecting)
        return bool(roles) and all(one.value for one in connecting)

    def takes_from_others(self, service: str) -> bool:
        """Tells whether requests that other gateways hand over are taken.

        Servers that broke answers off a moment ago don't stop that, unlike
        those that accept no connection or are silent.
        """
        if self._paths.can_serve(service):
            return True
        is_doubtful = self._paths.state(service) == "doubtful"
        since_s = self._clock.monotonic_s() - PROVEN_S
        return is_doubtful and self._servers.is_only_interrupted(
            service, since_s
        )

    def _can_reach(self, service: str, role: fleet.Role | None) -> bool:
        of_role = [
            server
            for server in self._servers.servers(service)
            if server.role == role
            and not self._servers.is_unreachable(server.start)
        ]
        for server in random.sample(of_role, min(2, len(of_role))):
            if self._client.can_connect(server.address):
                return True
            self._tracker.unreachable(server.start, self._clock.monotonic_s())
        return False

    def _witnesses(
        self, service: str, start: fleet.ServerStart, now_s: float
    ) -> list[fleet.Server]:
        """Returns the servers that were reachable before another one failed."""
        failed_before = {
            one.server.start
            for one in self._servers.unreachable(service, now_s)
            if one.unreachable_s > FAILED_TOGETHER_S
        }
        return [
            server
            for server in self._servers.servers(service)
            if server.start != start and server.start not in failed_before
        ]

    def note_change(self, service: str, now_s: float) -> None:
        """Handles a change of which servers of a service are reachable."""
        self._update(service, now_s)
        if self._is_sweep_due(service, now_s):
            self._sweep(service, now_s)
        if self._paths.unsettled() and not self._task:
            self._task = supervised_task.spawn("path-monitor", self._run)

    def _run(self) -> None:
        while self._paths.unsettled():
            now_s = self._clock.monotonic_s()
            for service in self._paths.unsettled():
                self._update(service, now_s)
                self._probe_due(service, now_s)
                if self._paths.state(service) == "lost":
                    self._interrupt_silent(service, now_s)
            self._questions.ask()
            gevent.sleep(TICK_S)

    def _update(self, service: str, now_s: float) -> None:
        """Updates a path; probes its servers if its return has failed.

        One unreachable server of several leaves the service reachable, so the
        return would go on, and a request that may not be repeated would be
        lost at the next server.
        """
        returning_s = self._paths.returning_s(service, now_s)
        if returning_s is not None:
            unreachable = self._servers.unreachable(service, now_s)
            failed_s = min(
                (one.unreachable_s for one in unreachable), default=math.inf
            )
            if failed_s <= returning_s:
                self._paths.note_failed(service, now_s - failed_s)
                swept_s = self._swept_s.get(service, -math.inf)
                if now_s - swept_s >= SWEEP_PAUSE_S:
                    self._sweep(service, now_s)
        self._paths.update(service, self._servers.status(service), now_s)

    def _interrupt_silent(self, service: str, now_s: float) -> None:
        """Ends exchanges that wait for servers that can't be reached."""
        silent = [
            one.server.start
            for one in self._servers.unreachable(service, now_s)
            if one.cause == "silent"
        ]
        count = self._client.interrupt_idle(silent, IDLE_S)
        if count:
            _interrupted_total.add({"service": service}, count)

    def _is_sweep_due(self, service: str, now_s: float) -> bool:
        swept_s = self._swept_s.get(service, float("-inf"))
        return (
            now_s - swept_s >= SWEEP_PAUSE_S
            and now_s - self._servers.answered_s(service) > CONTACT_S
            and any(
                one.cause == "silent"
                for one in self._servers.unreachable(service, now_s)
            )
        )

    def _sweep(self, service: str, now_s: float) -> None:
        """Probes the servers of a service that count as reachable.

        If the service can't be reached at all, other services are probably
        unreachable, too.
        """
        swept = [service]
        if self._servers.status(service) == "none":
            swept = list(self._servers.services())
        for name in swept:
            self._swept_s[name] = now_s
            reachable = [
                server
                for server in self._servers.servers(name)
                if not self._servers.is_unreachable(server.start)
            ]
            # Gateways that lose their paths together would probe the same ones.
            # Neighbours mostly have one role, which counts by a few of them.
            first = random.randrange(len(reachable) or 1)
            chosen = reachable[first:] + reachable[:first]
            self._probe(chosen[:SWEEP_LIMIT_COUNT])

    def _probe_due(self, service: str, now_s: float) -> None:
        """Probes one server of each role that is not reachable."""
        unreachable = [
            one.server for one in self._servers.unreachable(service, now_s)
        ]
        for role in self._servers.unreachable_roles(service):
            key = service, role
            servers = [one for one in unreachable if one.role == role]
            last_s = self._probed_s.get(key, float("-inf"))
            if not servers or now_s - last_s < PROBE_INTERVAL_S:
                continue
            self._probed_s[key] = now_s
            number = self._next_probe.get(key, 0)
            self._next_probe[key] = number + 1
            self._probe([servers[number % len(servers)]])

    def _probe(self, servers: Iterable[fleet.Server]) -> None:
        for server in servers:
            if server.start not in self._probing:
                self._probing.add(server.start)
                gevent.spawn(self._probe_one, server)

    def _probe_one(self, server: fleet.Server) -> None:
        try:
            probed = self._client.probe(server.address, PROBE_CONFIRM_S)
        finally:
            self._probing.discard(server.start)
        now_s = self._clock.monotonic_s()
        if isinstance(probed, Err):
            cause: reachability.Cause = (
                "refused" if probed.err_value.was_refused else "silent"
            )
            self._tracker.unreachable(server.start, now_s, cause)
        else:
            self._tracker.confirmed(server.start, now_s)


def log_change(change: lost_path.Change) -> None:
    """Logs that a path was lost or is used again."""
    is_lost = lost_path.is_lost(change.state)
    was_lost = lost_path.is_lost(change.before)
    _lost_gauge.set({"service": change.service}, int(is_lost))
    bound = logger.bind(
        service=change.service,
        helpers_count=change.helpers_count,
        lasted_s=round(change.lasted_s, 3),
    )
    if is_lost and not was_lost:
        _lost_total.inc({"service": change.service})
        bound.warning("own path lost: requests are handed over")
    elif was_lost and not is_lost:
        bound.info("own path in use again")

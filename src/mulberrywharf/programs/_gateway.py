"""Assembles a gateway from its settings."""

import math
import random
from collections.abc import Callable

import gevent
import gevent.event
from loguru import logger

from mulberrywharf import (
    clock,
    fleet,
    gateway_settings,
    limit_claims,
    server_limits,
    supervised_task,
)
from mulberrywharf.authority import duty_holder, role_manager
from mulberrywharf.callers import (
    connection_intake,
    handed_over,
    listener,
    routed_server,
)
from mulberrywharf.crashes import (
    crash_records,
    crash_reports,
    crash_watch,
    server_ends,
)
from mulberrywharf.customers import authentication
from mulberrywharf.engines import role_orders
from mulberrywharf.forwarding import (
    customer_admission,
    engine_estimates,
    engine_pool,
    generation,
    handover,
    path_log,
    path_monitor,
    plain_call,
    repeats,
    server_client,
    server_tracker,
    servers,
    stop_gate,
    stream_versions,
)
from mulberrywharf.operators import readiness
from mulberrywharf.peers import (
    customer_demand,
    directory,
    ejection_exchange,
    freshness_relay,
    handover_client,
    handover_server,
    limit_datagrams,
    notices,
    path_questions,
    queue_owners,
    repeat_claims,
    repeat_shares,
    revision_exchange,
    stream_origins,
    topics,
)
from mulberrywharf.platform import documents, duties, orders, requests, store
from mulberrywharf.platform_service import key_value, watch, watch_audit
from mulberrywharf.policy import (
    crash_suspects,
    customer_meter,
    customer_shares,
    lost_path,
    recent_starts,
    repeat_budget,
    stream_version,
)
from mulberrywharf.programs import _gateway_duties
from mulberrywharf.routes import follower, freshness, table

STORE_TIMEOUT_S = 1.0
"""Timeout of one call to the store. The store normally answers within
milliseconds, and in some 250 ms when it is sixty times slower than usual."""

DRAIN_NOTICE_S = 2.5
"""How long new connections are still accepted after a request to stop. The
platform's load balancer checks readiness once a second and removes a node
after two failed checks."""

_MS_PER_S = 1000.0
READINESS_INTERVAL_S = 0.2

ROLE_CALL_LIMIT_WAIT_S = 0.2
"""Longest wait for an engine's request limit before a role report is read or a
role is ordered. Callers' requests can wait only some hundred milliseconds, so
longer waits would delay them."""


class Gateway:
    """Creates the parts of a gateway, and starts and closes them in order.

    Attributes:
        stopping: Event that requests the graceful stop.
    """

    def __init__(self, config: gateway_settings.GatewaySettings):
        self.stopping = gevent.event.Event()
        self._config = config
        self._clock = clock.SystemClock()
        self._boot_clock = clock.BootClock()
        self._stops = stop_gate.StopGate(self._clock)
        self._rng = random.Random()
        self._store = key_value.KeyValueClient(
            [gateway_settings.endpoint(config["store"])],
            timeout_s=STORE_TIMEOUT_S,
            system_clock=self._boot_clock,
            dialect=store.StoreDialect(),
        )
        source = documents.StoredDocuments()
        self._peers, self._notices, self._queues = self._peer_parts()
        self._revision_exchange = revision_exchange.RevisionExchange(
            self._notices, self._watches, lambda: self._store.era
        )
        self._routes = follower.RouteFollower(
            self._store,
            source,
            timeouts=lambda: watch.LONG_TIMEOUTS,
        )
        relay = freshness_relay.FreshnessRelay(
            self._peers, self._notices.socket
        )
        self._freshness = freshness.RoutesFreshness(
            self._store,
            self._routes,
            _revocation_bound_s(config),
            relay=relay,
            audit=watch_audit.WatchAudit(
                self._store,
                lambda: self._servers.watched(),
                purpose=freshness.PURPOSE,
            ),
        )
        relay.on_question(self._confirmed_routes)
        self._tracker = server_tracker.ServerTracker(
            config["availability_zone"]
        )
        self._servers = servers.ServerList(
            self._store,
            source,
            timeouts=lambda: watch.LONG_TIMEOUTS,
            on_registered=self._tracker.registered,
        )
        self._version_history = stream_version.VersionHistory()
        # Contact with the store, and the reading that the history began with.
        self._history_basis = (False, 0)
        self._path_log = path_log.PathLog(self._tracker.reachability)
        self._paths = lost_path.LostPaths(self._rng, self._on_path_change)
        self._role_holder: duty_holder.DutyHolder | None = None
        self._tracker.reachability.on_change(self._on_reachability_change)
        self._tracker.reachability.on_answer(self._paths.note_answered)
        carrier = limit_datagrams.LimitDatagrams(
            self._notices.socket, self._clock
        )
        claims = limit_claims.LimitClaims(self._peers, carrier, self._clock)
        carrier.on_claim(claims.decide)
        self._limits = server_limits.ServerLimits(self._clock, claims)
        self._recent_starts = recent_starts.RecentStarts()
        self._client = server_client.ServerClient(
            requests.ServerDialect(),
            self._tracker,
            self._clock,
            self._limits,
            self._servers.mark_leaving,
        )
        suspects = crash_suspects.CrashSuspects(
            self._rng.uniform(0.0, crash_suspects.TRIAL_SPREAD_S)
        )
        self._topics = topics.TopicExchange(self._notices.socket)
        self._stream_origins = stream_origins.StreamOrigins(
            self._peers,
            self._topics,
            self._version_history,
            self._boot_clock,
            lambda then: gevent.spawn(self._confirm_versions, then=then),
        )
        self._ejections = ejection_exchange.EjectionExchange(
            self._peers,
            self._topics,
            self._reachable_servers,
            self._clock,
            self._rng,
        )
        self._tracker.on_outcome(self._ejections.note_outcome)
        self._crash_reports = crash_reports.CrashReports(
            self._peers, self._notices.socket, suspects, self._clock
        )
        self._crash_records = crash_records.CrashRecords(
            self._store, suspects, self._clock
        )
        self._handover_client = handover_client.HandoverClient(
            config["vm_id"], requests.ServerDialect()
        )
        self._path_monitor = path_monitor.PathMonitor(
            self._tracker,
            self._paths,
            path_questions.PathQuestions(
                self._peers,
                self._topics,
                self._paths,
                self._tracker.reachability.services,
                lambda: self._helping.load,
                lambda service: self._path_monitor.can_serve(service),
                self._clock,
            ),
            self._client,
            self._clock,
        )
        self._crashes = crash_watch.CrashWatch(
            server_ends.ServerEnds(
                self._client,
                self._clock,
                self._path_monitor.is_path_working,
                lambda start: self._tracker.briefly_open(
                    start, self._clock.monotonic_s()
                ),
            ),
            suspects,
            self._crash_reports,
            self._crash_records,
            self._clock,
        )
        self._repeat_shares = repeat_shares.RepeatShares(
            self._peers,
            self._store,
            f"{config['vm_id']}/{self._rng.getrandbits(64):016x}",
            clock.BootClock(),
        )
        self._budget = repeat_budget.RepeatBudget(
            _repeat_settings(config), self._repeat_shares
        )
        self._repeats = repeats.Repeats(
            self._budget,
            clock.BootClock(),
            lambda service: self._repeat_claims.claim(service),
        )
        self._repeat_claims = repeat_claims.RepeatClaims(
            self._peers,
            self._repeat_shares.holders,
            self._topics,
            self._service_names,
            self._repeats.lend,
            self._rng,
            self._clock,
        )
        self._estimates = engine_estimates.EngineEstimates(
            self._tracker,
            self._clock,
            self._notices,
            self._kv_capacity_tokens,
            self._queues,
        )
        self._queues.set_parts(self._estimates)
        self._customer_demand, customer_part = self._customer_parts()
        self._pool = engine_pool.EnginePool(
            self._servers,
            self._tracker,
            self._estimates,
            self._limits,
            self._clock,
            self._rng,
            customer_part,
            self._stops,
        )
        self._notices.set_sources(
            self._estimates.on_notice,
            self._estimates.loads.recent_reports,
            self._estimates.demand.own_demands,
            self._estimates.loads.mean_load_by_role,
        )
        self._servers.on_change(self._on_servers_change)
        self._servers.on_change(self._revision_exchange.on_change)
        self._routes.on_change(lambda _: self._revision_exchange.on_change())
        self._intake = connection_intake.ConnectionIntake()
        self._listener = _listener(config, self._intake)
        self._duties = _gateway_duties.create(
            config,
            _gateway_duties.Dependencies(
                self._store,
                self._peers,
                self._notices.socket,
                self._topics,
                self._routes,
                self._servers,
                self._estimates,
                self._clock,
                self._rng,
            ),
            duties.DutyDialect(),
        )
        self._callers = self._routed_server(self._duties.count_request)
        self._peer_listener = _peer_listener(config)
        self._helping = handover_server.HandoverServer(
            self._peer_listener,
            self._peers,
            config["vm_id"],
            self._can_serve,
            handed_over.HandedOverRequests(
                self._callers,
                requests.CallerDialect(),
                self._routes,
                self._clock,
            ).serve,
        )
        self._readiness = readiness.ReadinessServer(
            **gateway_settings.endpoint(config["operators_listen"])
        )
        self._roles = self._role_parts()
        self._readiness_greenlet: gevent.Greenlet | None = None
        self._routes_before: table.RouteTable | None = None
        self._routes.on_change(self._on_routes_change)

    @classmethod
    def from_config(cls, config: gateway_settings.GatewaySettings) -> "Gateway":
        """Creates a gateway and binds its listeners; ``start`` serves."""
        return cls(config)

    def ports(self) -> dict[str, int]:
        """Returns the TCP port of each listener."""
        return {
            "callers": self._listener.port,
            "operators": self._readiness.port,
        }

    def start(self) -> None:
        """Starts all parts; readiness follows once a request can be served."""
        logger.bind(ports=self.ports()).info("starting")
        self._readiness.start()
        self._routes.start()
        self._servers.start()
        self._peers.start()
        self._notices.start()
        self._crash_records.start()
        for part in (*self._roles, self._duties):
            part.start()
        self._intake.start()
        self._listener.start()
        self._peer_listener.start()
        self._readiness_greenlet = supervised_task.spawn(
            "readiness", self._update_readiness
        )

    def reload(self, config: gateway_settings.GatewaySettings) -> None:
        """Applies the settings that can change while the gateway runs.

        These are the limits on repeats and the grace period of a stop. Changed
        addresses and names take effect at the next start.
        """
        changed = [
            name
            for name in config
            if config.get(name) != self._config.get(name)
        ]
        self._budget.configure(_repeat_settings(config))
        self._config = config
        logger.bind(changed=changed).info("settings reloaded")

    def stop(self) -> None:
        """Stops gracefully: finishes every accepted request first.

        Requests that could not be answered within the grace period are refused.
        """
        grace_s = self._config["grace_s"]
        last_answer_s = self._stops.begin(grace_s)
        logger.info("stopping: no longer ready")
        if self._readiness_greenlet is not None:
            self._readiness_greenlet.kill()
        self._readiness.ready = False
        self._listener.announce_stop(last_answer_s)
        self._peer_listener.announce_stop(last_answer_s)
        # Closed from the beginning of the drain on: the next holder of the
        # usage duty also collects the counts of this gateway. Meanwhile the
        # drain goes on, as this waits for the key-value service.
        closing = gevent.spawn(self._close_duties)
        gevent.sleep(min(DRAIN_NOTICE_S, grace_s / 3))
        logger.bind(in_flight_count=self._listener.in_flight_count).info(
            "stopping: finishing what is in flight"
        )
        gevent.joinall(
            [
                gevent.spawn(self._listener.finish),
                gevent.spawn(self._peer_listener.finish),
                closing,
            ],
            raise_error=True,
        )
        self.close()
        logger.info("stopped")

    def close(self) -> None:
        """Closes all parts without waiting for requests."""
        self._close_duties()
        self._duties.close_exchange()
        self._customer_demand.close()
        self._freshness.close()
        self._crash_records.close()
        self._notices.close()
        self._repeat_shares.close()
        self._peers.close()
        self._servers.close()
        self._routes.close()
        self._store.close()
        self._path_monitor.close()
        self._handover_client.close()
        self._client.close()
        self._readiness.close()
        self._intake.close()

    def _close_duties(self) -> None:
        for part in (*self._roles, self._duties):
            part.close()

    def _peer_parts(
        self,
    ) -> tuple[
        directory.PeerDirectory,
        notices.NoticeExchange,
        queue_owners.QueueOwners,
    ]:
        listen = gateway_settings.endpoint(self._config["nodes_listen"])
        incarnation = self._rng.getrandbits(32)
        address = fleet.Address(listen["ip"], listen["port"])
        peers = directory.PeerDirectory(
            self._store,
            self._config["vm_id"],
            address,
            self._config["availability_zone"],
            f"{incarnation:08x}",
        )
        work_notices = notices.NoticeExchange(
            address,
            peers,
            incarnation,
            self._config["availability_zone"],
            self._clock,
        )
        queues = queue_owners.QueueOwners(
            peers, work_notices.socket, incarnation, self._clock
        )
        return peers, work_notices, queues

    def _confirmed_routes(self) -> freshness_relay.Confirmation | None:
        routes = self._routes.current()
        age_s = self._freshness.age_s()
        if routes is None or not math.isfinite(age_s):
            return None
        return freshness_relay.Confirmation(routes.version, age_s)

    def _on_routes_change(self, routes: table.RouteTable) -> None:
        self._note_stream_sources(routes)
        limits = routes.limits
        self._listener.allow(
            limits.header_bytes if limits else None,
            limits.idle_timeout_s if limits else None,
        )
        self._version_history.set_longest_timeout(routes.longest_timeout_s())
        self._freshness.start()
        if routes.customers is not None:
            self._customer_demand.start()

    def _note_stream_sources(self, routes: table.RouteTable) -> None:
        before, self._routes_before = self._routes_before or routes, routes
        has_new = self._version_history.set_sources(
            routes.shared_streams(),
            routes.redirected_streams(before),
            self._boot_clock.monotonic_s(),
        )
        if has_new:
            # The version of untold streams may not be inferred from here on.
            self._stream_origins.tell_untold()

    def _customers_count(self) -> int:
        routes = self._routes.current()
        if routes is None or routes.customers is None:
            return 0
        return routes.customers.customers_count

    def _customer_parts(
        self,
    ) -> tuple[
        customer_demand.CustomerDemandExchange,
        customer_admission.CustomerAdmission,
    ]:
        """Creates the parts that divide scarce engines among customers."""
        meter = customer_meter.CustomerMeter()
        shares = customer_shares.CustomerShares(random.Random())
        exchange = customer_demand.CustomerDemandExchange(
            self._peers,
            self._topics,
            meter,
            shares,
            self._config["availability_zone"],
            self._customers_count,
            self._clock,
        )
        return exchange, customer_admission.CustomerAdmission(
            meter, shares, self._estimates.speeds, self._clock
        )

    def _role_parts(
        self,
    ) -> tuple[role_manager.RoleManager, duty_holder.DutyHolder] | tuple[()]:
        """Creates the parts that order engine roles, in the order to close."""
        if "roles" not in self._config:
            return ()
        holder = duty_holder.DutyHolder(
            self._store,
            self._config["vm_id"],
            min_lease_s=self._config["roles"]["turn_ms"] / _MS_PER_S,
            is_needed=lambda: not self._is_engine_path_lost(),
        )
        self._role_holder = holder
        manager = role_manager.RoleManager(
            holder,
            _Engines(
                self._servers,
                self._routes,
                self._store,
                self._estimates,
                self._tracker,
                self._limits,
                self._clock,
            ),
            role_orders.RoleClient(orders.OrderDialect()),
            self._config["vm_id"],
            self._clock,
            self._on_role_ordered,
            self._servers.mark_restarted,
            lambda server: self._queues.slowdown(server) or 1.0,
        )
        return manager, holder

    def _on_role_ordered(self, server: fleet.Server) -> None:
        self._tracker.role_change_ordered(
            server.start, self._clock.monotonic_s()
        )
        self._notices.report_role_change(server)

    def _watches(self) -> dict[str, watch.Watch]:
        watches = {
            "routes_revision": self._routes.watched(),
            "servers_revision": self._servers.watched(),
        }
        return {
            name: store_watch
            for name, store_watch in watches.items()
            if store_watch is not None
        }

    def _kv_capacity_tokens(self, service: str) -> int:
        routes = self._routes.current()
        known = routes.services.get(service) if routes else None
        return known.engine.kv_tokens if known and known.engine else 0

    def _service_names(self) -> tuple[str, ...]:
        routes = self._routes.current()
        return tuple(routes.services) if routes else ()

    def _can_serve(self, service: str) -> bool:
        return self._path_monitor.takes_from_others(service) and bool(
            self._servers.usable(service)
        )

    def _is_engine_path_lost(self) -> bool:
        routes = self._routes.current()
        services = routes.engine_services() if routes else ()
        return any(self._paths.is_lost(service) for service in services)

    def _on_path_change(self, change: lost_path.Change) -> None:
        path_monitor.log_change(change)
        holder = self._role_holder
        if (
            holder is not None
            and holder.authority().is_ok()
            and self._is_engine_path_lost()
        ):
            # Closing the lease waits for the key-value service.
            gevent.spawn(holder.resign, "the path to the engines is lost")

    def _on_reachability_change(self, service: str, now_s: float) -> None:
        self._path_log.note_change(service, now_s)
        self._path_monitor.note_change(service, now_s)

    def _handovers(self) -> handover.PeerHandovers:
        return handover.PeerHandovers(
            self._paths,
            self._peers,
            self._handover_client,
            self._clock,
            self._client.note_relayed,
        )

    def _routed_server(
        self, on_request_started: Callable[[str], None]
    ) -> routed_server.RoutedServer:
        return routed_server.RoutedServer(
            self._listener,
            dialect=requests.CallerDialect(),
            routes=self._routes,
            plain_calls=plain_call.PlainCalls(
                plain_call.Dependencies(
                    self._servers,
                    self._tracker,
                    self._client,
                    self._limits,
                    self._repeats,
                    self._crashes,
                    self._clock,
                    self._rng,
                    self._ejections,
                    self._handovers(),
                    self._stops,
                )
            ),
            generations=generation.Generations(
                generation.Dependencies(
                    self._pool,
                    self._estimates,
                    self._tracker,
                    self._client,
                    self._limits,
                    self._repeats,
                    self._crashes,
                    self._clock,
                    stream_versions.StreamVersions(
                        self._stream_origins,
                        self._version_history,
                        self._boot_clock,
                        self._confirm_versions,
                    ),
                    self._ejections,
                    self._handovers(),
                )
            ),
            customers=authentication.CustomerAdmission(
                self._freshness, _revocation_bound_s(self._config)
            ),
            stops=self._stops,
            system_clock=self._clock,
            on_request_started=on_request_started,
        )

    def _on_servers_change(self) -> None:
        known = self._servers.all()
        recent = self._recent_starts.update(
            (server.start for server in known), self._clock.monotonic_s()
        )
        self._tracker.keep_only(recent)
        self._limits.keep_only(recent)
        self._tracker.reachability.set_servers(
            server for server in known if not server.is_draining
        )
        self._client.keep_only(server.start for server in known)
        self._estimates.set_engines(known)
        self._note_versions(known)
        self._ejections.set_servers(known)

    def _note_versions(self, known: tuple[fleet.Server, ...]) -> None:
        now_s = self._boot_clock.monotonic_s()
        passed = self._servers.passed()
        running = (*known, *self._servers.overwritten())
        is_new = bool(passed) and self._version_history.set_servers(
            (*running, *passed), now_s
        )
        if self._version_history.set_servers(running, now_s) or is_new:
            self._stream_origins.tell_untold()
        self._stream_origins.set_services({one.service for one in known})

    def _confirm_versions(
        self,
        limit_s: float = servers.CONFIRM_LIMIT_S,
        then: Callable[[], None] = lambda: None,
    ) -> bool:
        """Confirms the history of versions, and then calls a function."""
        asked_s = self._boot_clock.monotonic_s()
        is_confirmed = self._servers.confirm_versions(limit_s)
        # The records may have been read again meanwhile, by another call, too.
        self._follow_versions()
        if is_confirmed:
            self._version_history.set_confirmed(asked_s)
            then()
        return is_confirmed

    def _reachable_servers(self, service: str) -> list[fleet.Server]:
        return self._tracker.reachable(
            self._servers.usable(service), self._clock.monotonic_s()
        )

    def _update_readiness(self) -> None:
        while True:
            self._follow_versions()
            ready = self._is_ready()
            if ready != self._readiness.ready:
                self._readiness.ready = ready
                logger.bind(ready=ready).info("readiness changed")
            gevent.sleep(READINESS_INTERVAL_S)

    def _follow_versions(self) -> None:
        now_s = self._boot_clock.monotonic_s()
        readings_count = self._servers.readings_count
        self._version_history.set_following(
            self._servers.is_complete,
            now_s,
            readings_count=readings_count,
        )
        self._version_history.set_contact(now_s - self._store.contact_age_s())
        basis = (
            self._version_history.is_current(now_s),
            readings_count,
        )
        if basis != self._history_basis:
            # The version of untold streams may not be inferred from here on.
            self._history_basis = basis
            self._stream_origins.tell_untold()

    def _is_ready(self) -> bool:
        """Returns whether there are routes and a usable server for one."""
        routes = self._routes.current()
        return routes is not None and any(
            self._servers.usable(service) for service in routes.services
        )


class _Engines:
    """The engines and the demand for them, as role planning sees them."""

    def __init__(
        self,
        server_list: servers.ServerList,
        routes: follower.RouteFollower,
        client: key_value.KeyValueClient,
        estimates: engine_estimates.EngineEstimates,
        tracker: server_tracker.ServerTracker,
        limits: server_limits.ServerLimits,
        system_clock: clock.Clock,
    ):
        self._tracker = tracker
        self._limits = limits
        self._clock = system_clock
        self._servers = server_list
        self._routes = routes
        self._client = client
        self._estimates = estimates

    def engines(self) -> dict[str, tuple[fleet.Server, ...]]:
        """Returns the engines that accept new requests, by service."""
        routes = self._routes.current()
        services = routes.engine_services() if routes else frozenset()
        return {name: self._servers.usable(name) for name in services}

    def accepts_calls(self, server: fleet.Server) -> bool:
        """Returns whether this gateway may send anything to an engine now.

        It may not until the engine's last Retry-After has passed, not once the
        engine is leaving, and only within the engine's request limit.
        """
        known = self._servers.find(server.server_id)
        if known is None or known.is_draining or known.start != server.start:
            return False
        is_paused = self._tracker.is_paused(
            server.start, self._clock.monotonic_s()
        )
        return (
            not is_paused
            and self._limits.acquire(server, ROLE_CALL_LIMIT_WAIT_S).is_ok()
        )

    def outage_age_s(self) -> float:
        """Returns the time since the store's last outage, inf before any."""
        return self._client.outage_age_s()

    def is_complete(self) -> bool:
        """Returns whether all engines were read since the start."""
        return self._servers.is_complete

    def is_scaled(self, service: str) -> bool:
        """Returns whether engines of a service are ordered and released."""
        routes = self._routes.current()
        return routes is not None and service in routes.scaled_services()

    def wanted_prefill(self, service: str) -> float | None:
        """Returns how many prefill engines all callers' prompts keep busy.

        None until there is enough data.
        """
        return self._estimates.demand.wanted_prefill(service)


def _listener(
    config: gateway_settings.GatewaySettings,
    intake: connection_intake.ConnectionIntake,
) -> listener.CallerListener:
    listen = gateway_settings.endpoint(config["callers_listen"])
    return listener.CallerListener(listen["ip"], listen["port"], intake=intake)


def _peer_listener(
    config: gateway_settings.GatewaySettings,
) -> listener.CallerListener:
    """Returns the TCP listener for other gateways."""
    listen = gateway_settings.endpoint(config["nodes_listen"])
    return listener.CallerListener(
        listen["ip"],
        listen["port"],
        header_limit_bytes=handover_server.HEAD_LIMIT_BYTES,
        body_limit_bytes=handover_server.BODY_LIMIT_BYTES,
        connections_limit_count=handover_server.CONNECTIONS_LIMIT_COUNT,
        idle_timeout_s=handover_server.IDLE_TIMEOUT_S,
    )


def _revocation_bound_s(
    config: gateway_settings.GatewaySettings,
) -> float | None:
    if "revocation" not in config:
        return None
    return config["revocation"]["bound_ms"] / _MS_PER_S


def _repeat_settings(
    config: gateway_settings.GatewaySettings,
) -> repeat_budget.RepeatBudgetSettings:
    repeats = config["repeats"]
    return repeat_budget.RepeatBudgetSettings(
        ratio=repeats["ratio"],
        window_s=repeats["window_s"],
        allowance_count=repeats["allowance_count"],
    )

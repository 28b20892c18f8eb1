"""Builds a router from its settings, starts it and stops it."""

import random

import gevent
import gevent.event
from loguru import logger

from mulberrywharf import (
    clock,
    fleet,
    server_limits,
    settings,
    supervised_task,
)
from mulberrywharf.callers import listener, request, server
from mulberrywharf.crashes import crash_watch
from mulberrywharf.nodes import limit_ranks
from mulberrywharf.operators import audit, status
from mulberrywharf.operators import server as operators_server
from mulberrywharf.policy import limits, recent_starts, retry_budget
from mulberrywharf.programs import (
    _router_backends,
    _router_configuration,
    _router_nodes,
    _router_platform,
    _router_rules,
    _router_sharing,
    _router_status,
)
from mulberrywharf.requests import (
    background_tasks,
    demand_rates,
    generation,
    service_call,
)

DEFAULT_DRAIN_NOTICE_S = 5.0
_READINESS_INTERVAL_S = 0.25


class Router:
    """One router process, with all of its parts.

    Attributes:
        stopping: Event that is set to begin the graceful stop.
    """

    def __init__(
        self, config: settings.Settings, callers: settings.CallersSettings
    ):
        self.stopping = gevent.event.Event()
        self._config = config
        self._clock = clock.SystemClock()
        self._rng = random.Random()
        self._drain_notice_s = callers.get(
            "drain_notice_s", DEFAULT_DRAIN_NOTICE_S
        )
        self._audit = audit.AuditLog(self._clock)
        self._operators = operators_server.OperatorsServer.from_config(
            config, self._status, self.stopping.set, audit=self._audit
        )
        caller_listener = listener.CallerListener.from_config(callers)
        self._platform = _router_platform.Platform(config)
        self._backends = _router_backends.Backends(
            config, self._platform, self._clock, self._rng
        )
        self._nodes = _router_nodes.Nodes(
            config,
            self._platform,
            fleet.Address(callers["listen"]["ip"], caller_listener.port),
        )
        ranks = limit_ranks.RouterRanks(config["vm_id"], self._clock)
        self._backends.on_vm_list(ranks.set_vms)
        self._recent_starts = recent_starts.RecentStarts()
        self._server_limits = server_limits.ServerLimits(
            self._clock, self._nodes.limit_claims(ranks, self._clock)
        )
        self._backends.on_vm_list(self._drop_limits_of_removed_servers)
        self._background = background_tasks.InFlight()
        self._build_request_pipelines(callers, caller_listener)
        self._readiness: gevent.Greenlet | None = None

    @classmethod
    def from_config(cls, config: settings.Settings) -> "Router":
        """Binds all listeners; nothing is served before ``start``."""
        return cls(config, config["callers"])

    def _build_request_pipelines(
        self,
        callers: settings.CallersSettings,
        caller_listener: listener.CallerListener,
    ) -> None:
        now_s = self._clock.monotonic_s()
        customer_limits = limits.CustomerLimits.from_config(
            self._config["vm_id"], {}, now_s, nodes_count=1
        )
        self._sharing = _router_sharing.Sharing(
            _router_sharing.LoadSharing(
                self._backends.loads,
                self._nodes.mesh,
                self._clock,
                self._rng,
            ),
            _router_sharing.LimitSharing(
                self._config["vm_id"],
                customer_limits,
                self._nodes.mesh,
                self._platform.vm_list,
                self._clock,
            ),
            _router_sharing.FleetGauges(
                self._backends.loads, self._platform.vm_list
            ),
        )
        retries = retry_budget.RetryBudget.from_config(now_s)
        rates = demand_rates.DemandRates()
        crashes = crash_watch.CrashWatch.standalone(self._clock)
        self._nodes.serve_rates(rates)
        self._configuration = _router_configuration.RouterConfiguration(
            self._platform.follower, customer_limits, self._audit, self._clock
        )
        self._rules = _router_rules.RouterRules(
            self._config["availability_zone"],
            follower=self._platform.follower,
            reader=self._backends.loads,
            vms=self._platform.vm_list,
            node_mesh=self._nodes.mesh,
            rates=rates,
            on_actions=self._configuration.apply_actions,
            system_clock=self._clock,
        )
        generations = generation.GenerationPipeline(
            reader=self._backends.loads,
            engine_places=self._backends.places,
            customer_limits=customer_limits,
            retries=retries,
            rates=rates,
            crashes=crashes,
            engine_limits=self._server_limits,
            standings=self._configuration.standings,
            availability_zone=self._config["availability_zone"],
            timeouts=generation.EngineTimeouts.from_config(
                self._config.get("engines")
            ),
            system_clock=self._clock,
            rng=self._rng,
        )
        services = service_call.ServiceCallPipeline(
            vm_id=self._config["vm_id"],
            servers=self._backends.servers,
            backend=self._backends.client,
            node_claims=self._nodes.claims,
            customer_limits=customer_limits,
            retries=retries,
            rates=rates,
            background=self._background,
            crashes=crashes,
            server_request_limits=self._server_limits,
            system_clock=self._clock,
            rng=self._rng,
        )
        self._callers = server.CallerServer(
            caller_listener,
            catalogue=self._configuration.catalogue,
            generations=generations,
            service_calls=services,
            default_deadline_s=callers.get(
                "default_deadline_s", request.DEFAULT_DEADLINE_S
            ),
            system_clock=self._clock,
        )

    def _drop_limits_of_removed_servers(
        self, vms: list[fleet.VmRecord]
    ) -> None:
        recent = self._recent_starts.update(
            (fleet.ServerStart(vm.vm_id) for vm in vms),
            self._clock.monotonic_s(),
        )
        self._server_limits.keep_only(recent)

    def ports(self) -> dict[str, int]:
        """Returns the TCP port of each listener."""
        return {
            "callers": self._callers.port,
            "operators": self._operators.port,
            "nodes": self._nodes.port,
        }

    def start(self) -> None:
        """Starts all parts; ready once a configuration and VM list exist."""
        self._operators.start()
        self._platform.start()
        self._configuration.start()
        self._backends.start()
        self._nodes.start()
        self._sharing.start()
        self._rules.start()
        self._callers.start()
        self._readiness = supervised_task.spawn(
            "readiness", self._update_readiness
        )

    def stop(self) -> None:
        """Stops gracefully: every accepted request is finished.

        This takes as long as the longest request. Readiness is turned off
        first, so that the load balancer sends no more requests; then the
        listener closes. The other nodes take over this node's claim shards
        only after all responses have been sent.
        """
        logger.info("stopping: no longer ready")
        if self._readiness is not None:
            self._readiness.kill()
        self._operators.set_ready(False)
        self._callers.announce_stop()
        gevent.sleep(self._drain_notice_s)
        logger.info("stopping: finishing what is in flight")
        self._callers.close()
        self._background.wait_idle()
        self._nodes.leave()
        self.close()
        logger.info("stopped")

    def close(self) -> None:
        """Stops all parts immediately."""
        self._rules.close()
        self._sharing.close()
        self._nodes.close()
        self._backends.close()
        self._platform.close()
        self._operators.close()

    def _update_readiness(self) -> None:
        while True:
            self._operators.set_ready(self._is_ready())
            gevent.sleep(_READINESS_INTERVAL_S)

    def _is_ready(self) -> bool:
        has_configuration = self._configuration.catalogue() is not None
        return has_configuration and self._backends.has_vm_list()

    def _status(self) -> status.StatusReport:
        return status.StatusReport(
            vm_id=self._config["vm_id"],
            availability_zone=self._config["availability_zone"],
            program="router",
            config_version=self._platform.follower.version(),
            ready=self._operators.ready,
            engines=_router_status.engine_statuses(
                self._backends.loads.views()
            ),
            platform=self._platform.status(),
            counts={
                "requests_in_flight_count": self._callers.in_flight_count,
                "requests_queued_count": self._backends.places.queued_count(),
                "background_count": self._background.count,
                "claim_shards_count": self._nodes.owned_shards_count(),
            },
        )

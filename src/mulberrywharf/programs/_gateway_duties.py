"""Assembles the parts of a gateway that call the operators' platform."""

import functools
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from mulberrywharf import clock, fleet, gateway_settings
from mulberrywharf.authority import duty_holder
from mulberrywharf.customers import usage
from mulberrywharf.duties import (
    capacity_demand,
    capacity_orders,
    usage_reporter,
)
from mulberrywharf.duties import client as duty_client
from mulberrywharf.forwarding import engine_estimates, servers
from mulberrywharf.peers import (
    datagrams,
    directory,
    topics,
    usage_exchange,
    zone_contact,
)
from mulberrywharf.platform_service import key_value
from mulberrywharf.policy import capacity_plan
from mulberrywharf.routes import follower

DUTY_TIMING = duty_holder.HolderTiming(lease_ttl_s=3.0, check_interval_s=1.5)
"""Lease timing of the duty. A report is due about ten seconds after the end of
its window; a successor takes over from a failed duty holder within five."""

STALE_LIST_S = 8.0
"""Time after an outage of the key-value service in which no engines are
ordered. Servers register again within 2 s, and those that left in the outage
are dropped after the same time; an engine that was starting takes some seconds
more."""

_CAPACITY_TASK = "capacity"

_make_plan = functools.partial(capacity_plan.CapacityPlan, may_grow=False)
"""The demand that one gateway knows varies by a factor of three within seconds.
A plan that grew with it ordered twice the engines that the work needed."""

_MS_PER_S = 1000.0


class _Part(Protocol):
    """A part that runs while the gateway does."""

    def start(self) -> None:
        """Starts the part."""
        ...

    def close(self) -> None:
        """Closes the part."""
        ...


class Dependencies(NamedTuple):
    """Parts of the gateway that the duties need."""

    store: key_value.KeyValueClient
    peers: directory.PeerDirectory
    socket: datagrams.PeerSocket
    topics: topics.TopicExchange
    routes: follower.RouteFollower
    servers: servers.ServerList
    estimates: engine_estimates.EngineEstimates
    clock: clock.Clock
    rng: random.Random


class Duties:
    """Starts and closes the parts that call the operators' platform.

    Attributes:
        count_request: Counts a request of the customer that it is given. It
            does nothing if the settings do not ask for usage reports.
    """

    def __init__(
        self,
        parts: Sequence[_Part] = (),
        exchange: usage_exchange.UsageExchange | None = None,
        count_request: Callable[[str], None] = lambda customer: None,
    ):
        """Creates it.

        Args:
            parts: Parts in the order in which they are started and closed.
            exchange: Exchange of usage counts, None if usage is not reported.
            count_request: See the attribute.
        """
        self._parts = parts
        self._exchange = exchange
        self.count_request = count_request

    def start(self) -> None:
        """Starts all parts."""
        if self._exchange is not None:
            self._exchange.start()
        for part in self._parts:
            part.start()

    def close(self) -> None:
        """Stops all calls and releases the duty.

        Usage counts are still exchanged, so that the next holder gets those of
        this gateway.
        """
        for part in self._parts:
            part.close()

    def close_exchange(self) -> None:
        """Stops the exchange of usage counts."""
        if self._exchange is not None:
            self._exchange.close()


def create(
    config: gateway_settings.GatewaySettings,
    dependencies: Dependencies,
    dialect: duty_client.DutyDialect,
) -> Duties:
    """Creates the parts that the settings ask for.

    All tasks share one holder. While neither usage reports nor any service's
    ``scaling`` call for it, the duty is not acquired.

    Args:
        config: Settings of the gateway.
        dependencies: Parts of the gateway that the duties need.
        dialect: Encodes the calls to the operators' platform.
    """
    settings = config.get("duties")
    if settings is None:
        return Duties()
    known_fleet = _Fleet(dependencies)
    holder = duty_holder.DutyHolder(
        dependencies.store,
        config["vm_id"],
        min_lease_s=settings["lease_ms"] / _MS_PER_S,
        timing=DUTY_TIMING,
        duty=duty_holder.Duty(
            "usage",
            "mulberrywharf/usage/",
            is_fencing_checked=settings["checks_fencing"],
        ),
        is_candidate=lambda: dependencies.peers.is_reader,
        is_needed=lambda: (
            "usage" in settings or bool(known_fleet.scaled_services())
        ),
    )
    platform = gateway_settings.endpoint(settings["platform"])
    client = duty_client.DutyClient(
        fleet.Address(platform["ip"], platform["port"]),
        dialect,
        user_timeout_s=duty_holder.USER_TIMEOUT_S,
        before_send=holder.check,
    )
    capacity = capacity_orders.CapacityOrders(
        duty_holder.DutyTask(holder, _CAPACITY_TASK),
        known_fleet,
        client,
        config["vm_id"],
        dependencies.clock,
        make_plan=_make_plan,
    )
    if "usage" not in settings:
        return Duties((capacity, holder))
    timing = usage_reporter.WindowTiming(
        settings["usage"]["window_s"], settings["usage"]["late_s"]
    )
    wall_clock = usage.MonotonicWallClock()
    counts = usage.UsageCounts(timing.length_s, wall_clock)
    exchange = usage_exchange.UsageExchange(
        dependencies.peers,
        dependencies.socket,
        counts,
        dependencies.rng.getrandbits(32),
        timing.length_s,
        wall_clock.unix_s,
    )
    reporter = usage_reporter.UsageReporter(
        holder, exchange, client, config["vm_id"], timing, wall_clock
    )
    return Duties((reporter, capacity, holder), exchange, counts.count_request)


class _Fleet:
    """Services, engines and demand, as this gateway knows them."""

    def __init__(self, dependencies: Dependencies):
        self._parts = dependencies
        self._contact = zone_contact.ZoneContact(
            dependencies.peers,
            dependencies.socket,
            dependencies.topics,
            dependencies.clock,
        )
        self._demand = capacity_demand.ServiceDemand(
            dependencies.estimates.demand.mean_prefill,
            dependencies.estimates.loads.busy_decode_engines,
        )

    def scaled_services(self) -> Mapping[str, capacity_plan.CapacityBounds]:
        """Returns the bounds of the services whose engines are ordered."""
        routes = self._parts.routes.current()
        return routes.scaled_services() if routes else {}

    def engines(self, service: str) -> Sequence[fleet.Server]:
        """Returns the engines of a service, also those that are leaving."""
        listed = self._parts.servers
        return (*listed.usable(service), *listed.draining(service))

    def demand(self, service: str) -> capacity_plan.CapacityDemand | None:
        """Returns the demand, None while it is not known."""
        return self._demand.demand(service, self._parts.clock.monotonic_s())

    def stale_reason(self) -> str | None:
        """Returns why this view may be stale, None if it is not."""
        if not (self._parts.servers.is_complete and self._parts.routes.is_read):
            return "the servers and routes were not read completely"
        if not self._parts.peers.has_read:
            return "the other gateways were not read"
        if self._parts.store.outage_age_s() < STALE_LIST_S:
            return "the key-value service was unavailable just now"
        if not self._contact.check():
            return "no gateway of another zone is heard"
        return None

"""One version of the operators' routes, and the matching of requests."""

import collections
import itertools
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, TypeGuard

from mulberrywharf import errors
from mulberrywharf.customers import directory
from mulberrywharf.policy import capacity_plan
from mulberrywharf.routes import kinds


class Destination(NamedTuple):
    """A service that receives requests of a route.

    Attributes:
        service: Name of the service.
        weight: Its share of the requests, relative to the weights of the other
            destinations.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Assigns requests of one host and path prefix to services.

    Attributes:
        name: Name that the operators gave it.
        host: Host in lower case, without a port.
        prefix: Prefix of the path, beginning and ending with a slash.
        kind: Kind of the requests, which determines what may be retried.
        timeout_s: Maximum time in seconds until the end of an answer.
        destinations: Services and their weights; none if a required field of
            the route is malformed. Its requests must not match a shorter
            prefix then.
        attempts_limit_count: Maximum number of servers that may run one
            request.
        priority: Priority of the requests, 0 is the highest.
        target_s: Target time in seconds to the answer, or to its first part
            if it is a stream.
        gap_target_s: Target for the longest time in seconds between two
            events of a stream, None if the answer is not a stream.
        has_prompt: Whether requests list the parts of a prompt.
        is_public: Whether requests are admitted without a customer key.
    """

    name: str
    host: str
    prefix: str
    kind: kinds.RequestKind
    timeout_s: float
    destinations: tuple[Destination, ...]
    attempts_limit_count: int = 1
    priority: int = 5
    target_s: float | None = None
    gap_target_s: float | None = None
    has_prompt: bool = False
    is_public: bool = False

    @property
    def services(self) -> frozenset[str]:
        """Names of its services."""
        return frozenset(one.service for one in self.destinations)


class EngineTraits(NamedTuple):
    """Configured properties of the engines of a service.

    Attributes:
        slots_count: Maximum number of requests in one batch.
        kv_tokens: Number of prompt and output tokens that fit into the KV
            cache memory.
        kv_token_bytes: Size of the KV cache of one token in bytes.
        link_bytes_per_s: Rate at which KV caches are transferred between
            engines.
        handle_ttl_s: Time in seconds for which an engine keeps a prefilled KV
            cache until another engine fetches it.
        event_readers_limit_count: Maximum number of concurrent long polls for
            cache events at one engine; 0 if none is configured.
    """

    slots_count: int
    kv_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float
    handle_ttl_s: float
    event_readers_limit_count: int = 0


class Service(NamedTuple):
    """A service that routes can send requests to.

    Attributes:
        name: Name of the service.
        connections_limit_count: Maximum number of connections that one of its
            servers accepts from all nodes together.
        engine: Properties of its engines, None if its servers are not engines.
        scaling: Bounds within which its engines are ordered, None if they are
            not ordered.
    """

    name: str
    connections_limit_count: int
    engine: EngineTraits | None = None
    scaling: capacity_plan.CapacityBounds | None = None


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers.

    Each is None if none is configured; the built-in one applies.

    Attributes:
        header_bytes: Maximum size of the head of a request.
        body_bytes: Maximum size of the body of a request.
        header_timeout_s: Maximum time in seconds from the first to the last
            byte of the head of a request.
        idle_timeout_s: Maximum time in seconds that a connection may be
            without a request.
    """

    header_bytes: int | None
    body_bytes: int | None
    header_timeout_s: float | None
    idle_timeout_s: float | None


class RouteTable:
    """One version of all routes and services.

    Attributes:
        version: Number that increases with each change.
        services: Services by name.
        limits: Limits for callers, None for the built-in ones.
        customers: Customers that may send requests, None for no restriction.
        faults: What is wrong with parts of the configuration that are not in
            force.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, Service],
        limits: CallerLimits | None = None,
        customers: directory.CustomerDirectory | None = None,
        faults: Sequence[errors.Fault] = (),
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.customers = customers
        self.faults = faults
        by_host: dict[str, list[Route]] = collections.defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))
        self._by_host = dict(by_host)
        self._by_path: dict[tuple[str, str], Route] = {}
        for route in itertools.chain(*by_host.values()):
            self._by_path.setdefault((route.host, route.prefix), route)

    @property
    def routes_count(self) -> int:
        """Number of routes in the table."""
        return sum(len(routes) for routes in self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest matching prefix.

        Args:
            host: ``Host`` field of the request, with or without a port.
            path: Path of the request without the query.
        """
        bare_host = host.rsplit(":", 1)[0].lower()
        for route in self._by_host.get(bare_host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def longest_timeout_s(self) -> float:
        """Returns the longest timeout of a route, 0 if there is none."""
        routes = itertools.chain(*self._by_host.values())
        return max((route.timeout_s for route in routes), default=0.0)

    def shared_streams(self) -> dict[str, set[str]]:
        """Returns, by service, those that share a route of streams with it."""
        return self.redirected_streams(self)

    def redirected_streams(self, before: "RouteTable") -> dict[str, set[str]]:
        """Returns where streams go on that began under other routes.

        Args:
            before: The other routes.

        Returns:
            By service, the other services at which its streams may have begun.
        """
        paths = {
            path
            for routes in (self, before)
            for path, route in routes._by_path.items()
            if _is_resumable(route)
        }
        redirected: dict[str, set[str]] = collections.defaultdict(set)
        for path in paths:
            route, earlier = self._closest(*path), before._closest(*path)
            if _is_resumable(route) and _is_resumable(earlier):
                for service in route.services:
                    redirected[service] |= earlier.services - {service}
        return dict(redirected)

    def _closest(self, host: str, prefix: str) -> Route | None:
        """Returns the route of a prefix, or of its longest parent."""
        while prefix and (host, prefix) not in self._by_path:
            prefix = prefix[: prefix.rstrip("/").rfind("/") + 1]
        return self._by_path.get((host, prefix))

    def engine_services(self) -> frozenset[str]:
        """Returns the names of the services whose servers are engines."""
        return frozenset(
            name for name, service in self.services.items() if service.engine
        )

    def scaled_services(self) -> dict[str, capacity_plan.CapacityBounds]:
        """Returns the bounds of the services whose engines are ordered."""
        return {
            name: service.scaling
            for name, service in self.services.items()
            if service.scaling is not None
        }


def _is_resumable(route: Route | None) -> TypeGuard[Route]:
    return (
        route is not None
        and isinstance(route.kind, kinds.EventStream)
        and route.kind.resumable
    )

"""One version of the operators' routes, and the match of a request."""

import collections
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from mulberrywharf.customers import directory
from mulberrywharf.routes import kinds


class Destination(NamedTuple):
    """A service that a route leads to.

    Attributes:
        service: Its name.
        weight: Its share of the route's requests against the other weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    Attributes:
        name: The operators' name for it.
        host: Lower-case host without a port.
        prefix: Beginning of the path, from slash to slash.
        kind: What may be done again.
        timeout_s: Longest time that a caller waits for the end of an answer.
        destinations: Services by weight; at least one.
        attempts_limit_count: Most servers that may run one request.
        priority: 0 is the most important.
        target_s: Time to the (first part of the) answer that callers expect.
        gap_target_s: Longest pause between events that is still in time, or
            None if the answer is no stream.
        has_prompt: Whether requests name the parts of a prompt.
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


class EngineTraits(NamedTuple):
    """What is configured of the engines of a service.

    Attributes:
        slots_count: Requests in one batch.
        kv_tokens: Prompt and output tokens that the memory holds.
        kv_token_bytes: Bytes of the KV cache of one token.
        link_bytes_per_s: Speed at which KV caches move between engines.
        handle_ttl_s: How long a prefilled KV cache waits to be taken.
        event_readers_limit_count: Long polls for cache events that an engine
            keeps waiting at once; 0 if it tells none.
    """

    slots_count: int
    kv_tokens: int
    kv_token_bytes: float
    link_bytes_per_s: float
    handle_ttl_s: float
    event_readers_limit_count: int = 0


class Service(NamedTuple):
    """A service that routes may name.

    Attributes:
        name: Its name.
        connections_limit_count: Connections that one of its servers takes
            from all nodes together.
        engine: Set if its servers are engines.
    """

    name: str
    connections_limit_count: int
    engine: EngineTraits | None = None


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        header_timeout_s: For the head, from its first byte.
        idle_timeout_s: For a connection without a request.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RouteTable:
    """One version of all routes and services.

    Attributes:
        version: Rises with each change.
        services: By name.
        limits: Bounds on callers, None for the built-in ones.
        customers: Customers that may send requests, None for no restriction.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, Service],
        limits: CallerLimits | None = None,
        customers: directory.CustomerDirectory | None = None,
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.customers = customers
        by_host: dict[str, list[Route]] = collections.defaultdict(list)
        for route in routes:
            by_host[route.host].append(route)
        for of_host in by_host.values():
            of_host.sort(key=lambda route: -len(route.prefix))
        self._by_host = dict(by_host)

    @property
    def routes_count(self) -> int:
        """Routes in the table."""
        return sum(len(routes) for routes in self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route of the host whose prefix is the longest match.

        Args:
            host: The request's ``Host``, with or without a port.
            path: Its path without the query.
        """
        bare_host = host.rsplit(":", 1)[0].lower()
        for route in self._by_host.get(bare_host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def prompt_services(self) -> frozenset[str]:
        """Returns the services whose servers are engines."""
        return frozenset(
            name for name, service in self.services.items() if service.engine
        )

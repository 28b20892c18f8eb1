"""Builders of test data for routes, servers and routed requests."""

import contextlib
import json
import math
from collections.abc import Iterator
from typing import Any

from mulberrywharf import clock, fleet
from mulberrywharf.crashes import crash_watch, server_ends
from mulberrywharf.forwarding import (
    request,
    server_client,
    server_tracker,
    stream_versions,
)
from mulberrywharf.peers import stream_origins
from mulberrywharf.platform import store
from mulberrywharf.platform_service import key_value
from mulberrywharf.policy import crash_suspects, stream_version
from mulberrywharf.routes import kinds, table
from standins.platform_store import PlatformStoreStandin
from tests import builders_platform

HOST = "callers.example"
REQUEST_ID = "request-1"
ENGINE = table.EngineTraits(
    slots_count=16,
    kv_tokens=500_000,
    kv_token_bytes=18_432.0,
    link_bytes_per_s=46e9,
    handle_ttl_s=5.0,
)


class ManualClock:
    """A clock whose time a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic_s(self) -> float:
        return self.now_s

    def unix_s(self) -> float:
        return self.now_s


def route(**changes: Any) -> table.Route:
    made = table.Route(
        name="route",
        host=HOST,
        prefix="/a/",
        kind=kinds.Idempotent(),
        timeout_s=2.0,
        destinations=(table.Destination("service", 1.0),),
        attempts_limit_count=2,
    )
    return made._replace(**changes)


def start(server_id: str = "server-1") -> fleet.ServerStart:
    return fleet.ServerStart(server_id)


def server(
    server_id: str = "server-1",
    address: fleet.Address | None = None,
    **changes: Any,
) -> fleet.Server:
    made = fleet.Server(
        start=start(server_id),
        service="service",
        address=address or fleet.Address("127.0.0.1", 1),
        availability_zone="zone-a",
        slots_count=6,
        software_version="v1",
    )
    return made._replace(**changes)


class NoOrigins:
    """Knows no stream."""

    def find(
        self, stream: stream_origins.StreamId, limit_s: float
    ) -> stream_version.Origin:
        return stream_version.Unknown("no-reply")

    def note_begun(
        self,
        stream: stream_origins.StreamId,
        version_key: stream_version.VersionKey,
    ) -> None:
        pass


def versions_of(*servers: fleet.Server) -> stream_versions.StreamVersions:
    """Returns a decision on streams that knows these servers for long."""
    return stream_versions.StreamVersions(
        NoOrigins(),
        version_history(*servers),
        clock.SystemClock(),
        lambda limit_s: True,
    )


def version_history(*servers: fleet.Server) -> stream_version.VersionHistory:
    """Returns the versions of servers that are known for long."""
    history = stream_version.VersionHistory()
    history.set_servers(servers, 0.0)
    history.set_following(True, -stream_version.LEAST_HOLD_S)
    history.set_contact(math.inf)
    history.set_confirmed(math.inf)
    return history


def prompt(shared_tokens: int = 13_000, own_tokens: int = 3_000) -> Any:
    return request.Prompt(
        "m",
        shared_tokens + own_tokens,
        100,
        (
            request.PromptPart("aa", shared_tokens),
            request.PromptPart("bb", own_tokens),
        ),
    )


def routed_request(now_s: float, **changes: Any) -> request.RoutedRequest:
    made = request.RoutedRequest(
        request_id=REQUEST_ID,
        method="POST",
        target="/a/x?q=1",
        path="/a/x",
        host=HOST,
        fields=(("x-mulberrywharf-request-id", REQUEST_ID),),
        body=b"body",
        arrived_s=now_s,
        deadline_s=now_s + 2.0,
    )
    return made._replace(**changes)


def crash_watch_for(
    client: server_client.ServerClient,
    tracker: server_tracker.ServerTracker,
) -> crash_watch.CrashWatch:
    system_clock = clock.SystemClock()
    return crash_watch.CrashWatch(
        server_ends.ServerEnds(
            client,
            system_clock,
            on_running=lambda start: tracker.briefly_open(
                start, system_clock.monotonic_s()
            ),
        ),
        crash_suspects.CrashSuspects(),
        crash_watch.NullReportsAndRecords(),
        crash_watch.NullReportsAndRecords(),
        system_clock,
    )


@contextlib.contextmanager
def running_store() -> Iterator[PlatformStoreStandin]:
    standin = PlatformStoreStandin()
    standin.start()
    try:
        yield standin
    finally:
        standin.close()


def store_client(
    port: int, *, timeout_s: float = 1.0, wait_s: float = 0.3
) -> key_value.KeyValueClient:
    return key_value.KeyValueClient(
        [builders_platform.endpoint(port)],
        timeout_s=timeout_s,
        purpose_budgets=dict.fromkeys(
            ("test", "routes", "servers", "peers"),
            builders_platform.LARGE_BUDGET,
        ),
        dialect=store.StoreDialect(wait_s),
    )


def routes_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    document = {
        "version": version,
        "routes": [
            {
                "name": "r-safe",
                "host": HOST,
                "prefix": "/safe/",
                "kind": "safe",
                "timeout-ms": 2000,
                "service": "plain",
                "max-attempts": 2,
                "priority": 2,
            },
            {
                "name": "r-stream",
                "host": HOST,
                "prefix": "/stream/",
                "kind": "streaming",
                "timeout-ms": 5000,
                "target-latency-ms": 400,
                "target-gap-ms": 200,
                "traffic-split": [
                    {"service": "engines", "weight": 90},
                    {"service": "plain", "weight": 10},
                ],
                "max-attempts": 2,
                "session-affinity": True,
                "resumable": True,
                "priority": 1,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-connections": 310,
                "engine": {
                    "slots": 48,
                    "kv-tokens": 545_579,
                    "kv-token-bytes": 18_432,
                    "link-mbps": 370_000.0,
                    "most": 12,
                    "handle-ttl-s": 5.0,
                },
            },
            {
                "name": "plain",
                "health-path": "/health",
                "max-connections": 110,
            },
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
    }
    return {**document, **changes}


def routes_value(version: int = 1, **changes: Any) -> bytes:
    return json.dumps(routes_document(version, **changes)).encode()


def server_value(**changes: Any) -> bytes:
    fields = {
        "service": "plain",
        "address": "127.0.0.1:80",
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
    }
    return json.dumps({**fields, **changes}).encode()

"""Which servers of a service may get new work, by what the store says."""

from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from loguru import logger

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.platform_service import key_value, key_value_types, watch

PURPOSE = "servers"

DEFAULT_MISSING_HOLD_S = 2.0
"""After an outage of the store, live servers are back in it within 2 s of its
return. A record that vanishes later means a server that leaves, and one that
vanishes before is awaited no longer than that."""

_servers_gauge = metrics.gauge(
    "mulberry_servers_count", "Servers that may get new work."
)
_kept_counter = metrics.counter(
    "mulberry_servers_kept_total",
    "Servers kept although their record vanished, by how that ended.",
)


class ServerSource(Protocol):
    """Where servers register themselves and how they write it."""

    servers_prefix: str

    def decode_server(self, key: str, value: bytes) -> fleet.Server | None:
        """Reads one record; None if it can't be used."""
        ...

    def server_id(self, key: str) -> str:
        """Returns the id of the server whose record has this key."""
        ...


class ServerList:
    """The servers as the store lists them, kept through its outages.

    A record that vanishes in calm times means a server that leaves. One that
    vanishes in or just after an outage of the store may only have lapsed,
    because its server could not write either: dropped at once, a node would
    refuse callers for want of servers that are all alive. Such a server stays
    until ``missing_hold_s`` after the outage and is dropped if it isn't back by
    then. Counted from when the record vanished instead, a server that left
    1.7 s after an outage got work for 2.4 s more.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        source: ServerSource,
        *,
        missing_hold_s: float = DEFAULT_MISSING_HOLD_S,
        patience: Callable[[], watch.Patience] = lambda: watch.BRIEF,
        system_clock: clock.Clock | None = None,
    ):
        """Makes a list; nothing is read before ``start``.

        Args:
            client: The key-value service.
            source: Where the records are in it.
            missing_hold_s: How long after an outage a server is kept whose
                record vanished in it.
            patience: See ``KeyValueClient.watch``.
            system_clock: Measures ages, None for the system's.
        """
        self._client = client
        self._patience = patience
        self._source = source
        self._missing_hold_s = missing_hold_s
        self._clock = system_clock or clock.SystemClock()
        self._by_id: dict[str, fleet.Server] = {}
        self._by_service: dict[str, tuple[fleet.Server, ...]] = {}
        self._missing: dict[str, gevent.Greenlet] = {}
        self._watch: watch.Watch | None = None
        self._callbacks: list[Callable[[], None]] = []

    def start(self) -> None:
        """Begins to watch the records."""
        self._watch = self._client.watch(
            self._source.servers_prefix,
            self._on_event,
            purpose=PURPOSE,
            patience=self._patience,
        )

    def close(self) -> None:
        """Ends the watch; the list stays as it is."""
        if self._watch is not None:
            self._watch.close()
        for waiting in self._missing.values():
            waiting.kill()
        self._missing.clear()

    def watched(self) -> watch.Watch | None:
        """Returns the watch of the records, None before the start."""
        return self._watch

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of the list."""
        self._callbacks.append(callback)

    def usable(self, service: str) -> tuple[fleet.Server, ...]:
        """Returns the servers of a service that may get new work."""
        return self._by_service.get(service, ())

    def find(self, server_id: str) -> fleet.Server | None:
        """Returns a server that has not left, None for any other."""
        return self._by_id.get(server_id)

    def all(self) -> tuple[fleet.Server, ...]:
        """Returns every server that has not left."""
        return tuple(self._by_id.values())

    def unlisted(self, server_ids: Iterable[str]) -> list[str]:
        """Returns those of the servers whose record the store has lost.

        They are kept for an outage; work that goes to them is logged so,
        because nothing else tells it from work at a listed server.
        """
        return [one for one in server_ids if one in self._missing]

    def _on_event(self, event: key_value_types.WatchEvent) -> None:
        key = event.key_value.key
        server_id = self._source.server_id(key)
        if event.kind == "delete":
            self._on_missing(server_id)
            return
        server = self._source.decode_server(key, event.key_value.value)
        if server is None:
            return
        self._keep(server_id)
        if self._by_id.get(server_id) != server:
            self._by_id[server_id] = server
            self._changed(server, "draining" if server.is_draining else "live")

    def _on_missing(self, server_id: str) -> None:
        server = self._by_id.get(server_id)
        if server is None or server_id in self._missing:
            return
        left_s = self._missing_hold_s - self._client.trouble_age_s()
        if left_s <= 0:
            self._drop(server_id, "its record is gone")
            return
        self._missing[server_id] = gevent.spawn_later(
            left_s,
            self._drop,
            server_id,
            "its record did not come back",
        )
        logger.bind(
            server_id=server_id,
            trouble_age_s=round(self._client.trouble_age_s(), 3),
            left_s=round(left_s, 3),
        ).warning("a server's record vanished in an outage; the server is kept")

    def _keep(self, server_id: str) -> None:
        waiting = self._missing.pop(server_id, None)
        if waiting is not None:
            waiting.kill()
            _kept_counter.inc({"end": "back"})

    def _drop(self, server_id: str, reason: str) -> None:
        if self._missing.pop(server_id, None) is not None:
            _kept_counter.inc({"end": "dropped"})
        server = self._by_id.pop(server_id, None)
        if server is not None:
            self._changed(server, reason)

    def _changed(self, server: fleet.Server, belief: str) -> None:
        by_service: dict[str, list[fleet.Server]] = {}
        for known in self._by_id.values():
            of_service = by_service.setdefault(known.service, [])
            if not known.is_draining:
                of_service.append(known)
        self._by_service = {
            service: tuple(sorted(found, key=lambda one: one.server_id))
            for service, found in by_service.items()
        }
        for service, found in self._by_service.items():
            _servers_gauge.set({"service": service}, len(found))
        logger.bind(
            server_id=server.server_id,
            service=server.service,
            address=str(server.address),
            role=server.role,
            store_age_s=round(self._client.age_s(), 3),
        ).info("server {}", belief)
        for callback in self._callbacks:
            callback()

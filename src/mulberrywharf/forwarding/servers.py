"""Which servers of a service may get new work, by what the store says."""

from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from loguru import logger
from result import Err, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.forwarding import server_starts
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
_leaving_counter = metrics.counter(
    "mulberry_servers_leaving_total",
    "Servers that said in an answer that they leave, by whether their record"
    " did so before.",
)
_copied_counter = metrics.counter(
    "mulberry_server_records_copied_total",
    "Records of servers that were ignored, as the store was back from an older"
    " copy, by whether the server was known.",
)
_unreadable_counter = metrics.counter(
    "mulberry_server_records_unreadable_total",
    "Records of servers that name none to use, each time one was written.",
)


class ServerSource(Protocol):
    """Where servers register themselves and how they write it."""

    servers_prefix: str

    def decode_server(
        self, key: str, value: bytes
    ) -> Result[fleet.Server, errors.StoredRecordError]:
        """Reads one record, or says why it names no server to use."""
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

    A record that can't be read was written by another program: what it says of
    the server is unknown, also whether it is still there, so the server is not
    used until it writes its own again.

    Where the store is back from an older copy, the records that it holds are
    ignored until their servers write them anew, and those that it has lost are
    kept as behind an outage.

    A server may start again under its id. Its starts have no order by
    themselves, as their clocks may be stepped back; the one whose record came
    last is the one that runs, and what is told of an earlier one is late.
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
        self._unreadable: set[str] = set()
        self._ended = server_starts.EndedStarts()
        self._leaving: set[fleet.ServerStart] = set()
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

    def says_it_leaves(self, start: fleet.ServerStart) -> None:
        """Notes that a server says of itself that it leaves.

        Its record shows that only once the store has taken it. What the
        record says of this start no longer counts then, as leaving is final;
        another start of the server is not bound by it.
        """
        known = self._by_id.get(start.server_id)
        if known is None or known.start != start or start in self._leaving:
            return
        self._leaving.add(start)
        _leaving_counter.inc({"listed": str(known.is_draining).lower()})
        if known.is_draining:
            return
        self._by_id[start.server_id] = known._replace(is_draining=True)
        self._changed(known, "draining: it says so in an answer")

    def superseded(
        self, start: fleet.ServerStart, by: fleet.ServerStart
    ) -> None:
        """Notes that a server says of itself that it has started again.

        Its record shows the new start up to a heartbeat later; until then it
        gets no work, as what it is now is not known.

        Args:
            start: The start that its record shows.
            by: The start that it tells; one that is over is late news.
        """
        known = self._by_id.get(start.server_id)
        if known is None or known.start != start or self._ended.has(by):
            return
        self._ended.note(start)
        self._keep(start.server_id)
        self._drop(start.server_id, "it has started again")

    def _on_event(self, event: key_value_types.WatchEvent) -> None:
        key = event.key_value.key
        server_id = self._source.server_id(key)
        if event.is_restored and event.kind == "put":
            self._on_copied(server_id)
            return
        if event.kind == "delete":
            self._unreadable.discard(server_id)
            self._on_missing(server_id)
            return
        decoded = self._source.decode_server(key, event.key_value.value)
        if isinstance(decoded, Err):
            self._on_unreadable(server_id, decoded.err_value)
            return
        self._unreadable.discard(server_id)
        self._on_record(decoded.ok_value)

    def _on_copied(self, server_id: str) -> None:
        """Takes in that the store's older copy has a record of a server.

        What it says may be past: a server that has announced since that it
        leaves would get new work again, and one that is gone would come back
        from the dead. Each server writes its record anew within a heartbeat;
        until then what was known of it holds.
        """
        _copied_counter.inc({"known": str(server_id in self._by_id).lower()})
        logger.bind(
            server_id=server_id, is_known=server_id in self._by_id
        ).info("a server's record in the older copy, ignored")

    def _on_record(self, server: fleet.Server) -> None:
        server_id = server.server_id
        if self._ended.has(server.start):
            logger.bind(start=str(server.start)).info(
                "news of an earlier start of a server, ignored"
            )
            return
        self._keep(server_id)
        if server.start in self._leaving:
            server = server._replace(is_draining=True)
        known = self._by_id.get(server_id)
        if known == server:
            return
        if known is not None and known.start != server.start:
            self._ended.note(known.start)
            self._leaving.discard(known.start)
        self._by_id[server_id] = server
        self._changed(server, "draining" if server.is_draining else "live")

    def _on_unreadable(
        self, server_id: str, error: errors.StoredRecordError
    ) -> None:
        _unreadable_counter.inc({})
        if server_id in self._unreadable:
            return
        self._unreadable.add(server_id)
        logger.bind(server_id=server_id).warning("{}", error.message)
        self._keep(server_id)
        self._drop(server_id, "its record can't be read")

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
            self._leaving.discard(server.start)
            self._changed(server, reason)

    def _starts_are_told(self) -> bool:
        """Tells whether this deployment's servers tell their start.

        Where most do, a record without one is another program's. Some
        deployments' servers tell none at all.
        """
        told_count = sum(
            one.started_unix_ms is not None for one in self._by_id.values()
        )
        return 2 * told_count > len(self._by_id)

    def _changed(self, server: fleet.Server, belief: str) -> None:
        by_service: dict[str, list[fleet.Server]] = {}
        starts_are_told = self._starts_are_told()
        for known in self._by_id.values():
            of_service = by_service.setdefault(known.service, [])
            is_own_record = (
                known.started_unix_ms is not None or not starts_are_told
            )
            if is_own_record and not known.is_draining:
                of_service.append(known)
        self._by_service = {
            service: tuple(sorted(found, key=lambda one: one.server_id))
            for service, found in by_service.items()
        }
        for service, found in self._by_service.items():
            _servers_gauge.set({"service": service}, len(found))
        logger.bind(
            server_id=server.server_id,
            started_unix_ms=server.started_unix_ms,
            service=server.service,
            address=str(server.address),
            role=server.role,
            store_age_s=round(self._client.age_s(), 3),
        ).info("server {}", belief)
        for callback in self._callbacks:
            callback()

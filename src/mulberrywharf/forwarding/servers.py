"""Keeps the list of registered servers, as the key-value store has them."""

import time
from collections.abc import Callable, Iterable
from typing import Literal, Protocol

import gevent
import gevent.event
from gevent import lock
from loguru import logger
from result import Err, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.forwarding import server_starts
from mulberrywharf.platform_service import key_value, key_value_types, watch

PURPOSE = "servers"
CONFIRM_PURPOSE = "servers-confirmed"
"""Has a budget of its own, so that confirmations never hold up the watch."""

CONFIRM_LIMIT_S = 1.5
"""How long a confirmation is awaited: for the one before it, and for itself."""

_CATCH_UP_LIMIT_S = 0.8
"""How long the watch may take to report what was read; in step, it pauses for
half a second to collect changes."""

_READ_AGAIN_LIMIT_S = 0.4
"""How long a watch that is behind may take to read all records again."""

_CONFIRM_POLL_S = 0.01
_CONFIRM_INTERVAL_S = 0.5
"""Least time between two confirmations, each of which reads all records. Those
of 850 servers, read at all of 340 gateways at once, take three calls each, the
key-value service's 2,000 reads/s."""

DEFAULT_MISSING_HOLD_S = 2.0
"""Live servers register again within 2 s after an outage of the key-value
service. A record that vanishes later means that the server has left; one that
vanished earlier is awaited until then."""

_servers_gauge = metrics.gauge(
    "mulberry_servers_count", "Servers that may get new work."
)
_kept_counter = metrics.counter(
    "mulberry_servers_kept_total",
    "Servers kept although their record vanished, by how that ended.",
)
_leaving_counter = metrics.counter(
    "mulberry_servers_leaving_total",
    "Servers that announced in an answer that they are leaving, by whether"
    " their record already showed it.",
)
_copied_counter = metrics.counter(
    "mulberry_server_records_copied_total",
    "Server records ignored because the key-value service was restored from an"
    " older copy, by whether the server was known.",
)
_unreadable_counter = metrics.counter(
    "mulberry_server_records_unreadable_total",
    "Server records that can't be decoded, counted at each write.",
)


_confirmations_counter = metrics.counter(
    "mulberry_server_confirmations_total",
    "Comparisons of the list with the key-value service, by result.",
)

Confirmation = Literal["confirmed", "unread", "after-outage", "behind"]
"""Result of a comparison of the list with the key-value service.

- ``confirmed``: The list has every version.
- ``unread``: The records could not be read.
- ``after-outage``: Records that expired in an outage may be missing.
- ``behind``: The watch has not reported what the service holds.
"""


class ServerSource(Protocol):
    """Location and format of the servers' registration records.

    Attributes:
        servers_prefix: Key prefix of the records.
    """

    servers_prefix: str

    def decode_server(
        self, key: str, value: bytes
    ) -> Result[fleet.Server, errors.StoredRecordError]:
        """Decodes one record, or returns why it can't be used."""
        ...

    def server_id(self, key: str) -> str:
        """Returns the id of the server whose record has this key."""
        ...


class ServerList:
    """The servers registered in the key-value service; survives its outages.

    A record that vanishes while the service works means that the server has
    left. During an outage or just after it, the record may only have expired,
    because the server could not renew it. If such servers were dropped at once,
    the gateway would refuse callers although all servers are alive. So they are
    kept until ``missing_hold_s`` after the outage, and dropped if they have not
    registered again by then. If that time were counted from the deletion, a
    server that left 1.7 s after an outage would get requests for 2.4 s more.

    A record that can't be decoded was written by another program. Nothing is
    known of the server then, not even whether it still runs, so it is not used
    until it writes its own record again.

    After the key-value service is restored from an older copy, its records are
    ignored until their servers write them again. Servers whose records the copy
    lacks are kept as after an outage.

    A server may restart under its id. Start times don't order its processes,
    because its clock may be stepped back: the process whose record came last is
    the running one, and messages from earlier ones are late.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        source: ServerSource,
        *,
        missing_hold_s: float = DEFAULT_MISSING_HOLD_S,
        timeouts: Callable[[], watch.WatchTimeouts] = lambda: (
            watch.SHORT_TIMEOUTS
        ),
        system_clock: clock.Clock | None = None,
        on_registered: Callable[[fleet.Server], None] = lambda _: None,
    ):
        """Initializes an empty list; ``start`` begins to read the records.

        Args:
            client: Client of the key-value service.
            source: Location and format of the records.
            missing_hold_s: Seconds after an outage for which a server is kept
                whose record vanished in it.
            timeouts: See ``KeyValueClient.watch``.
            system_clock: Source of monotonic time, None for the system's.
            on_registered: Called each time that a server has written its
                record, whether that changed or not.
        """
        self._client = client
        self._on_registered = on_registered
        self._timeouts = timeouts
        self._source = source
        self._missing_hold_s = missing_hold_s
        self._clock = system_clock or clock.SystemClock()
        self._by_id: dict[str, fleet.Server] = {}
        self._by_service: dict[str, tuple[fleet.Server, ...]] = {}
        self._draining: dict[str, tuple[fleet.Server, ...]] = {}
        self._missing: dict[str, gevent.Greenlet] = {}
        self._unreadable: dict[str, fleet.Server | None] = {}
        self._ended = server_starts.EndedStarts()
        self._leaving: set[fleet.ServerStart] = set()
        self._watch: watch.Watch | None = None
        self._is_reading_events = False
        self._has_changed = False
        self._passed: list[fleet.Server] = []
        self._next_confirmation: gevent.event.AsyncResult[bool] | None = None
        self._confirming = lock.BoundedSemaphore(1)
        self._callbacks: list[Callable[[], None]] = []

    def start(self) -> None:
        """Starts to watch the records."""
        self._watch = self._client.watch(
            self._source.servers_prefix,
            self._on_event,
            purpose=PURPOSE,
            timeouts=self._timeouts,
            on_reported=self._on_reported,
        )

    def close(self) -> None:
        """Stops the watch; the list stays unchanged."""
        if self._watch is not None:
            self._watch.close()
        for timer in self._missing.values():
            timer.kill()
        self._missing.clear()

    def watched(self) -> watch.Watch | None:
        """Returns the watch of the records, None before ``start``."""
        return self._watch

    @property
    def is_complete(self) -> bool:
        """Whether all records were read and changes are followed since."""
        return self._watch is not None and self._watch.has_read_all

    @property
    def readings_count(self) -> int:
        """How often all records were read."""
        return self._watch.readings_count if self._watch is not None else 0

    def confirm_versions(self, limit_s: float = CONFIRM_LIMIT_S) -> bool:
        """Compares the list with what the service holds now.

        The watch may be behind without a sign, so the records are read, and the
        watch must have reported each of them. The records lack versions that
        have come and left, so the changes that the watch has not yet reported
        are read, too.

        Args:
            limit_s: Longest wait in seconds, if below ``CONFIRM_LIMIT_S``. The
                comparison goes on for others that wait.

        Returns:
            Whether all versions of the services' servers are known.
        """
        waiting = self._next_confirmation
        if waiting is None:
            waiting = self._next_confirmation = gevent.event.AsyncResult()
            gevent.spawn(self._confirm_for, waiting)
        return bool(waiting.wait(min(limit_s, CONFIRM_LIMIT_S)))

    def _confirm_for(self, waiting: "gevent.event.AsyncResult[bool]") -> None:
        with self._confirming:
            # Whoever asks from now on needs a later read.
            self._next_confirmation = None
            began_s = time.monotonic()
            result: Confirmation = "unread"
            try:
                result = self._confirm_now()
            finally:
                waiting.set(result == "confirmed")
            took_s = time.monotonic() - began_s
            self._log_confirmation(result, took_s)
            gevent.sleep(max(0.0, _CONFIRM_INTERVAL_S - took_s))

    def _log_confirmation(self, result: Confirmation, took_s: float) -> None:
        _confirmations_counter.inc({"result": result})
        if result != "confirmed":
            logger.bind(
                result=result,
                took_s=round(took_s, 4),
                store_age_s=round(self._client.age_s(), 3),
            ).info("the list of servers could not be confirmed")

    def _confirm_now(self) -> Confirmation:
        watched = self._watch
        if watched is None or not watched.has_read_all:
            return "unread"
        readings_count = watched.readings_count
        read = self._client.read_for_watch(
            self._source.servers_prefix, purpose=CONFIRM_PURPOSE
        )
        if isinstance(read, Err):
            return "unread"
        changed = self._client.read_changes(
            self._source.servers_prefix,
            after_revision=watched.continues_at_revision,
            purpose=CONFIRM_PURPOSE,
        )
        if isinstance(changed, Err):
            return "unread"
        records, state = read.ok_value
        changes = changed.ok_value
        found = [*records, *(one.key_value for one in changes.events)]
        if not watched.has_reported(found):
            watched.reopen_if_waiting()
        if not _wait_reported(watched, found, _CATCH_UP_LIMIT_S):
            # Versions may have come and left, but those of now can be known.
            watched.read_again()
            _wait_reported(watched, found, _READ_AGAIN_LIMIT_S)
            return "behind"
        is_behind = changes.state.revision < state.revision
        if is_behind or watched.readings_count != readings_count:
            return "behind"
        if self._client.outage_age_s() < self._missing_hold_s:
            return "after-outage"
        return "confirmed"

    def passed(self) -> tuple[fleet.Server, ...]:
        """Returns servers that came and left between the last two changes."""
        return tuple(self._passed)

    def overwritten(self) -> tuple[fleet.Server, ...]:
        """Returns servers whose record has become unreadable, as draining.

        Such a server may still run, and gateways that have not read its record
        since may still send requests to it. Requests to one whose record never
        was readable can't have been sent.
        """
        return tuple(
            server._replace(is_draining=True)
            for server in self._unreadable.values()
            if server is not None
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each change of the list."""
        self._callbacks.append(callback)

    def usable(self, service: str) -> tuple[fleet.Server, ...]:
        """Returns the servers of a service that may get new requests."""
        return self._by_service.get(service, ())

    def draining(self, service: str) -> tuple[fleet.Server, ...]:
        """Returns the servers of a service that are about to leave."""
        return self._draining.get(service, ())

    def find(self, server_id: str) -> fleet.Server | None:
        """Returns a known server by its id, None if there is none."""
        return self._by_id.get(server_id)

    def all(self) -> tuple[fleet.Server, ...]:
        """Returns all known servers, also draining ones."""
        return tuple(self._by_id.values())

    def unlisted(self, server_ids: Iterable[str]) -> list[str]:
        """Returns which of the servers are kept although their record vanished.

        Requests sent to them are logged as such; nothing else distinguishes
        them from requests to registered servers.
        """
        return [one for one in server_ids if one in self._missing]

    def mark_leaving(self, start: fleet.ServerStart) -> None:
        """Marks a server as draining because its answer states that it leaves.

        Its record shows that only after the server writes it. A server that
        leaves stays draining: older records of this server process no longer
        change that. A later process of the server is not affected.
        """
        known = self._by_id.get(start.server_id)
        if known is None or known.start != start or start in self._leaving:
            return
        self._leaving.add(start)
        _leaving_counter.inc({"listed": str(known.is_draining).lower()})
        if known.is_draining:
            return
        self._by_id[start.server_id] = known._replace(is_draining=True)
        self._publish_change(known, "draining: it says so in an answer")

    def mark_restarted(
        self, start: fleet.ServerStart, by: fleet.ServerStart
    ) -> None:
        """Drops a server that reports a restart before its record shows it.

        The record shows the new server process up to one heartbeat later. Until
        then the server's state is unknown and it gets no requests.

        Args:
            start: The server process in its record.
            by: The process that the server reported; ignored if it is known to
                have ended, because the message is late then.
        """
        known = self._by_id.get(start.server_id)
        if known is None or known.start != start or self._ended.has(by):
            return
        self._ended.note(start)
        self._cancel_pending_drop(start.server_id)
        self._drop(start.server_id, "it has started again")

    def _on_event(self, event: key_value_types.WatchEvent) -> None:
        # The lists are rebuilt once for all events of a message; rebuilding
        # them for each record takes quadratic time.
        self._is_reading_events = True
        try:
            self._apply_event(event)
        finally:
            self._is_reading_events = False

    def _on_reported(self) -> None:
        if self._has_changed:
            self._publish()

    def _apply_event(self, event: key_value_types.WatchEvent) -> None:
        key = event.key_value.key
        server_id = self._source.server_id(key)
        if event.is_restored and event.kind == "put":
            self._on_restored_record(server_id)
            return
        if event.kind == "delete":
            if self._unreadable.pop(server_id, None) is not None:
                self._has_changed = True
            self._on_missing(server_id)
            return
        decoded = self._source.decode_server(key, event.key_value.value)
        if isinstance(decoded, Err):
            self._on_unreadable(server_id, decoded.err_value)
            return
        if self._unreadable.pop(server_id, None) is not None:
            self._has_changed = True
        self._on_record(decoded.ok_value)

    def _on_restored_record(self, server_id: str) -> None:
        """Ignores a record that comes from an older copy.

        It may be outdated: a server that has since announced that it leaves
        would get new requests again, and one that has ended would be known
        again. Each server rewrites its record within a heartbeat; until then
        its known state is kept.
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
        self._cancel_pending_drop(server_id)
        self._on_registered(server)
        if server.start in self._leaving:
            server = server._replace(is_draining=True)
        known = self._by_id.get(server_id)
        if known == server:
            return
        if known is not None and known.start != server.start:
            self._ended.note(known.start)
            self._leaving.discard(known.start)
        if known is not None:
            self._passed.append(known)
        self._by_id[server_id] = server
        self._publish_change(
            server, "draining" if server.is_draining else "live"
        )

    def _on_unreadable(
        self, server_id: str, error: errors.StoredRecordError
    ) -> None:
        _unreadable_counter.inc({})
        if server_id in self._unreadable:
            return
        self._unreadable[server_id] = self._by_id.get(server_id)
        logger.bind(server_id=server_id).warning("{}", error.message)
        self._cancel_pending_drop(server_id)
        self._drop(server_id, "its record can't be read")

    def _on_missing(self, server_id: str) -> None:
        """Drops a server whose record vanished; in an outage, with a delay."""
        server = self._by_id.get(server_id)
        if server is None or server_id in self._missing:
            return
        left_s = self._missing_hold_s - self._client.outage_age_s()
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
            trouble_age_s=round(self._client.outage_age_s(), 3),
            left_s=round(left_s, 3),
        ).warning("a server's record vanished in an outage; the server is kept")

    def _cancel_pending_drop(self, server_id: str) -> None:
        timer = self._missing.pop(server_id, None)
        if timer is not None:
            timer.kill()
            _kept_counter.inc({"end": "back"})

    def _drop(self, server_id: str, reason: str) -> None:
        if self._missing.pop(server_id, None) is not None:
            _kept_counter.inc({"end": "dropped"})
        server = self._by_id.pop(server_id, None)
        if server is not None:
            self._passed.append(server)
            self._leaving.discard(server.start)
            self._publish_change(server, reason)

    def _most_report_start(self) -> bool:
        """Tells whether most servers of this deployment report their start.

        If they do, a record without a start is another program's. In some
        deployments no server reports one.
        """
        reporting_count = sum(
            one.started_unix_ms is not None for one in self._by_id.values()
        )
        return 2 * reporting_count > len(self._by_id)

    def _publish_change(self, server: fleet.Server, state: str) -> None:
        """Logs a change, and publishes it unless it is one of several events.

        Args:
            server: The server that changed.
            state: Its new state or why it was dropped, for the log.
        """
        logger.bind(
            server_id=server.server_id,
            started_unix_ms=server.started_unix_ms,
            service=server.service,
            address=str(server.address),
            role=server.role,
            software_version=server.software_version,
            store_age_s=round(self._client.age_s(), 3),
        ).info("server {}", state)
        self._has_changed = True
        if not self._is_reading_events:
            self._publish()

    def _publish(self) -> None:
        """Rebuilds the lists of usable servers and runs the callbacks."""
        self._has_changed = False
        by_service: dict[str, list[fleet.Server]] = {}
        draining: dict[str, list[fleet.Server]] = {}
        most_report_start = self._most_report_start()
        for known in self._by_id.values():
            of_service = by_service.setdefault(known.service, [])
            is_own_record = (
                known.started_unix_ms is not None or not most_report_start
            )
            if is_own_record and not known.is_draining:
                of_service.append(known)
            elif is_own_record:
                draining.setdefault(known.service, []).append(known)
        self._by_service = {
            service: tuple(sorted(found, key=lambda one: one.server_id))
            for service, found in by_service.items()
        }
        self._draining = {
            service: tuple(found) for service, found in draining.items()
        }
        for service, found in self._by_service.items():
            _servers_gauge.set({"service": service}, len(found))
        try:
            for callback in self._callbacks:
                callback()
        finally:
            self._passed.clear()


def _wait_reported(
    watched: watch.Watch,
    found: Iterable[key_value_types.KeyValue],
    limit_s: float,
) -> bool:
    ends_s = time.monotonic() + limit_s
    while not watched.has_reported(found):
        if time.monotonic() >= ends_s:
            return False
        gevent.sleep(_CONFIRM_POLL_S)
    return True

"""Keeps the newest version of the routes that a node has seen in force."""

import hashlib
from collections.abc import Callable, Sequence
from typing import Literal, Protocol

import gevent.event
from loguru import logger
from result import Err, Result

from mulberrywharf import errors, metrics
from mulberrywharf.platform_service import key_value, key_value_types, watch
from mulberrywharf.routes import table

PURPOSE = "routes"

_version_gauge = metrics.gauge(
    "mulberry_routes_version", "Version of the routes in force on this node."
)
_skipped = metrics.counter(
    "mulberry_routes_changes_skipped_total",
    "Changed routes that the watch passed over and a read brought.",
)
_rejected = metrics.counter(
    "mulberry_routes_rejected_total",
    "Route documents that were read and not taken, by reason.",
)
_refused_version_gauge = metrics.gauge(
    "mulberry_routes_refused_version",
    "Version of the newest routes that this node could not take; 0 if it has"
    " taken the newest, -1 if they state no version.",
)
_faults_gauge = metrics.gauge(
    "mulberry_routes_faults_count",
    "Faults of the routes in force; what they belong to is not in force.",
)

_LOGGED_FAULTS_LIMIT_COUNT = 20
_NO_VERSION = -1


Way = Literal["watch", "read"]
"""Whether the watch reported routes, or they were read beside it."""


class RouteSource(Protocol):
    """Key and format of the operators' routes.

    Attributes:
        routes_key: Key of the routes in the key-value service.
    """

    routes_key: str

    def decode_routes(
        self, value: bytes
    ) -> Result[table.RouteTable, errors.StoredConfigurationError]:
        """Decodes one version of the routes."""
        ...


class RouteFollower:
    """Watches the routes and holds the version in force on this node.

    A version lower than the one in force is never applied. After a restart of
    the store, or with a stale read, an old document can arrive after a newer
    one, and a route that callers have already used would disappear.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        source: RouteSource,
        *,
        timeouts: Callable[[], watch.WatchTimeouts] = lambda: (
            watch.SHORT_TIMEOUTS
        ),
    ):
        """Creates it; nothing is read before ``start``.

        Args:
            client: Client of the key-value service.
            source: Key and format of the routes in the service.
            timeouts: See ``KeyValueClient.watch``.
        """
        self._client = client
        self._source = source
        self._timeouts = timeouts
        self._table: table.RouteTable | None = None
        self._applied_digest = b""
        self._refused_digest = b""
        self._stored_revision = 0
        self._has_routes = gevent.event.Event()
        self._watch: watch.Watch | None = None
        self._callbacks: list[Callable[[table.RouteTable], None]] = []

    def start(self) -> None:
        """Starts watching the routes."""
        self._watch = self._client.watch(
            self._source.routes_key,
            self._on_event,
            purpose=PURPOSE,
            timeouts=self._timeouts,
        )

    def close(self) -> None:
        """Stops watching; the last routes stay in force."""
        if self._watch is not None:
            self._watch.close()

    @property
    def routes_key(self) -> str:
        """Key of the routes in the key-value service."""
        return self._source.routes_key

    def watched(self) -> watch.Watch | None:
        """Returns the watch of the routes, None before ``start``."""
        return self._watch

    @property
    def is_read(self) -> bool:
        """Whether the routes were read since the start and are followed."""
        return self._watch is not None and self._watch.has_read_all

    def current(self) -> table.RouteTable | None:
        """Returns the routes in force, None if there are none yet."""
        return self._table

    def wait_first(self, limit_s: float) -> table.RouteTable | None:
        """Waits for the first routes and returns the routes in force.

        Args:
            limit_s: Maximum time to wait; then None is returned.
        """
        self._has_routes.wait(limit_s)
        return self._table

    def on_change(self, callback: Callable[[table.RouteTable], None]) -> None:
        """Registers a callback for new versions.

        It runs in the greenlet of the watch.
        """
        self._callbacks.append(callback)

    @property
    def stored_revision(self) -> int | None:
        """Revision at which the routes in force were stored, None if unknown.

        It belongs to the present era of the service: after a restore it is
        unknown until the routes were read again.
        """
        return (self.is_read and self._stored_revision) or None

    def take(self, found: key_value_types.KeyValue) -> bool:
        """Applies a routes document that was read from the service.

        Returns:
            True if its routes are now in force, also if they already were.
            False if it is malformed, or if another document with the same or
            a newer version is in force.
        """
        if self._watch is not None and self._watch.take_read(found):
            _skipped.inc({})
            logger.bind(
                revision=found.mod_revision,
                watched=self._watch.continues_at_revision,
            ).warning("the watch of the routes passed over a change")
        return self._take(found, "read")

    def _take(self, found: key_value_types.KeyValue, way: Way) -> bool:
        is_in_force = self._is_in_force_after(found, way)
        self._stored_revision = found.mod_revision if is_in_force else 0
        return is_in_force

    def _is_in_force_after(
        self, found: key_value_types.KeyValue, way: Way
    ) -> bool:
        if self._table is not None and (
            _digest(found.value) == self._applied_digest
        ):
            return True
        decoded = self._source.decode_routes(found.value)
        if isinstance(decoded, Err):
            self._report_refused(decoded.err_value, _digest(found.value))
            return False
        return self._apply(decoded.ok_value, found, way)

    def _report_refused(
        self, error: errors.StoredConfigurationError, digest: bytes
    ) -> None:
        # A refused document is read again with each confirmation.
        if digest == self._refused_digest:
            return
        self._refused_digest = digest
        _rejected.inc({"reason": error.code})
        in_force = self._table.version if self._table else 0
        if error.version is None or error.version > in_force:
            _refused_version_gauge.set(
                {}, _NO_VERSION if error.version is None else error.version
            )
        _log_faults("routes not taken", error.version, error.faults)

    def _on_event(self, event: key_value_types.WatchEvent) -> None:
        if event.key_value.key != self._source.routes_key:
            return
        if event.kind == "delete":
            logger.warning(
                "the routes were deleted; the last version stays in force"
            )
            self._stored_revision = 0
            return
        self._take(event.key_value, "watch")

    def _apply(
        self,
        found: table.RouteTable,
        stored: key_value_types.KeyValue,
        way: Way,
    ) -> bool:
        current_version = self._table.version if self._table else 0
        if found.version <= current_version:
            _rejected.inc({"reason": "not-newer"})
            logger.info(
                "routes version {} ignored: version {} is in force",
                found.version,
                current_version,
            )
            return False
        self._table = found
        self._applied_digest = _digest(stored.value)
        self._has_routes.set()
        _version_gauge.set({}, found.version)
        _refused_version_gauge.set({}, 0)
        _faults_gauge.set({}, len(found.faults))
        _log_faults("part of the routes not taken", found.version, found.faults)
        logger.bind(
            version=found.version,
            before_version=current_version,
            revision=stored.mod_revision,
            way=way,
            routes_count=found.routes_count,
            customers_count=found.customers.customers_count
            if found.customers
            else None,
        ).info("routes in force")
        for callback in self._callbacks:
            callback(found)
        return True


def _log_faults(
    message: str, version: int | None, faults: Sequence[errors.Fault]
) -> None:
    for fault in faults[:_LOGGED_FAULTS_LIMIT_COUNT]:
        logger.bind(
            version=version,
            field=fault.path,
            reason=fault.message,
            faults_count=len(faults),
        ).error(message)


def _digest(value: bytes) -> bytes:
    return hashlib.sha256(value).digest()

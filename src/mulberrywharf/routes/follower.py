"""Keeps a node at the newest version of the routes that it has ever seen."""

import hashlib
from collections.abc import Callable
from typing import Protocol

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
_rejected = metrics.counter(
    "mulberry_routes_rejected_total",
    "Route documents that were read and not taken, by reason.",
)


class RouteSource(Protocol):
    """Where the operators' routes are kept and how they are written."""

    routes_key: str

    def decode_routes(
        self, value: bytes
    ) -> Result[table.RouteTable, errors.StoredConfigurationError]:
        """Reads one version of the routes."""
        ...


class RouteFollower:
    """The routes in force on this node.

    A version below the one in force is never taken: after a restart of the
    store, or through a read that lags, an old document can come after a newer
    one, and callers would see a route that they had already used vanish.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        source: RouteSource,
        *,
        patience: Callable[[], watch.Patience] = lambda: watch.BRIEF,
    ):
        """Makes a follower; nothing is read before ``start``.

        Args:
            client: The key-value service.
            source: Where the routes are in it.
            patience: See ``KeyValueClient.watch``.
        """
        self._client = client
        self._source = source
        self._patience = patience
        self._table: table.RouteTable | None = None
        self._taken_digest = b""
        self._known = gevent.event.Event()
        self._watch: watch.Watch | None = None
        self._callbacks: list[Callable[[table.RouteTable], None]] = []

    def start(self) -> None:
        """Begins to watch the routes."""
        self._watch = self._client.watch(
            self._source.routes_key,
            self._on_event,
            purpose=PURPOSE,
            patience=self._patience,
        )

    def close(self) -> None:
        """Ends the watch; the last routes stay in force."""
        if self._watch is not None:
            self._watch.close()

    @property
    def routes_key(self) -> str:
        """Key of the routes in the key-value service."""
        return self._source.routes_key

    def watched(self) -> watch.Watch | None:
        """Returns the watch of the routes, None before the start."""
        return self._watch

    def current(self) -> table.RouteTable | None:
        """Returns the routes in force, None before the first."""
        return self._table

    def wait_first(self, limit_s: float) -> table.RouteTable | None:
        """Returns the routes in force, once there are any.

        Args:
            limit_s: None is returned if there are none by then.
        """
        self._known.wait(limit_s)
        return self._table

    def on_change(self, callback: Callable[[table.RouteTable], None]) -> None:
        """Calls back with each new version, from the watch's greenlet."""
        self._callbacks.append(callback)

    def take(self, found: key_value_types.KeyValue) -> bool:
        """Takes a routes document that was read from the service.

        Returns:
            Whether its routes are in force now, also if they already were.
            False if it is malformed or another, equal or newer version is in
            force.
        """
        if self._table is not None and (
            _digest(found.value) == self._taken_digest
        ):
            return True
        decoded = self._source.decode_routes(found.value)
        if isinstance(decoded, Err):
            _rejected.inc({"reason": decoded.err_value.code})
            logger.error("routes not taken: {}", decoded.err_value.message)
            return False
        return self._take(decoded.ok_value, found.value)

    def _on_event(self, event: key_value_types.WatchEvent) -> None:
        if event.key_value.key != self._source.routes_key:
            return
        if event.kind == "delete":
            logger.warning("the routes were deleted; the last stay in force")
            return
        self.take(event.key_value)

    def _take(self, found: table.RouteTable, value: bytes) -> bool:
        held_version = self._table.version if self._table else 0
        if found.version <= held_version:
            _rejected.inc({"reason": "not-newer"})
            logger.info(
                "routes version {} not taken: {} is in force",
                found.version,
                held_version,
            )
            return False
        self._table = found
        self._taken_digest = _digest(value)
        self._known.set()
        _version_gauge.set({}, found.version)
        logger.bind(
            version=found.version,
            before_version=held_version,
            routes_count=found.routes_count,
            customers_count=found.customers.customers_count
            if found.customers
            else None,
        ).info("routes in force")
        for callback in self._callbacks:
            callback(found)
        return True


def _digest(value: bytes) -> bytes:
    return hashlib.sha256(value).digest()

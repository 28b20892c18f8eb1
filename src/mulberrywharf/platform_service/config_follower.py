"""Keeps a node at the highest configuration that it has ever seen.

One watch brings changes from the key-value service; neighbours offer theirs
when heartbeats show that they are ahead. Whatever the source, a node never
goes back.
"""

from collections.abc import Callable

import gevent
import gevent.event
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors, metrics, settings
from mulberrywharf.platform_service import (
    config_store,
    http_calls,
    key_value,
    watch,
)
from mulberrywharf.platform_service import (
    configuration as configuration_module,
)
from mulberrywharf.platform_service.configuration import Configuration

PURPOSE = "config"

REINSTATE_SPREAD_S = 3.0
"""Nodes that notice a lost configuration act at random within this time.

All of them notice in the same instant; the first to act makes the others'
writes unnecessary.
"""

_RETRY_LIMIT_S = 10.0

_version = metrics.gauge(
    "mulberry_config_version", "Version of the configuration in force here."
)
_rejected = metrics.counter(
    "mulberry_config_rejected_total",
    "Configurations that were seen and not taken, by reason.",
)


class ConfigFollower:
    """The configuration in force on this node."""

    def __init__(
        self,
        client: key_value.KeyValueClient,
        deployment: str,
        *,
        reinstate_spread_s: float = REINSTATE_SPREAD_S,
    ):
        self._client = client
        self._store = config_store.ConfigStore(client, deployment)
        self._key = configuration_module.config_key(deployment)
        self._reinstate_spread_s = reinstate_spread_s
        self._current: Configuration | None = None
        self._exists = gevent.event.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._watch: watch.Watch | None = None
        self._reinstating: gevent.Greenlet | None = None

    @classmethod
    def from_config(
        cls, config: settings.Settings, client: key_value.KeyValueClient
    ) -> "ConfigFollower":
        """Builds the follower of the settings' deployment."""
        return cls(client, config["deployment"])

    def start(self) -> None:
        """Begins to watch the service."""
        self._watch = self._client.watch(
            self._key, self._on_event, purpose=PURPOSE
        )

    def close(self) -> None:
        """Ends the watch; the last configuration stays readable."""
        if self._watch is not None:
            self._watch.close()
        if self._reinstating is not None:
            self._reinstating.kill()

    def current(self) -> Configuration | None:
        """Returns the configuration in force, None if none was ever seen."""
        return self._current

    def version(self) -> int:
        """Returns the version in force, 0 if there is none."""
        return self._current.version if self._current else 0

    def wait(self, timeout_s: float | None = None) -> Configuration | None:
        """Waits until a configuration exists; None if time ran out."""
        self._exists.wait(timeout_s)
        return self._current

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Calls back with the configuration in force and each later one.

        Callbacks run in the greenlet that brought the change and should
        return at once.
        """
        self._callbacks.append(callback)
        if self._current is not None:
            _call(callback, self._current)

    def offer(
        self, configuration_bytes: bytes
    ) -> Result[bool, errors.DocumentError]:
        """Takes a configuration from a neighbour, if it is ahead of ours.

        Args:
            configuration_bytes: The neighbour's ``current().raw``.

        Returns:
            Whether it is now in force here, or why it cannot be.
        """
        decoded = configuration_module.decode(configuration_bytes)
        if isinstance(decoded, Err):
            _rejected.inc({"reason": "faulty"})
            return decoded
        return Ok(self._take(decoded.ok_value))

    def _take(self, offered: Configuration) -> bool:
        """Puts a configuration in force unless ours ranks as high.

        A lagging neighbour, a late watch event or a service restored from a
        backup all bring older configurations. Taken, they would revert
        changes that operators were told are in force.
        """
        held = self._current
        if held is not None and offered.rank() <= held.rank():
            if offered.rank() < held.rank():
                _rejected.inc({"reason": "older"})
            return False
        self._current = offered
        _version.set({}, offered.version)
        logger.info(
            "configuration {} by {} in force", offered.version, offered.author
        )
        self._exists.set()
        for callback in list(self._callbacks):
            _call(callback, offered)
        return True

    def _on_event(self, event: key_value.WatchEvent) -> None:
        if event.key_value.key != self._key:
            return
        if event.kind == "delete":
            self._reinstate_later()
            return
        offered = self.offer(event.key_value.value)
        if isinstance(offered, Err):
            logger.error("the stored configuration: {}", offered.err_value)
            return
        if not offered.ok_value and self._is_ahead_of(event.key_value.value):
            self._reinstate_later()

    def _is_ahead_of(self, stored: bytes) -> bool:
        decoded = configuration_module.decode_unchecked(stored)
        held = self._current
        return (
            held is not None
            and isinstance(decoded, Ok)
            and decoded.ok_value.rank() < held.rank()
        )

    def _reinstate_later(self) -> None:
        """Puts our configuration back into a service that lost it."""
        if self._current is None or self._reinstating:
            return
        self._reinstating = gevent.spawn(self._reinstate)

    def _reinstate(self) -> None:
        attempt = 0
        pause_s = self._reinstate_spread_s
        while self._current is not None:
            wait_s = http_calls.full_jitter_s(
                attempt, base_s=pause_s, limit_s=_RETRY_LIMIT_S
            )
            gevent.sleep(wait_s)
            written = self._store.reinstate(self._current)
            if isinstance(written, Ok):
                return
            logger.warning("configuration not put back: {}", written.err_value)
            attempt += 1


def _call(
    callback: Callable[[Configuration], None], configuration: Configuration
) -> None:
    try:
        callback(configuration)
    except Exception:
        # One part that fails must not keep the change from the others.
        logger.exception("a configuration callback failed")

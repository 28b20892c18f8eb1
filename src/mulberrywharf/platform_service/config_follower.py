"""Keeps the newest configuration that a node has seen in force.

A watch reports changes in the key-value service. Other nodes send their
configuration when heartbeats show that it is newer. A node never returns to an
older configuration, whatever the source.
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
"""Upper bound of the random delay before a node writes back a configuration
that the service lost. All nodes notice the loss at the same time, and the write
of the first one makes the others' writes unnecessary."""

_RETRY_LIMIT_S = 10.0

_version_gauge = metrics.gauge(
    "mulberry_config_version", "Version of the configuration in force here."
)
_rejected = metrics.counter(
    "mulberry_config_rejected_total",
    "Configurations that were seen and not taken, by reason.",
)


class ConfigFollower:
    """Follows the configuration and holds the one in force on this node."""

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
        self._has_configuration = gevent.event.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._watch: watch.Watch | None = None
        self._reinstate_task: gevent.Greenlet | None = None

    @classmethod
    def from_config(
        cls, config: settings.Settings, client: key_value.KeyValueClient
    ) -> "ConfigFollower":
        """Creates the follower for the deployment in the settings."""
        return cls(client, config["deployment"])

    def start(self) -> None:
        """Starts watching the configuration."""
        self._watch = self._client.watch(
            self._key, self._on_event, purpose=PURPOSE
        )

    def close(self) -> None:
        """Stops watching; the last configuration stays in force."""
        if self._watch is not None:
            self._watch.close()
        if self._reinstate_task is not None:
            self._reinstate_task.kill()

    def current(self) -> Configuration | None:
        """Returns the configuration in force, None if there is none yet."""
        return self._current

    def version(self) -> int:
        """Returns the version in force, 0 if there is none."""
        return self._current.version if self._current else 0

    def wait(self, timeout_s: float | None = None) -> Configuration | None:
        """Waits for a configuration and returns it; None after the timeout."""
        self._has_configuration.wait(timeout_s)
        return self._current

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Registers a callback for the configuration in force and later ones.

        Callbacks run in the greenlet that received the change and must not
        block.
        """
        self._callbacks.append(callback)
        if self._current is not None:
            _run_callback(callback, self._current)

    def apply_if_newer(
        self, configuration_bytes: bytes
    ) -> Result[bool, errors.DocumentError]:
        """Applies a configuration if it is newer than the one in force.

        Args:
            configuration_bytes: The stored value, or ``current().raw`` of
                another node.

        Returns:
            Whether it was applied, or the faults in it.
        """
        decoded = configuration_module.decode(configuration_bytes)
        if isinstance(decoded, Err):
            _rejected.inc({"reason": "faulty"})
            return decoded
        return Ok(self._take(decoded.ok_value))

    def _take(self, offered: Configuration) -> bool:
        """Applies a configuration that ranks higher than the one in force.

        A node that lags behind, a late watch event and a service restored
        from a backup all deliver older configurations. Applying one would
        revert changes that were reported to operators as in force.
        """
        current = self._current
        if current is not None and offered.rank() <= current.rank():
            if offered.rank() < current.rank():
                _rejected.inc({"reason": "older"})
            return False
        self._current = offered
        _version_gauge.set({}, offered.version)
        logger.info(
            "configuration {} by {} in force", offered.version, offered.author
        )
        self._has_configuration.set()
        for callback in list(self._callbacks):
            _run_callback(callback, offered)
        return True

    def _on_event(self, event: key_value.WatchEvent) -> None:
        if event.key_value.key != self._key:
            return
        if event.kind == "delete":
            self._reinstate_later()
            return
        offered = self.apply_if_newer(event.key_value.value)
        if isinstance(offered, Err):
            logger.error("the stored configuration: {}", offered.err_value)
            return
        if not offered.ok_value and self._is_ahead_of(event.key_value.value):
            self._reinstate_later()

    def _is_ahead_of(self, stored: bytes) -> bool:
        decoded = configuration_module.decode_unchecked(stored)
        current = self._current
        return (
            current is not None
            and isinstance(decoded, Ok)
            and decoded.ok_value.rank() < current.rank()
        )

    def _reinstate_later(self) -> None:
        """Starts writing the configuration in force back to the service."""
        if self._current is None or self._reinstate_task:
            return
        self._reinstate_task = gevent.spawn(self._reinstate)

    def _reinstate(self) -> None:
        attempt = 0
        pause_s = self._reinstate_spread_s
        while self._current is not None:
            wait_s = http_calls.full_jitter_s(
                attempt, base_s=pause_s, limit_s=_RETRY_LIMIT_S
            )
            gevent.sleep(wait_s)
            written = self._store.write_back(self._current)
            if isinstance(written, Ok):
                return
            logger.warning(
                "configuration could not be put back: {}", written.err_value
            )
            attempt += 1


def _run_callback(
    callback: Callable[[Configuration], None], configuration: Configuration
) -> None:
    try:
        callback(configuration)
    except Exception:
        # The remaining callbacks must still receive the change.
        logger.exception("a configuration callback failed")

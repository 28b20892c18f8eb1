"""Fetches a newer configuration from another router that has one."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.nodes import links, messages

_FETCH_GRACE_S = 1.5

_FIRST_FETCH_GRACE_S = 3.0
"""Delay before the first fetch of a router without a configuration.

Without the delay, a router that starts while the key-value service is
unavailable could take the first version that it receives and serve by rules
that were replaced before it started: the sender may have been paused and not
be up to date yet. The other routers learn of the new router from the VM list
within one or two seconds; then each of them replies at once.
"""

_FETCH_TIMEOUT_S = 5.0


class ConfigurationSource(Protocol):
    """The part of ``ConfigFollower`` that the exchange uses."""

    def version(self) -> int:
        """Returns the version in force, or 0 if there is none."""
        ...

    def current(self) -> Any:
        """Returns the configuration in force, with ``raw``, or None."""
        ...

    def apply_if_newer(
        self, configuration_bytes: bytes
    ) -> Result[bool, errors.DocumentError]:
        """Applies another router's configuration if it is newer."""
        ...


class _FetchTarget(NamedTuple):
    """The router with the highest version received since the last fetch."""

    version: int
    vm_id: str
    address: fleet.Address | None


class ConfigExchange:
    """Tracks the versions of other routers; runs at most one fetch."""

    def __init__(
        self, configuration: ConfigurationSource, node_links: links.Links
    ):
        self._configuration = configuration
        self._links = node_links
        self._versions: dict[str, int] = {}
        self._fetch_target = _FetchTarget(0, "", None)
        self._fetch_task: gevent.Greenlet | None = None

    def version(self) -> int:
        """Returns the version in force here."""
        return self._configuration.version()

    def versions(self) -> Mapping[str, int]:
        """Returns the last version received from each other router."""
        return dict(self._versions)

    def close(self) -> None:
        """Cancels a running fetch."""
        if self._fetch_task is not None:
            self._fetch_task.kill()

    def keep_only(self, vm_ids: set[str]) -> None:
        """Removes the routers that are no longer in the VM list."""
        for vm_id in self._versions.keys() - vm_ids:
            del self._versions[vm_id]

    def note(
        self, vm_id: str, version: int, address: fleet.Address | None
    ) -> None:
        """Records a router's version; fetches it if it is newer."""
        self._versions[vm_id] = version
        if version <= self._configuration.version() or address is None:
            return
        if self._fetch_task is None or self._fetch_task.ready():
            self._fetch_target = _FetchTarget(version, vm_id, address)
            self._fetch_task = gevent.spawn(self._fetch)
        elif version > self._fetch_target.version:
            self._fetch_target = _FetchTarget(version, vm_id, address)

    def handle_fetch(
        self, sender_vm_id: str, request: messages.ConfigFetch
    ) -> messages.ConfigDocument:
        """Returns the configuration in force, or empty if there is none."""
        del sender_vm_id, request
        current = self._configuration.current()
        return messages.ConfigDocument(current.raw if current else b"")

    def _fetch(self) -> None:
        """Fetches the document from the router with the highest version.

        Normally the watch delivers the document within the grace time, and
        nothing is fetched. While the key-value service is unavailable, the
        fetch is the only way to get it.
        """
        is_first = self._configuration.version() == 0
        grace_s = _FIRST_FETCH_GRACE_S if is_first else _FETCH_GRACE_S
        gevent.sleep(grace_s * random.uniform(0.5, 1.0))
        target = self._fetch_target
        if target.address is None:
            return
        if target.version <= self._configuration.version():
            return
        received = self._links.to(target.address).call(
            messages.ConfigFetch(), _FETCH_TIMEOUT_S
        )
        if isinstance(received, Err):
            return
        reply = received.ok_value
        if not isinstance(reply, messages.ConfigDocument):
            return
        applied = self._configuration.apply_if_newer(reply.document)
        if isinstance(applied, Ok) and applied.ok_value:
            logger.info("applied a newer configuration from {}", target.vm_id)

"""Gets a newer configuration from a neighbour that has one."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import errors, fleet
from mulberrywharf.nodes import links, messages

_FETCH_GRACE_S = 1.5

_FRESH_GRACE_S = 3.0
"""Grace of a node that has no configuration yet.

With the first answer that came, a node that starts while the key-value
service is away could serve by rules that were replaced before it began: one
neighbour may have been paused and not have caught up yet. The VM list lets
the others know of this node within a second or two; then each answers at
once.
"""

_FETCH_TIMEOUT_S = 5.0


class ConfigurationSource(Protocol):
    """What the exchange needs of ``ConfigFollower``."""

    def version(self) -> int:
        """Returns the version in force, 0 without one."""
        ...

    def current(self) -> Any:
        """Returns the configuration in force, with ``raw``, or None."""
        ...

    def apply_if_newer(
        self, configuration_bytes: bytes
    ) -> Result[bool, errors.DocumentError]:
        """Takes a neighbour's configuration if it is newer."""
        ...


class _Ahead(NamedTuple):
    """The node with the highest version that was heard since a fetch."""

    version: int
    vm_id: str
    address: fleet.Address | None


class ConfigExchange:
    """The versions that other nodes run, and at most one fetch."""

    def __init__(
        self, configuration: ConfigurationSource, node_links: links.Links
    ):
        self._configuration = configuration
        self._links = node_links
        self._versions: dict[str, int] = {}
        self._best = _Ahead(0, "", None)
        self._fetching: gevent.Greenlet | None = None

    def version(self) -> int:
        """Returns the version in force here."""
        return self._configuration.version()

    def versions(self) -> Mapping[str, int]:
        """Returns the version last heard from each other node."""
        return dict(self._versions)

    def close(self) -> None:
        """Gives up a fetch that is under way."""
        if self._fetching is not None:
            self._fetching.kill()

    def keep_only(self, vm_ids: set[str]) -> None:
        """Forgets nodes that left the VM list."""
        for vm_id in self._versions.keys() - vm_ids:
            del self._versions[vm_id]

    def note(
        self, vm_id: str, version: int, address: fleet.Address | None
    ) -> None:
        """Notes a node's version, and fetches it if it is newer."""
        self._versions[vm_id] = version
        if version <= self._configuration.version() or address is None:
            return
        if self._fetching is None or self._fetching.ready():
            self._best = _Ahead(version, vm_id, address)
            self._fetching = gevent.spawn(self._fetch)
        elif version > self._best.version:
            self._best = _Ahead(version, vm_id, address)

    def answer(
        self, sender_vm_id: str, question: messages.ConfigFetch
    ) -> messages.ConfigDocument:
        """Answers a node that fetches."""
        del sender_vm_id, question
        current = self._configuration.current()
        return messages.ConfigDocument(current.raw if current else b"")

    def _fetch(self) -> None:
        """Gets the document from the neighbour that is furthest ahead.

        Normally the watch brings it within the grace time and nothing is
        fetched; when the key-value service is away this is the only way.
        """
        is_fresh = self._configuration.version() == 0
        grace_s = _FRESH_GRACE_S if is_fresh else _FETCH_GRACE_S
        gevent.sleep(grace_s * random.uniform(0.5, 1.0))
        ahead = self._best
        if ahead.address is None:
            return
        if ahead.version <= self._configuration.version():
            return
        answered = self._links.to(ahead.address).call(
            messages.ConfigFetch(), _FETCH_TIMEOUT_S
        )
        if isinstance(answered, Err):
            return
        answer = answered.ok_value
        if not isinstance(answer, messages.ConfigDocument):
            return
        offered = self._configuration.apply_if_newer(answer.document)
        if isinstance(offered, Ok) and offered.ok_value:
            logger.info("took a newer configuration from {}", ahead.vm_id)

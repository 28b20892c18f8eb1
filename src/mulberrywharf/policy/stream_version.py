"""Decides at which software version a stream may go on.

What two software versions of a service write does not fit together, and
servers don't check it: a stream that goes on at another version than the one
that began it holds events of both. An unknown version is no version. A stream
whose version nobody knows goes on only if each server that could have begun it
had the same one.
"""

import functools
import math
from collections.abc import Iterable, Mapping
from typing import Literal, NamedTuple, TypeVar

import xxhash

from mulberrywharf import fleet

VersionKey = int
"""Hash of a software version's name, which may be long. Any other byte makes
another version."""

LEAST_HOLD_S = 10.0
HOLD_TIMEOUTS_COUNT = 2.0
"""How long records are followed until their history is complete, in timeouts of
the longest route. A stream lasts for one of them at the most."""

LEAST_LEFT_HOLD_S = 40.0
"""How long a version counts at least as one that may have begun a stream once
its last record is gone. Callers that state no deadline wait for 30 s, and a
server may serve on for seconds at gateways that have not yet heard of it."""

CONTACT_LIMIT_S = 2.5
"""Age from which the newest answer of the key-value service, or what confirmed
a history, says nothing of the present. Leases are renewed at least every two
seconds, so a gateway in contact with the service stays below. A version that
comes and leaves between the confirmation of a lent history and the start of the
gateway that borrows it isn't noticed."""

_WAIT_SHARE = 0.5
"""Largest part of the time left to a request that one wait of its take-up may
use. The rest is for the answer, or for another gateway."""

VERSIONS_LIMIT_COUNT = 16
"""Most versions of one service that gateways tell each other. A service with
more has no version that all servers share."""


@functools.lru_cache(maxsize=256)
def key_of(software_version: str | None) -> VersionKey | None:
    """Returns the key of a software version, None if it is unknown."""
    if software_version is None:
        return None
    return xxhash.xxh3_64_intdigest(software_version.encode())


class Begun(NamedTuple):
    """A stream that began at a known version.

    Attributes:
        version_key: The version.
    """

    version_key: VersionKey


UnknownReason = Literal["not-named", "not-found", "no-reply"]
"""Why the version of a stream is unknown.

- ``not-named``: The caller doesn't name the attempt that began it, or its
  server's version is unknown.
- ``not-found``: No gateway that was asked knows the stream.
- ``no-reply``: The gateways that may know it, or the records of the servers,
  could not be read.
"""


class Unknown(NamedTuple):
    """A stream whose version is unknown.

    Attributes:
        reason: Why.
    """

    reason: UnknownReason


class Foreign(NamedTuple):
    """A stream of another customer, service or model than the request's."""


Origin = Begun | Unknown | Foreign
"""What is known of the beginning of a stream."""


class SeenVersions(NamedTuple):
    """The versions of a service's servers.

    Attributes:
        current: Versions with an engine that new requests for answers may be
            sent to.
        recent: Versions that may have begun a stream, also at another service
            of its route; None for a server whose version is unknown.
        is_complete: Whether ``recent`` has all that were registered until the
            list of servers was last confirmed.
    """

    current: frozenset[VersionKey]
    recent: frozenset[VersionKey | None]
    is_complete: bool

    @property
    def is_single(self) -> bool:
        """Whether all servers that may have begun a stream had one version."""
        return (
            self.is_complete
            and len(self.recent) == 1
            and None not in self.recent
        )


class Only(NamedTuple):
    """The stream may go on at servers of one version.

    Attributes:
        version_key: The version.
        is_inferred: Whether it is the only one that can have begun it.
    """

    version_key: VersionKey
    is_inferred: bool = False


RefusalReason = Literal[
    "version-gone", "other-stream", "not-named", "not-found", "no-reply"
]


class Refused(NamedTuple):
    """The stream may not go on.

    Attributes:
        reason: ``version-gone`` if no server of its version is left,
            ``other-stream`` if it is another request's, else why its version
            is unknown.
    """

    reason: RefusalReason


Continuation = Only | Refused


def wait_limit_s(left_s: float) -> float:
    """Returns how long a take-up may wait for a reply or a confirmation.

    Args:
        left_s: Time until the deadline of its request.
    """
    return _WAIT_SHARE * left_s


def needs_confirmation(origin: Origin, seen: SeenVersions) -> bool:
    """Returns whether a decision rests on versions that may be missing.

    They are if the version is to be inferred, or if servers of the version that
    began the stream have not been seen here.

    Args:
        origin: What is known of the stream's beginning.
        seen: The versions of its service.
    """
    if isinstance(origin, Begun):
        return origin.version_key not in seen.recent
    return isinstance(origin, Unknown) and seen.is_single


def decide(origin: Origin, seen: SeenVersions) -> Continuation:
    """Returns where a stream may go on.

    Args:
        origin: What is known of its beginning.
        seen: The versions of its service.
    """
    if isinstance(origin, Foreign):
        return Refused("other-stream")
    if isinstance(origin, Begun):
        return _only(origin.version_key, seen, is_inferred=False)
    if seen.is_single:
        (version_key,) = (key for key in seen.recent if key is not None)
        return _only(version_key, seen, is_inferred=True)
    return Refused(origin.reason)


def _only(
    version_key: VersionKey, seen: SeenVersions, *, is_inferred: bool
) -> Continuation:
    if version_key not in seen.current:
        return Refused("version-gone")
    return Only(version_key, is_inferred)


class _Left(NamedTuple):
    """When a version was last seen, and how long it counts from then on."""

    at_s: float
    hold_s: float


_PRESENT = _Left(math.inf, 0.0)

_Key = TypeVar("_Key")


class VersionHistory:
    """The versions of the services' servers, now and for some time before."""

    def __init__(self) -> None:
        self._hold_s = LEAST_HOLD_S
        self._complete_after_s = LEAST_HOLD_S
        self._names: dict[VersionKey, str] = {}
        self._sources: dict[str, dict[str, _Left]] = {}
        self._sources_since_s = -math.inf
        self._current: dict[str, frozenset[VersionKey | None]] = {}
        self._generating: dict[str, frozenset[VersionKey]] = {}
        self._left: dict[str, dict[VersionKey | None, _Left]] = {}
        self._known_since_s: dict[str, float] = {}
        self._followed_since_s: float | None = None
        self._contact_s = -math.inf
        self._confirmed_s = -math.inf
        self._readings_count = 0

    def set_longest_timeout(self, timeout_s: float) -> None:
        """Sets the timeout of the route with the longest one.

        Streams that began under a longer one may still be open.
        """
        self._hold_s = max(LEAST_HOLD_S, HOLD_TIMEOUTS_COUNT * timeout_s)
        self._complete_after_s = max(self._complete_after_s, self._hold_s)

    def set_sources(
        self,
        present: Mapping[str, Iterable[str]],
        passed: Mapping[str, Iterable[str]],
        now_s: float,
    ) -> bool:
        """Sets which services' streams may be taken up at which service.

        Args:
            present: By each service, those that share a route with it.
            passed: By each service, those that its routes named until now.
            now_s: The current time.

        Returns:
            Whether one is new.
        """
        is_new = False
        left = _Left(now_s, self._left_hold_s)
        for service, sources in self._sources.items():
            for source, last in sources.items():
                if last == _PRESENT and source not in present.get(service, ()):
                    sources[source] = left
        for added, last in ((passed, left), (present, _PRESENT)):
            for service, found in added.items():
                sources = self._sources.setdefault(service, {})
                for source in found:
                    is_new = is_new or source not in sources
                    sources[source] = last
        if is_new:
            # Lent histories lack what left a new source before it was known.
            self._known_since_s.clear()
            self._sources_since_s = now_s
        return is_new

    @property
    def _left_hold_s(self) -> float:
        return max(LEAST_LEFT_HOLD_S, self._hold_s)

    def set_following(
        self, is_following: bool, now_s: float, *, readings_count: int = 1
    ) -> None:
        """Records whether all records of servers were read and are followed.

        Args:
            is_following: Whether they are.
            now_s: The current time.
            readings_count: How often all records were read. A version may
                have come and left between two readings.
        """
        was_read_again = readings_count != self._readings_count
        self._readings_count = readings_count
        if not is_following or was_read_again:
            self._followed_since_s = None
            self._known_since_s.clear()
        if is_following and self._followed_since_s is None:
            self._followed_since_s = now_s
            self._complete_after_s = self._hold_s

    def set_contact(self, contact_s: float) -> None:
        """Records when the key-value service last worked.

        Args:
            contact_s: When the newest call that it answered was sent.
        """
        self._contact_s = max(self._contact_s, contact_s)

    def set_confirmed(self, confirmed_s: float) -> None:
        """Records until when every change of the records is known.

        Args:
            confirmed_s: When the records that confirm it were asked for.
        """
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def is_current(self, now_s: float) -> bool:
        """Returns whether the service worked within ``CONTACT_LIMIT_S``."""
        return now_s - self._contact_s <= CONTACT_LIMIT_S

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether the history was confirmed within that time."""
        return now_s - self._confirmed_s <= CONTACT_LIMIT_S

    def set_servers(
        self, servers: Iterable[fleet.Server], now_s: float
    ) -> bool:
        """Records all known servers, also leaving ones.

        Returns:
            Whether there is a version that was not there before.
        """
        current: dict[str, set[VersionKey | None]] = {}
        generating: dict[str, set[VersionKey]] = {}
        for server in servers:
            if server.role is None:
                continue
            key = self._note_name(server.software_version)
            current.setdefault(server.service, set()).add(key)
            may_generate = server.role != "prefill" and not server.is_draining
            if may_generate and key is not None:
                generating.setdefault(server.service, set()).add(key)
        for service, keys in self._current.items():
            left = self._left.setdefault(service, {})
            for key in keys - current.get(service, set()):
                left[key] = _Left(now_s, self._left_hold_s)
        is_new = any(
            keys - self._current.get(service, frozenset())
            for service, keys in current.items()
        )
        self._current = _frozen(current)
        self._generating = _frozen(generating)
        return is_new

    def merge(
        self,
        service: str,
        recent: Iterable[VersionKey],
        asked_s: float,
        now_s: float,
    ) -> bool:
        """Adds the complete history of a service that another gateway knows.

        Nothing is known of the time between an older one, or one from before
        this gateway's last reading of all records, and the present; nor of
        sources that were added since.

        Args:
            service: The service.
            recent: The versions that may have begun a stream of it.
            asked_s: When the other gateway was asked.
            now_s: The current time.

        Returns:
            Whether it was added.
        """
        since_s = self._followed_since_s
        is_late = now_s - asked_s > CONTACT_LIMIT_S
        if (
            is_late
            or since_s is None
            or asked_s < max(since_s, self._sources_since_s)
        ):
            return False
        left = self._left.setdefault(service, {})
        borrowed = _Left(asked_s, self._left_hold_s)
        for key in recent:
            left[key] = max(left.get(key, borrowed), borrowed)
        self._known_since_s[service] = asked_s - self._complete_after_s
        return True

    def seen(self, service: str, now_s: float) -> SeenVersions:
        """Returns the versions of a service."""
        sources = self._sources_of(service, now_s)
        recent: set[VersionKey | None] = set()
        for name in sources:
            recent |= self._current.get(name, frozenset())
            recent |= self._unexpired(self._left.get(name, {}), now_s).keys()
        # Who lends a history has added those of the sources.
        is_complete = self._is_complete(service, now_s) and (
            service in self._known_since_s
            or all(self._is_complete(source, now_s) for source in sources)
        )
        return SeenVersions(
            self._generating.get(service, frozenset()),
            frozenset(recent),
            is_complete,
        )

    def _sources_of(self, service: str, now_s: float) -> set[str]:
        """Returns a service, and those whose streams may be taken up at it."""
        found, added = {service}, [service]
        while added:
            sources = self._sources.get(added.pop(), {})
            new = self._unexpired(sources, now_s).keys() - found
            found |= new
            added += new
        return found

    def _unexpired(
        self, left: dict[_Key, _Left], now_s: float
    ) -> dict[_Key, _Left]:
        """Removes what no longer counts; returns the rest."""
        for key, (at_s, hold_s) in list(left.items()):
            if now_s - at_s >= max(hold_s, self._left_hold_s):
                del left[key]
        return left

    def name(self, version_key: VersionKey) -> str | None:
        """Returns the name of a version, None if no server here had it."""
        return self._names.get(version_key)

    def _note_name(self, version: str | None) -> VersionKey | None:
        key = key_of(version)
        if key is not None and version is not None:
            self._names[key] = version
        return key

    def _is_complete(self, service: str, now_s: float) -> bool:
        if self._followed_since_s is None:
            return False
        since_s = self._known_since_s.get(service, self._followed_since_s)
        return now_s - since_s >= self._complete_after_s


def _frozen(keys: dict[str, set[_Key]]) -> dict[str, frozenset[_Key]]:
    return {service: frozenset(found) for service, found in keys.items()}

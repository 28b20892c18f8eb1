"""Operations of the key-value client that depend on the service's protocol.

A dialect is the protocol of one kind of key-value service. The functions here
dispatch on the type of their first argument, the dialect, and return the same
types for every dialect. ``EtcdGateway`` is the built-in dialect; adapters
register others.
"""

from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any, NamedTuple, Protocol

from result import Err, Ok, Result

from mulberrywharf import errors
from mulberrywharf.platform_service import service_calls
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    ServiceState,
    WatchEvent,
)

PrefixRead = tuple[list[KeyValue], ServiceState]
"""All keys under a prefix, and the state of the service at that time."""


ChangedKeys = dict[str, KeyValue | None]
"""Keys that have changed, with what they hold now; None for a deleted one."""


class WatchMessage(NamedTuple):
    """One message of a watch.

    Attributes:
        events: Changes, ordered by revision.
        state: State of the service when it sent the message.
        is_confirmation: Whether the message only confirms that the watch was
            opened. Changes up to the revision in ``state`` may then still be
            missing.
        is_canceled: Whether the service no longer has the changes that the
            watch missed.
    """

    events: tuple[WatchEvent, ...]
    state: ServiceState
    is_confirmation: bool = False
    is_canceled: bool = False


class WatchStream(Protocol):
    """Message stream of one watch."""

    def read(self) -> WatchMessage | None:
        """Waits for the next message; returns None at the end of the stream.

        Raises:
            OSError: The connection broke, or no data arrived in time.
            HTTPParseError: The response is not valid HTTP.
            ValueError: The message is malformed.
        """
        ...

    @property
    def is_busy(self) -> bool:
        """Whether a message is being received or is about to be requested."""
        ...

    def close(self) -> None:
        """Ends the watch."""
        ...


class WatchRequest(NamedTuple):
    """Parameters for opening a watch.

    Attributes:
        prefix: Prefix of the keys.
        known_revision: Last revision that the watch has seen.
        known_cluster_id: Cluster id of the service at that revision.
        attempt: Number of the attempt; selects the endpoint.
        silence_timeout_s: Returns the timeout of a read without data, in
            seconds.
        purpose: Call budget that is charged.
        after_failure: Whether the previous attempt received no message.
    """

    prefix: str
    known_revision: int
    known_cluster_id: str
    attempt: int
    silence_timeout_s: Callable[[], float]
    purpose: str
    after_failure: bool = False


@singledispatch
def era_header(dialect: Any) -> str | None:
    """Returns the response header that holds the era of the service.

    Returns None if the service does not report its era in a header.
    """
    return None


@singledispatch
def read_prefix(
    dialect: Any, calls: service_calls.ServiceCalls, prefix: str, purpose: str
) -> Result[PrefixRead, errors.PlatformError]:
    """Reads all keys with a prefix.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        prefix: Prefix of the keys.
        purpose: Call budget that is charged.
    """
    raise TypeError(f"dialect {dialect!r} does not implement read_prefix")


@singledispatch
def read_stale(
    dialect: Any, calls: service_calls.ServiceCalls, prefix: str, purpose: str
) -> Result[PrefixRead, errors.PlatformError]:
    """Reads all keys with a prefix, possibly some seconds out of date.

    This costs less than ``read_prefix`` at services that offer stale reads;
    other services return the current keys.
    """
    return read_prefix(dialect, calls, prefix, purpose)


@singledispatch
def read_key(
    dialect: Any, calls: service_calls.ServiceCalls, key: str, purpose: str
) -> Result[KeyValue | None, errors.PlatformError]:
    """Reads one key; returns ``Ok(None)`` if it does not exist."""
    raise TypeError(f"dialect {dialect!r} does not implement read_key")


@singledispatch
def compare_revisions(
    dialect: Any,
    calls: service_calls.ServiceCalls,
    expected: Sequence[Guard],
    purpose: str,
) -> Result[ChangedKeys, errors.PlatformError]:
    """Reads those of some keys that were written or deleted since a revision.

    Unlike ``read_changes``, it depends on no history of changes.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        expected: The keys and the revisions at which they were written.
        purpose: Call budget that is charged.
    """
    changed: ChangedKeys = {}
    for one in expected:
        read = read_key(dialect, calls, one.key, purpose)
        if isinstance(read, Err):
            return read
        found = read.ok_value
        if (found.mod_revision if found else 0) != one.mod_revision:
            changed[one.key] = found
    return Ok(changed)


@singledispatch
def read_revision(
    dialect: Any,
    calls: service_calls.ServiceCalls,
    key: str,
    purpose: str,
) -> Result[int, errors.PlatformError]:
    """Reads the present revision of the service.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        key: A key; dialects that can't read the revision alone read it.
        purpose: Call budget that is charged.
    """
    return read_prefix(dialect, calls, key, purpose).map(
        lambda read: read[1].revision
    )


@singledispatch
def open_watch(
    dialect: Any, calls: service_calls.ServiceCalls, request: WatchRequest
) -> Result[WatchStream, errors.PlatformError]:
    """Opens a watch.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        request: Parameters of the watch.
    """
    raise TypeError(f"dialect {dialect!r} does not implement open_watch")


@singledispatch
def read_changes(
    dialect: Any,
    calls: service_calls.ServiceCalls,
    prefix: str,
    after_revision: int,
    purpose: str,
) -> Result[WatchMessage, errors.PlatformError]:
    """Reads the changes under a prefix since a revision, without waiting.

    A service without a change history returns every key as a change.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        prefix: Prefix of the keys.
        after_revision: Last revision already known, 0 for none.
        purpose: Call budget that is charged.

    Returns:
        The changes, and the state of the service at some time after the call
        began. ``HistoryGoneError`` if the changes are no longer available.
    """
    return read_prefix(dialect, calls, prefix, purpose).map(_as_changes)


def _as_changes(reading: PrefixRead) -> WatchMessage:
    found, state = reading
    return WatchMessage(tuple(WatchEvent("put", kv) for kv in found), state)


class KeyWrite(NamedTuple):
    """A conditional write or deletion of one key.

    Attributes:
        key: The key.
        value: New value, or None to delete the key.
        guards: Conditions; nothing is written unless all of them hold.
        lease_id: Lease whose expiry deletes the key; 0 for none.
        purpose: Call budget that is charged.
    """

    key: str
    value: bytes | None
    guards: tuple[Guard, ...]
    lease_id: int
    purpose: str


@singledispatch
def write_key(
    dialect: Any, calls: service_calls.ServiceCalls, write: KeyWrite
) -> Result[KeyValue, errors.PlatformError]:
    """Writes or deletes a key if all guards hold.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        write: The write or deletion.

    Returns:
        The key after the write. Its ``create_revision`` is 0 if the key
        existed before and the service does not report it.
        ``RevisionConflictError`` if a guard does not hold.
    """
    raise TypeError(f"dialect {dialect!r} does not implement write_key")


@singledispatch
def grant_lease(
    dialect: Any, calls: service_calls.ServiceCalls, ttl_s: float, purpose: str
) -> Result[int, errors.PlatformError]:
    """Requests a lease and returns its id.

    Args:
        dialect: Dialect of the service.
        calls: Endpoints of the service.
        ttl_s: Length of the lease in seconds.
        purpose: Call budget that is charged.
    """
    raise TypeError(f"dialect {dialect!r} does not implement grant_lease")


@singledispatch
def keep_alive(
    dialect: Any, calls: service_calls.ServiceCalls, lease_id: int, purpose: str
) -> Result[float, errors.PlatformError]:
    """Renews a lease.

    Returns:
        The new time to live in seconds; ``AuthorityLostError`` if the lease
        has expired.
    """
    raise TypeError(f"dialect {dialect!r} does not implement keep_alive")


@singledispatch
def revoke(
    dialect: Any, calls: service_calls.ServiceCalls, lease_id: int, purpose: str
) -> Result[None, errors.PlatformError]:
    """Revokes a lease; the service deletes its keys at once."""
    raise TypeError(f"dialect {dialect!r} does not implement revoke")

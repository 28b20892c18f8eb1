"""How a key-value service is read and watched, whatever it speaks.

The client asks through functions that vary with the dialect's type; what
they return is typed and the same for all. ``EtcdGateway`` is the built-in
dialect; an adapter registers another.
"""

from collections.abc import Callable
from functools import singledispatch
from typing import Any, NamedTuple, Protocol

from result import Result

from mulberrywharf import errors
from mulberrywharf.platform_service import gateway
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    ServiceState,
    WatchEvent,
)

Reading = tuple[list[KeyValue], ServiceState]
"""Every key under a prefix, and where the service stood then."""


class WatchMessage(NamedTuple):
    """What one message of a watch brings.

    Attributes:
        events: Changes in the order of revisions.
        state: Where the service stood.
        is_start: Whether it only confirms the watch; its state then says
            nothing about what the watch has seen.
        is_canceled: Whether the history that the watch missed is dropped.
    """

    events: tuple[WatchEvent, ...]
    state: ServiceState
    is_start: bool = False
    is_canceled: bool = False


class WatchStream(Protocol):
    """The messages of one watch."""

    def read(self) -> WatchMessage | None:
        """Waits for the next message; None at the end of the stream.

        Raises:
            OSError: The connection broke or was silent for too long.
            HTTPParseError: The answer is not HTTP.
            ValueError: The message is malformed.
        """
        ...

    @property
    def is_busy(self) -> bool:
        """Whether a message comes just now, or is about to be asked for."""
        ...

    def close(self) -> None:
        """Ends the watch at the service."""
        ...


class WatchRequest(NamedTuple):
    """A watch to be opened.

    Attributes:
        prefix: Beginning of the keys.
        known_revision: The last revision that was seen.
        known_cluster_id: The service that it was seen at.
        attempt: Chooses the endpoint.
        silence_s: Returns after how long without a byte a read fails.
        purpose: Whose budget pays.
        after_failure: Whether the last attempt brought nothing.
    """

    prefix: str
    known_revision: int
    known_cluster_id: str
    attempt: int
    silence_s: Callable[[], float]
    purpose: str
    after_failure: bool = False


@singledispatch
def era_header(dialect: Any) -> str | None:
    """Returns the field of an answer's head that tells the service's era.

    None for a service that tells its history in another way, or none.
    """
    return None


@singledispatch
def read_prefix(
    dialect: Any, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[Reading, errors.PlatformError]:
    """Reads every key that begins with ``prefix``.

    Args:
        dialect: What the service speaks.
        calls: Its endpoints.
        prefix: Beginning of the keys.
        purpose: Whose budget pays.
    """
    raise TypeError(f"no reading in the dialect {dialect!r}")


@singledispatch
def read_stale(
    dialect: Any, calls: gateway.Gateway, prefix: str, purpose: str
) -> Result[Reading, errors.PlatformError]:
    """Reads a prefix as it was some seconds ago, where that costs less.

    A service without such reads answers with the present.
    """
    return read_prefix(dialect, calls, prefix, purpose)


@singledispatch
def read_key(
    dialect: Any, calls: gateway.Gateway, key: str, purpose: str
) -> Result[KeyValue | None, errors.PlatformError]:
    """Reads one key; ``Ok(None)`` if it does not exist."""
    raise TypeError(f"no reading in the dialect {dialect!r}")


@singledispatch
def open_watch(
    dialect: Any, calls: gateway.Gateway, wanted: WatchRequest
) -> Result[WatchStream, errors.PlatformError]:
    """Opens a watch.

    Args:
        dialect: What the service speaks.
        calls: Its endpoints.
        wanted: What to watch.
    """
    raise TypeError(f"no watch in the dialect {dialect!r}")


@singledispatch
def read_changes(
    dialect: Any,
    calls: gateway.Gateway,
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
    return read_prefix(dialect, calls, prefix, purpose).map(_reading_as_changes)


def _reading_as_changes(reading: Reading) -> WatchMessage:
    found, state = reading
    return WatchMessage(tuple(WatchEvent("put", kv) for kv in found), state)


class KeyWrite(NamedTuple):
    """A key to be written, or deleted, if all guards are as expected.

    Attributes:
        key: The key.
        value: Its new value, None to delete it.
        guards: Keys and their revisions that must hold; 0 for absent.
        lease_id: The key goes when this lease lapses; 0 for none.
        purpose: Whose budget pays.
    """

    key: str
    value: bytes | None
    guards: tuple[Guard, ...]
    lease_id: int
    purpose: str


@singledispatch
def write_key(
    dialect: Any, calls: gateway.Gateway, wanted: KeyWrite
) -> Result[KeyValue, errors.PlatformError]:
    """Writes or deletes a key and returns it as it is then.

    The ``create_revision`` is 0 where a service doesn't tell that of a key
    which existed before.

    Args:
        dialect: What the service speaks.
        calls: Its endpoints.
        wanted: What to write; a guard that does not hold is a
            ``RevisionConflictError``.
    """
    raise TypeError(f"no write in the dialect {dialect!r}")


@singledispatch
def grant_lease(
    dialect: Any, calls: gateway.Gateway, ttl_s: float, purpose: str
) -> Result[int, errors.PlatformError]:
    """Asks for a lease of at least the length and returns its id."""
    raise TypeError(f"no leases in the dialect {dialect!r}")


@singledispatch
def keep_alive(
    dialect: Any, calls: gateway.Gateway, lease_id: int, purpose: str
) -> Result[float, errors.PlatformError]:
    """Renews a lease and returns its new length in seconds.

    A lease that has lapsed is an ``AuthorityLostError``.
    """
    raise TypeError(f"no leases in the dialect {dialect!r}")


@singledispatch
def revoke(
    dialect: Any, calls: gateway.Gateway, lease_id: int, purpose: str
) -> Result[None, errors.PlatformError]:
    """Ends a lease; the service deletes its keys at once."""
    raise TypeError(f"no leases in the dialect {dialect!r}")

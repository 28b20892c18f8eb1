"""Client of the platform's key-value service, for any dialect.

A read is retried at each endpoint in turn. A write is retried only if the
service has certainly not executed it. If the response to a write is lost, the
caller gets ``WriteOutcomeUnknownError`` and must read the key to find out.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Err, Result

from mulberrywharf import clock, errors, settings
from mulberrywharf.platform_service import call_budget, etcd, service_calls
from mulberrywharf.platform_service import dialect as dialect_module
from mulberrywharf.platform_service import watch as watch_module
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    WatchEvent,
)

__all__ = ["Guard", "KeyValue", "KeyValueClient", "WatchEvent"]

VALUE_LIMIT_BYTES = 1_000_000

COMPARE_LIMIT_COUNT = 32
"""Most keys in one comparison, the limit of the platform's store."""

_DEFAULT_CALL_TIMEOUT_S = 2.0


class KeyValueClient:
    """Client of the key-value service.

    Calls are counted and budgeted by purpose.
    """

    def __init__(
        self,
        endpoints: Sequence[settings.Endpoint],
        *,
        timeout_s: float = _DEFAULT_CALL_TIMEOUT_S,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None = None,
        system_clock: clock.Clock | None = None,
        dialect: Any = None,
    ):
        """Creates a client; connections open with the first call.

        Args:
            endpoints: Endpoints of the service, tried in order.
            timeout_s: Timeout of one call, in seconds.
            purpose_budgets: Call budget of each purpose.
            system_clock: Monotonic clock; the system's if None.
            dialect: Dialect of the service; None for etcd's JSON gateway.
        """
        self._dialect = dialect or etcd.EtcdGateway()
        self._gateway = service_calls.ServiceCalls(
            endpoints,
            timeout_s=timeout_s,
            purpose_budgets=purpose_budgets,
            system_clock=system_clock or clock.SystemClock(),
            era_header=dialect_module.era_header(self._dialect),
        )
        self._gateway.era.on_restored(self._resync_watches)
        self._watches: list[watch_module.Watch] = []

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None = None,
    ) -> "KeyValueClient":
        """Creates a client from settings.

        Args:
            config: Settings of the process.
            purpose_budgets: Call budget of each purpose; other purposes get
                ``call_budget.DEFAULT_BUDGET``.
        """
        platform = config["platform"]
        return cls(
            platform["key_value"],
            timeout_s=platform.get("call_timeout_s", _DEFAULT_CALL_TIMEOUT_S),
            purpose_budgets=purpose_budgets,
        )

    def start(self) -> None:
        """Does nothing; connections open with the first call."""

    def close(self) -> None:
        """Closes all watches and connections."""
        for watch in list(self._watches):
            watch.close()
        self._watches.clear()
        self._gateway.close()

    def age_s(self) -> float:
        """Returns the seconds since the service last worked, or inf.

        Successful calls and watch messages count; rejected calls don't, as a
        service that rejects everything is as good as unavailable. In a process
        that sends no calls only watches update this value, and they may be
        silent for up to their silence timeout.
        """
        return self._gateway.age_s()

    def contact_age_s(self) -> float:
        """Returns the age of what the newest answer to a call says, or inf.

        Unlike ``age_s``, it is counted from when the call was sent.
        """
        return self._gateway.contact_age_s()

    def outage_age_s(self) -> float:
        """Returns the seconds since the service's last outage ended, or inf.

        During an outage, calls of this process fail; ``outage.LastOutage``
        estimates when it ended.
        """
        return self._gateway.outage_age_s()

    @property
    def era(self) -> int:
        """Newest era of the service seen in a response."""
        return self._gateway.era.current

    def restored_age_s(self) -> float:
        """Returns the seconds since the last restore was seen, or inf."""
        return self._gateway.restored_age_s()

    def on_restored(self, callback: Callable[[], None]) -> None:
        """Registers a callback for restores of the service from an older copy.

        After a restore, earlier leases and their keys are gone, revisions may
        be assigned again, and a key may have an older value than one already
        seen.
        """
        self._gateway.era.on_restored(callback)

    def remove_on_restored(self, callback: Callable[[], None]) -> None:
        """Removes a callback registered with ``on_restored``."""
        self._gateway.era.remove_callback(callback)

    def _resync_watches(self) -> None:
        for watch in self._watches:
            watch.resync()

    def get(
        self, key: str, *, purpose: str
    ) -> Result[KeyValue | None, errors.PlatformError]:
        """Reads one key; returns ``Ok(None)`` if it does not exist."""
        return dialect_module.read_key(
            self._dialect, self._gateway, key, purpose
        )

    def get_prefix(
        self, prefix: str, *, purpose: str
    ) -> Result[list[KeyValue], errors.PlatformError]:
        """Reads all keys with a prefix."""
        return self.read_for_watch(prefix, purpose=purpose).map(
            lambda reading: reading[0]
        )

    def get_prefix_stale(
        self, prefix: str, *, purpose: str
    ) -> Result[list[KeyValue], errors.PlatformError]:
        """Reads all keys with a prefix, possibly some seconds out of date.

        At services that offer stale reads this costs less than ``get_prefix``.
        """
        return dialect_module.read_stale(
            self._dialect, self._gateway, prefix, purpose
        ).map(lambda reading: reading[0])

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: int = 0,
        guards: Sequence[Guard] = (),
        purpose: str,
    ) -> Result[KeyValue, errors.PlatformError]:
        """Writes a key if its revision is as expected and all guards hold.

        Args:
            key: The key to write.
            value: At most ``VALUE_LIMIT_BYTES``.
            expected_revision: The key's ``mod_revision``, 0 to create it.
            lease_id: Lease whose expiry deletes the key; 0 for none.
            guards: Other keys that must not have changed, such as the key
                that proves this process's authority.
            purpose: Call budget that is charged.

        Returns:
            The written key; ``RevisionConflictError`` with the key that has
            changed; ``WriteOutcomeUnknownError`` if the response was lost; or
            another ``PlatformError`` if nothing was written.
        """
        if len(value) > VALUE_LIMIT_BYTES:
            message = f"{key}: a value of {len(value)} bytes exceeds the limit"
            return Err(errors.PlatformRefusedError(message))
        return dialect_module.write_key(
            self._dialect,
            self._gateway,
            dialect_module.KeyWrite(
                key,
                value,
                (Guard(key, expected_revision), *guards),
                lease_id,
                purpose,
            ),
        )

    def delete(
        self,
        key: str,
        *,
        purpose: str,
        expected_revision: int | None = None,
        guards: Sequence[Guard] = (),
    ) -> Result[int, errors.PlatformError]:
        """Deletes a key if its revision is as expected and all guards hold.

        Args:
            key: The key to delete; it is no error if it does not exist.
            purpose: Call budget that is charged.
            expected_revision: The key's ``mod_revision``, None for any.
            guards: As in ``compare_and_swap``.

        Returns:
            The revision of the service after the deletion, or the errors of
            ``compare_and_swap``.
        """
        conditions = list(guards)
        if expected_revision is not None:
            conditions.insert(0, Guard(key, expected_revision))
        return dialect_module.write_key(
            self._dialect,
            self._gateway,
            dialect_module.KeyWrite(key, None, tuple(conditions), 0, purpose),
        ).map(lambda deleted: deleted.mod_revision)

    def grant_lease(
        self, ttl_s: float, *, purpose: str
    ) -> Result[int, errors.PlatformError]:
        """Requests a lease and returns its id.

        Args:
            ttl_s: Time to live in seconds. A service that counts in whole
                seconds gets it rounded down, to at least 1 s.
            purpose: Call budget that is charged.
        """
        return dialect_module.grant_lease(
            self._dialect, self._gateway, ttl_s, purpose
        )

    def keep_alive(
        self, lease_id: int, *, purpose: str
    ) -> Result[float, errors.PlatformError]:
        """Renews a lease.

        Returns:
            The new time to live in seconds, which the service counts from
            when it received the renewal; ``AuthorityLostError`` if the lease
            has expired.
        """
        return dialect_module.keep_alive(
            self._dialect, self._gateway, lease_id, purpose
        )

    def revoke(
        self, lease_id: int, *, purpose: str
    ) -> Result[None, errors.PlatformError]:
        """Revokes a lease; the service deletes its keys at once."""
        return dialect_module.revoke(
            self._dialect, self._gateway, lease_id, purpose
        )

    def watch(
        self,
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        *,
        purpose: str,
        timeouts: Callable[
            [], watch_module.WatchTimeouts
        ] = watch_module.WatchTimeouts,
        on_reported: Callable[[], None] = lambda: None,
    ) -> watch_module.Watch:
        """Starts a watch that reports existing keys, then each change.

        After an interruption the watch resumes where it stopped; see
        ``watch.Watch`` for its guarantees.

        Args:
            prefix: Prefix of the keys.
            on_change: Called in the watch's greenlet, one event at a time.
            purpose: Call budget that is charged.
            timeouts: Returns the current timeouts of the watch.
            on_reported: Called after the events of one reading or message.

        Returns:
            The running watch. Its owner closes it, or it closes with the
            client.
        """
        watch = watch_module.Watch(
            self,
            prefix,
            on_change,
            purpose=purpose,
            timeouts=timeouts,
            on_reported=on_reported,
        )
        self._watches.append(watch)
        watch.start()
        return watch

    def remove_watch(self, watch: watch_module.Watch) -> None:
        """Removes a watch that its owner has closed."""
        if watch in self._watches:
            self._watches.remove(watch)

    def record_watch_message(self) -> None:
        """Records a watch message as a sign that the service works."""
        self._gateway.record_success()

    def read_for_watch(
        self, prefix: str, *, purpose: str
    ) -> Result[dialect_module.PrefixRead, errors.PlatformError]:
        """Reads all keys with a prefix, and the state of the service."""
        return dialect_module.read_prefix(
            self._dialect, self._gateway, prefix, purpose
        )

    def read_changes(
        self, prefix: str, *, after_revision: int, purpose: str
    ) -> Result[dialect_module.WatchMessage, errors.PlatformError]:
        """Reads the changes under a prefix since a revision, without waiting.

        Args:
            prefix: Prefix of the keys.
            after_revision: Revision from an earlier answer in the same era.
            purpose: Call budget that is charged.

        Returns:
            The changes; ``HistoryGoneError`` if they are no longer available.
        """
        return dialect_module.read_changes(
            self._dialect, self._gateway, prefix, after_revision, purpose
        )

    def compare_revisions(
        self, expected: Sequence[Guard], *, purpose: str
    ) -> Result[dialect_module.ChangedKeys, errors.PlatformError]:
        """Reads those of some keys that were written or deleted since.

        It depends on no history of changes, and reads no unchanged value at
        services that can compare revisions.

        Args:
            expected: At most ``COMPARE_LIMIT_COUNT`` keys and the revisions, of
                the present era, at which they were written.
            purpose: Call budget that is charged.
        """
        return dialect_module.compare_revisions(
            self._dialect, self._gateway, expected, purpose
        )

    def read_revision(
        self, key: str, *, purpose: str
    ) -> Result[int, errors.PlatformError]:
        """Reads the service's revision, which rises with each change of a key.

        Args:
            key: A key that services without such a call read.
            purpose: Call budget that is charged.
        """
        return dialect_module.read_revision(
            self._dialect, self._gateway, key, purpose
        )

    def open_watch(
        self, request: dialect_module.WatchRequest
    ) -> Result[dialect_module.WatchStream, errors.PlatformError]:
        """Opens the message stream of one watch."""
        return dialect_module.open_watch(self._dialect, self._gateway, request)

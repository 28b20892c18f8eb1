"""Client of the platform's key-value service, whatever dialect it speaks.

Reads are tried at every endpoint in turn. A write is tried again only while
it is certain that nothing was written; when its answer is lost the caller
gets ``WriteOutcomeUnknownError`` and reads back before it decides.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Err, Result

from mulberrywharf import clock, errors, settings
from mulberrywharf.platform_service import call_budget, etcd, gateway
from mulberrywharf.platform_service import dialect as dialect_module
from mulberrywharf.platform_service import watch as watch_module
from mulberrywharf.platform_service.key_value_types import (
    Guard,
    KeyValue,
    WatchEvent,
)

__all__ = ["Guard", "KeyValue", "KeyValueClient", "WatchEvent"]

VALUE_LIMIT_BYTES = 1_000_000

_DEFAULT_CALL_TIMEOUT_S = 2.0


class KeyValueClient:
    """Calls to the key-value service, counted and budgeted by purpose."""

    def __init__(
        self,
        endpoints: Sequence[settings.Endpoint],
        *,
        timeout_s: float = _DEFAULT_CALL_TIMEOUT_S,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None = None,
        system_clock: clock.Clock | None = None,
        dialect: Any = None,
    ):
        """Makes a client; connections open with the first call.

        Args:
            endpoints: Where the service answers, tried in order.
            timeout_s: For one call.
            purpose_budgets: Budget of each purpose.
            system_clock: Measures how old the last answer is.
            dialect: What the service speaks, None for etcd's gateway.
        """
        self._dialect = dialect or etcd.EtcdGateway()
        self._gateway = gateway.Gateway(
            endpoints,
            timeout_s=timeout_s,
            purpose_budgets=purpose_budgets,
            system_clock=system_clock or clock.SystemClock(),
            era_header=dialect_module.era_header(self._dialect),
        )
        self._gateway.era.on_restored(self._restart_watches)
        self._watches: list[watch_module.Watch] = []

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        purpose_budgets: Mapping[str, call_budget.CallBudget] | None = None,
    ) -> "KeyValueClient":
        """Builds the client that the settings describe.

        Args:
            config: Settings of the process.
            purpose_budgets: Budget of each purpose; others get
                ``call_budget.DEFAULT_BUDGET``.
        """
        platform = config["platform"]
        return cls(
            platform["key_value"],
            timeout_s=platform.get("call_timeout_s", _DEFAULT_CALL_TIMEOUT_S),
            purpose_budgets=purpose_budgets,
        )

    def start(self) -> None:
        """Opens nothing: connections open with the first call."""

    def close(self) -> None:
        """Ends every watch and closes the connections."""
        for watch in list(self._watches):
            watch.close()
        self._watches.clear()
        self._gateway.close()

    def age_s(self) -> float:
        """Returns how long ago the service last answered, inf before.

        Only calls that it carried out count, and what watches bring: a
        service that refuses everything is as good as away. A process that
        has nothing to ask learns only from its watches, which may be quiet
        for up to ``watch.REOPEN_S``.
        """
        return self._gateway.age_s()

    def trouble_age_s(self) -> float:
        """Returns how long ago the service's last outage ended, inf before.

        An outage is a time in which calls of this process were not carried
        out; see ``outage.LastOutage`` for how its end is told.
        """
        return self._gateway.trouble_age_s()

    @property
    def era(self) -> int:
        """The newest era of the service that an answer has shown."""
        return self._gateway.era.current

    def restored_age_s(self) -> float:
        """Returns how long ago the service came back from an older copy."""
        return self._gateway.restored_age_s()

    def on_restored(self, callback: Callable[[], None]) -> None:
        """Calls back each time that the service is back from an older copy.

        Leases and keys of before are gone by then, revisions may be given out
        again, and an older value may stand where a newer one was seen.
        """
        self._gateway.era.on_restored(callback)

    def forget_restored(self, callback: Callable[[], None]) -> None:
        """Takes a callback of ``on_restored`` back."""
        self._gateway.era.forget(callback)

    def _restart_watches(self) -> None:
        for watch in self._watches:
            watch.start_anew()

    def get(
        self, key: str, *, purpose: str
    ) -> Result[KeyValue | None, errors.PlatformError]:
        """Reads one key; ``Ok(None)`` if it does not exist."""
        return dialect_module.read_key(
            self._dialect, self._gateway, key, purpose
        )

    def get_prefix(
        self, prefix: str, *, purpose: str
    ) -> Result[list[KeyValue], errors.PlatformError]:
        """Reads every key that begins with ``prefix``."""
        return self.read_for_watch(prefix, purpose=purpose).map(
            lambda reading: reading[0]
        )

    def get_prefix_stale(
        self, prefix: str, *, purpose: str
    ) -> Result[list[KeyValue], errors.PlatformError]:
        """Reads a prefix as it was some seconds ago, where that costs less."""
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
        """Writes a key if it and all guards are as expected.

        Args:
            key: The key to write.
            value: At most ``VALUE_LIMIT_BYTES``.
            expected_revision: The key's ``mod_revision``, 0 to create it.
            lease_id: The key is deleted when this lease lapses; 0 for none.
            guards: Other keys that must not have changed, such as the key
                that proves this process's authority.
            purpose: Whose budget pays.

        Returns:
            The key as written; ``RevisionConflictError`` with the key that
            had changed; ``WriteOutcomeUnknownError`` if the answer was lost;
            another ``PlatformError`` if nothing was written.
        """
        if len(value) > VALUE_LIMIT_BYTES:
            message = f"{key}: {len(value)} bytes exceed the service's limit"
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
        """Deletes a key, if it and all guards are as expected.

        Args:
            key: The key to delete; an absent one is no failure.
            purpose: Whose budget pays.
            expected_revision: Its ``mod_revision``, None for any.
            guards: As in ``compare_and_swap``.

        Returns:
            The service's revision, or the failures of ``compare_and_swap``.
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
        """Asks for a lease and returns its id.

        Args:
            ttl_s: Its length; the service counts in whole seconds, so a
                part of a second is dropped, and at least one is asked for.
            purpose: Whose budget pays.
        """
        return dialect_module.grant_lease(
            self._dialect, self._gateway, ttl_s, purpose
        )

    def keep_alive(
        self, lease_id: int, *, purpose: str
    ) -> Result[float, errors.PlatformError]:
        """Renews a lease.

        Returns:
            Its new length in seconds, counted by the service from when it
            received the renewal; ``AuthorityLostError`` if it has lapsed.
        """
        return dialect_module.keep_alive(
            self._dialect, self._gateway, lease_id, purpose
        )

    def revoke(
        self, lease_id: int, *, purpose: str
    ) -> Result[None, errors.PlatformError]:
        """Ends a lease; the service deletes its keys at once."""
        return dialect_module.revoke(
            self._dialect, self._gateway, lease_id, purpose
        )

    def watch(
        self,
        prefix: str,
        on_change: Callable[[WatchEvent], None],
        *,
        purpose: str,
        patience: Callable[[], watch_module.Patience] = watch_module.Patience,
    ) -> watch_module.Watch:
        """Calls back for each key under ``prefix``, now and on each change.

        Keys that exist are reported first. After a cut the watch resumes
        where it stopped; see ``watch.Watch`` for what it promises.

        Args:
            prefix: Beginning of the keys.
            on_change: Called in the watch's greenlet, one event at a time.
            purpose: Whose budget pays for opening and reading.
            patience: Returns how long it waits now.

        Returns:
            The running watch, to be closed by its owner or with the client.
        """
        watch = watch_module.Watch(
            self, prefix, on_change, purpose=purpose, patience=patience
        )
        self._watches.append(watch)
        watch.start()
        return watch

    def forget_watch(self, watch: watch_module.Watch) -> None:
        """Drops a watch that its owner has closed."""
        if watch in self._watches:
            self._watches.remove(watch)

    def note_watch_message(self) -> None:
        """Counts a message of a watch as an answer of the service."""
        self._gateway.note_answer()

    def read_for_watch(
        self, prefix: str, *, purpose: str
    ) -> Result[dialect_module.Reading, errors.PlatformError]:
        """Reads a prefix and where the service stood then."""
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

    def open_watch(
        self, wanted: dialect_module.WatchRequest
    ) -> Result[dialect_module.WatchStream, errors.PlatformError]:
        """Opens the stream of one watch at the endpoint of this attempt."""
        return dialect_module.open_watch(self._dialect, self._gateway, wanted)

"""A lease held at the key-value service, and until when it is surely held.

The service counts a lease from when it received the renewal. This process
counts it from before the renewal was sent, which is earlier: so it gives up
the lease before the service can grant its keys to another.
"""

import random
from collections.abc import Callable

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors
from mulberrywharf.platform_service import http_calls, key_value

_NEVER_S = float("-inf")
_RENEWALS_IN_TTL_COUNT = 3
_RENEWAL_JITTER_SHARE = 0.2
_RETRY_BASE_S = 0.1
_RETRIES_IN_TTL_COUNT = 6
_CREATE_ATTEMPTS_COUNT = 4

RenewedCallback = Callable[[float], None]
LostCallback = Callable[[errors.AuthorityLostError], None]


class LeaseHolder:
    """Grants itself a lease, renews it and tells when it is lost.

    A lost lease stays lost; whoever wants authority again builds another
    holder. ``valid_until_monotonic_s`` must be compared with the clock
    immediately before each act that needs the lease: a process that was
    paused wakes with this object unchanged and the lease long gone.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        *,
        ttl_s: float,
        purpose: str,
        on_renewed: RenewedCallback | None = None,
        on_lost: LostCallback | None = None,
        system_clock: clock.Clock | None = None,
    ):
        """Prepares a holder.

        Args:
            client: The service.
            ttl_s: Length of the lease; whole seconds are asked for.
            purpose: Whose call budget pays.
            on_renewed: Called with the new ``valid_until_monotonic_s`` after
                the grant and each renewal.
            on_lost: Called once when the lease lapses without ``close``.
            system_clock: Clock of the process.
        """
        self._client = client
        self._ttl_s = float(max(1, int(ttl_s)))
        self._purpose = purpose
        self._on_renewed = on_renewed
        self._on_lost = on_lost
        self._clock = system_clock or clock.SystemClock()
        self._lease_id = 0
        self._valid_until_s = _NEVER_S
        self._is_lost = False
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def lease_id(self) -> int:
        """The lease, 0 before ``start`` and after it was lost or closed."""
        return self._lease_id

    @property
    def valid_until_monotonic_s(self) -> float:
        """Until when the lease is surely held; -inf if it is not held."""
        return self._valid_until_s

    def is_valid(self) -> bool:
        """Tells whether the lease is surely held at this instant."""
        return self._clock.monotonic_s() < self._valid_until_s

    def start(self) -> Result[int, errors.PlatformError]:
        """Asks for the lease, then keeps it alive.

        Returns:
            The lease id, or why there is none; then ``start`` may be called
            again.
        """
        sent_s = self._clock.monotonic_s()
        granted = self._client.grant_lease(self._ttl_s, purpose=self._purpose)
        if isinstance(granted, Err):
            return granted
        self._lease_id = granted.ok_value
        self._client.on_restored(self._on_restored)
        self._extend(sent_s, self._ttl_s)
        self._greenlets = [
            gevent.spawn(self._renew_for_ever),
            gevent.spawn(self._wait_for_lapse),
        ]
        return granted

    def close(self) -> None:
        """Gives the lease back; the service deletes its keys."""
        gevent.killall(self._greenlets)
        lease_id = self._lease_id
        self._forget()
        if lease_id:
            self._client.revoke(lease_id, purpose=self._purpose)

    def create_key(
        self, key: str, value: bytes
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        """Creates a key under the lease, if nobody has it.

        A lost answer is resolved by reading the key back: it is this
        holder's if it lives under this lease. Where the reading finds no
        key, the write may still be on its way, so the same create is sent
        again rather than given up; only one of the two can take effect.

        Returns:
            The key, whose ``create_revision`` rises from holder to holder;
            ``RevisionConflictError`` if another has it.
        """
        failure: errors.PlatformError = errors.AuthorityLostError("no lease")
        for _ in range(_CREATE_ATTEMPTS_COUNT):
            if not self.is_valid():
                return Err(errors.AuthorityLostError(f"{key}: no valid lease"))
            created = self._client.compare_and_swap(
                key,
                value,
                expected_revision=0,
                lease_id=self._lease_id,
                purpose=self._purpose,
            )
            if isinstance(created, Ok):
                return created
            failure = created.err_value
            if not isinstance(
                failure,
                errors.WriteOutcomeUnknownError | errors.RevisionConflictError,
            ):
                return Err(failure)
            read = self._client.get(key, purpose=self._purpose)
            if isinstance(read, Ok) and read.ok_value is not None:
                return self._own_or_conflict(read.ok_value)
        return Err(failure)

    def _own_or_conflict(
        self, found: key_value.KeyValue
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        if self._lease_id and found.lease_id == self._lease_id:
            return Ok(found)
        return Err(errors.RevisionConflictError(found.key))

    def _renew_for_ever(self) -> None:
        failures_count = 0
        while not self._is_lost:
            gevent.sleep(self._pause_s(failures_count))
            sent_s = self._clock.monotonic_s()
            if sent_s >= self._valid_until_s:
                self._lose("it was not renewed in time")
                return
            kept = self._client.keep_alive(
                self._lease_id, purpose=self._purpose
            )
            if isinstance(kept, Ok):
                failures_count = 0
                self._extend(sent_s, kept.ok_value)
            elif isinstance(kept.err_value, errors.AuthorityLostError):
                self._lose("the service says that it lapsed")
            else:
                failures_count += 1
                logger.warning("lease not renewed: {}", kept.err_value)

    def _pause_s(self, failures_count: int) -> float:
        if failures_count:
            return http_calls.full_jitter_s(
                failures_count,
                base_s=_RETRY_BASE_S,
                limit_s=self._ttl_s / _RETRIES_IN_TTL_COUNT,
            )
        jitter = random.uniform(1.0 - _RENEWAL_JITTER_SHARE, 1.0)
        return self._ttl_s / _RENEWALS_IN_TTL_COUNT * jitter

    def _wait_for_lapse(self) -> None:
        """Loses the lease on time, also while a renewal waits for an answer.

        A renewal in an outage may block for longer than the lease lasts;
        left to it, the callback would come after another holder's grant.
        """
        while not self._is_lost:
            left_s = self._valid_until_s - self._clock.monotonic_s()
            if left_s <= 0:
                self._lose("it was not renewed in time")
                return
            gevent.sleep(left_s)

    def _extend(self, sent_s: float, ttl_s: float) -> None:
        if self._is_lost:
            return
        self._valid_until_s = max(self._valid_until_s, sent_s + ttl_s)
        if self._on_renewed is not None:
            self._on_renewed(self._valid_until_s)

    def _on_restored(self) -> None:
        # The service has lost the lease and its keys, and may give them to
        # another any moment. It may give out the same id again, too: renewed,
        # this one would look alive.
        self._lose("the service is back from an older copy")

    def _lose(self, reason: str) -> None:
        if self._is_lost:
            return
        message = f"lease {self._lease_id} of {self._purpose}: {reason}"
        self._forget()
        logger.warning("{}", message)
        if self._on_lost is not None:
            self._on_lost(errors.AuthorityLostError(message))

    def _forget(self) -> None:
        self._client.forget_restored(self._on_restored)
        self._is_lost = True
        self._lease_id = 0
        self._valid_until_s = _NEVER_S

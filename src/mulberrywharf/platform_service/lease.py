"""Holds a lease at the key-value service and tracks until when it is valid.

The service counts the time to live from when it receives a grant or renewal.
This process counts it from before it sends the call, which is earlier. So it
gives up the lease before the service can give its keys to another holder.
"""

import random
from collections.abc import Callable

import gevent
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors
from mulberrywharf.platform_service import http_calls, key_value

_NOT_HELD_S = float("-inf")
_RENEWALS_PER_TTL_COUNT = 3
_RENEWAL_JITTER_SHARE = 0.2
_RETRY_BASE_S = 0.1
_RETRIES_PER_TTL_COUNT = 6
_CREATE_ATTEMPTS_COUNT = 4

RenewedCallback = Callable[[float], None]
LostCallback = Callable[[errors.AuthorityLostError], None]


class LeaseHolder:
    """Acquires a lease, renews it and reports its loss.

    A lost lease is not acquired again; create a new holder for that. Compare
    ``valid_until_monotonic_s`` with the clock immediately before each action
    that needs the lease: if the process was paused, the lease may have expired
    although nothing in this object has changed yet.
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
        """Creates a holder; ``start`` acquires the lease.

        Args:
            client: Client of the key-value service.
            ttl_s: Time to live in seconds, rounded down to whole seconds, at
                least 1 s.
            purpose: Call budget that is charged.
            on_renewed: Called with the new ``valid_until_monotonic_s`` after
                the grant and each renewal.
            on_lost: Called once if the lease is lost without ``close``.
            system_clock: Monotonic clock; the system's if None.
        """
        self._client = client
        self._ttl_s = float(max(1, int(ttl_s)))
        self._purpose = purpose
        self._on_renewed = on_renewed
        self._on_lost = on_lost
        self._clock = system_clock or clock.SystemClock()
        self._lease_id = 0
        self._valid_until_s = _NOT_HELD_S
        self._is_lost = False
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def lease_id(self) -> int:
        """Id of the lease; 0 before ``start``, after a loss and if closed."""
        return self._lease_id

    @property
    def valid_until_monotonic_s(self) -> float:
        """Monotonic time until which the lease is valid; -inf if not held."""
        return self._valid_until_s

    def is_valid(self) -> bool:
        """Returns whether the lease is certainly still held now."""
        return self._clock.monotonic_s() < self._valid_until_s

    def start(self) -> Result[int, errors.PlatformError]:
        """Acquires the lease and starts to renew it.

        Returns:
            The lease id, or the error; after an error, ``start`` may be called
            again.
        """
        sent_s = self._clock.monotonic_s()
        granted = self._client.grant_lease(self._ttl_s, purpose=self._purpose)
        if isinstance(granted, Err):
            return granted
        self._lease_id = granted.ok_value
        self._client.on_restored(self._on_restored)
        self._extend_validity(sent_s, self._ttl_s)
        self._greenlets = [
            gevent.spawn(self._renew_until_lost),
            gevent.spawn(self._wait_for_expiry),
        ]
        return granted

    def close(self) -> None:
        """Revokes the lease; the service deletes its keys."""
        gevent.killall(self._greenlets)
        lease_id = self._lease_id
        self._clear()
        if lease_id:
            self._client.revoke(lease_id, purpose=self._purpose)

    def create_key(
        self, key: str, value: bytes
    ) -> Result[key_value.KeyValue, errors.PlatformError]:
        """Creates a key attached to the lease, if the key does not exist.

        If the response is lost, the key is read back: it belongs to this
        holder if it is attached to this lease. If it does not exist, the
        write may still be in transit, so the same create is sent again; only
        one of the two can take effect.

        Returns:
            The key, whose ``create_revision`` increases from holder to
            holder; ``RevisionConflictError`` if another holder has the key.
        """
        failure: errors.PlatformError = errors.AuthorityLostError(
            "no lease is held"
        )
        for _ in range(_CREATE_ATTEMPTS_COUNT):
            if not self.is_valid():
                return Err(
                    errors.AuthorityLostError(f"{key}: the lease is not valid")
                )
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

    def _renew_until_lost(self) -> None:
        failures_count = 0
        while not self._is_lost:
            gevent.sleep(self._pause_s(failures_count))
            sent_s = self._clock.monotonic_s()
            if sent_s >= self._valid_until_s:
                self._mark_lost("not renewed in time")
                return
            renewed = self._client.keep_alive(
                self._lease_id, purpose=self._purpose
            )
            if isinstance(renewed, Ok):
                failures_count = 0
                self._extend_validity(sent_s, renewed.ok_value)
            elif isinstance(renewed.err_value, errors.AuthorityLostError):
                self._mark_lost("the service reported that it has expired")
            else:
                failures_count += 1
                logger.warning("lease not renewed: {}", renewed.err_value)

    def _pause_s(self, failures_count: int) -> float:
        if failures_count:
            return http_calls.full_jitter_s(
                failures_count,
                base_s=_RETRY_BASE_S,
                limit_s=self._ttl_s / _RETRIES_PER_TTL_COUNT,
            )
        jitter = random.uniform(1.0 - _RENEWAL_JITTER_SHARE, 1.0)
        return self._ttl_s / _RENEWALS_PER_TTL_COUNT * jitter

    def _wait_for_expiry(self) -> None:
        """Marks the lease as lost when it expires, even during a renewal.

        In an outage, a renewal may block for longer than the lease lasts. If
        the loss were reported only afterwards, another holder could already
        have the lease's keys.
        """
        while not self._is_lost:
            left_s = self._valid_until_s - self._clock.monotonic_s()
            if left_s <= 0:
                self._mark_lost("not renewed in time")
                return
            gevent.sleep(left_s)

    def _extend_validity(self, sent_s: float, ttl_s: float) -> None:
        if self._is_lost:
            return
        # A lease that the service states to be longer may not be.
        self._valid_until_s = max(
            self._valid_until_s, sent_s + min(ttl_s, self._ttl_s)
        )
        if self._on_renewed is not None:
            self._on_renewed(self._valid_until_s)

    def _on_restored(self) -> None:
        # The restored service no longer has the lease, and may give its keys
        # to another holder at any moment. It may also assign the same lease id
        # again, so that renewing this lease would seem to succeed.
        self._mark_lost("the service was restored from an older copy")

    def _mark_lost(self, reason: str) -> None:
        if self._is_lost:
            return
        message = f"lease {self._lease_id} of {self._purpose}: {reason}"
        self._clear()
        logger.warning("{}", message)
        if self._on_lost is not None:
            self._on_lost(errors.AuthorityLostError(message))

    def _clear(self) -> None:
        self._client.remove_on_restored(self._on_restored)
        self._is_lost = True
        self._lease_id = 0
        self._valid_until_s = _NOT_HELD_S

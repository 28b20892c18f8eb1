"""Acquires and holds shares of the allowance of repeats.

A gateway that starts tries to take one share, and if that is held, another one.
Ranks tell who takes the shares that stay free. Whoever holds a share keeps it
as long as the lease of its registration lasts. Losing a share, or not knowing
that it is free, costs repeats; nothing that this module believes adds to them.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

import gevent
import xxhash
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.peers import directory
from mulberrywharf.platform_service import key_value, lease
from mulberrywharf.policy import allowance_shares

KEY_PREFIX = f"{directory.KEY_PREFIX}repeats-"
"""Prefix of the shares' keys. It begins with that of the registrations, so that
one read returns both."""

RECORD_PREFIX = "mulberrywharf/repeats/"
"""Prefix of the records of the shares' last holders, which outlive leases."""

_MATTER = "repeats"

_held_gauge = metrics.gauge(
    "mulberry_repeat_shares_held_count",
    "Shares of the allowance of repeats that this gateway holds.",
)
_acquired_total = metrics.counter(
    "mulberry_repeat_shares_acquired_total",
    "Attempts to acquire a share of the allowance of repeats, by result.",
)


class Peers(Protocol):
    """The registrations of all gateways."""

    @property
    def own_lease(self) -> lease.LeaseHolder | None:
        """Lease of this gateway's registration, None without one."""
        ...

    @property
    def own_value(self) -> bytes:
        """Value of this gateway's registration."""
        ...

    def ranked_gateways(
        self, matter: str, key: int, availability_zone: str
    ) -> tuple[directory.RankedGateway, ...]:
        """Returns the gateways that handle a matter for all, by rank."""
        ...

    def addresses_of(
        self, values: Collection[bytes]
    ) -> tuple[fleet.Address, ...]:
        """Returns the other gateways whose registration has a value."""
        ...

    def on_read(
        self, callback: Callable[[list[key_value.KeyValue]], None]
    ) -> None:
        """Sets a function that gets all keys of each read."""
        ...

    def on_registered(self, callback: Callable[[], None]) -> None:
        """Sets a function that is called after each registration."""
        ...


class RepeatShares:
    """The shares that this gateway holds; see ``allowance_shares.Shares``."""

    def __init__(
        self,
        peers: Peers,
        client: key_value.KeyValueClient,
        process_id: str,
        system_clock: clock.Clock,
    ):
        """Creates it without shares.

        Args:
            peers: The registrations of all gateways.
            client: Client of the key-value service.
            process_id: Identifies this run of the gateway.
            system_clock: Times the shares; must go on while the machine is
                suspended.
        """
        self._peers = peers
        self._client = client
        self._process_id = process_id.encode()
        self._clock = system_clock
        self._shares = allowance_shares.HeldShares()
        self._lease: lease.LeaseHolder | None = None
        self._last_holder_in_era: dict[int, int] = {}
        self._unrecorded: set[int] = set()
        self._holder_values: frozenset[bytes] = frozenset()
        self._free_before: frozenset[int] = frozenset()
        self._has_tried = False
        self._drawn_in_vain: int | None = None
        self._acquire_task: gevent.Greenlet | None = None
        peers.on_read(self._on_read)
        peers.on_registered(self._on_registered)

    def close(self) -> None:
        """Stops acquiring shares; the lease of the registration ends them."""
        if self._acquire_task is not None:
            self._acquire_task.kill()

    def usable(self, now_s: float, counted_s: float) -> Collection[int]:
        """Returns the shares that repeats may be charged to."""
        if self._lease is None or not self._lease.is_valid():
            return ()
        return self._shares.usable(now_s, counted_s)

    def holders(self) -> tuple[fleet.Address, ...]:
        """Returns the other gateways that hold shares, as last read."""
        return self._peers.addresses_of(self._holder_values)

    def _on_registered(self) -> None:
        wanted = sorted(self._last_holder_in_era)
        if not self._has_tried:
            drawn = self._draw(range(allowance_shares.SHARES_COUNT))
            wanted.append(drawn)
            self._drawn_in_vain = drawn
        self._has_tried = True
        self._start_acquiring(wanted)

    def _draw(self, shares: Sequence[int]) -> int:
        digest = xxhash.xxh3_64_intdigest(self._peers.own_value)
        return shares[digest % len(shares)]

    def _on_read(self, records: Iterable[key_value.KeyValue]) -> None:
        held = [one for one in records if one.key.startswith(KEY_PREFIX)]
        listed = {one.key.removeprefix(KEY_PREFIX) for one in held}
        self._holder_values = frozenset(one.value for one in held)
        free = frozenset(
            share
            for share in range(allowance_shares.SHARES_COUNT)
            if str(share) not in listed
        )
        wanted = [
            share
            for share in sorted((free & self._free_before) | self._unrecorded)
            if share in self._unrecorded or self._is_candidate(share)
        ]
        self._free_before = free
        if self._drawn_in_vain is not None and not wanted:
            # One that was held a moment ago has to cool down.
            others = sorted(free - {self._drawn_in_vain})
            wanted = [self._draw(others)] if others else []
            self._drawn_in_vain = None
        self._start_acquiring(wanted)

    def _is_candidate(self, share: int) -> bool:
        ranked = self._peers.ranked_gateways(_MATTER, share, "")
        return any(one.address is None for one in ranked)

    def _start_acquiring(self, wanted: Collection[int]) -> None:
        is_busy = self._acquire_task is not None and not self._acquire_task.dead
        if wanted and not is_busy:
            self._acquire_task = gevent.spawn(self._acquire, wanted)

    def _acquire(self, wanted: Iterable[int]) -> None:
        for share in wanted:
            holder = self._peers.own_lease
            if holder is None or not holder.is_valid():
                return
            if holder is not self._lease:
                self._shares.clear()
                self._unrecorded.clear()
                self._lease = holder
            if share in self._shares.held:
                continue
            self._log(share, self._acquire_one(share, holder))

    def _log(
        self, share: int, acquired: Result[bool, errors.PlatformError]
    ) -> None:
        _held_gauge.set({}, len(self._shares.held))
        if isinstance(acquired, Err):
            _acquired_total.inc({"result": "failed"})
            logger.bind(share=share).info(
                "share of the allowance of repeats not acquired: {}",
                acquired.err_value.message,
            )
            return
        self._drawn_in_vain = None
        _acquired_total.inc({"result": "acquired"})
        logger.bind(share=share, needs_cooldown=acquired.ok_value).info(
            "share of the allowance of repeats acquired"
        )

    def _acquire_one(
        self, share: int, holder: lease.LeaseHolder
    ) -> Result[bool, errors.PlatformError]:
        """Takes a share; returns whether it needs a cooldown."""
        created = holder.create_key(
            f"{KEY_PREFIX}{share}", self._peers.own_value
        )
        if isinstance(created, Err):
            return created
        self._unrecorded.add(share)
        recorded = self._record_holder(share)
        if isinstance(recorded, Ok):
            self._unrecorded.discard(share)
            self._shares.note_acquired(
                share,
                self._clock.monotonic_s(),
                needs_cooldown=recorded.ok_value,
            )
        return recorded

    def _record_holder(self, share: int) -> Result[bool, errors.PlatformError]:
        """Records this process as the last holder of a share that it holds.

        Returns:
            Whether another process may have used the share before, or since
            this one did.
        """
        key = f"{RECORD_PREFIX}{share}"
        # A write whose outcome is unknown may take effect at any later time.
        was_last_in_era = self._last_holder_in_era.pop(share, None)
        read = self._client.get(key, purpose=directory.PURPOSE)
        if isinstance(read, Err):
            return read
        record, era = read.ok_value, self._client.era
        is_own = record is not None and record.value == self._process_id
        if is_own and was_last_in_era == era:
            self._last_holder_in_era[share] = era
            return Ok(False)
        written = self._client.compare_and_swap(
            key,
            self._process_id,
            expected_revision=record.mod_revision if record else 0,
            purpose=directory.PURPOSE,
        )
        if isinstance(written, Err):
            return written
        self._last_holder_in_era[share] = era
        return Ok(record is not None)

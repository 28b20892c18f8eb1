"""Divides the allowance of repeats into shares that single gateways hold.

A division by the number of gateways would need a number on which all gateways
agree. Instead, each share is a key at the key-value service, bound to the lease
of the gateway that holds it. The service gives no key to two gateways, so what
a gateway believes of the others never adds to the allowance; at worst a share
is held by nobody.

A share that passes on may have been spent by its last holder a moment before,
and a process that starts does not know what the one before it has spent. So a
share has a cooldown with each new holder, until the repeats of the last one
have left the period. A record that outlives the lease names the last holder: a
holder that gets its own share back, and the first one of all, need not wait.
Assumptions:

* Leases last ``LEASE_TTL_S`` by a clock that goes on while a machine is
  suspended.
* The service may come back from an older copy of any age, but not from one that
  is older than the first records, which a fleet writes at its first start.
"""

from collections.abc import Collection
from typing import Protocol

LEASE_TTL_S = 6.0
"""Time to live of the lease that holds a share. A holder that the service
doesn't know any more, because it came back from an older copy, uses its shares
for so long at the most."""

SHARES_COUNT = 8
"""Number of shares. With more, each allows fewer repeats and more is lost to
rounding; with fewer, the end of one gateway costs more of the allowance."""


class Shares(Protocol):
    """The shares of the allowance that this gateway holds."""

    def usable(self, now_s: float, counted_s: float) -> Collection[int]:
        """Returns the shares that repeats may be charged to.

        Args:
            now_s: The current time.
            counted_s: How long a charge counts.
        """
        ...


class AllShares:
    """The shares of a gateway without others."""

    def usable(self, now_s: float, counted_s: float) -> Collection[int]:
        """Returns all shares."""
        return range(SHARES_COUNT)


class HeldShares:
    """The shares that a gateway has acquired under one lease."""

    def __init__(self) -> None:
        self._acquired_s: dict[int, float] = {}
        self._without_cooldown: set[int] = set()

    @property
    def held(self) -> frozenset[int]:
        """All shares that were acquired."""
        return frozenset(self._acquired_s)

    def note_acquired(
        self, share: int, now_s: float, *, needs_cooldown: bool = True
    ) -> None:
        """Records that this gateway holds a share.

        Args:
            share: The share.
            now_s: When the service had created its key.
            needs_cooldown: Whether another process may have used it before, or
                since this one did.
        """
        self._acquired_s[share] = now_s
        if not needs_cooldown:
            self._without_cooldown.add(share)

    def clear(self) -> None:
        """Records that the lease has ended, and the shares with it."""
        self._acquired_s.clear()
        self._without_cooldown.clear()

    def usable(self, now_s: float, counted_s: float) -> Collection[int]:
        """See ``Shares``; the caller checks that the lease is still valid."""
        cooldown_s = LEASE_TTL_S + counted_s
        return tuple(
            share
            for share, acquired_s in sorted(self._acquired_s.items())
            if share in self._without_cooldown
            or now_s > acquired_s + cooldown_s
        )


def share_sizes(allowance_count: float) -> tuple[int, ...]:
    """Returns the repeats that each share allows in a period."""
    allowed_count = int(allowance_count)
    each, rest = divmod(allowed_count, SHARES_COUNT)
    return tuple(each + (share < rest) for share in range(SHARES_COUNT))

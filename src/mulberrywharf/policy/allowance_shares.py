"""Divides the allowance of repeats into shares that single gateways hold.

A division by the number of gateways would need a number on which all gateways
agree. Instead, each share is a key at the key-value service, bound to the lease
of the gateway that holds it. The service gives no key to two gateways, so what
a gateway believes of the others never adds to the allowance; at worst a share
is held by nobody.

Leases last ``LEASE_TTL_S`` by a clock that goes on while a machine is
suspended.
"""

from collections.abc import Collection
from typing import Protocol

LEASE_TTL_S = 6.0
"""Time to live of the lease that holds a share."""

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
        self._acquired: set[int] = set()

    @property
    def held(self) -> frozenset[int]:
        """All shares that were acquired."""
        return frozenset(self._acquired)

    def note_acquired(self, share: int) -> None:
        """Records that this gateway holds a share."""
        self._acquired.add(share)

    def clear(self) -> None:
        """Records that the lease has ended, and the shares with it."""
        self._acquired.clear()

    def usable(self, now_s: float, counted_s: float) -> Collection[int]:
        """See ``Shares``; the caller checks that the lease is still valid."""
        return tuple(sorted(self._acquired))


def share_sizes(allowance_count: float) -> tuple[int, ...]:
    """Returns the repeats that each share allows in a period."""
    allowed_count = int(allowance_count)
    each, rest = divmod(allowed_count, SHARES_COUNT)
    return tuple(each + (share < rest) for share in range(SHARES_COUNT))

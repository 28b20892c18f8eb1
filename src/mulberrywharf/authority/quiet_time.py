"""When a new lease holder may first order an engine.

An engine that ignores fencing numbers takes whatever arrives. Orders that the
previous holder sent in its last instant may still be on their way, so the new
holder stays quiet until none can arrive any more, and only then reads the
engine's state and orders.
"""

from typing import NamedTuple


class Takeover(NamedTuple):
    """How this process came to hold the zone's lease.

    Attributes:
        acquired_s: Monotonic clock when the lease was known to be held.
        predecessor_unsettled: False only when nobody held the lease before,
            or the predecessor recorded that all its orders were settled.
    """

    acquired_s: float
    predecessor_unsettled: bool


class QuietTime(NamedTuple):
    """The bounds that the settings give.

    Attributes:
        lease_ttl_s: Length of the lease. Already over when the key could be
            taken, unless an operator or a restored service removed the key
            early; then the predecessor still believes in it for this long.
        user_timeout_s: How long unacknowledged order bytes live.
        clock_margin_s: Allowed error between clocks.
        fencing_checking_kinds: Kinds that refuse an old fencing number.
        off: True only in tests that show what happens without it.
    """

    lease_ttl_s: float
    user_timeout_s: float
    clock_margin_s: float
    fencing_checking_kinds: frozenset[str]
    off: bool = False

    def length_s(self) -> float:
        """Returns the longest time that an old order may still arrive."""
        if self.off:
            return 0.0
        return self.lease_ttl_s + self.user_timeout_s + self.clock_margin_s

    def ends_s(self, takeover: Takeover, engine_kind: str) -> float:
        """Returns the monotonic instant from which the engine may be ordered.

        Args:
            takeover: How the lease was won.
            engine_kind: Make of the engine.
        """
        if engine_kind in self.fencing_checking_kinds:
            return takeover.acquired_s
        if not takeover.predecessor_unsettled:
            return takeover.acquired_s
        return takeover.acquired_s + self.length_s()

    def all_over(self, takeover: Takeover, now_s: float) -> bool:
        """Tells whether no engine of any kind has to be spared any more."""
        if not takeover.predecessor_unsettled:
            return True
        return now_s >= takeover.acquired_s + self.length_s()

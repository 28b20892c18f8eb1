"""Computes when a new lease holder may send its first order to an engine.

An engine that ignores fencing numbers executes every order it receives. Orders
that the previous holder sent right before its lease ended may still be in
transit. The new holder therefore waits until none can arrive any more before it
reads the engine's state and sends orders.
"""

from typing import NamedTuple


class Takeover(NamedTuple):
    """How this process acquired the lease.

    Attributes:
        acquired_s: Monotonic time at which the lease was known to be held.
        predecessor_unsettled: Whether orders of the previous holder may still
            be in transit. False only if there was no previous holder, or it
            recorded that all its orders were settled.
    """

    acquired_s: float
    predecessor_unsettled: bool


class TakeoverDelay(NamedTuple):
    """Waiting time of a new holder, derived from the settings.

    Attributes:
        lease_ttl_s: Length of the lease. The previous lease has usually ended
            when the key becomes free. But if an operator or a restored
            key-value service removed the key early, the previous holder may act
            on its lease for up to this time.
        user_timeout_s: How long sent bytes of an order may stay
            unacknowledged.
        clock_margin_s: Maximum error between the clocks.
        fencing_checking_kinds: Kinds of receivers that reject an old fencing
            number: engine kinds, or the name of a duty.
        is_disabled: Disables the wait; only for tests that show its effect.
    """

    lease_ttl_s: float
    user_timeout_s: float
    clock_margin_s: float
    fencing_checking_kinds: frozenset[str]
    is_disabled: bool = False

    def length_s(self) -> float:
        """Returns for how long an order of the previous holder may arrive."""
        if self.is_disabled:
            return 0.0
        return self.lease_ttl_s + self.user_timeout_s + self.clock_margin_s

    def ends_s(self, takeover: Takeover, receiver_kind: str) -> float:
        """Returns the monotonic time from which a receiver may be sent orders.

        Args:
            takeover: How the lease was acquired.
            receiver_kind: An engine kind, or the name of a duty.
        """
        if receiver_kind in self.fencing_checking_kinds:
            return takeover.acquired_s
        if not takeover.predecessor_unsettled:
            return takeover.acquired_s
        return takeover.acquired_s + self.length_s()

    def has_ended(self, takeover: Takeover, now_s: float) -> bool:
        """Tells whether the delay has ended for receivers of every kind."""
        if not takeover.predecessor_unsettled:
            return True
        return now_s >= takeover.acquired_s + self.length_s()

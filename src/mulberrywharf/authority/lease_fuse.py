"""A timer that ends the process when its lease is spent.

A process that is frozen past its lease and then wakes would go on from the
very instruction at which it was stopped, which may be the send of an order.
No check can run before that instruction. The kernel can: SIGALRM, left at
its default action, kills the process on waking before it runs anything.
"""

import signal

from mulberrywharf import clock as clocks
from mulberrywharf import errors

_ARM_SLACK_S = 0.005
_ARM_ATTEMPTS = 50


class LeaseFuse:
    """Knows until when this process may send orders, and enforces it.

    Three instants follow from the lease, all measured from before the
    renewal was sent, since the service counts from when it arrived:

    - ``orders_end_s``: no order leaves after it. Its bytes live for at most
      ``user_timeout_s``, so they are gone when the authority ends.
    - the fuse, ``margin_s`` before the lease's end: the kernel kills.
    - the lease's end: another process may take over.

    A process that runs notices the first and steps down, which disarms the
    timer; only one that is frozen meets the second.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        margin_s: float,
        user_timeout_s: float,
        enabled: bool = True,
    ):
        self._clock = clock
        self._margin_s = margin_s
        self._user_timeout_s = user_timeout_s
        self._enabled = enabled
        self._end_monotonic_s = float("-inf")
        self._end_unix_s = float("-inf")
        self._offset_s = clock.unix_s() - clock.monotonic_s()

    def renewed(self, lease_end_monotonic_s: float) -> bool:
        """Takes in a lease that was granted or renewed, and arms the timer.

        Args:
            lease_end_monotonic_s: Until when the lease is surely held,
                counted from before the renewal was sent.

        Returns:
            False when too little of the lease is left to arm anything.
        """
        self._end_monotonic_s = lease_end_monotonic_s - self._margin_s
        offset_s = self._clock.unix_s() - self._clock.monotonic_s()
        # A pause of the VM while the renewal was under way shows as a jump
        # between the clocks. The smaller offset is that from before it.
        self._end_unix_s = self._end_monotonic_s + min(offset_s, self._offset_s)
        self._offset_s = offset_s
        if not self._enabled:
            return True
        return self._arm()

    def step_down(self) -> None:
        """Gives up the authority in order; the process may live on."""
        self._end_monotonic_s = float("-inf")
        self._end_unix_s = float("-inf")
        if self._enabled:
            signal.setitimer(signal.ITIMER_REAL, 0)

    def remaining_s(self) -> float:
        """Returns the seconds until the timer fires, by the worse clock.

        A pause of the whole VM can stop the monotonic clock and the timer
        with it; the wall clock, set right by the host, shows the loss. A
        wall clock that jumps only shortens the authority, never lengthens
        it.
        """
        by_monotonic_s = self._end_monotonic_s - self._clock.monotonic_s()
        by_wall_s = self._end_unix_s - self._clock.unix_s()
        return min(by_monotonic_s, by_wall_s)

    def holds(self) -> bool:
        """Tells whether an order may leave now.

        Its bytes may wait in the kernel for the user timeout; they must be
        dead before the lease is, so that much has to be left.
        """
        if not self._enabled:
            return self._end_monotonic_s > float("-inf")
        return self.remaining_s() > self._user_timeout_s

    def check(self) -> None:
        """Lets an order pass, or stops it.

        Raises:
            errors.AuthorityLostError: Too little of the lease is left.
        """
        if not self.holds():
            raise errors.AuthorityLostError(
                "the lease leaves no time for an order",
                advice="The zone's next lease holder finishes the orders.",
            )

    def _arm(self) -> bool:
        """Arms the timer and makes sure that it fires on time.

        ``setitimer`` takes a span, not an instant. Were the process frozen
        between reading the clock and arming, the timer would fire late by
        that pause, and a second pause could outlive the lease. So the timer
        is read back, before the clock, and armed anew until both agree. No
        order can leave in between: this code doesn't yield.
        """
        for _ in range(_ARM_ATTEMPTS):
            left_s = self._end_monotonic_s - self._clock.monotonic_s()
            if left_s <= 0:
                return False
            signal.setitimer(signal.ITIMER_REAL, left_s)
            fires_in_s, _ = signal.getitimer(signal.ITIMER_REAL)
            fires_at_s = fires_in_s + self._clock.monotonic_s()
            if fires_at_s <= self._end_monotonic_s + _ARM_SLACK_S:
                return True
        return False


def restore_default_alarm() -> None:
    """Leaves SIGALRM at its default action, which ends the process.

    A parent may have set it to be ignored, which survives an exec; the
    timer would then fire without effect.
    """
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

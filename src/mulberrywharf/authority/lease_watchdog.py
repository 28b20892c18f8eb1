"""A watchdog timer that kills the process shortly before its lease ends.

A process that is suspended until after its lease has ended resumes at the
instruction at which it was suspended, which may be the send of an order. No
check in the process can run before that instruction, but the kernel can act:
SIGALRM with its default action kills the process when it resumes, before it
executes anything.
"""

import signal

from mulberrywharf import clock as clocks
from mulberrywharf import errors

_ARM_SLACK_S = 0.005
_ARM_ATTEMPTS = 50


class LeaseWatchdog:
    """Tracks until when this process may send orders, and enforces it.

    Three points in time follow from the lease. All are counted from just before
    the renewal was sent. The key-value service counts from its arrival, which
    is later, so they pass before the service ends the lease:

    - ``user_timeout_s`` before the timer: the last time at which an order may
      be sent. Its unacknowledged bytes are retransmitted for at most
      ``user_timeout_s``, so none arrives after the authority has ended.
    - The timer, ``margin_s`` before the end of the lease: the kernel kills the
      process.
    - The end of the lease: another process may take over.

    A running process steps down at the first of them, which disarms the timer.
    Only a suspended process is killed.
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
        self._due_monotonic_s = float("-inf")
        self._due_unix_s = float("-inf")
        self._offset_s = clock.unix_s() - clock.monotonic_s()

    def on_renewed(self, lease_end_monotonic_s: float) -> bool:
        """Extends the authority after a renewal, and arms the timer.

        Args:
            lease_end_monotonic_s: Time until which the lease is certainly
                held, measured from before the renewal was sent.

        Returns:
            False if too little of the lease is left to arm the timer.
        """
        self._due_monotonic_s = lease_end_monotonic_s - self._margin_s
        offset_s = self._clock.unix_s() - self._clock.monotonic_s()
        # If the VM was paused during the renewal, the offset between the clocks
        # has grown. The smaller offset is the one from before the pause.
        self._due_unix_s = self._due_monotonic_s + min(offset_s, self._offset_s)
        self._offset_s = offset_s
        if not self._enabled:
            return True
        return self._arm()

    def step_down(self) -> None:
        """Steps down: ends the authority and disarms the timer.

        So the process is not killed when the lease ends.
        """
        self._due_monotonic_s = float("-inf")
        self._due_unix_s = float("-inf")
        if self._enabled:
            signal.setitimer(signal.ITIMER_REAL, 0)

    def remaining_s(self) -> float:
        """Returns the seconds until the timer is due.

        The monotonic and the wall clock are read; the one that shows less time
        left decides.

        A pause of the whole VM can stop the monotonic clock and the timer with
        it; the wall clock, which the host corrects, shows the lost time. A jump
        of the wall clock can only shorten the authority, never extend it.
        """
        by_monotonic_s = self._due_monotonic_s - self._clock.monotonic_s()
        by_wall_s = self._due_unix_s - self._clock.unix_s()
        return min(by_monotonic_s, by_wall_s)

    def may_order(self) -> bool:
        """Tells whether an order may be sent now.

        The kernel may retransmit its bytes for the user timeout and must have
        dropped them before the lease ends, so at least that much time must be
        left.
        """
        if not self._enabled:
            return self._due_monotonic_s > float("-inf")
        return self.remaining_s() > self._user_timeout_s

    def check(self) -> None:
        """Checks that an order may be sent now.

        Raises:
            errors.AuthorityLostError: Too little of the lease is left.
        """
        if not self.may_order():
            raise errors.AuthorityLostError(
                "the lease ends too soon to send an order",
                advice="The zone's next lease holder finishes the orders.",
            )

    def _arm(self) -> bool:
        """Arms the timer and verifies that it fires on time.

        ``setitimer`` takes a duration, not a point in time. If the process is
        suspended between reading the clock and arming the timer, the timer
        fires late by that pause, and a second pause could last beyond the
        lease. So the timer is read back, before the clock, and armed again
        until both agree. No order can be sent meanwhile, because this code does
        not yield.
        """
        for _ in range(_ARM_ATTEMPTS):
            left_s = self._due_monotonic_s - self._clock.monotonic_s()
            if left_s <= 0:
                return False
            signal.setitimer(signal.ITIMER_REAL, left_s)
            fires_in_s, _ = signal.getitimer(signal.ITIMER_REAL)
            fires_at_s = fires_in_s + self._clock.monotonic_s()
            if fires_at_s <= self._due_monotonic_s + _ARM_SLACK_S:
                return True
        return False


def restore_default_alarm() -> None:
    """Restores the default action of SIGALRM, which kills the process.

    A parent process may have set it to be ignored, which is inherited through
    exec; the timer would then have no effect.
    """
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

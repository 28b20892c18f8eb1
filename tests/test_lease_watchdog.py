"""Tests that a suspended process sends no order after its lease has ended."""

import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from mulberrywharf import errors
from mulberrywharf.authority import lease_watchdog

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_LEASE_S = 0.4
_MARGIN_S = 0.1
_TRIES = 5

# Prints the wall clock time in a loop until the lease ends by its own clock.
# The process may be suspended between the check in the loop and the write.
_WRITER = """
import sys, time
from mulberrywharf import clock
from mulberrywharf.authority import lease_watchdog
lease_watchdog.restore_default_alarm()
system = clock.SystemClock()
watchdog = lease_watchdog.LeaseWatchdog(
    system, margin_s=float(sys.argv[2]), user_timeout_s=0.0,
    enabled=sys.argv[3] == "on")
end_s = time.monotonic() + float(sys.argv[1])
watchdog.on_renewed(end_s)
print(time.time() + end_s - time.monotonic(), flush=True)
while time.monotonic() < end_s:
    for _ in range(20000):
        pass
    print(time.time(), flush=True)
"""


class _FakeClock:
    """A monotonic and a wall clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.offset_s = 1e9

    def monotonic_s(self) -> float:
        return self.now_s

    def unix_s(self) -> float:
        return self.now_s + self.offset_s


def _watchdog(clock: _FakeClock) -> lease_watchdog.LeaseWatchdog:
    watchdog = lease_watchdog.LeaseWatchdog(
        clock, margin_s=1.0, user_timeout_s=2.0
    )
    # The real timer would end the test run.
    watchdog._arm = lambda: True  # type: ignore[method-assign]
    return watchdog


class DeadlineTest(unittest.TestCase):
    def test_holds_while_order_bytes_cannot_outlive_the_lease(self):
        clock = _FakeClock()
        watchdog = _watchdog(clock)
        self.assertFalse(watchdog.may_order())
        watchdog.on_renewed(110.0)
        cases = ((0.0, True), (6.9, True), (7.1, False), (20.0, False))
        for later_s, holds in cases:
            with self.subTest(later_s=later_s):
                clock.now_s = 100.0 + later_s
                self.assertEqual(watchdog.may_order(), holds)

    def test_vm_pause_that_only_the_wall_clock_shows_ends_authority(self):
        """Guards against an order sent minutes after a takeover.

        The whole VM is paused after a renewal, so its monotonic clock and its
        timers stop too. Only the wall clock, which the host sets, shows the
        pause.
        """
        clock = _FakeClock()
        watchdog = _watchdog(clock)
        watchdog.on_renewed(110.0)
        clock.offset_s += 60.0
        self.assertFalse(watchdog.may_order())
        with self.assertRaises(errors.AuthorityLostError):
            watchdog.check()

    def test_vm_pause_during_the_renewal_ends_authority(self):
        clock = _FakeClock()
        watchdog = _watchdog(clock)
        clock.offset_s += 60.0
        watchdog.on_renewed(110.0)
        self.assertFalse(watchdog.may_order())

    def test_step_down_ends_authority_immediately(self):
        watchdog = _watchdog(_FakeClock())
        watchdog.on_renewed(110.0)
        watchdog.step_down()
        self.assertFalse(watchdog.may_order())


class ArmTest(unittest.TestCase):
    def tearDown(self):
        signal.setitimer(signal.ITIMER_REAL, 0)

    def test_suspension_while_arming_does_not_delay_the_timer(self):
        """Guards against a timer that fires after the lease has ended.

        The process is suspended between reading the clock and arming the timer,
        whose duration is then too long. The timer must be read back and armed
        again.
        """

        class PausedOnce(_FakeClock):
            reads_count = 0

            def monotonic_s(self) -> float:
                self.reads_count += 1
                # The first read is for the offset; the process is suspended
                # after the second.
                if self.reads_count == 3:
                    self.now_s += 30.0
                return self.now_s

        clock = PausedOnce()
        watchdog = lease_watchdog.LeaseWatchdog(
            clock, margin_s=1.0, user_timeout_s=2.0
        )
        clock.reads_count = 0
        self.assertTrue(watchdog.on_renewed(161.0))
        left_s, _ = signal.getitimer(signal.ITIMER_REAL)
        self.assertAlmostEqual(left_s, 30.0, delta=1.0)

    def test_timer_is_not_armed_without_lease_time_left(self):
        watchdog = lease_watchdog.LeaseWatchdog(
            _FakeClock(), margin_s=1.0, user_timeout_s=2.0
        )
        self.assertFalse(watchdog.on_renewed(100.5))


class SuspendedProcessTest(unittest.TestCase):
    def test_process_suspended_past_its_lease_is_killed(self):
        """Guards against an order of a process whose lease has expired.

        The process is stopped by SIGSTOP between the check of its lease and the
        send, and resumes by SIGCONT after the lease has expired. No check can
        run before its next instruction, but the kernel's timer can end it.
        """
        for _ in range(_TRIES):
            end_s, written_s, exit_code = _run_suspended("on")
            self.assertLessEqual(max(written_s, default=0.0), end_s)
            self.assertEqual(exit_code, -signal.SIGALRM)

    def test_without_the_timer_a_process_writes_after_its_lease(self):
        late_count = 0
        for _ in range(_TRIES):
            end_s, written_s, _ = _run_suspended("off")
            late_count += max(written_s) > end_s
        self.assertGreater(late_count, 0)


def _run_suspended(watchdog: str) -> tuple[float, list[float], int]:
    """Suspends a writing process until its lease has ended.

    Returns:
        The end of the lease, the times of the writes and the exit code.
    """
    arguments = [str(_LEASE_S), str(_MARGIN_S), watchdog]
    with tempfile.NamedTemporaryFile("w") as file:
        written = pathlib.Path(file.name)
        child = subprocess.Popen(
            [sys.executable, "-c", _WRITER, *arguments], stdout=file, cwd=_ROOT
        )
        while len(written.read_text().splitlines()) < 3:
            time.sleep(0.01)
        child.send_signal(signal.SIGSTOP)
        time.sleep(_LEASE_S)
        child.send_signal(signal.SIGCONT)
        exit_code = child.wait(10)
        end_s, *written_s = [float(x) for x in written.read_text().split()]
    return end_s, written_s, exit_code


if __name__ == "__main__":
    unittest.main()

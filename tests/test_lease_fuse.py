"""The lease fuse: no order after the lease, whatever froze the process."""

import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from mulberrywharf import errors
from mulberrywharf.authority import lease_fuse

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_LEASE_S = 0.4
_MARGIN_S = 0.1
_TRIES = 5

# Writes the wall clock as fast as it can for as long as it believes in its
# lease. The belief is checked in the loop, the write follows some lines on:
# it's between the two that a process may be frozen.
_WRITER = """
import sys, time
from mulberrywharf import clock
from mulberrywharf.authority import lease_fuse
lease_fuse.restore_default_alarm()
system = clock.SystemClock()
fuse = lease_fuse.LeaseFuse(
    system, margin_s=float(sys.argv[2]), user_timeout_s=0.0,
    enabled=sys.argv[3] == "on")
end_s = time.monotonic() + float(sys.argv[1])
fuse.renewed(end_s)
print(time.time() + end_s - time.monotonic(), flush=True)
while time.monotonic() < end_s:
    for _ in range(20000):
        pass
    print(time.time(), flush=True)
"""


class _FakeClock:
    """Two clocks that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.offset_s = 1e9

    def monotonic_s(self) -> float:
        return self.now_s

    def unix_s(self) -> float:
        return self.now_s + self.offset_s


def _fuse(clock: _FakeClock) -> lease_fuse.LeaseFuse:
    fuse = lease_fuse.LeaseFuse(clock, margin_s=1.0, user_timeout_s=2.0)
    # The real timer would end the test run.
    fuse._arm = lambda: True  # type: ignore[method-assign]
    return fuse


class DeadlineTest(unittest.TestCase):
    def test_holds_while_order_bytes_cannot_outlive_the_lease(self):
        clock = _FakeClock()
        fuse = _fuse(clock)
        self.assertFalse(fuse.holds())
        fuse.renewed(110.0)
        cases = ((0.0, True), (6.9, True), (7.1, False), (20.0, False))
        for later_s, holds in cases:
            with self.subTest(later_s=later_s):
                clock.now_s = 100.0 + later_s
                self.assertEqual(fuse.holds(), holds)

    def test_a_pause_that_only_the_wall_clock_shows_ends_authority(self):
        """A whole VM is paused: its monotonic clock and timers stop too.

        Symptom: an order minutes after another controller took over.
        Sequence: renewal, pause of the VM, resume; the monotonic clock says
        that no time has passed. The wall clock, set by the host, does.
        """
        clock = _FakeClock()
        fuse = _fuse(clock)
        fuse.renewed(110.0)
        clock.offset_s += 60.0
        self.assertFalse(fuse.holds())
        with self.assertRaises(errors.AuthorityLostError):
            fuse.check()

    def test_a_pause_during_the_renewal_counts(self):
        clock = _FakeClock()
        fuse = _fuse(clock)
        clock.offset_s += 60.0
        fuse.renewed(110.0)
        self.assertFalse(fuse.holds())

    def test_step_down_ends_authority_at_once(self):
        fuse = _fuse(_FakeClock())
        fuse.renewed(110.0)
        fuse.step_down()
        self.assertFalse(fuse.holds())


class ArmTest(unittest.TestCase):
    def tearDown(self):
        signal.setitimer(signal.ITIMER_REAL, 0)

    def test_a_pause_while_arming_does_not_delay_the_timer(self):
        """The process is frozen between reading the clock and arming.

        Symptom: a second pause outlives the lease, since the timer was set
        for a span that began earlier than its arming. The timer is read
        back and armed anew.
        """

        class PausedOnce(_FakeClock):
            reads_count = 0

            def monotonic_s(self) -> float:
                self.reads_count += 1
                # Read 1 is the offset's; the pause follows read 2.
                if self.reads_count == 3:
                    self.now_s += 30.0
                return self.now_s

        clock = PausedOnce()
        fuse = lease_fuse.LeaseFuse(clock, margin_s=1.0, user_timeout_s=2.0)
        clock.reads_count = 0
        self.assertTrue(fuse.renewed(161.0))
        left_s, _ = signal.getitimer(signal.ITIMER_REAL)
        self.assertAlmostEqual(left_s, 30.0, delta=1.0)

    def test_a_spent_lease_is_not_armed(self):
        fuse = lease_fuse.LeaseFuse(
            _FakeClock(), margin_s=1.0, user_timeout_s=2.0
        )
        self.assertFalse(fuse.renewed(100.5))


class FrozenProcessTest(unittest.TestCase):
    def test_a_process_frozen_past_its_lease_writes_no_more(self):
        """A paused process wakes believing that it still holds its lease.

        Symptom: an engine takes an order of a process whose lease lapsed
        while it slept. Sequence: check of the lease, SIGSTOP, lapse,
        SIGCONT, send. Cause: no check can run between waking and the next
        instruction; the kernel's timer can.
        """
        for _ in range(_TRIES):
            end_s, written_s, exit_code = _run_frozen("on")
            self.assertLessEqual(max(written_s, default=0.0), end_s)
            self.assertEqual(exit_code, -signal.SIGALRM)

    def test_without_the_fuse_it_writes_after_its_lease(self):
        late_count = 0
        for _ in range(_TRIES):
            end_s, written_s, _ = _run_frozen("off")
            late_count += max(written_s) > end_s
        self.assertGreater(late_count, 0)


def _run_frozen(fuse: str) -> tuple[float, list[float], int]:
    """Freezes a writer across its lease's end.

    Returns:
        The lease's end, the instants of the writes, the exit code.
    """
    arguments = [str(_LEASE_S), str(_MARGIN_S), fuse]
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

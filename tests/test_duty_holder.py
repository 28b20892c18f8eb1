"""Tests that at most one gateway at a time may order roles."""

import unittest

from result import Err, Ok

from mulberrywharf import clock, errors
from mulberrywharf.authority import duty_holder
from tests import builders_platform
from tests import builders_routes as build

TIMING = duty_holder.HolderTiming(
    lease_ttl_s=2.0, first_check_max_delay_s=0.0, check_interval_s=0.1
)
QUIET_S = (
    TIMING.lease_ttl_s + duty_holder.USER_TIMEOUT_S + duty_holder.CLOCK_MARGIN_S
)


class _SuspendableClock(clock.BootClock):
    """A clock on which tests simulate a suspended machine."""

    suspended_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.suspended_s


class RoleHolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())

    def start(
        self, vm_id: str = "vm-1", system_clock: clock.Clock | None = None
    ) -> duty_holder.DutyHolder:
        made = duty_holder.DutyHolder(
            self.client(),
            vm_id,
            min_lease_s=1.0,
            timing=TIMING,
            system_clock=system_clock,
        )
        made.start()
        self.addCleanup(made.close)
        return made

    def client(self) -> duty_holder.key_value.KeyValueClient:
        made = build.store_client(self.store.port)
        made.start()
        self.addCleanup(made.close)
        return made

    def number(self, holder: duty_holder.DutyHolder) -> int | None:
        held = holder.authority()
        return held.ok_value.number if isinstance(held, Ok) else None

    def wait_for(self, holder: duty_holder.DutyHolder) -> int:
        builders_platform.wait_until(lambda: self.number(holder))
        number = self.number(holder)
        assert number is not None
        return number

    def test_only_one_of_several_gateways_holds_the_duty(self) -> None:
        """Guards against two gateways that order the same engine.

        All start together and find the key free; finding it free must not be
        enough to hold it.
        """
        holders = [self.start(f"vm-{n}") for n in range(4)]
        builders_platform.wait_until(
            lambda: any(self.number(one) for one in holders)
        )
        builders_platform.gevent.sleep(0.5)
        held = [one for one in holders if self.number(one)]
        self.assertEqual(len(held), 1)

    def test_first_holder_may_order_immediately(self) -> None:
        self.assertGreater(self.wait_for(self.start()), 0)

    def test_next_holder_has_a_higher_number_and_waits(self) -> None:
        """Guards against interleaved orders of two holders.

        The holder sends an order and stops, and the next one acquires the key
        immediately. Bytes of the last order may be in transit for as long as
        the lease plus the timeout of their connection.
        """
        first = self.start()
        number = self.wait_for(first)
        self.assertIsInstance(first.record(b"order"), Ok)
        first.close()
        began_s = clock.BootClock().monotonic_s()
        second = self.start("vm-2")
        self.assertGreater(self.wait_for(second), number)
        waited_s = clock.BootClock().monotonic_s() - began_s
        self.assertGreaterEqual(waited_s, QUIET_S - 0.1)

    def test_authority_ends_before_the_lease_if_the_store_is_down(self) -> None:
        """Guards against a holder that sends orders after its lease expired.

        The holder is partitioned from the store, where its lease expires and
        another gateway takes over. It must not need a response to notice.
        """
        holder = self.start()
        self.wait_for(holder)
        self.store.faults["silent"] = True
        began_s = clock.BootClock().monotonic_s()
        builders_platform.wait_until(lambda: self.number(holder) is None)
        lasted_s = clock.BootClock().monotonic_s() - began_s
        self.assertLess(lasted_s, TIMING.lease_ttl_s)

    def test_suspended_holder_resumes_without_authority(self) -> None:
        """Guards against orders of a holder that was suspended past its lease.

        The usual monotonic clock stops while the machine is suspended, so the
        lease must not be measured by it.
        """
        system_clock = _SuspendableClock()
        holder = self.start(system_clock=system_clock)
        self.wait_for(holder)
        system_clock.suspended_s = TIMING.lease_ttl_s
        self.assertIsInstance(holder.authority(), Err)
        with self.assertRaises(errors.AuthorityLostError):
            holder.check()

    def test_next_holder_reads_the_record_of_each_task(self) -> None:
        """Guards against a task that overwrites or misses another's record."""
        first = self.start()
        self.wait_for(first)
        self.assertIsInstance(first.record(b"usage"), Ok)
        task = duty_holder.DutyTask(first, "capacity")
        for value in (b"order-1", b"order-2"):
            self.assertIsInstance(task.record(value), Ok)
        first.close()
        second = self.start("vm-2")
        self.wait_for(second)
        task = duty_holder.DutyTask(second, "capacity")
        self.assertEqual(second.last_record, b"usage")
        self.assertEqual(task.last_record, b"order-2")
        self.assertIsInstance(task.record(b"order-3"), Ok)
        self.assertIsInstance(second.record(b"usage-2"), Ok)

    def test_record_of_another_task_delays_the_next_holder(self) -> None:
        """Guards against orders of two holders that may arrive interleaved."""
        first = self.start()
        self.wait_for(first)
        task = duty_holder.DutyTask(first, "capacity")
        self.assertIsInstance(task.record(b"order"), Ok)
        first.close()
        began_s = clock.BootClock().monotonic_s()
        self.wait_for(self.start("vm-2"))
        waited_s = clock.BootClock().monotonic_s() - began_s
        self.assertGreaterEqual(waited_s, QUIET_S - 0.1)

    def test_no_order_is_recorded_without_the_key(self) -> None:
        """Guards against a holder that lost its key but still sends orders.

        The key is deleted, as when the lease expires, and the holder has not
        noticed. The write of the record must fail if the key has changed.
        """
        holder = self.start()
        self.wait_for(holder)
        self.store.delete(duty_holder.ROLES_DUTY.holder_key)
        self.assertIsInstance(holder.record(b"order"), Err)
        self.assertIsInstance(holder.authority(), Err)


if __name__ == "__main__":
    unittest.main()

"""Who may order roles: one at a time, and never too late."""

import unittest

from result import Err, Ok

from mulberrywharf import clock, errors
from mulberrywharf.authority import role_holder
from tests import builders_platform
from tests import builders_routes as build

TIMING = role_holder.HolderTiming(
    lease_ttl_s=2.0, first_look_s=0.0, look_interval_s=0.1
)
QUIET_S = (
    TIMING.lease_ttl_s + role_holder.USER_TIMEOUT_S + role_holder.CLOCK_MARGIN_S
)


class _FrozenClock(clock.BootClock):
    """A clock on which a freeze of the machine is played."""

    frozen_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.frozen_s


class RoleHolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())

    def start(
        self, vm_id: str = "vm-1", system_clock: clock.Clock | None = None
    ) -> role_holder.RoleHolder:
        made = role_holder.RoleHolder(
            self.client(),
            vm_id,
            turn_s=1.0,
            timing=TIMING,
            system_clock=system_clock,
        )
        made.start()
        self.addCleanup(made.close)
        return made

    def client(self) -> role_holder.key_value.KeyValueClient:
        made = build.store_client(self.store.port)
        made.start()
        self.addCleanup(made.close)
        return made

    def number(self, holder: role_holder.RoleHolder) -> int | None:
        held = holder.authority()
        return held.ok_value.number if isinstance(held, Ok) else None

    def wait_for(self, holder: role_holder.RoleHolder) -> int:
        builders_platform.wait_until(lambda: self.number(holder))
        number = self.number(holder)
        assert number is not None
        return number

    def test_one_of_several_holds(self) -> None:
        """Two gateways order the same engine at once.

        Sequence: all start together and find the key free. Cause: whoever
        found it free took it for its own.
        """
        holders = [self.start(f"vm-{n}") for n in range(4)]
        builders_platform.wait_until(
            lambda: any(self.number(one) for one in holders)
        )
        builders_platform.gevent.sleep(0.5)
        held = [one for one in holders if self.number(one)]
        self.assertEqual(len(held), 1)

    def test_the_first_holder_may_order_at_once(self) -> None:
        self.assertGreater(self.wait_for(self.start()), 0)

    def test_who_follows_has_a_higher_number_and_waits(self) -> None:
        """An engine gets orders of two holders within a second.

        Sequence: the holder orders and stops; the next one takes the key at
        once and orders too. Cause: bytes of the last order may be on their
        way for as long as the lease and the timeout of their connection.
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

    def test_without_the_store_the_right_ends_before_the_lease(self) -> None:
        """A holder that lost the store orders on.

        Sequence: the holder is cut off from the store; its lease lapses there
        and another takes over. Cause: only the store's answer ended it.
        """
        holder = self.start()
        self.wait_for(holder)
        self.store.faults["silent"] = True
        began_s = clock.BootClock().monotonic_s()
        builders_platform.wait_until(lambda: self.number(holder) is None)
        lasted_s = clock.BootClock().monotonic_s() - began_s
        self.assertLess(lasted_s, TIMING.lease_ttl_s)

    def test_a_frozen_holder_wakes_without_the_right(self) -> None:
        """A holder that slept through its lease orders on waking.

        Sequence: its machine is frozen for longer than the lease; the
        monotonic clock stands still meanwhile. Cause: the lease was measured
        by that clock.
        """
        frozen = _FrozenClock()
        holder = self.start(system_clock=frozen)
        self.wait_for(holder)
        frozen.frozen_s = TIMING.lease_ttl_s
        self.assertIsInstance(holder.authority(), Err)
        with self.assertRaises(errors.AuthorityLostError):
            holder.check()

    def test_no_order_is_recorded_without_the_key(self) -> None:
        """A holder whose key is gone records an order and sends it.

        Sequence: the key is deleted, as by a lease that lapsed, and another
        takes it; the first holder has not noticed. Cause: the record was
        written without a look at the key.
        """
        holder = self.start()
        self.wait_for(holder)
        self.store.delete(role_holder.ROLES_DUTY.holder_key)
        self.assertIsInstance(holder.record(b"order"), Err)
        self.assertIsInstance(holder.authority(), Err)


if __name__ == "__main__":
    unittest.main()

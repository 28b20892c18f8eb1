"""Tests of the shares of the allowance of repeats that gateways hold."""

import time
import unittest
import unittest.mock

import gevent
from result import Err

from mulberrywharf import clock, errors, fleet
from mulberrywharf.peers import directory, repeat_shares
from mulberrywharf.platform_service import key_value
from mulberrywharf.policy import allowance_shares, repeat_budget
from tests import builders_platform
from tests import builders_routes as build

WINDOW_S = 1.0
ALLOWANCE_COUNT = 58
COUNTED_S = WINDOW_S + repeat_budget.ARRIVAL_DELAY_S
PASSED_ON_WITHIN_S = 40.0
ALL = set(range(allowance_shares.SHARES_COUNT))


class _SuspendableClock(clock.BootClock):
    suspended_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.suspended_s


class SharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.enterContext(
            unittest.mock.patch.object(directory, "READ_INTERVAL_S", 0.5)
        )
        self.clock = _SuspendableClock()
        self.clients: list[key_value.KeyValueClient] = []
        self.directories: list[directory.PeerDirectory] = []

    def start(self, vm_id: str) -> repeat_shares.RepeatShares:
        client = build.store_client(self.store.port)
        self.addCleanup(client.close)
        self.clients.append(client)
        peers = directory.PeerDirectory(
            client,
            vm_id,
            fleet.Address("127.0.0.1", 7660),
            "zone-a",
            vm_id,
            self.clock,
        )
        shares = repeat_shares.RepeatShares(
            peers, client, f"{vm_id}/{len(self.clients)}", self.clock
        )
        self.directories.append(peers)
        peers.start()
        self.addCleanup(peers.close)
        self.addCleanup(shares.close)
        return shares

    def usable(self, shares: repeat_shares.RepeatShares) -> set[int]:
        return set(shares.usable(self.clock.monotonic_s(), COUNTED_S))

    def wait_for_all(self, *gateways: repeat_shares.RepeatShares) -> None:
        self.assertTrue(
            builders_platform.wait_until(
                lambda: set().union(*map(self.usable, gateways)) == ALL, 30.0
            )
        )

    def test_each_share_has_one_holder(self) -> None:
        gateways = [self.start(f"vm-{number}") for number in range(3)]
        self.wait_for_all(*gateways)
        held = [share for one in gateways for share in self.usable(one)]
        self.assertEqual(sorted(held), sorted(ALL))

    def test_a_gateway_whose_first_share_is_held_takes_another(self) -> None:
        """Guards against a start without repeats while shares are free."""
        self.enterContext(
            unittest.mock.patch.object(directory, "READ_INTERVAL_S", 60.0)
        )
        # Gateways of the same address draw the same share.
        first = self.start("vm-1")
        self.assertTrue(
            builders_platform.wait_until(lambda: self.usable(first), 5.0)
        )
        for vm_id, is_free_again in (("vm-2", False), ("vm-3", True)):
            with self.subTest(is_free_again=is_free_again):
                started = self.start(vm_id)
                gevent.sleep(0.5)
                if is_free_again:
                    first.close()
                    self.directories[0].close()
                self.assertTrue(
                    builders_platform.wait_until(
                        lambda gateway=started: self.usable(gateway),
                        2 * directory.FIRST_READ_DELAY_S,
                    )
                )
                held = [self.usable(one) for one in (first, started)]
                self.assertFalse(set.intersection(*held))

    def test_a_gateway_that_knows_no_other_has_no_part_of_the_allowance(
        self,
    ) -> None:
        """Guards against parts by a believed number of gateways.

        A gateway that started without the key-value service took the fleet for
        12 gateways and spent five times its part.
        """
        self.store.faults = {"silent": 30.0}
        shares = self.start("vm-1")
        gevent.sleep(2.5)
        self.assertEqual(self.usable(shares), set())
        budget = repeat_budget.RepeatBudget(
            repeat_budget.RepeatBudgetSettings(
                window_s=WINDOW_S, allowance_count=ALLOWANCE_COUNT
            ),
            shares,
        )
        decision = budget.decide("s", self.clock.monotonic_s())
        self.assertIsNone(decision.charge)

    def test_shares_end_with_the_lease(self) -> None:
        shares = self.start("vm-1")
        self.wait_for_all(shares)
        self.store.faults = {"silent": 30.0}
        gevent.sleep(directory.LEASE_TTL_S)
        self.assertEqual(self.usable(shares), set())

    def test_shares_end_while_the_machine_is_suspended(self) -> None:
        """Guards against a holder that wakes up beside its successor.

        The monotonic clock had not counted the suspension.
        """
        shares = self.start("vm-1")
        self.wait_for_all(shares)
        self.clock.suspended_s = directory.LEASE_TTL_S
        self.assertEqual(self.usable(shares), set())

    def test_a_share_passes_on_only_behind_its_holder(self) -> None:
        """Guards against shares that two gateways hold at a time.

        The first gateway can't reach the key-value service any more.
        """
        first = self.start("vm-1")
        self.wait_for_all(first)
        (client,) = self.clients
        second = self.start("vm-2")
        cut = Err(errors.PlatformUnavailableError("cut off"))
        for call in ("keep_alive", "grant_lease"):
            self.enterContext(
                unittest.mock.patch.object(client, call, return_value=cut)
            )
        until_s = time.monotonic() + PASSED_ON_WITHIN_S
        while self.usable(second) != ALL and time.monotonic() < until_s:
            self.assertFalse(self.usable(first) & self.usable(second))
            gevent.sleep(0.05)
        self.assertEqual(self.usable(first), set())
        self.assertEqual(self.usable(second), ALL)

    def test_a_share_cools_down_until_its_last_holder_is_forgotten(
        self,
    ) -> None:
        """Guards against a start that forgets what its predecessor spent.

        The process before may have spent its part a moment ago.
        """
        first = self.start("vm-1")
        self.wait_for_all(first)
        first.close()
        self.directories[0].close()
        ended_s = time.monotonic()
        second = self.start("vm-1")
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.usable(second), PASSED_ON_WITHIN_S
            )
        )
        self.assertGreater(time.monotonic() - ended_s, COUNTED_S)

    def test_a_holder_that_gets_its_share_back_need_not_wait(self) -> None:
        shares = self.start("vm-1")
        self.wait_for_all(shares)
        self.store.faults = {"status": 503}
        gevent.sleep(1.2 * directory.LEASE_TTL_S)
        self.assertEqual(self.usable(shares), set())
        self.store.faults = {}
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.directories[0].own_lease, PASSED_ON_WITHIN_S
            )
        )
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.usable(shares) == ALL, COUNTED_S
            )
        )

    def test_a_share_from_before_a_restore_cools_down(self) -> None:
        """Guards against two holders of a share across a restore.

        The copy may lack the record of a holder that came later.
        """
        self.store.era = 1
        first = self.start("vm-1")
        self.wait_for_all(first)
        self.store.restore(self.store.copy())
        restored_s = time.monotonic()
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.usable(first) != ALL, COUNTED_S
            )
        )
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.usable(first) == ALL, PASSED_ON_WITHIN_S
            )
        )
        self.assertGreater(time.monotonic() - restored_s, COUNTED_S)


class ShareSizesTest(unittest.TestCase):
    def test_the_shares_make_up_the_allowance(self) -> None:
        for allowance_count in (0.0, 3.0, 58.0, 162.0, 430.0, 720.5):
            with self.subTest(allowance_count=allowance_count):
                sizes = allowance_shares.share_sizes(allowance_count)
                self.assertEqual(sum(sizes), int(allowance_count))


if __name__ == "__main__":
    unittest.main()

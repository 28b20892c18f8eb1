"""Tests which gateways grant the requests to a server with a limit."""

import unittest

from mulberrywharf.policy import limit_ownership

ZONES = {f"vm-{number}": f"zone-{number % 3}" for number in range(9)}
KEYS = range(50)
ZONE = "zone-0"


class OwnershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ownership = limit_ownership.LimitOwnership()
        self.ownership.note_listed(ZONES, 0.0)

    def owners(self, now_s: float) -> list[tuple[str, ...]]:
        return [self.ownership.owners(key, ZONE, now_s) for key in KEYS]

    def settled(self, now_s: float) -> list[bool]:
        return [self.ownership.is_settled(key, ZONE, now_s) for key in KEYS]

    def test_no_gateway_owns_a_limit_before_the_first_list(self) -> None:
        """A gateway that knew no others granted itself the whole limit."""
        fresh = limit_ownership.LimitOwnership()
        self.assertEqual(fresh.owners(1, ZONE, 0.0), ())
        self.assertFalse(fresh.is_settled(1, ZONE, 100.0))

    def test_owners_are_in_the_zone_of_the_server(self) -> None:
        for owners in self.owners(0.0):
            self.assertEqual(len(owners), limit_ownership.RANKS_COUNT)
            self.assertEqual({ZONES[vm_id] for vm_id in owners}, {ZONE})
        elsewhere = self.ownership.owners(1, "zone-without-gateways", 0.0)
        self.assertEqual(len(elsewhere), limit_ownership.RANKS_COUNT)

    def test_limits_are_spread_over_the_gateways(self) -> None:
        firsts = [owners[0] for owners in self.owners(0.0)]
        for vm_id in set(firsts):
            self.assertGreater(firsts.count(vm_id), len(KEYS) / 3 / 3)

    def test_settled_only_when_every_gateway_has_read_the_list(self) -> None:
        self.assertFalse(any(self.settled(limit_ownership.SETTLE_S - 0.1)))
        self.assertTrue(all(self.settled(limit_ownership.SETTLE_S)))

    def test_an_added_gateway_unsettles_only_the_limits_it_owns(self) -> None:
        self.settled(20.0)
        self.ownership.note_listed({**ZONES, "vm-new": ZONE}, 20.0)
        owners, settled = self.owners(21.0), self.settled(21.0)
        for ranked, is_settled in zip(owners, settled, strict=True):
            self.assertEqual(is_settled, ranked[0] != "vm-new")
        self.assertIn(False, settled)
        self.assertTrue(all(self.settled(20.0 + limit_ownership.SETTLE_S)))

    def test_lost_registrations_change_no_owner(self) -> None:
        """After an outage of the store gateways register one by one."""
        before = self.owners(19.0)
        kept = {"vm-0": ZONE}
        for at_s in (20.0, 25.0, 30.0):
            self.ownership.note_listed(kept, at_s)
            self.assertEqual(self.owners(at_s), before)
            self.assertTrue(all(self.settled(at_s)))
        self.ownership.note_listed(ZONES, 33.0)
        self.assertEqual(self.owners(60.0), before)

    def test_a_gateway_that_stays_away_loses_its_rank(self) -> None:
        gone = self.ownership.owners(1, ZONE, 19.0)[0]
        left = {vm: zone for vm, zone in ZONES.items() if vm != gone}
        self.ownership.note_listed(left, 20.0)
        self.assertEqual(self.ownership.owners(1, ZONE, 21.0)[0], gone)
        held_until_s = 20.0 + limit_ownership.REMOVED_HOLD_S
        self.assertNotIn(gone, self.ownership.owners(1, ZONE, held_until_s))
        self.assertFalse(self.ownership.is_settled(1, ZONE, held_until_s + 1))


if __name__ == "__main__":
    unittest.main()

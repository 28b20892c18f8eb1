"""Tests that the share of prefill engines survives a change of engines."""

import unittest
from typing import Any

from mulberrywharf import fleet
from mulberrywharf.authority import initial_roles, role_manager
from mulberrywharf.engines import role_orders
from mulberrywharf.platform import orders
from tests import builders_routes as build
from tests import test_role_manager


def engines(prefill_count: int, decode_count: int) -> list[fleet.Server]:
    return [
        build.server(f"e{n}", role="prefill" if n < prefill_count else "decode")
        for n in range(prefill_count + decode_count)
    ]


class InitialSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = initial_roles.InitialPrefillShares()

    def test_share_is_taken_once_the_view_is_full(self) -> None:
        """Guards against the share of the first engines that registered."""
        for now_s in (0.0, 0.5):
            self.shares.note("service", engines(2, 0), now_s)
        self.shares.note("service", engines(4, 8), 0.9)
        self.assertIsNone(self.shares.share("service"))
        self.shares.note("service", engines(4, 8), 2.0)
        self.assertAlmostEqual(self.shares.share("service") or 0.0, 1 / 3)

    def test_share_does_not_follow_later_engines(self) -> None:
        for now_s in (0.0, 1.0):
            self.shares.note("service", engines(4, 8), now_s)
        for now_s in (2.0, 3.0, 4.0):
            self.shares.note("service", engines(0, 12), now_s)
        self.assertAlmostEqual(self.shares.share("service") or 0.0, 1 / 3)

    def test_gateway_without_the_duty_notes_the_share(self) -> None:
        """Guards against a new holder that takes a changed share for the first.

        Only services whose engines are ordered have a minimum.
        """
        listed: Any = test_role_manager._Engines()
        listed.engines = lambda: {
            "scaled": engines(4, 8),
            "other": engines(4, 8),
        }
        listed.scaled = frozenset({"scaled"})
        holder = test_role_manager._Holder()
        holder.is_held = False
        clock = build.ManualClock()
        manager = role_manager.RoleManager(
            holder,
            listed,
            role_orders.RoleClient(orders.OrderDialect()),
            "vm-1",
            clock,
        )
        self.addCleanup(manager.close)
        manager.note_initial_shares()
        clock.now_s += 1.0
        manager.note_initial_shares()
        self.assertAlmostEqual(
            manager._initial_shares.share("scaled") or 0.0, 1 / 3
        )
        self.assertIsNone(manager._initial_shares.share("other"))


if __name__ == "__main__":
    unittest.main()

"""Tests of how a node's configuration advances and is never reverted."""

import contextlib
import unittest

from mulberrywharf import errors
from mulberrywharf.platform_service import (
    config_follower,
    config_store,
    configuration,
)
from tests import builders_platform as builders


class OfferTest(unittest.TestCase):
    def follower(self) -> config_follower.ConfigFollower:
        client = builders.client_for(builders.closed_port())
        self.addCleanup(client.close)
        return config_follower.ConfigFollower(client, builders.DEPLOYMENT)

    def test_highest_rank_wins_in_any_order(self) -> None:
        """Guards against nodes with different configurations of one version.

        After a restore two changes have the same version, and nodes receive
        them in different orders. On a tie, nodes must not keep what they have.
        """
        offers = [
            builders.configuration_of(1),
            builders.configuration_of(3, change_id="a", changed_unix_s=5.0),
            builders.configuration_of(3, change_id="b", changed_unix_s=4.0),
            builders.configuration_of(2),
        ]
        for order in ((0, 1, 2, 3), (3, 2, 1, 0), (2, 0, 1, 3)):
            with self.subTest(order=order):
                follower = self.follower()
                seen: list[int] = []
                follower.on_change(lambda c, seen=seen: seen.append(c.version))
                for index in order:
                    follower.apply_if_newer(offers[index].raw).unwrap()
                self.assertEqual(follower.current(), offers[1])
                self.assertEqual(seen, sorted(seen))

    def test_invalid_configuration_is_ignored(self) -> None:
        follower = self.follower()
        follower.apply_if_newer(builders.configuration_of(1).raw).unwrap()
        faulty = builders.configuration_of(2, document={"bad": 1}).raw
        for offered in (b"", b"{}", b"\xff", faulty):
            with self.subTest(offered=offered):
                refused = follower.apply_if_newer(offered).unwrap_err()
                self.assertIsInstance(refused, errors.DocumentError)
        self.assertEqual(follower.version(), 1)

    def test_failing_callback_does_not_affect_others(self) -> None:
        follower = self.follower()
        seen: list[int] = []
        follower.on_change(lambda _: [][0])
        follower.on_change(lambda c: seen.append(c.version))
        follower.apply_if_newer(builders.configuration_of(1).raw).unwrap()
        self.assertEqual(seen, [1])

    def test_wait_times_out_without_a_configuration(self) -> None:
        self.assertIsNone(self.follower().wait(0.05))


class FollowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = self.enterContext(builders.running_key_value())
        self.client = builders.client_for(self.service.port)
        self.addCleanup(self.client.close)
        self.store = config_store.ConfigStore(self.client, builders.DEPLOYMENT)

    def follower(self) -> config_follower.ConfigFollower:
        client = builders.client_for(self.service.port)
        follower = config_follower.ConfigFollower(
            client, builders.DEPLOYMENT, reinstate_spread_s=0.2
        )
        follower.start()
        self.addCleanup(client.close)
        self.addCleanup(follower.close)
        return follower

    def change(self, version: int) -> configuration.Configuration:
        name = f"c{version}"
        return self.store.change(
            builders.document_of(name), "ana", "", name, version - 1
        ).unwrap()

    def assert_reaches(
        self, follower: config_follower.ConfigFollower, version: int
    ) -> None:
        builders.wait_until(lambda: follower.version() >= version)
        self.assertEqual(follower.version(), version)

    def test_follower_started_before_the_first_change(self) -> None:
        follower = self.follower()
        self.assertIsNone(follower.current())
        accepted = self.change(1)
        self.assertEqual(follower.wait(builders.WAIT_LIMIT_S), accepted)
        self.change(2)
        self.assert_reaches(follower, 2)

    def test_several_changes_need_one_watch(self) -> None:
        follower = self.follower()
        for version in range(1, 6):
            self.change(version)
        self.assert_reaches(follower, 5)
        self.assertEqual(self.service.calls_by_kind["watch"], 1)

    def test_follower_catches_up_after_an_outage(self) -> None:
        """Guards against a node that stays at an old configuration.

        The watch breaks, the service is down for a while and recovers, and a
        change is made. The watch must be opened again.
        """
        follower = self.follower()
        self.change(1)
        self.assert_reaches(follower, 1)
        self.service.set_faults(down=True)
        builders.wait_until(lambda: not self.service.store.watchers)
        self.service.set_faults()
        self.change(2)
        self.assert_reaches(follower, 2)

    def test_other_node_provides_what_the_watch_missed(self) -> None:
        follower = self.follower()
        self.change(1)
        self.assert_reaches(follower, 1)
        self.service.set_faults(down=True)
        follower.apply_if_newer(builders.configuration_of(2).raw).unwrap()
        self.assertEqual(follower.version(), 2)

    def test_restored_service_does_not_revert_nodes(self) -> None:
        """Guards against reverting an accepted change on every node.

        The service is restored from a backup or comes back empty, and the
        watches read it again. Nodes must not apply whatever the service holds.
        """
        cases = (
            ("older", lambda backup: self.service.restore(backup)),
            ("empty", lambda backup: self.service.wipe()),
        )
        version = 0
        for name, restore in cases:
            with self.subTest(name), contextlib.ExitStack() as seen_stack:
                followers = [self.follower() for _ in range(3)]
                base = self.change(version + 1)
                backup = self.service.snapshot()
                latest = self.change(version + 2)
                version += 2
                for follower in followers:
                    self.assert_reaches(follower, version)
                seen: list[int] = []
                for follower in followers:
                    follower.on_change(lambda c, s=seen: s.append(c.version))
                restore(backup)
                self.assertTrue(
                    builders.wait_until(
                        lambda latest=latest: (
                            self.store.read().unwrap() == latest
                        )
                    )
                )
                self.assertNotIn(base.version, seen)
                self.assert_all_follow(followers, version + 1)
                version += 1
                seen_stack.close()

    def assert_all_follow(
        self, followers: list[config_follower.ConfigFollower], version: int
    ) -> None:
        self.change(version)
        for follower in followers:
            self.assert_reaches(follower, version)


if __name__ == "__main__":
    unittest.main()

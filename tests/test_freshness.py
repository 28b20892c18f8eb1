"""Tests the confirmation that the routes in force are the newest."""

import unittest

import gevent

from mulberrywharf import clock
from mulberrywharf.peers import freshness_relay
from mulberrywharf.platform import documents
from mulberrywharf.routes import follower, freshness
from tests import builders_platform
from tests import builders_routes as build

AGE_LIMIT_S = 1.5
INTERVAL_S = AGE_LIMIT_S * freshness.INTERVAL_SHARE
IN_FORCE_S = 2.0
"""Operators are promised changed routes after this time."""


class SuspendableClock(clock.BootClock):
    """A clock that can simulate the suspension of a machine."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.suspended_s


class FreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.client = build.store_client(self.store.port, timeout_s=0.3)
        self.addCleanup(self.client.close)
        self.routes = follower.RouteFollower(
            self.client, documents.StoredDocuments()
        )
        self.clock = SuspendableClock()
        self.freshness = freshness.RoutesFreshness(
            self.client,
            self.routes,
            AGE_LIMIT_S,
            relay=self.make_relay(),
            system_clock=self.clock,
        )
        self.addCleanup(self.freshness.close)
        self.put(1)

    def make_relay(self) -> "FakeRelay | None":
        return None

    def put(self, version: int) -> None:
        self.store.put(documents.ROUTES_KEY, build.routes_value(version))

    def is_confirmed(self, age_s: float = AGE_LIMIT_S) -> bool:
        return self.freshness.is_confirmed(self.freshness.now_s(), age_s)

    def start(self) -> None:
        self.freshness.start()
        self.assertTrue(builders_platform.wait_until(self.is_confirmed))

    def version(self) -> int:
        found = self.routes.current()
        return found.version if found else 0

    def test_stays_confirmed_while_the_store_responds(self) -> None:
        self.start()
        for _ in range(8):
            gevent.sleep(AGE_LIMIT_S / 4)
            self.assertTrue(self.is_confirmed())
        self.assertEqual(self.version(), 1)

    def test_confirmation_loads_changed_routes(self) -> None:
        """Guards against missing changes after the service drops a watch."""
        self.start()
        self.put(2)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.version() == 2)
        )

    def test_unresponsive_store_does_not_confirm(self) -> None:
        """Guards against treating missing answers as no change."""
        self.start()
        self.store.faults["silent"] = 60.0
        gevent.sleep(AGE_LIMIT_S)
        self.assertFalse(self.is_confirmed())
        self.store.faults.clear()
        self.assertTrue(builders_platform.wait_until(self.is_confirmed))

    def test_age_is_measured_from_the_request(self) -> None:
        """Guards against dating a confirmation by a delayed answer."""
        self.start()
        self.store.faults["pause_in_body_s"] = 0.2
        gevent.sleep(2 * INTERVAL_S)
        start_s = self.freshness.now_s()
        self.assertTrue(
            self.freshness.wait_confirmed(
                start_s, freshness.CLOCK_DRIFT_MARGIN_S, 1.0
            )
        )
        self.assertGreaterEqual(self.freshness.now_s() - start_s, 0.2)
        self.assertFalse(
            self.is_confirmed(freshness.CLOCK_DRIFT_MARGIN_S + 0.15)
        )

    def test_age_includes_suspension(self) -> None:
        """Guards against outdated routes after a machine resumes."""
        self.start()
        self.clock.suspended_s += 60.0
        self.assertFalse(self.is_confirmed())
        self.assertTrue(
            self.freshness.wait_confirmed(
                self.freshness.now_s(), AGE_LIMIT_S, 1.0
            )
        )

    def test_routes_are_read_again_after_dropped_history(self) -> None:
        """Guards against failing forever once the store drops its history."""
        self.start()
        self.put(2)
        self.store.drop_history()
        self.put(3)
        gevent.sleep(AGE_LIMIT_S)
        self.assertTrue(self.is_confirmed())
        self.assertEqual(self.version(), 3)

    def test_malformed_routes_do_not_confirm(self) -> None:
        """Guards against missing a revocation in a malformed document."""
        self.start()
        self.store.put(documents.ROUTES_KEY, b'{"version": 2}')
        gevent.sleep(AGE_LIMIT_S + INTERVAL_S)
        self.assertFalse(self.is_confirmed())
        self.put(3)
        self.assertTrue(builders_platform.wait_until(self.is_confirmed))

    def test_malformed_routes_from_the_watch_do_not_confirm(self) -> None:
        """Guards against confirming the revision of routes not in force."""
        self.routes.start()
        self.addCleanup(self.routes.close)
        self.test_malformed_routes_do_not_confirm()

    def test_deleted_routes_do_not_confirm(self) -> None:
        self.start()
        self.store.delete(documents.ROUTES_KEY)
        gevent.sleep(AGE_LIMIT_S + INTERVAL_S)
        self.assertFalse(self.is_confirmed())

    def test_restored_store_does_not_confirm_at_first(self) -> None:
        """Guards against accepting a revoked key from a restored backup."""
        self.store.era = 1
        copy = self.store.copy()
        self.start()
        self.put(2)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.version() == 2)
        )
        self.store.restore(copy)
        gevent.sleep(AGE_LIMIT_S + INTERVAL_S)
        self.assertFalse(self.is_confirmed())
        # Operators write the newest routes again.
        self.put(2)
        self.assertTrue(
            builders_platform.wait_until(
                self.is_confirmed, limit_s=freshness.RESTORE_HOLD_OFF_S + 2.0
            )
        )
        self.assertEqual(self.version(), 2)

    def test_routes_are_loaded_though_their_change_is_hidden(self) -> None:
        """Guards against confirming by the kind of call that is behind."""
        self.start()
        self.store.hold_watches(0)
        self.put(2)
        gevent.sleep(AGE_LIMIT_S)
        self.assertEqual(self.version(), 2)
        self.assertTrue(self.is_confirmed())

    def test_revision_of_a_lost_history_confirms_nothing(self) -> None:
        """Guards against an old document at a revision assigned again."""
        self.store.era = 1
        self.routes.start()
        self.addCleanup(self.routes.close)
        copy = self.store.copy()
        self.start()
        self.put(2)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.version() == 2 and self.is_confirmed(0.5)
            )
        )
        revision = self.store.store.revision
        self.store.restore(copy)
        self.store.hold_watches(0)
        self.put(1)
        self.assertEqual(self.store.store.revision, revision)
        gevent.sleep(freshness.RESTORE_HOLD_OFF_S + AGE_LIMIT_S)
        self.assertFalse(self.is_confirmed())

    def test_first_confirmation_is_no_write_call(self) -> None:
        """Guards against gateways that start at once and spend all writes."""
        self.routes.start()
        self.addCleanup(self.routes.close)
        self.assertIsNotNone(self.routes.wait_first(1.0))
        self.start()
        self.assertNotIn(("POST", "/kv-txn"), self.store.calls)

    def test_watch_goes_on_from_what_a_confirmation_read(self) -> None:
        """Guards against a watch that stays behind a change it passed over."""
        self.routes.start()
        self.addCleanup(self.routes.close)
        self.start()
        changes = []
        self.routes.on_change(changes.append)
        watched = self.routes.watched()
        assert watched is not None
        self.store.hold_watches(0)
        self.put(2)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.version() == 2)
        )
        self.assertEqual(watched.changed_revision, self.store.store.revision)
        self.store.free_watches(0)
        readings_count = watched.readings_count
        gevent.sleep(AGE_LIMIT_S)
        self.assertTrue(self.is_confirmed())
        self.assertEqual(watched.readings_count, readings_count)
        self.put(3)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.version() == 3)
        )
        self.assertEqual([one.version for one in changes], [2, 3])

    def test_changes_are_found_within_their_bound(self) -> None:
        """Guards against routes that are old because no key needs newer ones.

        Without a bound for keys, routes were confirmed seconds apart or by
        other gateways only.
        """
        self.freshness.close()
        unbounded = freshness.RoutesFreshness(self.client, self.routes, None)
        self.addCleanup(unbounded.close)
        unbounded.start()
        for version in range(2, 5):
            gevent.sleep(0.4)
            self.put(version)
            self.assertTrue(
                builders_platform.wait_until(
                    lambda version=version: self.version() == version,
                    limit_s=IN_FORCE_S,
                )
            )

    def test_waiting_callers_share_a_request(self) -> None:
        """Guards against overloading the service with unknown keys."""
        self.start()
        self.clock.suspended_s += 60.0
        before_count = len(self.store.calls)
        now_s = self.freshness.now_s()
        waiting = [
            gevent.spawn(self.freshness.wait_confirmed, now_s, AGE_LIMIT_S, 1.0)
            for _ in range(100)
        ]
        gevent.joinall(waiting)
        self.assertTrue(all(greenlet.value for greenlet in waiting))
        self.assertLessEqual(len(self.store.calls) - before_count, 3)


class FakeRelay:
    """Replies to questions with a value that tests set."""

    def __init__(self) -> None:
        self.reply: freshness_relay.Confirmation | None = None
        self.asked_count = 0
        self.knows_others = True

    def ask(self) -> freshness_relay.Confirmation | None:
        self.asked_count += 1
        return self.reply

    def ask_all(self) -> list[freshness_relay.Confirmation] | None:
        if not self.knows_others:
            return None
        return [self.reply] if self.reply else []


class RelayedFreshnessTest(FreshnessTest):
    """Repeats the tests with a silent reader, and adds some with replies."""

    def make_relay(self) -> FakeRelay:
        self.relay = FakeRelay()
        return self.relay

    def test_replies_confirm_while_the_store_is_silent(self) -> None:
        """Guards against refusing keys that another gateway can confirm."""
        self.start()
        self.store.faults["silent"] = 60.0
        self.relay.reply = freshness_relay.Confirmation(1, 0.0)
        gevent.sleep(AGE_LIMIT_S)
        for _ in range(4):
            gevent.sleep(AGE_LIMIT_S / 4)
            self.assertTrue(self.is_confirmed())

    def test_store_is_asked_though_others_reply(self) -> None:
        """Guards against changes that arrive only if another gateway runs."""
        self.start()
        self.relay.reply = freshness_relay.Confirmation(1, 0.0)
        self.put(2)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.version() == 2, limit_s=AGE_LIMIT_S
            )
        )
        self.assertEqual(self.relay.asked_count, 0)

    def test_outdated_reply_confirms_nothing(self) -> None:
        """Guards against using an old confirmation of a suspended reader."""
        self.start()
        self.store.faults["silent"] = 60.0
        self.relay.reply = freshness_relay.Confirmation(
            1, freshness.RELAYED_AGE_LIMIT_SHARE * AGE_LIMIT_S + 0.01
        )
        gevent.sleep(AGE_LIMIT_S)
        self.assertFalse(self.is_confirmed())

    def test_reply_with_a_newer_version_confirms_nothing(self) -> None:
        """Guards against accepting a key that newer routes revoke."""
        self.start()
        self.store.faults["silent"] = 60.0
        self.relay.reply = freshness_relay.Confirmation(2, 0.0)
        gevent.sleep(AGE_LIMIT_S)
        self.assertFalse(self.is_confirmed())

    def test_start_beside_newer_routes_confirms_nothing(self) -> None:
        """Guards against keys that an older copy of the store still holds."""
        self.store.era = 1
        self.relay.reply = freshness_relay.Confirmation(2, AGE_LIMIT_S)
        self.freshness.start()
        gevent.sleep(AGE_LIMIT_S)
        self.assertEqual(self.version(), 1)
        self.assertFalse(self.is_confirmed())
        self.put(2)
        self.assertTrue(builders_platform.wait_until(self.is_confirmed))

    def test_start_waits_for_the_other_gateways_to_be_known(self) -> None:
        """Guards against a first confirmation that asks nobody."""
        self.store.era = 1
        self.relay.knows_others = False
        self.freshness.start()
        gevent.sleep(AGE_LIMIT_S)
        self.assertFalse(self.is_confirmed())
        self.relay.knows_others = True
        self.assertTrue(builders_platform.wait_until(self.is_confirmed))

    def test_only_gateway_is_confirmed_in_the_end(self) -> None:
        """Guards against keys refused for good where no other gateway runs."""
        self.store.era = 1
        self.relay.knows_others = False
        self.freshness.start()
        limit_s = freshness.RESTORE_HOLD_OFF_S + AGE_LIMIT_S
        self.assertTrue(
            builders_platform.wait_until(self.is_confirmed, limit_s)
        )


if __name__ == "__main__":
    unittest.main()

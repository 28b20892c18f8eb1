"""Tests restores of the store from a copy that is some seconds old.

A restore loses all leases and the writes that the store acknowledged since the
copy, and assigns the same revisions again. Operators and servers write their
records again. Meanwhile gateways must keep the state that they learned before,
must not use leases that the restore ended, and must not miss changes.
"""

import functools
import time
import unittest
from typing import Any

import gevent
from result import Err, Ok

from mulberrywharf.authority import duty_holder
from mulberrywharf.forwarding import servers
from mulberrywharf.peers import directory, notice_codec, revision_exchange
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import (
    era,
    key_value,
    key_value_types,
    lease,
    watch,
)
from mulberrywharf.routes import follower
from standins import platform_store
from tests import builders_platform
from tests import builders_routes as build

KEY = documents.SERVERS_PREFIX + "i-1"
RECOVERY_LIMIT_S = 3.0
"""Operators are promised that gateways are up to date this long after the store
is available again."""

MISSING_HOLD_S = 1.6


def wait_for(condition: Any, limit_s: float = RECOVERY_LIMIT_S) -> bool:
    return builders_platform.wait_until(condition, limit_s)


class EraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.era = era.ServiceEra()
        self.restored_count = 0
        self.era.on_restored(self.count_restore)

    def count_restore(self) -> None:
        self.restored_count += 1

    def test_newer_era_is_reported_as_one_restore(self) -> None:
        for era_text in ("3", "3", "4", "4"):
            self.assertTrue(self.era.observe(era_text))
        self.assertEqual(self.era.current, 4)
        self.assertEqual(self.restored_count, 1)

    def test_older_era_is_rejected(self) -> None:
        self.era.observe("4")
        self.assertFalse(self.era.observe("3"))
        self.assertEqual(self.era.current, 4)
        self.assertEqual(self.restored_count, 0)

    def test_missing_or_malformed_era_changes_nothing(self) -> None:
        self.era.observe("4")
        for era_text in (
            None,
            "",
            "x",
            "-1",
            "5.0",
            "\u0665",
            "1e3",
            "9" * 5_000,
        ):
            with self.subTest(era_text=era_text):
                self.assertTrue(self.era.observe(era_text))
                self.assertEqual(self.era.current, 4)
        self.assertEqual(self.restored_count, 0)

    def test_first_era_after_responses_without_one_is_a_restore(self) -> None:
        self.era.observe(None)
        self.era.observe("1")
        self.assertEqual(self.restored_count, 1)

    def test_removed_callback_is_not_called(self) -> None:
        self.era.remove_callback(self.count_restore)
        self.era.remove_callback(self.count_restore)
        self.era.observe("1")
        self.era.observe("2")
        self.assertEqual(self.restored_count, 0)


class RestoredCase(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.store.era = 1
        self.client = self.new_client()

    def new_client(self) -> key_value.KeyValueClient:
        made = build.store_client(self.store.port)
        self.addCleanup(made.close)
        return made

    def call_store(self) -> None:
        """Calls the store so that the client sees its era."""
        self.client.get("any", purpose="test")


class WatchTest(RestoredCase):
    def setUp(self) -> None:
        super().setUp()
        self.present: dict[str, bytes] = {}

    def start(self) -> watch.Watch:
        return self.client.watch("k/", self.apply_event, purpose="test")

    def apply_event(self, event: key_value_types.WatchEvent) -> None:
        if event.kind == "put":
            self.present[event.key_value.key] = event.key_value.value
        else:
            self.present.pop(event.key_value.key, None)

    def test_no_change_is_missed_when_revisions_catch_up(self) -> None:
        """Guards against missing changes after a restore.

        A watch has seen revision 9. The store is restored at revision 7 and has
        assigned 9 again, to other keys, when the watch requests changes after
        9. The watch compared revisions without the era.
        """
        self.store.put("k/a", b"1")
        copy = self.store.copy()
        for ahead_count in (0, 1, 3):
            with self.subTest(ahead_count=ahead_count):
                self.store.restore(copy)
                started = self.start()
                self.store.put("k/b", b"lost")
                self.store.put("k/b", b"lost too")
                self.assertTrue(wait_for(lambda: "k/b" in self.present))
                self.store.restore(copy)
                self.store.put("k/c", b"2")
                for _ in range(ahead_count):
                    self.store.put("other", b"")
                self.assertTrue(
                    wait_for(
                        lambda: self.present == {"k/a": b"1", "k/c": b"2"}
                    ),
                    self.present,
                )
                started.close()
                self.present.clear()

    def test_second_restore_right_after_the_first(self) -> None:
        self.store.put("k/a", b"1")
        self.start()
        self.assertTrue(wait_for(lambda: self.present))
        copy = self.store.copy()
        self.store.restore(copy)
        self.store.put("k/a", b"2")
        gevent.sleep(0.5)
        self.store.restore(copy)
        self.store.put("k/d", b"3")
        self.assertTrue(
            wait_for(lambda: self.present == {"k/a": b"1", "k/d": b"3"})
        )

    def test_watch_continues_when_the_store_stops_sending_its_era(self) -> None:
        self.store.put("k/a", b"1")
        self.start()
        self.assertTrue(wait_for(lambda: self.present))
        for value, era_text in ((b"2", "x"), (b"3", "")):
            self.store.faults = {"era": era_text}
            self.store.put("k/a", value)
            is_seen = functools.partial(self.has_value, "k/a", value)
            self.assertTrue(wait_for(is_seen))

    def has_value(self, key: str, value: bytes) -> bool:
        return self.present[key] == value

    def test_late_responses_from_an_older_era_are_rejected(self) -> None:
        self.store.put("k/a", b"1")
        self.call_store()
        self.store.restore(self.store.copy())
        self.call_store()
        self.store.faults = {"era": "1"}
        read = self.client.get("k/a", purpose="test")
        self.assertIsInstance(read, Err)
        self.assertEqual(self.client.era, 2)
        self.store.faults = {}
        self.assertIsInstance(self.client.get("k/a", purpose="test"), Ok)


class RoutesTest(RestoredCase):
    def test_routes_do_not_revert_to_an_older_version(self) -> None:
        """Guards against serving a removed route again.

        Version 2 is in force when the store is restored with version 1. The
        operators write version 2 again, then 3. The version in the store was
        applied even if it was older than the one in force.
        """
        self.store.put(documents.ROUTES_KEY, build.routes_value(1))
        copy = self.store.copy()
        routes = follower.RouteFollower(
            self.client, documents.StoredDocuments()
        )
        versions: list[int] = []
        routes.on_change(lambda found: versions.append(found.version))
        routes.start()
        self.addCleanup(routes.close)
        self.assertTrue(wait_for(lambda: versions == [1]))
        self.store.put(documents.ROUTES_KEY, build.routes_value(2))
        self.assertTrue(wait_for(lambda: versions == [1, 2]))
        self.store.restore(copy)
        gevent.sleep(RECOVERY_LIMIT_S)
        self.store.put(documents.ROUTES_KEY, build.routes_value(2))
        self.store.put(documents.ROUTES_KEY, build.routes_value(3))
        self.assertTrue(wait_for(lambda: versions[-1] == 3))
        self.assertEqual(versions, sorted(set(versions)))


class ServersTest(RestoredCase):
    def setUp(self) -> None:
        super().setUp()
        self.store.put(KEY, build.server_value())
        self.listed = servers.ServerList(
            self.client,
            documents.StoredDocuments(),
            missing_hold_s=MISSING_HOLD_S,
        )
        self.listed.start()
        self.addCleanup(self.listed.close)
        self.assertTrue(wait_for(lambda: self.ids() == ["i-1"]))

    def ids(self) -> list[str]:
        return [one.server_id for one in self.listed.usable("plain")]

    def restore(self, copy: platform_store.Copy) -> None:
        self.store.restore(copy)
        self.call_store()
        gevent.sleep(watch.RESTORE_JITTER_S + 0.3)

    def test_leaving_server_gets_no_requests_after_a_restore(self) -> None:
        """Guards against sending new requests to a server that is leaving.

        The store is restored from a copy in which the server is ready. The
        server announces again that it leaves, up to 2 s later. The older record
        was taken for a newer announcement.
        """
        copy = self.store.copy()
        self.store.put(KEY, build.server_value(state="draining"))
        self.assertTrue(wait_for(lambda: not self.ids()))
        self.restore(copy)
        self.assertEqual(self.ids(), [])
        self.store.put(KEY, build.server_value(state="draining", sequence=9))
        gevent.sleep(0.3)
        self.assertEqual(self.ids(), [])

    def test_restored_record_does_not_revive_a_server(self) -> None:
        """Guards against requests that wait for a server that has stopped.

        A server stops and its record is deleted; the store is restored from a
        copy that contains the record. It was taken as proof that the server
        runs.
        """
        copy = self.store.copy()
        self.store.delete(KEY)
        self.assertTrue(wait_for(lambda: not self.ids()))
        self.restore(copy)
        self.assertEqual(self.ids(), [])
        self.store.put(KEY, build.server_value(sequence=9))
        self.assertTrue(wait_for(lambda: self.ids() == ["i-1"]))

    def test_server_missing_from_the_copy_is_kept_temporarily(self) -> None:
        """Guards against rejecting callers while all servers are running.

        The copy is from before the servers registered; they write their records
        again within 2 s. A record that is missing from the copy was taken as a
        server that has left.
        """
        copy = self.store.copy()._replace(records={})
        self.restore(copy)
        self.assertEqual(self.ids(), ["i-1"])
        self.store.put(KEY, build.server_value(sequence=9))
        gevent.sleep(2 * MISSING_HOLD_S)
        self.assertEqual(self.ids(), ["i-1"])

    def test_server_that_does_not_register_again_is_dropped(self) -> None:
        self.restore(self.store.copy()._replace(records={}))
        self.assertTrue(wait_for(lambda: not self.ids(), 2 * MISSING_HOLD_S))

    def test_records_written_after_a_restore_are_used(self) -> None:
        copy = self.store.copy()
        self.restore(copy)
        self.store.put(KEY, build.server_value(state="draining", sequence=9))
        self.assertTrue(wait_for(lambda: not self.ids()))


class OwnershipTest(RestoredCase):
    def test_restore_ends_a_lease_immediately(self) -> None:
        """Guards against two gateways that hold the same key.

        The store is restored without the lease and its key, and another gateway
        creates the key. By its own clock, the first gateway's lease is valid
        for some more seconds. Only expiry or a rejected renewal ended a lease.
        """
        lost: list[object] = []
        held = lease.LeaseHolder(
            self.client, ttl_s=30.0, purpose="test", on_lost=lost.append
        )
        held.start().unwrap()
        self.addCleanup(held.close)
        held.create_key("k", b"mine").unwrap()
        copy = self.store.copy()
        self.store.restore(copy)
        self.call_store()
        self.assertFalse(held.is_valid())
        self.assertEqual(len(lost), 1)

    def test_fencing_numbers_increase_across_a_restore(self) -> None:
        """Guards against engines that prefer an order of the previous holder.

        A holder uses the revision that created its key as its fencing number.
        The store is restored and assigns lower revisions again, and the next
        holder gets one of them. Revisions alone don't always increase.
        """
        timing = duty_holder.HolderTiming(
            lease_ttl_s=2.0, first_check_max_delay_s=0.0, check_interval_s=0.1
        )
        copy = self.store.copy()
        for _ in range(20):
            self.store.put("other", b"")
        holder = duty_holder.DutyHolder(
            self.client, "vm-1", min_lease_s=1.0, timing=timing
        )
        holder.start()
        self.addCleanup(holder.close)
        before = self.number(holder)
        self.assertIsInstance(holder.record(b"order"), Ok)
        restored_s = time.monotonic()
        self.store.restore(copy)
        self.call_store()
        self.assertIsInstance(holder.authority(), Err)
        after = self.number(holder)
        self.assertGreater(after, before)
        # The restore lost the record of the order, but the order may still be
        # in transit.
        quiet_s = time.monotonic() - restored_s
        self.assertGreater(quiet_s, timing.lease_ttl_s)

    def number(self, holder: duty_holder.DutyHolder) -> int:
        self.assertTrue(wait_for(lambda: holder.authority().is_ok(), 8.0))
        return holder.authority().unwrap().number

    def test_other_gateways_stay_known_after_a_restore(self) -> None:
        """Guards against a gateway that considers itself the only one.

        It would then use the retry budget of all. The store is restored without
        the gateways' keys, and one gateway reads it before the others have
        registered again. A missing key was taken for a gateway that is gone.
        """
        self.store.put(
            f"{directory.KEY_PREFIX}vm-2/1-1", b"10.0.0.2:7660/zone-a"
        )
        copy = self.store.copy()._replace(records={})
        address = build.fleet.Address("10.0.0.1", 7660)
        known = directory.PeerDirectory(
            self.client, "vm-1", address, "zone-a", "1"
        )
        read = self.client.get_prefix(directory.KEY_PREFIX, purpose="test")
        known._update_peers(read.unwrap())
        self.assertEqual(known.gateways_count, 2)
        self.store.restore(copy)
        read = self.client.get_prefix(directory.KEY_PREFIX, purpose="test")
        known._update_peers(read.unwrap())
        self.assertEqual(known.gateways_count, 2)


class _Watch:
    changed_revision = 50
    seen_revision = proven_revision = 50
    age_s = 0.1

    def __init__(self) -> None:
        self.hurries_count = 0

    def reopen_if_waiting(self) -> None:
        self.hurries_count += 1


class _Notices:
    def set_seen_callbacks(self, *_: object) -> None:
        """Does nothing; the tests call ``seen`` and ``on_seen`` themselves."""

    def send_now(self) -> None:
        """Does nothing."""


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.watched = _Watch()
        self.news = revision_exchange.RevisionExchange(
            _Notices(), lambda: {"routes_revision": self.watched}, lambda: 2
        )

    def test_notice_of_an_older_era_is_ignored(self) -> None:
        """Guards against changes that arrive 30 s late.

        The store is restored from an older copy while a gateway is paused. When
        it resumes, it sends the high revisions of the older era. Revisions of
        different eras were compared.
        """
        seen = notice_codec.SeenRevisions(90, 90, era=1)
        self.news.on_seen(seen)
        gevent.sleep(revision_exchange.REOPEN_DELAY_S + 0.1)
        self.assertEqual(self.watched.hurries_count, 0)
        self.news.on_seen(seen._replace(era=2))
        gevent.sleep(revision_exchange.REOPEN_DELAY_S + 0.1)
        self.assertEqual(self.watched.hurries_count, 1)

    def test_peer_with_a_newer_era_triggers_a_store_read(self) -> None:
        for _ in range(3):
            self.news.on_seen(notice_codec.SeenRevisions(1, 1, era=3))
        self.assertEqual(self.watched.hurries_count, 1)


if __name__ == "__main__":
    unittest.main()

"""The store comes back from a copy some seconds old.

What it had acknowledged since is gone, leases too, and it gives the same
revisions out again. The operators and the servers write theirs anew; what the
gateways believed, owned and promised must hold through it.
"""

import functools
import time
import unittest
from typing import Any

import gevent
from result import Err, Ok

from mulberrywharf.authority import role_holder
from mulberrywharf.forwarding import servers
from mulberrywharf.peers import codec, directory, store_news
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
SETTLED_S = 3.0
"""Operators are promised the present so long behind the store's return."""

HOLD_S = 1.6


def wait_for(condition: Any, limit_s: float = SETTLED_S) -> bool:
    return builders_platform.wait_until(condition, limit_s)


class EraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.era = era.ServiceEra()
        self.restored_count = 0
        self.era.on_restored(self.note)

    def note(self) -> None:
        self.restored_count += 1

    def test_a_later_era_is_a_restore_once(self) -> None:
        for told in ("3", "3", "4", "4"):
            self.assertTrue(self.era.observe(told))
        self.assertEqual(self.era.current, 4)
        self.assertEqual(self.restored_count, 1)

    def test_an_answer_of_an_older_era_counts_for_nothing(self) -> None:
        self.era.observe("4")
        self.assertFalse(self.era.observe("3"))
        self.assertEqual(self.era.current, 4)
        self.assertEqual(self.restored_count, 0)

    def test_what_tells_no_era_changes_no_belief(self) -> None:
        self.era.observe("4")
        for told in (None, "", "x", "-1", "5.0", "\u0665", "1e3"):
            with self.subTest(told=told):
                self.assertTrue(self.era.observe(told))
                self.assertEqual(self.era.current, 4)
        self.assertEqual(self.restored_count, 0)

    def test_a_store_that_begins_to_tell_its_era_may_be_restored(self) -> None:
        self.era.observe(None)
        self.era.observe("1")
        self.assertEqual(self.restored_count, 1)

    def test_who_was_closed_is_not_called(self) -> None:
        self.era.remove_callback(self.note)
        self.era.remove_callback(self.note)
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

    def look(self) -> None:
        """Asks the store for anything, so that its era is noticed."""
        self.client.get("any", purpose="test")


class WatchTest(RestoredCase):
    def setUp(self) -> None:
        super().setUp()
        self.present: dict[str, bytes] = {}

    def start(self) -> watch.Watch:
        return self.client.watch("k/", self.note, purpose="test")

    def note(self, event: key_value_types.WatchEvent) -> None:
        if event.kind == "put":
            self.present[event.key_value.key] = event.key_value.value
        else:
            self.present.pop(event.key_value.key, None)

    def test_revisions_that_have_caught_up_hide_no_change(self) -> None:
        """A gateway goes on in a history that it never saw.

        Sequence: a watch has seen revision 9; the store comes back with
        revision 7 and has given out 9 again, for other keys, when the watch
        asks for what came after 9. Cause: a position was a revision alone.
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

    def test_a_second_restore_on_the_heels_of_the_first(self) -> None:
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

    def test_a_store_that_stops_telling_its_era_is_gone_on_with(self) -> None:
        self.store.put("k/a", b"1")
        self.start()
        self.assertTrue(wait_for(lambda: self.present))
        for value, told in ((b"2", "x"), (b"3", "")):
            self.store.faults = {"era": told}
            self.store.put("k/a", value)
            is_seen = functools.partial(self.holds, "k/a", value)
            self.assertTrue(wait_for(is_seen))

    def holds(self, key: str, value: bytes) -> bool:
        return self.present[key] == value

    def test_late_answers_of_an_older_era_are_dropped(self) -> None:
        self.store.put("k/a", b"1")
        self.look()
        self.store.restore(self.store.copy())
        self.look()
        self.store.faults = {"era": "1"}
        read = self.client.get("k/a", purpose="test")
        self.assertIsInstance(read, Err)
        self.assertEqual(self.client.era, 2)
        self.store.faults = {}
        self.assertIsInstance(self.client.get("k/a", purpose="test"), Ok)


class RoutesTest(RestoredCase):
    def test_the_configuration_in_force_stays(self) -> None:
        """A dropped route is served again.

        Sequence: version 2 is in force; the store comes back with version 1;
        the operators write version 2 again, and then 3. Cause: what stands in
        the store was taken for what is in force.
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
        gevent.sleep(SETTLED_S)
        self.store.put(documents.ROUTES_KEY, build.routes_value(2))
        self.store.put(documents.ROUTES_KEY, build.routes_value(3))
        self.assertTrue(wait_for(lambda: versions[-1] == 3))
        self.assertEqual(versions, sorted(set(versions)))


class ServersTest(RestoredCase):
    def setUp(self) -> None:
        super().setUp()
        self.store.put(KEY, build.server_value())
        self.listed = servers.ServerList(
            self.client, documents.StoredDocuments(), missing_hold_s=HOLD_S
        )
        self.listed.start()
        self.addCleanup(self.listed.close)
        self.assertTrue(wait_for(lambda: self.ids() == ["i-1"]))

    def ids(self) -> list[str]:
        return [one.server_id for one in self.listed.usable("plain")]

    def restore(self, copy: platform_store.Copy) -> None:
        self.store.restore(copy)
        self.look()
        gevent.sleep(watch.RESTORED_SPREAD_S + 0.3)

    def test_a_server_that_leaves_stays_leaving(self) -> None:
        """A server that has announced that it leaves gets new work.

        Sequence: the store comes back from a copy in which the server was
        ready; it announces its leaving again up to two seconds later. Cause:
        an older record was taken for a newer word.
        """
        copy = self.store.copy()
        self.store.put(KEY, build.server_value(state="draining"))
        self.assertTrue(wait_for(lambda: not self.ids()))
        self.restore(copy)
        self.assertEqual(self.ids(), [])
        self.store.put(KEY, build.server_value(state="draining", sequence=9))
        gevent.sleep(0.3)
        self.assertEqual(self.ids(), [])

    def test_a_server_that_is_gone_does_not_come_back(self) -> None:
        """Requests wait for a server that ended long ago.

        Sequence: a server ends and its record goes; the store comes back from
        a copy that has it. Cause: a record was taken for a sign of life.
        """
        copy = self.store.copy()
        self.store.delete(KEY)
        self.assertTrue(wait_for(lambda: not self.ids()))
        self.restore(copy)
        self.assertEqual(self.ids(), [])
        self.store.put(KEY, build.server_value(sequence=9))
        self.assertTrue(wait_for(lambda: self.ids() == ["i-1"]))

    def test_a_server_that_the_copy_lacks_is_kept_for_a_while(self) -> None:
        """Callers are refused for want of servers that are all alive.

        Sequence: the copy is from before the servers registered; they write
        their records again within two seconds. Cause: a record that is missing
        there was taken for a server that left.
        """
        copy = self.store.copy()._replace(records={})
        self.restore(copy)
        self.assertEqual(self.ids(), ["i-1"])
        self.store.put(KEY, build.server_value(sequence=9))
        gevent.sleep(2 * HOLD_S)
        self.assertEqual(self.ids(), ["i-1"])

    def test_one_that_does_not_write_again_is_gone(self) -> None:
        self.restore(self.store.copy()._replace(records={}))
        self.assertTrue(wait_for(lambda: not self.ids(), 2 * HOLD_S))

    def test_what_comes_later_counts_as_before(self) -> None:
        copy = self.store.copy()
        self.restore(copy)
        self.store.put(KEY, build.server_value(state="draining", sequence=9))
        self.assertTrue(wait_for(lambda: not self.ids()))


class OwnedTest(RestoredCase):
    def test_a_lease_is_lost_at_once(self) -> None:
        """Two gateways hold one key.

        Sequence: the store comes back without the lease and its key; another
        gateway creates the key; the first one's lease is valid by its own
        clock for seconds. Cause: only time and a refusal ended a lease.
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
        self.look()
        self.assertFalse(held.is_valid())
        self.assertEqual(len(lost), 1)

    def test_fencing_numbers_rise_through_a_restore(self) -> None:
        """An engine takes an order of the last holder for the newest.

        Sequence: a holder orders with the revision that created its key; the
        store comes back and gives lower revisions out again; the next holder
        orders with one of them. Cause: a revision was taken for a number that
        rises for ever.
        """
        timing = role_holder.HolderTiming(
            lease_ttl_s=2.0, first_look_s=0.0, look_interval_s=0.1
        )
        copy = self.store.copy()
        for _ in range(20):
            self.store.put("other", b"")
        holder = role_holder.RoleHolder(
            self.client, "vm-1", turn_s=1.0, timing=timing
        )
        holder.start()
        self.addCleanup(holder.close)
        before = self.number(holder)
        self.assertIsInstance(holder.record(b"order"), Ok)
        restored_s = time.monotonic()
        self.store.restore(copy)
        self.look()
        self.assertIsInstance(holder.authority(), Err)
        after = self.number(holder)
        self.assertGreater(after, before)
        # The record of the order is lost; it may still be on its way.
        quiet_s = time.monotonic() - restored_s
        self.assertGreater(quiet_s, timing.lease_ttl_s)

    def number(self, holder: role_holder.RoleHolder) -> int:
        self.assertTrue(wait_for(lambda: holder.authority().is_ok(), 8.0))
        return holder.authority().unwrap().number

    def test_other_gateways_stay_known(self) -> None:
        """A gateway takes itself for the only one, and repeats for all.

        Sequence: the store comes back without the gateways' keys; one of them
        reads it before the others have registered again. Cause: a key that is
        missing there was taken for a gateway that is gone.
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
        known._take(read.unwrap())
        self.assertEqual(known.gateways_count, 2)
        self.store.restore(copy)
        read = self.client.get_prefix(directory.KEY_PREFIX, purpose="test")
        known._take(read.unwrap())
        self.assertEqual(known.gateways_count, 2)


class _Watch:
    changed_revision = 50
    seen_revision = 50
    age_s = 0.1

    def __init__(self) -> None:
        self.hurries_count = 0

    def hurry(self) -> None:
        self.hurries_count += 1


class _Notices:
    told_at_s = 0.0
    is_registered = True
    is_reader = False

    def tell_seen(self, *_: object) -> None:
        """Needs neither: the tests call them."""

    def tell_now(self) -> None:
        """Sends nothing."""


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.watched = _Watch()
        self.news = store_news.StoreNews(
            _Notices(), lambda: {"routes_revision": self.watched}, lambda: 2
        )

    def test_a_reader_of_an_older_era_is_not_counted_on(self) -> None:
        """Changes come half a minute late.

        Sequence: the store comes back from an older copy while a reader is
        frozen; it wakes and tells that it reads, and high revisions of the
        past. Cause: revisions of two histories were compared.
        """
        seen = codec.Seen(90, 90, is_reading=True, era=1)
        self.news.on_seen(seen)
        self.news._look()
        self.assertEqual(self.news.patience(), watch.BRIEF)
        gevent.sleep(store_news.PATIENCE_S + 0.1)
        self.assertEqual(self.watched.hurries_count, 0)
        self.news.on_seen(seen._replace(era=2))
        self.news._look()
        self.assertEqual(self.news.patience(), store_news.LONG)

    def test_a_peer_of_a_newer_era_makes_it_ask_the_store(self) -> None:
        for _ in range(3):
            self.news.on_seen(codec.Seen(1, 1, era=3))
        self.assertEqual(self.watched.hurries_count, 1)


if __name__ == "__main__":
    unittest.main()

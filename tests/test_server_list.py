"""The server list, with a working store and through its outages."""

import itertools
import time
import unittest
from typing import Any
from unittest import mock

import gevent

from mulberrywharf import fleet
from mulberrywharf.forwarding import servers
from mulberrywharf.platform import documents, store
from standins import _http
from tests import builders_platform
from tests import builders_routes as build

HOLD_S = 0.6
KEY = documents.SERVERS_PREFIX + "i-1"
READ_S = 0.2


def _rate_limited(query: dict[str, Any]) -> _http.Reply:
    return _http.Reply(429, {})


class ServerListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.client = build.store_client(self.store.port)
        self.addCleanup(self.client.close)
        self.list = servers.ServerList(
            self.client, documents.StoredDocuments(), missing_hold_s=HOLD_S
        )
        self.store.put(KEY, build.server_value())
        self.list.start()
        self.addCleanup(self.list.close)
        self.assertTrue(self.wait_usable(1))

    def wait_usable(self, count: int, limit_s: float = 5.0) -> bool:
        return builders_platform.wait_until(
            lambda: len(self.list.usable("plain")) == count, limit_s
        )

    def test_versions_are_confirmed_unless_one_is_missing(self) -> None:
        """Guards against a version that is inferred from an older list."""
        self.assertTrue(self.list.confirm_versions())
        self.store.put(KEY, build.server_value(sequence=2))
        self.assertTrue(self.list.confirm_versions())
        self.store.put(KEY + "1", build.server_value(version="v2"))
        self.assertTrue(self.list.confirm_versions())
        self.assertIsNotNone(self.list.find("i-11"))
        self.list.close()
        self.store.put(KEY + "2", build.server_value(version="v3"))
        self.assertFalse(self.list.confirm_versions())

    def test_versions_are_not_confirmed_by_a_watch_that_is_behind(self) -> None:
        """Guards against a watch that reports no change and no error."""
        self.assertTrue(self.list.confirm_versions())
        with mock.patch.object(self.store, "_events", lambda *_: []):
            self.store.put(KEY + "1", build.server_value(version="v2"))
            self.assertFalse(self.list.confirm_versions())
            self.assertEqual(len(self.list.usable("plain")), 2)
            self.assertEqual(self.list.readings_count, 2)

    def test_versions_are_confirmed_behind_a_restore(self) -> None:
        """Guards against revisions of a history that was lost."""
        self.store.era = 1
        client = build.store_client(self.store.port)
        self.addCleanup(client.close)
        restored = servers.ServerList(
            client, documents.StoredDocuments(), missing_hold_s=HOLD_S
        )
        restored.start()
        self.addCleanup(restored.close)

        def wait_known(count: int) -> None:
            self.assertTrue(
                builders_platform.wait_until(
                    lambda: len(restored.all()) == count
                )
            )

        wait_known(1)
        copy = self.store.copy()
        for number in range(9):
            value = build.server_value(sequence=number + 2)
            self.store.put(KEY + "1", value)
        wait_known(2)
        self.store.restore(copy)
        self.store.put(KEY, build.server_value(sequence=99))
        wait_known(1)
        watched = restored.watched()
        assert watched is not None
        self.assertLessEqual(watched.seen_revision, self.store.store.revision)
        self.assertTrue(builders_platform.wait_until(restored.confirm_versions))

    def test_versions_are_not_confirmed_where_reading_again_fails(self) -> None:
        """Guards against a confirmation that only waited long enough."""
        read = self.store._range
        replies = itertools.chain([read], itertools.repeat(_rate_limited))
        with (
            mock.patch.object(self.store, "_events", lambda *_: []),
            mock.patch.object(
                self.store, "_range", lambda query: next(replies)(query)
            ),
        ):
            self.store.put(KEY + "1", build.server_value(version="v2"))
            self.assertFalse(self.list.confirm_versions())

    def test_versions_are_not_confirmed_by_changes_of_before(self) -> None:
        """Guards against a version that left and that no answer shows yet."""
        port = self.store.add_view(lambda _, value: value)
        client = build.store_client(port)
        self.addCleanup(client.close)
        behind = servers.ServerList(client, documents.StoredDocuments())
        behind.start()
        self.addCleanup(behind.close)
        self.assertTrue(
            builders_platform.wait_until(lambda: behind.is_complete)
        )
        self.assertTrue(behind.confirm_versions())
        self.store.stop_watches(port)
        self.store.put(KEY + "1", build.server_value(version="v2"))
        self.store.delete(KEY + "1")
        self.assertFalse(behind.confirm_versions())
        self.store.free_watches(port)
        self.assertTrue(builders_platform.wait_until(behind.confirm_versions))

    def test_versions_that_came_and_left_are_seen_before_confirming(
        self,
    ) -> None:
        """Guards against a version of which no record is left."""
        with mock.patch.object(store, "_BATCH_DELAY_S", 0.3):
            self.store.put(KEY, build.server_value(sequence=2))
            gevent.sleep(0.1)
            seen: list[str | None] = []
            self.list.on_change(
                lambda: seen.extend(
                    one.software_version for one in self.list.passed()
                )
            )
            self.store.put(KEY + "1", build.server_value(version="v2"))
            self.store.delete(KEY + "1")
            self.assertTrue(self.list.confirm_versions())
            self.assertIn("v2", seen)

    def test_confirmations_of_a_crowd_share_reads(self) -> None:
        """Guards against refusals, and reads, where many ask one by one."""
        began_count = len(self.store.calls)
        asking = []
        for _ in range(50):
            asking.append(gevent.spawn(self.list.confirm_versions))
            gevent.sleep(0.02)
        gevent.joinall(asking, raise_error=True)
        self.assertEqual([one.value for one in asking], [True] * 50)
        ranges = self.store.calls[began_count:].count(("GET", "/kv-range"))
        self.assertLessEqual(ranges, 4)

    def test_versions_are_not_confirmed_just_behind_an_outage(self) -> None:
        """Guards against records that expired and are not back yet."""
        self.store.faults = {"down": True}
        self.assertFalse(self.list.confirm_versions())
        self.store.faults = {}
        self.store.delete(KEY)
        self.assertFalse(self.list.confirm_versions())
        self.assertTrue(
            builders_platform.wait_until(self.list.confirm_versions)
        )

    def test_confirmation_is_awaited_for_the_time_left(self) -> None:
        """Guards against waits for the store beyond a caller's deadline."""
        self.store.faults = {"silent": 5.0}
        began_s = time.monotonic()
        self.assertFalse(self.list.confirm_versions(0.1))
        self.assertLess(time.monotonic() - began_s, 0.3)

    def test_versions_are_not_confirmed_without_the_store(self) -> None:
        self.store.faults = {"down": True}
        self.assertFalse(self.list.confirm_versions())

    def test_a_draining_server_gets_no_new_requests(self) -> None:
        self.store.put(KEY, build.server_value(state="draining"))
        self.assertTrue(self.wait_usable(0))
        self.assertIsNotNone(self.list.find("i-1"))

    def test_a_live_record_does_not_clear_an_announced_leaving(
        self,
    ) -> None:
        """Guards against an older record that makes a leaving server usable."""
        first = fleet.ServerStart("i-1")
        self.list.mark_leaving(first)
        self.assertEqual(self.list.usable("plain"), ())
        self.store.put(KEY, build.server_value(sequence=2))
        self.assertFalse(self.wait_usable(1, limit_s=0.5))

    def test_the_next_start_of_a_server_that_left_is_used(self) -> None:
        """Guards against a restarted server that gets no requests."""
        self.store.put(KEY, build.server_value(born=100))
        first = fleet.ServerStart("i-1", 100)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: [one.start for one in self.list.all()] == [first]
            )
        )
        self.list.mark_leaving(first)
        self.store.put(KEY, build.server_value(born=200))
        self.assertTrue(self.wait_usable(1))
        # A late message of the earlier start doesn't affect the new one.
        self.list.mark_leaving(first)
        self.assertEqual(len(self.list.usable("plain")), 1)

    def test_a_server_without_start_is_used_after_registering_again(
        self,
    ) -> None:
        self.list.mark_leaving(fleet.ServerStart("i-1"))
        self.store.delete(KEY)
        self.assertTrue(
            builders_platform.wait_until(lambda: not self.list.all())
        )
        self.store.put(KEY, build.server_value())
        self.assertTrue(self.wait_usable(1))

    def test_without_an_outage_a_vanished_record_drops_the_server(self) -> None:
        """Guards against requests to a server that left unannounced.

        Its record is deleted while the store works, and the server was kept for
        seconds as in an outage.
        """
        self.store.delete(KEY)
        self.assertTrue(self.wait_usable(0, limit_s=HOLD_S / 2))

    def test_a_server_whose_record_expired_in_an_outage_is_kept(self) -> None:
        """Guards against refusing all callers after an outage of the store.

        During the outage servers can't renew their records, which expire; they
        are written again a moment after the store returns. A missing record was
        taken for a server that had left.
        """
        self.store.faults = {"down": True}
        builders_platform.wait_until(lambda: self.client.outage_age_s() < 1.0)
        self.store.delete(KEY)
        self.store.faults = {}
        emptied = self.wait_usable(0, limit_s=HOLD_S / 2)
        self.assertFalse(emptied)
        self.store.put(KEY, build.server_value())
        self.assertFalse(self.wait_usable(0, limit_s=2 * HOLD_S))

    def test_a_server_that_leaves_just_after_an_outage_is_dropped_in_time(
        self,
    ) -> None:
        """Guards against requests to a server 2.4 s after it announced leaving.

        A server deletes its record just before the end of the time in which
        servers register again after an outage. That time was counted from the
        deletion. One gateway, which alone had lost the store for 7 s and had it
        back for 1.7 s, went on sending.
        """
        self.store.faults = {"down": True}
        builders_platform.wait_until(lambda: self.client.outage_age_s() < 1.0)
        self.store.faults = {}
        builders_platform.wait_until(
            lambda: self.client.outage_age_s() > 0.7 * HOLD_S
        )
        self.store.delete(KEY)
        self.assertTrue(self.wait_usable(0, limit_s=0.7 * HOLD_S))

    def test_a_server_that_does_not_register_again_is_dropped(self) -> None:
        """Guards against requests to a server that died in an outage.

        Its record expires in the outage and is not written again, and the
        server was kept forever.
        """
        self.store.faults = {"down": True}
        builders_platform.wait_until(lambda: self.client.outage_age_s() < 1.0)
        self.store.delete(KEY)
        self.store.faults = {}
        self.assertTrue(self.wait_usable(0, limit_s=10 * HOLD_S))

    def test_a_server_whose_record_was_overwritten_is_not_used(self) -> None:
        """Guards against requests to a server that may no longer run.

        Another program overwrites a server's record, and writes a record that
        is no server's. Records that could not be decoded were skipped, so the
        server stayed listed with its previous record.
        """
        second = documents.SERVERS_PREFIX + "i-2"
        self.store.put(second, build.server_value())
        self.assertTrue(self.wait_usable(2))
        self.store.put(KEY, b"\xff{")
        self.store.put(documents.SERVERS_PREFIX + "i-3", b"{}")
        self.assertTrue(self.wait_usable(1, limit_s=2.0))
        self.assertIsNone(self.list.find("i-1"))
        self.assertIsNotNone(self.list.find("i-2"))
        self.store.put(KEY, build.server_value())
        self.assertTrue(self.wait_usable(2))

    def test_overwritten_server_is_remembered_until_its_record_is_sound(
        self,
    ) -> None:
        """Guards against versions inferred beside a server that runs on."""
        found: list[str | None] = []

        def note() -> None:
            found[:] = [one.software_version for one in self.list.overwritten()]

        self.list.on_change(note)
        self.store.put(documents.SERVERS_PREFIX + "i-3", b"{}")
        ends = (
            lambda: self.store.put(KEY, build.server_value()),
            lambda: self.store.delete(KEY),
        )
        for end in ends:
            self.store.put(KEY, b"{}")
            self.assertTrue(
                builders_platform.wait_until(lambda: found == ["v1"])
            )
            self.assertTrue(self.list.overwritten()[0].is_draining)
            end()
            self.assertTrue(builders_platform.wait_until(lambda: not found))

    def test_all_pages_of_records_are_read(self) -> None:
        self.store.page_count = 2
        for number in range(2, 8):
            key = f"{documents.SERVERS_PREFIX}i-{number}"
            self.store.put(key, build.server_value())
        fresh = servers.ServerList(
            self.client, documents.StoredDocuments(), missing_hold_s=HOLD_S
        )
        fresh.start()
        self.addCleanup(fresh.close)
        builders_platform.wait_until(lambda: len(fresh.usable("plain")) == 7)
        self.assertEqual(len(fresh.usable("plain")), 7)


class ConfirmationReadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        client = build.store_client(self.store.port)
        self.addCleanup(client.close)
        self.list = servers.ServerList(client, documents.StoredDocuments())
        self.store.put(KEY, build.server_value())
        self.list.start()
        self.addCleanup(self.list.close)
        self.assertTrue(
            builders_platform.wait_until(lambda: bool(self.list.all()))
        )

    def test_confirmation_rests_on_no_read_of_before_it(self) -> None:
        """Guards against a read shared with who asks behind its sending."""
        read = self.store._range

        def read_late(query: dict[str, str]) -> Any:
            reply = read(query)
            gevent.sleep(READ_S)
            return reply

        with (
            mock.patch.object(self.store, "_events", lambda *_: []),
            mock.patch.object(self.store, "_range", read_late),
        ):
            first = gevent.spawn(self.list.confirm_versions)
            gevent.sleep(READ_S / 2)
            self.store.put(KEY + "1", build.server_value(version="v2"))
            self.assertFalse(self.list.confirm_versions())
            self.assertTrue(first.get())

    def test_confirmation_takes_no_stale_answers(self) -> None:
        """Guards against a confirmation by records of seconds ago."""
        queries: list[dict[str, str]] = []
        read = self.store._range

        def note(query: dict[str, str]) -> Any:
            queries.append(query)
            return read(query)

        with mock.patch.object(self.store, "_range", note):
            self.assertTrue(self.list.confirm_versions())
        self.assertTrue(queries)
        for query in queries:
            self.assertNotIn("allow-stale", query)

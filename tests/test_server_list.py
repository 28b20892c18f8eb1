"""The servers that the store lists, in calm times and through outages."""

import unittest

from mulberrywharf import fleet
from mulberrywharf.forwarding import servers
from mulberrywharf.platform import documents
from tests import builders_platform
from tests import builders_routes as build

HOLD_S = 0.6
KEY = documents.SERVERS_PREFIX + "i-1"


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

    def test_a_draining_server_gets_no_new_work(self) -> None:
        self.store.put(KEY, build.server_value(state="draining"))
        self.assertTrue(self.wait_usable(0))
        self.assertIsNotNone(self.list.find("i-1"))

    def test_one_that_says_that_it_leaves_stays_out_whatever_is_recorded(
        self,
    ) -> None:
        """An older word of a server brings it back into use."""
        first = fleet.ServerStart("i-1")
        self.list.says_it_leaves(first)
        self.assertEqual(self.list.usable("plain"), ())
        self.store.put(KEY, build.server_value(sequence=2))
        self.assertFalse(self.wait_usable(1, limit_s=0.5))

    def test_the_next_start_of_one_that_left_is_used(self) -> None:
        """A server that began again under its id gets no work."""
        self.store.put(KEY, build.server_value(born=100))
        first = fleet.ServerStart("i-1", 100)
        self.assertTrue(
            builders_platform.wait_until(
                lambda: [one.start for one in self.list.all()] == [first]
            )
        )
        self.list.says_it_leaves(first)
        self.store.put(KEY, build.server_value(born=200))
        self.assertTrue(self.wait_usable(1))
        # What came late from the start before says nothing of this one.
        self.list.says_it_leaves(first)
        self.assertEqual(len(self.list.usable("plain")), 1)

    def test_one_without_a_start_that_registers_anew_is_used(self) -> None:
        self.list.says_it_leaves(fleet.ServerStart("i-1"))
        self.store.delete(KEY)
        self.assertTrue(
            builders_platform.wait_until(lambda: not self.list.all())
        )
        self.store.put(KEY, build.server_value())
        self.assertTrue(self.wait_usable(1))

    def test_a_record_that_vanishes_in_calm_times_is_a_leaving(self) -> None:
        """A server that left without a word gets requests for seconds.

        Sequence: its record is deleted while the store is well. Cause: the
        server was kept as in an outage.
        """
        self.store.delete(KEY)
        self.assertTrue(self.wait_usable(0, limit_s=HOLD_S / 2))

    def test_a_record_that_lapsed_in_an_outage_is_kept(self) -> None:
        """All callers are refused after an outage of the store.

        Sequence: the store is away, the servers can't renew and their records
        lapse, the store comes back, the records follow a moment later. Cause:
        a missing record was taken for a server that left.
        """
        self.store.faults = {"down": True}
        builders_platform.wait_until(lambda: self.client.trouble_age_s() < 1.0)
        self.store.delete(KEY)
        self.store.faults = {}
        emptied = self.wait_usable(0, limit_s=HOLD_S / 2)
        self.assertFalse(emptied)
        self.store.put(KEY, build.server_value())
        self.assertFalse(self.wait_usable(0, limit_s=2 * HOLD_S))

    def test_a_server_that_leaves_after_an_outage_is_dropped_in_time(
        self,
    ) -> None:
        """A server gets requests 2.4 s after it said that it leaves.

        Symptom: of all gateways one goes on sending; it had lost the store
        for 7 s, alone, and had it back for 1.7 s. Sequence: the store is away
        and comes back; just before the time is over in which servers are
        back, a server that leaves deletes its record. Cause: the time was
        counted anew from the deletion.
        """
        self.store.faults = {"down": True}
        builders_platform.wait_until(lambda: self.client.trouble_age_s() < 1.0)
        self.store.faults = {}
        builders_platform.wait_until(
            lambda: self.client.trouble_age_s() > 0.7 * HOLD_S
        )
        self.store.delete(KEY)
        self.assertTrue(self.wait_usable(0, limit_s=0.7 * HOLD_S))

    def test_a_record_that_does_not_come_back_is_dropped(self) -> None:
        """Requests go on to a server that died in an outage.

        Sequence: as above, but the record stays away. Cause: a server kept
        for the outage was never given up.
        """
        self.store.faults = {"down": True}
        builders_platform.wait_until(lambda: self.client.trouble_age_s() < 1.0)
        self.store.delete(KEY)
        self.store.faults = {}
        self.assertTrue(self.wait_usable(0, limit_s=10 * HOLD_S))

    def test_a_record_of_another_writer_names_no_server(self) -> None:
        """Work goes to a server of which nobody knows whether it is there.

        Sequence: another program writes over a server's record, and registers
        what is no server. Cause: a record that could not be read was passed
        over, so that the server stayed as its record had been before.
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

    def test_pages_are_read_to_the_end(self) -> None:
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

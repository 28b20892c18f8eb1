"""Servers that restart under the same id.

A restarted server has an empty cache and starts its counts at zero. A gateway
that identifies servers by the id alone sends prompts to caches that are gone,
waits for work that nobody does, and counts orders that nobody took.
"""

import unittest
from typing import Any

from mulberrywharf import clock, fleet
from mulberrywharf.forwarding import (
    engine_estimates,
    prompt_parts,
    request,
    server_tracker,
    servers,
)
from mulberrywharf.peers import notice_codec
from mulberrywharf.platform import documents
from mulberrywharf.policy import part_caches
from tests import builders_platform
from tests import builders_routes as build

KEY = documents.SERVERS_PREFIX + "i-1"
FIRST = 1_700_000_000_000
LATER = FIRST + 60_000
EARLIER = FIRST - 3_600_000
MEMORY_TOKENS = 400_000


class _Notices:
    gateways_count = 9

    def receives_notices_for(self, server: fleet.Server) -> bool:
        return True

    def add_placement(self, *_: object) -> None:
        """Sends no notice."""


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        client = build.store_client(self.store.port)
        self.addCleanup(client.close)
        self.list = servers.ServerList(client, documents.StoredDocuments())
        self.clock = clock.SystemClock()
        self.tracker = server_tracker.ServerTracker("zone-a")
        self.estimates = engine_estimates.EngineEstimates(
            self.tracker, self.clock, _Notices(), lambda _: MEMORY_TOKENS
        )
        self.list.on_change(lambda: self.estimates.set_engines(self.list.all()))
        self.write(born=FIRST)
        self.list.start()
        self.addCleanup(self.list.close)
        self.assertTrue(self.wait_for(lambda: self.usable()))

    def wait_for(self, condition: Any) -> bool:
        return builders_platform.wait_until(condition, 3.0)

    def write(self, **fields: Any) -> None:
        self.store.put(KEY, build.server_value(stage="decode", **fields))

    def usable(self) -> list[int | None]:
        return [one.started_unix_ms for one in self.list.usable("plain")]

    def restart(self, born: int) -> fleet.Server:
        self.write(born=born)
        self.assertTrue(self.wait_for(lambda: self.usable() == [born]))
        found = self.list.find("i-1")
        assert found is not None
        return found

    def announce_prefill(self) -> tuple[part_caches.ChainPart, ...]:
        """Applies a notice that the engine prefills a prompt."""
        parts = prompt_parts.chain_of(build.prompt())
        held = tuple(part.held for part in parts)
        server = self.list.usable("plain")[0]
        placement = notice_codec.Placement(
            notice_codec.hash_server_start(server.start), 5.0, held, 3_000
        )
        self.estimates.on_notice(notice_codec.Notice(1, 1, (placement,)))
        return parts

    def test_a_restarted_engine_has_an_empty_cache_and_queue(self) -> None:
        """Guards against prompts sent to a cache that was lost in a restart."""
        for born in (LATER, EARLIER):
            with self.subTest(born=born):
                parts = self.announce_prefill()
                before = self.list.usable("plain")[0]
                view = self.estimates.view(before, parts, 1.0)
                self.assertGreater(view.cached_tokens, 0)
                self.assertGreater(view.wait_s, 1.0)
                after = self.restart(born)
                view = self.estimates.view(after, parts, 1.0)
                self.assertEqual(view.cached_tokens, 0)
                self.assertLess(view.wait_s, 1.0)

    def test_a_restarted_server_is_not_avoided(self) -> None:
        """Guards against blaming a server for failures of its earlier start."""
        before = self.list.usable("plain")[0]
        now_s = self.clock.monotonic_s()
        self.tracker.unreachable(before.start, now_s)
        self.tracker.reported(
            before.start, request.ReportedLoad(6, 9, 6), now_s
        )
        after = self.restart(LATER)
        self.assertTrue(self.tracker.may_use(after.start, now_s))
        self.assertEqual(
            self.tracker.others_in_flight_count(after.start, now_s), 0.0
        )

    def test_requests_of_the_earlier_start_are_not_counted(self) -> None:
        """Guards against counting streams that broke off in the restart."""
        before = self.list.usable("plain")[0]
        self.tracker.began(before.start, 0.0)
        after = self.restart(LATER)
        self.tracker.keep_only([after.start])
        self.assertEqual(self.tracker.own_in_flight_count(after.start), 0)
        self.tracker.ended(before.start)
        self.assertEqual(self.tracker.own_in_flight_count(after.start), 0)

    def test_late_notices_about_the_earlier_start_are_ignored(self) -> None:
        """A peer's notice about the earlier start arrives after the restart."""
        before = self.list.usable("plain")[0]
        after = self.restart(LATER)
        old = notice_codec.Load(
            notice_codec.hash_server_start(before.start), 9, 0.1
        )
        self.estimates.on_notice(notice_codec.Notice(1, 1, (), loads=(old,)))
        view = self.estimates.view(after, (), 1.0)
        self.assertEqual(view.running_share, 0.0)

    def test_late_records_of_the_earlier_start_are_ignored(self) -> None:
        """Guards against a restarted server that gets no requests.

        A server announces that it leaves, and the store applies the write
        seconds later, after the server has restarted. The announcement was
        attributed to the new start.
        """
        self.restart(LATER)
        self.write(born=FIRST, state="draining")
        self.store.put(
            documents.SERVERS_PREFIX + "i-2", build.server_value(born=1)
        )
        self.assertTrue(self.wait_for(lambda: len(self.usable()) == 2))
        self.assertIn(LATER, self.usable())

    def test_a_restarted_server_is_not_draining(self) -> None:
        self.write(born=FIRST, state="draining")
        self.assertTrue(self.wait_for(lambda: not self.usable()))
        self.restart(LATER)

    def test_a_server_that_reports_a_newer_start_is_not_used_until_recorded(
        self,
    ) -> None:
        """Until its record shows the new start, its state is unknown."""
        before = self.list.usable("plain")[0].start
        later = before._replace(started_unix_ms=LATER)
        self.list.mark_restarted(before, later)
        self.assertEqual(self.usable(), [])
        self.write(born=FIRST)
        self.restart(LATER)
        self.list.mark_restarted(before, later)
        self.assertEqual(self.usable(), [LATER])

    def test_a_late_report_of_an_ended_start_is_ignored(self) -> None:
        """Guards against a running server that gets no requests.

        A server restarts, and a report of its earlier start arrives late. The
        start reported last was taken for the running one.
        """
        before = self.list.usable("plain")[0].start
        after = self.restart(LATER)
        self.list.mark_restarted(after.start, before)
        self.assertEqual(self.usable(), [LATER])

    def test_a_record_without_start_is_not_used_if_others_have_one(
        self,
    ) -> None:
        """Guards against requests to an entry of another program."""
        self.store.put(documents.SERVERS_PREFIX + "i-0", build.server_value())
        self.store.put(
            documents.SERVERS_PREFIX + "i-2", build.server_value(born=LATER)
        )
        self.assertTrue(self.wait_for(lambda: len(self.list.all()) == 3))
        self.assertEqual(sorted(filter(None, self.usable())), [FIRST, LATER])
        self.assertNotIn(None, self.usable())


class ServersWithoutStartsTest(unittest.TestCase):
    """In some deployments servers don't report their starts."""

    def test_servers_without_starts_are_used(self) -> None:
        store = self.enterContext(build.running_store())
        client = build.store_client(store.port)
        self.addCleanup(client.close)
        store.put(KEY, build.server_value())
        listed = servers.ServerList(client, documents.StoredDocuments())
        listed.start()
        self.addCleanup(listed.close)
        self.assertTrue(
            builders_platform.wait_until(lambda: listed.usable("plain"), 3.0)
        )


if __name__ == "__main__":
    unittest.main()

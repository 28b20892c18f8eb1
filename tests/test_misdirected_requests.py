"""Tests of servers that ended while another one answers at their address."""

import unittest

from mulberrywharf import fleet
from mulberrywharf.forwarding import server_tracker, servers
from mulberrywharf.platform import documents
from mulberrywharf.platform_service import key_value_types
from tests import (
    builders_platform,
    test_gateway,
    test_generation,
    test_plain_call,
)
from tests import builders_routes as build

LATER_S = 60.0

_MISDIRECTED = b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"


class TrackerTest(unittest.TestCase):
    """An ended server looked empty and got requests again every 0.5 s."""

    def setUp(self) -> None:
        self.tracker = server_tracker.ServerTracker("zone-a")
        self.start = build.start("s0")
        self.tracker.misdirected(self.start, 0.0)

    def is_suspected(self, start: fleet.ServerStart) -> bool:
        return self.tracker.is_suspected(start, LATER_S)

    def test_it_stays_the_last_resort(self) -> None:
        self.assertTrue(self.is_suspected(self.start))
        self.assertTrue(self.tracker.may_use(self.start, LATER_S))

    def test_its_successor_is_not_suspected(self) -> None:
        self.assertFalse(self.is_suspected(build.start("s0-1")))
        self.assertFalse(
            self.is_suspected(self.start._replace(started_unix_ms=7))
        )

    def test_its_next_answer_or_record_shows_that_it_runs(self) -> None:
        self.tracker.succeeded(self.start)
        self.assertFalse(self.is_suspected(self.start))
        self.tracker.misdirected(self.start, 0.0)
        self.tracker.registered(build.server("s0"))
        self.assertFalse(self.is_suspected(self.start))

    def test_a_server_replaced_at_its_address_is_the_last_resort(self) -> None:
        self.tracker.registered(build.server("s0"))
        self.tracker.keep_only([self.start])
        self.tracker.registered(build.server("s0-1"))
        self.assertTrue(self.is_suspected(self.start))
        self.assertFalse(self.is_suspected(build.start("s0-1")))
        self.tracker.registered(
            build.server("s1", fleet.Address("127.0.0.1", 2))
        )
        self.assertFalse(self.is_suspected(build.start("s0-1")))


class RecordTest(unittest.TestCase):
    """Only a record that the server itself wrote shows that it runs."""

    def test_unchanged_records_are_reported(self) -> None:
        registered: list[fleet.Server] = []
        store = self.enterContext(build.running_store())
        client = build.store_client(store.port)
        self.addCleanup(client.close)
        known = servers.ServerList(
            client,
            documents.StoredDocuments(),
            on_registered=registered.append,
        )
        self.addCleanup(known.close)
        known.start()
        for count in (1, 2):
            store.put(documents.SERVERS_PREFIX + "i-1", build.server_value())
            self.assertTrue(
                builders_platform.wait_until(
                    lambda: len(registered) == count  # noqa: B023
                )
            )
        self.assertEqual({one.server_id for one in registered}, {"i-1"})

    def test_restored_records_are_not_reported(self) -> None:
        registered: list[fleet.Server] = []
        known = servers.ServerList(
            build.store_client(1),
            documents.StoredDocuments(),
            on_registered=registered.append,
        )
        for is_restored in (True, False):
            self.assertEqual(registered, [])
            known._on_event(
                key_value_types.WatchEvent(
                    "put",
                    key_value_types.KeyValue(
                        documents.SERVERS_PREFIX + "i-1",
                        build.server_value(),
                        create_revision=1,
                        mod_revision=1,
                    ),
                    is_restored=is_restored,
                )
            )
        self.assertEqual(len(registered), 1)


class PlainCallTest(test_plain_call.CallCase):
    """Plain calls went to an ended server first, as it was never busy."""

    def test_an_ended_server_is_asked_once(self) -> None:
        ended = self.respond_with(_MISDIRECTED)
        running = self.respond_with(test_plain_call.answer())
        self.tracker.note_requests_count(
            build.start("s1"), 5, self.clock.monotonic_s()
        )
        for _ in range(20):
            self.assertEqual(self.call(ended, running).body, b"fine")
        self.assertEqual(len(ended.requests), 1)


class GenerationTest(test_generation.GenerationCase):
    """A request that met two ended engines was refused beside a sound one."""

    def test_ended_engines_cost_neither_the_prefill_nor_the_answer(
        self,
    ) -> None:
        # The sound engine is chosen only if no other one is left.
        self.tracker.refused(build.start("s3"), self.clock.monotonic_s())
        prefill = self.respond_with(test_generation.PREFILLED, "prefill")
        ended = [self.respond_with(_MISDIRECTED) for _ in range(2)]
        sound = self.respond_with(
            test_generation.HEAD
            + test_generation.chunks(test_generation.event(1))
        )
        for _ in range(2):
            body = self.body(
                prefill,
                *ended,
                sound,
                prompt=build.prompt(),
                kind=test_generation.NOT_RESUMABLE,
            )
            self.assertEqual(body, test_generation.event(1))
        self.assertEqual(len(prefill[1].requests), 2)
        self.assertEqual([len(one.requests) for _, one in ended], [1, 1])


class GatewayTest(test_gateway.GatewayCase):
    """Requests were refused while records of ended engines stayed."""

    def test_all_requests_are_answered_beside_records_of_ended_engines(
        self,
    ) -> None:
        for number in range(12):
            self.store.put(
                f"{documents.SERVERS_PREFIX}ended-{number}",
                build.server_value(
                    service="engines",
                    stage="decode",
                    address=f"127.0.0.1:{self.decodes[number % 2].port}",
                ),
            )
        for number, decode in enumerate(self.decodes, 1):
            self.store.put(
                f"{documents.SERVERS_PREFIX}dec-{number}",
                build.server_value(
                    service="engines",
                    stage="decode",
                    address=f"127.0.0.1:{decode.port}",
                    sequence=2,
                ),
            )
        self.write_routes()
        self.start()
        self.wait_ready()
        statuses = [
            self.ask("/stream/x", fields=test_gateway.PROMPT_FIELDS).status
            for _ in range(20)
        ]
        self.assertEqual(statuses, [200] * 20)


if __name__ == "__main__":
    unittest.main()

"""Real gateways beside records that another program wrote."""

import json
import unittest
from collections.abc import Iterable, Sequence
from typing import Any

import gevent

from mulberrywharf.crashes import crash_records
from mulberrywharf.peers import directory, repeat_shares
from mulberrywharf.platform import documents
from tests import (
    builders_gateways,
    builders_odd_records,
    builders_paths,
    builders_platform,
)
from tests import builders_routes as build

DEAD = "127.0.0.1:1"
CALLS_COUNT = 30
CHANGED_EACH_S = 0.02
MANY_COUNT = 10_000
READ_S = 7.0
"""Longer than the time between two reads of the registrations."""

_UNREADABLE = "mulberry_server_records_unreadable_total"
_TASK_FAILURES = "mulberry_task_failures_total"


class SoundServersView(builders_paths.StoreView):
    """Leaves the records of unknown servers, and odd ones, as they are."""

    def __call__(self, key: str, value: bytes) -> bytes:
        server_id = key.removeprefix(documents.SERVERS_PREFIX)
        is_known = server_id.startswith(("plain-", "pre-", "dec-"))
        if key != documents.ROUTES_KEY and not is_known:
            return value
        try:
            return super().__call__(key, value)
        except (
            AttributeError,
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
        ):
            return value


class OddRecordsCase(builders_paths.PathCase):
    def _view_of(self, number: int) -> builders_paths.StoreView:
        return SoundServersView(
            lambda server_id, address: (
                f"127.0.0.1:{self._path(number, server_id, address).port}"
            )
        )

    def start_gateways(
        self, count: int, zones: Sequence[str] = ("zone-a",), **settings: Any
    ) -> None:
        # No more than the pipe to this process holds.
        super().start_gateways(count, zones, log_level="ERROR", **settings)

    def assert_logs_no_exception(self) -> None:
        for gateway in self.gateways:
            gateway.stop()
            self.assertNotIn('"trace"', gateway.output())

    def put(
        self, prefix: str, records: Iterable[builders_odd_records.OddRecord]
    ) -> None:
        """Puts odd records, each under a key of its own if that is sound."""
        for number, odd in enumerate(records):
            key = odd.key.replace("odd", f"odd-{number}")
            self.store.put(prefix + key, odd.value)

    def change(
        self, prefix: str, records: Iterable[builders_odd_records.OddRecord]
    ) -> None:
        """Puts one odd record after the other while they are followed."""
        for odd in records:
            self.store.put(prefix + odd.key, odd.value)
            gevent.sleep(CHANGED_EACH_S)

    def assert_serves(self, number: int) -> None:
        """Asserts that a gateway runs, and that sound servers serve."""
        for path in ("/safe/x", "/unsafe/x", "/stream/x"):
            for _ in range(CALLS_COUNT):
                fields = builders_paths.prompt_fields(path)
                tried = self.call(number, path, fields)
                self.assertEqual(tried.status, 200, tried)
        self.assertIsNone(self.gateways[number].poll())
        self.assertEqual(self.metric(number, _TASK_FAILURES), 0)

    def assert_follows(self, number: int) -> None:
        """Asserts that a gateway still follows routes and servers."""
        document = build.routes_document(7)
        document["routes"] = document["routes"][:1]
        document["routes"][0]["prefix"] = "/new/"
        self.store.put(documents.ROUTES_KEY, json.dumps(document).encode())
        self.assertTrue(
            builders_platform.wait_until(
                lambda: self.call(number, "/new/x").status == 200
            )
        )
        added = self.server("plain-9", "plain")
        self.store.delete(documents.SERVERS_PREFIX + "plain-1")
        self.assertTrue(
            builders_platform.wait_until(
                lambda: (
                    self.call(number, "/new/x").status == 200
                    and bool(added.arrivals)
                )
            )
        )


class OddServersTest(OddRecordsCase):
    """Guards against gateways that end, or stop following the servers."""

    def records(self) -> list[builders_odd_records.OddRecord]:
        return list(builders_odd_records.server_records(DEAD))

    def test_odd_records_at_the_start(self) -> None:
        self.put(documents.SERVERS_PREFIX, self.records())
        self.start_gateways(1)
        self.assert_serves(0)
        self.assert_follows(0)
        self.assert_logs_no_exception()

    def test_records_that_turn_odd_while_they_are_followed(self) -> None:
        self.start_gateways(1)
        self.change(documents.SERVERS_PREFIX, self.records())
        gevent.sleep(1.0)
        self.assert_serves(0)
        self.assert_follows(0)
        self.assert_logs_no_exception()

    def test_odd_record_of_a_server_is_read_until_it_is_sound(self) -> None:
        self.start_gateways(1)
        key = documents.SERVERS_PREFIX + "plain-1"
        for odd in self.records():
            if odd.key == "odd":
                self.store.put(key, odd.value)
        address = f"127.0.0.1:{self.plain.port}"
        self.store.put(key, build.server_value(address=address))
        gevent.sleep(1.5)
        self.assert_serves(0)
        self.assert_logs_no_exception()

    def test_odd_id_at_the_address_of_a_sound_server(self) -> None:
        """Guards against 400 for callers when an id fits no header field."""
        self.start_gateways(1)
        address = f"127.0.0.1:{self.plain.port}"
        for name in builders_odd_records.NAMES:
            value = build.server_value(address=address)
            self.store.put(documents.SERVERS_PREFIX + name, value)
        gevent.sleep(1.5)
        self.assert_serves(0)
        self.assert_logs_no_exception()

    def test_ten_thousand_odd_records_at_once(self) -> None:
        self.start_gateways(1)
        for number in range(MANY_COUNT):
            self.store.put(f"{documents.SERVERS_PREFIX}odd-{number}", b"[[]]")
        self.assertTrue(self.wait_metric(0, _UNREADABLE, MANY_COUNT))
        self.assert_serves(0)
        self.assert_follows(0)
        self.assert_logs_no_exception()

    def test_ten_thousand_servers_of_an_unknown_service_at_once(self) -> None:
        self.start_gateways(1)
        value = build.server_value(address=DEAD, service="unknown")
        for number in range(MANY_COUNT):
            self.store.put(f"{documents.SERVERS_PREFIX}odd-{number}", value)
        gevent.sleep(3.0)
        self.assert_serves(0)
        self.assert_follows(0)
        self.assert_logs_no_exception()


class OddGatewaysTest(OddRecordsCase):
    """Guards against gateways that end by what others seem to register."""

    def test_odd_registrations_and_shares(self) -> None:
        records = list(builders_odd_records.registrations(DEAD))
        self.put(directory.KEY_PREFIX, records)
        self.start_gateways(2)
        self.assertTrue(builders_gateways.know_each_other(self.gateways))
        for share in range(8):
            for _, value in builders_odd_records.raw_values():
                self.store.put(f"{repeat_shares.RECORD_PREFIX}{share}", value)
        self.change(directory.KEY_PREFIX, records)
        gevent.sleep(READ_S)
        self.assert_serves(0)
        self.cut([0], "refuse")
        self.assert_serves(0)
        self.assert_logs_no_exception()

    def test_odd_records_of_blocked_requests(self) -> None:
        records = list(builders_odd_records.blocked_requests())
        for odd in records:
            self.store.put(crash_records.KEY_PREFIX + odd.key, odd.value)
        self.start_gateways(1)
        self.assert_serves(0)
        self.assert_follows(0)
        self.assert_logs_no_exception()


if __name__ == "__main__":
    unittest.main()

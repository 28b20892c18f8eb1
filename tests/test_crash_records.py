"""Tests the records of blocked requests in the key-value service."""

import json
import unittest

from mulberrywharf import clock
from mulberrywharf.crashes import crash_records
from mulberrywharf.policy import crash_suspects
from tests import builders_platform
from tests import builders_routes as build
from tests.builders_crashes import (
    answer_others,
    blocked_requests,
    end,
    record_end,
    traits,
)

FINGERPRINT = 2**64 - 5
PART = 2**64 - 7
KEY = f"{crash_records.KEY_PREFIX}fffffffffffffffb"


class RecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(build.running_store())
        self.clock = clock.SystemClock()
        self.client = build.store_client(self.store.port)
        self.addCleanup(self.client.close)

    def start(self) -> crash_suspects.CrashSuspects:
        suspects = crash_suspects.CrashSuspects()
        self.records = crash_records.CrashRecords(
            self.client, suspects, self.clock
        )
        self.records.start()
        self.addCleanup(self.records.close)
        return suspects

    def block(self, suspects: crash_suspects.CrashSuspects) -> None:
        for server_key in (1, 2):
            at_s = self.clock.monotonic_s()
            record_end(suspects, FINGERPRINT, end(server_key, at_s))
        self.records.schedule_write()

    def is_stored(self) -> bool:
        return self.client.get(KEY, purpose="test").unwrap() is not None

    def is_any_stored(self) -> bool:
        found = self.client.get_prefix(
            crash_records.KEY_PREFIX, purpose="test"
        ).unwrap()
        return bool(found)

    def is_blocked(self, suspects: crash_suspects.CrashSuspects) -> bool:
        return suspects.is_blocked(
            traits(FINGERPRINT), self.clock.monotonic_s()
        )

    def test_a_new_gateway_reads_blocked_requests(self) -> None:
        self.block(self.start())
        self.assertTrue(builders_platform.wait_until(self.is_stored))
        suspects = self.start()
        self.assertTrue(
            builders_platform.wait_until(lambda: self.is_blocked(suspects))
        )

    def test_records_lost_by_a_restore_are_written_again(self) -> None:
        """Guards against losing all records.

        This happens if all gateways restart after the service was restored
        from a backup.
        """
        self.store.era = 1
        backup = self.store.copy()
        self.block(self.start())
        self.assertTrue(builders_platform.wait_until(self.is_stored))
        self.store.restore(backup)
        self.assertFalse(self.is_stored())
        self.assertTrue(builders_platform.wait_until(self.is_stored))

    def test_record_of_a_cleared_request_is_deleted(self) -> None:
        """Guards against blocking a harmless request again on each read."""
        suspects = self.start()
        self.block(suspects)
        self.assertTrue(builders_platform.wait_until(self.is_stored))
        suspects.record_completed(FINGERPRINT, self.clock.monotonic_s())
        self.records.remove(FINGERPRINT)
        self.assertTrue(
            builders_platform.wait_until(lambda: not self.is_stored())
        )

    def test_a_new_gateway_reads_blocked_parts(self) -> None:
        suspects = self.start()
        at_s = self.clock.monotonic_s()
        for number in range(3):
            record_end(suspects, number, end(number, at_s), (PART, number), 9)
        answer_others(suspects, at_s)
        self.records.schedule_write()
        request = traits(99, (PART,), customer=9)
        self.assertTrue(
            builders_platform.wait_until(lambda: self.is_any_stored())
        )
        started = self.start()
        self.assertTrue(
            builders_platform.wait_until(
                lambda: started.is_blocked(request, self.clock.monotonic_s())
            )
        )
        self.assertFalse(
            started.is_blocked(
                traits(99, (PART,), customer=8), self.clock.monotonic_s()
            )
        )

    def test_records_are_written_after_an_outage_of_the_store(self) -> None:
        suspects = self.start()
        self.store.faults = {"down": True}
        self.block(suspects)
        builders_platform.wait_until(lambda: False, 1.0)
        self.store.faults = {}
        self.assertTrue(builders_platform.wait_until(self.is_stored))

    def test_time_of_a_server_exit_is_preserved(self) -> None:
        ends = [
            {
                "server_key": key,
                "made_output": False,
                "unix_s": self.clock.unix_s() - 500.0,
            }
            for key in (1, 2)
        ]
        self.store.put(KEY, json.dumps(ends).encode())
        suspects = self.start()
        self.assertTrue(
            builders_platform.wait_until(lambda: self.is_blocked(suspects))
        )
        now_s = self.clock.monotonic_s()
        (block,) = suspects.blocks(now_s)
        self.assertLess(suspects.retry_after_s(block, now_s), 101.0)

    def test_invalid_records_are_skipped(self) -> None:
        for name, value in (
            ("x", b"[]"),
            ("1", b"\xff"),
            ("2", b"[7]"),
            ("3", b'[{"unix_s":"x"}]'),
            ("4", b'{"server_key":1}'),
            ("0" * 17, b"[]"),
            (
                "0" * 15 + "6",
                b'[{"server_key":4,"made_output":0,"unix_s":1,"request":"x"}]',
            ),
            (
                "0" * 15 + "7",
                b'[{"server_key":4,"made_output":0,"unix_s":1,"parts":7}]',
            ),
            (
                "0" * 15 + "5",
                b'[{"server_key":4294967296,"made_output":0,"unix_s":1}]',
            ),
        ):
            self.store.put(crash_records.KEY_PREFIX + name, value)
        suspects = self.start()
        self.block(suspects)
        self.assertTrue(builders_platform.wait_until(self.is_stored))
        self.assertEqual(
            blocked_requests(suspects, self.clock.monotonic_s()), [FINGERPRINT]
        )


if __name__ == "__main__":
    unittest.main()

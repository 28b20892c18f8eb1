"""What is seen of servers that end while they work on requests."""

import time
import unittest
from typing import Any

import gevent
from result import Err

from mulberrywharf import clock, crash_watch, errors, fleet, server_ends
from mulberrywharf.forwarding import exchanges, server_book
from mulberrywharf.platform import requests
from mulberrywharf.policy import crash_suspects
from tests import builders_engines
from tests import builders_routes as build

START = fleet.ServerStart("server-1")


class ServerEndsTest(builders_engines.ScriptedServerCase):
    def setUp(self) -> None:
        system_clock = clock.SystemClock()
        self.client = exchanges.ServerClient(
            requests.ServerDialect(),
            server_book.ServerBook("zone-a"),
            system_clock,
        )
        self.addCleanup(self.client.close)
        self.ends = server_ends.ServerEnds(self.client, system_clock)

    def scripted(self) -> Any:
        return self.serve(lambda sock, _: sock.close())

    def has_ended(self, scripted: Any) -> bool:
        return self.ends.ended_s(START, scripted.address) is not None

    def test_a_server_that_listens_has_not_ended(self) -> None:
        scripted = self.scripted()
        self.assertFalse(self.has_ended(scripted))

    def test_an_end_right_behind_a_lost_answer_is_seen(self) -> None:
        scripted = self.scripted()
        self.assertFalse(self.has_ended(scripted))
        scripted.close()
        self.assertTrue(self.has_ended(scripted))

    def test_one_connection_tells_for_all_exchanges(self) -> None:
        scripted = self.scripted()
        asked = [gevent.spawn(self.has_ended, scripted) for _ in range(9)]
        gevent.joinall(asked)
        gevent.sleep(0)
        self.assertEqual([one.get() for one in asked], [False] * 9)
        self.assertLessEqual(scripted.connection_count, 1)

    def test_a_silent_server_has_not_ended(self) -> None:
        ends = server_ends.ServerEnds(_Silence(), clock.SystemClock())
        address = fleet.Address("127.0.0.1", 1)
        self.assertIsNone(ends.ended_s(START, address))


class PausedProcessTest(builders_engines.ScriptedServerCase):
    def test_end_is_noted_after_a_pause_of_the_process(self) -> None:
        """Guards against retrying a crashing request after a process pause."""
        scripted = self.serve(lambda sock, _: sock.close())
        scripted.close()
        system_clock = clock.SystemClock()
        suspects = crash_suspects.CrashSuspects()
        watch = crash_watch.CrashWatch(
            server_ends.ServerEnds(
                server_ends.Connector(timeout_s=0.2), system_clock
            ),
            suspects,
            crash_watch.Alone(),
            crash_watch.Alone(),
            system_clock,
        )
        wanted = build.routed(0.0)
        # Blocks the event loop once ``broke_off`` starts to wait.
        gevent.spawn(time.sleep, 2 * crash_watch.KNOWN_WITHIN_S)
        watch.broke_off(
            crash_watch.Run(wanted, START, scripted.address),
            made_output=False,
        )
        ends = suspects.ends(wanted.fingerprint(), system_clock.monotonic_s())
        self.assertEqual(len(ends), 1)


class _Silence:
    """Stands for a way on which nothing is answered."""

    def probe(self, address: Any) -> Any:
        return Err(errors.EngineUnreachableError("timed out"))


class FingerprintTest(unittest.TestCase):
    def test_it_is_of_path_caller_and_body(self) -> None:
        wanted = build.routed(0.0, caller="key-1")
        same = build.routed(9.0, caller="key-1", request_id="another")
        self.assertEqual(wanted.fingerprint(), same.fingerprint())
        for changed in (
            {"target": "/a/x?q=2"},
            {"body": b"bodY"},
            {"caller": "key-2"},
            {"host": "another.example"},
            {"method": "PUT"},
        ):
            with self.subTest(changed=changed):
                other = wanted._replace(**changed)
                self.assertNotEqual(wanted.fingerprint(), other.fingerprint())

    def test_no_part_passes_for_two(self) -> None:
        one = build.routed(0.0, target="/a/xkey", caller="")
        two = build.routed(0.0, target="/a/x", caller="key")
        self.assertNotEqual(one.fingerprint(), two.fingerprint())


if __name__ == "__main__":
    unittest.main()

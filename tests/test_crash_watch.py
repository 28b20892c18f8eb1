"""Tests the detection of servers that exit while processing requests."""

import time
import unittest
from typing import Any
from unittest import mock

import gevent
from gevent.server import StreamServer
from result import Err

from mulberrywharf import (
    _connections,
    clock,
    errors,
    fleet,
    server_limits,
)
from mulberrywharf.crashes import crash_watch, server_ends
from mulberrywharf.forwarding import (
    request,
    server_client,
    server_tracker,
)
from mulberrywharf.platform import requests
from mulberrywharf.policy import crash_suspects
from tests import builders_engines
from tests import builders_routes as build
from tests.builders_crashes import end, record_end

START = fleet.ServerStart("server-1")


class ServerEndsTest(builders_engines.ScriptedServerCase):
    def setUp(self) -> None:
        system_clock = clock.SystemClock()
        self.client = server_client.ServerClient(
            requests.ServerDialect(),
            server_tracker.ServerTracker("zone-a"),
            system_clock,
            server_limits.ServerLimits(system_clock),
        )
        self.addCleanup(self.client.close)
        self.ends = server_ends.ServerEnds(self.client, system_clock)

    def start_server(self) -> Any:
        return self.serve(lambda sock, _: sock.close())

    def has_exited(self, server: Any) -> bool:
        return self.ends.ended_s(START, server.address) is not None

    def test_a_listening_server_has_not_exited(self) -> None:
        server = self.start_server()
        self.assertFalse(self.has_exited(server))

    def test_an_exit_soon_after_a_lost_answer_is_detected(self) -> None:
        server = self.start_server()
        self.assertFalse(self.has_exited(server))
        server.close()
        self.assertTrue(self.has_exited(server))

    def test_an_end_is_detected_while_the_listening_socket_still_accepts(
        self,
    ) -> None:
        """Guards against a connect to a process that is just ending.

        Its connections are closed before its listening socket, which accepts
        one more connection. The request would go to one more server.
        """
        # The server runs in this process, which a busy machine may suspend for
        # longer than the usual time.
        self.enterContext(mock.patch.object(_connections, "CONFIRM_S", 5.0))
        server = self.start_server()
        gevent.spawn_later(0.01, server.close)
        self.assertTrue(self.has_exited(server))

    def test_a_server_that_closes_new_connections_has_not_exited(self) -> None:
        """Guards against taking a server at its connection limit for ended."""
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: sock.close())
        server.start()
        self.addCleanup(server.stop)
        address = fleet.Address("127.0.0.1", server.server_port)
        self.assertIsNone(self.ends.ended_s(START, address))

    def test_concurrent_checks_share_one_connection(self) -> None:
        server = self.start_server()
        checks = [gevent.spawn(self.has_exited, server) for _ in range(9)]
        gevent.joinall(checks)
        gevent.sleep(0)
        self.assertEqual([check.get() for check in checks], [False] * 9)
        self.assertLessEqual(server.connection_count, 1)

    def test_an_unresponsive_server_has_not_exited(self) -> None:
        ends = server_ends.ServerEnds(
            _UnresponsiveProber(), clock.SystemClock()
        )
        address = fleet.Address("127.0.0.1", 1)
        self.assertIsNone(ends.ended_s(START, address))


class PausedProcessTest(builders_engines.ScriptedServerCase):
    def test_exit_is_recorded_after_a_pause_of_the_process(self) -> None:
        """Guards against retrying a crashing request after a process pause."""
        server = self.serve(lambda sock, _: sock.close())
        server.close()
        system_clock = clock.SystemClock()
        suspects = crash_suspects.CrashSuspects()
        watch = crash_watch.CrashWatch(
            server_ends.ServerEnds(
                server_ends.TcpProber(timeout_s=0.2), system_clock
            ),
            suspects,
            crash_watch.NullReportsAndRecords(),
            crash_watch.NullReportsAndRecords(),
            system_clock,
        )
        routed_request = build.routed_request(0.0)
        # Blocks the event loop once ``note_connection_lost`` starts to wait.
        gevent.spawn(time.sleep, 2 * crash_watch.PROBE_WAIT_S)
        watch.note_connection_lost(
            crash_watch.RequestRun(routed_request, START, server.address),
            made_output=False,
        )
        ends = suspects.ends(
            routed_request.fingerprint(), system_clock.monotonic_s()
        )
        self.assertEqual(len(ends), 1)


class RecordsTest(builders_engines.ScriptedServerCase):
    def test_end_under_a_request_that_others_block_is_recorded(self) -> None:
        """Guards against a record that only a killed gateway would write."""
        server = self.serve(lambda sock, _: sock.close())
        server.close()
        system_clock = clock.SystemClock()
        suspects = crash_suspects.CrashSuspects()
        records = mock.Mock()
        watch = crash_watch.CrashWatch(
            server_ends.ServerEnds(
                server_ends.TcpProber(timeout_s=0.2), system_clock
            ),
            suspects,
            crash_watch.NullReportsAndRecords(),
            records,
            system_clock,
        )
        routed_request = build.routed_request(0.0)
        now_s = system_clock.monotonic_s()
        for server_key in (1, 2):
            record_end(
                suspects, routed_request.fingerprint(), end(server_key, now_s)
            )
        self.assertTrue(watch.is_blocked(routed_request))
        watch._refresh()
        records.schedule_write.assert_not_called()
        watch.note_connection_lost(
            crash_watch.RequestRun(routed_request, START, server.address),
            made_output=False,
        )
        records.schedule_write.assert_called_once()


class TrialTest(unittest.TestCase):
    """A request that tried a suspected part ended two servers, not one."""

    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()
        self.clock = clock.SystemClock()
        self.watch = crash_watch.CrashWatch(
            mock.Mock(),
            self.suspects,
            crash_watch.NullReportsAndRecords(),
            crash_watch.NullReportsAndRecords(),
            self.clock,
        )

    def numbered(self, number: int) -> request.RoutedRequest:
        return build.routed_request(
            0.0, prompt=build.prompt(100, 100), body=str(number).encode()
        )

    def end_server(
        self, number: int, ended: request.RoutedRequest, *, made_output: bool
    ) -> None:
        record_end(
            self.suspects,
            ended.fingerprint(),
            end(number, self.clock.monotonic_s(), made_output=made_output),
            ended.part_keys("service").values(),
            ended.customer_key(),
        )

    def trial(self) -> crash_watch.RequestWatch:
        for number in range(2):
            self.end_server(number, self.numbered(number), made_output=False)
        tried = self.watch.of(self.numbered(2), "service")
        tried.check()
        return tried

    def test_it_is_over_once_a_server_has_ended(self) -> None:
        tried = self.trial()
        self.assertFalse(tried.is_blocked())
        tried.check_repeat()
        self.end_server(2, self.numbered(2), made_output=False)
        self.assertTrue(tried.is_blocked())
        with self.assertRaises(errors.CrashingRequestError):
            tried.check_repeat()

    def test_answer_that_began_goes_on_elsewhere(self) -> None:
        tried = self.trial()
        self.end_server(2, self.numbered(2), made_output=True)
        self.assertFalse(tried.is_blocked())

    def test_request_that_is_no_trial_goes_on_elsewhere(self) -> None:
        watched = self.watch.of(self.numbered(2), "service")
        watched.check()
        self.trial()
        self.end_server(2, self.numbered(2), made_output=False)
        self.assertFalse(watched.is_blocked())


class _UnresponsiveProber:
    """Simulates a server that does not respond to connection attempts."""

    def probe(self, address: Any) -> Any:
        return Err(errors.EngineUnreachableError("timed out"))


class FingerprintTest(unittest.TestCase):
    def test_fingerprint_depends_on_the_request_and_its_caller(self) -> None:
        original = build.routed_request(0.0, caller="key-1")
        repeated = build.routed_request(
            9.0, caller="key-1", request_id="another"
        )
        self.assertEqual(original.fingerprint(), repeated.fingerprint())
        for changed in (
            {"target": "/a/x?q=2"},
            {"body": b"bodY"},
            {"caller": "key-2"},
            {"host": "another.example"},
            {"method": "PUT"},
        ):
            with self.subTest(changed=changed):
                other = original._replace(**changed)
                self.assertNotEqual(original.fingerprint(), other.fingerprint())

    def test_boundary_between_parts_changes_the_fingerprint(self) -> None:
        first = build.routed_request(0.0, target="/a/xkey", caller="")
        second = build.routed_request(0.0, target="/a/x", caller="key")
        self.assertNotEqual(first.fingerprint(), second.fingerprint())

    def test_part_keys_depend_on_service_and_model(self) -> None:
        prompt = request.Prompt(
            "m",
            30,
            5,
            tuple(request.PromptPart(name, 10) for name in ("a", "b", "own")),
        )
        original = build.routed_request(0.0, prompt=prompt)
        keys = original.part_keys("engines")
        self.assertEqual(list(keys), ["a", "b"])
        other_model = original._replace(prompt=prompt._replace(model="n"))
        for other in (
            original.part_keys("others"),
            other_model.part_keys("engines"),
        ):
            self.assertFalse(set(keys.values()) & set(other.values()))


if __name__ == "__main__":
    unittest.main()

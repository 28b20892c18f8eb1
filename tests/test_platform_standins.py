"""The platform's stand-ins as programs: they announce, answer and end."""

import json
import signal
import socket
import subprocess
import sys
import unittest
from typing import Any
from unittest import mock

from gevent import socket as gevent_socket

from mulberrywharf import _connections
from mulberrywharf.platform_service import http_calls
from standins import fault_proxy, http_control, platform_server
from tests import builders_platform as builders

PATH_BY_NAME = {
    "key_value": "/standin/log",
    "vm_list": "/vms",
    "weight_store": "/standin/log",
}


class ProgramsTest(unittest.TestCase):
    def test_announce_answer_and_end(self) -> None:
        for name, path in PATH_BY_NAME.items():
            with self.subTest(name):
                process = subprocess.Popen(
                    [sys.executable, "-m", f"standins.{name}", "--port", "0"],
                    stdout=subprocess.PIPE,
                    text=True,
                )
                self.addCleanup(process.kill)
                assert process.stdout is not None
                self.addCleanup(process.stdout.close)
                word, _, fields = process.stdout.readline().partition(" ")
                self.assertEqual(word, "READY")
                port = json.loads(fields)["port"]
                calls = http_calls.HttpCalls(builders.endpoint(port), 5.0)
                self.addCleanup(calls.close)
                self.assertEqual(calls.call("GET", path).unwrap().status, 200)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(builders.WAIT_LIMIT_S), 0)

    def test_faults_are_set_over_http(self) -> None:
        with builders.running_key_value() as service:
            calls = http_calls.HttpCalls(builders.endpoint(service.port), 1.0)
            self.addCleanup(calls.close)
            calls.call("POST", "/standin/faults", {"refuse_writes": True})
            lease = calls.call("POST", "/v3/lease/grant", {"TTL": "1"})
            self.assertEqual(lease.unwrap().status, 503)
            log = calls.call("GET", "/standin/log").unwrap().body
            self.assertEqual(log["calls_by_kind"], {"lease_grant": 1})


class PortTest(unittest.TestCase):
    """Another process got the port of a server that was about to restart."""

    def is_free(self, port: int) -> bool:
        with socket.socket() as taker:
            try:
                taker.bind(("127.0.0.1", port))
            except OSError:
                return False
            return True

    def test_port_of_a_server_that_ends_stays_its_own(self) -> None:
        server = platform_server.PlatformServerStandin("s1")
        self.addCleanup(server.close)
        server.start()
        server.crash_on = "body"
        were_free: list[bool] = []
        stop_server = http_control.stop_server

        def stop_and_note(stopped: Any) -> None:
            stop_server(stopped)
            were_free.append(self.is_free(server.port))

        sock = gevent_socket.create_connection(("127.0.0.1", server.port))
        # A reset leaves no connection that would keep the port.
        _connections.reset_on_close(sock)
        server.on_arrival = lambda _: sock.close()
        with mock.patch.object(http_control, "stop_server", stop_and_note):
            sock.sendall(
                b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
                b"x-mulberrywharf-expected-instance: s1\r\n\r\nbody"
            )
            self.assertTrue(builders.wait_until(lambda: bool(were_free)))
        self.assertEqual(were_free, [False])
        server.restart("s2")

    def test_port_of_a_proxy_that_refuses_stays_its_own(self) -> None:
        proxy = fault_proxy.FaultProxy(("127.0.0.1", 1))
        proxy.start()
        self.addCleanup(proxy.close)
        were_free: list[bool] = []
        bind = proxy._bind

        def note_and_bind(*arguments: int) -> None:
            were_free.append(self.is_free(proxy.port))
            bind(*arguments)

        with mock.patch.object(proxy, "_bind", note_and_bind):
            for mode in ("refuse", "pass", "silent", "pass"):
                proxy.set_faults(mode=mode)
        self.assertEqual(were_free, [False] * 3)


if __name__ == "__main__":
    unittest.main()

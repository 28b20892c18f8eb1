"""Tests that connections are closed unread while the event loop is late."""

import socket
import time
import unittest
from typing import Any
from unittest import mock

import gevent

from mulberrywharf.callers import connection_intake, listener
from mulberrywharf.policy import connection_admission
from tests import callers_fixture, cluster

_BUSY_S = 0.08
_IDLE_S = 0.001
_OVERLOAD_S = 2.0
_CALLERS_COUNT = 8
_TIMEOUT_S = 30.0


def _answer(environ: Any, start_response: Any) -> list[bytes]:
    start_response("200 OK", [("content-type", "text/plain")])
    return [b"done"]


class OverloadTest(unittest.TestCase):
    def setUp(self) -> None:
        for name in ("START_S", "SURGE_LEAST_PER_S", "SURGE_RATIO"):
            self.enterContext(mock.patch.object(connection_admission, name, 0))
        self.intake = connection_intake.ConnectionIntake()
        self.intake.start()
        self.addCleanup(self.intake.close)
        self.listener = listener.CallerListener(
            cluster.LOOPBACK, 0, intake=self.intake
        )
        self.listener.serve(_answer)
        self.listener.start()
        self.addCleanup(self.listener.stop)
        self.is_busy = True

    def occupy(self) -> None:
        """Keeps the event loop late, without using the processor."""
        while self.is_busy:
            time.sleep(_BUSY_S)
            gevent.sleep(_IDLE_S)

    def call(self) -> bytes:
        """Calls on a new connection; returns b"" if it was closed unread."""
        address = (cluster.LOOPBACK, self.listener.port)
        try:
            with socket.create_connection(address, _TIMEOUT_S) as sock:
                sock.sendall(callers_fixture.request_bytes("GET", "/"))
                return sock.recv(65_536)
        except ConnectionError:
            return b""

    def call_until(self, until_s: float) -> list[bytes]:
        answers = []
        while time.monotonic() < until_s:
            answers.append(self.call())
        return answers

    def call_all(self, length_s: float) -> list[bytes]:
        pool = gevent.get_hub().threadpool
        until_s = time.monotonic() + length_s
        calling = [
            pool.spawn(self.call_until, until_s) for _ in range(_CALLERS_COUNT)
        ]
        return [answer for one in calling for answer in one.get()]

    def test_connections_are_closed_unread_while_the_loop_is_late(self) -> None:
        """Guards against callers who wait in a queue that only grows."""
        busy = gevent.spawn(self.occupy)
        answers = self.call_all(_OVERLOAD_S)
        self.is_busy = False
        busy.join()
        self.assertIn(b"", answers)
        read = [answer for answer in answers if answer]
        self.assertTrue(all(b"200 OK" in answer for answer in read))
        gevent.sleep(connection_admission.RELEASE_S + 1.0)
        answer = gevent.get_hub().threadpool.apply(self.call)
        self.assertIn(b"200 OK", answer)


if __name__ == "__main__":
    unittest.main()

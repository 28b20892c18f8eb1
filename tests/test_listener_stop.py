"""A listener that stops: what was accepted is served, what is idle ends."""

import time
import unittest
from collections.abc import Iterator
from typing import Any

import gevent
import gevent.event
import gevent.socket

from mulberrywharf.callers import handshakes, listener
from tests import callers_fixture, cluster

_JOIN_S = 60.0


class ListenerStopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = listener.CallerListener(cluster.LOOPBACK, 0)
        self.entered = gevent.event.Event()
        self.may_end = gevent.event.Event()
        self.listener.serve(self._answer)
        self.listener.start()
        self.addCleanup(self.listener.stop)

    def _answer(self, environ: Any, start_response: Any) -> list[bytes]:
        self.entered.set()
        self.may_end.wait()
        start_response("200 OK", [("content-type", "text/plain")])
        return [b"done"]

    def connect(self) -> Any:
        sock = callers_fixture.connect(self.listener.port)
        self.addCleanup(sock.close)
        return sock

    def test_connections_in_the_backlog_are_served(self) -> None:
        """A request that the kernel accepted gets a reset.

        Symptom: connection resets in the moment of a stop.
        Sequence: the kernel completes a connection and takes its request;
        the listener is closed before the process accepts it.
        Cause: closing a listener resets what it has not accepted.
        """
        self.listener.stop_accepting()
        socks = [self.connect() for _ in range(4)]
        for sock in socks:
            sock.sendall(callers_fixture.request_bytes("GET", "/"))
        finishing = gevent.spawn(self.listener.finish)
        self.assertTrue(self.entered.wait(_JOIN_S))
        self.assertFalse(finishing.ready())
        self.may_end.set()
        for sock in socks:
            self.assertIn(b"200 OK", sock.recv(65_536))
        finishing.get(timeout=_JOIN_S)

    def test_a_caller_slow_to_send_its_first_request_is_served(self) -> None:
        """A request is cut by a stop on a busy machine.

        Symptom: a new connection closes without an answer.
        Sequence: a caller connects just before the listener closes, and sends
        its request some 300 ms later, for want of processor time.
        Cause: connections without a request were ended at once.
        """
        self.may_end.set()
        sock = self.connect()
        finishing = gevent.spawn(self.listener.finish)
        gevent.sleep(0.3)
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        finishing.get(timeout=_JOIN_S)

    def test_a_stream_begun_before_the_stop_leaves_its_connection_open(
        self,
    ) -> None:
        """A caller's next request is cut by a stop.

        Symptom: "connection closed" for the request behind a stream.
        Sequence: the head of a stream goes out, the stop begins, the stream
        ends whole; its caller sends the next request on that connection.
        Cause: the connection was closed behind the stream, though the head
        had not said so.
        """
        self.listener.serve(self._answer_in_two_parts)
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        self.listener.announce_stop()
        finishing = gevent.spawn(self.listener.finish)
        gevent.sleep(0.3)
        self.may_end.set()
        received = b""
        while not received.endswith(b"0\r\n\r\n"):
            part = sock.recv(65_536)
            self.assertNotEqual(part, b"")
            received += part
        gevent.sleep(0.3)
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        head = callers_fixture.head_of(sock.recv(65_536))
        self.assertEqual(head["connection"], "close")
        finishing.get(timeout=_JOIN_S)

    def test_a_stream_that_ends_late_in_a_stop_ends_its_connection(
        self,
    ) -> None:
        """A request is cut by the end of the grace of a stop.

        Symptom: an answer breaks off, eight seconds after the stop began.
        Sequence: a stream ends five seconds into the stop; its caller sends
        the next request on that connection, and it is taken.
        Cause: how late a stop still takes requests was not bounded.
        """
        self.listener.serve(self._answer_in_two_parts)
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        finishing = gevent.spawn(self.listener.finish)
        gevent.sleep(listener._NEXT_REQUEST_S + 0.3)
        self.may_end.set()
        ended = time.monotonic()
        while sock.recv(65_536):
            pass
        self.assertLess(time.monotonic() - ended, 0.5)
        finishing.get(timeout=_JOIN_S)

    def _answer_in_two_parts(
        self, environ: Any, start_response: Any
    ) -> Iterator[bytes]:
        start_response("200 OK", [("content-type", "text/plain")])
        yield b"first"
        self.may_end.wait()
        yield b"second"

    def test_request_that_races_with_the_end_of_reading_is_served(
        self,
    ) -> None:
        """A request on a kept connection is lost in the moment of a stop.

        Symptom: a kept connection closes without an answer.
        Sequence: the request lies in the kernel when the stop ends reading
        on connections that look idle.
        Cause: the reader was woken by an error before it saw the bytes.
        """
        self.may_end.set()
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        (accepted,) = self.listener._last_use_s
        # No greenlet runs between these two.
        sock._sock.send(callers_fixture.request_bytes("GET", "/"))
        listener._end_reading(accepted)
        self.assertIn(b"200 OK", sock.recv(65_536))

    def test_new_handshakes_do_not_begin_while_closing(self) -> None:
        """The last connection of a listener is reset.

        Symptom: now and then a connection reset in the moment of a stop.
        Sequence: the kernel completes a connection after the last accept
        and before the close.
        Cause: a listener cannot be closed and emptied in one step.
        """
        self.assertTrue(handshakes.refuse_new(self.listener.socket))
        late = gevent.socket.socket()
        self.addCleanup(late.close)
        late.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            late.connect((cluster.LOOPBACK, self.listener.port))

    def test_idle_connections_do_not_hold_up_the_stop(self) -> None:
        self.may_end.set()
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        gevent.spawn(self.listener.finish).get(timeout=_JOIN_S)
        self.assertEqual(sock.recv(1), b"")

    def test_answers_of_a_stopping_listener_end_their_connection(self) -> None:
        self.may_end.set()
        self.listener.announce_stop()
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        received = b""
        while part := sock.recv(65_536):
            received += part
        head = callers_fixture.head_of(received)
        self.assertEqual(head["connection"], "close")


if __name__ == "__main__":
    unittest.main()

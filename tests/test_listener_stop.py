"""Stop of the listener: requests are served, idle connections closed."""

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
        self.may_complete = gevent.event.Event()
        self.listener.serve(self._answer)
        self.listener.start()
        self.addCleanup(self.listener.stop)

    def _answer(self, environ: Any, start_response: Any) -> list[bytes]:
        self.entered.set()
        self.may_complete.wait()
        start_response("200 OK", [("content-type", "text/plain")])
        return [b"done"]

    def connect(self) -> Any:
        sock = callers_fixture.connect(self.listener.port)
        self.addCleanup(sock.close)
        return sock

    def test_connections_in_the_accept_queue_are_served(self) -> None:
        """Guards against a stop that resets connections not yet accepted.

        The kernel completes a connection and receives its request before the
        process accepts it; closing the listening socket then would reset it.
        """
        self.listener.stop_accepting()
        socks = [self.connect() for _ in range(4)]
        for sock in socks:
            sock.sendall(callers_fixture.request_bytes("GET", "/"))
        finishing = gevent.spawn(self.listener.finish)
        self.assertTrue(self.entered.wait(_JOIN_S))
        self.assertFalse(finishing.ready())
        self.may_complete.set()
        for sock in socks:
            self.assertIn(b"200 OK", sock.recv(65_536))
        finishing.get(timeout=_JOIN_S)

    def test_a_caller_slow_to_send_its_first_request_is_served(self) -> None:
        """Guards against closing a new connection without an answer.

        On a busy machine a caller may connect just before the listener closes
        and send its request some 300 ms later. A stop that closed connections
        without a request at once would abort it.
        """
        self.may_complete.set()
        sock = self.connect()
        finishing = gevent.spawn(self.listener.finish)
        gevent.sleep(0.3)
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        finishing.get(timeout=_JOIN_S)

    def test_connection_of_a_stream_started_before_the_stop_stays_open(
        self,
    ) -> None:
        """Guards against a stop that aborts the request after a stream.

        The head of a stream is sent before the stop and so does not announce
        that the connection will close. The caller may send its next request on
        it; closing the connection at the end of the stream would abort it.
        """
        self.listener.serve(self._answer_as_stream)
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        self.listener.announce_stop()
        finishing = gevent.spawn(self.listener.finish)
        gevent.sleep(0.3)
        self.may_complete.set()
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

    def test_stream_that_ends_late_in_a_stop_closes_its_connection(
        self,
    ) -> None:
        """Guards against an answer aborted at the end of the grace period.

        Without a limit on how late a stop accepts requests, the caller of a
        stream that ended five seconds into the stop could send another request,
        and its answer was aborted eight seconds after the stop began.
        """
        self.listener.serve(self._answer_as_stream)
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        finishing = gevent.spawn(self.listener.finish)
        gevent.sleep(listener._NEXT_REQUEST_WAIT_S + 0.3)
        self.may_complete.set()
        ended = time.monotonic()
        while sock.recv(65_536):
            pass
        self.assertLess(time.monotonic() - ended, 0.5)
        finishing.get(timeout=_JOIN_S)

    def _answer_as_stream(
        self, environ: Any, start_response: Any
    ) -> Iterator[bytes]:
        start_response("200 OK", [("content-type", "text/plain")])
        yield b"first"
        self.may_complete.wait()
        yield b"second"

    def test_request_received_before_reading_is_shut_down_is_served(
        self,
    ) -> None:
        """Guards against losing a request on a keep-alive connection.

        The kernel may have received the request when the stop shuts down
        reading on a connection that looks idle. If the waiting reader got an
        error before it read the bytes, the connection would close without an
        answer.
        """
        self.may_complete.set()
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        (accepted,) = self.listener._last_activity_s
        # No other greenlet runs between these two calls.
        sock._sock.send(callers_fixture.request_bytes("GET", "/"))
        listener._shut_down_reading(accepted)
        self.assertIn(b"200 OK", sock.recv(65_536))

    def test_new_handshakes_are_dropped_while_closing(self) -> None:
        """Guards against an occasional connection reset during a stop.

        The kernel could complete a connection after the last accept and before
        the close of the listening socket, which are separate steps.
        """
        self.assertTrue(handshakes.drop_new_syns(self.listener.socket))
        late = gevent.socket.socket()
        self.addCleanup(late.close)
        late.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            late.connect((cluster.LOOPBACK, self.listener.port))

    def test_idle_connections_do_not_delay_the_stop(self) -> None:
        self.may_complete.set()
        sock = self.connect()
        sock.sendall(callers_fixture.request_bytes("GET", "/"))
        self.assertIn(b"200 OK", sock.recv(65_536))
        gevent.spawn(self.listener.finish).get(timeout=_JOIN_S)
        self.assertEqual(sock.recv(1), b"")

    def test_answers_of_a_stopping_listener_close_their_connection(
        self,
    ) -> None:
        self.may_complete.set()
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

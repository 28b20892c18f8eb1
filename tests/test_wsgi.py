"""The WSGI server shared by the listeners of the project."""

import unittest

import gevent
from gevent import socket as gevent_socket
from loguru import logger

from mulberrywharf import _connections, _wsgi
from mulberrywharf.callers import listener


class IncompleteHeadTest(unittest.TestCase):
    def test_reset_in_the_middle_of_a_head_logs_no_error(self) -> None:
        """A caller that disconnects early must not cause log entries.

        A connection was reset after half a request head. The server treated
        this as a malformed head and answered it, which logged two tracebacks
        of 20 lines, "Invalid request" and "BrokenPipeError". Network failures
        to callers caused many of them per second.
        """
        lines: list[str] = []
        sink = logger.add(lines.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, sink)
        for server in (
            _wsgi.WsgiServer("127.0.0.1", 0, _no_content),
            listener.CallerListener("127.0.0.1", 0),
        ):
            with self.subTest(server=type(server).__name__):
                server.start()
                self.addCleanup(server.stop)
                sock = gevent_socket.create_connection(
                    ("127.0.0.1", server.port)
                )
                sock.sendall(b"GET / HTTP/1.1\r\nhost: a")
                gevent.sleep(0.05)
                _connections.reset_on_close(sock)
                sock.close()
                gevent.sleep(0.05)
                self.assertEqual(lines, [])


class IdleTimeoutTest(unittest.TestCase):
    def test_idle_connections_stay_as_long_as_operators_allow(self) -> None:
        """Guards against closing a connection that a caller may reuse."""
        server = listener.CallerListener("127.0.0.1", 0, idle_timeout_s=0.2)
        server.serve(_no_content)
        server.start()
        self.addCleanup(server.stop)
        for allowed_s, is_open in ((None, False), (0.1, False), (5.0, True)):
            with self.subTest(allowed_s=allowed_s):
                server.allow(None, allowed_s)
                sock = gevent_socket.create_connection(
                    ("127.0.0.1", server.port)
                )
                self.addCleanup(sock.close)
                gevent.sleep(0.6)
                sock.settimeout(0.05)
                try:
                    self.assertEqual((sock.recv(1), is_open), (b"", False))
                except TimeoutError:
                    self.assertTrue(is_open)


def _no_content(
    environ: _wsgi.Environ, start_response: _wsgi.StartResponse
) -> list[bytes]:
    start_response("204 No Content", [])
    return []


if __name__ == "__main__":
    unittest.main()

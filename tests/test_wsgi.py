"""The WSGI server that every listener of the project uses."""

import socket
import struct
import unittest

import gevent
from gevent import socket as gevent_socket
from loguru import logger

from mulberrywharf import _wsgi
from mulberrywharf.callers import listener

_LINGER_ZERO = struct.pack("ii", 1, 0)


class BrokenHeadTest(unittest.TestCase):
    def test_a_reset_in_the_middle_of_a_head_is_no_error(self) -> None:
        """Two traces in the log for each caller that leaves early.

        Symptom: "Invalid request" and "BrokenPipeError" with traces of 20
        lines, many a second where callers are cut off.
        Sequence: a connection is reset after half a head.
        Cause: the reset was taken for a malformed head and answered.
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
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                )
                sock.close()
                gevent.sleep(0.05)
                self.assertEqual(lines, [])


def _no_content(
    environ: _wsgi.Environ, start_response: _wsgi.StartResponse
) -> list[bytes]:
    start_response("204 No Content", [])
    return []


if __name__ == "__main__":
    unittest.main()

"""The routers that are fuzzed, and what must hold of them."""

import contextlib
import os
import pathlib
import unittest
import unittest.mock

import gevent
from gevent import socket

from mulberrywharf.nodes import codec, frames, messages
from tests import builders_settings, cluster

MEMORY_LIMIT_BYTES = 256_000_000
_ANSWER_TIMEOUT_S = 0.5
_TRIES_COUNT = 15
_TRY_PAUSE_S = 0.3
_SHARED_KEY = bytes.fromhex(builders_settings.NODE_KEY_HEX)


class RouterTarget(unittest.TestCase):
    """Two routers that know each other, before an engine and a service."""

    def setUp(self) -> None:
        """Starts the cluster."""
        shape = cluster.Shape(routers_per_zone=2, backends_per_zone=1)
        self.cluster = cluster.Cluster(shape).start()
        self.addCleanup(self.cluster.close)

    def send(self, data: bytes) -> None:
        """Sends bytes as a caller does, and reads what comes back."""
        port = self.cluster.routers[0].process.ready["callers"]
        with (
            socket.create_connection((cluster.LOOPBACK, port)) as sock,
            contextlib.suppress(OSError),
        ):
            sock.settimeout(_ANSWER_TIMEOUT_S)
            sock.sendall(data)
            while sock.recv(65_536):
                pass

    def send_frame(self, message: bytes) -> None:
        """Sends a message to a router in a frame with the right MAC."""
        address = (cluster.LOOPBACK, self.cluster.routers[0].port)
        with socket.create_connection(address) as sock:
            sock.settimeout(_ANSWER_TIMEOUT_S)
            connection = frames.handshake_as_client(
                sock,
                _SHARED_KEY,
                os.urandom(codec.NONCE_BYTES),
                frames.Traffic(),
            )
            envelope = messages.Envelope("fuzzed", 1, messages.Leaving(1))
            with unittest.mock.patch.object(
                codec, "_serialize", return_value=message
            ):
                connection.write(envelope, _ANSWER_TIMEOUT_S)
            with contextlib.suppress(OSError):
                connection.read()

    def check(self) -> None:
        """Fails if a router is worse off than before an example."""
        for router in self.cluster.routers:
            process = router.process
            self.assertIsNone(process.poll(), process.errors()[-2000:])
            failures = self.cluster.metric(
                router, "mulberry_task_failures_total"
            )
            self.assertEqual(failures, 0)
            statm = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
            self.assertLess(int(statm.split()[1]) * 4096, MEMORY_LIMIT_BYTES)
        self.assertTrue(self._is_served())

    def _is_served(self) -> bool:
        for _ in range(_TRIES_COUNT):
            caller = self.cluster.caller()
            if (
                caller.complete("sound", 3).is_whole()
                and caller.call("/echo", b"sound").status == 200
            ):
                return True
            gevent.sleep(_TRY_PAUSE_S)
        return False

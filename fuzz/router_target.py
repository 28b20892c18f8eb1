"""The routers that are fuzzed, and what must hold of them."""

import contextlib
import os
import pathlib
import time
import unittest
import unittest.mock

import gevent
from gevent import socket

from mulberrywharf.nodes import codec, frames, link, messages
from tests import builders_settings, cluster

MEMORY_LIMIT_BYTES = 256_000_000
_ANSWER_TIMEOUT_S = 0.5
_HANDSHAKE_LIMIT_S = 0.5
"""Without the time for which the processes waited for a processor. Another
router waits for ``link.CONNECT_TIMEOUT_S`` in all."""

_NS_PER_S = 1e9
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
        began_s = time.monotonic() - self._waited_s()
        with socket.create_connection(
            address, timeout=link.CONNECT_TIMEOUT_S
        ) as sock:
            connection = frames.handshake_as_client(
                sock,
                _SHARED_KEY,
                os.urandom(codec.NONCE_BYTES),
                frames.Traffic(),
            )
            took_s = time.monotonic() - self._waited_s() - began_s
            self.assertLess(took_s, _HANDSHAKE_LIMIT_S)
            sock.settimeout(_ANSWER_TIMEOUT_S)
            envelope = messages.Envelope("fuzzed", 1, messages.Leaving(1))
            with unittest.mock.patch.object(
                codec, "_serialize", return_value=message
            ):
                connection.write(envelope, _ANSWER_TIMEOUT_S)
            with contextlib.suppress(OSError):
                connection.read()

    def _waited_s(self) -> float:
        """Returns how long a handshake's processes waited for a processor."""
        pids = (os.getpid(), self.cluster.routers[0].process.pid)
        return sum(_scheduler_wait_s(pid) for pid in pids)

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


def _scheduler_wait_s(pid: int) -> float:
    times = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(times[1]) / _NS_PER_S

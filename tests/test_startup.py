"""Tests of the start of programs, and of the end of their processes."""

import subprocess
import sys
import unittest
from typing import Any

from gevent import socket

from mulberrywharf import _listening
from tests import builders_settings

_UNASSIGNED_IP = "192.0.2.1"
_TIMEOUT_S = 60
_STOPPED_PROGRAM = """
import atexit
from mulberrywharf.programs import _startup
atexit.register(print, "torn down")
_startup.run_until_stopped(lambda: print("stopped"))
"""


class StopTest(unittest.TestCase):
    def test_stopped_program_does_not_tear_the_interpreter_down(self) -> None:
        """Guards against an idle stop that outlasts its grace period."""
        done = subprocess.run(
            [sys.executable, "-c", _STOPPED_PROGRAM],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertEqual(done.stdout, "stopped\n")


class ListenTest(unittest.TestCase):
    """A program starts with ports that are in use or an address it lacks.

    Guards against a traceback that names no field of the settings. An operator
    gets it after copying a router's settings for the controller without
    changing the ports, if a failed bind is handled like a bug in the program.
    """

    def run_program(
        self, program: str, settings: dict[str, Any]
    ) -> subprocess.CompletedProcess[str]:
        path = builders_settings.write_settings(settings)
        module = f"mulberrywharf.programs.{program}"
        return subprocess.run(
            [sys.executable, "-m", module, "--settings", path],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
        )

    def test_failed_bind_is_reported_with_address_and_advice(self) -> None:
        holder = _listening.listening_socket("127.0.0.1", 0, backlog_count=1)
        self.addCleanup(holder.close)
        taken = {"ip": "127.0.0.1", "port": holder.getsockname()[1]}
        elsewhere = {"ip": _UNASSIGNED_IP, "port": 0}
        key = {"key_hex": builders_settings.NODE_KEY_HEX}
        cases = (
            ("router", taken, {"operators": {"listen": taken}}),
            ("router", taken, {"nodes": {"listen": taken, **key}}),
            ("router", elsewhere, {"callers": {"listen": elsewhere}}),
            ("controller", taken, {"operators": {"listen": taken}}),
        )
        for program, address, changes in cases:
            with self.subTest(program=program, changes=changes):
                done = self.run_program(
                    program, builders_settings.node_settings(**changes)
                )
                self.assertEqual(done.returncode, 1)
                name = f"{address['ip']}:{address['port']}"
                self.assertIn(f"cannot-listen: {name}: ", done.stderr)
                self.assertIn("next: Correct the `listen` field", done.stderr)
                self.assertNotIn("Traceback", done.stderr)
                self.assertNotIn("READY", done.stdout)

    def test_port_can_be_bound_again_after_close(self) -> None:
        first = _listening.listening_socket("127.0.0.1", 0, backlog_count=1)
        address = first.getsockname()
        first.close()
        again = _listening.listening_socket(*address, backlog_count=1)
        self.addCleanup(again.close)
        with socket.create_connection(address):
            pass


if __name__ == "__main__":
    unittest.main()

"""The README's first command."""

import subprocess
import sys
import unittest

from tests import processes

_LIMIT_S = 300


class DemoTest(unittest.TestCase):
    def test_every_step_holds(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "bench.demo"],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=_LIMIT_S,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("6 of 6 steps held", done.stdout)


if __name__ == "__main__":
    unittest.main()

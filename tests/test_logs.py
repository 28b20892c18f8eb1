"""Structured logs of a process."""

import contextlib
import io
import json
import unittest

from loguru import logger

from mulberrywharf import logs

_TOKEN = "token-of-a-caller"


class LogsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(logger.configure, extra={})
        self.addCleanup(logger.remove)

    def log_failure(self) -> str:
        written = io.StringIO()
        with contextlib.redirect_stderr(written):
            logs.configure(
                vm_id="entry-1", availability_zone="zone-1", program="router"
            )
            environ = {"HTTP_AUTHORIZATION": _TOKEN}
            try:
                int(environ["HTTP_AUTHORIZATION"][:0])
            except ValueError:
                logger.exception("failed")
        return written.getvalue()

    def test_each_line_names_the_node(self) -> None:
        record = json.loads(self.log_failure())["record"]
        self.assertEqual(record["extra"]["vm_id"], "entry-1")
        self.assertEqual(record["extra"]["availability_zone"], "zone-1")

    def test_a_traceback_tells_no_token(self) -> None:
        """Symptom: bearer tokens stand in the log.

        Sequence: a request fails with an exception that is logged. Cause:
        with loguru's diagnose on, tracebacks print local variables, and the
        listener's hold the request's header fields.
        """
        self.assertNotIn(_TOKEN, self.log_failure())


if __name__ == "__main__":
    unittest.main()

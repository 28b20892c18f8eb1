"""Structured log lines and the writer that never blocks the process."""

import contextlib
import io
import json
import os
import time
import unittest

import gevent
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

    def test_traceback_contains_no_token(self) -> None:
        """Bearer tokens must not appear in the log.

        With loguru's ``diagnose=True``, the logged traceback of a failed
        request prints local variables; those of the listener contain the
        request's header fields.
        """
        self.assertNotIn(_TOKEN, self.log_failure())


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.addCleanup(logger.remove)
        self.writer = logs.LineWriter(writer)
        self.writer.start()

    def test_lines_are_written_in_order(self) -> None:
        for number in range(3):
            self.writer.add(b"%d\n" % number)
        gevent.sleep(0.2)
        self.writer.close()
        self.assertEqual(os.read(self.reader, 100), b"0\n1\n2\n")

    def test_close_writes_remaining_lines(self) -> None:
        self.writer.add(b"last\n")
        self.writer.close()
        self.assertEqual(os.read(self.reader, 100), b"last\n")

    def test_stopped_reader_does_not_block_the_process(self) -> None:
        """A full output pipe must not block the process.

        The reader of standard output stops and the pipe fills up. If each
        greenlet wrote its own log lines, its write would block the process.
        """
        before_s = time.monotonic()
        for _ in range(4 * logs.LINES_LIMIT_COUNT):
            self.writer.add(b"x" * 500 + b"\n")
        gevent.sleep(0.2)
        self.writer.add(b"y\n")
        self.writer.close()
        self.assertLess(time.monotonic() - before_s, 3.0)

    def test_each_line_is_an_object_with_bound_fields(self) -> None:
        logs.configure_output(
            self.writer, vm_id="entry-1", availability_zone="zone-1"
        )
        logger.bind(request_id="r-1").info("placed")
        gevent.sleep(0.2)
        self.writer.close()
        line = json.loads(os.read(self.reader, 1000))
        self.assertEqual(line["request_id"], "r-1")
        self.assertEqual(line["message"], "placed")
        self.assertEqual(line["vm_id"], "entry-1")


if __name__ == "__main__":
    unittest.main()

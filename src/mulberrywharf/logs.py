"""Structured logs: one JSON object per line.

Each line contains the VM id, the availability zone and the fields that were
bound with ``logger.bind``, such as ``request_id``.
"""

import collections
import os
import sys
from typing import Any

import gevent
import gevent.event
import orjson
from gevent import os as gevent_os
from loguru import logger

from mulberrywharf import metrics

LINES_LIMIT_COUNT = 4_000
"""Limit on lines that wait to be written to the output, some 2 MB."""

_FLUSH_INTERVAL_S = 0.05
_FLUSH_LINES_COUNT = 200

_dropped_lines_total = metrics.counter(
    "mulberry_log_lines_dropped_total",
    "Log lines dropped because nobody read them fast enough.",
)


def configure(
    *, vm_id: str, availability_zone: str, program: str, level: str = "INFO"
) -> None:
    """Sends structured log lines of this process to standard error.

    Args:
        vm_id: Name of this entry VM.
        availability_zone: Availability zone of this entry VM.
        program: Name of the running program.
        level: Lowest level that is written.
    """
    logger.remove()
    logger.configure(
        extra={
            "vm_id": vm_id,
            "availability_zone": availability_zone,
            "program": program,
        }
    )
    # With diagnose=True, tracebacks print local variables; those of a
    # listener contain the bearer tokens of callers and operators.
    logger.add(
        sys.stderr, level=level, serialize=True, backtrace=False, diagnose=False
    )


class LineWriter:
    """Writes log lines to a file descriptor in the background.

    If the reader of a pipe stops reading, the pipe fills up and a write to it
    blocks the whole process, including its requests. Lines are therefore kept
    in a bounded queue; when it is full, the oldest is dropped and counted.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._has_lines = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that writes the lines."""
        gevent_os.make_nonblocking(self._descriptor)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stops, after one attempt to write the remaining lines."""
        if self._greenlet is not None:
            self._greenlet.kill()
        try:
            os.write(self._descriptor, b"".join(self._lines))
        except OSError:
            _dropped_lines_total.add({}, len(self._lines))
        self._lines.clear()

    def add(self, line: bytes) -> None:
        """Queues a line, which must end with a line feed."""
        if len(self._lines) >= LINES_LIMIT_COUNT:
            self._lines.popleft()
            _dropped_lines_total.inc({})
        self._lines.append(line)
        self._has_lines.set()

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            # Lines that are added during the interval share one write.
            gevent.sleep(_FLUSH_INTERVAL_S)
            self._write_batch()
            if not self._lines:
                self._has_lines.clear()

    def _write_batch(self) -> None:
        count = min(len(self._lines), _FLUSH_LINES_COUNT)
        rest = b"".join(self._lines.popleft() for _ in range(count))
        while rest:
            rest = rest[gevent_os.nb_write(self._descriptor, rest) :]


def configure_output(
    writer: LineWriter,
    *,
    vm_id: str,
    availability_zone: str,
    level: str = "INFO",
) -> None:
    """Sends compact log lines of this process through a writer.

    Args:
        writer: Writes the lines.
        vm_id: Name of this entry VM.
        availability_zone: Availability zone of this entry VM.
        level: Lowest level that is written.
    """

    def write(message: Any) -> None:
        record = message.record
        line = {
            "time_unix_s": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "module": record["name"],
            "message": record["message"],
            "vm_id": vm_id,
            "availability_zone": availability_zone,
            **record["extra"],
        }
        if record["exception"] is not None:
            line["trace"] = str(message)
        writer.add(orjson.dumps(line, default=str) + b"\n")

    logger.remove()
    logger.add(
        write, level=level, format="{message}", backtrace=False, diagnose=False
    )

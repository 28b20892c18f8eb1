"""Blocked requests in the key-value service, for gateways that begin.

Gateways keep nothing. When all of them start anew at once nobody is left to
tell which requests end servers, and each would take two servers away again.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any

import gevent
import gevent.event
import orjson
from loguru import logger
from result import Err, Result

from mulberrywharf import clock, errors
from mulberrywharf.platform_service import http_calls, key_value
from mulberrywharf.policy import crash_suspects

PURPOSE = "blocked"
KEY_PREFIX = "mulberrywharf/blocked/"

READ_INTERVAL_S = 30.0
"""Between readings, each of which costs a tenth. They only make up for what no
gateway told, such as behind a cut."""

WRITTEN_WITHIN_S = (0.2, 0.6)
"""How long behind a verdict it is written. Reports of other gateways that would
change it are there by then, and one of them may have written it."""

RESTORED_WITHIN_S = 2.0
"""How long behind a restore of the service from an older copy its records are
read again, by one gateway after the other."""

_RETRY_BASE_S = 1.0
_RETRY_LIMIT_S = 8.0
_RECORDS_LIMIT_COUNT = 256
_FINGERPRINT_DIGITS = 16
_SERVER_KEY_LIMIT = 0xFFFFFFFF


class CrashRecords:
    """Writes what is blocked here, and reads what others wrote.

    A record goes with its lease when its request is no longer blocked.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        suspects: crash_suspects.CrashSuspects,
        system_clock: clock.Clock,
    ):
        """Makes it; nothing is read before ``start``.

        Args:
            client: The service.
            suspects: Takes in what is read, and tells what is blocked.
            system_clock: Measures ages, across gateways by the time of day.
        """
        self._client = client
        self._suspects = suspects
        self._clock = system_clock
        self._on_read: Callable[[], None] = lambda: None
        self._stored: set[str] = set()
        self._is_due = gevent.event.Event()
        self._task: gevent.Greenlet | None = None

    def on_read(self, callback: Callable[[], None]) -> None:
        """Calls back each time that the records were read."""
        self._on_read = callback

    def start(self) -> None:
        """Begins to read and to write."""
        self._client.on_restored(self._on_restored)
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Ends it; records stay."""
        self._client.forget_restored(self._on_restored)
        if self._task is not None:
            self._task.kill()

    def write_soon(self) -> None:
        """Lets what is blocked be written, unless it is there already."""
        gevent.spawn_later(random.uniform(*WRITTEN_WITHIN_S), self._is_due.set)

    def remove(self, fingerprint: int) -> None:
        """Lets the record of a request that is cleared go.

        Read again, it would have the request blocked once more.
        """
        if _key(fingerprint) in self._stored:
            gevent.spawn(self._remove, _key(fingerprint))

    def _remove(self, key: str) -> None:
        removed = self._client.delete(key, purpose=PURPOSE)
        if isinstance(removed, Err):
            logger.info("not removed: {}", removed.err_value.message)
            return
        self._stored.discard(key)

    def _on_restored(self) -> None:
        gevent.spawn_later(
            random.uniform(0.0, RESTORED_WITHIN_S), self._is_due.set
        )

    def _run(self) -> None:
        # What was written just before this gateway began must not be missed.
        is_first = True
        failures_count = 0
        while True:
            self._is_due.clear()
            if self.update(is_first=is_first):
                is_first = False
                failures_count = 0
                wait_s = READ_INTERVAL_S * random.uniform(0.8, 1.2)
            else:
                failures_count += 1
                wait_s = http_calls.full_jitter_s(
                    failures_count,
                    base_s=_RETRY_BASE_S,
                    limit_s=_RETRY_LIMIT_S,
                )
            self._is_due.wait(wait_s)

    def update(self, *, is_first: bool) -> bool:
        """Reads all records and writes those that lack; False if it failed."""
        read = self._read(is_first)
        if isinstance(read, Err):
            logger.info("blocked not read: {}", read.err_value.message)
            return False
        records = read.ok_value[:_RECORDS_LIMIT_COUNT]
        for record in records:
            self._take(record)
        self._on_read()
        self._stored = {record.key for record in records}
        now_s = self._clock.monotonic_s()
        return all(
            self._write(fingerprint, now_s)
            for fingerprint in self._suspects.blocked(now_s)
            if _key(fingerprint) not in self._stored
        )

    def _read(
        self, is_first: bool
    ) -> Result[list[key_value.KeyValue], errors.PlatformError]:
        if is_first:
            return self._client.get_prefix(KEY_PREFIX, purpose=PURPOSE)
        return self._client.get_prefix_stale(KEY_PREFIX, purpose=PURPOSE)

    def _take(self, record: key_value.KeyValue) -> None:
        try:
            fingerprint = _fingerprint(record.key)
            ends = [self._end(fields) for fields in orjson.loads(record.value)]
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            logger.warning("{} names no request: {!r}", record.key, error)
            return
        for end in ends:
            self._suspects.note_end(fingerprint, end)

    def _end(self, fields: Mapping[str, Any]) -> crash_suspects.End:
        age_s = self._clock.unix_s() - float(fields["unix_s"])
        # Clocks of gateways differ, and may be stepped.
        age_s = min(max(age_s, 0.0), crash_suspects.KEPT_S)
        server_key = int(fields["server_key"])
        if not 0 <= server_key <= _SERVER_KEY_LIMIT:
            raise ValueError(f"no server has the key {server_key}")
        return crash_suspects.End(
            server_key,
            bool(fields["made_output"]),
            self._clock.monotonic_s() - age_s,
        )

    def _write(self, fingerprint: int, now_s: float) -> bool:
        left_s = self._suspects.blocked_for_s(fingerprint, now_s)
        granted = self._client.grant_lease(max(1.0, left_s), purpose=PURPOSE)
        if isinstance(granted, Err):
            logger.info("blocked not written: {}", granted.err_value.message)
            return False
        written = self._client.compare_and_swap(
            _key(fingerprint),
            self._value(fingerprint, now_s),
            expected_revision=0,
            lease_id=granted.ok_value,
            purpose=PURPOSE,
        )
        if isinstance(written, Err) and not isinstance(
            written.err_value, errors.RevisionConflictError
        ):
            logger.info("blocked not written: {}", written.err_value.message)
            return False
        self._stored.add(_key(fingerprint))
        logger.bind(
            fingerprint=_digits(fingerprint), left_s=round(left_s, 1)
        ).info("a blocked request is in the store")
        return True

    def _value(self, fingerprint: int, now_s: float) -> bytes:
        unix_s = self._clock.unix_s()
        return orjson.dumps(
            [
                {
                    "server_key": end.server_key,
                    "made_output": end.made_output,
                    "unix_s": round(unix_s - (now_s - end.at_s), 1),
                }
                for end in self._suspects.ends(fingerprint, now_s)
            ]
        )


def _fingerprint(key: str) -> int:
    digits = key.removeprefix(KEY_PREFIX)
    if len(digits) != _FINGERPRINT_DIGITS:
        raise ValueError(f"{digits!r:.40} names no request")
    return int.from_bytes(bytes.fromhex(digits), "big")


def _key(fingerprint: int) -> str:
    return KEY_PREFIX + _digits(fingerprint)


def _digits(fingerprint: int) -> str:
    return f"{fingerprint:0{_FINGERPRINT_DIGITS}x}"

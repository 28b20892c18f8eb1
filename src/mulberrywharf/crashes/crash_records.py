"""Stores records of blocked requests in the key-value service.

Restarted gateways read them and block the same requests. A record holds the
fingerprint of a request and the ends of servers during it, not its prompt.

Gateways do not persist state themselves. When all of them restart at once,
none is left to report which requests crash servers, and each such request
would crash two more servers before it is blocked again.
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
"""Mean interval between reads. A stale read costs a tenth of a call to the
key-value service. Reads only recover what no report from another gateway
delivered, for example during a network partition."""

WRITE_DELAY_RANGE_S = (0.2, 0.6)
"""Range of the random delay between blocking a request and writing its record.
By then, reports from other gateways that would change the decision have
arrived, and another gateway may have written the record."""

RESTORE_READ_DELAY_LIMIT_S = 2.0
"""Maximum random delay between the restore of an older copy of the key-value
service and the next read, so that the gateways do not all read at once."""

_RETRY_BASE_S = 1.0
_RETRY_LIMIT_S = 8.0
_RECORDS_LIMIT_COUNT = 256
_FINGERPRINT_DIGITS = 16
_SERVER_KEY_LIMIT = 0xFFFFFFFF


class CrashRecords:
    """Writes records of requests blocked here and reads all records.

    Each record has a lease that expires when its request is no longer blocked.
    """

    def __init__(
        self,
        client: key_value.KeyValueClient,
        suspects: crash_suspects.CrashSuspects,
        system_clock: clock.Clock,
    ):
        """Creates it; nothing is read before ``start``.

        Args:
            client: Client of the key-value service.
            suspects: Receives the server ends that are read and determines
                which requests are blocked.
            system_clock: Measures ages. Records hold wall-clock times, because
                monotonic clocks of different gateways are not comparable.
        """
        self._client = client
        self._suspects = suspects
        self._clock = system_clock
        self._on_read: Callable[[], None] = lambda: None
        self._stored: set[str] = set()
        self._update_requested = gevent.event.Event()
        self._task: gevent.Greenlet | None = None

    def on_read(self, callback: Callable[[], None]) -> None:
        """Sets the callback that runs after each read of the records."""
        self._on_read = callback

    def start(self) -> None:
        """Starts the task that reads and writes records."""
        self._client.on_restored(self._on_restored)
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Stops the task; the records remain in the key-value service."""
        self._client.remove_on_restored(self._on_restored)
        if self._task is not None:
            self._task.kill()

    def schedule_write(self) -> None:
        """Schedules an update that writes missing records."""
        gevent.spawn_later(
            random.uniform(*WRITE_DELAY_RANGE_S), self._update_requested.set
        )

    def remove(self, fingerprint: int) -> None:
        """Deletes the record of a request that is no longer suspected.

        Otherwise the next read of the record would block the request again.
        """
        if _key(fingerprint) in self._stored:
            gevent.spawn(self._remove, _key(fingerprint))

    def _remove(self, key: str) -> None:
        removed = self._client.delete(key, purpose=PURPOSE)
        if isinstance(removed, Err):
            logger.info(
                "record of a blocked request not deleted: {}",
                removed.err_value.message,
            )
            return
        self._stored.discard(key)

    def _on_restored(self) -> None:
        gevent.spawn_later(
            random.uniform(0.0, RESTORE_READ_DELAY_LIMIT_S),
            self._update_requested.set,
        )

    def _run(self) -> None:
        # The first read is not a stale read, so that it includes records
        # written just before this gateway started.
        is_first = True
        failures_count = 0
        while True:
            self._update_requested.clear()
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
            self._update_requested.wait(wait_s)

    def update(self, *, is_first: bool) -> bool:
        """Reads all records and writes missing ones; returns False on failure.

        Args:
            is_first: Whether this is the first read, which must not be stale.
        """
        read = self._read(is_first)
        if isinstance(read, Err):
            logger.info(
                "records of blocked requests not read: {}",
                read.err_value.message,
            )
            return False
        records = read.ok_value[:_RECORDS_LIMIT_COUNT]
        for record in records:
            self._apply(record)
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

    def _apply(self, record: key_value.KeyValue) -> None:
        try:
            fingerprint = _fingerprint(record.key)
            ends = [
                self._decode_end(fields)
                for fields in orjson.loads(record.value)
            ]
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            logger.warning(
                "invalid record of a blocked request at key {}: {!r}",
                record.key,
                error,
            )
            return
        for end in ends:
            self._suspects.record_server_end(fingerprint, end)

    def _decode_end(
        self, fields: Mapping[str, Any]
    ) -> crash_suspects.ServerEnd:
        age_s = self._clock.unix_s() - float(fields["unix_s"])
        # The wall clocks of gateways differ and may be adjusted.
        age_s = min(max(age_s, 0.0), crash_suspects.SUSPECT_KEPT_S)
        server_key = int(fields["server_key"])
        if not 0 <= server_key <= _SERVER_KEY_LIMIT:
            raise ValueError(f"server key {server_key} is out of range")
        return crash_suspects.ServerEnd(
            server_key,
            bool(fields["made_output"]),
            self._clock.monotonic_s() - age_s,
        )

    def _write(self, fingerprint: int, now_s: float) -> bool:
        left_s = self._suspects.blocked_for_s(fingerprint, now_s)
        granted = self._client.grant_lease(max(1.0, left_s), purpose=PURPOSE)
        if isinstance(granted, Err):
            logger.info(
                "record of a blocked request not written: {}",
                granted.err_value.message,
            )
            return False
        written = self._client.compare_and_swap(
            _key(fingerprint),
            self._encode_value(fingerprint, now_s),
            expected_revision=0,
            lease_id=granted.ok_value,
            purpose=PURPOSE,
        )
        if isinstance(written, Err) and not isinstance(
            written.err_value, errors.RevisionConflictError
        ):
            logger.info(
                "record of a blocked request not written: {}",
                written.err_value.message,
            )
            return False
        self._stored.add(_key(fingerprint))
        logger.bind(
            fingerprint=_hex(fingerprint), left_s=round(left_s, 1)
        ).info("record of a blocked request is in the key-value service")
        return True

    def _encode_value(self, fingerprint: int, now_s: float) -> bytes:
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
        raise ValueError(f"{digits!r:.40} is not a fingerprint")
    return int.from_bytes(bytes.fromhex(digits), "big")


def _key(fingerprint: int) -> str:
    return KEY_PREFIX + _hex(fingerprint)


def _hex(fingerprint: int) -> str:
    return f"{fingerprint:0{_FINGERPRINT_DIGITS}x}"

"""Stores records of blocked requests in the key-value service.

Restarted gateways read them and block the same requests. A record holds the
ends of servers during requests and hashes of these, not their prompts. It has
the key of its block: the fingerprint of the request, if there is only one.

Gateways do not persist state themselves. When all of them restart at once,
none is left to report which requests crash servers, and each such request
would crash two more servers before it is blocked again.
"""

import math
import random
from collections.abc import Callable, Mapping
from typing import Any

import gevent
import gevent.event
import orjson
from loguru import logger
from result import Err, Result

from mulberrywharf import clock, errors, supervised_task
from mulberrywharf.platform_service import http_calls, key_value
from mulberrywharf.policy import crash_blocks, crash_suspects

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
_RUNS_LIMIT_COUNT = 16
_HASH_DIGITS = 16
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
        self._on_read: Callable[[], object] = lambda: None
        self._stored: set[str] = set()
        self._update_requested = gevent.event.Event()
        self._task: gevent.Greenlet | None = None

    def on_read(self, callback: Callable[[], object]) -> None:
        """Sets the callback that runs after each read of the records."""
        self._on_read = callback

    def start(self) -> None:
        """Starts the task that reads and writes records."""
        self._client.on_restored(self._on_restored)
        self._task = supervised_task.spawn("crash-records", self._run)

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

    def remove(self, block_key: int) -> None:
        """Deletes the record of a block that has ended.

        Otherwise the next read of the record would block the request again.
        """
        if _key(block_key) in self._stored:
            gevent.spawn(self._remove, _key(block_key))

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
            self._write(block, now_s)
            for block in self._suspects.blocks(now_s)
            if _key(block.key) not in self._stored
        )

    def _read(
        self, is_first: bool
    ) -> Result[list[key_value.KeyValue], errors.PlatformError]:
        if is_first:
            return self._client.get_prefix(KEY_PREFIX, purpose=PURPOSE)
        return self._client.get_prefix_stale(KEY_PREFIX, purpose=PURPOSE)

    def _apply(self, record: key_value.KeyValue) -> None:
        try:
            block_key = _block_key(record.key)
            lost = [
                self._decode_run(block_key, fields)
                for fields in orjson.loads(record.value)
            ]
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            logger.warning(
                "invalid record of a blocked request at key {}: {!r}",
                record.key,
                error,
            )
            return
        for traits, end in lost:
            self._suspects.record_server_end(traits, end, is_accepted=True)

    def _decode_run(
        self, block_key: int, fields: Mapping[str, Any]
    ) -> tuple[crash_blocks.Traits, crash_suspects.ServerEnd]:
        age_s = self._clock.unix_s() - float(fields["unix_s"])
        if not math.isfinite(age_s):
            raise ValueError(f"the age {age_s} is not finite")
        # The wall clocks of gateways differ and may be adjusted.
        age_s = min(max(age_s, 0.0), crash_suspects.SUSPECT_KEPT_S)
        server_key = int(fields["server_key"])
        if not 0 <= server_key <= _SERVER_KEY_LIMIT:
            raise ValueError(f"server key {server_key} is out of range")
        # Records of single requests leave these out.
        fingerprint = fields.get("request")
        traits = crash_blocks.Traits(
            block_key if fingerprint is None else _parse_hash(fingerprint),
            _parse_hash(fields.get("customer", _hex(0))),
            frozenset(_parse_hash(part) for part in fields.get("parts", ())),
        )
        end = crash_suspects.ServerEnd(
            server_key,
            bool(fields["made_output"]),
            self._clock.monotonic_s() - age_s,
        )
        return traits, end

    def _write(self, block: crash_blocks.Block, now_s: float) -> bool:
        left_s = self._suspects.kept_for_s(block, now_s)
        granted = self._client.grant_lease(max(1.0, left_s), purpose=PURPOSE)
        if isinstance(granted, Err):
            logger.info(
                "record of a blocked request not written: {}",
                granted.err_value.message,
            )
            return False
        written = self._client.compare_and_swap(
            _key(block.key),
            self._encode_value(block, now_s),
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
        self._stored.add(_key(block.key))
        logger.bind(block=_hex(block.key), left_s=round(left_s, 1)).info(
            "record of a blocked request is in the key-value service"
        )
        return True

    def _encode_value(self, block: crash_blocks.Block, now_s: float) -> bytes:
        unix_s = self._clock.unix_s()
        return orjson.dumps(
            [
                {
                    "server_key": run.server_key,
                    "made_output": run.made_output,
                    "unix_s": round(unix_s - (now_s - run.at_s), 1),
                    **_encode_traits(run, block),
                }
                for run in block.runs[-_RUNS_LIMIT_COUNT:]
            ]
        )


def _encode_traits(
    run: crash_blocks.LostRun, block: crash_blocks.Block
) -> dict[str, Any]:
    if block.fingerprint is not None:
        return {}
    return {
        "request": _hex(run.fingerprint),
        "customer": _hex(run.customer),
        "parts": [_hex(part) for part in sorted(block.parts)],
    }


def _block_key(key: str) -> int:
    return _parse_hash(key.removeprefix(KEY_PREFIX))


def _parse_hash(digits: str) -> int:
    if len(digits) != _HASH_DIGITS:
        raise ValueError(f"{digits!r:.40} is not a hash")
    return int.from_bytes(bytes.fromhex(digits), "big")


def _key(block_key: int) -> str:
    return KEY_PREFIX + _hex(block_key)


def _hex(value: int) -> str:
    return f"{value:0{_HASH_DIGITS}x}"

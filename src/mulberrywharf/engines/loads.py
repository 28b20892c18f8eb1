"""What this node knows of each engine's load, read at intervals."""

import json
import math
import random
import re
from collections.abc import Collection, Iterable
from typing import Any, Protocol

import gevent
import pydantic
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import (
    _connections,
    _exchange,
    clock,
    errors,
    fleet,
    metrics,
    settings,
)
from mulberrywharf.engines import engine_load
from mulberrywharf.policy import prefix_index

DEFAULT_INTERVAL_S = 1.0

_JITTER_SHARE = 0.2
_TIMEOUT_S = 2.0
_ANSWER_LIMIT_BYTES = 1024 * 1024
_OK = 200
_MALFORMED = (KeyError, OverflowError, RecursionError, TypeError, ValueError)
_BLOCK_HASH = re.compile(r"[0-9a-f]{1,16}")

_REPORT_ADAPTER = pydantic.TypeAdapter(fleet.LoadReport)
_EVENTS_ADAPTER = pydantic.TypeAdapter(list[prefix_index.CacheEvent])

_failed_reads = metrics.counter(
    "mulberry_load_reads_failed_total",
    "Reads of an engine's load that failed.",
)


class CacheEventSink(Protocol):
    """Takes cache events; ``policy.prefix_index.PrefixIndex`` is one."""

    def apply(
        self,
        engine_id: str,
        events: Iterable[prefix_index.CacheEvent],
        last_sequence: int,
        now_s: float,
    ) -> None:
        """Takes one batch; gaps show in the sequence numbers."""
        ...

    def forget(self, engine_id: str) -> None:
        """Drops all that is known of an engine that left."""
        ...


class LoadReader:
    """Reads engines' loads and cache events, one greenlet for each engine.

    It also counts this node's own requests, so that ``views()`` shows what
    the lagging reports cannot yet contain.
    """

    def __init__(
        self,
        interval_s: float,
        sink: CacheEventSink | None,
        now: clock.Clock,
        chance: random.Random,
    ):
        self._interval_s = interval_s
        self._sink = sink
        self._clock = now
        self._chance = chance
        self._pool = _connections.ConnectionPool(idle_limit_count=1)
        self._loads: dict[str, engine_load.EngineLoad] = {}
        self._readers: dict[str, gevent.Greenlet] = {}
        self._drained: frozenset[str] = frozenset()
        self._slice: frozenset[str] | None = None
        self._started = False

    @classmethod
    def from_config(
        cls,
        config: settings.EnginesSettings | None = None,
        *,
        sink: CacheEventSink | None = None,
        now: clock.Clock | None = None,
        chance: random.Random | None = None,
    ) -> "LoadReader":
        """Makes a reader that knows no engines yet.

        Args:
            config: The ``engines`` part of the settings.
            sink: Where cache events go, such as the prefix index.
            now: The clock.
            chance: Spreads the reads, so that nodes do not ask in step.
        """
        engines: Any = config or {}
        return cls(
            engines.get("load_interval_s", DEFAULT_INTERVAL_S),
            sink,
            now or clock.SystemClock(),
            chance or random.Random(),
        )

    def start(self) -> None:
        """Begins to read."""
        self._started = True
        self._match_readers()

    def close(self) -> None:
        """Stops reading and closes connections."""
        self._started = False
        self._match_readers()
        self._pool.close()

    def set_vms(self, vms: Iterable[fleet.VmRecord]) -> None:
        """Takes the VM list; engines that went are forgotten."""
        engines = {vm.vm_id: vm for vm in vms if vm.kind == "engine"}
        for engine_id in set(self._loads) - set(engines):
            self._forget(engine_id)
        for engine_id, vm in engines.items():
            load = self._loads.get(engine_id)
            if load is not None and load.vm.address != vm.address:
                self._forget(engine_id)
                load = None
            if load is None:
                self._loads[engine_id] = engine_load.EngineLoad(vm)
            else:
                load.vm = vm
        self._match_readers()

    def set_drained(self, engine_ids: Collection[str]) -> None:
        """Names the engines that must get no new work."""
        self._drained = frozenset(engine_ids)

    def set_slice(self, engine_ids: Collection[str] | None) -> None:
        """Names the engines that this node reads itself; None reads all."""
        self._slice = None if engine_ids is None else frozenset(engine_ids)
        self._match_readers()

    def accept(self, report: fleet.LoadReport, age_s: float) -> None:
        """Takes a report that another node read, if it is newer.

        Args:
            report: What the engine said.
            age_s: How long ago it said so.
        """
        load = self._loads.get(report.engine_id)
        if load is not None:
            load.take_report(report, self._clock.monotonic_s() - age_s)

    def views(self) -> list[fleet.EngineView]:
        """Returns every known engine as it looks from here, now."""
        now_s = self._clock.monotonic_s()
        return [
            load.view(now_s, engine_id in self._drained)
            for engine_id, load in self._loads.items()
        ]

    def view(self, engine_id: str) -> fleet.EngineView | None:
        """Returns one engine as it looks from here, or None."""
        load = self._loads.get(engine_id)
        if load is None:
            return None
        now_s = self._clock.monotonic_s()
        return load.view(now_s, engine_id in self._drained)

    def begin(self, engine_id: str, prompt_tokens: int) -> None:
        """Notes that a request goes to an engine now.

        Args:
            engine_id: The engine.
            prompt_tokens: Prompt tokens that it has to prefill, 0 if the
                request brings its KV cache along.
        """
        load = self._loads.get(engine_id)
        if load is not None:
            load.begin(prompt_tokens, self._clock.monotonic_s())

    def end(self, engine_id: str, failed: bool) -> None:
        """Notes that a request left an engine, after exactly one begin."""
        load = self._loads.get(engine_id)
        if load is not None:
            load.end(failed, self._clock.monotonic_s())

    def _forget(self, engine_id: str) -> None:
        load = self._loads.pop(engine_id)
        self._pool.forget(load.vm.address)
        reader = self._readers.pop(engine_id, None)
        if reader is not None:
            reader.kill(block=False)
        if self._sink is not None:
            self._sink.forget(engine_id)

    def _match_readers(self) -> None:
        wanted = set()
        if self._started:
            wanted = {e for e in self._loads if self._is_mine(e)}
        for engine_id in set(self._readers) - wanted:
            self._readers.pop(engine_id).kill(block=False)
        for engine_id in wanted - set(self._readers):
            load = self._loads[engine_id]
            self._readers[engine_id] = gevent.spawn(self._read_on, load)

    def _is_mine(self, engine_id: str) -> bool:
        return self._slice is None or engine_id in self._slice

    def _read_on(self, load: engine_load.EngineLoad) -> None:
        was_read = True
        while True:
            read = self._read_once(load)
            is_read = isinstance(read, Ok)
            if not is_read:
                load.fail(self._clock.monotonic_s())
                _failed_reads.inc({"engine": load.vm.vm_id})
            if is_read != was_read:
                logger.bind(engine_id=load.vm.vm_id).info(
                    "load of engine is {}", "read" if is_read else "not read"
                )
            was_read = is_read
            spread = self._chance.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            gevent.sleep(self._interval_s * (1 + spread))

    def _read_once(
        self, load: engine_load.EngineLoad
    ) -> Result[None, errors.EngineError]:
        fetched = self._fetch(load.vm.address, "/load")
        if isinstance(fetched, Err):
            return fetched
        report = parse_report(fetched.ok_value)
        if isinstance(report, Err):
            return report
        if report.ok_value.engine_id != load.vm.vm_id:
            # The address was given to another engine and the list lags.
            message = f"{load.vm.vm_id} answers as {report.ok_value.engine_id}"
            return Err(errors.EngineError(message))
        lag_s = engine_load.report_lag_s(report.ok_value, self._clock.unix_s())
        load.take_report(report.ok_value, self._clock.monotonic_s() - lag_s)
        if self._sink is None:
            return Ok(None)
        return self._read_events(load, self._sink)

    def _read_events(
        self, load: engine_load.EngineLoad, sink: CacheEventSink
    ) -> Result[None, errors.EngineError]:
        path = f"/cache_events?after={load.last_sequence}"
        fetched = self._fetch(load.vm.address, path)
        if isinstance(fetched, Err):
            return fetched
        try:
            document = json.loads(fetched.ok_value)
            events = _EVENTS_ADAPTER.validate_python(document["events"])
            last_sequence = int(document["last_sequence"])
        except _MALFORMED as error:
            return Err(errors.EngineError(f"malformed cache events: {error}"))
        if not all(_BLOCK_HASH.fullmatch(e.block_hash) for e in events):
            return Err(errors.EngineError("a block hash is not hexadecimal"))
        now_s = self._clock.monotonic_s()
        sink.apply(load.vm.vm_id, events, last_sequence, now_s)
        restarted = last_sequence < load.last_sequence
        load.last_sequence = 0 if restarted else last_sequence
        return Ok(None)

    def _fetch(
        self, address: fleet.Address, path: str
    ) -> Result[bytes, errors.EngineError]:
        fetched = _exchange.fetch(
            address,
            _exchange.Request("GET", path),
            timeout_s=_TIMEOUT_S,
            limit_bytes=_ANSWER_LIMIT_BYTES,
            pool=self._pool,
        )
        if isinstance(fetched, Err):
            return fetched
        answer, body = fetched.ok_value
        if answer.status_code != _OK:
            message = f"{address}{path} answered {answer.status_code}"
            return Err(errors.EngineError(message))
        return Ok(body)


def parse_report(
    body: bytes,
) -> Result[fleet.LoadReport, errors.EngineError]:
    """Reads a load report; fields that we do not know are left out."""
    try:
        document = json.loads(body)
        known = {
            name: document[name]
            for name in fleet.LoadReport._fields
            if name in document
        }
        report = _REPORT_ADAPTER.validate_python(known)
    except _MALFORMED as error:
        return Err(errors.EngineError(f"malformed load report: {error}"))
    if not _is_plausible(report):
        return Err(errors.EngineError("a load report has impossible figures"))
    return Ok(report)


def _is_plausible(report: fleet.LoadReport) -> bool:
    # One NaN makes every comparison of scores false, and with it every
    # choice of engine arbitrary; nothing would show but bad latencies.
    figures = [field for field in report if isinstance(field, (int, float))]
    return all(math.isfinite(figure) and figure >= 0 for figure in figures)

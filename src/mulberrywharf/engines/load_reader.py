"""Polls engines for load reports and cache events."""

import functools
import json
import random
import re
from collections.abc import Collection, Iterable, Mapping
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
    stated_numbers,
    supervised_task,
)
from mulberrywharf.engines import engine_load
from mulberrywharf.policy import prefix_index

DEFAULT_INTERVAL_S = 1.0

_JITTER_SHARE = 0.2
_TIMEOUT_S = 2.0
_ANSWER_LIMIT_BYTES = 1024 * 1024
_OK = 200
_PARSE_ERRORS = (KeyError, OverflowError, RecursionError, TypeError, ValueError)
_FIGURE_LIMIT = 2**53
_COUNTS, _FIGURES = (
    frozenset(
        name
        for name, field_type in fleet.LoadReport.__annotations__.items()
        if field_type is number_type
    )
    for number_type in (int, float)
)
_SPEEDS = frozenset({"prefill_tokens_per_s", "decode_tokens_per_s"})
_LEAST_TOKENS_PER_S = 1e-3
"""Waits are divided by a speed, which must not make them infinite."""

_BLOCK_HASH = re.compile(r"[0-9a-f]{1,16}")

_REPORT_ADAPTER = pydantic.TypeAdapter(fleet.LoadReport)
_EVENTS_ADAPTER = pydantic.TypeAdapter(list[prefix_index.CacheEvent])

_failed_reads = metrics.counter(
    "mulberry_load_reads_failed_total",
    "Reads of an engine's load that failed.",
)


class CacheEventSink(Protocol):
    """Receives cache events, as ``policy.prefix_index.PrefixIndex`` does."""

    def apply(
        self,
        engine_id: str,
        events: Iterable[prefix_index.CacheEvent],
        last_sequence: int,
        now_s: float,
    ) -> None:
        """Applies one batch; gaps in the sequence numbers mean lost events."""
        ...

    def forget(self, engine_id: str) -> None:
        """Drops all data about an engine that left the VM list."""
        ...


class LoadReader:
    """Polls engines for loads and cache events, one greenlet per engine.

    It also counts this node's own requests, so that ``views()`` includes
    requests that are too recent for the engines' reports.
    """

    def __init__(
        self,
        interval_s: float,
        sink: CacheEventSink | None,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._interval_s = interval_s
        self._sink = sink
        self._clock = system_clock
        self._random = rng
        self._pool = _connections.ConnectionPool(idle_limit_count=1)
        self._loads: dict[str, engine_load.EngineLoad] = {}
        self._poll_tasks: dict[str, gevent.Greenlet] = {}
        self._drained: frozenset[str] = frozenset()
        self._polled_ids: frozenset[str] | None = None
        self._started = False

    @classmethod
    def from_config(
        cls,
        config: settings.EnginesSettings | None = None,
        *,
        sink: CacheEventSink | None = None,
        now: clock.Clock | None = None,
        rng: random.Random | None = None,
    ) -> "LoadReader":
        """Returns a LoadReader without engines; ``set_vms`` adds them.

        Args:
            config: The ``engines`` section of the settings.
            sink: Receives cache events, such as the prefix index.
            now: The clock; the system clock if None.
            rng: Random source of the jitter on the interval, which keeps
                nodes from polling an engine at the same time.
        """
        engines: Any = config or {}
        return cls(
            engines.get("load_interval_s", DEFAULT_INTERVAL_S),
            sink,
            now or clock.SystemClock(),
            rng or random.Random(),
        )

    def start(self) -> None:
        """Starts polling."""
        self._started = True
        self._sync_poll_tasks()

    def close(self) -> None:
        """Stops polling and closes the connections."""
        self._started = False
        self._sync_poll_tasks()
        self._pool.close()

    def set_vms(self, vms: Iterable[fleet.VmRecord]) -> None:
        """Applies a VM list; drops engines that are gone or changed address."""
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
        self._sync_poll_tasks()

    def set_drained(self, engine_ids: Collection[str]) -> None:
        """Sets the engines that must get no new work."""
        self._drained = frozenset(engine_ids)

    def set_polled_engines(self, engine_ids: Collection[str] | None) -> None:
        """Sets the engines that this node polls itself; None polls all."""
        self._polled_ids = None if engine_ids is None else frozenset(engine_ids)
        self._sync_poll_tasks()

    def record_report(self, report: fleet.LoadReport, age_s: float) -> None:
        """Stores a report that another node read, unless a newer one is known.

        Args:
            report: The engine's load report.
            age_s: Age of its figures.
        """
        load = self._loads.get(report.engine_id)
        if load is not None:
            load.record_report(report, self._clock.monotonic_s() - age_s)

    def views(self) -> list[fleet.EngineView]:
        """Returns this node's current view of every known engine."""
        now_s = self._clock.monotonic_s()
        return [
            load.view(now_s, engine_id in self._drained)
            for engine_id, load in self._loads.items()
        ]

    def view(self, engine_id: str) -> fleet.EngineView | None:
        """Returns the current view of one engine, or None if it is unknown."""
        load = self._loads.get(engine_id)
        if load is None:
            return None
        now_s = self._clock.monotonic_s()
        return load.view(now_s, engine_id in self._drained)

    def request_started(self, engine_id: str, prompt_tokens: int) -> None:
        """Records that a request is sent to an engine.

        Args:
            engine_id: The engine.
            prompt_tokens: Prompt tokens that it has to prefill, 0 if it
                fetches the KV cache from another engine.
        """
        load = self._loads.get(engine_id)
        if load is not None:
            load.request_started(prompt_tokens, self._clock.monotonic_s())

    def request_finished(self, engine_id: str, failed: bool) -> None:
        """Records that a request ended; called once per ``request_started``."""
        load = self._loads.get(engine_id)
        if load is not None:
            load.request_finished(failed, self._clock.monotonic_s())

    def _forget(self, engine_id: str) -> None:
        load = self._loads.pop(engine_id)
        self._pool.forget(load.vm.address)
        task = self._poll_tasks.pop(engine_id, None)
        if task is not None:
            task.kill(block=False)
        if self._sink is not None:
            self._sink.forget(engine_id)

    def _sync_poll_tasks(self) -> None:
        wanted = set()
        if self._started:
            wanted = {e for e in self._loads if self._is_polled(e)}
        for engine_id in set(self._poll_tasks) - wanted:
            self._poll_tasks.pop(engine_id).kill(block=False)
        for engine_id in wanted - set(self._poll_tasks):
            load = self._loads[engine_id]
            self._poll_tasks[engine_id] = supervised_task.spawn(
                "load-reader", functools.partial(self._poll, load)
            )

    def _is_polled(self, engine_id: str) -> bool:
        return self._polled_ids is None or engine_id in self._polled_ids

    def _poll(self, load: engine_load.EngineLoad) -> None:
        last_succeeded = True
        while True:
            read = self._poll_once(load)
            succeeded = isinstance(read, Ok)
            if not succeeded:
                load.record_failure(self._clock.monotonic_s())
                _failed_reads.inc({"engine": load.vm.vm_id})
            if succeeded != last_succeeded:
                logger.bind(engine_id=load.vm.vm_id).info(
                    "load of engine is {}",
                    "read"
                    if isinstance(read, Ok)
                    else f"not read: {read.err_value}",
                )
            last_succeeded = succeeded
            jitter = self._random.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            gevent.sleep(self._interval_s * (1 + jitter))

    def _poll_once(
        self, load: engine_load.EngineLoad
    ) -> Result[None, errors.EngineError]:
        fetched = self._fetch(load.vm.address, "/load")
        if isinstance(fetched, Err):
            return fetched
        report = parse_report(fetched.ok_value)
        if isinstance(report, Err):
            return report
        if report.ok_value.engine_id != load.vm.vm_id:
            # The platform gave the address to another engine; the VM list is
            # not up to date yet.
            message = (
                f"the load report of {load.vm.vm_id} came from"
                f" {report.ok_value.engine_id}"
            )
            return Err(errors.EngineError(message))
        lag_s = engine_load.report_lag_s(report.ok_value, self._clock.unix_s())
        load.record_report(report.ok_value, self._clock.monotonic_s() - lag_s)
        if self._sink is None:
            return Ok(None)
        return self._read_cache_events(load, self._sink)

    def _read_cache_events(
        self, load: engine_load.EngineLoad, sink: CacheEventSink
    ) -> Result[None, errors.EngineError]:
        path = f"/cache_events?after={load.last_sequence}"
        fetched = self._fetch(load.vm.address, path)
        if isinstance(fetched, Err):
            return fetched
        parsed = parse_cache_events(fetched.ok_value)
        if isinstance(parsed, Err):
            return parsed
        events, last_sequence = parsed.ok_value
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
            message = f"{address}{path} returned status {answer.status_code}"
            return Err(errors.EngineError(message))
        return Ok(body)


def parse_cache_events(
    body: bytes,
) -> Result[tuple[list[prefix_index.CacheEvent], int], errors.EngineError]:
    """Parses cache events and the sequence number of the last one."""
    try:
        document = json.loads(body)
        last_sequence = stated_numbers.count(
            document["last_sequence"], "last_sequence"
        )
        for event in document["events"]:
            stated_numbers.count(
                event["sequence"], "sequence", limit=last_sequence
            )
        events = _EVENTS_ADAPTER.validate_python(document["events"])
    except _PARSE_ERRORS as error:
        return Err(errors.EngineError(f"malformed cache events: {error}"))
    if not all(_BLOCK_HASH.fullmatch(e.block_hash) for e in events):
        return Err(
            errors.EngineError(
                "a cache event has a block hash that is not hexadecimal"
            )
        )
    return Ok((events, last_sequence))


def parse_report(
    body: bytes,
) -> Result[fleet.LoadReport, errors.EngineError]:
    """Parses a load report from JSON and ignores unknown fields.

    Numbers are refused that are none, negative, not finite or huge.
    """
    try:
        document = json.loads(body)
        known = {
            name: document[name]
            for name in fleet.LoadReport._fields
            if name in document
        }
        _check_numbers(known)
        report = _REPORT_ADAPTER.validate_python(known)
    except _PARSE_ERRORS as error:
        return Err(errors.EngineError(f"malformed load report: {error}"))
    return Ok(report)


def _check_numbers(known: Mapping[str, Any]) -> None:
    """Raises ValueError for a number that can't be used.

    A NaN makes every comparison of engine scores false and so every choice of
    engine arbitrary. Figures over the limit would add up to infinity, or fit no
    float. Bad latencies would be the only symptom.
    """
    for name in _COUNTS & known.keys():
        stated_numbers.count(known[name], name, limit=_FIGURE_LIMIT)
    for name in _FIGURES & known.keys():
        stated_numbers.figure(known[name], name, limit=_FIGURE_LIMIT)
    for name in _SPEEDS & known.keys():
        if 0 < known[name] < _LEAST_TOKENS_PER_S:
            raise ValueError(
                f"{name} is {known[name]!r}, no speed of an engine"
            )

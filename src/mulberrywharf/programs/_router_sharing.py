"""Shares engines' loads and customers' demand among routers.

At the fleet size that the system is designed for, a router cannot read every
engine each second. Each router reads one slice of the engines in full; for the
other engines, heartbeats bring it one byte each. In a small fleet every router
reads all engines: this costs little, and every router then receives all cache
events.
"""

import collections
import math
import random
from collections.abc import Collection, Mapping

import gevent
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics
from mulberrywharf.engines import load_client, load_reader
from mulberrywharf.nodes import mesh, slices
from mulberrywharf.platform_service import vm_list
from mulberrywharf.policy import limits, shares
from mulberrywharf.programs import _interval_task

WHOLE_FLEET_LIMIT_COUNT = 8
"""Largest number of engines at which every router reads all of them."""

FULL_READ_INTERVAL_S = 300.0
"""Time between full reads of an engine outside the slice. Its role, models and
speeds rarely change; an engine that serves again after a change is read
immediately."""

_INTERVAL_S = 0.5
_RECENT_REPORT_S = 10.0
_CONCURRENT_READS_COUNT = 4
_READ_TIMEOUT_S = 2.0
_MIN_ROUND_S = 3.0
_ROTATIONS_PER_ROUND = 1.5

_engines_seen = metrics.gauge(
    "mulberry_engines_seen_count",
    "Engines with a report of the last 10 s, by availability zone.",
)
_vm_list_age = metrics.gauge(
    "mulberry_vm_list_age_seconds",
    "Age of the VM list; -1 before the first.",
)


class _OutsideEngine:
    """An engine outside this router's slice.

    Attributes:
        report: Its last full report.
        next_read_s: Monotonic time of the next full read.
        was_serving: Whether it was serving by its last heartbeat byte.
    """

    def __init__(self, report: fleet.LoadReport, next_read_s: float):
        self.report = report
        self.next_read_s = next_read_s
        self.was_serving = True


class LoadSharing:
    """Reads a slice of the engines; other nodes report the rest."""

    def __init__(
        self,
        reader: load_reader.LoadReader,
        node_mesh: mesh.NodeMesh,
        system_clock: clock.Clock,
        rng: random.Random,
    ):
        self._reader = reader
        self._mesh = node_mesh
        self._clock = system_clock
        self._rng = rng
        self._known: dict[str, _OutsideEngine] = {}
        self._unread_ids: set[str] = set()

    def tick(self) -> None:
        """Publishes and updates loads; called at each interval."""
        views = self._reader.views()
        own = frozenset(vm.vm_id for vm in self._mesh.engine_slice())
        self._publish(views, own)
        if len(views) <= WHOLE_FLEET_LIMIT_COUNT:
            self._reader.set_polled_engines(None)
            return
        self._reader.set_polled_engines(own)
        others = [view for view in views if view.vm.vm_id not in own]
        self._read_due(others)
        self._apply_coarse_loads(others, self._mesh.coarse_loads())

    def _publish(
        self, views: Collection[fleet.EngineView], own: frozenset[str]
    ) -> None:
        for view in views:
            if view.vm.vm_id in own and view.report is not None:
                self._mesh.publish_load(view.report)

    def _read_due(self, others: Collection[fleet.EngineView]) -> None:
        now_s = self._clock.monotonic_s()
        due = [view.vm for view in others if self._is_due(view.vm, now_s)]
        reads = [
            gevent.spawn(self._read, vm) for vm in due[:_CONCURRENT_READS_COUNT]
        ]
        gevent.joinall(reads)
        present = {view.vm.vm_id for view in others}
        for engine_id in self._known.keys() - present:
            del self._known[engine_id]
        self._unread_ids &= present

    def _is_due(self, vm: fleet.VmRecord, now_s: float) -> bool:
        known = self._known.get(vm.vm_id)
        return known is None or known.next_read_s <= now_s

    def _read(self, vm: fleet.VmRecord) -> None:
        read = load_client.read_load(vm.address, timeout_s=_READ_TIMEOUT_S)
        if isinstance(read, Err):
            if vm.vm_id not in self._unread_ids:
                self._unread_ids.add(vm.vm_id)
                logger.bind(engine_id=vm.vm_id).warning(
                    "load of engine is not read: {}", read.err_value
                )
            return
        self._unread_ids.discard(vm.vm_id)
        if read.ok_value.engine_id != vm.vm_id:
            return
        delay_s = FULL_READ_INTERVAL_S * self._rng.uniform(0.5, 1.0)
        next_read_s = self._clock.monotonic_s() + delay_s
        self._known[vm.vm_id] = _OutsideEngine(read.ok_value, next_read_s)
        self._reader.record_report(read.ok_value, 0.0)

    def _apply_coarse_loads(
        self,
        others: Collection[fleet.EngineView],
        coarse: Mapping[str, slices.AgedLoad],
    ) -> None:
        for view in others:
            known = self._known.get(view.vm.vm_id)
            aged = coarse.get(view.vm.vm_id)
            if known is None or aged is None:
                continue
            if aged.load.is_serving and not known.was_serving:
                known.next_read_s = 0.0
            known.was_serving = aged.load.is_serving
            report = slices.refresh(known.report, aged.load)
            self._reader.record_report(report, aged.age_s)


class LimitSharing:
    """Divides the customers' limits among the zone's routers, in rounds."""

    def __init__(
        self,
        vm_id: str,
        customer_limits: limits.CustomerLimits,
        node_mesh: mesh.NodeMesh,
        vms: vm_list.VmListReader,
        system_clock: clock.Clock,
    ):
        self._vm_id = vm_id
        self._limits = customer_limits
        self._mesh = node_mesh
        self._vms = vms
        self._clock = system_clock
        self._round_number = 0

    def tick(self) -> None:
        """Starts the next round if it is due."""
        round_s = max(
            _MIN_ROUND_S, self._mesh.rotation_s() * _ROTATIONS_PER_ROUND
        )
        number = shares.round_number(self._clock.unix_s(), round_s)
        if number == self._round_number:
            return
        self._round_number = number
        now_s = self._clock.monotonic_s()
        live = self._mesh.membership().live | {self._vm_id}
        entry_vms = [vm for vm in self._vms.vms() if vm.kind == "entry"]
        division = shares.divide(
            self._vm_id,
            live,
            len(entry_vms),
            self._mesh.demand_reports(number - 1),
            number - 1,
        )
        self._limits.set_division(division, now_s)
        self._mesh.publish_demand(
            shares.DemandReport(
                self._vm_id,
                number,
                shares.live_digest(live),
                self._limits.demand(now_s),
            )
        )


class FleetGauges:
    """Exports metrics of the part of the fleet that this router can reach.

    A partitioned zone continues to serve. Its routers then report no engine of
    another zone, and a growing age of the VM list.
    """

    def __init__(
        self, reader: load_reader.LoadReader, vms: vm_list.VmListReader
    ):
        self._reader = reader
        self._vms = vms
        self._zones: set[str] = set()

    def tick(self) -> None:
        """Sets the gauges."""
        seen = collections.Counter(
            view.vm.availability_zone
            for view in self._reader.views()
            if view.report is not None and view.report_age_s < _RECENT_REPORT_S
        )
        self._zones |= {
            view.vm.availability_zone for view in self._reader.views()
        }
        for zone in self._zones:
            _engines_seen.set({"availability_zone": zone}, seen[zone])
        age_s = self._vms.age_s()
        _vm_list_age.set({}, age_s if math.isfinite(age_s) else -1.0)


class Sharing:
    """Runs the parts of this module periodically."""

    def __init__(
        self,
        load_sharing: LoadSharing,
        limit_sharing: LimitSharing,
        fleet_gauges: FleetGauges,
    ):
        self._task = _interval_task.IntervalTask(
            (load_sharing.tick, limit_sharing.tick, fleet_gauges.tick),
            interval_s=_INTERVAL_S,
            failure_message="sharing loads or demand failed",
        )

    def start(self) -> None:
        """Starts the periodic task."""
        self._task.start()

    def close(self) -> None:
        """Stops the periodic task."""
        self._task.close()

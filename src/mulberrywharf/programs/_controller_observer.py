"""Reads the state of a zone's engines and evaluates the rules on it."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import gevent.pool
from result import Ok, Result

from mulberrywharf import clock as clocks
from mulberrywharf import errors, fleet, rules
from mulberrywharf.authority import (
    findings,
    order_records,
    situation_builder,
    wanted_states,
)
from mulberrywharf.engines import load_client
from mulberrywharf.platform_service import configuration
from mulberrywharf.policy import role_planner
from mulberrywharf.programs import _controller_options, _controller_rates
from mulberrywharf.rules.explain import reason as rule_reason

_CONCURRENT_READS_COUNT = 64
_MIN_READS_PER_ROUND_COUNT = 16
_ROUNDS_PER_CYCLE_COUNT = 15
_READ_TIMEOUT_S = 1.0

_NO_CONFIGURATION = "no configuration was seen yet"


class ZoneView(NamedTuple):
    """Observations and decisions of one round.

    Attributes:
        vms: Live engines of the zone, by VM id.
        facts: Observed and wanted state of each engine, by engine id.
        match: The rule in force, or None before the first configuration.
        config_version: Version of the configuration with the rule, or 0.
        situation: Measurements that the rules were evaluated on, or None.
        plan: Decision of the role planner, as text.
        seen_unix_s: Wall-clock time of the round.
    """

    vms: Mapping[str, fleet.VmRecord]
    facts: Mapping[str, findings.EngineFacts]
    match: rules.Match | None = None
    config_version: int = 0
    situation: rules.Situation | None = None
    plan: str = _NO_CONFIGURATION
    seen_unix_s: float = 0.0


EMPTY_VIEW = ZoneView({}, {})


class VmSource(NamedTuple):
    """Access to the VM list.

    Attributes:
        vms: Returns all VMs.
        age_s: Returns the age of the list, in seconds.
    """

    vms: Callable[[], list[fleet.VmRecord]]
    age_s: Callable[[], float]


class ZoneObserver:
    """Reads the engines and evaluates the rules once per round."""

    def __init__(
        self,
        options: _controller_options.ZoneOptions,
        clock: clocks.Clock,
        vm_source: VmSource,
        current_configuration: Callable[[], configuration.Configuration | None],
        rates: _controller_rates.ZoneRates,
    ):
        self._options = options
        self._clock = clock
        self._vm_source = vm_source
        self._configuration = current_configuration
        self._rates = rates
        self._tracker = situation_builder.DemandTracker()
        self._sustain = rules.Sustain()
        self._reads = gevent.pool.Pool(_CONCURRENT_READS_COUNT)
        self._reports: dict[str, fleet.LoadReport] = {}

    def clear_reports(self) -> None:
        """Discards all reports, so that the next round reads every engine."""
        self._reports.clear()

    def observe(
        self,
        records: Mapping[str, order_records.OrderRecord],
        accepted_unix_s: Mapping[str, float],
        change_ends_unix_s: tuple[float, ...],
    ) -> ZoneView:
        """Reads the engines that are due; returns each one's wanted state.

        Args:
            records: The latest order record of each engine that has one.
            accepted_unix_s: Wall-clock time at which an engine accepted an
                order, by order id.
            change_ends_unix_s: Wall-clock times at which recent role changes
                ended.
        """
        vms = self._zone_engines()
        reports = self._read_reports(vms, records)
        demand = self._tracker.demand(list(reports.values()))
        situation = self._situation(vms, reports, demand)
        in_force = self._rule_in_force(situation)
        if in_force is None:
            facts = _facts(vms, reports, records, {}, accepted_unix_s)
            return ZoneView(vms, facts)
        zone = wanted_states.Zone(reports, records, demand, change_ends_unix_s)
        now_unix_s = self._clock.unix_s()
        wanted = wanted_states.wanted_zone(
            zone, in_force, self._options.planner, now_unix_s
        )
        return ZoneView(
            vms,
            _facts(vms, reports, records, wanted.engines, accepted_unix_s),
            match=in_force.match,
            config_version=in_force.config_version,
            situation=situation,
            plan=role_planner.describe(wanted.plan),
            seen_unix_s=now_unix_s,
        )

    def _zone_engines(self) -> dict[str, fleet.VmRecord]:
        return {
            vm.vm_id: vm
            for vm in self._vm_source.vms()
            if vm.kind == "engine"
            and vm.state == "live"
            and vm.availability_zone == self._options.availability_zone
        }

    def _read_reports(
        self,
        vms: Mapping[str, fleet.VmRecord],
        records: Mapping[str, order_records.OrderRecord],
    ) -> dict[str, situation_builder.AgedReport]:
        due = engines_to_read(list(vms), self._reports, records)
        results = self._reads.map(_read_engine, [vms[e] for e in due])
        for engine_id, result in zip(due, results, strict=True):
            self._reports.pop(engine_id, None)
            if isinstance(result, Ok):
                self._reports[engine_id] = result.ok_value._replace(
                    engine_id=engine_id
                )
        self._reports = {e: r for e, r in self._reports.items() if e in vms}
        self._tracker.observe(list(self._reports.values()))
        now_unix_s = self._clock.unix_s()
        return {
            engine_id: situation_builder.AgedReport(
                report, max(0.0, now_unix_s - report.reported_unix_s)
            )
            for engine_id, report in self._reports.items()
        }

    def _situation(
        self,
        vms: Mapping[str, fleet.VmRecord],
        reports: Mapping[str, situation_builder.AgedReport],
        demand: role_planner.Demand | None,
    ) -> rules.Situation:
        situation = situation_builder.build(
            availability_zone=self._options.availability_zone,
            now_unix_s=self._clock.unix_s(),
            engine_ids=list(vms),
            reports=reports,
            demand=demand,
            vm_list_age_s=self._vm_source.age_s(),
        )
        current = self._configuration()
        if current is None:
            return situation
        return self._rates.add_to(situation, current.document)

    def _rule_in_force(
        self, situation: rules.Situation
    ) -> wanted_states.RuleInForce | None:
        current = self._configuration()
        if current is None:
            return None
        match = rules.match(
            current.document,
            situation,
            sustain=self._sustain,
            now_s=self._clock.monotonic_s(),
        )
        reason = rule_reason(match, current.version)
        return wanted_states.RuleInForce(match, current.version, reason)


def engines_to_read(
    engine_ids: Sequence[str],
    reports: Mapping[str, fleet.LoadReport],
    records: Mapping[str, order_records.OrderRecord],
) -> list[str]:
    """Selects the engines whose loads are read in this round.

    Engines that have no report, are not ready or have an order in flight are
    read in every round. Of the others, those with the oldest reports are read,
    as many per round as it takes to read each one before the rules consider
    its report stale. A read takes about 0.6 ms of CPU time, so reading all
    engines of a zone of 425 in each round would use a quarter of a core.

    Args:
        engine_ids: Engines of the zone.
        reports: The last report of each engine that answered its last read.
        records: The latest order of each engine that has one.
    """

    def is_urgent(engine_id: str) -> bool:
        report = reports.get(engine_id)
        record = records.get(engine_id)
        if report is None or report.state != "ready":
            return True
        return record is not None and record.in_flight()

    urgent = [e for e in engine_ids if is_urgent(e)]
    routine = [e for e in engine_ids if not is_urgent(e)]
    routine.sort(key=lambda e: reports[e].reported_unix_s)
    cycle_count = math.ceil(len(engine_ids) / _ROUNDS_PER_CYCLE_COUNT)
    return urgent + routine[: max(_MIN_READS_PER_ROUND_COUNT, cycle_count)]


def _facts(
    vms: Mapping[str, fleet.VmRecord],
    reports: Mapping[str, situation_builder.AgedReport],
    records: Mapping[str, order_records.OrderRecord],
    wanted: Mapping[str, findings.WantedEngine],
    accepted_unix_s: Mapping[str, float],
) -> dict[str, findings.EngineFacts]:
    facts = {}
    for engine_id in vms:
        seen = reports.get(engine_id)
        record = records.get(engine_id)
        facts[engine_id] = findings.EngineFacts(
            engine_id,
            wanted.get(engine_id),
            record,
            None if seen is None else seen.report,
            accepted_unix_s.get(record.awaited_order_id(), 0.0)
            if record
            else 0.0,
        )
    return facts


def _read_engine(
    vm: fleet.VmRecord,
) -> Result[fleet.LoadReport, errors.EngineError]:
    return load_client.read_load(vm.address, timeout_s=_READ_TIMEOUT_S)

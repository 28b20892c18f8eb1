"""Looks at the zone: engines' reports, the rule in force, what it wants."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import gevent.pool
from result import Ok, Result

from mulberrywharf import clock as clocks
from mulberrywharf import errors, fleet, rules
from mulberrywharf.authority import (
    order_records,
    reconcile,
    situation_builder,
    wanted_states,
)
from mulberrywharf.engines import state
from mulberrywharf.platform_service import configuration
from mulberrywharf.policy import role_planner
from mulberrywharf.programs import _controller_options
from mulberrywharf.rules.explain import reason as rule_reason

_CONCURRENT_READS_COUNT = 64
_READ_TIMEOUT_S = 1.0

_NO_CONFIGURATION = "no configuration was seen yet"


class ZoneView(NamedTuple):
    """What one round saw and decided.

    Attributes:
        vms: Live engines of the zone, by id.
        facts: What is known and wanted of each.
        match: The rule in force, or None before a configuration was seen.
        config_version: Version of the configuration that holds it, or 0.
        situation: What the rules were evaluated on, or None.
        plan: What the role planner decided, in words.
        seen_unix_s: Wall clock of the round.
    """

    vms: Mapping[str, fleet.VmRecord]
    facts: Mapping[str, reconcile.EngineFacts]
    match: rules.Match | None = None
    config_version: int = 0
    situation: rules.Situation | None = None
    plan: str = _NO_CONFIGURATION
    seen_unix_s: float = 0.0


NOTHING_SEEN = ZoneView({}, {})


class VmSource(NamedTuple):
    """The VM list.

    Attributes:
        vms: Returns all VMs.
        age_s: Returns the list's age.
    """

    vms: Callable[[], list[fleet.VmRecord]]
    age_s: Callable[[], float]


class ZoneObserver:
    """Reads the engines and evaluates the rules, once each round."""

    def __init__(
        self,
        options: _controller_options.ZoneOptions,
        clock: clocks.Clock,
        vm_source: VmSource,
        current_configuration: Callable[[], configuration.Configuration | None],
    ):
        self._options = options
        self._clock = clock
        self._vm_source = vm_source
        self._configuration = current_configuration
        self._tracker = situation_builder.DemandTracker()
        self._sustain = rules.Sustain()
        self._reads = gevent.pool.Pool(_CONCURRENT_READS_COUNT)

    def look(
        self,
        records: Mapping[str, order_records.OrderRecord],
        change_ends_unix_s: tuple[float, ...],
    ) -> ZoneView:
        """Reads every engine and says what is wanted of it.

        Args:
            records: The latest order record of each engine that has one.
            change_ends_unix_s: When recent role changes ended.
        """
        vms = self._zone_engines()
        reports = self._read_reports(vms)
        demand = self._tracker.demand(list(reports.values()))
        situation = self._situation(vms, reports, demand)
        in_force = self._rule_in_force(situation)
        if in_force is None:
            return ZoneView(vms, _facts(vms, reports, records, {}))
        zone = wanted_states.Zone(reports, records, demand, change_ends_unix_s)
        now_unix_s = self._clock.unix_s()
        wanted = wanted_states.wanted_zone(
            zone, in_force, self._options.planner, now_unix_s
        )
        return ZoneView(
            vms,
            _facts(vms, reports, records, wanted.engines),
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
        self, vms: Mapping[str, fleet.VmRecord]
    ) -> dict[str, situation_builder.SeenReport]:
        results = self._reads.map(_read_one, vms.values())
        now_unix_s = self._clock.unix_s()
        reports = {}
        for vm, result in zip(vms.values(), results, strict=True):
            if isinstance(result, Ok):
                report = result.ok_value._replace(engine_id=vm.vm_id)
                age_s = max(0.0, now_unix_s - report.reported_unix_s)
                reports[vm.vm_id] = situation_builder.SeenReport(report, age_s)
        self._tracker.observe([seen.report for seen in reports.values()])
        return reports

    def _situation(
        self,
        vms: Mapping[str, fleet.VmRecord],
        reports: Mapping[str, situation_builder.SeenReport],
        demand: role_planner.Demand | None,
    ) -> rules.Situation:
        return situation_builder.build(
            availability_zone=self._options.availability_zone,
            now_unix_s=self._clock.unix_s(),
            engine_ids=list(vms),
            reports=reports,
            demand=demand,
            vm_list_age_s=self._vm_source.age_s(),
        )

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


def _facts(
    vms: Mapping[str, fleet.VmRecord],
    reports: Mapping[str, situation_builder.SeenReport],
    records: Mapping[str, order_records.OrderRecord],
    wanted: Mapping[str, reconcile.WantedEngine],
) -> dict[str, reconcile.EngineFacts]:
    return {
        engine_id: reconcile.EngineFacts(
            engine_id,
            wanted.get(engine_id),
            records.get(engine_id),
            reports[engine_id].report if engine_id in reports else None,
        )
        for engine_id in vms
    }


def _read_one(
    vm: fleet.VmRecord,
) -> Result[fleet.LoadReport, errors.EngineError]:
    return state.read_load(vm.address, timeout_s=_READ_TIMEOUT_S)

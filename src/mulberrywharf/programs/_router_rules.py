"""Evaluates the rules' actions for a router: limits and a preferred zone.

The controller carries out changes of roles, model loads and drains. The actions
``limit`` and ``prefer_zone`` affect requests, so each router evaluates the
rules for them itself, on its own measurements of the zone. Two routers may
briefly differ because their measurements do; these actions cannot conflict.
"""

from collections.abc import Callable

from mulberrywharf import clock, fleet, rules
from mulberrywharf.authority import situation_builder
from mulberrywharf.engines import load_reader
from mulberrywharf.nodes import mesh
from mulberrywharf.platform_service import config_follower, vm_list
from mulberrywharf.policy import role_planner
from mulberrywharf.programs import _interval_task
from mulberrywharf.requests import demand_rates

_INTERVAL_S = 1.0


class RouterRules:
    """Evaluates the rules periodically."""

    def __init__(
        self,
        availability_zone: str,
        *,
        follower: config_follower.ConfigFollower,
        reader: load_reader.LoadReader,
        vms: vm_list.VmListReader,
        node_mesh: mesh.NodeMesh,
        rates: demand_rates.DemandRates,
        on_actions: Callable[[rules.Actions], None],
        system_clock: clock.Clock,
    ):
        self._zone = availability_zone
        self._follower = follower
        self._reader = reader
        self._vms = vms
        self._mesh = node_mesh
        self._rates = rates
        self._on_actions = on_actions
        self._clock = system_clock
        self._tracker = situation_builder.DemandTracker()
        self._sustain = rules.Sustain()
        self._task = _interval_task.IntervalTask(
            (self.tick,),
            interval_s=_INTERVAL_S,
            failure_message="evaluating the rules failed",
        )

    def start(self) -> None:
        """Starts the evaluations."""
        self._task.start()

    def close(self) -> None:
        """Stops the evaluations; the last actions stay in force."""
        self._task.close()

    def tick(self) -> None:
        """Evaluates the rules once; an undecided match changes nothing."""
        configuration = self._follower.current()
        if configuration is None:
            return
        found = rules.match(
            configuration.document,
            self._situation(),
            sustain=self._sustain,
            now_s=self._clock.monotonic_s(),
        )
        if not found.undecided:
            self._on_actions(found.actions)

    def _situation(self) -> rules.Situation:
        views = [
            view
            for view in self._reader.views()
            if view.vm.availability_zone == self._zone
        ]
        seen = {
            view.vm.vm_id: situation_builder.AgedReport(
                view.report, view.report_age_s
            )
            for view in views
            if view.report is not None
        }
        built = situation_builder.build(
            availability_zone=self._zone,
            now_unix_s=self._clock.unix_s(),
            engine_ids=_live_ids(views),
            reports=seen,
            demand=self._demand(seen),
            vm_list_age_s=self._vms.age_s(),
        )
        rates = self._rates.read(self._clock.monotonic_s())
        # The load balancer distributes requests over the routers, so the
        # zone's rate is about this router's rate times their number.
        routers_count = max(1, len(self._mesh.membership().live))
        return built._replace(
            customer_requests_per_s=_scaled(rates.customers, routers_count),
            model_requests_per_s=_scaled(rates.models, routers_count),
            absent_requests_per_s=0.0,
            rates_age_s=0.0,
        )

    def _demand(
        self, seen: dict[str, situation_builder.AgedReport]
    ) -> role_planner.Demand | None:
        self._tracker.observe([entry.report for entry in seen.values()])
        return self._tracker.demand(list(seen.values()))


def _live_ids(views: list[fleet.EngineView]) -> list[str]:
    return [view.vm.vm_id for view in views if view.vm.state == "live"]


def _scaled(rates: dict[str, float], factor: int) -> dict[str, float]:
    return {name: rate * factor for name, rate in rates.items()}

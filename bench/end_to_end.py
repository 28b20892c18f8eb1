"""Goodput of real routers, controllers and stand-in engines under faults.

Three availability zones stand on loopback. Each scenario offers the same kind
of open load to a fleet of its own; its goodput is compared with that of the
steady scenario of the same run, so that the figures don't hang on the machine.

Scenarios: a steady mix and a mix swing from notes to contracts and back, each
with roles split by the rules and, as baselines, with all engines mixed; then,
with split roles, an engine killed; one zone's engines cut off; the key-value
service down; a router stopped gracefully, which must cut nothing. Last a
shift handover: a new rule set is accepted in mid-load while the active
controller of one zone stops gracefully and that of another is killed; the
roles must end as the new rules ask.

Each scenario also gives counts by second of the load, for ``bench.plots``:
calls that fell due, good answers among them, and role changes begun.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import argparse
import json
import signal
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

import gevent
import gevent.pool

from bench import load, workload
from mulberrywharf import fleet
from tests import builders_settings, callers_fixture, cluster, processes

_ZONES = ("regina-hall", "saskatoon-hall", "winnipeg-hall")
_CUSTOMERS = ("crew-scheduling", "dispatch")
_STEADY_CONTRACT_SHARE = 0.3
_SEED = 20
_ENGINE_ARGUMENTS = (
    "--prefill-tokens-per-s",
    "6000",
    "--decode-tokens-per-s",
    "400",
    "--between-tokens-s",
    "0.008",
    "--role-change-s",
    "1.0",
    "--load-lag-s",
    "0.5",
    "--event-lag-s",
    "0.5",
    "--event-gap-share",
    "0.05",
)
_SPLIT_ROLES = {"prefill_count": 1, "decode_count": 1}
_CONTROLLER_SETTINGS = {
    "lease_ttl_s": 3.0,
    "order_user_timeout_s": 0.5,
    "clock_margin_s": 0.3,
    "evaluate_interval_s": 0.5,
    "role_change_away_s": 1.0,
}
"""Short, so that a run sees a takeover."""
_SETTLE_LIMIT_S = 60.0
_LOSS_LEAST_S = 8.0
"""Long enough for the controllers' answer to the loss to be part of it."""

Fault = Callable[[cluster.Cluster, load.LoadClient], None]

_TARGETS = load.Targets()


class Scenario(NamedTuple):
    """One run of load with one fault in its midst.

    Attributes:
        name: Key of its figures.
        phases: The offered load.
        fault: Called with the cluster and the client.
        fault_at_s: From the start of the load.
        split_roles: Whether the rules ask each zone for one engine that
            prefills and one that decodes; else all stay mixed.
        standby: Whether each zone has a second controller.
    """

    name: str
    phases: list[workload.Phase]
    fault: Fault | None = None
    fault_at_s: float = 0.0
    split_roles: bool = True
    standby: bool = False


def main() -> int:
    """Runs all scenarios and prints their figures."""
    arguments = _arguments()
    scenarios = _scenarios(arguments.duration_s, arguments.rate_per_s)
    figures: dict[str, Any] = {}
    print(f"{'scenario':<16}{'calls':>7}{'whole':>7}{'good %':>8}", end="")
    print(f"{'refused':>9}{'broken':>8}{'wrong':>7}{'ttft p95':>10}")
    for scenario in scenarios:
        if arguments.only and scenario.name not in arguments.only:
            continue
        if scenario.name in arguments.leave_out:
            continue
        figures[scenario.name] = _run(scenario)
    _add_ratios(figures)
    print(json.dumps(figures))
    return 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=8.0)
    parser.add_argument("--rate-per-s", type=float, default=20.0)
    parser.add_argument("--only", action="append", help="name of a scenario")
    parser.add_argument(
        "--leave-out", action="append", default=[], help="name of a scenario"
    )
    return parser.parse_args()


def _scenarios(duration_s: float, rate_per_s: float) -> list[Scenario]:
    steady = workload.Phase(duration_s, rate_per_s, _STEADY_CONTRACT_SHARE)
    third_s = duration_s / 3
    swing = [
        workload.Phase(third_s, rate_per_s, share) for share in (0.1, 0.7, 0.1)
    ]
    fault_at_s = duration_s / 4
    loss = steady._replace(duration_s=max(duration_s, _LOSS_LEAST_S))
    return [
        Scenario("steady", [steady]),
        Scenario("steady_mixed", [steady], split_roles=False),
        Scenario("swing", swing),
        Scenario("swing_mixed", swing, split_roles=False),
        Scenario("engine_loss", [loss], _kill_engine, loss.duration_s / 4),
        Scenario("zone_cut", [loss], _cut_zone, loss.duration_s / 4),
        Scenario("outage", [steady], _stop_key_value, fault_at_s),
        Scenario("graceful_stop", [steady], _stop_router, fault_at_s),
        Scenario(
            "handover",
            # A killed controller's lease must lapse before another orders.
            [steady._replace(duration_s=2 * duration_s)],
            _hand_over,
            fault_at_s,
            split_roles=False,
            standby=True,
        ),
    ]


def _run(scenario: Scenario) -> dict[str, Any]:
    shape = cluster.Shape(
        zones=_ZONES,
        engines_per_zone=2,
        proxied=scenario.name == "zone_cut",
        engine_arguments=_ENGINE_ARGUMENTS,
        document=_document(scenario.split_roles),
    )
    running = cluster.Cluster(shape).start()
    try:
        if scenario.split_roles:
            _preset_roles(running)
        _start_controllers(running, 2 if scenario.standby else 1)
        if scenario.split_roles:
            _wait_for_roles(running)
        return _offer(scenario, running)
    finally:
        running.close()


def _preset_roles(running: cluster.Cluster) -> None:
    """Gives engines their first roles, as if they had been started so.

    Controllers find what their rules ask for; bringing it about takes them
    seconds in each scenario, which is not what is measured.
    """
    role_by_zone = {zone: ["decode", "prefill"] for zone in _ZONES}
    for number, engine in enumerate(running.engines):
        order = {
            "order_id": f"preset-{number}",
            "fencing_number": 0,
            "action": "set-role",
            "role": role_by_zone[engine.availability_zone].pop(),
        }
        cluster.post_json(engine.own_port, "/orders", order, status=202)


def _start_controllers(running: cluster.Cluster, count: int) -> None:
    """Starts so many controllers in each zone; waits for leases."""

    def start(named: tuple[str, str]) -> cluster.Member:
        vm_id, zone = named
        settings = running.node_settings(vm_id, zone)
        settings["controller"] = _CONTROLLER_SETTINGS
        path = builders_settings.write_settings(settings)
        process = processes.Process(
            "mulberrywharf.programs.controller", "--settings", path
        )
        return cluster.Member(vm_id, "", zone, process, 0)

    names = [
        (f"controller-{zone}-{number}", zone)
        for zone in _ZONES
        for number in range(1, count + 1)
    ]
    pool = gevent.pool.Pool(len(names))
    running.controllers += pool.map(start, names)
    cluster.wait_until(
        lambda: len(_active_controllers(running)) == len(_ZONES),
        "an active controller in each zone",
        _SETTLE_LIMIT_S,
    )


def _active_controllers(running: cluster.Cluster) -> list[cluster.Member]:
    """Returns the controllers that hold their zone's lease."""
    return [
        controller
        for controller in running.controllers
        if controller.process.poll() is None
        and running.status(controller)["lease"]["held"]
    ]


def _wait_for_roles(running: cluster.Cluster) -> None:
    """Waits until every router sees the roles that the rules ask for."""

    def are_split() -> bool:
        return all(
            sorted(
                engine["seen_role"]
                for engine in running.status(router)["engines"]
                if engine["seen_state"] == "ready"
            )
            == ["decode"] * len(_ZONES) + ["prefill"] * len(_ZONES)
            for router in running.routers
        )

    cluster.wait_until(are_split, "roles as the rules ask", _SETTLE_LIMIT_S)


def _document(split_roles: bool) -> dict[str, Any]:
    names = {
        name: callers_fixture.customer(name, requests_per_s=500.0)
        for name in _CUSTOMERS
    }
    default = {"roles": _SPLIT_ROLES} if split_roles else {"hold": True}
    return {
        "shed": {
            "first_token_target_ms": _TARGETS.first_token_ms,
            "between_tokens_target_ms": _TARGETS.between_tokens_ms,
        },
        "default": default,
        "customers": names,
        "models": {cluster.MODEL: {"adapters": [], "versions": []}},
    }


def _offer(scenario: Scenario, running: cluster.Cluster) -> dict[str, Any]:
    calls = workload.open_workload(scenario.phases, list(_CUSTOMERS), _SEED)
    addresses = [
        fleet.Address(cluster.LOOPBACK, router.process.ready["callers"])
        for router in running.routers
    ]
    client = load.LoadClient(
        addresses, {name: name for name in _CUSTOMERS}, cluster.MODEL
    )
    began_unix_s = time.time()
    fault = None
    if scenario.fault is not None:
        fault = gevent.spawn_later(
            scenario.fault_at_s, scenario.fault, running, client
        )
    try:
        outcomes = client.run_open(calls)
        if fault is not None:
            fault.get()
    finally:
        client.close()
    figures = _report(scenario.name, outcomes)
    if scenario.standby:
        figures.update(_settle(running, began_unix_s + scenario.fault_at_s))
    duration_s = sum(phase.duration_s for phase in scenario.phases)
    changes_s = [
        order["unix_s"] - began_unix_s
        for order in _role_orders(running)
        if order["unix_s"] >= began_unix_s
    ]
    seconds = max([duration_s, *(at_s + 1.0 for at_s in changes_s)])
    counts = load.by_second(outcomes, _TARGETS, seconds)
    figures["role_change_count"] = len(changes_s)
    figures["series"] = {
        **counts._asdict(),
        "role_changes": load.count_by_second(changes_s, seconds),
        "load_ends_s": duration_s,
        "marks_s": _marks_s(scenario),
    }
    return figures


def _marks_s(scenario: Scenario) -> list[float]:
    """Returns when the fault came and when the mix changed."""
    marks_s = [scenario.fault_at_s] if scenario.fault is not None else []
    phase_end_s = 0.0
    for phase in scenario.phases[:-1]:
        phase_end_s += phase.duration_s
        marks_s.append(phase_end_s)
    return marks_s


def _settle(running: cluster.Cluster, handover_unix_s: float) -> dict[str, Any]:
    """Waits for the new rules' roles; says how long and what was cut.

    Waiting in vain is no failure of its own: whoever reads ``settled_count``
    sees how many zones ended as the rules ask. When they did comes from the
    engines' own logs, since asking routers all the while would load them.
    """
    try:
        _wait_for_roles(running)
        settled_count = len(_ZONES)
    except AssertionError:
        settled_count = 0
    orders = list(_role_orders(running))
    last_unix_s = max(
        (order["ended_unix_s"] or 0.0 for order in orders), default=0.0
    )
    return {
        "settled_count": settled_count,
        "settled_s": round(last_unix_s - handover_unix_s, 2),
        "cut_count": sum(len(order["cut_request_ids"]) for order in orders),
        "active_controller_count": len(_active_controllers(running)),
    }


def _role_orders(running: cluster.Cluster) -> Iterator[dict[str, Any]]:
    """Yields the role changes that engines began; a killed one's are lost."""
    for engine in running.engines:
        if engine.process.poll() is not None:
            continue
        for order in engine.log()["orders"]:
            if order["action"] == "set-role" and order["effective"]:
                yield order


def _report(name: str, outcomes: Sequence[load.CallOutcome]) -> dict[str, Any]:
    summary = load.summarize(outcomes, _TARGETS)
    print(
        f"{name:<16}{summary.call_count:>7}{summary.whole_count:>7}"
        f"{summary.goodput_share * 100:>8.1f}{summary.refused_count:>9}"
        f"{summary.broken_count:>8}{summary.wrong_count:>7}"
        f"{summary.first_token_p95_ms:>9.0f}ms",
        flush=True,
    )
    codes = sorted({o.code for o in outcomes if o.code})
    return {**summary._asdict(), "codes": codes}


def _add_ratios(figures: dict[str, Any]) -> None:
    """Adds totals, and each goodput over that of its baseline."""
    results = list(figures.values())
    if "steady" in figures:
        for result in results:
            result["goodput_ratio"] = _ratio(result, figures["steady"])
    if "swing" in figures and "swing_mixed" in figures:
        figures["swing"]["ratio_to_mixed"] = _ratio(
            figures["swing"], figures["swing_mixed"]
        )
    if "handover" in figures and "steady_mixed" in figures:
        figures["handover"]["ratio_to_mixed"] = _ratio(
            figures["handover"], figures["steady_mixed"]
        )
    figures["all"] = {
        "scenario_count": len(results),
        "wrong_count": sum(result["wrong_count"] for result in results),
        "broken_count": sum(result["broken_count"] for result in results),
    }


def _ratio(result: dict[str, Any], baseline: dict[str, Any]) -> float:
    share = max(1e-9, baseline["goodput_share"])
    return float(round(result["goodput_share"] / share, 4))


def _kill_engine(running: cluster.Cluster, _: load.LoadClient) -> None:
    running.engines[0].process.signal(signal.SIGKILL)


def _cut_zone(running: cluster.Cluster, _: load.LoadClient) -> None:
    for engine in running.engines:
        if engine.availability_zone == _ZONES[2]:
            engine.set_proxy_faults(mode="cut")


def _stop_key_value(running: cluster.Cluster, _: load.LoadClient) -> None:
    running.set_key_value_down(True)


def _stop_router(running: cluster.Cluster, client: load.LoadClient) -> None:
    """Stops a router in mid-load; the balancer turns away, calls go on."""
    running.routers[2].process.signal(signal.SIGTERM)
    client.leave_out(2)


def _hand_over(running: cluster.Cluster, _: load.LoadClient) -> None:
    """Accepts new rules while two zones lose their active controller."""
    active = {c.availability_zone: c for c in _active_controllers(running)}
    running.apply(callers_fixture.document(**_document(split_roles=True)))
    active[_ZONES[0]].process.signal(signal.SIGTERM)
    active[_ZONES[1]].process.signal(signal.SIGKILL)


if __name__ == "__main__":
    sys.exit(main())

"""The main job end to end, on loopback, with stand-ins of the outside.

``make demo`` runs it. Three availability zones get a router and a controller
each, two engines and one backend server each. The demo puts rules in force,
streams a completion, makes a non-idempotent call twice with one idempotency
key, changes roles by a rule, stops a router gracefully, audits what the
stand-ins saw, and ends by itself: exit code 0 when all of it held.
"""

# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import sys
from collections.abc import Callable
from typing import NamedTuple

import gevent

from mulberrywharf import fleet
from proofs import audit_checker, collect
from standins import engine_tokens
from tests import callers_fixture, cluster

_ZONES = ("regina-hall", "saskatoon-hall", "winnipeg-hall")
_PROMPT = "hall four opens at six with nine servers short of one captain"
_ANSWER_TOKENS = 24
_LONG_ANSWER_TOKENS = 200
_ENGINE_ARGUMENTS = ("--role-change-s", "1.0", "--between-tokens-s", "0.01")


class Step(NamedTuple):
    """One thing that the demo did.

    Attributes:
        title: What was done.
        held: Whether it came out as promised.
        detail: What was seen.
    """

    title: str
    held: bool
    detail: str


def main() -> int:
    """Runs the demo; returns the exit code."""
    shape = cluster.Shape(
        zones=_ZONES,
        engines_per_zone=2,
        backends_per_zone=1,
        controllers=True,
        engine_arguments=_ENGINE_ARGUMENTS,
    )
    print("starting three availability zones on loopback", flush=True)
    running = cluster.Cluster(shape).start()
    try:
        steps = [_report(step(running)) for step in _STEPS]
    finally:
        running.close()
    held_count = sum(step.held for step in steps)
    print(
        f"demo: {len(running.routers)} routers, "
        f"{len(running.controllers)} controllers, "
        f"{len(running.engines)} engines, "
        f"{len(running.backends)} backend servers; "
        f"{held_count} of {len(steps)} steps held"
    )
    return 0 if held_count == len(steps) else 1


def _report(step: Step) -> Step:
    print(f"[{'ok' if step.held else 'FAILED'}] {step.title}: {step.detail}")
    return step


def _apply_rules(running: cluster.Cluster) -> Step:
    version = running.apply(
        callers_fixture.document(
            default={"roles": {"prefill_count": 1, "decode_count": 1}}
        )
    )
    programs = running.routers + running.controllers

    def in_force() -> bool:
        return all(
            running.status(program)["config_version"] >= version
            for program in programs
        )

    cluster.wait_until(in_force, "the configuration in force")
    detail = f"version {version} at {len(programs)} programs"
    return Step("configuration in force everywhere", True, detail)


def _stream(running: cluster.Cluster) -> Step:
    answer = running.caller(0).complete(_PROMPT, _ANSWER_TOKENS)
    wanted = engine_tokens.answer_text(cluster.MODEL, _PROMPT, _ANSWER_TOKENS)
    held = answer.is_whole() and answer.text() == wanted
    return Step("streamed completion", held, f"{_ANSWER_TOKENS} tokens, whole")


def _press_twice(running: cluster.Cluster) -> Step:
    """Sends one payment at two routers with one idempotency key."""
    answers = [
        running.caller(index).call(
            "/payment", b'{"runner": 7}', idempotency_key="press-1"
        )
        for index in (0, 1)
    ]
    runs_count = len(running.runs())
    same = answers[0].body == answers[1].body
    held = runs_count == 1 and same and answers[0].status == 200
    detail = f"2 presses at 2 routers, {runs_count} run, same answer: {same}"
    return Step("non-idempotent call", held, detail)


def _change_roles(running: cluster.Cluster) -> Step:
    wanted = sorted(["prefill", "decode"] * len(_ZONES))

    def changed() -> bool:
        seen = running.status(running.routers[0])["engines"]
        ready = [e["seen_role"] for e in seen if e["seen_state"] == "ready"]
        return sorted(ready) == wanted

    cluster.wait_until(changed, "roles as the rules ask", 60.0)
    logs = [engine.log() for engine in running.engines]
    orders = [order for log in logs for order in log["orders"]]
    changes_count = sum(o["action"] == "set-role" for o in orders)
    cut_count = sum(len(o["cut_request_ids"]) for o in orders)
    detail = f"{changes_count} orders, {cut_count} requests cut by them"
    return Step("role changes by the rules", cut_count == 0, detail)


def _stop_gracefully(running: cluster.Cluster) -> Step:
    router = running.routers[0]
    asking = gevent.spawn(
        running.caller(0).complete, _PROMPT, _LONG_ANSWER_TOKENS
    )
    cluster.wait_until(
        lambda: any(
            run["token_count"] > 0 and not run["finished"]
            for engine in running.engines
            for run in engine.log()["runs"]
        ),
        "a stream in flight",
    )
    stopping = gevent.spawn(router.process.stop)
    answer = asking.get()
    code = stopping.get()
    held = answer.is_whole() and code == 0
    detail = f"exit code {code}, stream in flight whole: {answer.is_whole()}"
    return Step("graceful stop of a router", held, detail)


def _audit(running: cluster.Cluster) -> Step:
    """Checks the promises against what the stand-ins logged."""
    history = collect.collect(
        engines={
            engine.vm_id: fleet.Address(cluster.LOOPBACK, engine.own_port)
            for engine in running.engines
        },
        backend_servers={
            backend.vm_id: fleet.Address(cluster.LOOPBACK, backend.own_port)
            for backend in running.backends
        },
        key_value=fleet.Address(**running.endpoint("key_value")),
    )
    violations = audit_checker.check(history)
    for violation in violations:
        print(violation)
    logs_count = len(running.engines) + len(running.backends) + 1
    held = not violations and not history["lost_logs"]
    detail = f"{logs_count} logs read, {len(violations)} violations"
    return Step("audit of the stand-ins' logs", held, detail)


_STEPS: tuple[Callable[[cluster.Cluster], Step], ...] = (
    _apply_rules,
    _stream,
    _press_twice,
    _change_roles,
    _stop_gracefully,
    _audit,
)


if __name__ == "__main__":
    sys.exit(main())

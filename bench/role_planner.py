"""Goodput and role changes through mix swings and shift handovers.

One zone is simulated in virtual time, event by event and seeded, with the
planner and the demand estimate that controllers use. The same arrivals meet
four planners: ours with the weights of both deployments, a split that never
changes, and an eager planner. Prints a table and one line of JSON.
"""

import argparse
import heapq
import json
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from mulberrywharf import fleet, settings
from mulberrywharf.authority import situation_builder
from mulberrywharf.policy import planner_baselines, role_planner

_PREFILL_TOKENS_PER_S = 4_000.0
_DECODE_TOKENS_PER_S = 800.0
_MIXED_SCALE = 0.65
_OTHER_SCALE = 0.1
_BATCH_COUNT = 32
_FASTEST_TOKEN_S = 0.010

_FIRST_TOKEN_TARGET_S = 1.3
_BETWEEN_TOKENS_TARGET_S = 0.028

_ENGINES_COUNT = 12
_STARTING_PREFILL_COUNT = 6
_AWAY_S = 8.0
_REPORT_LAG_S = 1.0
_TICK_S = 1.0
_RETRY_S = 0.1
_UTILISATION = 0.72

_SHIFT_S = 900.0
_SHIFTS_COUNT = 3
_PINNED_S = 120.0
"""How long a new shift pins the split that it expects to need."""


class Mix(NamedTuple):
    """A kind of traffic.

    Attributes:
        prompt_tokens: Mean of a request.
        output_tokens: Mean of a request.
    """

    prompt_tokens: float
    output_tokens: float

    def requests_per_s(self) -> float:
        """Returns the rate that loads the zone to ``_UTILISATION``."""
        prefill_s = self.prompt_tokens / _PREFILL_TOKENS_PER_S
        decode_s = self.output_tokens / _DECODE_TOKENS_PER_S
        return _UTILISATION * _ENGINES_COUNT / (prefill_s + decode_s)


_CONTRACTS = Mix(2_400.0, 150.0)
_ROSTERS = Mix(1_000.0, 250.0)
_WAIVERS = Mix(300.0, 300.0)
_MIXES = (_CONTRACTS, _ROSTERS, _WAIVERS)


class Phase(NamedTuple):
    """A stretch of one mix."""

    starts_s: float
    mix: Mix


class Engine:
    """One engine that works off what it was given, in order."""

    def __init__(self, engine_id: str, role: fleet.Role):
        self.engine_id = engine_id
        self.role: fleet.Role = role
        self.serving = True
        self.free_s = 0.0
        self.last_change_s = 0.0
        self.prompt_tokens_total = 0.0
        self.output_tokens_total = 0.0
        self._queue: deque[tuple[float, float, float]] = deque()

    def speed(self, kind: str) -> float:
        """Returns tokens a second for ``prefill`` or ``decode``."""
        is_prefill = kind == "prefill"
        base = _PREFILL_TOKENS_PER_S if is_prefill else _DECODE_TOKENS_PER_S
        if self.role == kind:
            return base
        return base * (_MIXED_SCALE if self.role == "mixed" else _OTHER_SCALE)

    def work(self, now_s: float, kind: str, tokens: float) -> float:
        """Queues work and returns when it is done."""
        self.free_s = max(now_s, self.free_s) + tokens / self.speed(kind)
        prompt, output = (tokens, 0.0) if kind == "prefill" else (0.0, tokens)
        self._queue.append((self.free_s, prompt, output))
        return self.free_s

    def report(self, now_s: float) -> fleet.LoadReport:
        """Returns what the engine would say of itself now."""
        while self._queue and self._queue[0][0] <= now_s:
            _, prompt, output = self._queue.popleft()
            self.prompt_tokens_total += prompt
            self.output_tokens_total += output
        count = len(self._queue)
        return fleet.LoadReport(
            engine_id=self.engine_id,
            role=self.role,
            state="ready" if self.serving else "changing",
            models=("verdict",),
            waiting_count=max(0, count - _BATCH_COUNT),
            running_count=min(count, _BATCH_COUNT),
            waiting_prompt_tokens=int(sum(item[1] for item in self._queue)),
            prefill_tokens_per_s=self.speed("prefill"),
            decode_tokens_per_s=self.speed("decode"),
            prompt_tokens_total=int(self.prompt_tokens_total),
            output_tokens_total=int(self.output_tokens_total),
            reported_unix_s=now_s,
        )


class Outcome(NamedTuple):
    """What one planner came to.

    Attributes:
        good_count: Requests that met both targets.
        request_count: All requests.
        change_count: Role changes.
        away_s: Seconds that engines were away.
    """

    good_count: int
    request_count: int
    change_count: int
    away_s: float


class Request(NamedTuple):
    """One request."""

    arrives_s: float
    prompt_tokens: float
    output_tokens: float


Planner = Callable[
    [role_planner.PlannerView, role_planner.PlannerSettings, float],
    role_planner.Plan,
]


class Simulation:
    """One planner against one trace."""

    def __init__(
        self,
        planner: Planner,
        options: role_planner.PlannerSettings,
        requests: list[Request],
        pins: "list[Pin]",
    ):
        self._planner = planner
        self._options = options
        self._requests = requests
        self._pins = pins
        self._engines = [
            Engine(
                f"engine-{index:02}",
                "prefill" if index < _STARTING_PREFILL_COUNT else "decode",
            )
            for index in range(_ENGINES_COUNT)
        ]
        self._tracker = situation_builder.DemandTracker()
        self._snapshots: deque[list[fleet.LoadReport]] = deque()
        self._change_ends_s: list[float] = []
        self._in_change_count = 0
        self._good_count = 0
        self._away_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_count = 0

    def run(self) -> Outcome:
        """Runs the whole trace."""
        for request in self._requests:
            self._at(request.arrives_s, self._arrive, request)
        self._at(_TICK_S, self._tick, None)
        last_s = self._requests[-1].arrives_s
        while self._events:
            now_s, _, action, subject = heapq.heappop(self._events)
            if action == self._tick and now_s > last_s:
                continue
            action(now_s, subject)
        return Outcome(
            self._good_count,
            len(self._requests),
            len(self._change_ends_s),
            self._away_s,
        )

    def _at(self, when_s: float, action: Callable[..., None], of: Any) -> None:
        self._event_count += 1
        event = (when_s, self._event_count, action, of)
        heapq.heappush(self._events, event)

    def _least_loaded(self, kind: str) -> Engine | None:
        able = [
            e for e in self._engines if e.serving and e.role in (kind, "mixed")
        ]
        return min(able, key=lambda e: e.free_s, default=None)

    def _arrive(self, now_s: float, request: Request) -> None:
        engine = self._least_loaded("prefill")
        if engine is None:
            self._at(now_s + _RETRY_S, self._arrive, request)
            return
        if self._is_hopeless(now_s, engine, request):
            return
        done_s = engine.work(now_s, "prefill", request.prompt_tokens)
        self._at(done_s, self._decode, (request, done_s))

    def _is_hopeless(
        self, now_s: float, engine: Engine, request: Request
    ) -> bool:
        """Tells whether routers would shed the request.

        Without this a wrong split would let queues grow for minutes, and
        the first one to come would decide the whole result.
        """
        wait_s = max(0.0, engine.free_s - now_s)
        prefill_s = request.prompt_tokens / engine.speed("prefill")
        arrived_s = now_s - request.arrives_s
        if arrived_s + wait_s + prefill_s > _FIRST_TOKEN_TARGET_S:
            return True
        decoding = self._least_loaded("decode")
        if decoding is None:
            return True
        spare_s = _BETWEEN_TOKENS_TARGET_S - _FASTEST_TOKEN_S
        backlog_s = decoding.free_s - now_s
        return backlog_s > request.output_tokens * spare_s

    def _decode(self, now_s: float, subject: tuple[Request, float]) -> None:
        request, first_token_s = subject
        engine = self._least_loaded("decode")
        if engine is None:
            self._at(now_s + _RETRY_S, self._decode, subject)
            return
        done_s = engine.work(now_s, "decode", request.output_tokens)
        done_s += request.output_tokens * _FASTEST_TOKEN_S
        between_s = (done_s - first_token_s) / request.output_tokens
        in_time = first_token_s - request.arrives_s <= _FIRST_TOKEN_TARGET_S
        if in_time and between_s <= _BETWEEN_TOKENS_TARGET_S:
            self._good_count += 1

    def _tick(self, now_s: float, _: None) -> None:
        self._snapshots.append([e.report(now_s) for e in self._engines])
        while self._snapshots[0][0].reported_unix_s < now_s - _REPORT_LAG_S:
            self._snapshots.popleft()
        plan = self._planner(self._view(now_s), self._options, now_s)
        if isinstance(plan, role_planner.RoleChange):
            self._begin_change(now_s, plan)
        self._at(now_s + _TICK_S, self._tick, None)

    def _view(self, now_s: float) -> role_planner.PlannerView:
        reports = self._snapshots[0]
        self._tracker.observe(reports)
        age_s = now_s - reports[0].reported_unix_s
        demand = self._tracker.demand(
            [situation_builder.AgedReport(r, age_s) for r in reports]
        )
        speeds = situation_builder.dedicated_speeds(reports)
        return role_planner.PlannerView(
            engines=tuple(
                role_planner.PlannerEngine(
                    engine_id=report.engine_id,
                    role=report.role,
                    usable=report.state == "ready",
                    prefill_tokens_per_s=speeds[
                        report.engine_id
                    ].prefill_tokens_per_s,
                    decode_tokens_per_s=speeds[
                        report.engine_id
                    ].decode_tokens_per_s,
                    running_count=report.running_count,
                    report_age_s=age_s,
                    reported_unix_s=report.reported_unix_s,
                    last_change_unix_s=engine.last_change_s,
                )
                for report, engine in zip(reports, self._engines, strict=True)
            ),
            demand=demand,
            target=self._pinned(now_s),
            changing_count=self._in_change_count,
            change_ends_unix_s=tuple(self._change_ends_s),
        )

    def _pinned(self, now_s: float) -> role_planner.RoleCounts | None:
        for pin in self._pins:
            if pin.starts_s <= now_s < pin.starts_s + _PINNED_S:
                return pin.counts
        return None

    def _begin_change(
        self, now_s: float, plan: role_planner.RoleChange
    ) -> None:
        engine = next(e for e in self._engines if e.engine_id == plan.engine_id)
        engine.serving = False
        self._in_change_count += 1
        idle_s = max(now_s, engine.free_s)
        self._away_s += idle_s + _AWAY_S - now_s
        self._at(idle_s + _AWAY_S, self._end_change, (engine, plan.role))

    def _end_change(
        self, now_s: float, subject: tuple[Engine, fleet.Role]
    ) -> None:
        engine, role = subject
        engine.role = role
        engine.serving = True
        engine.last_change_s = now_s
        self._in_change_count -= 1
        self._change_ends_s.append(now_s)


class Pin(NamedTuple):
    """A split that a new shift fixes for a while."""

    starts_s: float
    counts: role_planner.RoleCounts


def phases(rand: random.Random) -> list[Phase]:
    """Returns mix swings: some last, some are over before they matter."""
    end_s = _SHIFT_S * _SHIFTS_COUNT
    result = []
    now_s = 0.0
    mix = _ROSTERS
    while now_s < end_s:
        result.append(Phase(now_s, mix))
        is_short = rand.random() < 0.4
        now_s += rand.uniform(10, 30) if is_short else rand.uniform(120, 360)
        mix = rand.choice([m for m in _MIXES if m is not mix])
    return result


def trace(rand: random.Random, swings: list[Phase]) -> list[Request]:
    """Returns the arrivals of all phases."""
    requests = []
    end_s = _SHIFT_S * _SHIFTS_COUNT
    ends = [*(phase.starts_s for phase in swings[1:]), end_s]
    for phase, phase_end_s in zip(swings, ends, strict=True):
        now_s = phase.starts_s
        while True:
            now_s += rand.expovariate(phase.mix.requests_per_s())
            if now_s >= phase_end_s:
                break
            prompt = rand.uniform(0.5, 1.5) * phase.mix.prompt_tokens
            output = rand.uniform(0.5, 1.5) * phase.mix.output_tokens
            requests.append(Request(now_s, prompt, output))
    return requests


def pins(rand: random.Random) -> list[Pin]:
    """Returns what each new shift fixes at its handover."""
    result = []
    for shift in range(1, _SHIFTS_COUNT):
        prefill = rand.randint(4, 8)
        counts = role_planner.RoleCounts(prefill, _ENGINES_COUNT - prefill, 0)
        result.append(Pin(shift * _SHIFT_S, counts))
    return result


_BASE = role_planner.PlannerSettings(unavailable_s=_AWAY_S)
_EXAMPLES = {
    "prairie": "examples/prairie/regina-hall-controller.json",
    "solano": "examples/solano/nave-heredia-controller.json",
}


def _options(deployment: str) -> role_planner.PlannerSettings:
    """Reads a deployment's weights from its example settings."""
    config = settings.load(_EXAMPLES[deployment]).unwrap()
    options = role_planner.PlannerSettings.from_config(config)
    return options._replace(unavailable_s=_AWAY_S)


def _cases() -> dict[str, tuple[Planner, role_planner.PlannerSettings]]:
    return {
        "prairie": (role_planner.plan, _options("prairie")),
        "solano": (role_planner.plan, _options("solano")),
        "static": (planner_baselines.plan_static, _BASE),
        "eager": (planner_baselines.plan_eager, _BASE),
    }


def main() -> None:
    """Runs every planner over every seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds_count = parser.parse_args().seeds
    begun_s = time.monotonic()
    figures: dict[str, Any] = {}
    for name, (planner, options) in _cases().items():
        outcomes = [_run(planner, options, seed) for seed in range(seeds_count)]
        figures[name] = _summary(outcomes)
    for name in ("prairie", "solano", "eager"):
        figures[name]["goodput_over_static"] = _ratio(
            figures[name]["goodput_share"], figures["static"]["goodput_share"]
        )
        figures[name]["changes_over_eager"] = _ratio(
            figures[name]["role_changes"], figures["eager"]["role_changes"]
        )
    figures["seeds"] = seeds_count
    figures["wall_s"] = round(time.monotonic() - begun_s, 1)
    _print_table(figures)
    print(json.dumps(figures))


def _run(
    planner: Planner, options: role_planner.PlannerSettings, seed: int
) -> Outcome:
    rand = random.Random(seed)
    requests = trace(rand, phases(rand))
    return Simulation(planner, options, requests, pins(rand)).run()


def _summary(outcomes: list[Outcome]) -> dict[str, Any]:
    good = sum(o.good_count for o in outcomes)
    return {
        "goodput_share": round(
            good / sum(o.request_count for o in outcomes), 4
        ),
        "role_changes": sum(o.change_count for o in outcomes),
        "away_s": round(sum(o.away_s for o in outcomes), 0),
    }


def _ratio(figure: float, base: float) -> float:
    return round(figure / base, 3) if base else 0.0


def _print_table(figures: dict[str, Any]) -> None:
    print(f"{'planner':10} {'goodput':>8} {'changes':>8} {'away s':>8}")
    for name in _cases():
        row = figures[name]
        print(
            f"{name:10} {row['goodput_share']:8.3f} "
            f"{row['role_changes']:8} {row['away_s']:8.0f}"
        )


if __name__ == "__main__":
    main()

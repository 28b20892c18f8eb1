"""Which engine should change its role next, if any.

A change takes an engine away for seconds and pays back only while the mix of
prompt and output tokens stays as it is. The planner predicts both over a
horizon and weighs them as the deployment's settings say. Where the rules fix
the split, the planner only chooses the engine and paces the changes.
"""

import functools
from collections.abc import Sequence
from typing import NamedTuple

from mulberrywharf import fleet, settings

ROLES: tuple[fleet.Role, ...] = ("prefill", "decode", "mixed")

MIXED_EFFICIENCY = 0.7
"""Assumed speed of a mixed engine against a dedicated one."""

_DEFAULT_AWAY_S = 8.0
_BISECTION_STEPS = 24
_MAX_COVER = 4.0
_TINY = 1e-9


class PlannerSettings(NamedTuple):
    """What the planner weighs.

    Attributes:
        goodput_weight: Weight of one second of the zone's whole goodput.
        role_change_weight: Weight of one role change, each of which counts
            as ``change_price_s`` seconds of goodput.
        change_price_s: See there.
        min_gain_s: Predicted gain below which a change isn't made even when
            changes are free: predictions are too rosy by about as much.
        away_s: How long a role change takes an engine away.
        horizon_s: How long a mix is trusted to last.
        dwell_s: How long an engine keeps a role that it was given.
        budget_count: Most free changes within ``budget_window_s``.
        budget_window_s: Length of the sliding window of the budget.
        hysteresis_share: Goodput that a change must win at least.
        headroom: Capacity over demand from which on waiting is short.
        mixed_efficiency: Speed of a mixed engine against a dedicated one;
            prefill steps delay its decode steps.
        stale_after_s: Age from which on a picture is not acted on.
        clock_margin_s: Allowed error between clocks.
    """

    goodput_weight: float = 1.0
    role_change_weight: float = 1.0
    change_price_s: float = 5.0
    min_gain_s: float = 12.0
    away_s: float = _DEFAULT_AWAY_S
    horizon_s: float = 150.0
    dwell_s: float = 15.0
    budget_count: int = 120
    budget_window_s: float = 3600.0
    hysteresis_share: float = 0.02
    headroom: float = 1.2
    mixed_efficiency: float = MIXED_EFFICIENCY
    stale_after_s: float = 20.0
    clock_margin_s: float = settings.DEFAULT_CLOCK_MARGIN_S

    @classmethod
    def from_config(cls, config: settings.Settings) -> "PlannerSettings":
        """Reads the deployment's weights; the rest keeps its default."""
        controller = config.get("controller", {})
        return cls(
            goodput_weight=controller.get("goodput_weight", 1.0),
            role_change_weight=controller.get("role_change_weight", 1.0),
            away_s=controller.get("role_change_away_s", _DEFAULT_AWAY_S),
            clock_margin_s=controller.get(
                "clock_margin_s", settings.DEFAULT_CLOCK_MARGIN_S
            ),
        )


class PlannerEngine(NamedTuple):
    """One engine as the planner sees it.

    Attributes:
        engine_id: The engine.
        role: The role that it plays.
        usable: Whether it serves and may be changed.
        prefill_tokens_per_s: Its speed when it only prefills.
        decode_tokens_per_s: Its speed when it only decodes.
        running_count: Requests that a drain would have to wait for.
        report_age_s: Age of all this.
        reported_unix_s: When the engine took the figures.
        last_change_unix_s: When its last change ended, or 0.
    """

    engine_id: str
    role: fleet.Role
    usable: bool
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    running_count: int = 0
    report_age_s: float = 0.0
    reported_unix_s: float = 0.0
    last_change_unix_s: float = 0.0


class Demand(NamedTuple):
    """What callers ask of the zone.

    Attributes:
        prompt_tokens_per_s: Prompt tokens that arrive.
        output_tokens_per_s: Output tokens that are wanted.
        age_s: How old the figures are.
    """

    prompt_tokens_per_s: float
    output_tokens_per_s: float
    age_s: float


class RoleCounts(NamedTuple):
    """A split that the rules fix."""

    prefill_count: int
    decode_count: int
    mixed_count: int


class PlannerView(NamedTuple):
    """The zone at one instant.

    Attributes:
        engines: All engines that the zone may use.
        demand: None while nothing was measured.
        target: The split that the rules fix, or None to plan freely.
        in_change_count: Engines that drain for or are in a change.
        change_ends_unix_s: When recent free changes ended, for the budget.
    """

    engines: tuple[PlannerEngine, ...]
    demand: Demand | None
    target: RoleCounts | None = None
    in_change_count: int = 0
    change_ends_unix_s: tuple[float, ...] = ()


class RoleChange(NamedTuple):
    """One engine is to change its role.

    Attributes:
        engine_id: The engine.
        role: Its next role.
        reason: Why, for operators.
        gain_s: Predicted gain in seconds of the zone's goodput.
    """

    engine_id: str
    role: fleet.Role
    reason: str
    gain_s: float = 0.0


class Stay(NamedTuple):
    """No engine changes its role now.

    Attributes:
        reason: Why, for operators.
    """

    reason: str


Plan = RoleChange | Stay


def plan(
    view: PlannerView, options: PlannerSettings, now_unix_s: float
) -> Plan:
    """Decides on the next role change.

    Args:
        view: The zone.
        options: What to weigh.
        now_unix_s: Wall clock.
    """
    if view.in_change_count > 0:
        return Stay("an engine of the zone is in a change")
    if view.target is not None:
        return _toward_target(view.engines, view.target)
    held = _held_back(view, options, now_unix_s)
    if held is not None:
        return held
    return _best_gain(view, options, now_unix_s)


def _toward_target(
    engines: Sequence[PlannerEngine], target: RoleCounts
) -> Plan:
    """Picks the engine whose change costs callers least.

    The rules fix the split; neither gain nor dwell argues with them.
    """
    surplus = surplus_by_role(engines, target)
    wanted_role = min(ROLES, key=lambda role: surplus[role])
    movable = [e for e in engines if e.usable and surplus[e.role] > 0]
    if surplus[wanted_role] >= 0 or not movable:
        return Stay("the split is as the rules say")
    engine = min(movable, key=lambda e: (e.running_count, e.engine_id))
    return RoleChange(
        engine.engine_id,
        wanted_role,
        f"the rules ask for {_describe(target)}",
    )


def surplus_by_role(
    engines: Sequence[PlannerEngine], target: RoleCounts
) -> dict[fleet.Role, int]:
    """Returns how many engines each role has over the target."""
    return {
        role: _count(engines, role) - wanted
        for role, wanted in zip(ROLES, target, strict=True)
    }


def _count(engines: Sequence[PlannerEngine], role: fleet.Role) -> int:
    return sum(1 for engine in engines if engine.role == role)


def _describe(target: RoleCounts) -> str:
    return (
        f"{target.prefill_count} prefill, {target.decode_count} decode, "
        f"{target.mixed_count} mixed"
    )


def _held_back(
    view: PlannerView, options: PlannerSettings, now_unix_s: float
) -> Stay | None:
    """Names what forbids any free change now, if anything does."""
    if view.demand is None or view.demand.age_s > options.stale_after_s:
        return Stay("the demand is unknown or too old")
    window_start_s = now_unix_s - options.budget_window_s
    recent = [t for t in view.change_ends_unix_s if t > window_start_s]
    if len(recent) >= options.budget_count:
        return Stay("the budget of changes is spent")
    # Reports lag. One that was taken before the last change ended still
    # shows the old split; planning on it would order the same change again.
    last_end_s = max(view.change_ends_unix_s, default=0.0)
    fresh_from_s = last_end_s + options.clock_margin_s
    if any(
        e.usable and e.reported_unix_s <= fresh_from_s for e in view.engines
    ):
        return Stay("reports from after the last change are awaited")
    return None


def _best_gain(
    view: PlannerView, options: PlannerSettings, now_unix_s: float
) -> Plan:
    assert view.demand is not None
    usable = [e for e in view.engines if e.usable]
    before = served_share(usable, view.demand, options)
    best: RoleChange | None = None
    for engine in _one_of_each_role(usable, options, now_unix_s):
        others = [e for e in usable if e is not engine]
        during = served_share(others, view.demand, options)
        for role in ROLES:
            if role == engine.role:
                continue
            after = served_share(
                [*others, engine._replace(role=role)], view.demand, options
            )
            if after - before < options.hysteresis_share:
                continue
            gain_s = _gain_s(before, during, after, view.demand, options)
            if best is None or gain_s > best.gain_s:
                best = RoleChange(
                    engine.engine_id,
                    role,
                    f"served share {before:.2f} to {after:.2f} predicted",
                    gain_s,
                )
    if best is None:
        return Stay("no change wins enough goodput")
    cost = options.role_change_weight * options.change_price_s
    worth = options.goodput_weight * best.gain_s
    if worth <= cost or best.gain_s <= options.min_gain_s:
        return Stay(
            f"a predicted gain of {best.gain_s:.1f} s is not worth a change"
        )
    return best


def _one_of_each_role(
    engines: Sequence[PlannerEngine],
    options: PlannerSettings,
    now_unix_s: float,
) -> list[PlannerEngine]:
    """Returns the least busy engine of each role that has dwelt in it."""
    chosen: dict[fleet.Role, PlannerEngine] = {}
    for engine in sorted(engines, key=lambda e: e.running_count):
        dwelt_s = now_unix_s - engine.last_change_unix_s
        fresh = engine.report_age_s <= options.stale_after_s
        if fresh and dwelt_s >= options.dwell_s:
            chosen.setdefault(engine.role, engine)
    return list(chosen.values())


def _gain_s(
    before: float,
    during: float,
    after: float,
    demand: Demand,
    options: PlannerSettings,
) -> float:
    """Returns the goodput won less that lost, in seconds of all demand.

    An old picture shortens the horizon: the mix has lasted that long
    already without being seen.
    """
    horizon_s = max(0.0, options.horizon_s - demand.age_s - options.away_s)
    return (after - before) * horizon_s - (before - during) * options.away_s


def served_share(
    engines: Sequence[PlannerEngine], demand: Demand, options: PlannerSettings
) -> float:
    """Predicts the share of the demand that is served in time, 0 to 1."""
    cover = _cover(engines, demand, options.mixed_efficiency)
    return min(1.0, cover / options.headroom)


def _cover(
    engines: Sequence[PlannerEngine], demand: Demand, mixed_efficiency: float
) -> float:
    """Returns how many times over the engines could carry the demand.

    Mixed engines share their time between both kinds of work, so the cover
    is the largest factor whose remaining work fits into their time.
    """
    low, high = 0.0, _MAX_COVER
    capacity = _capacity(engines, mixed_efficiency)
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        if _mixed_time_needed(capacity, demand, middle) <= 1.0:
            low = middle
        else:
            high = middle
    return low


class _Capacity(NamedTuple):
    """Tokens a second, by kind of engine."""

    prefill: float
    decode: float
    mixed_prefill: float
    mixed_decode: float


def _capacity(
    engines: Sequence[PlannerEngine], mixed_efficiency: float
) -> _Capacity:
    mixed = [e for e in engines if e.role == "mixed"]
    return _Capacity(
        sum(e.prefill_tokens_per_s for e in engines if e.role == "prefill"),
        sum(e.decode_tokens_per_s for e in engines if e.role == "decode"),
        sum(e.prefill_tokens_per_s for e in mixed) * mixed_efficiency,
        sum(e.decode_tokens_per_s for e in mixed) * mixed_efficiency,
    )


def _mixed_time_needed(
    capacity: _Capacity, demand: Demand, factor: float
) -> float:
    prompt = demand.prompt_tokens_per_s * factor - capacity.prefill
    output = demand.output_tokens_per_s * factor - capacity.decode
    return _time(prompt, capacity.mixed_prefill) + _time(
        output, capacity.mixed_decode
    )


def _time(tokens_per_s: float, speed_tokens_per_s: float) -> float:
    if tokens_per_s <= _TINY:
        return 0.0
    if speed_tokens_per_s <= 0:
        return float("inf")
    return tokens_per_s / speed_tokens_per_s


@functools.singledispatch
def describe(decision: object) -> str:
    """Says in a line what was decided and why."""
    raise TypeError(f"not a plan: {decision!r}")


@describe.register
def _describe_change(decision: RoleChange) -> str:
    return f"{decision.engine_id} to {decision.role}: {decision.reason}"


@describe.register
def _describe_stay(decision: Stay) -> str:
    return f"no change: {decision.reason}"

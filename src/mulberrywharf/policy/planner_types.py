"""What the role planner takes and gives: the zone, the weights, the decision.

``policy.role_planner`` names all of these too; modules that only pass them on
may take them from there.
"""

from typing import NamedTuple

from mulberrywharf import fleet, settings

ROLES: tuple[fleet.Role, ...] = ("prefill", "decode", "mixed")

MIXED_EFFICIENCY = 0.7
"""Assumed speed of a mixed engine against a dedicated one."""

_DEFAULT_AWAY_S = 8.0


class PlannerSettings(NamedTuple):
    """What the planner weighs.

    Attributes:
        goodput_weight: Weight of one second of the zone's whole goodput.
        role_change_weight: Weight of one role change, each of which counts
            as ``change_price_s`` seconds of goodput.
        change_price_s: See there.
        min_gain_s: Predicted gain below which a change isn't made even when
            changes are free: predictions exceed the real gain by about as much.
        away_s: How long a role change takes an engine away.
        horizon_s: How long a mix is trusted to last.
        dwell_s: How long an engine keeps a role that it was given.
        budget_count: Most free changes within ``budget_window_s``.
        budget_window_s: Length of the sliding window of the budget.
        hysteresis_share: Goodput that a change must win at least.
        headroom: Capacity over demand from which on waiting is short.
        mixed_efficiency: Speed of a mixed engine against a dedicated one;
            prefill steps delay its decode steps.
        stale_after_s: Age from which on a report is not acted on.
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
        role: Its role.
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
"""What ``role_planner.plan`` decides."""

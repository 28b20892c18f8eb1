"""Types of the role planner: the zone, the settings and the decision.

``policy.role_planner`` re-exports these names for its callers.
"""

from typing import NamedTuple

from mulberrywharf import fleet, settings

ROLES: tuple[fleet.Role, ...] = ("prefill", "decode", "mixed")

MIXED_EFFICIENCY = 0.7
"""Assumed speed of a mixed engine relative to a dedicated engine."""

_DEFAULT_AWAY_S = 8.0


class PlannerSettings(NamedTuple):
    """Weights and limits of the planner.

    Attributes:
        goodput_weight: Weight of one second of the zone's full goodput.
        role_change_weight: Weight of the cost of a role change.
        change_cost_s: Cost of a role change, in seconds of the zone's full
            goodput.
        min_gain_s: Predicted gain, in seconds of full goodput, that a change
            must exceed even if its cost has weight 0. Predictions exceed the
            actual gain by about this much.
        unavailable_s: Time for which a role change makes an engine unavailable.
        horizon_s: Time for which the mix of prompt and output tokens is
            assumed to last.
        dwell_s: Minimum time that an engine keeps a role.
        budget_count: Number of role changes within ``budget_window_s`` after
            which the planner makes no more, unless the rules fix the split.
        budget_window_s: Length of the budget's sliding window.
        hysteresis_share: Minimum increase of the served share of the demand
            that a change must be predicted to bring.
        headroom: Ratio of capacity to demand at which waits become short.
        mixed_efficiency: Speed of a mixed engine relative to a dedicated
            engine; its prefill steps delay its decode steps.
        stale_after_s: Age above which reports and demand are not acted on.
        clock_margin_s: Allowed difference between clocks.
    """

    goodput_weight: float = 1.0
    role_change_weight: float = 1.0
    change_cost_s: float = 5.0
    min_gain_s: float = 12.0
    unavailable_s: float = _DEFAULT_AWAY_S
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
        """Reads what the deployment sets; other fields keep their defaults."""
        controller = config.get("controller", {})
        return cls(
            goodput_weight=controller.get("goodput_weight", 1.0),
            role_change_weight=controller.get("role_change_weight", 1.0),
            unavailable_s=controller.get("role_change_away_s", _DEFAULT_AWAY_S),
            clock_margin_s=controller.get(
                "clock_margin_s", settings.DEFAULT_CLOCK_MARGIN_S
            ),
        )


class PlannerEngine(NamedTuple):
    """One engine as the planner sees it.

    Attributes:
        engine_id: ID of the engine.
        role: Current role.
        usable: Whether the engine may serve requests and change its role.
        prefill_tokens_per_s: Prefill speed when it only prefills.
        decode_tokens_per_s: Decode speed when it only decodes.
        running_count: Running requests, which a drain has to wait for.
        report_age_s: Age of the engine's report.
        reported_unix_s: Time at which the engine measured the report.
        last_change_unix_s: Time of the engine's last role change, 0 if none.
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
    """Token rates that callers request from the zone.

    Attributes:
        prompt_tokens_per_s: Rate of prompt tokens that arrive.
        output_tokens_per_s: Rate of output tokens that are to be generated.
        age_s: Age of the rates.
    """

    prompt_tokens_per_s: float
    output_tokens_per_s: float
    age_s: float


class RoleCounts(NamedTuple):
    """Number of engines of each role, as fixed by the rules."""

    prefill_count: int
    decode_count: int
    mixed_count: int


class PlannerView(NamedTuple):
    """State of the zone at one instant.

    Attributes:
        engines: All engines that the zone may use.
        demand: The measured demand, None before the first measurement.
        target: The role split that the rules fix, None if they fix none.
        changing_count: Engines that are being changed, or drained for a
            change.
        change_ends_unix_s: End times of recent role changes, which count
            against the budget.
    """

    engines: tuple[PlannerEngine, ...]
    demand: Demand | None
    target: RoleCounts | None = None
    changing_count: int = 0
    change_ends_unix_s: tuple[float, ...] = ()


class RoleChange(NamedTuple):
    """Decision to change the role of one engine.

    Attributes:
        engine_id: ID of the engine.
        role: Its next role.
        reason: Reason shown to operators.
        gain_s: Predicted gain, in seconds of the zone's full goodput.
    """

    engine_id: str
    role: fleet.Role
    reason: str
    gain_s: float = 0.0


class Stay(NamedTuple):
    """Decision to change no role now.

    Attributes:
        reason: Reason shown to operators.
    """

    reason: str


Plan = RoleChange | Stay
"""Decision of ``role_planner.plan``."""

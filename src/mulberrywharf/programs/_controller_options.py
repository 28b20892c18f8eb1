"""What the settings say about a controller's rounds."""

from typing import NamedTuple

from mulberrywharf import settings
from mulberrywharf.authority import quiet_time
from mulberrywharf.policy import role_planner

_DEFAULT_EVALUATE_INTERVAL_S = 1.0


class ZoneOptions(NamedTuple):
    """What the settings say about the rounds.

    Attributes:
        vm_id: This entry VM.
        availability_zone: Whose engines are ruled.
        evaluate_interval_s: Between rounds while all is calm.
        clock_margin_s: Allowed error between clocks.
        user_timeout_s: How long order bytes may live.
        quiet: When a new holder may order which engine.
        planner: What the role planner weighs.
    """

    vm_id: str
    availability_zone: str
    evaluate_interval_s: float
    clock_margin_s: float
    user_timeout_s: float
    quiet: quiet_time.QuietTime
    planner: role_planner.PlannerSettings

    @classmethod
    def from_config(
        cls, config: settings.Settings, ttl_s: float
    ) -> "ZoneOptions":
        """Reads what the rounds need.

        Args:
            config: Settings of the process.
            ttl_s: Length of the lease as the service knows it.
        """
        controller = config.get("controller", {})
        margin_s = clock_margin_s(config)
        timeout_s = user_timeout_s(config)
        kinds = config.get("engines", {}).get("fencing_checking_kinds", [])
        return cls(
            vm_id=config["vm_id"],
            availability_zone=config["availability_zone"],
            evaluate_interval_s=controller.get(
                "evaluate_interval_s", _DEFAULT_EVALUATE_INTERVAL_S
            ),
            clock_margin_s=margin_s,
            user_timeout_s=timeout_s,
            quiet=quiet_time.QuietTime(
                ttl_s, timeout_s, margin_s, frozenset(kinds)
            ),
            planner=role_planner.PlannerSettings.from_config(config),
        )


def clock_margin_s(config: settings.Settings) -> float:
    """Returns the allowed error between clocks."""
    controller = config.get("controller", {})
    return controller.get("clock_margin_s", settings.DEFAULT_CLOCK_MARGIN_S)


def user_timeout_s(config: settings.Settings) -> float:
    """Returns how long unacknowledged order bytes may live."""
    controller = config.get("controller", {})
    return controller.get(
        "order_user_timeout_s", settings.DEFAULT_ORDER_USER_TIMEOUT_S
    )

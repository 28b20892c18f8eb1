"""Settings of a controller's evaluation rounds."""

from typing import NamedTuple

from mulberrywharf import settings
from mulberrywharf.authority import takeover_delay
from mulberrywharf.policy import role_planner

_DEFAULT_EVALUATE_INTERVAL_S = 1.0


class ZoneOptions(NamedTuple):
    """Settings of the evaluation rounds.

    Attributes:
        vm_id: Id of this entry VM.
        availability_zone: Zone whose engines are controlled.
        evaluate_interval_s: Time between rounds while no order is in flight.
        clock_margin_s: Allowed difference between clocks, in seconds.
        user_timeout_s: How long sent order bytes may stay unacknowledged, in
            seconds.
        delay_after_takeover: From when a new lease holder may send orders to an
            engine.
        planner: Settings of the role planner.
    """

    vm_id: str
    availability_zone: str
    evaluate_interval_s: float
    clock_margin_s: float
    user_timeout_s: float
    delay_after_takeover: takeover_delay.TakeoverDelay
    planner: role_planner.PlannerSettings

    @classmethod
    def from_config(
        cls, config: settings.Settings, ttl_s: float
    ) -> "ZoneOptions":
        """Makes the options from the settings of the process.

        Args:
            config: Settings of the process.
            ttl_s: Length of the lease in seconds, as the service counts it.
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
            delay_after_takeover=takeover_delay.TakeoverDelay(
                ttl_s, timeout_s, margin_s, frozenset(kinds)
            ),
            planner=role_planner.PlannerSettings.from_config(config),
        )


def clock_margin_s(config: settings.Settings) -> float:
    """Returns the allowed difference between clocks, in seconds."""
    controller = config.get("controller", {})
    return controller.get("clock_margin_s", settings.DEFAULT_CLOCK_MARGIN_S)


def user_timeout_s(config: settings.Settings) -> float:
    """Returns how long sent order bytes may stay unacknowledged."""
    controller = config.get("controller", {})
    return controller.get(
        "order_user_timeout_s", settings.DEFAULT_ORDER_USER_TIMEOUT_S
    )

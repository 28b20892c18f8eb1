"""Applies the configuration in force to a router."""

from mulberrywharf import clock, rules
from mulberrywharf.callers import server
from mulberrywharf.operators import audit
from mulberrywharf.platform_service import config_follower, configuration
from mulberrywharf.policy import limits
from mulberrywharf.requests import standing


class RouterConfiguration:
    """Passes each new configuration to the parts that depend on it."""

    def __init__(
        self,
        follower: config_follower.ConfigFollower,
        customer_limits: limits.CustomerLimits,
        audit_log: audit.AuditLog,
        system_clock: clock.Clock,
    ):
        self._follower = follower
        self._limits = customer_limits
        self._audit = audit_log
        self._clock = system_clock
        self._catalogue: server.Catalogue | None = None
        self._standings = standing.Standings()
        self._actions: rules.Actions = {}

    def start(self) -> None:
        """Applies the configuration in force and each later one."""
        self._follower.on_change(self._on_configuration)

    def catalogue(self) -> server.Catalogue | None:
        """Returns who may call what; None before the first configuration."""
        return self._catalogue

    def standings(self) -> standing.Standings:
        """Returns the customers' weights and priorities."""
        return self._standings

    def apply_actions(self, actions: rules.Actions) -> None:
        """Applies the actions of the rule in force that concern a router."""
        if actions != self._actions:
            self._actions = actions
            self._apply()

    def _on_configuration(
        self, new_configuration: configuration.Configuration
    ) -> None:
        self._catalogue = server.Catalogue.from_config(
            new_configuration.document
        )
        self._apply()
        self._audit.record(
            audit.ConfigurationActivated(
                new_configuration.version,
                new_configuration.author,
                new_configuration.change_id,
            )
        )

    def _apply(self) -> None:
        current = self._follower.current()
        if current is None:
            return
        self._standings = standing.Standings.from_config(
            current.document, prefer_zone=self._actions.get("prefer_zone", "")
        )
        customer_limits = standing.customer_limits(
            current.document, self._actions.get("limit")
        )
        self._limits.set_limits(customer_limits, self._clock.monotonic_s())

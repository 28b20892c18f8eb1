"""Logs when a service's servers become unreachable from this gateway."""

import math

from loguru import logger

from mulberrywharf import fleet, metrics
from mulberrywharf.policy import reachability

_unreachable_total = metrics.counter(
    "mulberry_roles_unreachable_total",
    "How often no server of a service and role was reachable any more.",
)
_unreachable_gauge = metrics.gauge(
    "mulberry_roles_unreachable_count",
    "Roles without a server that this gateway reaches, by service.",
)
_LOGGED_SERVERS_COUNT = 8


class PathLog:
    """Logs the changes of the roles without a reachable server."""

    def __init__(self, servers: reachability.Reachability):
        self._servers = servers
        self._unreachable: dict[str, frozenset[fleet.Role | None]] = {}

    def note_change(self, service: str, now_s: float) -> None:
        """Logs the roles of a service that have just changed."""
        before = self._unreachable.get(service, frozenset())
        after = self._servers.unreachable_roles(service)
        if after == before:
            return
        self._unreachable[service] = after
        _unreachable_gauge.set({"service": service}, len(after))
        for role in after - before:
            _unreachable_total.inc({"service": service, "role": _name(role)})
            logger.bind(
                service=service,
                role=_name(role),
                servers=self._describe(service, role, now_s),
            ).warning("no server of a role is reachable")
        for role in before - after:
            logger.bind(service=service, role=_name(role)).info(
                "a server of a role is reachable again"
            )

    def _describe(
        self, service: str, role: fleet.Role | None, now_s: float
    ) -> list[str]:
        found = [
            one
            for one in self._servers.unreachable(service, now_s)
            if one.server.role == role
        ]
        return [_describe(one) for one in found[:_LOGGED_SERVERS_COUNT]]


def _name(role: fleet.Role | None) -> str:
    return role or "plain"


def _describe(one: reachability.UnreachableServer) -> str:
    return (
        f"{one.server.server_id}: {one.cause} {one.unreachable_s:.3f} s ago,"
        f" own contact {_age(one.own_contact_s)},"
        f" others' contact {_age(one.others_contact_s)}"
    )


def _age(age_s: float) -> str:
    return f"{age_s:.3f} s ago" if math.isfinite(age_s) else "never"

"""Orders engines into the roles that their load asks for.

One gateway of the fleet does so, the one that holds the right to. Each round
begins with what engines say of themselves; nothing is remembered of the rounds
before but the loads' means and an order that is not settled yet.
"""

import json
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import gevent
import gevent.pool
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics
from mulberrywharf.authority import role_holder
from mulberrywharf.engines import role_orders
from mulberrywharf.policy import role_split

ROUND_S = 1.0
"""Between two rounds: a report costs a little, and loads are averaged over
some seconds."""

UNSETTLED_S = 10.0
"""An order without an answer may be carried out for some seconds more. Until
then, or until the engine shows what became of it, no other one is sent; later
it can do no harm, since an engine that took another order meanwhile refuses
it by its number of orders."""

REPORTING_SHARE = 0.75
"""Part of the engines that have to report. Some may have crashed a moment ago;
where more are silent this gateway is cut off from an availability zone, and
what it sees is no picture of the fleet."""

CALM_S = 3.0
"""After the store failed a call the list of engines may be old for so long."""

_CONCURRENT_REPORTS_COUNT = 16

_orders_total = metrics.counter(
    "mulberry_role_orders_total", "Orders to change a role, by outcome."
)


class Engines(Protocol):
    """The engines that there are."""

    def engines(self) -> dict[str, tuple[fleet.Server, ...]]:
        """Returns the engines of each service that may get new work."""
        ...

    def may_ask(self, server: fleet.Server) -> bool:
        """Tells whether an engine takes anything of this node now."""
        ...

    def trouble_age_s(self) -> float:
        """Returns how long ago the list was last in doubt."""
        ...

    def wanted_prefill(self, service: str) -> float | None:
        """Returns the prefill engines that reading would keep busy."""
        ...


class Holder(Protocol):
    """The right to order."""

    def authority(
        self,
    ) -> Result[role_holder.Authority, errors.AuthorityLostError]:
        """Returns it, if it is held and may be used now."""
        ...

    def check(self) -> None:
        """Raises AuthorityLostError if an order must not leave now."""
        ...

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        """Records an order before it leaves."""
        ...


class _Sent(NamedTuple):
    """An order whose effect was not seen yet."""

    order: role_orders.RoleOrder
    sent_s: float
    is_accepted: bool = False


_Reports = dict[fleet.ServerStart, role_orders.EngineReport]


class RoleKeeper:
    """Plans and orders, round by round, while the right to is held."""

    def __init__(
        self,
        holder: Holder,
        engines: Engines,
        client: role_orders.RoleClient,
        vm_id: str,
        system_clock: clock.Clock,
        on_accepted: Callable[[fleet.Server], None] = lambda _: None,
        on_restarted: Callable[
            [fleet.ServerStart, fleet.ServerStart], None
        ] = lambda known, told: None,
    ):
        """Makes it; no round begins before ``start``.

        Args:
            holder: The right to order.
            engines: The engines that there are.
            client: Speaks to them.
            vm_id: Names this gateway in orders.
            system_clock: Measures how long orders are awaited.
            on_accepted: Called with an engine that has taken an order on.
            on_restarted: Called with the start that an engine's record
                shows and the other one that it reports.
        """
        self._holder = holder
        self._engines = engines
        self._client = client
        self._vm_id = vm_id
        self._clock = system_clock
        self._on_accepted = on_accepted
        self._on_restarted = on_restarted
        self._splits: dict[str, role_split.RoleSplit] = {}
        self._unsettled: _Sent | None = None
        self._ordered: dict[fleet.ServerStart, _Sent] = {}
        self._last_reason: dict[str, str] = {}
        self._pool = gevent.pool.Pool(_CONCURRENT_REPORTS_COUNT)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins the rounds."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Ends them; an order that has left stays recorded."""
        if self._task is not None:
            self._task.kill()
        self._pool.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_S)
            if isinstance(self._holder.authority(), Err):
                # Another may order meanwhile; all is looked at anew then.
                self._splits.clear()
                self._ordered.clear()
                self._unsettled = None
                continue
            for service, servers in self._engines.engines().items():
                self.round(service, servers)

    def round(self, service: str, servers: Sequence[fleet.Server]) -> None:
        """Looks at the engines of one service, and orders one if need be."""
        reports = self._reports(servers)
        now_s = self._clock.monotonic_s()
        self._settle(reports, servers, now_s)
        decision = self._decide(service, servers, reports, now_s)
        self._log(service, decision)
        if isinstance(decision, role_split.Change):
            report = reports[decision.server.start]
            self._order(decision, report.accepted_count)

    def _reports(self, servers: Sequence[fleet.Server]) -> _Reports:
        """Asks engines; one that reports another start says nothing of this.

        Its count of orders began anew, so an order by the old count could be
        taken on by the new start as if it were meant for it.
        """
        servers = [one for one in servers if self._engines.may_ask(one)]
        asked = self._pool.map(self._client.report, servers)
        reports = {}
        for server, asked_one in zip(servers, asked, strict=True):
            if isinstance(asked_one, Err):
                continue
            report = asked_one.ok_value
            told = server.start._replace(started_unix_ms=report.started_unix_ms)
            if told == server.start or not _both_told(told, server.start):
                reports[server.start] = report
            else:
                self._on_restarted(server.start, told)
        return reports

    def _decide(
        self,
        service: str,
        servers: Sequence[fleet.Server],
        reports: _Reports,
        now_s: float,
    ) -> role_split.Decision:
        if len(reports) < REPORTING_SHARE * len(servers):
            return role_split.Stay("too many engines do not report")
        loads = [
            self._load(one, reports[one.start], now_s)
            for one in servers
            if one.start in reports
        ]
        split = self._splits.setdefault(service, role_split.RoleSplit())
        decision = split.decide(
            loads, self._engines.wanted_prefill(service), now_s
        )
        if self._unsettled is not None:
            return role_split.Stay("the last order is not settled")
        if self._engines.trouble_age_s() < CALM_S:
            return role_split.Stay("the list of engines may be old")
        return decision

    def _load(
        self,
        server: fleet.Server,
        report: role_orders.EngineReport,
        now_s: float,
    ) -> role_split.EngineLoad:
        """Returns an engine's load, in the role that it is to have.

        Reports are some hundred ms old. One that does not show an order yet
        would have the same engine, or one more, ordered again.
        """
        sent = self._ordered.get(server.start)
        is_awaited = (
            sent is not None
            and report.role != sent.order.role
            and now_s - sent.sent_s <= UNSETTLED_S
        )
        role = sent.order.role if sent and is_awaited else report.role
        return role_split.EngineLoad(
            server._replace(role=role),
            report.running_count,
            report.waiting_count,
            report.is_changing or is_awaited,
        )

    def _settle(
        self,
        reports: _Reports,
        servers: Sequence[fleet.Server],
        now_s: float,
    ) -> None:
        sent = self._unsettled
        if sent is None or all(
            one.service != sent.order.server.service for one in servers
        ):
            return
        report = reports.get(sent.order.server.start)
        # Without an answer the order may still be carried out by the engine's
        # next start, whose count of orders may be the expected one again.
        has_left = sent.is_accepted and sent.order.server.server_id not in {
            one.server_id for one in servers
        }
        is_taken = (
            report is not None
            and report.accepted_count > sent.order.expected_count
        )
        if has_left or is_taken or now_s - sent.sent_s > UNSETTLED_S:
            self._unsettled = None

    def _order(self, change: role_split.Change, accepted_count: int) -> None:
        held = self._holder.authority()
        if isinstance(held, Err):
            return
        order = role_orders.RoleOrder(
            change.server,
            change.role,
            self._vm_id,
            held.ok_value.number,
            accepted_count,
        )
        recorded = self._holder.record(_encode(order))
        if isinstance(recorded, Err):
            _log_order(order, recorded.err_value.code)
            return
        leaves = _Sent(order, self._clock.monotonic_s())
        self._unsettled = leaves
        self._ordered[change.server.start] = leaves
        sent = self._client.send(
            order,
            user_timeout_s=role_holder.USER_TIMEOUT_S,
            before_send=self._holder.check,
        )
        if isinstance(sent, Err) and not isinstance(
            sent.err_value, errors.OrderOutcomeUnknownError
        ):
            # It has not left, or the engine says that it did not take it.
            self._unsettled = None
            del self._ordered[change.server.start]
        if isinstance(sent, Ok):
            self._unsettled = leaves._replace(is_accepted=True)
            self._on_accepted(order.server)
        _log_order(
            order, sent.err_value.code if isinstance(sent, Err) else "accepted"
        )

    def _log(self, service: str, decision: role_split.Decision) -> None:
        """Logs a decision, and one that is the same again only once."""
        reason = role_split.describe(decision)
        if self._last_reason.get(service) == reason:
            return
        self._last_reason[service] = reason
        pressure = decision.pressure
        logger.bind(
            service=service,
            wanted_prefill=round(pressure.wanted_prefill, 2)
            if pressure
            else None,
            decode_share=round(pressure.decode_share, 3) if pressure else None,
        ).info("roles: {}", reason)


def _both_told(one: fleet.ServerStart, other: fleet.ServerStart) -> bool:
    return None not in (one.started_unix_ms, other.started_unix_ms)


def _encode(order: role_orders.RoleOrder) -> bytes:
    """Returns an order as it is recorded, for the next holder and operators."""
    return json.dumps(
        {
            "holder": order.holder,
            "number": order.number,
            "server_id": order.server.server_id,
            "role": order.role,
            "expected_count": order.expected_count,
        }
    ).encode()


def _log_order(order: role_orders.RoleOrder, outcome: str) -> None:
    _orders_total.inc({"outcome": outcome})
    logger.bind(
        server_id=order.server.server_id,
        role=order.role,
        number=order.number,
        expected_count=order.expected_count,
        outcome=outcome,
    ).info("role ordered")

"""Orders engines to change roles according to their load.

Only the gateway that holds the duty does so. Each round starts by reading the
reports of the engines. Between rounds, only the mean loads and the orders whose
outcome is not known yet are kept.
"""

import json
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import gevent
import gevent.pool
from loguru import logger
from result import Err, Ok, Result

from mulberrywharf import clock, errors, fleet, metrics, supervised_task
from mulberrywharf.authority import duty_holder, initial_roles
from mulberrywharf.engines import role_orders
from mulberrywharf.policy import role_split

ROUND_INTERVAL_S = 1.0
"""Interval between two rounds: reading a report has a small cost, and loads are
averaged over several seconds anyway."""

SETTLE_TIMEOUT_S = 10.0
"""How long the outcome of an order is awaited. An engine may execute an
unanswered order seconds later, so no other order is sent until this time has
passed or the engine's report shows the outcome. After that, a late order is
harmless: an engine that has accepted another order meanwhile rejects the late
one, whose expected count of accepted orders no longer matches."""

MIN_REPORTING_SHARE = 0.75
"""Share of a service's engines that must report before a change is made. A few
may have just crashed; if more are missing, this gateway is probably partitioned
from an availability zone and does not see the whole fleet."""

STALE_LIST_S = 3.0
"""Time after an outage of the key-value service during which the list of
engines may be stale."""

_CONCURRENT_REPORTS_COUNT = 16

_orders_total = metrics.counter(
    "mulberry_role_orders_total", "Orders to change a role, by outcome."
)


class Engines(Protocol):
    """Provides the current engines."""

    def engines(self) -> dict[str, tuple[fleet.Server, ...]]:
        """Returns the engines of each service that may receive new work."""
        ...

    def accepts_calls(self, server: fleet.Server) -> bool:
        """Tells whether this gateway may send an engine anything now.

        It may not until the engine's last Retry-After has passed, and not once
        the engine is leaving.
        """
        ...

    def outage_age_s(self) -> float:
        """Returns the seconds since the key-value service's last outage.

        Infinite before any outage. The list of engines may be stale for a while
        after an outage.
        """
        ...

    def wanted_prefill(self, service: str) -> float | None:
        """Returns how many engines the current prompts keep busy in prefill.

        None if this is unknown.
        """
        ...

    def is_complete(self) -> bool:
        """Tells whether all engines were read since the start."""
        ...

    def is_scaled(self, service: str) -> bool:
        """Tells whether engines of a service are ordered and released."""
        ...


class RolesDutyHolder(Protocol):
    """Holds the duty of ordering roles."""

    def authority(
        self,
    ) -> Result[duty_holder.Authority, errors.AuthorityLostError]:
        """Returns the authority if it is held and may be used now."""
        ...

    def check(self) -> None:
        """Raises AuthorityLostError if an order must not be sent now."""
        ...

    def record(self, value: bytes) -> Result[None, errors.PlatformError]:
        """Records an order before it is sent."""
        ...


class _SentOrder(NamedTuple):
    """An order that was sent, and whether the engine accepted it."""

    order: role_orders.RoleOrder
    sent_s: float
    is_accepted: bool = False


_Reports = dict[fleet.ServerStart, role_orders.EngineReport]


class RoleManager:
    """Plans and sends role orders in rounds while the duty is held."""

    def __init__(
        self,
        holder: RolesDutyHolder,
        engines: Engines,
        client: role_orders.RoleClient,
        vm_id: str,
        system_clock: clock.Clock,
        on_accepted: Callable[[fleet.Server], None] = lambda _: None,
        on_restarted: Callable[
            [fleet.ServerStart, fleet.ServerStart], None
        ] = lambda known, reported: None,
        slowdown: Callable[[fleet.Server], float] = lambda _: 1.0,
    ):
        """Creates it; ``start`` begins the rounds.

        Args:
            holder: Holds the duty of ordering roles.
            engines: Provides the current engines.
            client: Reads reports and sends orders.
            vm_id: Identifies this gateway in orders.
            system_clock: Measures how long the outcome of an order is awaited.
            on_accepted: Called with an engine that has accepted an order.
            on_restarted: Called with the start under which an engine is
                registered and the different start that it reports.
            slowdown: Returns the lasting slowdown of an engine relative to its
                role, 1 if it is unknown.
        """
        self._holder = holder
        self._engines = engines
        self._client = client
        self._vm_id = vm_id
        self._clock = system_clock
        self._on_accepted = on_accepted
        self._on_restarted = on_restarted
        self._splits: dict[str, tuple[float | None, role_split.RoleSplit]] = {}
        self._initial_shares = initial_roles.InitialPrefillShares()
        self._slowdown = slowdown
        self._awaited_order: _SentOrder | None = None
        self._last_orders: dict[fleet.ServerStart, _SentOrder] = {}
        self._last_reason: dict[str, str] = {}
        self._unreadable: set[fleet.ServerStart] = set()
        self._pool = gevent.pool.Pool(_CONCURRENT_REPORTS_COUNT)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the rounds."""
        self._task = supervised_task.spawn("role-manager", self._run)

    def close(self) -> None:
        """Stops the rounds; orders that were sent stay recorded."""
        if self._task is not None:
            self._task.kill()
        self._pool.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND_INTERVAL_S)
            self.note_initial_shares()
            if isinstance(self._holder.authority(), Err):
                # Another gateway may send orders until this one holds the duty
                # again, so the state of earlier rounds is dropped.
                self._splits.clear()
                self._last_orders.clear()
                self._awaited_order = None
                continue
            engines = self._engines.engines()
            self._unreadable &= {
                one.start for listed in engines.values() for one in listed
            }
            for service, servers in engines.items():
                self.round(service, servers)

    def note_initial_shares(self) -> None:
        """Notes the prefill share of each service whose engines are ordered.

        Gateways that don't hold the duty note it too: when they take over,
        engines that started since then have changed it.
        """
        if not self._engines.is_complete():
            return
        now_s = self._clock.monotonic_s()
        for service, servers in self._engines.engines().items():
            if self._engines.is_scaled(service):
                self._initial_shares.note(service, servers, now_s)

    def round(self, service: str, servers: Sequence[fleet.Server]) -> None:
        """Reads the engines of one service and orders one if necessary."""
        reports = self._reports(servers)
        now_s = self._clock.monotonic_s()
        self._settle(reports, servers, now_s)
        decision = self._decide(service, servers, reports, now_s)
        self._log(service, decision)
        if isinstance(decision, role_split.Change):
            report = reports[decision.server.start]
            self._order(decision, report.accepted_count)

    def _reports(self, servers: Sequence[fleet.Server]) -> _Reports:
        """Reads the engines' reports, without those of restarted engines.

        The count of accepted orders restarts with the engine's process, so the
        restarted engine could accept an order that was meant for the engine
        before its restart.
        """
        servers = [one for one in servers if self._engines.accepts_calls(one)]
        results = self._pool.map(self._client.report, servers)
        reports = {}
        for server, result in zip(servers, results, strict=True):
            self._note_outcome(server, result)
            if isinstance(result, Err):
                continue
            report = result.ok_value
            reported = server.start._replace(
                started_unix_ms=report.started_unix_ms
            )
            if reported == server.start or not _both_start_times_known(
                reported, server.start
            ):
                reports[server.start] = report
            else:
                self._on_restarted(server.start, reported)
        return reports

    def _note_outcome(
        self,
        server: fleet.Server,
        result: Result[role_orders.EngineReport, errors.EngineError],
    ) -> None:
        """Logs the first of several reports of an engine that can't be used."""
        if isinstance(result, Ok):
            self._unreadable.discard(server.start)
        elif server.start not in self._unreadable:
            self._unreadable.add(server.start)
            logger.bind(server_id=server.server_id).warning(
                "report of an engine not used: {}", result.err_value.message
            )

    def _decide(
        self,
        service: str,
        servers: Sequence[fleet.Server],
        reports: _Reports,
        now_s: float,
    ) -> role_split.Decision:
        if len(reports) < MIN_REPORTING_SHARE * len(servers):
            return role_split.Stay("too many engines do not report")
        loads = [
            self._engine_load(one, reports[one.start], now_s)
            for one in servers
            if one.start in reports
        ]
        decision = self._split(service).decide(
            loads, self._engines.wanted_prefill(service), now_s
        )
        if self._awaited_order is not None:
            return role_split.Stay("the last order is not settled")
        if self._engines.outage_age_s() < STALE_LIST_S:
            return role_split.Stay("the list of engines may be old")
        return decision

    def _split(self, service: str) -> role_split.RoleSplit:
        """Returns the split of a service, a new one if its minimum changed."""
        share = (
            self._initial_shares.share(service)
            if self._engines.is_scaled(service)
            else None
        )
        known = self._splits.get(service)
        if known is None or known[0] != share:
            known = self._splits[service] = share, role_split.RoleSplit(share)
        return known[1]

    def _engine_load(
        self,
        server: fleet.Server,
        report: role_orders.EngineReport,
        now_s: float,
    ) -> role_split.EngineLoad:
        """Returns an engine's load, in the role that it was ordered to take.

        Reports are several hundred milliseconds old. With the role from a
        report that predates the order, the same engine or another one would be
        ordered again.
        """
        sent = self._last_orders.get(server.start)
        is_awaited = (
            sent is not None
            and report.role != sent.order.role
            and now_s - sent.sent_s <= SETTLE_TIMEOUT_S
        )
        role = sent.order.role if sent and is_awaited else report.role
        return role_split.EngineLoad(
            server._replace(role=role),
            report.running_count,
            report.waiting_count,
            report.is_changing or is_awaited,
            self._slowdown(server),
        )

    def _settle(
        self,
        reports: _Reports,
        servers: Sequence[fleet.Server],
        now_s: float,
    ) -> None:
        sent = self._awaited_order
        if sent is None or all(
            one.service != sent.order.server.service for one in servers
        ):
            return
        report = reports.get(sent.order.server.start)
        # An accepted order ends when its engine leaves the list. An unanswered
        # order does not: the engine may come back, and the count of accepted
        # orders, which restarts with the engine, can match the order again.
        is_removed = sent.is_accepted and sent.order.server.server_id not in {
            one.server_id for one in servers
        }
        is_accepted = (
            report is not None
            and report.accepted_count > sent.order.expected_count
        )
        if is_removed or is_accepted or now_s - sent.sent_s > SETTLE_TIMEOUT_S:
            self._awaited_order = None

    def _order(self, change: role_split.Change, accepted_count: int) -> None:
        held = self._holder.authority()
        if isinstance(held, Err):
            return
        if not self._engines.accepts_calls(change.server):
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
        sent_order = _SentOrder(order, self._clock.monotonic_s())
        self._awaited_order = sent_order
        self._last_orders[change.server.start] = sent_order
        sent = self._client.send(
            order,
            user_timeout_s=duty_holder.USER_TIMEOUT_S,
            before_send=self._holder.check,
        )
        if isinstance(sent, Err) and not isinstance(
            sent.err_value, errors.OrderOutcomeUnknownError
        ):
            # The order was not sent, or the engine rejected it.
            self._awaited_order = None
            del self._last_orders[change.server.start]
        if isinstance(sent, Ok):
            self._awaited_order = sent_order._replace(is_accepted=True)
            self._on_accepted(order.server)
        _log_order(
            order, sent.err_value.code if isinstance(sent, Err) else "accepted"
        )

    def _log(self, service: str, decision: role_split.Decision) -> None:
        """Logs a decision, unless the last logged one had the same reason."""
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


def _both_start_times_known(
    one: fleet.ServerStart, other: fleet.ServerStart
) -> bool:
    return None not in (one.started_unix_ms, other.started_unix_ms)


def _encode(order: role_orders.RoleOrder) -> bytes:
    """Encodes an order for the record, for the next holder and operators."""
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

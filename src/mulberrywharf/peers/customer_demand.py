"""Exchanges customers' demand among the gateways of a zone.

While engines are scarce, each gateway reports the demand that it sees to the
two gateways of its zone that rank first for the service. Both add the reports
up and reply with the customers' shares, so one of them may fail. A gateway
whose callers are all answered in time sends nothing.
"""

import collections
import random
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
import xxhash
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, metrics, supervised_task
from mulberrywharf.peers import (
    customer_demand_codec,
    datagrams,
    directory,
    topics,
)
from mulberrywharf.policy import (
    customer_meter,
    customer_shares,
    token_bucket,
)

REPORT_INTERVAL_S = 2.0
"""Interval of reports. Shares are the newer the shorter it is; a report takes
some 220 bytes to each of two gateways."""

REPORT_RANKS_COUNT = 2

REPORTERS_PER_REPLY_INTERVAL_COUNT = 20
"""Gateways of a zone up to which each report gets a reply. With more of them,
only every second report does: each of 42 replies takes some 100 bytes."""

BYTES_PER_S = 1_500
"""Part of the gateway's byte budget that this exchange uses at most, so that
reports of many scarce services leave room for other notices."""

BURST_BYTES = 7_000
"""Replies to all reports of a zone may be due at once."""

LOGGED_CHANGE = 0.2
"""Change of a customer's share from which it is logged."""

LOG_LINES_PER_S = 0.5
LOG_BURST_COUNT = 16
"""Bounds of the lines about customers' parts. While all customers are above the
level, their parts change with every reply."""

_NUMBERS_COUNT = 2**16

_level_gauge = metrics.gauge(
    "mulberry_customer_level",
    "Fair level of customers in engine-seconds per second, by service; 0"
    " without one.",
)
_above_gauge = metrics.gauge(
    "mulberry_customers_above_level_count",
    "Customers above the fair level that this gateway knows, by service.",
)


class Peers(Protocol):
    """Ranks the gateways of a zone."""

    def ranked_gateways(
        self, matter: str, key: int, availability_zone: str
    ) -> tuple[directory.RankedGateway, ...]:
        """Returns the gateways that handle a matter for all, by rank."""
        ...


class CustomerDemandExchange:
    """Reports this gateway's demand and adds up that of others."""

    def __init__(
        self,
        peers: Peers,
        exchange: topics.TopicExchange,
        meter: customer_meter.CustomerMeter,
        shares: customer_shares.CustomerShares,
        availability_zone: str,
        customers_count: Callable[[], int],
        system_clock: clock.Clock,
    ):
        """Creates it and registers it with the exchange.

        Args:
            peers: Ranks the gateways.
            exchange: Carries the messages.
            meter: The demand at this gateway.
            shares: Receives the shares from replies.
            availability_zone: Zone of this gateway.
            customers_count: Returns the number of customers in the routes.
            system_clock: Source of monotonic time.
        """
        self._peers = peers
        self._exchange = exchange
        self._meter = meter
        self._shares = shares
        self._availability_zone = availability_zone
        self._customers_count = customers_count
        self._clock = system_clock
        self._zone_demands: dict[int, customer_shares.ZoneDemand] = {}
        self._report_counts: collections.Counter[fleet.Address] = (
            collections.Counter()
        )
        self._sent: dict[int, customer_demand_codec.Report] = {}
        self._rng = random.Random()
        self._number = self._rng.randrange(_NUMBERS_COUNT)
        self._budget = token_bucket.TokenBucket(
            BYTES_PER_S, BURST_BYTES, system_clock.monotonic_s()
        )
        self._log_lines = token_bucket.TokenBucket(
            LOG_LINES_PER_S, LOG_BURST_COUNT, system_clock.monotonic_s()
        )
        self._task: gevent.Greenlet | None = None
        exchange.register(b"d", self._on_message)

    def start(self) -> None:
        """Starts reporting; does nothing if it was started before."""
        if self._task is None:
            self._task = supervised_task.spawn("customer-demand", self._run)

    def close(self) -> None:
        """Stops reporting."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        while True:
            # Jitter, so that the replies to a zone's reports spread.
            gevent.sleep(REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            self.report()

    def report(self) -> None:
        """Reports the demand for each scarce service, the scarcest first."""
        now_s = self._clock.monotonic_s()
        reports = {
            service: self._meter.report(service, now_s)
            for service in self._meter.services()
        }
        for service in sorted(
            reports, key=lambda one: reports[one].unserved, reverse=True
        ):
            if self._is_reported(service, reports[service], now_s):
                self._report_service(service, reports[service], now_s)
            self._set_gauges(service, now_s)

    def _is_reported(
        self,
        service: str,
        report: customer_meter.DemandReport,
        now_s: float,
    ) -> bool:
        is_scarce = report.unserved > customer_shares.PLENTY_SHARE * (
            report.admitted + report.unserved
        )
        return is_scarce or self._shares.current(service, now_s) is not None

    def _report_service(
        self,
        service: str,
        demand: customer_meter.DemandReport,
        now_s: float,
    ) -> None:
        key = _service_key(service)
        self._number = (self._number + 1) % _NUMBERS_COUNT
        message = customer_demand_codec.Report(key, self._number, demand)
        ranked = self._peers.ranked_gateways(
            "customers", key, self._availability_zone
        )[:REPORT_RANKS_COUNT]
        if any(one.address is None for one in ranked):
            zone_demand = self._zone_demand(key)
            zone_demand.note(None, demand, now_s)
            shares = zone_demand.shares(self._customers_count(), now_s)
            reply = _reply(message, shares, self._rng) if shares else None
            self._update(service, message, reply, now_s)
        addresses = [one.address for one in ranked if one.address is not None]
        if addresses:
            self._sent[key] = message
            self._send(message, addresses)

    def _zone_demand(self, key: int) -> customer_shares.ZoneDemand:
        if (
            key not in self._zone_demands
            and len(self._zone_demands) >= customer_meter.MAX_SERVICES_COUNT
        ):
            del self._zone_demands[next(iter(self._zone_demands))]
        return self._zone_demands.setdefault(key, customer_shares.ZoneDemand())

    def _send(
        self,
        message: customer_demand_codec.Report | customer_demand_codec.Reply,
        addresses: list[fleet.Address],
    ) -> None:
        """Sends a message unless the budget is used up; a newer one follows."""
        body = customer_demand_codec.encode(message)
        cost = len(addresses) * (
            len(body) + 1 + datagrams.DATAGRAM_OVERHEAD_BYTES
        )
        if self._budget.wait_s(
            cost, self._clock.monotonic_s()
        ) <= 0 and self._exchange.send(b"d", body, addresses, is_urgent=False):
            self._budget.take(cost)

    def _on_message(self, body: bytes, source: fleet.Address) -> bool:
        decoded = customer_demand_codec.decode(body)
        if isinstance(decoded, Err):
            logger.warning("datagram dropped: {}", decoded.err_value.message)
            return False
        match decoded.ok_value:
            case customer_demand_codec.Report() as report:
                self._on_report(report, source)
            case customer_demand_codec.Reply() as reply:
                self._on_reply(reply)
        return True

    def _on_report(
        self, report: customer_demand_codec.Report, source: fleet.Address
    ) -> None:
        now_s = self._clock.monotonic_s()
        zone_demand = self._zone_demand(report.service)
        zone_demand.note(source, report.demand, now_s)
        if (
            zone_demand.reporters_count(now_s)
            > REPORTERS_PER_REPLY_INTERVAL_COUNT
            and report.number % 2
        ):
            return
        shares = zone_demand.shares(self._customers_count(), now_s)
        if shares is not None:
            self._send(_reply(report, shares, self._rng), [source])

    def _on_reply(self, reply: customer_demand_codec.Reply) -> None:
        report = self._sent.get(reply.service)
        service = next(
            (
                name
                for name in self._meter.services()
                if _service_key(name) == reply.service
            ),
            None,
        )
        # Shares are listed in the order of the customers in the report, so a
        # reply to an earlier one can't be read.
        if (
            report is not None
            and service is not None
            and report.number == reply.number
            and len(reply.reported_shares) == len(report.demand.customers)
        ):
            self._update(service, report, reply, self._clock.monotonic_s())

    def _update(
        self,
        service: str,
        report: customer_demand_codec.Report,
        reply: customer_demand_codec.Reply | None,
        now_s: float,
    ) -> None:
        before = self._shares.current(service, now_s)
        part = None
        if reply is not None:
            keys = [one.key for one in report.demand.customers]
            reported = dict(zip(keys, reply.reported_shares, strict=True))
            above = {
                key: share
                for key, share in reported.items()
                if share is not None
            }
            part = customer_shares.GatewayShares(
                reply.level,
                reply.other_shares | above,
                frozenset(reported.keys() - above.keys()),
                reply.is_rest_below,
            )
        self._shares.update(service, part, now_s)
        after = self._shares.current(service, now_s)
        self._log_changes(
            service,
            before.shares if before else {},
            after.shares if after else {},
        )

    def _log_changes(
        self,
        service: str,
        before: Mapping[int, float],
        after: Mapping[int, float],
    ) -> None:
        changed = [
            key
            for key in before.keys() | after.keys()
            if abs(before.get(key, 1.0) - after.get(key, 1.0)) >= LOGGED_CHANGE
        ]
        if not changed:
            return
        names = self._meter.customers(service)
        now_s = self._clock.monotonic_s()
        for key in changed:
            if self._log_lines.wait_s(1.0, now_s) > 0:
                return
            self._log_lines.take(1.0)
            logger.bind(
                service=service,
                customer=names.get(key, f"{key:08x}"),
                share=round(after.get(key, 1.0), 3),
                changed_count=len(changed),
            ).info("a customer's part of the engines changed")

    def _set_gauges(self, service: str, now_s: float) -> None:
        shares = self._shares.current(service, now_s)
        labels = {"service": service}
        _level_gauge.set(labels, shares.level if shares else 0.0)
        _above_gauge.set(labels, len(shares.shares) if shares else 0)


def _service_key(service: str) -> int:
    return xxhash.xxh32_intdigest(service.encode())


def _reply(
    report: customer_demand_codec.Report,
    shares: customer_shares.ZoneShares,
    rng: random.Random,
) -> customer_demand_codec.Reply:
    """Returns the reply to a report by the shares of its zone."""
    part = shares.for_report(report.demand, rng)
    keys = [one.key for one in report.demand.customers]
    return customer_demand_codec.Reply(
        report.service,
        report.number,
        part.level,
        tuple(part.shares.get(key) for key in keys),
        {key: part.shares[key] for key in part.shares.keys() - frozenset(keys)},
        part.is_rest_below,
    )

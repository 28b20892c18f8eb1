"""Measures the work that customers ask of a service's engines at one gateway.

Work is measured in engine-seconds, since one long prompt costs the engines as
much as some hundred short ones. All figures are rates that decay, so a report
states how things are, and a repeated or lost one changes no sum.
"""

import heapq
import math
from typing import NamedTuple

import xxhash

TIME_CONSTANT_S = 5.0
"""Work decays by 1/e in this time. Bursts of callers last 3 to 10 s. Over a
shorter time, a customer with one request in some seconds seems to ask for
several times its demand at each request."""

MAX_CUSTOMERS_COUNT = 370
"""Customers that are kept for one service: those of the largest operator. Above
that, the least busy one is dropped."""

MAX_SERVICES_COUNT = 28
"""Services that are kept: those of the largest operator."""

REPORTED_CUSTOMERS_COUNT = 16
"""Customers that a report names. Their demands take most of its bytes."""

_MIN_DEMAND = 1e-5
"""Engine-seconds per second below which a customer is forgotten: less than one
short prompt in a minute."""


def customer_key(customer: str) -> int:
    """Returns the key that names a customer in messages."""
    return xxhash.xxh32_intdigest(customer.encode())


class CustomerDemand(NamedTuple):
    """The demand of one customer.

    Attributes:
        key: Key of the customer.
        demand: Engine-seconds per second that it asks for.
    """

    key: int
    demand: float


class DemandReport(NamedTuple):
    """The demand for one service at one gateway.

    All figures but the count are engine-seconds per second.

    Attributes:
        customers: The busiest customers.
        rest_demand: Sum of the demands of all other customers.
        rest_count: Number of these.
        admitted: Work that was sent to engines.
        unserved: Work that the engines could not take in time: refused for
            that reason, or started late.
    """

    customers: tuple[CustomerDemand, ...]
    rest_demand: float
    rest_count: int
    admitted: float
    unserved: float


class _Rate:
    """A decaying rate; it starts at 0, so a first request is no burst."""

    __slots__ = ("_amount", "_updated_s")

    def __init__(self) -> None:
        self._amount = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        self._amount = self.per_s(now_s) * TIME_CONSTANT_S + amount
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._updated_s)
        decay = math.exp(-elapsed_s / TIME_CONSTANT_S)
        return self._amount * decay / TIME_CONSTANT_S


class _ServiceMeter:
    """The rates of one service."""

    def __init__(self) -> None:
        self.demands: dict[str, _Rate] = {}
        self.admitted = _Rate()
        self.unserved = _Rate()
        self.used_s = 0.0

    def drop_least_busy(self, now_s: float) -> None:
        least = min(
            self.demands, key=lambda name: self.demands[name].per_s(now_s)
        )
        del self.demands[least]


class CustomerMeter:
    """The demand of customers at one gateway, by service."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceMeter] = {}

    def note_demand(
        self, service: str, customer: str, work_s: float, now_s: float
    ) -> None:
        """Counts a request of a customer, whether it is served or refused."""
        meter = self._meter(service, now_s)
        if customer not in meter.demands:
            if len(meter.demands) >= MAX_CUSTOMERS_COUNT:
                meter.drop_least_busy(now_s)
            meter.demands[customer] = _Rate()
        meter.demands[customer].add(work_s, now_s)

    def note_admitted(self, service: str, work_s: float, now_s: float) -> None:
        """Counts work that is sent to an engine."""
        self._meter(service, now_s).admitted.add(work_s, now_s)

    def note_unserved(self, service: str, work_s: float, now_s: float) -> None:
        """Counts work that the engines could not take in time."""
        self._meter(service, now_s).unserved.add(work_s, now_s)

    def services(self) -> tuple[str, ...]:
        """Returns the services that customers asked for."""
        return tuple(self._services)

    def customers(self, service: str) -> dict[int, str]:
        """Returns the names of a service's customers by their keys."""
        meter = self._services.get(service)
        names = meter.demands if meter else ()
        return {customer_key(name): name for name in names}

    def report(self, service: str, now_s: float) -> DemandReport:
        """Returns the demand for a service; forgets customers without any."""
        meter = self._meter(service, now_s)
        demands = {
            name: rate.per_s(now_s) for name, rate in meter.demands.items()
        }
        for name, demand in demands.items():
            if demand < _MIN_DEMAND:
                del meter.demands[name]
        busiest = heapq.nlargest(
            REPORTED_CUSTOMERS_COUNT, demands, key=lambda name: demands[name]
        )
        reported = tuple(
            CustomerDemand(customer_key(name), demands[name])
            for name in busiest
        )
        rest_count = len(demands) - len(reported)
        total = math.fsum(demands.values())
        named = math.fsum(one.demand for one in reported)
        return DemandReport(
            reported,
            max(0.0, total - named) if rest_count else 0.0,
            rest_count,
            meter.admitted.per_s(now_s),
            meter.unserved.per_s(now_s),
        )

    def _meter(self, service: str, now_s: float) -> _ServiceMeter:
        if service not in self._services:
            if len(self._services) >= MAX_SERVICES_COUNT:
                oldest = min(
                    self._services, key=lambda one: self._services[one].used_s
                )
                del self._services[oldest]
            self._services[service] = _ServiceMeter()
        meter = self._services[service]
        meter.used_s = now_s
        return meter

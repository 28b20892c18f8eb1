"""Divides scarce engines evenly among customers.

While the engines of a zone can't answer all requests in time, requests are
served first come, first served. A customer that sends ten times as many then
gets ten times as much, and the others are refused for its load.

A gateway that adds up the demands of its zone computes the max-min fair level:
each customer gets its demand, up to the level at which the sum is what the
engines serve. Parts that a customer doesn't use thus go to those that want
more. A customer above the level is admitted with the share level / demand. One
below it is refused only if it can't be answered in time.

Without refusals and late starts there is no level, and every gateway decides as
if no customers were named.
"""

import collections
import math
import random
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import Literal, NamedTuple

from mulberrywharf.policy import customer_meter

REPORT_LIFETIME_S = 6.0
"""Reports and shares older than this are dropped. Reports come every 2 s, so
two in a row may be lost."""

RECOMPUTE_S = 0.5
"""Shares of a zone are computed once in this time. With 43 gateways that takes
0.4 ms, and each of them reports every 2 s."""

SCARCE_SHARE = 0.05
"""Share of work that engines could not take in time from which they are scarce.
Estimates of single requests are off by a third, so some are refused or late
without overload."""

PLENTY_SHARE = 0.02
"""Share of work below which engines are no longer scarce. Below
``SCARCE_SHARE``, so that one burst doesn't switch the level on and off."""

CAPACITY_FACTOR = 1.1
"""Capacity that is divided, relative to the work that was admitted lately. If
only that was divided, admitted work could fall but never rise. The tenth above
it waits for the engines or is refused by their queues, which also shows that
they are still scarce. With 1.5, some customers lose more than a tenth of their
part to one that sends ten times as much."""

ROOM_TARGET_SHARE = 0.1
"""Share of the first-token target that a request may wait while engines have
room at this moment. It is then admitted whatever its customer's share: shares
are some seconds old, and refusing it would leave engines idle."""

MAX_CREDIT = 2.0
MIN_CREDIT = -8.0
"""Bounds of the requests that a customer above the level may send ahead of its
share. Callers that come back are admitted on credit; at ``MIN_CREDIT`` nothing
of the customer is admitted until its share has caught up."""

MAX_REFUSED_COUNT = 4_096
"""Refused requests that are remembered, at most. A gateway of the largest
fleet gets some 50 requests per second in a tenfold flood."""

REFUSED_LIFETIME_S = 10.0
"""How long a refused request is remembered. Callers give up within 6 s."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_LEFT_SHARE = 0.3
"""Bounds of the retry delay, as in ``prompt_admission``."""

MAX_REPORTERS_COUNT = 400
"""Gateways whose reports are kept for a service; a fleet has at most 340."""

LARGEST_OTHERS_COUNT = 4
DRAWN_OTHERS_COUNT = 4
"""Customers above the level that a gateway is told of besides those that it
reported, as it may get their requests next: the largest ones, and some drawn
from the others, so that it knows most of them after a few replies."""


class ZoneShares(NamedTuple):
    """How a zone's engines of one service are divided.

    Attributes:
        level: Engine-seconds per second up to which a customer is served.
        shares: Admitted share by the key of the customer, for all customers
            known to be above the level.
        is_rest_below: Whether customers that no report names are below it.
    """

    level: float
    shares: Mapping[int, float]
    is_rest_below: bool

    def for_report(
        self, report: customer_meter.DemandReport, rng: random.Random
    ) -> "GatewayShares":
        """Returns the part that is sent to the gateway of a report.

        Args:
            report: The report.
            rng: Draws some of the customers that it doesn't name.
        """
        reported = frozenset(one.key for one in report.customers)
        others = sorted(
            self.shares.keys() - reported, key=lambda key: self.shares[key]
        )
        largest = others[:LARGEST_OTHERS_COUNT]
        smaller = others[LARGEST_OTHERS_COUNT:]
        drawn = rng.sample(smaller, min(len(smaller), DRAWN_OTHERS_COUNT))
        above = (reported & self.shares.keys()).union(largest, drawn)
        return GatewayShares(
            self.level,
            {key: self.shares[key] for key in above},
            reported - self.shares.keys(),
            self.is_rest_below,
        )


class GatewayShares(NamedTuple):
    """The part of ``ZoneShares`` that one gateway needs.

    Attributes:
        level: See ``ZoneShares``.
        shares: Admitted share by the key of the customer.
        below: Keys of customers that are below the level.
        is_rest_below: Whether all other customers are below it.
    """

    level: float
    shares: Mapping[int, float]
    below: frozenset[int]
    is_rest_below: bool


def fair_level(demands: Iterable[tuple[float, int]], capacity: float) -> float:
    """Returns the max-min fair level, infinite if all demands fit.

    Args:
        demands: Pairs of a demand and the number of customers that have it.
        capacity: What is divided among them.
    """
    left = capacity
    ordered = sorted(demands)
    customers_count = sum(count for _, count in ordered)
    for demand, count in ordered:
        if demand * customers_count > left:
            return max(0.0, left) / customers_count
        left -= demand * count
        customers_count -= count
    return math.inf


class ZoneDemand:
    """Adds up the reports on one service from the gateways of a zone."""

    def __init__(self) -> None:
        self._reports: dict[
            Hashable, tuple[float, customer_meter.DemandReport]
        ] = {}
        self._is_scarce = False
        self._computed_s = -math.inf
        self._computed: ZoneShares | None = None

    def note(
        self,
        reporter: Hashable,
        report: customer_meter.DemandReport,
        now_s: float,
    ) -> None:
        """Records a report; it replaces the former one of its gateway."""
        if (
            reporter in self._reports
            or len(self._reports) < MAX_REPORTERS_COUNT
        ):
            self._reports[reporter] = now_s, report

    def reporters_count(self, now_s: float) -> int:
        """Returns the number of gateways with a report that counts."""
        self._drop_old(now_s)
        return len(self._reports)

    def shares(self, customers_count: int, now_s: float) -> ZoneShares | None:
        """Returns how the engines are divided, None if they aren't scarce.

        The result is at most ``RECOMPUTE_S`` old.

        Args:
            customers_count: Number of all customers.
            now_s: The current time.
        """
        if now_s - self._computed_s >= RECOMPUTE_S:
            self._computed_s = now_s
            self._computed = self._compute(customers_count, now_s)
        return self._computed

    def _compute(self, customers_count: int, now_s: float) -> ZoneShares | None:
        self._drop_old(now_s)
        reports = [report for _, report in self._reports.values()]
        admitted = math.fsum(one.admitted for one in reports)
        unserved = math.fsum(one.unserved for one in reports)
        bound = PLENTY_SHARE if self._is_scarce else SCARCE_SHARE
        self._is_scarce = unserved > bound * (admitted + unserved)
        if not self._is_scarce:
            return None
        named, unnamed = _zone_demands(reports, customers_count)
        unnamed_count = max(0, customers_count - len(named))
        level = fair_level(
            [*((one, 1) for one in named.values()), (unnamed, unnamed_count)],
            CAPACITY_FACTOR * admitted,
        )
        if math.isinf(level):
            return None
        shares = {
            key: level / demand
            for key, demand in named.items()
            if demand > level
        }
        return ZoneShares(level, shares, unnamed <= level)

    def _drop_old(self, now_s: float) -> None:
        self._reports = {
            reporter: (received_s, report)
            for reporter, (received_s, report) in self._reports.items()
            if now_s - received_s <= REPORT_LIFETIME_S
        }


def _zone_demands(
    reports: Iterable[customer_meter.DemandReport], customers_count: int
) -> tuple[dict[int, float], float]:
    """Returns the demands of the customers of a zone.

    The demand of the customers that a report doesn't name is counted for them
    in equal parts.

    Args:
        reports: The reports of the zone's gateways.
        customers_count: Number of all customers.

    Returns:
        The demand of each customer that any report names, and that of each of
        the others.
    """
    named: dict[int, float] = collections.defaultdict(float)
    unnamed = 0.0
    for report in reports:
        others_count = max(
            1, report.rest_count, customers_count - len(report.customers)
        )
        rest = report.rest_demand / others_count
        unnamed += rest
        for one in report.customers:
            named[one.key] += one.demand - rest
    return (
        {key: max(0.0, unnamed + one) for key, one in named.items()},
        unnamed,
    )


Standing = Literal["unknown", "below", "above"]
"""Where a customer is relative to the level."""


class Decision(NamedTuple):
    """What the shares say about a request.

    Attributes:
        standing: Where its customer is relative to the level.
        share: Admitted share of its customer's requests.
        retry_after_s: Delay after which its caller may retry if it is refused
            for its customer's share; None if it is not.
    """

    standing: Standing
    share: float = 1.0
    retry_after_s: float | None = None


class _Credit:
    """Admits a share of one customer's requests.

    The requests admitted follow the share exactly. The start is drawn, so that
    many gateways with one request each admit the share of them.
    """

    def __init__(self, rng: random.Random, now_s: float):
        self._credit = rng.random()
        self._gap_s = 0.0
        self._updated_s = now_s

    def admit(self, share: float, *, is_repeat: bool, now_s: float) -> bool:
        gap_s = now_s - self._updated_s
        self._updated_s = now_s
        self._gap_s += 0.1 * (gap_s - self._gap_s)
        self._credit = min(MAX_CREDIT, self._credit + share)
        # A repeat is admitted on credit, and newer requests pay for it. Where
        # repeats are refused too, newer ones are not admitted either.
        if self._credit < (MIN_CREDIT if is_repeat else 1.0):
            return False
        self._credit -= 1.0
        return True

    def room_expected_s(self, share: float) -> float:
        """Returns the time until the customer's share admits a request."""
        missing_count = max(0.0, 1.0 - self._credit) / max(share, 1e-3)
        return missing_count * self._gap_s


class CustomerShares:
    """The shares that one gateway knows, and its decisions by them."""

    def __init__(self, rng: random.Random):
        """Initializes it without shares.

        Args:
            rng: Spreads decisions and retries.
        """
        self._rng = rng
        self._shares: dict[str, tuple[float, GatewayShares]] = {}
        self._standings: dict[str, dict[int, tuple[float | None, float]]] = {}
        self._credits: dict[tuple[str, int], _Credit] = {}
        self._refused: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def update(
        self, service: str, shares: GatewayShares | None, now_s: float
    ) -> None:
        """Sets the shares of a service, None if its engines aren't scarce.

        What former ones said of other customers stays until it is too old.
        """
        known = self._standings.pop(service, {})
        if shares is None:
            self._shares.pop(service, None)
        else:
            self._shares[service] = now_s, shares
            known = {
                key: (share, received_s)
                for key, (share, received_s) in known.items()
                if now_s - received_s <= REPORT_LIFETIME_S
            }
            known |= dict.fromkeys(shares.below, (None, now_s))
            known |= {
                key: (share, now_s) for key, share in shares.shares.items()
            }
            self._standings[service] = known
        for service_key in [
            (name, key)
            for name, key in self._credits
            if name == service and key not in known
        ]:
            del self._credits[service_key]

    def current(self, service: str, now_s: float) -> GatewayShares | None:
        """Returns the shares in force, None if there are none."""
        received_s, shares = self._shares.get(service, (-math.inf, None))
        if shares is None or now_s - received_s > REPORT_LIFETIME_S:
            return None
        standings = self._standings[service]
        return shares._replace(
            shares={
                key: share
                for key, (share, _) in standings.items()
                if share is not None
            },
            below=frozenset(
                key for key, (share, _) in standings.items() if share is None
            ),
        )

    def _standing_of(
        self, service: str, key: int, now_s: float
    ) -> tuple[Standing, float]:
        received_s, shares = self._shares.get(service, (-math.inf, None))
        if shares is None or now_s - received_s > REPORT_LIFETIME_S:
            return "unknown", 1.0
        share, known_s = self._standings[service].get(key, (None, -math.inf))
        if now_s - known_s > REPORT_LIFETIME_S:
            return ("below" if shares.is_rest_below else "unknown"), 1.0
        return ("below", 1.0) if share is None else ("above", share)

    def decide(
        self,
        service: str,
        customer: str,
        fingerprint_of: Callable[[], int],
        left_s: float,
        now_s: float,
        *,
        has_room: bool = False,
    ) -> Decision:
        """Decides whether a request is refused for its customer's share.

        Args:
            service: The service that it asks for.
            customer: Its customer.
            fingerprint_of: Returns a hash that is equal for repeats of the
                request; called only if its customer is above the level.
            left_s: Time until its caller gives up.
            now_s: The current time.
            has_room: Whether an engine takes it without a wait worth
                mentioning; see ``ROOM_TARGET_SHARE``.
        """
        key = customer_meter.customer_key(customer)
        standing, share = self._standing_of(service, key, now_s)
        if standing != "above" or has_room:
            return Decision(standing, share)
        if (service, key) not in self._credits:
            self._credits[service, key] = _Credit(self._rng, now_s)
        credit = self._credits[service, key]
        fingerprint = fingerprint_of()
        is_repeat = self._is_refused_before(fingerprint, now_s)
        if credit.admit(share, is_repeat=is_repeat, now_s=now_s):
            self._refused.pop(fingerprint, None)
            return Decision("above", share)
        self._note_refused(fingerprint, now_s)
        return Decision(
            "above", share, self._retry_after_s(credit, share, left_s)
        )

    def _is_refused_before(self, fingerprint: int, now_s: float) -> bool:
        refused_s = self._refused.get(fingerprint, -math.inf)
        return now_s - refused_s <= REFUSED_LIFETIME_S

    def _note_refused(self, fingerprint: int, now_s: float) -> None:
        self._refused[fingerprint] = now_s
        self._refused.move_to_end(fingerprint)
        if len(self._refused) > MAX_REFUSED_COUNT:
            self._refused.popitem(last=False)

    def _retry_after_s(
        self, credit: _Credit, share: float, left_s: float
    ) -> float:
        """Returns a time around that at which room is expected.

        Drawn from half to one and a half of it: callers that were refused
        together must not come back together.
        """
        max_s = max(MIN_RETRY_AFTER_S, left_s * MAX_RETRY_AFTER_LEFT_SHARE)
        expected_s = min(
            max_s, max(MIN_RETRY_AFTER_S, credit.room_expected_s(share))
        )
        drawn_s = self._rng.uniform(0.5 * expected_s, 1.5 * expected_s)
        return min(max_s, max(MIN_RETRY_AFTER_S, drawn_s))

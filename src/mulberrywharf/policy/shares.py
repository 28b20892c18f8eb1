"""Divides customers' limits among the nodes by the demand they reported.

Time is divided into rounds. In each round, every node publishes one
``DemandReport``: its demand, and a digest of the set of nodes that it believes
to be live. Nodes that reported the same digest and received each other's
reports form a group. The group gets limit * (its nodes / all nodes in the VM
list) and divides this by demand. A node takes only an equal part, limit / all
nodes, unless it has a report with its own digest from every node of its live
set.

This bounds the sum of all parts. A node publishes one digest per round, so
groups are disjoint, and their parts add up to at most the limit. Each of the m
nodes that lack such a report takes at most limit / all nodes, so the sum is at
most limit * (1 + m / all nodes). It does not exceed the limit when all reports
arrive or when a partition splits the nodes into disjoint groups.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

import xxhash

FLOOR_SHARE = 0.03
"""Fraction of a group's limit that is divided equally, regardless of demand."""


class CustomerDemand(NamedTuple):
    """One customer's demand at one node.

    Attributes:
        customer: Name of the customer.
        requests_per_s: Requests per second, including refused ones.
        tokens_per_s: Tokens of these requests per second. If no node reports
            any, the token limit is divided like the request limit.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float = 0.0


class DemandReport(NamedTuple):
    """One node's demand in one round, carried in its heartbeats.

    Attributes:
        node_id: Node that reports.
        round_number: Number of the round; see ``round_number``.
        live_digest: Digest of the nodes that it believes to be live; see
            ``live_digest``.
        demands: Demand of its busiest customers.
    """

    node_id: str
    round_number: int
    live_digest: int
    demands: tuple[CustomerDemand, ...]


class Part(NamedTuple):
    """A node's part of one customer's limit.

    Attributes:
        requests_share: Fraction of the request limit, 0 to 1.
        tokens_share: Fraction of the token limit, 0 to 1.
    """

    requests_share: float
    tokens_share: float


class DemandMeter:
    """Exponentially decaying average of a customer's demand."""

    __slots__ = ("_requests_per_s", "_tokens_per_s", "_updated_s")

    def __init__(self, now_s: float):
        self._requests_per_s = 0.0
        self._tokens_per_s = 0.0
        self._updated_s = now_s

    def add(self, tokens: float, now_s: float, time_constant_s: float) -> None:
        """Counts one request of ``tokens``."""
        self._decay(now_s, time_constant_s)
        self._requests_per_s += 1.0 / time_constant_s
        self._tokens_per_s += tokens / time_constant_s

    def read(
        self, customer: str, now_s: float, time_constant_s: float
    ) -> CustomerDemand:
        """Returns the current averages; below 0.001 requests/s they are 0."""
        self._decay(now_s, time_constant_s)
        if self._requests_per_s < 0.001:
            return CustomerDemand(customer, 0.0)
        return CustomerDemand(
            customer, self._requests_per_s, self._tokens_per_s
        )

    def _decay(self, now_s: float, time_constant_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        remaining_share = math.exp(-elapsed_s / time_constant_s)
        self._requests_per_s *= remaining_share
        self._tokens_per_s *= remaining_share


class Division:
    """Division of all customers' limits in one round, as one node sees it."""

    def __init__(
        self,
        nodes_count: int,
        reports: Mapping[str, DemandReport],
        is_complete: bool,
    ):
        self._nodes_count = max(1, nodes_count)
        self._reports = reports
        self._is_complete = is_complete
        self._totals = _total_demands(reports)

    @classmethod
    def equal_split(cls, nodes_count: int) -> "Division":
        """Makes a division in which each node gets an equal part."""
        return cls(nodes_count, {}, is_complete=False)

    @property
    def is_complete(self) -> bool:
        """Whether every report of the node's group was received."""
        return self._is_complete

    def part_of(self, node_id: str, customer: str) -> Part:
        """Returns the node's part of the customer's limit."""
        equal_share = 1.0 / self._nodes_count
        if not self._is_complete:
            return Part(equal_share, equal_share)
        group_count = len(self._reports)
        group_share = group_count * equal_share
        own = _demand_of(self._reports[node_id], customer)
        total = self._totals.get(customer, CustomerDemand(customer, 0.0))
        requests_share = _demand_share(
            own.requests_per_s, total.requests_per_s, group_count
        )
        tokens_share = requests_share
        if total.tokens_per_s > 0:
            tokens_share = _demand_share(
                own.tokens_per_s, total.tokens_per_s, group_count
            )
        return Part(group_share * requests_share, group_share * tokens_share)


def round_number(now_unix_s: float, round_s: float) -> int:
    """Returns the number of the round that contains a time.

    The nodes' clocks are expected to agree within a fraction of a round.
    """
    return int(now_unix_s // round_s)


def live_digest(live_node_ids: Collection[str]) -> int:
    """Returns a digest of a set of nodes, 64 bits."""
    text = "\n".join(sorted(live_node_ids))
    return xxhash.xxh64_intdigest(text.encode())


def divide(
    node_id: str,
    live_node_ids: Collection[str],
    nodes_count: int,
    reports: Mapping[str, DemandReport],
    report_round: int,
) -> Division:
    """Computes the division of a round from the reports received.

    Args:
        node_id: The node that computes the division; must be live.
        live_node_ids: Nodes that it believes to be live.
        nodes_count: All nodes in the VM list, live or not. Nodes that are not
            live keep an equal part each, since they may only be partitioned.
        reports: Latest report of each node, including its own.
        report_round: Round whose reports are used: the one before the current
            round, so that reports had a whole round to arrive.
    """
    nodes_count = max(nodes_count, len(live_node_ids))
    digest = live_digest(live_node_ids)
    received = {}
    for live_node_id in live_node_ids:
        report = reports.get(live_node_id)
        if report is None or report.round_number != report_round:
            return Division.equal_split(nodes_count)
        if report.live_digest != digest:
            return Division.equal_split(nodes_count)
        received[live_node_id] = report
    if node_id not in received:
        return Division.equal_split(nodes_count)
    return Division(nodes_count, received, is_complete=True)


def _demand_share(own: float, total: float, count: int) -> float:
    if total <= 0:
        return 1.0 / count
    return FLOOR_SHARE / count + (1.0 - FLOOR_SHARE) * own / total


def _demand_of(report: DemandReport, customer: str) -> CustomerDemand:
    for demand in report.demands:
        if demand.customer == customer:
            return demand
    return CustomerDemand(customer, 0.0)


def _total_demands(
    reports: Mapping[str, DemandReport],
) -> dict[str, CustomerDemand]:
    totals: dict[str, CustomerDemand] = {}
    for report in reports.values():
        for demand in report.demands:
            subtotal = totals.get(
                demand.customer, CustomerDemand(demand.customer, 0.0)
            )
            totals[demand.customer] = CustomerDemand(
                demand.customer,
                subtotal.requests_per_s + demand.requests_per_s,
                subtotal.tokens_per_s + demand.tokens_per_s,
            )
    return totals

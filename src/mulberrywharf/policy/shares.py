"""Divides customers' limits among nodes from the demand they reported.

Time is cut into rounds. In each round every node publishes one
``DemandReport``: its demand, and a digest of the set of nodes that it holds
for live. Nodes that reported the same digest, and heard each other's reports,
divide among themselves by demand their part of the limit: (their number / all
nodes in the VM list). A node that misses a report of its set takes no more
than an equal part, limit / all nodes.

Why the sum stays bounded: a node publishes one digest a round, so two groups
that agree within themselves never share a node, and their parts add up to at
most the limit. Each of the m nodes that miss a report takes at most limit /
all nodes, so the sum is at most limit * (1 + m / nodes), and never more than
the limit when all reports arrive or when a partition splits the nodes cleanly.
"""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

import xxhash

FLOOR_SHARE = 0.03
"""Part of a group's limit that is divided equally whatever the demand."""


class CustomerDemand(NamedTuple):
    """What one customer asked of one node.

    Attributes:
        customer: Who asked.
        requests_per_s: Requests, refused ones too.
        tokens_per_s: Their tokens; where no node tells them, the tokens are
            divided as the requests are.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float = 0.0


class DemandReport(NamedTuple):
    """One node's demand in one round, carried in its heartbeats.

    Attributes:
        node_id: Who reports.
        round_number: The round; see ``round_number``.
        live_digest: Digest of the nodes it holds for live, see
            ``live_digest``.
        demands: Its busiest customers.
    """

    node_id: str
    round_number: int
    live_digest: int
    demands: tuple[CustomerDemand, ...]


class Part(NamedTuple):
    """A node's part of one customer's limit.

    Attributes:
        requests_share: Of its requests, 0 to 1.
        tokens_share: Of its tokens, 0 to 1.
    """

    requests_share: float
    tokens_share: float


class DemandMeter:
    """Averages what a customer asks for, fading exponentially."""

    __slots__ = ("_requests_per_s", "_tokens_per_s", "_updated_s")

    def __init__(self, now_s: float):
        self._requests_per_s = 0.0
        self._tokens_per_s = 0.0
        self._updated_s = now_s

    def add(self, tokens: float, now_s: float, constant_s: float) -> None:
        """Counts one request of ``tokens``."""
        self._fade(now_s, constant_s)
        self._requests_per_s += 1.0 / constant_s
        self._tokens_per_s += tokens / constant_s

    def read(
        self, customer: str, now_s: float, constant_s: float
    ) -> CustomerDemand:
        """Returns the present averages; what has all but faded is zero."""
        self._fade(now_s, constant_s)
        if self._requests_per_s < 0.001:
            return CustomerDemand(customer, 0.0)
        return CustomerDemand(
            customer, self._requests_per_s, self._tokens_per_s
        )

    def _fade(self, now_s: float, constant_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)
        left = math.exp(-passed_s / constant_s)
        self._requests_per_s *= left
        self._tokens_per_s *= left


class Division:
    """The parts of all customers' limits in one round, as one node sees it."""

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
    def alone_of(cls, nodes_count: int) -> "Division":
        """Makes the division of a node that has heard of no demand."""
        return cls(nodes_count, {}, is_complete=False)

    @property
    def is_complete(self) -> bool:
        """Whether every report of the node's group was heard."""
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
        requests_share = _divide(
            own.requests_per_s, total.requests_per_s, group_count
        )
        tokens_share = requests_share
        if total.tokens_per_s > 0:
            tokens_share = _divide(
                own.tokens_per_s, total.tokens_per_s, group_count
            )
        return Part(group_share * requests_share, group_share * tokens_share)


def round_number(now_unix_s: float, round_s: float) -> int:
    """Returns the number of the round; nodes' clocks agree within a part."""
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
    wanted_round: int,
) -> Division:
    """Works out the division of a round from the reports heard.

    Args:
        node_id: The node that asks; it must be among the live.
        live_node_ids: Nodes that it holds for live.
        nodes_count: All nodes in the VM list, live or not; those that are
            not live keep an equal part each, since they may only be cut off.
        reports: Last report of each node, its own among them.
        wanted_round: The round whose reports count, the one before the
            present, so that they had a whole round to arrive.
    """
    nodes_count = max(nodes_count, len(live_node_ids))
    digest = live_digest(live_node_ids)
    heard = {}
    for live_node_id in live_node_ids:
        report = reports.get(live_node_id)
        if report is None or report.round_number != wanted_round:
            return Division.alone_of(nodes_count)
        if report.live_digest != digest:
            return Division.alone_of(nodes_count)
        heard[live_node_id] = report
    if node_id not in heard:
        return Division.alone_of(nodes_count)
    return Division(nodes_count, heard, is_complete=True)


def _divide(own: float, total: float, count: int) -> float:
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
            before = totals.get(
                demand.customer, CustomerDemand(demand.customer, 0.0)
            )
            totals[demand.customer] = CustomerDemand(
                demand.customer,
                before.requests_per_s + demand.requests_per_s,
                before.tokens_per_s + demand.tokens_per_s,
            )
    return totals

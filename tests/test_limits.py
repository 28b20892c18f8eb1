"""Tests of customer rate limits and of their division among nodes."""

import unittest
from collections.abc import Collection, Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrywharf.policy import limits, shares

_CUSTOMER = "prairie"
_ROUND = 7


def _node_ids(count: int) -> list[str]:
    return [f"entry-{number}" for number in range(count)]


def _report(
    node_id: str,
    live: Collection[str],
    requests_per_s: float,
    round_number: int = _ROUND,
) -> shares.DemandReport:
    demand = shares.CustomerDemand(
        _CUSTOMER, requests_per_s, requests_per_s * 100
    )
    return shares.DemandReport(
        node_id, round_number, shares.live_digest(live), (demand,)
    )


def _sum_of_shares(
    reports: Mapping[str, shares.DemandReport],
    live_of: Mapping[str, Collection[str]],
    heard_by: Mapping[str, Collection[str]],
) -> float:
    """Adds up all nodes' parts, each computed from the reports it received."""
    total = 0.0
    for node_id, live in live_of.items():
        heard = {n: reports[n] for n in heard_by[node_id] if n in reports}
        division = shares.divide(node_id, live, len(live_of), heard, _ROUND)
        total += division.part_of(node_id, _CUSTOMER).requests_share
    return total


class DivideTest(unittest.TestCase):
    def setUp(self):
        self.nodes = _node_ids(9)
        self.reports = {
            node_id: _report(node_id, self.nodes, float(number == 0) * 50)
            for number, node_id in enumerate(self.nodes)
        }

    def test_node_with_the_demand_gets_the_share(self):
        division = shares.divide("entry-0", self.nodes, 9, self.reports, _ROUND)
        busy = division.part_of("entry-0", _CUSTOMER)
        idle = division.part_of("entry-1", _CUSTOMER)
        floor = shares.FLOOR_SHARE / 9
        self.assertAlmostEqual(
            busy.requests_share, 1 - shares.FLOOR_SHARE + floor
        )
        self.assertAlmostEqual(idle.requests_share, floor)

    def test_without_demand_the_shares_are_equal(self):
        division = shares.divide("entry-0", self.nodes, 9, self.reports, _ROUND)
        part = division.part_of("entry-5", "unheard-of")
        self.assertAlmostEqual(part.tokens_share, 1 / 9)

    def test_missing_or_unusable_report_gives_an_equal_part(self):
        cases = {
            "lost": {n: r for n, r in self.reports.items() if n != "entry-3"},
            "from an earlier round": self.reports
            | {"entry-3": _report("entry-3", self.nodes, 0.0, _ROUND - 1)},
            "other view of the live nodes": self.reports
            | {"entry-3": _report("entry-3", self.nodes[:8], 0.0)},
        }
        for name, reports in cases.items():
            with self.subTest(name):
                division = shares.divide(
                    "entry-0", self.nodes, 9, reports, _ROUND
                )
                part = division.part_of("entry-0", _CUSTOMER)
                self.assertAlmostEqual(part.requests_share, 1 / 9)

    def test_partition_divides_the_limit_in_proportion_to_its_nodes(self):
        """Guards against a network partition doubling a customer's limit.

        Three of nine nodes lose contact with the six others, and both sides
        continue. Without a part for the missing nodes, each side would divide
        the whole limit among its own nodes.
        """
        near, far = self.nodes[:3], self.nodes[3:]
        live_of = {n: near if n in near else far for n in self.nodes}
        reports = {
            n: _report(n, live, float(n == "entry-0") + 0.1)
            for n, live in live_of.items()
        }
        total = _sum_of_shares(reports, live_of, live_of)
        self.assertAlmostEqual(total, 1.0)
        division = shares.divide("entry-0", near, 9, reports, _ROUND)
        part = division.part_of("entry-0", _CUSTOMER)
        self.assertGreater(part.requests_share, 0.2)

    @given(st.data(), st.integers(1, 8))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_sum_is_bounded_for_any_lost_reports_and_any_live_sets(
        self, data, count
    ):
        """Guards against lost heartbeats or differing views lifting a limit.

        For any live set at each node and any loss of reports, the sum stays
        within limit * (1 + m / nodes), where m nodes fell back to an equal
        part.
        """
        nodes = _node_ids(count)
        subsets = st.sets(st.sampled_from(nodes))
        live_of = {n: data.draw(subsets) | {n} for n in nodes}
        heard_by = {n: data.draw(subsets) | {n} for n in nodes}
        demands = st.floats(0, 1_000)
        reports = {n: _report(n, live_of[n], data.draw(demands)) for n in nodes}
        fallen_back_count = 0
        for node_id in nodes:
            heard = {n: reports[n] for n in heard_by[node_id]}
            division = shares.divide(
                node_id, live_of[node_id], count, heard, _ROUND
            )
            fallen_back_count += not division.is_complete
        total = _sum_of_shares(reports, live_of, heard_by)
        self.assertLessEqual(total, 1 + fallen_back_count / count + 1e-9)

    @given(st.lists(st.floats(0, 1_000), min_size=1, max_size=12))
    @settings(derandomize=True, deadline=None)
    def test_sum_is_the_limit_when_all_reports_arrive(self, demands):
        nodes = _node_ids(len(demands))
        reports = {
            n: _report(n, nodes, demand)
            for n, demand in zip(nodes, demands, strict=True)
        }
        everyone = dict.fromkeys(nodes, nodes)
        total = _sum_of_shares(reports, everyone, everyone)
        self.assertAlmostEqual(total, 1.0)


class CustomerLimitsTest(unittest.TestCase):
    def _limits(
        self, limit: limits.CustomerLimit, nodes_count: int = 1
    ) -> limits.CustomerLimits:
        return limits.CustomerLimits.from_config(
            "entry-0", {_CUSTOMER: limit}, 0.0, nodes_count=nodes_count
        )

    def _passed_count(
        self,
        node: limits.CustomerLimits,
        *,
        asked_per_s: int,
        seconds: int,
        tokens: float = 1.0,
    ) -> int:
        instants = [n / asked_per_s for n in range(asked_per_s * seconds)]
        return sum(
            node.take(_CUSTOMER, tokens, now_s).is_ok() for now_s in instants
        )

    def test_customer_without_limit_is_not_limited(self):
        node = self._limits(limits.CustomerLimit(requests_per_s=1.0))
        for _ in range(100):
            self.assertTrue(node.take("solano", 10**6, 0.0).is_ok())

    def test_rate_limit_is_enforced(self):
        cases = {
            "requests": (limits.CustomerLimit(requests_per_s=10.0), 1.0, 10),
            "tokens": (limits.CustomerLimit(tokens_per_s=500.0), 50.0, 10),
        }
        for name, (limit, tokens, rate_per_s) in cases.items():
            with self.subTest(name):
                passed = self._passed_count(
                    self._limits(limit),
                    asked_per_s=100,
                    seconds=10,
                    tokens=tokens,
                )
                self.assertLessEqual(passed, rate_per_s * 12 + 1)
                self.assertGreaterEqual(passed, rate_per_s * 10)

    def test_refused_request_is_allowed_after_its_retry_after_time(self):
        node = self._limits(limits.CustomerLimit(requests_per_s=0.5))
        self.assertTrue(node.take(_CUSTOMER, 1, 0.0).is_ok())
        error = node.take(_CUSTOMER, 1, 0.0).unwrap_err()
        self.assertEqual(error.outcome, "not-run")
        later_s = error.retry_after_s + 0.001
        self.assertTrue(node.take(_CUSTOMER, 1, later_s).is_ok())

    def test_limit_of_zero_allows_no_request(self):
        node = self._limits(limits.CustomerLimit(requests_per_s=0.0))
        error = node.take(_CUSTOMER, 1, 0.0).unwrap_err()
        self.assertIsNone(error.retry_after_s)

    def test_request_above_the_burst_is_allowed_and_leaves_a_debt(self):
        node = self._limits(limits.CustomerLimit(tokens_per_s=100.0))
        self.assertTrue(node.take(_CUSTOMER, 1_000, 0.0).is_ok())
        self.assertTrue(node.take(_CUSTOMER, 1, 7.0).is_err())
        self.assertTrue(node.take(_CUSTOMER, 1, 9.0).is_ok())

    def test_unused_tokens_are_returned(self):
        node = self._limits(limits.CustomerLimit(tokens_per_s=100.0))
        node.take(_CUSTOMER, 200, 0.0)
        node.settle(_CUSTOMER, 200, 10)
        self.assertTrue(node.take(_CUSTOMER, 150, 0.0).is_ok())

    def test_refused_requests_count_as_demand(self):
        """Guards against a node with a small share never getting a larger one.

        All of a customer's load arrives at one node, which refuses most of it.
        If only allowed requests counted as demand, the node's share would stay
        small.
        """
        node = self._limits(
            limits.CustomerLimit(requests_per_s=9.0), nodes_count=9
        )
        self._passed_count(node, asked_per_s=50, seconds=10)
        (demand,) = node.demand(10.0)
        self.assertGreater(demand.requests_per_s, 40)

    def test_only_the_busiest_customers_are_reported(self):
        names = [f"customer-{number:03}" for number in range(370)]
        limit = limits.CustomerLimit(tokens_per_s=10.0**6)
        node = limits.CustomerLimits.from_config(
            "entry-0", dict.fromkeys(names, limit), 0.0, nodes_count=9
        )
        for number, name in enumerate(names):
            node.take(name, number, 0.0)
        reported = [demand.customer for demand in node.demand(0.0)]
        self.assertEqual(reported, names[:-17:-1])

    def test_new_configuration_changes_the_rate_limit(self):
        node = self._limits(limits.CustomerLimit(requests_per_s=1.0))
        new = limits.CustomerLimit(requests_per_s=100.0)
        node.set_limits({_CUSTOMER: new}, 0.0)
        passed = self._passed_count(node, asked_per_s=100, seconds=5)
        self.assertGreater(passed, 450)


if __name__ == "__main__":
    unittest.main()

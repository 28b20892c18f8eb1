"""Tests how routers apply the operators' rules and the configuration."""

import unittest

from mulberrywharf.requests import demand_rates, standing
from tests import callers_fixture, cluster


class StandingTest(unittest.TestCase):
    def test_rule_can_only_lower_customer_limit(self) -> None:
        document = callers_fixture.document()
        name = callers_fixture.CUSTOMER
        for rule_rate, rate in ((5.0, 5.0), (5000.0, 1000.0)):
            with self.subTest(rule_rate=rule_rate):
                limits = standing.customer_limits(
                    document, {"customer": name, "requests_per_s": rule_rate}
                )
                self.assertEqual(limits[name].requests_per_s, rate)

    def test_rule_limit_for_unknown_customer_is_ignored(self) -> None:
        document = callers_fixture.document()
        limits = standing.customer_limits(
            document, {"customer": "nobody", "requests_per_s": 1.0}
        )
        self.assertEqual(limits, standing.customer_limits(document))

    def test_unknown_customer_gets_default_weight_and_priority(self) -> None:
        standings = standing.Standings.from_config(callers_fixture.document())
        self.assertEqual(standings.of("nobody"), standing.CustomerPriority())


class DemandRatesTest(unittest.TestCase):
    def test_rates_follow_requests_and_decay(self) -> None:
        rates = demand_rates.DemandRates()
        for tenth in range(600):
            rates.count("a", "tagger", tenth / 10)
        read = rates.read(60.0)
        self.assertAlmostEqual(read.customers["a"], 10.0, delta=1.0)
        self.assertAlmostEqual(read.models["tagger"], 10.0, delta=1.0)
        self.assertEqual(rates.read(600.0), demand_rates.Rates({}, {}))


class RouterRulesTest(unittest.TestCase):
    def test_rule_limit_takes_effect_and_is_lifted(self) -> None:
        running = cluster.Cluster(
            cluster.Shape(engines_per_zone=0, backends_per_zone=1)
        ).start()
        self.addCleanup(running.close)
        caller = running.caller()
        limit = {"customer": callers_fixture.CUSTOMER, "requests_per_s": 1}

        def is_refused() -> bool:
            answer = caller.call("/echo", b"x")
            if answer.status == 429:
                self.assertEqual(answer.outcome, "not-run")
                self.assertIn("retry-after", answer.headers)
            return answer.status == 429

        self.assertFalse(is_refused())
        running.apply(callers_fixture.document(default={"limit": limit}))
        cluster.wait_until(is_refused, "the rule's limit")
        running.apply(callers_fixture.document())
        cluster.wait_until(
            lambda: not any(is_refused() for _ in range(5)), "no limit"
        )


if __name__ == "__main__":
    unittest.main()

"""Tests of dividing scarce engines among customers, without a network."""

import random
import unittest

from hypothesis import given, strategies

from bench import customer_play
from mulberrywharf.policy import (
    customer_meter,
    customer_shares,
    prompt_admission,
)

KEYS = {name: customer_meter.customer_key(name) for name in ("ann", "bob")}


def report(
    *demands: tuple[str, float], admitted: float = 1.0, unserved: float = 1.0
) -> customer_meter.DemandReport:
    """Returns the report of a gateway."""
    named = tuple(
        customer_meter.CustomerDemand(customer_meter.customer_key(name), demand)
        for name, demand in demands
    )
    return customer_meter.DemandReport(named, 0.0, 0, admitted, unserved)


class FairLevelTest(unittest.TestCase):
    @given(
        strategies.lists(strategies.floats(0.0, 10.0), min_size=1),
        strategies.floats(0.01, 50.0),
    )
    def test_the_level_divides_all_capacity(
        self, demands: list[float], capacity: float
    ) -> None:
        """Guards against capacity that no customer gets, or two get."""
        level = customer_shares.fair_level(
            ((one, 1) for one in demands), capacity
        )
        divided = sum(min(one, level) for one in demands)
        self.assertAlmostEqual(divided, min(capacity, sum(demands)), places=6)


class ZoneDemandTest(unittest.TestCase):
    def test_reports_are_replaced_and_dropped(self) -> None:
        """Guards against counting a gateway twice, or after it ended."""
        zone = customer_shares.ZoneDemand()
        for now_s in (0.0, 0.0, 1.0):
            zone.note("g1", report(("ann", 2.0), ("bob", 0.2)), now_s)
        zone.note("g2", report(("ann", 2.0)), 3.0)
        shares = zone.shares(2, 6.0)
        assert shares is not None
        self.assertAlmostEqual(shares.level, 2.0)
        self.assertEqual(dict(shares.shares), {KEYS["ann"]: 0.5})
        later = zone.shares(2, 7.5)
        assert later is not None
        self.assertAlmostEqual(later.level, 1.1)
        self.assertIsNone(zone.shares(2, 10.0))

    def test_no_level_while_next_to_nothing_is_refused(self) -> None:
        """Guards against refusing customers while engines keep up."""
        zone = customer_shares.ZoneDemand()
        zone.note("g1", report(("ann", 2.0), unserved=0.01), 0.0)
        self.assertIsNone(zone.shares(1, 0.0))


class GatewaySharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = customer_shares.CustomerShares(random.Random(1))
        self.part = customer_shares.GatewayShares(
            1.0, {KEYS["ann"]: 0.2}, frozenset({KEYS["bob"]}), False
        )

    def ask(
        self, customer: str, fingerprint: int = 0, now_s: float = 0.0
    ) -> customer_shares.Decision:
        return self.shares.decide(
            "tagger", customer, lambda: fingerprint, 4.0, now_s
        )

    def test_a_customer_above_the_level_gets_its_share(self) -> None:
        self.shares.update("tagger", self.part, 0.0)
        asked = [self.ask("ann", number, 5.0) for number in range(1_000)]
        admitted = sum(one.retry_after_s is None for one in asked)
        self.assertAlmostEqual(admitted, 200, delta=5)
        self.assertEqual(self.ask("bob").standing, "below")
        self.assertEqual(self.ask("eve").standing, "unknown")

    def test_without_new_shares_all_are_admitted(self) -> None:
        """Guards against refusals after the gateways that reply have ended."""
        self.shares.update("tagger", self.part, 0.0)
        self.assertEqual(self.ask("ann", now_s=6.1).standing, "unknown")
        self.assertEqual(self.ask("bob", now_s=6.1).standing, "unknown")

    def test_a_repeat_is_not_refused_while_newer_ones_are_admitted(
        self,
    ) -> None:
        """A caller was refused again and again beside newer callers."""
        self.shares.update("tagger", self.part, 0.0)
        waiting: list[int] = []
        refused_at = -100
        for number in range(2_000):
            is_repeat = bool(waiting) and number % 2 == 0
            fingerprint = waiting.pop(0) if is_repeat else number
            if self.ask("ann", fingerprint).retry_after_s is None:
                if not is_repeat:
                    self.assertGreater(number - refused_at, 10)
            elif is_repeat:
                refused_at = number
            else:
                waiting.append(fingerprint)
        self.assertGreater(refused_at, 0)

    def test_retries_are_spread(self) -> None:
        """Guards against refused callers that all come back together."""
        self.shares.update("tagger", self.part, 0.0)
        delays = [
            self.ask("ann", number, number * 0.01).retry_after_s
            for number in range(200)
        ]
        found = sorted(one for one in delays if one is not None)
        self.assertGreaterEqual(found[0], customer_shares.MIN_RETRY_AFTER_S)
        self.assertLessEqual(found[-1], 1.2)
        self.assertGreater(len(set(found)), 50)


class MeterTest(unittest.TestCase):
    def test_state_is_bounded(self) -> None:
        """Guards against memory that grows with invented names."""
        meter = customer_meter.CustomerMeter()
        for service in range(40):
            for customer in range(400):
                meter.note_demand(f"s{service}", f"c{customer}", 1.0, 0.0)
        self.assertEqual(len(meter.services()), 28)
        self.assertEqual(len(meter.customers("s39")), 370)
        found = meter.report("s39", 0.0)
        self.assertEqual((len(found.customers), found.rest_count), (16, 354))


class ClaimTest(unittest.TestCase):
    def test_claims_order_requests_of_equal_wait(self) -> None:
        """A customer was refused for others' load though it was in time."""
        rng = random.Random(1)
        claims: tuple[prompt_admission.Claim, ...] = (
            "assured",
            "usual",
            "yielding",
        )
        refused = {
            (claim, wait_s): sum(
                prompt_admission.decide(
                    prompt_admission.AdmissionEstimate(
                        wait_s, wait_s, 1.0, 5.0
                    ),
                    rng,
                    claim=claim,
                )
                is not None
                for _ in range(100)
            )
            for claim in claims
            for wait_s in (0.3, 0.7, 0.79)
        }
        self.assertEqual(refused["assured", 0.79], 0)
        self.assertEqual(refused["usual", 0.3], 0)
        self.assertLess(refused["usual", 0.7], 80)
        self.assertGreater(refused["usual", 0.79], 80)
        self.assertLess(refused["yielding", 0.3], 80)
        self.assertEqual(refused["yielding", 0.7], 100)

    def test_retries_are_spread_at_a_long_queue(self) -> None:
        """Callers refused together all came back after the same time."""
        estimate = prompt_admission.AdmissionEstimate(4.0, 4.0, 1.0, 5.0)
        for claim in ("assured", "yielding"):
            rng = random.Random(1)
            refusals = [
                prompt_admission.decide(estimate, rng, claim=claim)
                for _ in range(50)
            ]
            delays = {one.retry_after_s for one in refusals if one}
            self.assertEqual(len(delays), 50)
            self.assertGreaterEqual(min(delays), 0.75)
            self.assertLessEqual(max(delays), 1.5)


class PlayTest(unittest.TestCase):
    def test_a_flood_costs_others_at_most_a_tenth(self) -> None:
        """First come, first served, some customers lose half of their part."""
        for gateways, customers in ((9, 76), (67, 76), (195, 370), (340, 370)):
            with self.subTest(gateways=gateways, customers=customers):
                scene = customer_play.Scene(
                    gateways, customers, has_faults=True, duration_s=30.0
                )
                found = customer_play.play(scene, "shared", (1,))
                without = customer_play.play(scene, "first-come", (1,))
                self.assertGreaterEqual(found.worst, 0.9)
                self.assertLess(without.worst, 0.9)
                self.assertGreaterEqual(found.served, 0.995 * without.served)

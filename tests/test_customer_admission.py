"""Tests of customers' shares where a gateway places their prompts."""

import random
import unittest

from mulberrywharf import clock, errors, server_limits
from mulberrywharf.forwarding import (
    customer_admission,
    engine_estimates,
    engine_pool,
    request,
    server_tracker,
    time_limits,
)
from mulberrywharf.policy import customer_meter, customer_shares
from mulberrywharf.routes import kinds, table
from tests import builders_routes as build
from tests.test_generation import NoNotices
from tests.test_plain_call import StaticServers

SERVICE = table.Service("service", 100, build.ENGINE)


class StoppedClock(clock.Clock):
    """A clock that stands still, so that plans are repeatable."""

    def monotonic_s(self) -> float:
        return 100.0


class CustomerAdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = StoppedClock()
        self.meter = customer_meter.CustomerMeter()
        self.shares = customer_shares.CustomerShares(random.Random(2))
        key = customer_meter.customer_key
        self.part = customer_shares.GatewayShares(
            1.0, {key("ann"): 0.0}, frozenset({key("bob")}), False
        )

    def pool(self, *, has_customers: bool = True) -> engine_pool.EnginePool:
        tracker = server_tracker.ServerTracker("zone-a")
        estimates = engine_estimates.EngineEstimates(
            tracker, self.clock, NoNotices(), lambda _: 500_000
        )
        customers = customer_admission.CustomerAdmission(
            self.meter, self.shares, estimates.speeds, self.clock
        )
        return engine_pool.EnginePool(
            StaticServers(build.server("s0", role="decode", slots_count=16)),
            tracker,
            estimates,
            server_limits.ServerLimits(self.clock),
            self.clock,
            random.Random(1),
            customers if has_customers else None,
        )

    def outcomes(
        self, pool: engine_pool.EnginePool, customer: str, count: int = 30
    ) -> list[tuple[str, float | None]]:
        """Returns the message and Retry-After of each of some prompts."""
        route = build.route(
            kind=kinds.EventStream(False), timeout_s=5.0, target_s=2.0
        )
        found = []
        for number in range(count):
            routed_request = build.routed_request(
                100.0,
                # An own part for each, or all but the first would be cached.
                prompt=build.prompt()._replace(
                    parts=(
                        request.PromptPart("aa", 13_000),
                        request.PromptPart(f"own {number}", 3_000),
                    )
                ),
                customer=customer,
                body=b"%d" % number,
            )
            limit = time_limits.TimeLimit.of(routed_request, route, self.clock)
            try:
                pool.place(
                    routed_request,
                    route,
                    SERVICE,
                    limit,
                    excluded=frozenset(),
                    may_refuse=True,
                )
                found.append(("placed", None))
            except errors.OverloadedError as error:
                found.append((error.message, error.retry_after_s))
        return found

    def test_callers_without_a_customer_are_decided_as_before(self) -> None:
        """Guards against any effect where the routes name no customers."""
        before = self.outcomes(self.pool(has_customers=False), "")
        self.assertLess(before.count(("placed", None)), 30)
        self.shares.update("service", self.part, 100.0)
        self.assertEqual(self.outcomes(self.pool(), ""), before)
        self.assertEqual(self.meter.services(), ())

    def test_customers_without_a_level_are_decided_as_before(self) -> None:
        before = self.outcomes(self.pool(has_customers=False), "ann")
        self.assertEqual(self.outcomes(self.pool(), "ann"), before)
        report = self.meter.report("service", 100.0)
        self.assertGreater(report.unserved, 0.0)
        self.assertGreater(report.admitted, 0.0)

    def test_a_customer_above_the_level_leaves_room_for_others(self) -> None:
        """A customer with many requests took the engines from the others."""
        self.shares.update("service", self.part, 100.0)
        pool = self.pool()
        message = "the customer is above its part of the engines"
        large = [text for text, _ in self.outcomes(pool, "ann")]
        self.assertIn("placed", large)
        self.assertIn(message, large)
        small = [text for text, _ in self.outcomes(pool, "bob")]
        self.assertGreater(small.count("placed"), large.count("placed"))
        self.assertNotIn(message, small)
        self.assertIn("the engines can't answer in time", small)

    def test_late_starts_count_as_scarce(self) -> None:
        """Engines that start everything late looked as if they kept up."""
        pool = self.pool()
        route = build.route(kind=kinds.EventStream(False), target_s=1.0)
        for arrived_s, customer in ((99.5, "ann"), (98.0, ""), (98.0, "ann")):
            self.assertEqual(self.meter.services(), ())
            pool.note_started(
                build.routed_request(arrived_s, customer=customer),
                route,
                SERVICE,
            )
        report = self.meter.report("service", 100.0)
        self.assertGreater(report.unserved, 0.0)

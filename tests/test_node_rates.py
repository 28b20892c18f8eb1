"""Tests of the rates that a controller fetches from its zone's routers."""

import unittest

import gevent
from loguru import logger
from result import Err

from mulberrywharf import clock, fleet, rules
from mulberrywharf.nodes import codec, links, messages, rates, server
from mulberrywharf.programs import _controller_rates
from tests import builders_claims, builders_nodes, builders_rules

logger.disable("mulberrywharf.programs._controller_rates")

_ZONE = "regina-hall"
_WANTED = rates.WantedRates(("dispatch",), ("tagger",))


def _rule(name: str, **conditions):
    return {"name": name, "when": conditions, "then": {"hold": True}}


def _document(*given):
    return {"rules": list(given), "default": {"hold": True}}


class WantedRatesTest(unittest.TestCase):
    def test_only_names_in_conditions_on_rates_in_rule_order(self):
        document = _document(
            _rule("a", model="tagger"),
            _rule("b", customer="b", requests_above_per_s=1),
            _rule("c", customer="a", requests_below_per_s=1),
            _rule("d", customer="b", requests_above_per_s=9),
            _rule("e", queue_delay_above_s=1),
        )
        wanted = _controller_rates.wanted_rates(document)
        self.assertEqual(wanted, rates.WantedRates(("b", "a"), ("tagger",)))

    def test_names_beyond_the_limit_are_left_out(self):
        names = [f"customer-{i}" for i in range(rates.NAMES_LIMIT_COUNT + 1)]
        document = _document(*(_rule(n, customer=n) for n in names))
        wanted = _controller_rates.wanted_rates(document)
        self.assertEqual(wanted.customers, tuple(names[:-1]))


class RouterRatesTest(unittest.TestCase):
    def _rates_of(self, replied_count: int, asked_s: float = 0.0):
        router_rates = rates.RouterRates()
        reply = messages.Rates((2.0,), (0.5,))
        for number in range(replied_count):
            router_rates.note(f"vm-{number}", _WANTED, reply, asked_s + number)
        return router_rates

    def test_known_once_enough_routers_replied(self):
        cases = ((3, 3), (3, 2), (2, 2), (1, 1), (6, 4))
        for routers_count, replied_count in cases:
            with self.subTest(routers=routers_count, replied=replied_count):
                vm_ids = [f"vm-{n}" for n in range(routers_count)]
                seen = self._rates_of(replied_count).read(_WANTED, vm_ids, 10.0)
                self.assertEqual(
                    seen.customers, {"dispatch": 2.0 * replied_count}
                )
                self.assertEqual(seen.models, {"tagger": 0.5 * replied_count})
                self.assertEqual(seen.age_s, 10.0)

    def test_unknown_if_too_few_routers_replied(self):
        for routers_count, replied_count in ((3, 1), (2, 1), (1, 0), (0, 0)):
            with self.subTest(routers=routers_count, replied=replied_count):
                vm_ids = [f"vm-{n}" for n in range(routers_count)]
                seen = self._rates_of(replied_count).read(_WANTED, vm_ids, 10.0)
                self.assertEqual(seen, rates.NO_RATES)

    def test_replies_that_are_not_used(self):
        vm_ids = ["vm-0"]
        cases = {
            "old": (_WANTED, vm_ids, rates.REPLY_LIFETIME_S + 0.1),
            "from a router that left": (_WANTED, ["vm-1"], 1.0),
            "for other names": (
                rates.WantedRates(("other",), ()),
                vm_ids,
                1.0,
            ),
        }
        for name, (wanted, listed, now_s) in cases.items():
            with self.subTest(name):
                seen = self._rates_of(1).read(wanted, listed, now_s)
                self.assertEqual(seen, rates.NO_RATES)

    def test_gives_up_after_the_time_limit_without_replies(self):
        router_rates = rates.RouterRates()
        given_up = [
            router_rates.read(_WANTED, ["vm-0"], float(second)).given_up
            for second in range(100)
        ]
        self.assertEqual(given_up.index(True), int(rates.GIVE_UP_S))
        self.assertTrue(all(given_up[int(rates.GIVE_UP_S) :]))
        router_rates.note("vm-0", _WANTED, messages.Rates((1.0,), (1.0,)), 99.0)
        self.assertFalse(router_rates.read(_WANTED, ["vm-0"], 100.0).given_up)

    def test_a_pause_does_not_count_as_time_without_replies(self):
        """Roles must not change after each pause of a controller.

        A controller that was stopped for minutes evaluates its rules before
        any reply arrives. If the pause counted as time without replies, the
        controller would skip a rule that matches.
        """
        router_rates = self._rates_of(1)
        router_rates.read(_WANTED, ["vm-0"], 1.0)
        after_pause = router_rates.read(_WANTED, ["vm-0"], 500.0)
        self.assertEqual(after_pause, rates.NO_RATES)


class MatchTest(unittest.TestCase):
    def test_rules_with_conditions_on_rates(self):
        document = _document(
            _rule("busy", customer="dispatch", requests_above_per_s=5),
            _rule("idle", customer="dispatch", requests_below_per_s=1),
        )
        cases = (
            ("busy", False, {"customer_requests_per_s": {"dispatch": 6.0}}),
            ("busy", True, {"absent_requests_per_s": None}),
            ("idle", False, {"absent_requests_per_s": 0.0}),
            ("busy", True, {"rates_age_s": float("inf")}),
            (
                "default",
                False,
                {"rates_age_s": float("inf"), "rates_given_up": True},
            ),
        )
        for rule_name, undecided, changes in cases:
            with self.subTest(rule_name, **changes):
                found = rules.match(
                    document,
                    builders_rules.situation(**changes),
                    sustain=rules.Sustain(),
                    now_s=0.0,
                )
                self.assertEqual(found.rule_name, rule_name)
                self.assertEqual(found.undecided, undecided)


class RejectedReplyTest(unittest.TestCase):
    def test_rates_that_are_negative_or_not_finite(self):
        for rate in (float("nan"), float("inf"), -1.0):
            with self.subTest(rate=rate):
                reply = messages.Envelope("a", 1, messages.Rates((rate,), ()))
                decoded = codec.decode(codec.encode(reply))
                self.assertIsInstance(decoded, Err)


class FetchTest(unittest.TestCase):
    """A controller fetches rates over real connections."""

    def setUp(self):
        self.links = links.Links("entry-9", builders_nodes.KEY)
        self.vms: list[fleet.VmRecord] = []
        self.rates = _controller_rates.ZoneRates(
            _ZONE,
            node_links=self.links,
            vms=lambda: self.vms,
            clock=clock.SystemClock(),
        )
        self.rates.start()
        self.addCleanup(self.rates.close)
        self.document = _document(
            _rule("busy", customer="dispatch", requests_above_per_s=5)
        )

    def start_router(self, number, customers):
        started = server.NodeServer(
            "127.0.0.1", 0, f"entry-{number}", builders_nodes.KEY
        )
        rates.register_rates_handler(started, lambda: (customers, {}))
        started.start()
        self.addCleanup(started.close)
        self.vms.append(builders_nodes.entry_vm(number, started.port))
        return started

    def read(self, document=None):
        return self.rates.add_to(
            builders_rules.situation(), document or self.document
        )

    def test_rates_are_summed_over_the_routers_of_the_zone(self):
        self.start_router(1, {"dispatch": 4.0, "other": 50.0})
        self.start_router(2, {"dispatch": 2.0})
        self.start_router(3, {})
        elsewhere = builders_nodes.entry_vm(
            4, self.vms[0].address.port, "saskatoon-hall"
        )
        self.vms.append(elsewhere)
        builders_claims.wait_until(lambda: self.read().rates_age_s < 10)
        builders_claims.wait_until(
            lambda: (
                self.read().customer_requests_per_s.get("dispatch", 0.0) == 6.0
            )
        )

    def test_nothing_is_fetched_unless_a_rule_needs_it(self):
        self.start_router(1, {"dispatch": 4.0})
        self.read(_document(_rule("calm", queue_delay_above_s=1)))
        gevent.sleep(1.0)
        self.assertEqual(self.links.traffic.sent_count, 0)
        self.read()
        builders_claims.wait_until(lambda: self.links.traffic.received_count)

    def test_fetching_continues_after_an_exception(self):
        """A malformed record in the VM list must not end the fetching task.

        If an exception in one interval ended the task, the rates would stay
        unknown until the controller restarts.
        """
        self.start_router(1, {"dispatch": 4.0})
        self.read()
        good, self.vms = self.vms, [None]
        gevent.sleep(0.6)
        self.vms = good
        builders_claims.wait_until(lambda: self.read().rates_age_s < 10)

    def test_rates_are_fetched_again_after_a_router_restarts(self):
        started = self.start_router(1, {"dispatch": 4.0})
        started.close()
        self.read()
        gevent.sleep(0.5)
        self.assertEqual(self.read().rates_age_s, float("inf"))
        started.start()
        builders_claims.wait_until(lambda: self.read().rates_age_s < 10)

    def test_a_router_that_does_not_reply_is_left_out(self):
        silent = server.NodeServer("127.0.0.1", 0, "e", builders_nodes.KEY)
        silent.start()
        self.addCleanup(silent.close)
        self.vms.append(builders_nodes.entry_vm(0, silent.port))
        self.start_router(1, {"dispatch": 4.0})
        self.start_router(2, {"dispatch": 1.0})
        builders_claims.wait_until(lambda: self.read().rates_age_s < 10)
        self.assertEqual(self.read().customer_requests_per_s["dispatch"], 5.0)


if __name__ == "__main__":
    unittest.main()

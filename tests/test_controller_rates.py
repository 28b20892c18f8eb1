"""Rules on a customer's request rate, with real controllers and routers."""

import unittest

import gevent

from tests import builders_settings, callers_fixture, cluster, processes

_ZONE = "regina-hall"
_RULES = [
    {
        "name": "busy-customer",
        "when": {
            "customer": callers_fixture.CUSTOMER,
            "requests_above_per_s": 5,
        },
        "then": {"hold": True},
    },
    {
        "name": "behind",
        "when": {"queue_delay_below_s": 1000},
        "then": {"hold": True},
    },
]
_SHAPE = cluster.Shape(
    routers_per_zone=2,
    backends_per_zone=1,
    document={"rules": _RULES},
)


class ControllerRatesTest(unittest.TestCase):
    def start(self, shape: cluster.Shape) -> cluster.Cluster:
        running = cluster.Cluster(shape).start()
        self.addCleanup(running.close)
        return running

    def wait_for_rule(
        self, running: cluster.Cluster, wanted: str, *, undecided: bool = False
    ) -> None:
        def is_in_force() -> bool:
            rule = running.status(running.controllers[0]).get("rule")
            if rule is None or rule["undecided"] != undecided:
                return False
            return bool(rule["rule_name"] == wanted)

        cluster.wait_until(is_in_force, f"{wanted} in force", 60.0)

    def test_rule_follows_the_rate_summed_over_routers(self) -> None:
        """A rule on a customer's rate stays undecided when the rate rises.

        An undecided rule holds the zone's engines in their current state. The
        requests arrive at two routers, at each of them below the bound. Only
        routers count requests, so a controller that polls none or only one of
        them does not know the rate of the zone.
        """
        running = self.start(_SHAPE._replace(controllers=True))
        self.wait_for_rule(running, "behind")
        senders = [
            gevent.spawn(self._send, running.caller(index)) for index in (0, 1)
        ]
        try:
            self.wait_for_rule(running, "busy-customer")
        finally:
            gevent.killall(senders)
        self.wait_for_rule(running, "behind")

    def test_later_rules_apply_when_no_router_answers(self) -> None:
        """No router reports its rates, and no rule of the zone acts any more.

        The routers have ended while the VM list still shows them. A condition
        that stays unknown blocks all later rules, also those on engines'
        reports.
        """
        running = self.start(_SHAPE)
        settings = running.node_settings("controller-1", _ZONE)
        process = processes.Process(
            "tests.controller_without",
            "--settings",
            builders_settings.write_settings(settings),
            "--rates-give-up-s",
            "6",
        )
        running.controllers.append(
            cluster.Member("controller-1", "", _ZONE, process, 0)
        )
        self.wait_for_rule(running, "behind")
        for router in running.routers:
            router.process.close()
        self.wait_for_rule(running, "busy-customer", undecided=True)
        self.wait_for_rule(running, "behind")

    def _send(self, caller: cluster.Caller) -> None:
        while True:
            caller.call("/echo", b"x")
            gevent.sleep(0.25)


if __name__ == "__main__":
    unittest.main()

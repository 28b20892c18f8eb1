"""Tests of the decision to eject a server, and of its return."""

import random
import unittest

from mulberrywharf import fleet
from mulberrywharf.peers import notice_codec
from mulberrywharf.policy import ejected_servers, server_ejection
from tests import builders_routes as build
from tests.builders_outcomes import counts


class JudgeTest(unittest.TestCase):
    def test_reports_of_gateways_that_saw_failures_only_are_checked(
        self,
    ) -> None:
        """Guards against an ejection by a biased sum.

        Five gateways had one failed answer each, and the others only good ones.
        """
        judge = server_ejection.EjectionJudge[int]()
        failed = counts(2, 2, 20, 0)
        for reporter in range(5):
            judge.note(reporter, failed, 0.0)
        self.assertTrue(judge.verdict(0.1).is_failing)
        for reporter in range(5, 17):
            judge.note(reporter, counts(3, 0, 20, 0), 0.0)
        self.assertFalse(judge.verdict(0.1).is_failing)

    def test_a_server_must_be_much_worse_than_the_others(self) -> None:
        """Guards against ejections by chance, or for a fault of all servers."""
        for own, others, expected in (
            ((30, 18), (60, 15), False),  # 0.6 is less than three times 0.25.
            ((6, 3), (50, 7), False),  # 0.5 of few answers may be by chance.
            ((30, 18), (60, 6), True),
            ((30, 18), (2, 0), False),  # Too little is known of the others.
        ):
            judge = server_ejection.EjectionJudge[int]()
            for reporter in range(3):
                judge.note(reporter, counts(*own, *others), 0.0)
            is_failing = judge.verdict(0.1).is_failing
            self.assertEqual(is_failing, expected, (own, others))

    def test_at_most_a_quarter_and_never_the_last_is_ejected(self) -> None:
        """Guards against servers that are overloaded by the ejection."""
        servers = [build.server(f"s{number}") for number in range(8)]
        starts = {one.start for one in servers}
        may_eject = server_ejection.may_eject
        self.assertTrue(may_eject(servers[0], servers, {servers[1].start}))
        two = {servers[1].start, servers[2].start}
        self.assertFalse(may_eject(servers[0], servers, two))
        self.assertFalse(may_eject(servers[0], servers[:1], set()))
        self.assertFalse(may_eject(servers[0], servers[:2], starts))
        far = build.server("far", availability_zone="zone-b")
        self.assertTrue(may_eject(servers[0], [servers[0], far], set()))
        prefill = build.server("p", role="prefill")
        self.assertFalse(may_eject(servers[0], [servers[0], prefill], set()))


class EjectedServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = [build.server(f"s{number}") for number in range(4)]
        self.keys = {
            one.start: notice_codec.hash_server_start(one.start)
            for one in self.servers
        }
        self.ejected = ejected_servers.EjectedServers(random.Random(1))

    def eject(self, *servers: fleet.Server) -> None:
        for server in servers:
            decision = ejected_servers.Decision(
                self.keys[server.start], True, 1, 1.0
            )
            self.ejected.apply(decision, 1.0, 10.0)

    def allowed(
        self, servers: list[fleet.Server], now_s: float, *, may_repeat: bool
    ) -> list[fleet.Server]:
        return self.ejected.allowed(
            servers, self.keys, now_s, may_repeat=may_repeat
        )

    def test_servers_are_used_if_all_are_ejected(self) -> None:
        """Guards against refused callers where a server might answer."""
        self.eject(*self.servers)
        one = self.servers[:1]
        self.assertEqual(self.allowed(one, 10.5, may_repeat=False), one)
        left = self.allowed(self.servers, 10.5, may_repeat=False)
        self.assertEqual(len(left), 3)

    def test_no_request_that_runs_at_most_once_is_a_trial(self) -> None:
        self.eject(self.servers[0])
        for now_s in (11.1, 11.5, 12.0):
            for may_repeat, expected in (
                (False, self.servers[1:]),
                (True, self.servers[:1]),
                (True, self.servers[1:]),
            ):
                self.assertEqual(
                    self.allowed(self.servers, now_s, may_repeat=may_repeat),
                    expected,
                )

    def test_a_server_returns_by_degrees(self) -> None:
        """Guards against an empty queue that draws all requests at once."""
        self.eject(self.servers[0])
        shares = [
            sum(
                self.servers[0]
                in self.allowed(self.servers, now_s, may_repeat=False)
                for _ in range(200)
            )
            / 200
            for now_s in (13.1, 14.0, 15.1)
        ]
        self.assertLess(shares[0], 0.4)
        self.assertTrue(shares[0] < shares[1] < shares[2] == 1.0)

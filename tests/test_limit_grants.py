"""Tests how the owner of a server's request limit divides it."""

import unittest

from mulberrywharf.policy import limit_grants

SERVER_KEY = 7
LIMIT_PER_S = 10.0


def claim(
    limit_per_s: float | None = LIMIT_PER_S,
    *,
    rank: int = 0,
    is_settled: bool = True,
    stated_s: float = 0.0,
    max_wait_s: float = 0.0,
) -> limit_grants.Claim:
    statement = limit_grants.LimitStatement(limit_per_s, stated_s)
    return limit_grants.Claim(
        SERVER_KEY, rank, is_settled, statement, max_wait_s
    )


class GrantsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.grants = limit_grants.LimitGrants()

    def granted_count(
        self, made: limit_grants.Claim, from_s: float, to_s: float
    ) -> int:
        """Claims 100 times per second and returns how many are granted."""
        steps_count = int((to_s - from_s) * 100)
        return sum(
            self.grants.decide(made, from_s + step / 100).is_granted
            for step in range(steps_count)
        )

    def test_the_whole_limit_is_granted_and_no_more(self) -> None:
        count = self.granted_count(claim(), 0.0, 4.0)
        self.assertGreaterEqual(count, 4 * LIMIT_PER_S - 1)
        self.assertLessEqual(count, 4 * LIMIT_PER_S + 2)

    def test_unused_time_is_granted_later_for_a_moment_only(self) -> None:
        self.grants.decide(claim(), 0.0)
        granted = [
            self.grants.decide(claim(), 60.0).is_granted for _ in range(10)
        ]
        self.assertEqual(sum(granted), 1 + LIMIT_PER_S * limit_grants.BURST_S)

    def test_requests_wait_for_their_slots_in_turn(self) -> None:
        waits_s = [
            self.grants.decide(claim(max_wait_s=1.0), 0.0).wait_s
            for _ in range(4)
        ]
        for wait_s, expected_s in zip(waits_s, (0, 0.1, 0.2, 0.3), strict=True):
            self.assertAlmostEqual(wait_s, expected_s)
        refused = self.grants.decide(claim(max_wait_s=0.2), 0.0)
        self.assertFalse(refused.is_granted)
        self.assertAlmostEqual(refused.wait_s, 0.4)

    def test_refused_claims_take_no_slot(self) -> None:
        self.grants.decide(claim(), 0.0)
        for _ in range(100):
            self.assertFalse(self.grants.decide(claim(), 0.05).is_granted)
        self.assertTrue(self.grants.decide(claim(), 0.1).is_granted)

    def test_all_lanes_together_stay_within_what_operators_allow(self) -> None:
        """Gateways that disagree on the owner claim at all of them at once."""
        for limit_per_s in (0.0, 0.001, 0.5, 2.0, 10.0, 100.0):
            others = [limit_grants.LimitGrants() for _ in range(3)]
            lanes = [
                (self.grants, claim(limit_per_s)),
                (others[0], claim(limit_per_s, is_settled=False)),
                (others[1], claim(limit_per_s, rank=1)),
                (others[2], claim(limit_per_s, rank=2)),
            ]
            self.grants = limit_grants.LimitGrants()
            count = 0
            for grants, made in lanes:
                self.grants = grants
                grants.decide(made, 0.0)
                count += self.granted_count(made, 20.0, 24.0)
            self.assertLessEqual(count, 1.5 * limit_per_s * 4.0 + 5)
            self.setUp()

    def test_the_newest_statement_holds(self) -> None:
        """A gateway that missed the end of a limit kept others waiting."""
        for _ in range(3):
            self.grants.decide(claim(stated_s=1.0), 2.0)
        ended = limit_grants.LimitStatement(None, 1.5)
        self.grants.note_statement(SERVER_KEY, ended)
        grant = self.grants.decide(claim(stated_s=1.0), 2.0)
        self.assertEqual(grant, limit_grants.Grant(True, 0.0, ended))
        again = self.grants.decide(claim(2.0, stated_s=1.8), 2.0)
        self.assertEqual(again.statement.requests_per_s, 2.0)

    def test_news_of_an_end_that_is_late_takes_no_slot(self) -> None:
        """Guards against a trial that was granted to no request."""
        self.grants.note_statement(
            SERVER_KEY, limit_grants.LimitStatement(0.0, 1.0)
        )
        told = self.grants.decide(claim(None, stated_s=0.9), 1.1)
        self.assertEqual(told.statement.requests_per_s, 0.0)
        self.assertTrue(
            self.grants.decide(claim(0.0, stated_s=1.0), 1.1).is_granted
        )

    def test_a_lower_limit_holds_from_the_next_claim_on(self) -> None:
        self.granted_count(claim(100.0), 0.0, 1.0)
        count = self.granted_count(claim(2.0, stated_s=1.0), 1.0, 5.0)
        self.assertLessEqual(count, 9)

    def test_a_higher_limit_shortens_waits(self) -> None:
        low = claim(1.0, max_wait_s=10.0)
        for _ in range(5):
            self.grants.decide(low, 0.0)
        grant = self.grants.decide(
            claim(100.0, stated_s=0.1, max_wait_s=10.0), 0.1
        )
        self.assertLess(grant.wait_s, 0.1)

    def test_a_server_that_accepts_nothing_is_tried_now_and_then(self) -> None:
        """A server would be lost if nothing asked whether its limit ended."""
        for limit_per_s in (0.0, 0.001):
            count = self.granted_count(claim(limit_per_s), 0.0, 40.0)
            self.assertGreaterEqual(count, 19)
            self.assertLessEqual(count, 21)
            self.setUp()

    def test_memory_is_bounded(self) -> None:
        statement = limit_grants.LimitStatement(LIMIT_PER_S, 0.0)
        for key in range(5_000):
            made = limit_grants.Claim(key, 0, True, statement, 0.0)
            self.grants.decide(made, float(key))
        self.assertLessEqual(
            len(self.grants._statements), limit_grants.SCHEDULES_LIMIT_COUNT
        )
        self.assertLessEqual(
            len(self.grants._schedules), limit_grants.SCHEDULES_LIMIT_COUNT
        )


if __name__ == "__main__":
    unittest.main()

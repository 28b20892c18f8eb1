"""Tests of which prompt parts are blocked because servers ended."""

import itertools
import random
import unittest
from collections.abc import Iterable

from mulberrywharf.policy import crash_blocks, crash_suspects
from tests.builders_crashes import (
    answer_others,
    blocked_parts,
    blocked_requests,
    end,
    record_end,
    traits,
)

CULPRIT = 100
COMPANION = 101
POPULAR = 102
SERVICE = "engines"
CUSTOMER = 7
OTHER_CUSTOMER = 8


class PartsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = crash_suspects.CrashSuspects()
        self.requests = itertools.count(1)
        self.servers = itertools.count(1)

    def lose(
        self,
        *parts: int,
        at_s: float = 0.0,
        customer: int = CUSTOMER,
        server_key: int | None = None,
        made_output: bool = False,
        are_others_answered: bool = True,
    ) -> int:
        """Records the end of a server under a new request; returns its key."""
        server_key = next(self.servers) if server_key is None else server_key
        record_end(
            self.suspects,
            next(self.requests),
            end(server_key, at_s, made_output=made_output),
            parts,
            customer,
        )
        if are_others_answered:
            answer_others(self.suspects, at_s)
        return server_key

    def answer(
        self, *parts: int, at_s: float = 0.0, customer: int = CUSTOMER
    ) -> frozenset[int]:
        return self.suspects.record_answer_began(customer, parts, SERVICE, at_s)

    def is_blocked(
        self, *parts: int, at_s: float = 1.0, customer: int = CUSTOMER
    ) -> bool:
        unknown = traits(next(self.requests), parts, customer)
        return self.suspects.is_blocked(unknown, at_s)

    def blocked_parts(self, at_s: float = 1.0) -> list[set[int]]:
        return blocked_parts(self.suspects, at_s)


class BlockedPartTest(PartsCase):
    def test_common_part_of_different_requests_is_blocked(self) -> None:
        for number in range(3):
            self.assertEqual(self.blocked_parts(), [])
            self.lose(number, CULPRIT, 10 + number)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        self.assertTrue(self.is_blocked(50, CULPRIT))
        self.assertFalse(self.is_blocked(0, 10))

    def test_one_request_alone_blocks_no_part(self) -> None:
        for server_key in range(3):
            record_end(self.suspects, 1, end(server_key), (CULPRIT,))
        self.assertEqual(self.blocked_parts(), [])
        self.assertEqual(blocked_requests(self.suspects, 1.0), [1])

    def test_two_ends_under_one_request_and_one_under_another(self) -> None:
        for server_key in range(2):
            record_end(self.suspects, 900, end(server_key), (CULPRIT, 5))
        record_end(self.suspects, 901, end(2), (CULPRIT, 6))
        answer_others(self.suspects, 0.0)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])

    def test_part_that_ends_servers_behind_output_is_not_blocked(self) -> None:
        for _ in range(5):
            self.lose(CULPRIT, made_output=True)
        self.assertEqual(self.blocked_parts(), [])

    def test_other_requests_at_the_servers_are_not_blocked(self) -> None:
        for number in range(3):
            server_key = self.lose(CULPRIT, number)
            for bystander in range(5):
                self.lose(200 + bystander, number, server_key=server_key)
            self.answer(*(200 + bystander for bystander in range(5)))
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])

    def test_blocking_does_not_depend_on_the_order_of_reports(self) -> None:
        reports = [
            (900, end(1), (CULPRIT, 1)),
            (900, end(2), (CULPRIT, 1)),
            (901, end(2), (COMPANION, 2)),
            (902, end(3), (CULPRIT, 3)),
        ]
        for order in itertools.permutations(reports):
            suspects = crash_suspects.CrashSuspects()
            for fingerprint, server_end, parts in order:
                record_end(suspects, fingerprint, server_end, parts)
            answer_others(suspects, 0.0)
            self.assertEqual(blocked_parts(suspects, 1.0), [{CULPRIT}])


class NothingAnsweredTest(PartsCase):
    """Guards against blocking a popular part when all servers end at once."""

    def test_part_is_blocked_once_others_are_answered(self) -> None:
        for _ in range(3):
            self.lose(CULPRIT, are_others_answered=False)
        self.assertEqual(self.blocked_parts(), [])
        answer_others(self.suspects, 5.0)
        self.assertEqual(self.blocked_parts(5.0), [{CULPRIT}])

    def test_answers_just_before_the_ends_show_that_others_are_answered(
        self,
    ) -> None:
        """Guards against losing more servers where each gateway answers few."""
        answer_others(self.suspects, 9.0)
        for _ in range(3):
            self.lose(CULPRIT, at_s=10.0, are_others_answered=False)
        self.assertEqual(self.blocked_parts(10.0), [{CULPRIT}])

    def test_part_is_not_blocked_if_it_is_answered_first(self) -> None:
        for _ in range(3):
            self.lose(POPULAR, are_others_answered=False)
        self.answer(POPULAR, at_s=5.0)
        answer_others(self.suspects, 5.0)
        self.assertEqual(self.blocked_parts(5.0), [])

    def test_many_ends_block_a_part_that_all_requests_have(self) -> None:
        for number in range(crash_blocks.PART_ENDS_WITHOUT_ANSWERS_COUNT):
            self.assertEqual(self.blocked_parts(), [], number)
            self.lose(CULPRIT, are_others_answered=False)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])

    def test_reason_of_a_block_elsewhere_needs_no_answers(self) -> None:
        """Guards against a gateway that begins anew and has answered none."""
        for number in range(3):
            self.suspects.record_server_end(
                traits(number, (CULPRIT,)), end(number), is_accepted=True
            )
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])


class IndistinguishableTest(PartsCase):
    def setUp(self) -> None:
        super().setUp()
        for _ in range(3):
            self.lose(CULPRIT, COMPANION)

    def test_only_requests_with_all_parts_are_blocked(self) -> None:
        self.assertEqual(self.blocked_parts(), [{CULPRIT, COMPANION}])
        self.assertTrue(self.is_blocked(CULPRIT, COMPANION, 5))
        self.assertFalse(self.is_blocked(CULPRIT))
        self.assertFalse(self.is_blocked(COMPANION))

    def test_an_answer_tells_the_parts_apart(self) -> None:
        self.assertEqual(self.answer(COMPANION), {COMPANION})
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        self.assertTrue(self.is_blocked(CULPRIT))

    def test_one_more_end_tells_the_parts_apart(self) -> None:
        self.lose(CULPRIT)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])


class ClearedPartTest(PartsCase):
    def test_popular_part_is_not_blocked_when_all_servers_end(self) -> None:
        self.answer(POPULAR, at_s=9.5)
        for _ in range(5):
            self.lose(POPULAR, at_s=10.0)
        self.assertEqual(self.blocked_parts(), [])

    def test_popular_part_is_not_blocked_in_an_outage(self) -> None:
        """Guards against blocking every part of a service that is down."""
        self.answer(POPULAR, at_s=0.0)
        for number in range(5):
            self.lose(POPULAR, at_s=20.0 + 4.0 * number)
        self.assertEqual(self.blocked_parts(50.0), [])

    def test_part_that_stops_being_answered_is_blocked(self) -> None:
        self.answer(CULPRIT, at_s=0.0)
        for _ in range(crash_suspects.ANSWERED_KEPT_COUNT):
            self.answer(POPULAR, at_s=2.5)
        for _ in range(3):
            self.lose(CULPRIT, at_s=3.0)
        self.assertEqual(self.blocked_parts(4.0), [{CULPRIT}])

    def test_answer_after_the_ends_clears_the_part(self) -> None:
        for _ in range(3):
            self.lose(CULPRIT)
        self.assertEqual(self.answer(CULPRIT, at_s=5.0), {CULPRIT})
        self.assertEqual(self.blocked_parts(5.0), [])
        self.assertEqual(self.answer(CULPRIT, at_s=6.0), frozenset())

    def test_answer_between_the_ends_clears_the_part(self) -> None:
        self.lose(CULPRIT)
        self.lose(CULPRIT)
        self.answer(CULPRIT, at_s=1.0)
        self.lose(CULPRIT, at_s=4.0)
        self.assertEqual(self.blocked_parts(4.0), [])

    def test_answer_that_another_gateway_reports_clears_the_part(self) -> None:
        for _ in range(3):
            self.lose(CULPRIT, at_s=10.0)
        stale = crash_suspects.Answered(CUSTOMER, 2.0)
        self.suspects.record_part_cleared(CULPRIT, stale)
        self.assertEqual(self.blocked_parts(11.0), [{CULPRIT}])
        recent = crash_suspects.Answered(CUSTOMER, 9.0)
        self.suspects.record_part_cleared(CULPRIT, recent)
        self.assertEqual(self.blocked_parts(11.0), [])

    def test_late_report_of_an_end_before_an_answer_blocks_nothing(
        self,
    ) -> None:
        self.answer(CULPRIT, at_s=5.0)
        for _ in range(3):
            self.lose(CULPRIT, at_s=4.0)
        self.assertEqual(self.blocked_parts(5.0), [])

    def test_known_answers_are_told_about_reported_parts(self) -> None:
        self.answer(POPULAR, at_s=9.0)
        reported = traits(1, (POPULAR, CULPRIT), CUSTOMER)
        found = self.suspects.unsuspected_parts(reported, end(1, 10.0))
        self.assertEqual(set(found), {POPULAR})
        found = self.suspects.unsuspected_parts(reported, end(1, 20.0))
        self.assertEqual(found, {})


class CustomersTest(PartsCase):
    def test_part_is_blocked_for_the_customer_of_the_requests(self) -> None:
        """Guards against customers who name a part of another customer."""
        for _ in range(3):
            self.lose(CULPRIT)
        self.assertTrue(self.is_blocked(CULPRIT))
        self.assertFalse(self.is_blocked(CULPRIT, customer=OTHER_CUSTOMER))

    def test_answers_to_other_customers_do_not_unblock_a_customer(self) -> None:
        self.answer(CULPRIT, customer=OTHER_CUSTOMER)
        for _ in range(3):
            self.lose(CULPRIT)
            self.answer(CULPRIT, customer=OTHER_CUSTOMER)
        self.assertTrue(self.is_blocked(CULPRIT))
        self.assertFalse(self.is_blocked(CULPRIT, customer=OTHER_CUSTOMER))

    def test_answers_to_another_customer_are_news_once(self) -> None:
        """Guards against telling all gateways of each answer."""
        self.lose(CULPRIT)
        news = [self.answer(CULPRIT, customer=OTHER_CUSTOMER) for _ in range(3)]
        self.assertEqual(news, [{CULPRIT}, frozenset(), frozenset()])

    def test_ends_under_two_customers_block_the_part_for_all(self) -> None:
        for customer in (CUSTOMER, CUSTOMER, OTHER_CUSTOMER):
            self.lose(CULPRIT, customer=customer)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        self.assertTrue(self.is_blocked(CULPRIT, customer=9))

    def test_answer_to_one_customer_limits_the_block_to_others(self) -> None:
        for customer in (CUSTOMER, CUSTOMER, CUSTOMER, OTHER_CUSTOMER):
            self.lose(CULPRIT, customer=customer)
        self.answer(CULPRIT, customer=9)
        self.assertTrue(self.is_blocked(CULPRIT))
        self.assertFalse(self.is_blocked(CULPRIT, customer=9))


class SeveralCausesTest(PartsCase):
    def test_two_parts_at_once(self) -> None:
        for number in range(6):
            server_key = self.lose((CULPRIT, COMPANION)[number % 2], number)
            self.lose(POPULAR, number, server_key=server_key)
            self.answer(POPULAR)
        self.assertCountEqual(self.blocked_parts(), [{CULPRIT}, {COMPANION}])

    def test_request_beside_a_part(self) -> None:
        for number in range(3):
            self.lose(CULPRIT, number)
        for server_key in (50, 51):
            record_end(self.suspects, 999, end(server_key), (POPULAR,))
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        self.assertEqual(blocked_requests(self.suspects, 1.0), [999])

    def test_request_at_servers_that_a_part_ended_is_not_blocked(self) -> None:
        server_keys = [self.lose(CULPRIT, number) for number in range(3)]
        for server_key in server_keys[:2]:
            record_end(self.suspects, 999, end(server_key), (POPULAR,))
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        self.assertEqual(blocked_requests(self.suspects, 1.0), [])

    def test_resumed_request_at_all_servers_of_a_part_is_not_blocked(
        self,
    ) -> None:
        """Guards against blocking a bystander in place of the part."""
        server_keys = [self.lose(CULPRIT, number) for number in range(3)]
        for number, server_key in enumerate(server_keys):
            server_end = end(server_key, made_output=number == 2)
            record_end(self.suspects, 999, server_end, (POPULAR,))
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        self.assertEqual(blocked_requests(self.suspects, 1.0), [])

    def test_part_at_servers_that_another_part_ended_is_not_blocked(
        self,
    ) -> None:
        server_keys = [self.lose(CULPRIT, number) for number in range(4)]
        for server_key in server_keys[:3]:
            self.lose(COMPANION, server_key=server_key)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])


class CrashesFromOutsideTest(PartsCase):
    def play(self, seed: int, parts: Iterable[int]) -> int:
        """Plays servers that end by chance; counts the blocks at the end."""
        rng = random.Random(seed)
        weights = [1.0 / (1 + rank) for rank, _ in enumerate(parts)]
        suspects = crash_suspects.CrashSuspects()
        requests = itertools.count(1)
        now_s = 0.0
        for number in range(12):
            for _ in range(40):
                now_s += 0.01
                chosen = rng.choices(list(parts), weights, k=3)
                suspects.record_answer_began(CUSTOMER, chosen, SERVICE, now_s)
            for _ in range(6):
                chosen = rng.choices(list(parts), weights, k=3)
                record_end(
                    suspects,
                    next(requests),
                    end(1_000 + number, now_s),
                    chosen,
                    CUSTOMER,
                )
        return len(suspects.blocks(now_s))

    def test_a_series_of_ends_blocks_nothing(self) -> None:
        counts = [self.play(seed, range(100)) for seed in range(20)]
        self.assertEqual(sum(counts), 0)


class LastServerTest(PartsCase):
    def test_part_is_kept_from_the_last_server_behind_two_ends(self) -> None:
        suspect = traits(999, (CULPRIT,), CUSTOMER)
        self.lose(CULPRIT)
        self.assertFalse(self.suspects.is_recent_suspect(suspect, 1.0))
        self.lose(CULPRIT)
        self.assertTrue(self.suspects.is_recent_suspect(suspect, 1.0))
        self.answer(CULPRIT)
        self.assertFalse(self.suspects.is_recent_suspect(suspect, 1.0))


class TrialTest(PartsCase):
    def setUp(self) -> None:
        super().setUp()
        for _ in range(3):
            self.lose(CULPRIT)

    def test_a_block_ends_at_the_price_of_one_server(self) -> None:
        kept_s = crash_suspects.SUSPECT_KEPT_S
        for number in range(1, 4):
            (block,) = self.suspects.blocks(number * kept_s)
            self.assertTrue(self.suspects.may_try(block, number * kept_s))
            self.lose(CULPRIT, at_s=number * kept_s)
            (block,) = self.suspects.blocks(number * kept_s)
            self.assertFalse(self.suspects.may_try(block, number * kept_s))
        self.answer(CULPRIT, at_s=4 * kept_s)
        self.assertEqual(self.blocked_parts(4 * kept_s), [])


class SuspectedPartTest(PartsCase):
    """The next trial came before others' answers decided on the part."""

    def delay_s(self, at_s: float) -> float:
        return self.suspects.trial_delay_s_of((CULPRIT,), CUSTOMER, at_s)

    def test_trials_that_end_servers_become_rarer(self) -> None:
        for _ in range(2):
            self.lose(CULPRIT, are_others_answered=False)
        delays_s = []
        for _ in range(4):
            self.suspects.record_trial(CULPRIT, 1.0)
            delays_s.append(self.delay_s(1.0))
            self.lose(CULPRIT, at_s=1.0, are_others_answered=False)
        self.assertEqual(delays_s, [0.5, 1.0, 2.0, 2.0])


class BoundedTest(PartsCase):
    def test_evidence_of_a_block_outlives_other_ends(self) -> None:
        for _ in range(3):
            self.lose(CULPRIT)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])
        for number in range(crash_suspects.SUSPECTS_LIMIT_COUNT + 5):
            self.lose(200 + number, at_s=0.5, server_key=99)
        self.assertEqual(self.blocked_parts(), [{CULPRIT}])

    def test_answers_are_bounded(self) -> None:
        limit_count = crash_suspects.ANSWERED_LIMIT_COUNT
        for part in range(limit_count):
            self.answer(part)
        self.assertEqual(len(self.suspects._answered), limit_count)


if __name__ == "__main__":
    unittest.main()

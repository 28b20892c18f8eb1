"""Tests of the decision which path requests use, and who helps."""

import random
import unittest
from typing import Any

from mulberrywharf import fleet
from mulberrywharf.policy import helpers, lost_path


def peer(number: int) -> fleet.Address:
    return fleet.Address("10.0.0.1", number)


OWN = [peer(1), peer(2)]
OTHERS = [peer(number) for number in range(11, 17)]
ZONES = helpers.Zones(OWN, OTHERS)
SERVES = helpers.Report(can_serve=True)
SERVES_NOT = helpers.Report(can_serve=False)


class PathCase(unittest.TestCase):
    def setUp(self) -> None:
        self.states: list[str] = []
        self.paths = lost_path.LostPaths(
            random.Random(1), lambda change: self.states.append(change.state)
        )

    def way(self, now_s: float, *, may_repeat: bool = True) -> str:
        return self.paths.way("s", now_s, may_repeat=may_repeat)

    def lose(self, now_s: float = 10.0) -> None:
        self.paths.update("s", "none", now_s)
        self.paths.note_report("s", OTHERS[0], SERVES, now_s + 0.01)


class LossTest(PathCase):
    def test_a_service_whose_servers_are_reached_uses_the_own_path(
        self,
    ) -> None:
        self.paths.update("s", "whole", 10.0)
        self.assertEqual(self.way(10.0), "own")
        self.assertFalse(self.paths.may_hand_over("s", 10.0))
        self.assertEqual(self.paths.next_asked("s", ZONES, 10.0), ())

    def test_requests_are_handed_over_before_any_reply(self) -> None:
        self.paths.update("s", "none", 10.0)
        self.assertEqual(self.way(10.0), "helper")
        self.assertEqual(self.paths.state("s"), "doubtful")

    def test_failed_servers_are_told_from_a_lost_path(self) -> None:
        """Guards against handing over when no gateway reaches the servers."""
        self.paths.update("s", "none", 10.0)
        for number, address in enumerate([*OWN, *OTHERS]):
            self.paths.note_report(
                "s", address, SERVES_NOT, 10.01 + number / 99
            )
        self.assertEqual(self.way(10.0 + lost_path.DOUBT_S), "own")
        self.assertEqual(self.states, ["doubtful"])

    def test_a_path_is_lost_once_another_gateway_serves(self) -> None:
        self.lose()
        self.assertEqual(self.states, ["doubtful", "lost"])
        self.assertEqual(self.way(12.0), "helper")
        self.assertFalse(self.paths.can_serve("s"))

    def test_without_a_role_the_own_path_serves_until_a_helper_is_known(
        self,
    ) -> None:
        self.paths.update("s", "partial", 10.0)
        self.assertEqual(self.way(10.0), "own")
        self.paths.note_report("s", OTHERS[0], SERVES, 10.01)
        self.assertEqual(self.way(10.01), "helper")

    def test_a_helper_that_is_not_heard_of_any_more_is_not_used(self) -> None:
        self.lose()
        late_s = 10.1 + helpers.CONFIRMED_S
        self.assertEqual(self.way(late_s), "own")
        self.paths.note_served("s", OTHERS[1], 1.0, late_s)
        self.assertEqual(self.way(late_s), "helper")

    def test_a_short_failure_returns_at_once(self) -> None:
        self.paths.update("s", "none", 10.0)
        self.paths.update("s", "whole", 10.05)
        self.assertEqual(self.way(10.05), "own")
        self.assertEqual(self.states, ["doubtful", "own"])


class ReturnTest(PathCase):
    def returning(self) -> None:
        self.lose()
        self.paths.update("s", "whole", 12.0)
        self.assertEqual(self.paths.state("s"), "returning")

    def test_the_own_path_is_used_by_degrees(self) -> None:
        self.returning()
        ways = [self.way(12.0) for _ in range(3)]
        self.assertEqual(ways, ["own", "helper", "helper"])
        self.paths.note_answered("s", 12.1)
        ways = [self.way(12.1) for _ in range(3)]
        self.assertEqual(ways, ["own", "own", "helper"])
        for _ in range(lost_path.RETURN_ANSWERS_COUNT - 1):
            self.paths.note_answered("s", 12.2)
        self.assertEqual(self.states[-1], "own")

    def test_requests_that_may_not_repeat_do_not_try_the_path(self) -> None:
        """Guards against losing a request to a path that may be broken."""
        self.returning()
        self.assertEqual(self.way(12.0, may_repeat=False), "helper")
        self.assertEqual(self.way(12.0), "own")

    def test_without_repeatable_requests_any_tries_the_path(self) -> None:
        self.returning()
        later_s = 12.0 + lost_path.REPEATABLE_ONLY_S
        self.paths.note_served("s", OTHERS[0], 0.0, later_s)
        self.assertEqual(self.way(later_s, may_repeat=False), "own")

    def test_a_gateway_without_callers_returns_after_a_while(self) -> None:
        """Guards against a gateway that helps nobody as nobody calls it."""
        self.returning()
        self.paths.update("s", "whole", 12.0 + lost_path.RETURN_LIMIT_S)
        self.assertTrue(self.paths.can_serve("s"))

    def test_failed_returns_are_tried_less_and_less_often(self) -> None:
        """Guards against requests lost to a path that fails again and again."""
        self.lose()
        began_s, now_s = 12.0, 12.0
        tries_count = 0
        while now_s < began_s + 10.0:
            self.paths.note_served("s", OTHERS[0], 0.0, now_s)
            self.paths.update("s", "whole", now_s)
            if self.paths.state("s") == "returning":
                tries_count += 1
                self.paths.update("s", "none", now_s)
            now_s += 0.05
        self.assertLessEqual(tries_count, 5)
        self.assertGreaterEqual(tries_count, 4)


class QuestionTest(PathCase):
    def asked(self, now_s: float) -> set[Any]:
        return set(self.paths.next_asked("s", ZONES, now_s))

    def test_gateways_of_the_own_zone_are_asked_first(self) -> None:
        self.paths.update("s", "none", 10.0)
        asked = self.asked(10.0)
        self.assertEqual(len(asked), helpers.ASKED_COUNT)
        self.assertTrue(asked & set(OWN))

    def test_questions_are_bounded(self) -> None:
        self.paths.update("s", "none", 10.0)
        asked_count = sum(
            len(self.asked(10.0 + tick / 100)) for tick in range(1_000)
        )
        self.assertLessEqual(asked_count, (20 + 9 + 2) * helpers.ASKED_COUNT)

    def test_named_helpers_are_asked_next(self) -> None:
        self.paths.update("s", "none", 10.0)
        report = helpers.Report(can_serve=False, helpers=(OTHERS[5],))
        self.paths.note_report("s", OWN[0], report, 10.01)
        rounds = [
            self.asked(10.1 + number / 10)
            for number in range(helpers.RANDOM_ROUNDS_COUNT + 1)
        ]
        self.assertIn(OTHERS[5], rounds[-1])

    def test_a_gateway_without_a_path_names_its_helpers(self) -> None:
        self.lose()
        self.assertEqual(self.paths.named_helpers("s", 10.1), (OTHERS[0],))


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.helpers = helpers.Helpers(random.Random(1))

    def serve(self, *addresses: fleet.Address, load: float = 0.0) -> None:
        for address in addresses:
            self.helpers.note_serving(address, load, 10.0)

    def choose(
        self, now_s: float = 10.0, excluded: tuple[Any, ...] = ()
    ) -> fleet.Address | None:
        return self.helpers.choose(ZONES, excluded, now_s)

    def test_the_own_zone_is_preferred_until_its_helper_has_more_to_do(
        self,
    ) -> None:
        self.serve(OWN[0], OTHERS[0])
        self.assertEqual(self.choose(), OWN[0])
        self.serve(OWN[0], load=30.0)
        self.assertEqual(self.choose(), OTHERS[0])

    def test_requests_spread_over_the_helpers_of_a_zone(self) -> None:
        self.serve(*OTHERS)
        counts = dict.fromkeys(OTHERS, 0)
        for _ in range(600):
            chosen = self.choose()
            assert chosen is not None
            self.helpers.began(chosen)
            counts[chosen] += 1
        self.assertLess(max(counts.values()) - min(counts.values()), 10)

    def test_without_helpers_one_of_the_own_zone_is_tried(self) -> None:
        self.assertIn(self.choose(), OWN)
        self.assertIn(self.choose(excluded=tuple(OWN)), OTHERS)

    def test_refusals_are_remembered_by_kind(self) -> None:
        self.serve(OTHERS[0])
        for refusal, avoided_s in (
            ("busy", 2 * helpers.AVOID_BUSY_S),
            ("no-path", helpers.AVOID_NO_PATH_S),
            ("silent", helpers.AVOID_SILENT_S),
        ):
            self.serve(OTHERS[0])
            self.helpers.note_refused(OTHERS[0], refusal, 10.0)
            self.assertNotEqual(self.choose(10.05), OTHERS[0])
            self.assertFalse(self.helpers.confirmed(10.05))
            is_helper = OTHERS[0] in self.helpers.confirmed(10.0 + avoided_s)
            self.assertEqual(is_helper, refusal == "busy")

    def test_when_all_have_refused_nobody_is_left(self) -> None:
        everyone = (*OWN, *OTHERS)
        self.assertIsNone(self.choose(excluded=everyone))

    def test_the_memory_of_gateways_is_bounded(self) -> None:
        for number in range(5_000):
            self.helpers.note_serving(peer(number), 0.0, 10.0 + number)
        self.assertLessEqual(
            len(self.helpers._peers), helpers.KNOWN_LIMIT_COUNT
        )


if __name__ == "__main__":
    unittest.main()

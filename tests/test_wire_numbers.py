"""Encoders give bytes for every number, and decoders read them back."""

import math
import unittest
from collections.abc import Callable
from typing import Any

import hypothesis
from hypothesis import strategies as st

from mulberrywharf import fleet, wire_numbers
from mulberrywharf.crashes import crash_codec
from mulberrywharf.peers import (
    ejection_codec,
    freshness_codec,
    handover_codec,
    limit_codec,
    notice_codec,
    path_codec,
    queue_codec,
    usage_codec,
)
from mulberrywharf.policy import (
    ejected_servers,
    helpers,
    limit_grants,
    load_estimates,
    part_caches,
)
from tests import test_handover

NUMBERS = st.one_of(
    st.integers(-(2**80), 2**80),
    st.floats(),
    st.sampled_from((-1, 0, 2**8, 2**16, 2**32, 2**64, math.nan, math.inf)),
)


def _notice(number: float) -> Any:
    parts = (part_caches.HeldPart(1, number), part_caches.HeldPart(2, number))
    return notice_codec.decode(
        notice_codec.encode(
            notice_codec.Notice(
                1,
                2,
                (notice_codec.Placement(3, number, parts, number),),
                notice_codec.SeenRevisions(number, number, number),
                (notice_codec.Load(4, number, number, number),),
                (notice_codec.Demand(5, number),),
                role_loads=(
                    notice_codec.RoleLoad(
                        6, True, load_estimates.Load(number, number)
                    ),
                ),
            )
        )
    )


def _wait_query(number: float) -> Any:
    query = queue_codec.WaitQuery(1, number, (2,), (3,))
    return queue_codec.decode(queue_codec.encode(query))


def _waits(number: float) -> Any:
    wait = queue_codec.EngineWait(2, number, number, number, number)
    return queue_codec.decode(queue_codec.encode(queue_codec.Waits(1, (wait,))))


def _prompt_update(number: float) -> Any:
    parts = (part_caches.HeldPart(1, number),)
    update = queue_codec.PromptUpdate(
        1, 2, 3, "placed", number, number, parts, number, number
    )
    return queue_codec.decode(queue_codec.encode(update))


def _crash_report(number: float) -> Any:
    report = crash_codec.CrashReport(
        (crash_codec.ReportedEnd(1, 2, True, number, 3),),
        cleared_parts=(crash_codec.ClearedPart(4, 5, number),),
    )
    return crash_codec.decode(crash_codec.encode(report))


def _freshness(number: float) -> Any:
    reply = freshness_codec.Reply(1, number, number)
    return freshness_codec.decode(freshness_codec.encode(reply))


def _usage_announcement(number: float) -> Any:
    announcement = usage_codec.Announcement(1, number)
    return usage_codec.decode(usage_codec.encode_announcement(announcement))


def _usage_counts(number: float) -> Any:
    counts = usage_codec.Counts(1, number, True, {"customer": number}, number)
    return usage_codec.decode(usage_codec.encode_counts(counts))


def _limit_claim(number: float) -> Any:
    statement = limit_grants.LimitStatement(1.0, number)
    claim = limit_grants.Claim(1, number, True, statement, number)
    message = limit_codec.ClaimMessage(2, claim)
    return limit_codec.decode(limit_codec.encode(message, 0.0), 0.0)


def _limit_grant(number: float) -> Any:
    statement = limit_grants.LimitStatement(None, number)
    message = limit_codec.GrantMessage(
        2, limit_grants.Grant(True, number, statement)
    )
    return limit_codec.decode(limit_codec.encode(message, 0.0), 0.0)


def _handover(number: float) -> Any:
    handed = test_handover.handed_request(left_s=number, waited_s=number)
    route = handed.route._replace(
        attempts_left_count=number,
        priority=number,
        target_s=number,
        gap_target_s=number,
    )
    return handover_codec.decode(
        handover_codec.encode(handed._replace(route=route))
    )


def _path_reply(number: float) -> Any:
    report = helpers.Report(True, number, (fleet.Address("10.0.0.1", 1),))
    return path_codec.decode(
        path_codec.encode_reply(path_codec.PathReply(1, report))
    )


def _ejection(number: float) -> Any:
    decision = ejected_servers.Decision(1, True, number, number)
    return ejection_codec.decode_ejection(
        ejection_codec.encode_decision(decision)
    )


ROUND_TRIPS: tuple[Callable[[float], Any], ...] = (
    _notice,
    _wait_query,
    _waits,
    _prompt_update,
    _crash_report,
    _freshness,
    _usage_announcement,
    _usage_counts,
    _limit_claim,
    _limit_grant,
    _handover,
    _path_reply,
    _ejection,
)


class EncodersTest(unittest.TestCase):
    @hypothesis.settings(deadline=None, derandomize=True, max_examples=200)
    @hypothesis.given(number=NUMBERS)
    def test_every_number_survives_the_wire_as_some_number(
        self, number: float
    ) -> None:
        """Guards against an exception that ends a task or the process."""
        for round_trip in ROUND_TRIPS:
            with self.subTest(round_trip=round_trip.__name__):
                self.assertTrue(round_trip(number).is_ok())


class SaturatedTest(unittest.TestCase):
    def test_numbers_beyond_a_field_become_its_nearest(self) -> None:
        limit = wire_numbers.UINT16_LIMIT
        for value, wanted in (
            (-1, 0),
            (-math.inf, 0),
            (math.nan, 0),
            (0.4, 0),
            (12.6, 13),
            (limit, limit),
            (limit + 1, limit),
            (math.inf, limit),
            (10**400, limit),
        ):
            with self.subTest(value=str(value)[:20]):
                self.assertEqual(wire_numbers.saturated(value, limit), wanted)

    def test_rates_become_the_nearest_finite_one(self) -> None:
        limit = wire_numbers.FLOAT32_LIMIT
        for value, wanted in (
            (-1.0, 0.0),
            (-math.inf, 0.0),
            (math.nan, 0.0),
            (0.25, 0.25),
            (limit, limit),
            (1e300, limit),
            (math.inf, limit),
            (10**400, limit),
        ):
            with self.subTest(value=str(value)[:20]):
                self.assertEqual(wire_numbers.nonnegative(value, limit), wanted)


if __name__ == "__main__":
    unittest.main()

"""Tests of calls under claims with scripted owners of the claims."""

import random
import unittest
from typing import Any
from unittest import mock

from result import Ok

from mulberrywharf import clock, errors, fleet
from mulberrywharf.callers import passthrough
from mulberrywharf.callers import request as caller_request
from mulberrywharf.nodes import claims
from mulberrywharf.requests import (
    background_tasks,
    claimed_call,
    kept_answers,
)

_ENCODED = kept_answers.encode(passthrough.ServiceAnswer(200, (), b"paid"))


def _call() -> passthrough.ServiceCall:
    caller = caller_request.CallerRequest(
        "POST",
        "/payment",
        "/payment",
        (),
        b"fee",
        "r-2",
        "rodeo-week",
        clock.SystemClock().monotonic_s() + 5.0,
    )
    return passthrough.ServiceCall(
        caller, "desk", "/payment", {}, idempotent=False, timeout_s=1.0
    )


class StoredAnswerTest(unittest.TestCase):
    def answer(self, status: int) -> passthrough.ServiceAnswer:
        met = claims.ClaimMet(
            "done",
            "entry-1",
            fleet.Address("127.0.0.1", 1),
            "r-1",
            status,
            claims.digest(_ENCODED),
            _ENCODED,
        )
        node_claims: Any = mock.Mock()
        node_claims.claim.return_value = Ok(met)
        calls = claimed_call.ClaimedCalls(
            vm_id="entry-1",
            backend=mock.Mock(),
            node_claims=node_claims,
            background=background_tasks.InFlight(),
            system_clock=clock.SystemClock(),
            rng=random.Random(1),
        )
        return calls.run(_call(), "key-1", mock.Mock())

    def test_status_that_http_does_not_know_is_no_answer(self) -> None:
        """Guards against a stored 000 or 999 that a caller gets."""
        for status in (0, 99, 100, 101, 199, 600, 999, 65_535):
            with self.subTest(status=status):
                with self.assertRaises(errors.BackEndLostError) as raised:
                    self.answer(status)
                self.assertEqual(raised.exception.outcome, "unknown")

    def test_known_statuses_are_answers(self) -> None:
        for status in (200, 404, 503, 599):
            with self.subTest(status=status):
                self.assertEqual(self.answer(status).status, status)


if __name__ == "__main__":
    unittest.main()
